//! Notices that the process has not run for a while.
//!
//! A VM may be suspended, or the process stopped, for seconds. The steady clock does not count a
//! suspension, so no timer is late afterwards and nothing looks wrong. Meanwhile runners have left,
//! keys were taken away and callers have given up. The clock that counts since the VM's start shows
//! it; then the platform is asked at once for what has changed, and requests wait for the answer for
//! a moment.

use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::telemetry::millis;
use slog::warn;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Reads the time since the VM's start, suspensions included.
pub type Clock = fn() -> Duration;

/// The system's clock of that kind.
///
/// # Examples
///
/// ```
/// assert!(relay::pause::time_since_boot() <= relay::pause::time_since_boot());
/// ```
#[must_use]
pub fn time_since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::try_from(time).unwrap_or_default()
}

/// How often the clock is looked at where no request does so.
const TICK: Duration = Duration::from_millis(500);
/// Lateness of a look that counts as a pause. What is known is up to half a second old anyway, and a
/// VM with a tenth of a core is late by less than that.
pub(crate) const LATE: Duration = Duration::from_millis(500);
/// Difference of the two clocks that counts as a suspension; they are read one after the other.
const SKEW: Duration = Duration::from_millis(100);
/// Longest time after a pause for which requests wait for news. The platform answers in some
/// milliseconds; while it is away, requests are served by what was known before.
const CATCH_UP: Duration = Duration::from_millis(300);

/// The clocks at the last look, and what the pauses so far have cost.
#[derive(Debug)]
struct Reading {
    time_since_boot: Duration,
    steady: Instant,
    /// Time that the steady clock has not counted.
    suspended: Duration,
    woken: Instant,
}

/// Pauses of this process.
#[derive(Debug)]
pub struct PauseDetector {
    clock: Clock,
    last: Mutex<Reading>,
    /// Pauses noticed so far.
    count: watch::Sender<u64>,
    followers: watch::Sender<Followers>,
}

/// Who follows tables of the platform.
#[derive(Clone, Copy, Debug, Default)]
struct Followers {
    all: usize,
    /// Those that have heard nothing since the last pause.
    behind: usize,
}

impl PauseDetector {
    pub(crate) fn new(clock: Clock) -> Self {
        let now = Instant::now();
        let last = Reading {
            time_since_boot: clock(),
            steady: now,
            suspended: Duration::ZERO,
            woken: now,
        };
        Self {
            clock,
            last: Mutex::new(last),
            count: watch::Sender::default(),
            followers: watch::Sender::default(),
        }
    }

    /// Time that the steady clock has not counted so far.
    pub(crate) fn suspended(&self) -> Duration {
        lock(&self.last).suspended
    }

    /// Looks at the clocks; the length of the pause if there was one since the last look.
    fn check_for_pause(&self) -> Option<Duration> {
        let mut last = lock(&self.last);
        let (time_since_boot, steady) = ((self.clock)(), Instant::now());
        let passed = time_since_boot.saturating_sub(last.time_since_boot);
        let missed = passed.saturating_sub(steady.saturating_duration_since(last.steady));
        (last.time_since_boot, last.steady) = (time_since_boot, steady);
        let was_suspended = missed > SKEW;
        if was_suspended {
            last.suspended += missed;
        }
        if !was_suspended && passed <= TICK + LATE {
            return None;
        }
        last.woken = steady;
        self.followers
            .send_modify(|followers| followers.behind = followers.all);
        self.count.send_modify(|count| *count += 1);
        Some(passed)
    }

    /// Until when requests wait for news, if some is missing.
    fn wait(&self) -> Option<Instant> {
        let until = lock(&self.last).woken + CATCH_UP;
        let behind = self.followers.borrow().behind > 0;
        (behind && Instant::now() < until).then_some(until)
    }

    /// One more task follows a table.
    pub(crate) fn add_follower(&self) {
        self.followers.send_modify(|followers| followers.all += 1);
    }

    /// Pauses noticed so far.
    pub(crate) fn count(&self) -> u64 {
        *self.count.borrow()
    }

    /// Waits for a pause beyond those counted.
    pub(crate) async fn wait_for_pause_after(&self, counted: u64) {
        let mut count = self.count.subscribe();
        // The sender lives as long as the one who waits.
        let _ = count.wait_for(|count| *count > counted).await;
    }

    /// A follower has heard the answer to a question that it asked after `counted` pauses; the one
    /// before it was asked after `before`.
    pub(crate) fn record_answer_after_pause(&self, before: u64, counted: u64) {
        if before < counted && counted == self.count() {
            self.followers.send_modify(|followers| {
                followers.behind = followers.behind.saturating_sub(1);
            });
        }
    }
}

impl<D: Downstream> Relay<D> {
    /// Looks whether the process has paused.
    pub(crate) fn check_for_pause(&self) {
        if let Some(pause) = self.pause.check_for_pause() {
            warn!(self.log, "paused, asking for news"; "paused_ms" => millis(pause),
                "runners_age_ms" => self.runner_list_age().map(millis));
            self.peers.members(|members| members.roster.invalidate());
        }
    }

    /// Whether what is known is from after the last pause, or cannot be had.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.check_for_pause();
        self.pause.wait().is_none()
    }

    /// Waits until that is so.
    pub(crate) async fn catch_up(&self) {
        self.check_for_pause();
        let Some(until) = self.pause.wait() else {
            return;
        };
        let mut followers = self.pause.followers.subscribe();
        let news = followers.wait_for(|followers| followers.behind == 0);
        if timeout_at(until, news).await.is_err() {
            warn!(self.log, "no news since the pause, serving by what was known";
                "runners_age_ms" => self.runner_list_age().map(millis));
        }
    }
}

/// Looks for pauses until the task is dropped.
pub async fn watch<D: Downstream>(relay: Arc<Relay<D>>) {
    loop {
        sleep(TICK).await;
        relay.check_for_pause();
    }
}
