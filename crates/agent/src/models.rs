//! Models that the engine reports as loaded, and the order that it is executing.

use crate::answer;
use crate::runner::Runner;
use hyper::StatusCode;
use protocol::fence::{Decision, Fence};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, timeout};
use wire::Models;

/// Longest wait for the engine's answer. Without it, queries would pile up at an engine that hangs.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a model counts as wanted after an entry has named it. Entries query every second.
const WANTED_TTL: Duration = Duration::from_secs(5);
/// Maximum number of models that count as wanted at a time.
const MAX_WANTED: usize = 64;

/// Answer of `GET /v1/models`, as far as it is used here.
#[derive(Deserialize)]
struct ModelList {
    models: Vec<String>,
}

/// Body of an order, as far as it is used here.
#[derive(Clone, Debug, Deserialize)]
struct OrderBody {
    order: String,
    model: Option<String>,
}

impl OrderBody {
    /// Returns the order's model if the order is of this kind.
    fn model_if(&self, kind: &str) -> Option<&str> {
        self.model.as_deref().filter(|_| self.order == kind)
    }
}

/// Highest fencing token seen and the order in progress; clones share them.
///
/// Both are under one lock: a query of a new lease holder raises the token and then reads the order
/// in progress, so that no order of an earlier holder can be admitted unseen in between.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineState(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    fence: Fence,
    order: Option<OrderBody>,
    /// Models that callers need, with the time at which an entry last named them.
    wanted: BTreeMap<String, Instant>,
}

impl EngineState {
    /// Records the current token as read from the table.
    pub(crate) fn learn(&self, current: protocol::FencingToken) {
        self.lock().fence.learn(current);
    }

    /// Checks a fencing token. An order that passes is in progress from then on; without an order,
    /// only the token is raised.
    pub(crate) fn admit(&self, token: protocol::FencingToken, order: Option<&[u8]>) -> Decision {
        let mut state = self.lock();
        let decision = state.fence.admit(token);
        if decision == Decision::Pass
            && let Some(order) = order
        {
            state.order = serde_json::from_slice(order).ok();
        }
        decision
    }

    /// Records that the engine has answered the order.
    pub(crate) fn finish_order(&self) {
        self.lock().order.take();
    }

    /// Records models that callers of an entry need but that are not loaded. Only the lease holder
    /// sends orders, and it may be only the callers of another entry that request a model.
    pub(crate) fn record_wanted(&self, models: impl IntoIterator<Item = String>) {
        let now = Instant::now();
        let mut state = self.lock();
        state.wanted.retain(|_, at| *at + WANTED_TTL > now);
        for model in models {
            if state.wanted.len() < MAX_WANTED || state.wanted.contains_key(&model) {
                state.wanted.insert(model, now);
            }
        }
    }

    fn wanted(&self) -> Vec<String> {
        let mut state = self.lock();
        state.wanted.retain(|_, at| at.elapsed() < WANTED_TTL);
        state.wanted.keys().cloned().collect()
    }

    fn current_order(&self) -> Option<OrderBody> {
        self.lock().order.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the models that the engine has; `None` if it does not report them.
///
/// The order in progress is read before the engine is queried: a load that ends in between is
/// reported as in progress or as done, but never as if it had not been ordered, and a model that
/// is being unloaded is not reported as loaded.
pub(crate) async fn query(runner: &Runner, engine: &EngineState) -> Option<Models> {
    let order = engine.current_order();
    let mut warm = timeout(QUERY_TIMEOUT, fetch_loaded(runner)).await.ok()??;
    let model_if = |kind| order.as_ref().and_then(|order| order.model_if(kind));
    let unloading = model_if("unload");
    warm.retain(|model| unloading != Some(model.as_str()));
    let loading = model_if("load").map(str::to_owned);
    let wanted = engine.wanted();
    Some(Models {
        warm,
        loading,
        wanted,
    })
}

async fn fetch_loaded(runner: &Runner) -> Option<Vec<String>> {
    let response = runner.models().await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = answer::read_body(response.into_body()).await.ok()?;
    let list: ModelList = serde_json::from_slice(&body).ok()?;
    Some(list.models)
}
