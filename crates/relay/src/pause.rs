//! Detection of periods in which the process did not run.
//!
//! A VM may be suspended, or the process stopped, for seconds. The monotonic clock does not advance during
//! a suspension, so afterwards no timer is late and nothing looks wrong. Meanwhile runners may have left,
//! keys may have been revoked and clients may have given up. The clock that counts the time since boot
//! shows the suspension. The platform is then asked for changes at once, and requests wait briefly for its
//! answer.

use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::telemetry::millis;
use slog::warn;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Reads the time since the VM booted, including suspensions.
pub type Clock = fn() -> Duration;

/// Time since the VM booted, including suspensions, by the system's clock.
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

/// Interval at which the clocks are checked when no request does so.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of a check that counts as a pause. The relay's data is up to half a second old in any case, and a
/// VM with a tenth of a core is late by less than that.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Difference between the two clocks that counts as a suspension. They are not read at the same instant.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(100);
/// Longest time after a pause that requests wait for updates. The platform answers within milliseconds;
/// while it is unavailable, requests are served with the data from before the pause.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);

/// Clocks at the last check, and the total time of suspension.
#[derive(Debug)]
struct Reading {
    time_since_boot: Duration,
    monotonic: Instant,
    /// Total time that the monotonic clock has not counted.
    suspended: Duration,
    last_pause_end: Instant,
}

/// Detector of pauses of this process.
#[derive(Debug)]
pub struct PauseDetector {
    clock: Clock,
    last: Mutex<Reading>,
    /// Number of pauses detected.
    count: watch::Sender<u64>,
    followers: watch::Sender<Followers>,
}

/// Tasks that follow tables of the platform.
#[derive(Clone, Copy, Debug, Default)]
struct Followers {
    all: usize,
    /// Tasks that have received no answer since the last pause.
    behind: usize,
}

/// A task that follows a table. If one that has ended still counted, requests would wait in vain for its answer
/// after each pause.
#[derive(Debug)]
pub(crate) struct Following(watch::Sender<Followers>);

impl Drop for Following {
    fn drop(&mut self) {
        self.0.send_modify(|followers| {
            followers.all = followers.all.saturating_sub(1);
            followers.behind = followers.behind.min(followers.all);
        });
    }
}

impl PauseDetector {
    pub(crate) fn new(clock: Clock) -> Self {
        let now = Instant::now();
        let last = Reading {
            time_since_boot: clock(),
            monotonic: now,
            suspended: Duration::ZERO,
            last_pause_end: now,
        };
        Self {
            clock,
            last: Mutex::new(last),
            count: watch::Sender::default(),
            followers: watch::Sender::default(),
        }
    }

    /// Total time that the monotonic clock has not counted.
    pub(crate) fn suspended(&self) -> Duration {
        lock(&self.last).suspended
    }

    /// When the last pause ended, or when this process started.
    pub(crate) fn last_pause_end(&self) -> Instant {
        lock(&self.last).last_pause_end
    }

    /// Checks the clocks, and returns the time since the last check if it includes a pause.
    fn check(&self) -> Option<Duration> {
        let mut last = lock(&self.last);
        let (time_since_boot, monotonic) = ((self.clock)(), Instant::now());
        let passed = time_since_boot.saturating_sub(last.time_since_boot);
        let uncounted = passed.saturating_sub(monotonic.saturating_duration_since(last.monotonic));
        (last.time_since_boot, last.monotonic) = (time_since_boot, monotonic);
        let was_suspended = uncounted > SUSPENSION_THRESHOLD;
        if was_suspended {
            last.suspended += uncounted;
        }
        if !was_suspended && passed <= CHECK_INTERVAL + PAUSE_THRESHOLD {
            return None;
        }
        last.last_pause_end = monotonic;
        self.followers
            .send_modify(|followers| followers.behind = followers.all);
        self.count.send_modify(|count| *count += 1);
        Some(passed)
    }

    /// Moment until which requests wait for updates, if some are outstanding.
    fn catch_up_deadline(&self) -> Option<Instant> {
        let until = lock(&self.last).last_pause_end + CATCH_UP_TIMEOUT;
        let behind = self.followers.borrow().behind > 0;
        (behind && Instant::now() < until).then_some(until)
    }

    /// Registers a task that follows a table, until the result is dropped.
    pub(crate) fn add_follower(&self) -> Following {
        self.followers.send_modify(|followers| followers.all += 1);
        Following(self.followers.clone())
    }

    /// Number of pauses detected.
    pub(crate) fn count(&self) -> u64 {
        *self.count.borrow()
    }

    /// Waits until more than `counted` pauses have been detected.
    pub(crate) async fn wait_for_pause_after(&self, counted: u64) {
        let mut count = self.count.subscribe();
        // The sender is borrowed for the whole wait, so it cannot be dropped.
        let _ = count.wait_for(|count| *count > counted).await;
    }

    /// Records that a follower has received an answer to a question that it asked after `counted` pauses. Its
    /// previous question was asked after `before` pauses.
    pub(crate) fn record_answer_after_pause(&self, before: u64, counted: u64) {
        if before < counted && counted == self.count() {
            self.followers.send_modify(|followers| {
                followers.behind = followers.behind.saturating_sub(1);
            });
        }
    }
}

impl<D: Downstream> Relay<D> {
    /// Checks whether the process has paused. After a pause the age of the membership data is unknown, so
    /// it is discarded.
    pub(crate) fn check_for_pause(&self) {
        if let Some(pause) = self.pause.check() {
            warn!(self.log, "process was paused, asking for updates"; "paused_ms" => millis(pause),
                "runners_age_ms" => self.runner_list_age().map(millis));
            self.peers.members(|members| members.roster.invalidate());
        }
    }

    /// Whether the relay's data is from after the last pause, or is no longer being waited for.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.check_for_pause();
        self.pause.catch_up_deadline().is_none()
    }

    /// Waits until [`Self::is_caught_up`] holds.
    pub(crate) async fn catch_up(&self) {
        self.check_for_pause();
        let Some(until) = self.pause.catch_up_deadline() else {
            return;
        };
        let mut followers = self.pause.followers.subscribe();
        let updates = followers.wait_for(|followers| followers.behind == 0);
        if timeout_at(until, updates).await.is_err() {
            warn!(self.log, "no updates since the pause, serving with earlier data";
                "runners_age_ms" => self.runner_list_age().map(millis));
        }
    }
}

/// Checks for pauses until the task is dropped.
pub async fn watch<D: Downstream>(relay: Arc<Relay<D>>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        relay.check_for_pause();
    }
}
