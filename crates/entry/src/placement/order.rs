//! Gives one order to one engine.

use crate::core::{Core, Platform};
use crate::engine::{Order, Status};
use crate::target::Target;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How long an order's answer is waited for; a load may have to wait for the weight store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(300);
/// HTTP status of an order that was carried out.
const STATUS_DONE: Status = 200;
/// HTTP status of an order under an old fencing number.
const STATUS_STALE_FENCE: Status = 412;

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The lease was over, or the link would not take it: nothing was sent.
    Withheld,
    /// The engine carried it out.
    Done,
    /// The agent or the engine has seen a higher fencing number.
    Refused,
    /// The engine could not carry it out.
    Failed,
    /// No answer came: it may have been carried out, and the engine will say what it holds.
    Lost,
}

impl Outcome {
    /// Name in metrics and logs.
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

/// Gives an order, unless the target has an open one.
pub fn submit<P: Platform>(core: &Arc<Core<P>>, target: Arc<Target>, order: Order) {
    let Some(answer) = target.engine.open_order(order.clone()) else {
        return;
    };
    let core = core.clone();
    tokio::spawn(async move {
        let outcome = execute(&core, &target, &order, answer).await;
        core.telemetry.placement.ordered(order.verb, outcome);
        info!(core.log, "order over"; "vm" => &target.vm.id, "model" => &order.model,
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
    // The process may have been paused since the plan was made, and the lease be another's by
    // now. An engine that does not check numbers would carry the order out against the new
    // holder's, so the clock is looked at last.
    let Some(fence) = core.lease.may_act() else {
        target.engine.close_order(None);
        return Outcome::Withheld;
    };
    if !target.send_order(fence, order).await {
        target.engine.close_order(None);
        return Outcome::Withheld;
    }
    core.telemetry.placement.sent(order.verb);
    info!(core.log, "order sent"; "vm" => &target.vm.id, "order" => ?order.verb,
        "model" => &order.model, "fence" => fence);
    match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(STATUS_DONE)) => Outcome::Done,
        Ok(Ok(STATUS_STALE_FENCE)) => Outcome::Refused,
        Ok(Ok(_)) => Outcome::Failed,
        Ok(Err(_)) | Err(_) => Outcome::Lost,
    }
}
