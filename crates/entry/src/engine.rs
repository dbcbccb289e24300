//! What one target's engine holds, as it says itself, and the order that it has been given.

use protocol::FencingToken;
use serde::Serialize;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::Models;

/// How long an answer is waited for before the engine is asked anew.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an engine's first word is waited for after its link came up.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// What an order is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verb {
    /// Load a model.
    Load,
    /// Give up a model.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Order {
    /// What is to be done.
    #[serde(rename = "order")]
    pub verb: Verb,
    /// Model that it is done with.
    pub model: String,
}

/// An order as engines read it.
#[derive(Serialize)]
struct FencedOrder<'a> {
    fence: FencingToken,
    #[serde(flatten)]
    order: &'a Order,
}

impl Order {
    /// The JSON body of the order under a fencing number.
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
        // Numbers and strings always make JSON.
        serde_json::to_vec(&fenced).unwrap_or_default()
    }
}

/// HTTP status that an order was answered with.
pub type Status = u16;

/// What an engine holds, for planning.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineView {
    /// Models that are loaded and are not being given up.
    pub warm: Vec<String>,
    /// Model that is being loaded.
    pub loading: Option<String>,
    /// Whether an order is open, so that no other may be sent.
    pub busy: bool,
    /// Models that callers of any entry have lately lacked.
    pub wanted: Vec<String>,
}

/// What is known of one target's engine.
#[derive(Debug, Default)]
pub struct Engine {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the link came up.
    link_up: Option<Instant>,
    reported: Option<ReportedModels>,
    /// Number of the latest question, and the question while it is open.
    query_number: u64,
    query: Option<Query>,
    open: Option<OpenOrder>,
    /// When the last order was over: what was asked before then may be out of date.
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
    /// Whether calls for a model may be sent to it.
    pub fn holds(&self, model: &str) -> bool {
        let state = self.lock();
        let reported = state.reported.as_ref();
        reported.is_some_and(|reported| reported.models.warm.iter().any(|warm| warm == model))
    }

    /// Whether it is loading a model.
    pub fn is_loading(&self, model: &str) -> bool {
        let state = self.lock();
        let reported = state.reported.as_ref();
        reported.is_some_and(|reported| reported.models.loading.as_deref() == Some(model))
    }

    /// Whether it is soon to say for the first time what it holds. One that stays silent is not
    /// waited for: calls for a model that nobody has would be accepted on its account.
    pub fn is_pending(&self) -> bool {
        let state = self.lock();
        let fresh = state
            .link_up
            .is_some_and(|link_up| link_up.elapsed() < FIRST_ANSWER_TIMEOUT);
        fresh && state.reported.is_none()
    }

    /// A link has come up.
    pub fn record_link_up(&self) {
        self.lock().link_up = Some(Instant::now());
    }

    /// What it held when it was asked under this fencing number and after the last order to it was
    /// over.
    ///
    /// Any other answer may have been overtaken by an order, of this entry or of an earlier holder
    /// of the lease, and a plan made from it could give up the last replica of a model.
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

    /// Number for the next question, unless the same one is open.
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

    /// Takes in an answer; one to an older question is dropped. An engine that could not be asked
    /// is taken to hold what it held: it refuses calls for what it does not hold as *not run*.
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

    /// Takes the place of the one open order, or `None` if it is taken.
    ///
    /// Answers bear no number of their order: with two open, the answer to one that had been given
    /// up for its time would pass for the other's.
    pub fn open_order(&self, order: Order) -> Option<oneshot::Receiver<Status>> {
        let mut state = self.lock();
        if state.open.is_some() {
            return None;
        }
        let (done, answer) = oneshot::channel();
        state.open = Some(OpenOrder { order, done });
        Some(answer)
    }

    /// Gives the place of the open order back; `status` is its answer, if it was sent.
    pub fn close_order(&self, status: Option<Status>) {
        let mut state = self.lock();
        let Some(open) = state.open.take() else {
            return;
        };
        state.last_order_ended = Some(Instant::now());
        state.query = None;
        if let Some(status) = status {
            // A planner that has gone with its entry needs no answer.
            let _ = open.done.send(status);
        }
    }

    /// The link is gone: nothing is known any more, and the answer to an open order is lost.
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
