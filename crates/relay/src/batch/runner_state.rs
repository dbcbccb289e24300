//! A runner of a cell: its calls in progress, its speed and the room for results.

use crate::configuration::BatchSettings;
use crate::downstream::{Failure, Handle, NotRun, PieceOutcome};
use crate::runner::Runner;
use decide::Map;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for which a runner is left alone that asks for one: it is called then, to hear whether
/// it still does.
const MAX_SPACING: Duration = Duration::from_secs(60);
/// Pause before a runner gets work again that was full.
const PAUSE_AFTER_FULL: Duration = Duration::from_millis(50);
/// Pause before a runner gets work again that had no room for results. Those that it holds were
/// asked for by another process, or are larger than the configuration says.
const PAUSE_AFTER_NO_ROOM: Duration = Duration::from_millis(60);
/// Part of the time for which results are kept that a runner which turned some away is taken to hold
/// what nobody here knows of. Such results lapse or are given back in the meantime; what is left then
/// costs one more refusal.
const UNKNOWN_RESULTS_DIVISOR: u32 = 4;
/// Pause before a runner gets work again that failed; doubles with each failure.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Failures after which the pause doubles no further.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Weight of one call in a runner's smoothed slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;
/// Time after which half of a runner's slowness is forgotten. One that is left idle for being slow
/// could never show that it has recovered otherwise.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Factor of a runner's slowness when a call to it is given up: it took at least that much longer.
const FAILED_CALL_SLOWNESS: f64 = 2.0;
/// Slowness above which a runner is left idle as long as pieces would be made sooner by waiting
/// for another one.
const MAX_SLOWNESS: f64 = 2.0;

/// A runner of the service.
#[derive(Debug)]
pub(super) struct RunnerState {
    pub(super) runner: Arc<Runner>,
    /// When the calls in progress are expected to end.
    pub(super) calls: Vec<Instant>,
    pub(super) results: Map<Handle, StoredResult>,
    pub(super) released: Vec<Handle>,
    /// Results that the call which needs them has fetched, the oldest first. If that call fails they
    /// are needed again.
    fetched: Vec<Handle>,
    slowness: f64,
    slowness_updated: Instant,
    failures: u32,
    pub(super) paused_until: Option<Instant>,
    /// Whether it has just turned results away, so that it holds more than is known here.
    pub(super) lacked_room: bool,
    /// Bytes that it holds beyond the results that are known here, and until when that is believed.
    unknown_results: Option<(u64, Instant)>,
}

/// A result that takes up room at its runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredResult {
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
    const MAX: f64 = 2.0;

    pub(super) fn update(&mut self, had_room: bool) {
        let factor = if had_room { Self::SHRINK } else { Self::GROW };
        self.0 = (self.0 * factor).clamp(1.0, Self::MAX);
    }

    pub(super) fn apply(self, bytes: u64) -> u64 {
        (bytes as f64 * self.0) as u64
    }
}

