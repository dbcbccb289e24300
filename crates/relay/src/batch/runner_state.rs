//! State of a runner of a cell: its calls in progress, its speed and its room for results.

use crate::configuration::BatchSettings;
use crate::downstream::{Failure, Handle, NotRun, PieceOutcome};
use crate::runner::Runner;
use decide::Map;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest interval between calls that a runner can ask for. After that it gets a call, whose
/// response tells whether it still asks for one.
const MAX_SPACING: Duration = Duration::from_secs(60);
/// Pause before a runner that was at capacity gets work again.
const PAUSE_AFTER_FULL: Duration = Duration::from_millis(50);
/// Pause before a runner that had no room for results gets work again. The results that it stores
/// were computed for another process, or are larger than configured.
const PAUSE_AFTER_NO_ROOM: Duration = Duration::from_millis(60);
/// After a runner has rejected results it is assumed to store results unknown to this process, for
/// this fraction of the retention time. Such results expire or are released in the meantime; any
/// that are left cost one more rejection.
const UNKNOWN_RESULTS_DIVISOR: u32 = 4;
/// Pause before a runner that failed gets work again; doubles with each failure.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Failures after which the pause no longer doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Weight of one call in a runner's smoothed slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;
/// Half-life of a runner's slowness. Without the decay, a runner that is left idle because it is
/// slow could never show that it has recovered.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Factor applied to a runner's slowness when a call to it is given up, since the call took at
/// least that much longer.
const FAILED_CALL_SLOWNESS: f64 = 2.0;
/// Time for which a runner's own calls tell its slowness better than its reports, which may be wrong.
const MEASURED_SLOWNESS_AGE: Duration = Duration::from_secs(2);
/// Time for which a reported slowness is used. It changes many times a second.
const REPORTED_SLOWNESS_AGE: Duration = Duration::from_secs(1);
/// Bounds on a reported slowness. One below the minimum counts as usual: otherwise the other runners
/// would be left idle for one that is said to be fast, and calls to it would be given up earlier.
const MIN_REPORTED_SLOWNESS: f64 = 1.0;
const MAX_REPORTED_SLOWNESS: f64 = 4.0;
/// Slowness above which a runner is left idle while waiting for another runner would finish pieces
/// sooner.
const MAX_SLOWNESS: f64 = 2.0;

/// State of a runner of the service.
#[derive(Debug)]
pub(super) struct RunnerState {
    pub(super) runner: Arc<Runner>,
    /// When the calls in progress are expected to end.
    pub(super) calls: Vec<Instant>,
    pub(super) results: Map<Handle, StoredResult>,
    pub(super) released: Vec<Handle>,
    /// Results that have been fetched by the call that needs them, oldest first. They are needed
    /// again if that call fails.
    fetched: Vec<Handle>,
    slowness: f64,
    /// When the last call ended that showed the slowness.
    measured_at: Option<Instant>,
    /// Slowness according to the runner, and when it said so.
    reported_slowness: Option<(f64, Instant)>,
    failures: u32,
    pub(super) paused_until: Option<Instant>,
    /// Whether the runner has just rejected results, so that it stores more than is known here.
    pub(super) lacked_room: bool,
    /// Bytes stored beyond the known results, and until when this is assumed.
    unknown_results: Option<(u64, Instant)>,
}

/// A result that occupies room at its runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredResult {
    pub(super) bytes: u64,
    pub(super) expires_at: Instant,
}

/// Correction of the configured size of results, which is approximate. Pieces without room have to
/// be processed again, which costs a call, whereas too large an estimate only leaves some room
/// unused.
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
    /// Factor by which the estimate shrinks with each call whose results had room.
    const SHRINK: f64 = 0.995;
    /// Largest estimate.
    const MAX: f64 = 2.0;

    pub(super) fn update(&mut self, had_room: bool) {
        let factor = if had_room { Self::SHRINK } else { Self::GROW };
        self.0 = (self.0 * factor).clamp(1.0, Self::MAX);
    }

    pub(super) fn apply(self, bytes: u64) -> u64 {
        (bytes as f64 * self.0) as u64
    }
}

/// Runners that can be called now, those with the fewest results first.
///
/// A slow runner is left idle while waiting for another one would finish pieces sooner; `queue` is
/// the waiting time of the last pieces in the queue.
pub(super) fn available_runners(
    runner_states: &[RunnerState],
    batches: BatchSettings,
    queue: Duration,
    now: Instant,
) -> Vec<usize> {
    let unpaused = runner_states.iter().filter(|state| !state.is_paused(now));
    let Some(fastest) = unpaused
        .map(|state| state.slowness(now))
        .min_by(f64::total_cmp)
    else {
        return Vec::new();
    };
    let call = batches.shape.full();
    let wait_for_other = queue + call.mul_f64(fastest * MAX_SLOWNESS);
    let free = |&index: &usize| {
        let state = &runner_states[index];
        let own_time = call.mul_f64(state.slowness(now));
        state.has_slot(batches) && !state.is_paused(now) && own_time < wait_for_other
    };
    let mut free: Vec<usize> = (0..runner_states.len()).filter(free).collect();
    free.sort_by_key(|&index| runner_states[index].results.len());
    free
}

