//! When faults begin and end.

use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Pause before something that cannot be undone yet is tried again.
const LOOK: Duration = Duration::from_millis(100);

/// Something that is to be undone.
#[derive(Clone, Debug)]
pub struct Pending<U> {
    /// When.
    pub due: Instant,
    /// What.
    pub what: U,
}

/// What comes next.
#[derive(Clone, Debug)]
pub enum Step<U> {
    /// A new fault.
    Draw,
    /// The end of some.
    Undo(Vec<Pending<U>>),
}

/// Faults that last, and the time for new ones.
#[derive(Debug)]
pub struct Schedule<U> {
    end: Instant,
    next: Instant,
    /// What lasts.
    pub pending: Vec<Pending<U>>,
}

impl<U> Schedule<U> {
    /// New faults for so long, the first one now.
    #[must_use]
    pub fn new(time: Duration) -> Self {
        let now = Instant::now();
        Self {
            end: now + time,
            next: now,
            pending: Vec::new(),
        }
    }

    /// Waits for the next step; none once all is over.
    pub async fn step(&mut self) -> Option<Step<U>> {
        let due = self.pending.iter().map(|pending| pending.due).min();
        let draw = (self.next < self.end).then_some(self.next);
        let first = due.into_iter().chain(draw).min()?;
        sleep_until(first).await;
        if draw == Some(first) {
            return Some(Step::Draw);
        }
        let now = Instant::now();
        let pending = std::mem::take(&mut self.pending).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = pending.partition(|pending| pending.due <= now);
        self.pending = later;
        Some(Step::Undo(due))
    }

    /// The next fault comes so much later than this one.
    pub fn pause(&mut self, time: Duration) {
        self.next += time;
    }

    /// Something lasts for a time.
    pub fn last(&mut self, length: Duration, what: U) {
        let due = Instant::now() + length;
        self.pending.push(Pending { due, what });
    }

    /// Something cannot be undone yet.
    pub async fn put_off(&mut self, pending: Pending<U>) {
        self.pending.push(pending);
        sleep(LOOK).await;
    }
}
