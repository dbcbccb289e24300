//! What the engine holds, as it says itself, and the order that it is carrying out.

use crate::answer;
use crate::runner::Runner;
use hyper::StatusCode;
use protocol::fence::{Fence, Verdict};
use serde::Deserialize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::timeout;
use wire::Models;

/// Longest wait for the engine's answer. An engine that hangs would otherwise gather questions.
const PATIENCE: Duration = Duration::from_secs(2);

/// Answer of `GET /v1/models`, as far as it matters here.
#[derive(Deserialize)]
struct Loaded {
    models: Vec<String>,
}

/// An order's body, as far as it matters here.
#[derive(Clone, Debug, Deserialize)]
struct Order {
    order: String,
    model: Option<String>,
}

impl Order {
    /// The model that the order is about, if it is of this kind.
    fn about(&self, kind: &str) -> Option<&str> {
        self.model.as_deref().filter(|_| self.order == kind)
    }
}

/// Highest fencing number seen and the order under way; clones share them.
///
/// Both are under one lock: a question of a new lease holder raises the number and then looks at
/// the order, so that no order of an earlier holder can slip in between unseen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    fence: Fence,
    order: Option<Order>,
}

impl Engine {
    /// Takes in the current number as read from the table.
    pub(crate) fn learn(&self, current: protocol::Fence) {
        self.lock().fence.learn(current);
    }

    /// Judges an order, which is under way from then on if it may pass; no body only raises the
    /// number.
    pub(crate) fn admit(&self, number: protocol::Fence, order: Option<&[u8]>) -> Verdict {
        let mut state = self.lock();
        let verdict = state.fence.admit(number);
        if verdict == Verdict::Pass
            && let Some(order) = order
        {
            state.order = serde_json::from_slice(order).ok();
        }
        verdict
    }

    /// Notes that the engine has answered the order.
    pub(crate) fn end(&self) {
        self.lock().order.take();
    }

    fn order(&self) -> Option<Order> {
        self.lock().order.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the engine holds; `None` if it does not say so.
///
/// The order under way is looked at before the engine is asked: a load that ends in between is
/// told as under way or as done, but never as if it had not been ordered, and a model that is
/// being given up is not told as held.
pub(crate) async fn ask(runner: &Runner, engine: &Engine) -> Option<Models> {
    let order = engine.order();
    let mut warm = timeout(PATIENCE, loaded(runner)).await.ok()??;
    let about = |kind| order.as_ref().and_then(|order| order.about(kind));
    let leaving = about("unload");
    warm.retain(|model| leaving != Some(model.as_str()));
    let loading = about("load").map(str::to_owned);
    Some(Models { warm, loading })
}

async fn loaded(runner: &Runner) -> Option<Vec<String>> {
    let response = runner.models().await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = answer::whole(response.into_body()).await.ok()?;
    let loaded: Loaded = serde_json::from_slice(&body).ok()?;
    Some(loaded.models)
}
