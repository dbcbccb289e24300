//! A runner of a cell: its calls in progress, its speed and the room for results.

use crate::downstream::{Failure, Handle, NotRun, PieceOutcome};
use crate::plan::Batches;
use crate::runner::Runner;
use decide::Map;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for which a runner is left alone that asks for one: it is called then, to hear whether
/// it still does.
const SPACING_MOST: Duration = Duration::from_secs(60);
/// Pause before a runner gets work again that was full.
const REST_FULL: Duration = Duration::from_millis(50);
/// Pause before a runner gets work again that had no room for results. Those that it holds were
/// asked for by another process, or are larger than the configuration says.
const REST_ROOM: Duration = Duration::from_millis(60);
/// Part of the time for which results are kept that a runner which turned some away is taken to hold
/// what nobody here knows of. Such results lapse or are given back in the meantime; what is left then
/// costs one more refusal.
const UNKNOWN_PART: u32 = 4;
/// Pause before a runner gets work again that failed; doubles with each failure.
const REST_FAILED: Duration = Duration::from_millis(500);
/// Failures after which the pause doubles no further.
const MOST_DOUBLINGS: u32 = 4;
/// Weight of one call in a runner's smoothed slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;
/// Time after which half of a runner's slowness is forgotten. One that is left idle for being slow
/// could never show that it has recovered otherwise.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Factor of a runner's slowness when a call to it is given up: it took at least that much longer.
const LOST_SLOWNESS: f64 = 2.0;
/// Slowness above which a runner is left idle as long as pieces would be made sooner by waiting
/// for another one.
const SLOW: f64 = 2.0;

/// A runner of the service.
#[derive(Debug)]
pub(super) struct Place {
    pub(super) runner: Arc<Runner>,
    /// When the calls in progress are expected to end.
    pub(super) calls: Vec<Instant>,
    pub(super) results: Map<Handle, Kept>,
    pub(super) released: Vec<Handle>,
    /// Results that the call which needs them has fetched, the oldest first. If that call fails they
    /// are needed again.
    fetched: Vec<Handle>,
    slowness: f64,
    judged: Instant,
    failures: u32,
    pub(super) rests_until: Option<Instant>,
    /// Whether it has just turned results away, so that it holds more than is known here.
    pub(super) full: bool,
    /// Bytes that it holds beyond the results that are known here, and until when that is believed.
    unknown: Option<(u64, Instant)>,
}

/// A result that takes up room at its runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kept {
    pub(super) bytes: u64,
    pub(super) until: Instant,
}

/// Results differ in size, and the configuration tells an approximate one. Pieces without room are
/// made once more, which costs a call: too large an estimate only leaves some room unused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inflation(f64);

impl Default for Inflation {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Inflation {
    /// Factor by which the estimate grows when results had no room.
    const GROW: f64 = 1.1;
    /// Factor by which it shrinks with each call whose results had.
    const SHRINK: f64 = 0.995;
    /// Greatest estimate.
    const MOST: f64 = 2.0;

    pub(super) fn learn(&mut self, had_room: bool) {
        let factor = if had_room { Self::SHRINK } else { Self::GROW };
        self.0 = (self.0 * factor).clamp(1.0, Self::MOST);
    }

    pub(super) fn apply(self, bytes: u64) -> u64 {
        (bytes as f64 * self.0) as u64
    }
}

/// The runners that a call may go to now, those with the least results first.
///
/// A slow one is left idle as long as pieces would be made sooner by waiting for another one:
/// `queue` is the time that those wait that come last.
pub(super) fn free_places(
    places: &[Place],
    batches: Batches,
    queue: Duration,
    now: Instant,
) -> Vec<usize> {
    let awake = places.iter().filter(|place| !place.rests(now));
    let Some(fastest) = awake
        .map(|place| place.slowness(now))
        .min_by(f64::total_cmp)
    else {
        return Vec::new();
    };
    let call = batches.shape.full();
    let elsewhere = queue + call.mul_f64(fastest * SLOW);
    let free = |&index: &usize| {
        let place = &places[index];
        let here = call.mul_f64(place.slowness(now));
        place.has_slot(batches) && !place.rests(now) && here < elsewhere
    };
    let mut free: Vec<usize> = (0..places.len()).filter(free).collect();
    free.sort_by_key(|&index| places[index].results.len());
    free
}

/// Room for results at a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// Once all that is released or fetched has been given back.
    pub(super) free: u64,
    /// As long as none of it has.
    pub(super) unreleased: u64,
}

