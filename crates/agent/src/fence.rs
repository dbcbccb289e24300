//! Orders to the engine, under a fencing number.
//!
//! Some engines carry out every order, also that of a lease holder which was paused while another
//! took over. Its old order would undo the new holder's work, so the agent is the fence before
//! them: it lets no order pass that bears a lower number than it has seen, and none at all before
//! it has read the current number after a start.

use crate::answer;
use crate::models::Loading;
use crate::runner::Runner;
use bytes::Bytes;
use hyper::StatusCode;
use platform::Table;
use protocol::fence::{Fence, Verdict};
use serde::Deserialize;
use tokio::sync::mpsc;
use wire::{Frame, Sender};

/// Table of the lease row.
const TABLE: &str = "lease";
/// Key of the lease under which orders are given.
const KEY: &str = "placement";

/// An order from an entry.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) fence: protocol::Fence,
    pub(crate) body: Bytes,
    /// Where the answer goes.
    pub(crate) link: Sender,
}

/// The part of the lease row that matters here.
#[derive(Deserialize)]
struct Lease {
    fence: protocol::Fence,
}

/// What becomes of an order.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    fn own(status: StatusCode, reason: &str) -> Self {
        let body = serde_json::json!({ "error": reason }).to_string().into();
        Self { status, body }
    }
}

/// Carries out orders one after the other until all senders are gone.
///
/// Two orders at once could overtake each other on their way to the engine, and the older one
/// would win there.
pub(crate) async fn serve(
    table: impl Table,
    runner: Runner,
    loading: Loading,
    mut orders: mpsc::Receiver<Order>,
) {
    let mut fence = Fence::new();
    while let Some(Order {
        fence: number,
        body,
        link,
    }) = orders.recv().await
    {
        let answer = match admit(&table, &mut fence, number).await {
            Ok(()) => {
                loading.begin(&body);
                let answer = pass(&runner, body).await;
                loading.end();
                answer
            }
            Err(answer) => answer,
        };
        let status = answer.status.as_u16();
        let body = answer.body;
        // An entry whose link is gone asks the engine what it has loaded.
        let _ = link.send(Frame::OrderDone { status, body }).await;
    }
}

/// Judges an order, with the current number from the table if none is known yet.
async fn admit(
    table: &impl Table,
    fence: &mut Fence,
    number: protocol::Fence,
) -> Result<(), Answer> {
    let mut verdict = fence.admit(number);
    if verdict == Verdict::Unknown {
        fence.learn(current(table).await?);
        verdict = fence.admit(number);
    }
    match verdict {
        Verdict::Pass => Ok(()),
        Verdict::Refuse(highest) => Err(Answer::own(
            StatusCode::PRECONDITION_FAILED,
            &format!("fencing number {number} is older than {highest}"),
        )),
        Verdict::Unknown => Err(unread("no number was read")),
    }
}

/// The number in force. A holder writes its row before it gives orders, so without a row there is
/// nobody to take orders from.
async fn current(table: &impl Table) -> Result<protocol::Fence, Answer> {
    let row = table
        .read(TABLE, KEY)
        .await
        .map_err(|error| unread(&error.to_string()))?
        .ok_or_else(|| unread("there is no lease"))?;
    serde_json::from_value::<Lease>(row.value)
        .map(|lease| lease.fence)
        .map_err(|error| unread(&error.to_string()))
}

fn unread(reason: &str) -> Answer {
    let reason = format!("current fencing number unknown: {reason}");
    Answer::own(StatusCode::SERVICE_UNAVAILABLE, &reason)
}

/// Sends an order to the engine. Without a whole answer the order may have taken effect.
async fn pass(runner: &Runner, body: Bytes) -> Answer {
    let response = match runner.order(body).await {
        Ok(response) => response,
        Err(error) => return Answer::own(StatusCode::BAD_GATEWAY, &error.to_string()),
    };
    let status = response.status();
    match answer::whole(response.into_body()).await {
        Ok(body) => Answer { status, body },
        Err(fault) => Answer::own(StatusCode::BAD_GATEWAY, &fault.to_string()),
    }
}
