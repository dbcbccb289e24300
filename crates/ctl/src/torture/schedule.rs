//! Schedule of the starts and ends of faults.

use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Pause before the next attempt to undo a fault that cannot be undone yet.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// An active fault that is still to be undone.
#[derive(Clone, Debug)]
pub struct Pending<F> {
    /// When it is to be undone.
    pub due: Instant,
    /// The fault.
    pub fault: F,
}

/// The next step of a schedule.
#[derive(Clone, Debug)]
pub enum Step<F> {
    /// A new fault is to be drawn.
    Draw,
    /// Faults are due to be undone.
    Undo(Vec<Pending<F>>),
}

/// Active faults, and the time for new ones.
#[derive(Debug)]
pub struct Schedule<F> {
    end: Instant,
    next: Instant,
    /// Active faults.
    pub pending: Vec<Pending<F>>,
}

impl<F> Schedule<F> {
    /// Schedules new faults for the given time, the first one now.
    #[must_use]
    pub fn new(time: Duration) -> Self {
        let now = Instant::now();
        Self {
            end: now + time,
            next: now,
            pending: Vec::new(),
        }
    }

    /// Waits for the next step; none once the time is over and no fault is active.
    pub async fn step(&mut self) -> Option<Step<F>> {
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

    /// Sets the time between the current fault and the next one.
    pub fn pause(&mut self, time: Duration) {
        self.next += time;
    }

    /// Adds an active fault that is to be undone after a time.
    pub fn add(&mut self, duration: Duration, fault: F) {
        let due = Instant::now() + duration;
        self.pending.push(Pending { due, fault });
    }

    /// Puts back a fault that cannot be undone yet, and waits a moment.
    pub async fn postpone(&mut self, pending: Pending<F>) {
        self.pending.push(pending);
        sleep(RETRY_PAUSE).await;
    }
}
