//! What the engine holds, as it says itself, and the order that it is carrying out.

use crate::answer;
use crate::runner::Runner;
use hyper::StatusCode;
use protocol::fence::{Fence, Verdict};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, timeout};
use wire::Models;

/// Longest wait for the engine's answer. An engine that hangs would otherwise gather questions.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time for which a model counts as wanted after an entry has said so. Entries ask every second.
const WANTED_TTL: Duration = Duration::from_secs(5);
/// Most models that count as wanted at a time.
const MAX_WANTED: usize = 64;

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
    /// Models that callers lack, with the time at which an entry last said so.
    wanted: BTreeMap<String, Instant>,
}

impl Engine {
    /// Takes in the current number as read from the table.
    pub(crate) fn learn(&self, current: protocol::FencingToken) {
        self.lock().fence.learn(current);
    }

    /// Judges an order, which is under way from then on if it may pass; no body only raises the
    /// number.
    pub(crate) fn admit(&self, number: protocol::FencingToken, order: Option<&[u8]>) -> Verdict {
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

    /// Takes in models that callers of an entry lack. Only the lease holder gives orders, and the
    /// callers of another entry may be the only ones who ask for a model.
    pub(crate) fn want(&self, models: impl IntoIterator<Item = String>) {
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
    let wanted = engine.wanted();
    Some(Models {
        warm,
        loading,
        wanted,
    })
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
