//! Orders to the engine, under a fencing number.
//!
//! Some engines carry out every order, also that of a lease holder which was paused while another
//! took over. Its old order would undo the new holder's work, so the agent is the fence before
//! them: it lets no order pass that bears a lower number than it has seen, and none at all before
//! it has read the current number after a start.

use crate::answer;
use crate::models::{self, Engine};
use crate::runner::Runner;
use bytes::Bytes;
use hyper::StatusCode;
use protocol::fence::Verdict;
use serde::Deserialize;
use std::time::Duration;
use store::Table;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::{Frame, Models, Sender};

/// Table of the lease row.
const TABLE: &str = "lease";
/// Key of the lease under which orders are given.
const KEY: &str = "placement";

/// Longest time that an engine may take for an order; a load may wait for the weight store. One that
/// hangs would otherwise keep back all later orders, and its model would look as if it were loaded soon.
const PATIENCE: Duration = Duration::from_secs(3_600);

/// An order from an entry.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) fence: protocol::FencingToken,
    pub(crate) body: Bytes,
    /// Where the answer goes.
    pub(crate) link: Sender,
}

/// The part of the lease row that matters here.
#[derive(Deserialize)]
struct Lease {
    fence: protocol::FencingToken,
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

/// The engine, its fence and the table that knows the current number.
#[derive(Clone, Debug)]
pub(crate) struct Guard<T> {
    pub(crate) table: T,
    pub(crate) runner: Runner,
    pub(crate) engine: Engine,
}

impl<T: Table> Guard<T> {
    /// Carries out orders one after the other until all senders are gone.
    ///
    /// Two orders at once could overtake each other on their way to the engine, and the older one
    /// would win there.
    pub(crate) async fn serve(self, mut orders: mpsc::Receiver<Order>) {
        while let Some(Order { fence, body, link }) = orders.recv().await {
            let answer = match self.admit(fence, Some(&body)).await {
                Ok(()) => {
                    let answer = pass(&self.runner, body).await;
                    self.engine.end();
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

    /// What the engine holds. To a lease holder it is told only once no order of an earlier one
    /// can pass any more: the holder would plan with what such an order then takes away.
    pub(crate) async fn ask(&self, fence: Option<protocol::FencingToken>) -> Option<Models> {
        if let Some(fence) = fence {
            self.admit(fence, None).await.ok()?;
        }
        models::ask(&self.runner, &self.engine).await
    }

    /// Judges an order, with the current number from the table if none is known yet.
    async fn admit(
        &self,
        number: protocol::FencingToken,
        order: Option<&[u8]>,
    ) -> Result<(), Answer> {
        let mut verdict = self.engine.admit(number, order);
        if verdict == Verdict::Unknown {
            self.engine.learn(current(&self.table).await?);
            verdict = self.engine.admit(number, order);
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
}

/// The number in force. A holder writes its row before it gives orders, so without a row there is
/// nobody to take orders from.
async fn current(table: &impl Table) -> Result<protocol::FencingToken, Answer> {
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
    let answer = timeout(PATIENCE, send(runner, body)).await;
    answer.unwrap_or_else(|_| {
        let reason = format!("no answer from the engine within {PATIENCE:?}");
        Answer::own(StatusCode::GATEWAY_TIMEOUT, &reason)
    })
}

async fn send(runner: &Runner, body: Bytes) -> Answer {
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