/// Room for results at a runner, in bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// Room once all released or fetched results have been dropped.
    pub(super) free: u64,
    /// Room before any of them is dropped.
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
            measured_at: None,
            reported_slowness: None,
            failures: 0,
            paused_until: None,
            lacked_room: false,
            unknown_results: None,
        }
    }

    /// How many times longer than expected the runner's calls take: according to its calls, or to
    /// its own report where there is no recent call.
    pub(super) fn slowness(&self, now: Instant) -> f64 {
        let is_within = |then: Instant, age| now.saturating_duration_since(then) < age;
        let is_measured = self
            .measured_at
            .is_some_and(|then| is_within(then, MEASURED_SLOWNESS_AGE));
        let reported = self
            .reported_slowness
            .filter(|(_, then)| !is_measured && is_within(*then, REPORTED_SLOWNESS_AGE));
        reported.map_or_else(|| self.measured_slowness(now), |(reported, _)| reported)
    }

    /// Slowness according to the runner's calls, decayed by the age of that estimate.
    fn measured_slowness(&self, now: Instant) -> f64 {
        let Some(measured_at) = self.measured_at else {
            return 1.0;
        };
        let age = now.saturating_duration_since(measured_at);
        let decayed = decide::smooth::decay(age, SLOWNESS_HALF_LIFE);
        1.0 + (self.slowness - 1.0) * decayed
    }

    /// Records the slowness that the runner reports.
    pub(super) fn record_reported_slowness(&mut self, slowness: f64, now: Instant) {
        let slowness = slowness.clamp(MIN_REPORTED_SLOWNESS, MAX_REPORTED_SLOWNESS);
        self.reported_slowness = Some((slowness, now));
    }

    pub(super) fn has_slot(&self, batches: BatchSettings) -> bool {
        self.calls.len() < batches.slots as usize
    }

    /// When the next call is expected to start. A slow runner counts as free later, by the extra
    /// time that its call takes.
    pub(super) fn free_at(&self, batches: BatchSettings, now: Instant) -> Instant {
        let call = batches.shape.full();
        let extra_time = call.mul_f64((self.slowness(now) - 1.0).max(0.0));
        let paused = self.paused_until.map_or(now, |until| until.max(now));
        let slot = self.calls.iter().min().filter(|_| !self.has_slot(batches));
        slot.map_or(paused, |until| paused.max(*until)) + extra_time
    }

    /// Applies the interval between calls that the runner asks for; the last call started at
    /// `started_at`.
    pub(super) fn apply_spacing(&mut self, started_at: Instant, spacing: Duration) {
        let until = started_at + spacing.min(MAX_SPACING);
        self.paused_until = self.paused_until.max(Some(until));
    }

    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Room for the next call's results once all released or fetched results have been dropped.
    pub(super) fn room(&mut self, batches: BatchSettings, now: Instant) -> Room {
        self.results.retain(|_, stored| stored.expires_at > now);
        let results = &self.results;
        self.released.retain(|handle| results.contains_key(handle));
        self.fetched.retain(|handle| results.contains_key(handle));
        let stored = self.stored().saturating_add(self.unknown_results(now));
        let droppable = self.bytes(&self.released);
        let droppable = droppable.saturating_add(self.bytes(&self.fetched));
        Room {
            free: batches
                .room
                .saturating_sub(stored.saturating_sub(droppable)),
            unreleased: batches.room.saturating_sub(stored),
        }
    }

    /// When parts of the stored results expire.
    pub(super) fn expiries(&self) -> impl Iterator<Item = Instant> + '_ {
        let known = self.results.values().map(|stored| stored.expires_at);
        known.chain(self.unknown_results.map(|(_, until)| until))
    }

    /// Bytes that are assumed to be stored besides the known results.
    fn unknown_results(&self, now: Instant) -> u64 {
        let assumed = self.unknown_results.filter(|(_, until)| *until > now);
        assumed.map_or(0, |(bytes, _)| bytes)
    }

    /// Records that the runner stores more than was assumed, after a call some of whose results had
    /// no room although all results that were no longer needed had been dropped.
    ///
    /// Results whose process died stay at their runner until they expire. A runner that was assumed
    /// to be empty would be called again and again, process a few pieces of each group, and store
    /// the results of those as well.
    fn add_unknown_results(
        &mut self,
        call: &FinishedCall<'_>,
        outcomes: &[PieceOutcome],
        now: Instant,
    ) {
        let fitted = outcomes
            .iter()
            .filter(|outcome| matches!(outcome, PieceOutcome::Done(_)));
        let fitted = call.needed_bytes * fitted.count() as u64 / outcomes.len().max(1) as u64;
        let bytes = self.unknown_results(now) + call.room.saturating_sub(fitted);
        self.unknown_results = Some((bytes, now + call.keep / UNKNOWN_RESULTS_DIVISOR));
    }

    /// Takes the released results, which the runner is then told to drop.
    pub(super) fn take_released(&mut self) -> Vec<Handle> {
        for handle in &self.released {
            self.results.remove(handle);
        }
        std::mem::take(&mut self.released)
    }

    /// Size of all results in bytes.
    fn stored(&self) -> u64 {
        let bytes = self.results.values().map(|stored| stored.bytes);
        bytes.fold(0, u64::saturating_add)
    }

    /// Size of these results in bytes.
    fn bytes(&self, handles: &[Handle]) -> u64 {
        let stored = handles.iter().filter_map(|handle| self.results.get(handle));
        stored
            .map(|stored| stored.bytes)
            .fold(0, u64::saturating_add)
    }

    /// Marks a result as no longer needed; a result from before this process owned the cell may be
    /// unknown.
    pub(super) fn release(&mut self, handle: &Handle, expires_at: Instant) {
        let unknown_results = StoredResult {
            bytes: 0,
            expires_at,
        };
        self.results
            .entry(handle.clone())
            .or_insert(unknown_results);
        self.fetched.retain(|fetched| fetched != handle);
        self.released.push(handle.clone());
    }

    /// Marks a result as fetched by the call that needs it.
    pub(super) fn fetched(&mut self, handle: &Handle) {
        let known = self.results.contains_key(handle);
        if known && !self.released.contains(handle) && !self.fetched.contains(handle) {
            self.fetched.push(handle.clone());
        }
    }

    /// Results that the runner is told to drop now to make room for `needed_bytes` bytes: all
    /// released ones, and only as many of the fetched ones as necessary.
    pub(super) fn drop_results(
        &mut self,
        batches: BatchSettings,
        needed_bytes: u64,
    ) -> Vec<Handle> {
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

    /// Updates the state from a call that has ended.
    pub(super) fn record_call(&mut self, call: &FinishedCall<'_>, now: Instant) {
        let ended = self.calls.iter().position(|end| *end == call.expected_end);
        if let Some(ended) = ended {
            self.calls.swap_remove(ended);
        }
        match call.result {
            Ok(outcomes)
                if outcomes
                    .iter()
                    .all(|outcome| matches!(outcome, PieceOutcome::Done(_))) =>
            {
                self.failures = 0;
                self.update_slowness(call, now);
            }
            // Pieces without room or inputs are rejected immediately. That must not make a runner
            // look fast, or it would attract all calls and reject them.
            Ok(outcomes) => {
                if outcomes.contains(&PieceOutcome::NoRoom) {
                    self.paused_until = Some(now + PAUSE_AFTER_NO_ROOM);
                    self.lacked_room = true;
                    if call.release_first {
                        self.add_unknown_results(call, outcomes, now);
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
        let decayed = self.measured_slowness(now);
        let sample = call.slowness * ratio;
        self.slowness = decayed + SLOWNESS_WEIGHT * (sample - decayed);
        self.measured_at = Some(now);
    }

    fn fail(&mut self, now: Instant) {
        let pause = PAUSE_AFTER_FAILURE * 2_u32.pow(self.failures.min(MAX_PAUSE_DOUBLINGS));
        self.failures += 1;
        self.paused_until = Some(now + pause);
        self.slowness = self.measured_slowness(now) * FAILED_CALL_SLOWNESS;
        self.measured_at = Some(now);
    }
}

/// A call that has ended.
#[derive(Debug)]
pub(super) struct FinishedCall<'a> {
    pub(super) result: &'a Result<Vec<PieceOutcome>, Failure>,
    pub(super) elapsed: Duration,
    /// Expected time of the call, given the runner's slowness when it was sent.
    pub(super) expected: Duration,
    pub(super) slowness: f64,
    /// When the call was expected to end.
    pub(super) expected_end: Instant,
    /// Whether results that were no longer needed had been dropped before the call was sent.
    pub(super) release_first: bool,
    /// Size of the call's results in bytes, and the room that was believed to be free for them.
    pub(super) needed_bytes: u64,
    pub(super) room: u64,
    /// Retention time of results.
    pub(super) keep: Duration,
}