impl Place {
    pub(super) fn new(runner: Arc<Runner>) -> Self {
        Self {
            runner,
            calls: Vec::new(),
            results: Map::default(),
            released: Vec::new(),
            fetched: Vec::new(),
            slowness: 1.0,
            judged: Instant::now(),
            failures: 0,
            rests_until: None,
            full: false,
            unknown: None,
        }
    }

    /// How many times longer than expected its calls take, as far as is still believed.
    pub(super) fn slowness(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.judged);
        let faded = decide::smooth::decay(age, SLOWNESS_HALF_LIFE);
        1.0 + (self.slowness - 1.0) * faded
    }

    pub(super) fn has_slot(&self, batches: Batches) -> bool {
        self.calls.len() < batches.slots as usize
    }

    /// When its next call is expected to start. A slow runner counts as free later by the time that
    /// its call takes longer than that of others.
    pub(super) fn free_at(&self, batches: Batches, now: Instant) -> Instant {
        let call = batches.shape.full();
        let longer = call.mul_f64((self.slowness(now) - 1.0).max(0.0));
        let rested = self.rests_until.map_or(now, |until| until.max(now));
        let slot = self.calls.iter().min().filter(|_| !self.has_slot(batches));
        slot.map_or(rested, |until| rested.max(*until)) + longer
    }

    /// It asks for this time between its calls, the last of which began then.
    pub(super) fn space(&mut self, begun: Instant, spacing: Duration) {
        let until = begun + spacing.min(SPACING_MOST);
        self.rests_until = self.rests_until.max(Some(until));
    }

    pub(super) fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Room for the next call's results once all that is released or fetched has been given back.
    pub(super) fn room(&mut self, batches: Batches, now: Instant) -> Room {
        self.results.retain(|_, kept| kept.until > now);
        let results = &self.results;
        self.released.retain(|handle| results.contains_key(handle));
        self.fetched.retain(|handle| results.contains_key(handle));
        let kept = self.kept() + self.unknown(now);
        let spent = self.bytes(&self.released) + self.bytes(&self.fetched);
        Room {
            free: batches.room.saturating_sub(kept.saturating_sub(spent)),
            unreleased: batches.room.saturating_sub(kept),
        }
    }

    /// When parts of what lies here are gone.
    pub(super) fn lapses(&self) -> impl Iterator<Item = Instant> + '_ {
        let known = self.results.values().map(|kept| kept.until);
        known.chain(self.unknown.map(|(_, until)| until))
    }

    /// Bytes that are taken to lie here besides the results that are known.
    fn unknown(&self, now: Instant) -> u64 {
        let believed = self.unknown.filter(|(_, until)| *until > now);
        believed.map_or(0, |(bytes, _)| bytes)
    }

    /// Learns from a call some of whose results had no room, although all that is over had been given
    /// back, that the runner holds more than was believed.
    ///
    /// Results whose process died lie at their runner until they lapse. A runner that is taken for
    /// empty would be asked again and again, make a few pieces of each group, and hold those as well.
    fn learn_unknown(&mut self, call: &Judged<'_>, made: &[PieceOutcome], now: Instant) {
        let fitted = made
            .iter()
            .filter(|made| matches!(made, PieceOutcome::Done(_)));
        let fitted = call.needed * fitted.count() as u64 / made.len().max(1) as u64;
        let bytes = self.unknown(now) + call.room.saturating_sub(fitted);
        self.unknown = Some((bytes, now + call.keep / UNKNOWN_PART));
    }

    /// Results that are given back by now, to be told to the runner.
    pub(super) fn take_released(&mut self) -> Vec<Handle> {
        for handle in &self.released {
            self.results.remove(handle);
        }
        std::mem::take(&mut self.released)
    }

    /// Bytes of all results.
    fn kept(&self) -> u64 {
        self.results.values().map(|kept| kept.bytes).sum()
    }

    /// Bytes of some results.
    fn bytes(&self, handles: &[Handle]) -> u64 {
        let kept = handles.iter().filter_map(|handle| self.results.get(handle));
        kept.map(|kept| kept.bytes).sum()
    }

    /// Results are needed no more; some that came before this process may not be known.
    pub(super) fn release(&mut self, handle: &Handle, until: Instant) {
        let unknown = Kept { bytes: 0, until };
        self.results.entry(handle.clone()).or_insert(unknown);
        self.fetched.retain(|fetched| fetched != handle);
        self.released.push(handle.clone());
    }

    /// A result has been fetched by the call that needs it.
    pub(super) fn fetched(&mut self, handle: &Handle) {
        let known = self.results.contains_key(handle);
        if known && !self.released.contains(handle) && !self.fetched.contains(handle) {
            self.fetched.push(handle.clone());
        }
    }

    /// Results that the runner is told to drop now, so that there is room for `needed` bytes: all that
    /// are released, and of those that are fetched no more than it takes.
    pub(super) fn give_back(&mut self, batches: Batches, needed: u64) -> Vec<Handle> {
        self.full = false;
        let mut dropped = self.take_released();
        let mut missing = (self.kept() + needed).saturating_sub(batches.room);
        let fetched = std::mem::take(&mut self.fetched);
        for handle in fetched {
            if missing == 0 {
                self.fetched.push(handle);
                continue;
            }
            let kept = self.results.remove(&handle);
            missing = missing.saturating_sub(kept.map_or(0, |kept| kept.bytes));
            dropped.push(handle);
        }
        dropped
    }

    /// Learns from a call that it has ended.
    pub(super) fn judge(&mut self, call: &Judged<'_>, now: Instant) {
        let ended = self.calls.iter().position(|until| *until == call.until);
        if let Some(ended) = ended {
            self.calls.swap_remove(ended);
        }
        match call.result {
            Ok(made)
                if made
                    .iter()
                    .all(|made| matches!(made, PieceOutcome::Done(_))) =>
            {
                self.failures = 0;
                self.learn_slowness(call, now);
            }
            // Pieces without room or inputs are answered at once, which must not make a runner look
            // fast: it would draw all calls and refuse them.
            Ok(made) => {
                if made.contains(&PieceOutcome::NoRoom) {
                    self.rests_until = Some(now + REST_ROOM);
                    self.full = true;
                    if call.tight {
                        self.learn_unknown(call, made, now);
                    }
                }
            }
            Err(Failure::NotRun {
                reason: NotRun::Full { .. },
            }) => self.rests_until = Some(now + REST_FULL),
            Err(failure) if failure.is_withdrawn() => {}
            Err(_) => self.fail(now),
        }
    }

    fn learn_slowness(&mut self, call: &Judged<'_>, now: Instant) {
        let ratio = call.elapsed.as_secs_f64() / call.expected.as_secs_f64().max(0.001);
        let faded = self.slowness(now);
        let sample = call.slowness * ratio;
        self.slowness = faded + SLOWNESS_WEIGHT * (sample - faded);
        self.judged = now;
    }

    fn fail(&mut self, now: Instant) {
        let rest = REST_FAILED * 2_u32.pow(self.failures.min(MOST_DOUBLINGS));
        self.failures += 1;
        self.rests_until = Some(now + rest);
        self.slowness = self.slowness(now) * LOST_SLOWNESS;
        self.judged = now;
    }
}

/// A call that has ended.
#[derive(Debug)]
pub(super) struct Judged<'a> {
    pub(super) result: &'a Result<Vec<PieceOutcome>, Failure>,
    pub(super) elapsed: Duration,
    /// What it was expected to take, by what was believed of the runner's slowness then.
    pub(super) expected: Duration,
    pub(super) slowness: f64,
    /// When it was expected to end.
    pub(super) until: Instant,
    /// Whether what was over had been given back before it was sent.
    pub(super) tight: bool,
    /// Bytes of its results, and what was believed to be free for them.
    pub(super) needed: u64,
    pub(super) room: u64,
    /// Time for which results are kept.
    pub(super) keep: Duration,
}
