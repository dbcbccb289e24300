//! How many calls may be in flight at once.

use crate::either::{Either, either};
use crate::smooth::Ewma;
use std::time::Duration;

/// One answered call, as its sender saw it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time from sending the call to its whole answer.
    pub elapsed: Duration,
    /// Calls that waited beside the runner when it answered.
    pub queued: u32,
    /// Calls that the runner is given at once at most; zero if it did not say.
    pub slots: u32,
    /// Calls in flight when it was sent, itself included.
    pub in_flight: u32,
}

/// A limit on calls in flight.
pub trait Limit {
    /// Calls that may be in flight now.
    fn limit(&self) -> u32;
    /// Takes in an answered call.
    fn answered(&mut self, sample: Sample);
    /// Takes in a call that the other side refused because it was full.
    fn refused(&mut self);
    /// Sets the bounds within which the limit moves, as targets come and go.
    fn resize(&mut self, least: u32, most: u32);
}

/// A limit that never moves by itself: the baseline.
#[derive(Clone, Debug)]
pub struct Fixed {
    limit: u32,
}

impl Fixed {
    /// A fixed limit.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self { limit }
    }
}

impl Limit for Fixed {
    fn limit(&self) -> u32 {
        self.limit
    }

    fn answered(&mut self, _sample: Sample) {}

    fn refused(&mut self) {}

    fn resize(&mut self, _least: u32, most: u32) {
        self.limit = most;
    }
}

/// Weight of one sample in the short-term mean of the stretch.
const SHORT_WEIGHT: f64 = 0.1;
/// Stretch (elapsed over undisturbed time) that is taken as no queueing at all.
const TOLERANCE: f64 = 1.1;
/// Calls beyond what waits for nothing, as a multiple of the limit's square root. More would wait
/// beside the runners, where no workspace has its share.
const HEADROOM: f64 = 0.5;
/// Share by which the limit moves towards its goal with one sample.
const STEP: f64 = 0.05;
/// Share of the limit that is left after a refusal.
const BACKOFF: f64 = 0.95;
/// Share by which the remembered undisturbed time rises with each slower sample while few calls are
/// in flight, so that a lasting change of the work is learnt within some hundred calls.
const FLOOR_RISE: f64 = 0.005;
/// The same while the limit is in use. Such samples contain the queueing that the limit is there to
/// prevent; learnt as fast, each would raise the limit, and that the next sample.
const BUSY_FLOOR_RISE: f64 = 0.000_05;

/// A limit that follows the gradient of latency: it grows while calls take no longer than
/// undisturbed ones, and shrinks in proportion once they queue.
///
/// Until calls have queued for the first time it grows by one with each answer: an entry that has just
/// started would leave runners idle while it climbs.
///
/// Where the other side tells how many calls wait there, that is the stretch: an engine that batches
/// takes longer for each call while more run, without any of them waiting, so that its times say
/// little. Where it does not, the undisturbed time is a slowly rising minimum of the elapsed times.
#[derive(Clone, Debug)]
pub struct Gradient {
    limit: f64,
    least: f64,
    most: f64,
    stretch: Ewma,
    floor: Option<f64>,
    starting: bool,
}

impl Gradient {
    /// A limit that starts at `start` and stays within the bounds.
    #[must_use]
    pub fn new(start: u32, least: u32, most: u32) -> Self {
        Self {
            limit: f64::from(start),
            least: f64::from(least),
            most: f64::from(most),
            stretch: Ewma::new(SHORT_WEIGHT),
            floor: None,
            starting: true,
        }
    }

    fn in_use(&self, sample: &Sample) -> bool {
        f64::from(sample.in_flight) * 2.0 >= self.limit
    }

    /// Time that a call takes, as a multiple of what it would take without waiting.
    fn stretch(&mut self, sample: &Sample) -> f64 {
        if sample.slots > 0 {
            return 1.0 + f64::from(sample.queued) / f64::from(sample.slots);
        }
        let undisturbed = self.undisturbed(sample).max(f64::MIN_POSITIVE);
        sample.elapsed.as_secs_f64() / undisturbed
    }

    fn undisturbed(&mut self, sample: &Sample) -> f64 {
        let elapsed = sample.elapsed.as_secs_f64();
        let floor = self.floor.unwrap_or(elapsed);
        let rise = if self.in_use(sample) {
            BUSY_FLOOR_RISE
        } else {
            FLOOR_RISE
        };
        let floor = (floor + rise * (elapsed - floor)).min(elapsed);
        self.floor = Some(floor);
        floor
    }
}

impl Limit for Gradient {
    fn limit(&self) -> u32 {
        self.limit.round() as u32
    }

    fn answered(&mut self, sample: Sample) {
        let stretch = self.stretch(&sample);
        self.stretch.add(stretch);
        let gradient = (TOLERANCE / self.stretch.get().unwrap_or(1.0)).clamp(0.5, 1.0);
        if gradient >= 1.0 && !self.in_use(&sample) {
            return;
        }
        self.starting &= gradient >= 1.0;
        if self.starting {
            self.limit = (self.limit + 1.0).min(self.most);
            return;
        }
        let goal = self.limit * gradient + HEADROOM * self.limit.sqrt();
        let next = self.limit + STEP * (goal - self.limit);
        self.limit = next.clamp(self.least, self.most);
    }

    fn refused(&mut self) {
        self.limit = (self.limit * BACKOFF).max(self.least);
    }

    fn resize(&mut self, least: u32, most: u32) {
        self.least = f64::from(least);
        self.most = f64::from(most);
        self.limit = self.limit.clamp(self.least, self.most);
    }
}

impl<N: Limit, S: Limit> Limit for Either<N, S> {
    fn limit(&self) -> u32 {
        either!(self, inner => inner.limit())
    }

    fn answered(&mut self, sample: Sample) {
        either!(self, inner => inner.answered(sample));
    }

    fn refused(&mut self) {
        either!(self, inner => inner.refused());
    }

    fn resize(&mut self, least: u32, most: u32) {
        either!(self, inner => inner.resize(least, most));
    }
}
