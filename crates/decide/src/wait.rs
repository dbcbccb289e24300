//! Time limits for calls that have no target.
//!
//! An accepted call can lose every target that could run it. New calls of the same kind are then
//! refused at once, and the waiting call must be refused too: nothing has run, and its caller could
//! go elsewhere. Waiting past the deadline is useful only while some target can still run the call.

use std::time::Duration;

/// Whether a call without a target can get one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAvailability {
    /// Some target accepts such calls.
    Open,
    /// Some target is loading the model that the call needs.
    Loading,
    /// Some target has not reported its models yet.
    Unknown,
    /// No target accepts such calls, so a new one would be refused.
    Closed,
}

impl TargetAvailability {
    /// Name used in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Loading => "loading",
            Self::Unknown => "unknown",
            Self::Closed => "closed",
        }
    }
}

/// Maximum waiting times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// While the availability is [`TargetAvailability::Closed`].
    pub closed: Duration,
    /// While the availability is [`TargetAvailability::Unknown`] or [`TargetAvailability::Closed`]: a
    /// target whose link flaps is unknown again after each reconnect.
    pub unknown: Duration,
    /// In total.
    pub total: Duration,
}

/// Whether the call keeps waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// The call keeps waiting.
    Wait {
        /// Time at which the wait ends if nothing changes.
        until: Duration,
    },
    /// The call has waited for as long as a limit allows.
    GiveUp {
        /// The limit that was reached.
        limit: Duration,
    },
}

/// Waiting time of one call. All times are measured from the start of the process.
///
/// # Examples
///
/// ```
/// use decide::wait::{WaitLimits, TargetAvailability, WaitDecision, Wait};
/// use std::time::Duration;
///
/// let (limit, hour) = (Duration::from_millis(500), Duration::from_secs(3_600));
/// let limits = WaitLimits { closed: limit, unknown: 12 * limit, total: hour };
/// let mut wait = Wait::new(limits, Duration::ZERO);
/// let decision = wait.observe(TargetAvailability::Open, Duration::ZERO);
/// assert_eq!(decision, WaitDecision::Wait { until: hour });
/// let decision = wait.observe(TargetAvailability::Closed, limit);
/// assert_eq!(decision, WaitDecision::Wait { until: 2 * limit });
/// let decision = wait.observe(TargetAvailability::Closed, 2 * limit);
/// assert_eq!(decision, WaitDecision::GiveUp { limit });
/// ```
#[derive(Clone, Debug)]
pub struct Wait {
    limits: WaitLimits,
    started: Duration,
    /// Time since which the availability has been closed.
    closed: Option<Duration>,
    /// Time since which the availability has been closed or unknown.
    uncertain: Option<Duration>,
}

impl Wait {
    /// Starts a wait.
    #[must_use]
    pub fn new(limits: WaitLimits, now: Duration) -> Self {
        Self {
            limits,
            started: now,
            closed: None,
            uncertain: None,
        }
    }

    /// Time since the wait started.
    #[must_use]
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    /// Updates the wait with the current availability and decides whether it goes on.
    pub fn observe(&mut self, availability: TargetAvailability, now: Duration) -> WaitDecision {
        self.uncertain = match availability {
            TargetAvailability::Open | TargetAvailability::Loading => None,
            TargetAvailability::Unknown | TargetAvailability::Closed => {
                self.uncertain.or(Some(now))
            }
        };
        self.closed = match availability {
            TargetAvailability::Closed => self.closed.or(Some(now)),
            _ => None,
        };
        let expiries = [
            (self.closed, self.limits.closed),
            (self.uncertain, self.limits.unknown),
            (Some(self.started), self.limits.total),
        ];
        let expiries = expiries
            .into_iter()
            .filter_map(|(since, limit)| Some((since? + limit, limit)));
        let earliest = expiries.min_by_key(|(expiry, _)| *expiry);
        let (until, limit) = earliest.unwrap_or((now, self.limits.total));
        if until <= now {
            return WaitDecision::GiveUp { limit };
        }
        WaitDecision::Wait { until }
    }
}
