//! What one target's engine holds, as it says itself, and the order that it has been given.

use protocol::FencingToken;
use serde::Serialize;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::Models;

/// How long an answer is waited for before the engine is asked anew.
const ASK_AGAIN: Duration = Duration::from_secs(5);

/// How long an engine's first word is waited for after its link came up.
const FIRST_WORD: Duration = Duration::from_secs(5);

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
struct Fenced<'a> {
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
        let fenced = Fenced { fence, order: self };
        // Numbers and strings always make JSON.
        serde_json::to_vec(&fenced).unwrap_or_default()
    }
}

/// HTTP status that an order was answered with.
pub type Status = u16;

/// What an engine holds, for planning.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
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
    up: Option<Instant>,
    held: Option<Held>,
    /// Number of the latest question, and the question while it is open.
    number: u64,
    asked: Option<Question>,
    open: Option<Open>,
    /// When the last order was over: what was asked before then may be out of date.
    settled: Option<Instant>,
}

#[derive(Debug)]
struct Held {
    models: Models,
    asked: Question,
}

#[derive(Clone, Copy, Debug)]
struct Question {
    at: Instant,
    fence: Option<FencingToken>,
}

#[derive(Debug)]
struct Open {
    order: Order,
    done: oneshot::Sender<Status>,
}

impl Engine {
    /// Whether calls for a model may be sent to it.
    pub fn holds(&self, model: &str) -> bool {
        let state = self.lock();
        let held = state.held.as_ref();
        held.is_some_and(|held| held.models.warm.iter().any(|warm| warm == model))
    }

    /// Whether it is loading a model.
    pub fn is_loading(&self, model: &str) -> bool {
        let state = self.lock();
        let held = state.held.as_ref();
        held.is_some_and(|held| held.models.loading.as_deref() == Some(model))
    }

    /// Whether it is soon to say for the first time what it holds. One that stays silent is not
    /// waited for: calls for a model that nobody has would be accepted on its account.
    pub fn is_pending(&self) -> bool {
        let state = self.lock();
        let fresh = state.up.is_some_and(|up| up.elapsed() < FIRST_WORD);
        fresh && state.held.is_none()
    }

    /// A link has come up.
    pub fn linked(&self) {
        self.lock().up = Some(Instant::now());
    }

    /// What it held when it was asked under this fencing number and after the last order to it was
    /// over.
    ///
    /// Any other answer may have been overtaken by an order, of this entry or of an earlier holder
    /// of the lease, and a plan made from it could give up the last replica of a model.
    pub fn view(&self, fence: FencingToken) -> Option<View> {
        let state = self.lock();
        let held = state.held.as_ref()?;
        let Question { at, fence: under } = held.asked;
        let fresh = under == Some(fence) && state.settled.is_none_or(|settled| at > settled);
        fresh.then(|| state.view(held))
    }

    /// Number for the next question, unless the same one is open.
    pub fn ask(&self, fence: Option<FencingToken>) -> Option<u64> {
        let mut state = self.lock();
        let at = Instant::now();
        let open = |asked: Question| asked.fence == fence && at < asked.at + ASK_AGAIN;
        if state.asked.is_some_and(open) {
            return None;
        }
        state.number += 1;
        state.asked = Some(Question { at, fence });
        Some(state.number)
    }

    /// Takes in an answer; one to an older question is dropped. An engine that could not be asked
    /// is taken to hold what it held: it refuses calls for what it does not hold as *not run*.
    pub fn answered(&self, number: u64, models: Option<Models>) {
        let mut state = self.lock();
        if number != state.number {
            return;
        }
        let Some(asked) = state.asked.take() else {
            return;
        };
        if let Some(models) = models {
            state.held = Some(Held { models, asked });
        }
    }

    /// Takes the place of the one open order, or `None` if it is taken.
    ///
    /// Answers bear no number of their order: with two open, the answer to one that had been given
    /// up for its time would pass for the other's.
    pub fn open(&self, order: Order) -> Option<oneshot::Receiver<Status>> {
        let mut state = self.lock();
        if state.open.is_some() {
            return None;
        }
        let (done, answer) = oneshot::channel();
        state.open = Some(Open { order, done });
        Some(answer)
    }

    /// Gives the place of the open order back; `status` is its answer, if it was sent.
    pub fn close(&self, status: Option<Status>) {
        let mut state = self.lock();
        let Some(open) = state.open.take() else {
            return;
        };
        state.settled = Some(Instant::now());
        state.asked = None;
        if let Some(status) = status {
            // A planner that has gone with its entry needs no answer.
            let _ = open.done.send(status);
        }
    }

    /// The link is gone: nothing is known any more, and the answer to an open order is lost.
    pub fn forget(&self) {
        let mut state = self.lock();
        let number = state.number;
        *state = State {
            number,
            ..State::default()
        };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn view(&self, held: &Held) -> View {
        let order = self.open.as_ref().map(|open| &open.order);
        let about = |verb, model: &str| {
            order.is_some_and(|order| order.verb == verb && order.model == model)
        };
        let ordered = order.filter(|order| order.verb == Verb::Load);
        let warm = held.models.warm.iter();
        View {
            warm: warm
                .filter(|model| !about(Verb::Unload, model))
                .cloned()
                .collect(),
            loading: ordered
                .map(|order| order.model.clone())
                .or_else(|| held.models.loading.clone()),
            busy: order.is_some(),
            wanted: held.models.wanted.clone(),
        }
    }
}
