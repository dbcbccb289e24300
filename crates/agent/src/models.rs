//! What the engine holds, as it says itself, and what it loads at the agent's order.

use crate::answer;
use crate::runner::Runner;
use hyper::StatusCode;
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
#[derive(Deserialize)]
struct Order {
    order: String,
    model: Option<String>,
}

/// Model that the engine loads at the agent's order; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loading(Arc<Mutex<Option<String>>>);

impl Loading {
    /// Notes that an order goes to the engine.
    pub(crate) fn begin(&self, order: &[u8]) {
        let order = serde_json::from_slice::<Order>(order).ok();
        let load = order.filter(|order| order.order == "load");
        *self.lock() = load.and_then(|order| order.model);
    }

    /// Notes that the engine has answered the order.
    pub(crate) fn end(&self) {
        self.lock().take();
    }

    fn lock(&self) -> MutexGuard<'_, Option<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the engine holds; `None` if it does not say so.
///
/// The load in progress is noted before the engine is asked: a load that ends in between is told
/// as in progress or as done, but never as if it had not been ordered.
pub(crate) async fn ask(runner: &Runner, loading: &Loading) -> Option<Models> {
    let loading = loading.lock().clone();
    let warm = timeout(PATIENCE, loaded(runner)).await.ok()??;
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
