//! Models that one target's engine reports, and the order that is open at the engine.

use protocol::FencingToken;
use serde::Serialize;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::Models;

/// Time after which an unanswered query is sent again.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time to wait for an engine's first report after its link came up.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verb {
    /// Load a model.
    Load,
    /// Unload a model.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order {
    /// Kind of the order.
    #[serde(rename = "order")]
    pub verb: Verb,
    /// Model that the order refers to.
    pub model: String,
}

/// The JSON format of an order.
#[derive(Serialize)]
struct FencedOrder<'a> {
    fence: FencingToken,
    #[serde(flatten)]
    order: &'a Order,
}

impl Order {
    /// Returns the JSON body of the order under a fencing token.
    ///
    /// # Examples
    ///
    /// ```
    /// use entry::engine::{Order, Verb};
    ///
    /// let order = Order { verb: Verb::Load, model: "draft".into() };
    /// assert_eq!(order.body(7), br#"{"fence":7,"order":"load","model":"draft"}"#);
    /// ```
    #[must_use]
    pub fn body(&self, fence: FencingToken) -> Vec<u8> {
        let fenced = FencedOrder { fence, order: self };
        // Serializing numbers and strings cannot fail.
        serde_json::to_vec(&fenced).unwrap_or_default()
    }
}

/// HTTP status of the answer to an order.
pub type Status = u16;

/// State of an engine as seen by the planner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineView {
    /// Models that are loaded and not being unloaded.
    pub warm: Vec<String>,
    /// Model that is being loaded.
    pub loading: Option<String>,
    /// Whether an order is open, so that no other may be sent.
    pub busy: bool,
    /// Models that callers of any entry lacked recently.
    pub wanted: Vec<String>,
}

/// What an entry knows about one target's engine.
#[derive(Debug, Default)]
pub struct Engine {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the link came up.
    link_up: Option<Instant>,
    reported: Option<ReportedModels>,
    /// Number of the latest query, and the query itself while it is open.
    query_number: u64,
    query: Option<Query>,
    open: Option<OpenOrder>,
    /// When the last order ended. Reports to earlier queries may be out of date.
    last_order_ended: Option<Instant>,
}

#[derive(Debug)]
struct ReportedModels {
    models: Models,
    query: Query,
}

#[derive(Clone, Copy, Debug)]
struct Query {
    sent_at: Instant,
    fence: Option<FencingToken>,
}

#[derive(Debug)]
struct OpenOrder {
    order: Order,
    done: oneshot::Sender<Status>,
}

impl Engine {
    /// Whether calls for a model may be sent to the engine.
    pub fn holds(&self, model: &str) -> bool {
        let state = self.lock();
        let reported = state.reported.as_ref();
        reported.is_some_and(|reported| reported.models.warm.iter().any(|warm| warm == model))
    }

    /// Whether the engine is loading a model.
    pub fn is_loading(&self, model: &str) -> bool {
        let state = self.lock();
        let reported = state.reported.as_ref();
        reported.is_some_and(|reported| reported.models.loading.as_deref() == Some(model))
    }

    /// Whether the first report of the engine is expected soon. An engine that does not respond
    /// within the time limit does not count, or calls for a model that no engine has would be
    /// accepted because of it.
    pub fn is_pending(&self) -> bool {
        let state = self.lock();
        let fresh = state
            .link_up
            .is_some_and(|link_up| link_up.elapsed() < FIRST_ANSWER_TIMEOUT);
        fresh && state.reported.is_none()
    }

    /// Records that the link came up.
    pub fn record_link_up(&self) {
        self.lock().link_up = Some(Instant::now());
    }

    /// Returns the state of the engine if it was queried under this fencing token and after the
    /// last order had ended.
    ///
    /// Any other report may be outdated by an order of this entry or of an earlier lease holder,
    /// and a plan based on it could unload the last replica of a model.
    pub fn view(&self, fence: FencingToken) -> Option<EngineView> {
        let state = self.lock();
        let reported = state.reported.as_ref()?;
        let Query {
            sent_at,
            fence: query_fence,
        } = reported.query;
        let fresh = query_fence == Some(fence)
            && state
                .last_order_ended
                .is_none_or(|last_order_ended| sent_at > last_order_ended);
        fresh.then(|| state.view(reported))
    }

    /// Returns the number for a new query, unless a query under the same fencing token is still
    /// open.
    pub fn next_query(&self, fence: Option<FencingToken>) -> Option<u64> {
        let mut state = self.lock();
        let sent_at = Instant::now();
        let open = |query: Query| query.fence == fence && sent_at < query.sent_at + QUERY_TIMEOUT;
        if state.query.is_some_and(open) {
            return None;
        }
        state.query_number += 1;
        state.query = Some(Query { sent_at, fence });
        Some(state.query_number)
    }

    /// Records the answer to a query; an answer to an older one is dropped. If the agent could not
    /// query the engine, the previous report is kept: the engine refuses calls for models that it
    /// does not hold as *not run*.
    pub fn record_models(&self, query_number: u64, models: Option<Models>) {
        let mut state = self.lock();
        if query_number != state.query_number {
            return;
        }
        let Some(query) = state.query.take() else {
            return;
        };
        if let Some(models) = models {
            state.reported = Some(ReportedModels { models, query });
        }
    }

    /// Opens an order. Returns `None` if another order is open.
    ///
    /// Answers do not identify their order. With two open orders, a late answer to one that had
    /// timed out would be taken for the answer to the other.
    pub fn open_order(&self, order: Order) -> Option<oneshot::Receiver<Status>> {
        let mut state = self.lock();
        if state.open.is_some() {
            return None;
        }
        let (done, answer) = oneshot::channel();
        state.open = Some(OpenOrder { order, done });
        Some(answer)
    }

    /// Closes the open order; `status` is its answer, if it was sent.
    pub fn close_order(&self, status: Option<Status>) {
        let mut state = self.lock();
        let Some(open) = state.open.take() else {
            return;
        };
        state.last_order_ended = Some(Instant::now());
        state.query = None;
        if let Some(status) = status {
            // A dropped receiver means that the answer is no longer needed.
            let _ = open.done.send(status);
        }
    }

    /// Resets the state after the link was lost; the answer to an open order is lost.
    pub fn reset(&self) {
        let mut state = self.lock();
        let query_number = state.query_number;
        *state = State {
            query_number,
            ..State::default()
        };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn view(&self, reported: &ReportedModels) -> EngineView {
        let order = self.open.as_ref().map(|open| &open.order);
        let about = |verb, model: &str| {
            order.is_some_and(|order| order.verb == verb && order.model == model)
        };
        let ordered = order.filter(|order| order.verb == Verb::Load);
        let warm = reported.models.warm.iter();
        EngineView {
            warm: warm
                .filter(|model| !about(Verb::Unload, model))
                .cloned()
                .collect(),
            loading: ordered
                .map(|order| order.model.clone())
                .or_else(|| reported.models.loading.clone()),
            busy: order.is_some(),
            wanted: reported.models.wanted.clone(),
        }
    }
}
