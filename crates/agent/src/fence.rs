//! Orders to the engine, under a fencing number.
//!
//! Some engines carry out every order, also that of a lease holder which was paused while another
//! took over. Its old order would undo the new holder's work, so the agent is the fence before
//! them: it lets no order pass that bears a lower number than it has seen, and none at all before
//! it has read the current number after a start.

use crate::answer;
use crate::models::{self, EngineState};
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
const LEASE_TABLE: &str = "lease";
/// Key of the lease under which orders are given.
const LEASE_KEY: &str = "placement";

/// Longest time that an engine may take for an order; a load may wait for the weight store. One that
/// hangs would otherwise keep back all later orders, and its model would look as if it were loaded soon.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3_600);

/// An order from an entry.
#[derive(Debug)]
pub(crate) struct EngineOrder {
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
struct OrderReply {
    status: StatusCode,
    body: Bytes,
}

impl OrderReply {
    fn error(status: StatusCode, reason: &str) -> Self {
        let body = serde_json::json!({ "error": reason }).to_string().into();
        Self { status, body }
    }
}

/// The engine, its fence and the table that knows the current number.
#[derive(Clone, Debug)]
pub(crate) struct FencedEngine<T> {
    pub(crate) table: T,
    pub(crate) runner: Runner,
    pub(crate) state: EngineState,
}

impl<T: Table> FencedEngine<T> {
    /// Carries out orders one after the other until all senders are gone.
    ///
    /// Two orders at once could overtake each other on their way to the engine, and the older one
    /// would win there.
    pub(crate) async fn serve(self, mut orders: mpsc::Receiver<EngineOrder>) {
        while let Some(EngineOrder { fence, body, link }) = orders.recv().await {
            let answer = match self.admit(fence, Some(&body)).await {
                Ok(()) => {
                    let answer = forward(&self.runner, body).await;
                    self.state.finish_order();
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
    pub(crate) async fn models(&self, fence: Option<protocol::FencingToken>) -> Option<Models> {
        if let Some(fence) = fence {
            self.admit(fence, None).await.ok()?;
        }
        models::query(&self.runner, &self.state).await
    }

    /// Judges an order, with the current number from the table if none is known yet.
    async fn admit(
        &self,
        token: protocol::FencingToken,
        order: Option<&[u8]>,
    ) -> Result<(), OrderReply> {
        let mut verdict = self.state.admit(token, order);
        if verdict == Verdict::Unknown {
            self.state.learn(current_token(&self.table).await?);
            verdict = self.state.admit(token, order);
        }
        match verdict {
            Verdict::Pass => Ok(()),
            Verdict::Refuse(highest) => Err(OrderReply::error(
                StatusCode::PRECONDITION_FAILED,
                &format!("fencing number {token} is older than {highest}"),
            )),
            Verdict::Unknown => Err(token_unknown("no number was read")),
        }
    }
}

/// The number in force. A holder writes its row before it gives orders, so without a row there is
/// nobody to take orders from.
async fn current_token(table: &impl Table) -> Result<protocol::FencingToken, OrderReply> {
    let row = table
        .read(LEASE_TABLE, LEASE_KEY)
        .await
        .map_err(|error| token_unknown(&error.to_string()))?
        .ok_or_else(|| token_unknown("there is no lease"))?;
    serde_json::from_value::<Lease>(row.value)
        .map(|lease| lease.fence)
        .map_err(|error| token_unknown(&error.to_string()))
}

fn token_unknown(reason: &str) -> OrderReply {
    let reason = format!("current fencing number unknown: {reason}");
    OrderReply::error(StatusCode::SERVICE_UNAVAILABLE, &reason)
}

/// Sends an order to the engine. Without a whole answer the order may have taken effect.
async fn forward(runner: &Runner, body: Bytes) -> OrderReply {
    let answer = timeout(ORDER_TIMEOUT, send_order(runner, body)).await;
    answer.unwrap_or_else(|_| {
        let reason = format!("no answer from the engine within {ORDER_TIMEOUT:?}");
        OrderReply::error(StatusCode::GATEWAY_TIMEOUT, &reason)
    })
}

async fn send_order(runner: &Runner, body: Bytes) -> OrderReply {
    let response = match runner.send_order(body).await {
        Ok(response) => response,
        Err(error) => return OrderReply::error(StatusCode::BAD_GATEWAY, &error.to_string()),
    };
    let status = response.status();
    match answer::read_body(response.into_body()).await {
        Ok(body) => OrderReply { status, body },
        Err(error) => OrderReply::error(StatusCode::BAD_GATEWAY, &error.to_string()),
    }
}
