//! Sends one order to one engine and waits for its answer.

use crate::core::{Core, Platform};
use crate::engine::{Order, Status};
use crate::target::Target;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Maximum time to wait for the answer to an order; a load may have to wait for the weight store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(300);
/// HTTP status of an order that was executed.
const STATUS_DONE: Status = 200;
/// HTTP status of an order with an outdated fencing token.
const STATUS_STALE_FENCE: Status = 412;

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The order was not sent, because the lease had ended or the link did not accept it.
    Withheld,
    /// The engine executed it.
    Done,
    /// The agent or the engine has seen a higher fencing token.
    Refused,
    /// The engine could not execute it.
    Failed,
    /// No answer arrived. The order may have been executed, which the engine's next report will
    /// show.
    Lost,
}

impl Outcome {
    /// Returns the name used in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Withheld => "withheld",
            Self::Done => "done",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// Sends an order, unless another one is open at the target.
pub fn submit<P: Platform>(core: &Arc<Core<P>>, target: Arc<Target>, order: Order) {
    let Some(answer) = target.engine.open_order(order.clone()) else {
        return;
    };
    let core = core.clone();
    tokio::spawn(async move {
        let outcome = execute(&core, &target, &order, answer).await;
        core.telemetry.placement.record_outcome(order.verb, outcome);
        info!(core.log, "order finished"; "vm" => &target.vm.id, "model" => &order.model,
            "outcome" => outcome.name());
        target.query(core.lease.may_act(), []);
    });
}

async fn execute<P: Platform>(
    core: &Core<P>,
    target: &Target,
    order: &Order,
    answer: oneshot::Receiver<Status>,
) -> Outcome {
    // The process may have been suspended since the plan was made, and another entry may hold the
    // lease by now. An engine that does not check fencing tokens would execute the order against
    // those of the new holder, so the lease is checked immediately before sending.
    let Some(fence) = core.lease.may_act() else {
        target.engine.close_order(None);
        return Outcome::Withheld;
    };
    if !target.send_order(fence, order).await {
        target.engine.close_order(None);
        return Outcome::Withheld;
    }
    core.telemetry.placement.record_sent(order.verb);
    info!(core.log, "order sent"; "vm" => &target.vm.id, "order" => ?order.verb,
        "model" => &order.model, "fence" => fence);
    match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(STATUS_DONE)) => Outcome::Done,
        Ok(Ok(STATUS_STALE_FENCE)) => Outcome::Refused,
        Ok(Ok(_)) => Outcome::Failed,
        Ok(Err(_)) | Err(_) => Outcome::Lost,
    }
}
