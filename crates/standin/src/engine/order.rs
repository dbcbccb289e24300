//! Orders to load and unload models and to change the role.

use super::fetch::WeightClient;
use crate::log::now_us;
use crate::options::{Options, millis};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The loaded models, the role, and all received orders.
#[derive(Debug)]
pub(super) struct Orders {
    fencing: bool,
    load_time: Duration,
    weights: Option<WeightClient>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    role: String,
    models: BTreeSet<String>,
    journal: Vec<JournalEntry>,
}

/// An order as received.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Order {
    fence: u64,
    order: OrderKind,
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    version: Option<serde_json::Value>,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    role: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum OrderKind {
    Load,
    Unload,
    Role,
}

#[derive(Clone, Debug, Serialize)]
struct JournalEntry {
    #[serde(flatten)]
    order: Order,
    /// Whether the order was accepted; otherwise its fencing token was stale.
    carried_out: bool,
    /// Highest fencing token of the earlier orders.
    highest: u64,
    /// Time of receipt in microseconds since the Unix epoch.
    at_us: u64,
}

/// Ground truth of orders; response of `GET /standin/orders`.
#[derive(Debug, Serialize)]
pub(super) struct Journal {
    orders: Vec<JournalEntry>,
}

/// Response of `GET /v1/models`.
#[derive(Debug, Serialize)]
pub(super) struct Models {
    models: BTreeSet<String>,
    role: String,
    fence: u64,
}

impl Orders {
    pub(super) fn new(options: &Options) -> Self {
        let state = State {
            role: options.role.clone(),
            models: options.models.iter().cloned().collect(),
            ..State::default()
        };
        Self {
            fencing: options.fencing,
            load_time: millis(options.load_ms),
            weights: options.weights.map(WeightClient::new),
            state: Mutex::new(state),
        }
    }

    /// Executes an order. The status is `412` if the fencing token is stale and `502` if the weights
    /// could not be downloaded.
    pub(super) async fn execute(&self, order: Order) -> StatusCode {
        if !self.record(&order) {
            return StatusCode::PRECONDITION_FAILED;
        }
        if order.order == OrderKind::Load && !self.load_weights(&order).await {
            return StatusCode::BAD_GATEWAY;
        }
        self.state().apply(&order);
        StatusCode::OK
    }

    /// Loads the weights for an order; `false` if the download failed.
    async fn load_weights(&self, order: &Order) -> bool {
        if !self.load_time.is_zero() {
            tokio::time::sleep(self.load_time).await;
        }
        match &self.weights {
            Some(weights) => {
                weights
                    .download(order.model.as_deref().unwrap_or_default())
                    .await
            }
            None => true,
        }
    }

    /// Whether a model is loaded, given as `MODEL`, `MODEL@VERSION` or `MODEL@VERSION+ADAPTER`.
    pub(super) fn has_model(&self, model: &str) -> bool {
        let state = self.state();
        state.models.iter().any(|loaded| {
            let rest = loaded.strip_prefix(model);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['@', '+']))
        })
    }

    pub(super) fn journal(&self) -> Journal {
        Journal {
            orders: self.state().journal.clone(),
        }
    }

    pub(super) fn models(&self) -> Models {
        let state = self.state();
        Models {
            models: state.models.clone(),
            role: state.role.clone(),
            fence: state.fence,
        }
    }

    /// Records an order; `false` if fencing is enabled and its fencing token is stale.
    fn record(&self, order: &Order) -> bool {
        let mut state = self.state();
        let highest = state.fence;
        let carried_out = !self.fencing || order.fence >= highest;
        state.fence = highest.max(order.fence);
        state.journal.push(JournalEntry {
            order: order.clone(),
            carried_out,
            highest,
            at_us: now_us(),
        });
        carried_out
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self, order: &Order) {
        match order.order {
            OrderKind::Load => {
                self.models.insert(order.name());
            }
            OrderKind::Unload => {
                self.models.remove(&order.name());
            }
            OrderKind::Role => self.role = order.role.clone().unwrap_or_default(),
        }
    }
}

impl Order {
    /// `MODEL`, then `@VERSION` and `+ADAPTER` if they are given.
    fn name(&self) -> String {
        let mut name = self.model.clone().unwrap_or_default();
        if let Some(version) = &self.version {
            let version = version
                .as_str()
                .map_or_else(|| version.to_string(), str::to_owned);
            name.push('@');
            name.push_str(&version);
        }
        if let Some(adapter) = &self.adapter {
            name.push('+');
            name.push_str(adapter);
        }
        name
    }
}
