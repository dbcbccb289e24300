//! Fencing of orders to the engine.
//!
//! Some engines execute every order, even one from a lease holder that was paused while another
//! took over. Such an order would undo the new holder's work, so the agent checks fencing tokens
//! for the engine: it rejects every order with a lower token than it has seen, and all orders until
//! it has read the current token after a start.

use crate::answer;
use crate::models::{self, EngineState};
use crate::runner::Runner;
use bytes::Bytes;
use hyper::StatusCode;
use protocol::fence::Decision;
use serde::Deserialize;
use std::time::Duration;
use store::Table;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::{Frame, Models, Sender};

/// Table that contains the lease.
const LEASE_TABLE: &str = "lease";
/// Key of the lease whose holder may send orders.
const LEASE_KEY: &str = "placement";

/// Longest time that an engine may take for an order; a load may wait for the weight store. Without
/// this limit, an order that hangs would block all later orders, and its model would be reported as
/// loading indefinitely.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3_600);

/// An order from an entry.
#[derive(Debug)]
pub(crate) struct EngineOrder {
    pub(crate) fence: protocol::FencingToken,
    pub(crate) body: Bytes,
    /// Link over which the reply is sent.
    pub(crate) link: Sender,
}

/// The part of the lease row that is used here.
#[derive(Deserialize)]
struct Lease {
    fence: protocol::FencingToken,
}

/// Reply to an order.
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

/// The engine, its fencing state, and the table that has the current fencing token.
#[derive(Clone, Debug)]
pub(crate) struct FencedEngine<T> {
    pub(crate) table: T,
    pub(crate) runner: Runner,
    pub(crate) state: EngineState,
}

impl<T: Table> FencedEngine<T> {
    /// Executes orders one at a time until all senders are dropped.
    ///
    /// Concurrent orders could be reordered on their way to the engine, which would then keep the
    /// effect of the older one.
    pub(crate) async fn serve(self, mut orders: mpsc::Receiver<EngineOrder>) {
        while let Some(EngineOrder { fence, body, link }) = orders.recv().await {
            let reply = match self.admit(fence, Some(&body)).await {
                Ok(()) => {
                    let reply = forward(&self.runner, body).await;
                    self.state.finish_order();
                    reply
                }
                Err(reply) => reply,
            };
            let status = reply.status.as_u16();
            let body = reply.body;
            // An entry whose link was lost learns from a query what the engine has loaded.
            let _ = link.send(Frame::OrderDone { status, body }).await;
        }
    }

    /// Returns the models that the engine has. A lease holder gets them only once orders of earlier
    /// holders are rejected: such an order could otherwise unload models that the holder's plan
    /// relies on.
    pub(crate) async fn models(&self, fence: Option<protocol::FencingToken>) -> Option<Models> {
        if let Some(fence) = fence {
            self.admit(fence, None).await.ok()?;
        }
        models::query(&self.runner, &self.state).await
    }

    /// Checks an order's token; reads the current token from the table if none is known yet.
    async fn admit(
        &self,
        token: protocol::FencingToken,
        order: Option<&[u8]>,
    ) -> Result<(), OrderReply> {
        let mut decision = self.state.admit(token, order);
        if decision == Decision::Unknown {
            self.state.learn(current_token(&self.table).await?);
            decision = self.state.admit(token, order);
        }
        match decision {
            Decision::Pass => Ok(()),
            Decision::Refuse(highest) => Err(OrderReply::error(
                StatusCode::PRECONDITION_FAILED,
                &format!("fencing number {token} is older than {highest}"),
            )),
            Decision::Unknown => Err(token_unknown("no number was read")),
        }
    }
}

/// Reads the current fencing token. A holder writes its row before it sends orders, so without a
/// row nobody may send orders.
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

/// Sends an order to the engine. If the answer is incomplete, the order may still have taken
/// effect.
async fn forward(runner: &Runner, body: Bytes) -> OrderReply {
    let reply = timeout(ORDER_TIMEOUT, send_order(runner, body)).await;
    reply.unwrap_or_else(|_| {
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