/// The runners that a call may go to now, those with the least results first.
///
/// A slow one is left idle as long as pieces would be made sooner by waiting for another one:
/// `queue` is the time that those wait that come last.
pub(super) fn available_runners(
    runner_states: &[RunnerState],
    batches: BatchSettings,
    queue: Duration,
    now: Instant,
) -> Vec<usize> {
    let awake = runner_states.iter().filter(|state| !state.is_paused(now));
    let Some(fastest) = awake
        .map(|state| state.slowness(now))
        .min_by(f64::total_cmp)
    else {
        return Vec::new();
    };
    let call = batches.shape.full();
    let elsewhere = queue + call.mul_f64(fastest * MAX_SLOWNESS);
    let free = |&index: &usize| {
        let state = &runner_states[index];
        let here = call.mul_f64(state.slowness(now));
        state.has_slot(batches) && !state.is_paused(now) && here < elsewhere
    };
    let mut free: Vec<usize> = (0..runner_states.len()).filter(free).collect();
    free.sort_by_key(|&index| runner_states[index].results.len());
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

impl RunnerState {
    pub(super) fn new(runner: Arc<Runner>) -> Self {
        Self {
            runner,
            calls: Vec::new(),
            results: Map::default(),
            released: Vec::new(),
            fetched: Vec::new(),
            slowness: 1.0,
            slowness_updated: Instant::now(),
            failures: 0,
            paused_until: None,
            lacked_room: false,
            unknown_results: None,
        }
    }

    /// How many times longer than expected its calls take, as far as is still believed.
    pub(super) fn slowness(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.slowness_updated);
        let faded = decide::smooth::decay(age, SLOWNESS_HALF_LIFE);
        1.0 + (self.slowness - 1.0) * faded
    }

    pub(super) fn has_slot(&self, batches: BatchSettings) -> bool {
        self.calls.len() < batches.slots as usize
    }

    /// When its next call is expected to start. A slow runner counts as free later by the time that
    /// its call takes longer than that of others.
    pub(super) fn free_at(&self, batches: BatchSettings, now: Instant) -> Instant {
        let call = batches.shape.full();
        let longer = call.mul_f64((self.slowness(now) - 1.0).max(0.0));
        let paused = self.paused_until.map_or(now, |until| until.max(now));
        let slot = self.calls.iter().min().filter(|_| !self.has_slot(batches));
        slot.map_or(paused, |until| paused.max(*until)) + longer
    }

    /// It asks for this time between its calls, the last of which began then.
    pub(super) fn apply_spacing(&mut self, begun: Instant, spacing: Duration) {
        let until = begun + spacing.min(MAX_SPACING);
        self.paused_until = self.paused_until.max(Some(until));
    }

    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Room for the next call's results once all that is released or fetched has been given back.
    pub(super) fn room(&mut self, batches: BatchSettings, now: Instant) -> Room {
        self.results.retain(|_, stored| stored.until > now);
        let results = &self.results;
        self.released.retain(|handle| results.contains_key(handle));
        self.fetched.retain(|handle| results.contains_key(handle));
        let stored = self.stored() + self.unknown_results(now);
        let spent = self.bytes(&self.released) + self.bytes(&self.fetched);
        Room {
            free: batches.room.saturating_sub(stored.saturating_sub(spent)),
            unreleased: batches.room.saturating_sub(stored),
        }
    }

    /// When parts of what lies here are gone.
    pub(super) fn expiries(&self) -> impl Iterator<Item = Instant> + '_ {
        let known = self.results.values().map(|stored| stored.until);
        known.chain(self.unknown_results.map(|(_, until)| until))
    }

    /// Bytes that are taken to lie here besides the results that are known.
    fn unknown_results(&self, now: Instant) -> u64 {
        let believed = self.unknown_results.filter(|(_, until)| *until > now);
        believed.map_or(0, |(bytes, _)| bytes)
    }

    /// Learns from a call some of whose results had no room, although all that is over had been given
    /// back, that the runner holds more than was believed.
    ///
    /// Results whose process died lie at their runner until they lapse. A runner that is taken for
    /// empty would be asked again and again, make a few pieces of each group, and hold those as well.
    fn add_unknown_results(
        &mut self,
        call: &FinishedCall<'_>,
        made: &[PieceOutcome],
        now: Instant,
    ) {
        let fitted = made
            .iter()
            .filter(|made| matches!(made, PieceOutcome::Done(_)));
        let fitted = call.needed_bytes * fitted.count() as u64 / made.len().max(1) as u64;
        let bytes = self.unknown_results(now) + call.room.saturating_sub(fitted);
        self.unknown_results = Some((bytes, now + call.keep / UNKNOWN_RESULTS_DIVISOR));
    }

    /// Results that are given back by now, to be told to the runner.
    pub(super) fn take_released(&mut self) -> Vec<Handle> {
        for handle in &self.released {
            self.results.remove(handle);
        }
        std::mem::take(&mut self.released)
    }

    /// Bytes of all results.
    fn stored(&self) -> u64 {
        self.results.values().map(|stored| stored.bytes).sum()
    }

    /// Bytes of some results.
    fn bytes(&self, handles: &[Handle]) -> u64 {
        let stored = handles.iter().filter_map(|handle| self.results.get(handle));
        stored.map(|stored| stored.bytes).sum()
    }

    /// Results are needed no more; some that came before this process may not be known.
    pub(super) fn release(&mut self, handle: &Handle, until: Instant) {
        let unknown_results = StoredResult { bytes: 0, until };
        self.results
            .entry(handle.clone())
            .or_insert(unknown_results);
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

    /// Results that the runner is told to drop now, so that there is room for `needed_bytes` bytes: all that
    /// are released, and of those that are fetched no more than it takes.
    pub(super) fn give_back(&mut self, batches: BatchSettings, needed_bytes: u64) -> Vec<Handle> {
        self.lacked_room = false;
        let mut dropped = self.take_released();
        let mut missing = (self.stored() + needed_bytes).saturating_sub(batches.room);
        let fetched = std::mem::take(&mut self.fetched);
        for handle in fetched {
            if missing == 0 {
                self.fetched.push(handle);
                continue;
            }
            let stored = self.results.remove(&handle);
            missing = missing.saturating_sub(stored.map_or(0, |stored| stored.bytes));
            dropped.push(handle);
        }
        dropped
    }

    /// Learns from a call that it has ended.
    pub(super) fn record_call(&mut self, call: &FinishedCall<'_>, now: Instant) {
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
                self.update_slowness(call, now);
            }
            // Pieces without room or inputs are answered at once, which must not make a runner look
            // fast: it would draw all calls and refuse them.
            Ok(made) => {
                if made.contains(&PieceOutcome::NoRoom) {
                    self.paused_until = Some(now + PAUSE_AFTER_NO_ROOM);
                    self.lacked_room = true;
                    if call.release_first {
                        self.add_unknown_results(call, made, now);
                    }
                }
            }
            Err(Failure::NotRun {
                reason: NotRun::Full { .. },
            }) => self.paused_until = Some(now + PAUSE_AFTER_FULL),
            Err(failure) if failure.is_withdrawn() => {}
            Err(_) => self.fail(now),
        }
    }

    fn update_slowness(&mut self, call: &FinishedCall<'_>, now: Instant) {
        let ratio = call.elapsed.as_secs_f64() / call.expected.as_secs_f64().max(0.001);
        let faded = self.slowness(now);
        let sample = call.slowness * ratio;
        self.slowness = faded + SLOWNESS_WEIGHT * (sample - faded);
        self.slowness_updated = now;
    }

    fn fail(&mut self, now: Instant) {
        let pause = PAUSE_AFTER_FAILURE * 2_u32.pow(self.failures.min(MAX_PAUSE_DOUBLINGS));
        self.failures += 1;
        self.paused_until = Some(now + pause);
        self.slowness = self.slowness(now) * FAILED_CALL_SLOWNESS;
        self.slowness_updated = now;
    }
}

/// A call that has ended.
#[derive(Debug)]
pub(super) struct FinishedCall<'a> {
    pub(super) result: &'a Result<Vec<PieceOutcome>, Failure>,
    pub(super) elapsed: Duration,
    /// What it was expected to take, by what was believed of the runner's slowness then.
    pub(super) expected: Duration,
    pub(super) slowness: f64,
    /// When it was expected to end.
    pub(super) until: Instant,
    /// Whether what was over had been given back before it was sent.
    pub(super) release_first: bool,
    /// Bytes of its results, and what was believed to be free for them.
    pub(super) needed_bytes: u64,
    pub(super) room: u64,
    /// Time for which results are kept.
    pub(super) keep: Duration,
}
