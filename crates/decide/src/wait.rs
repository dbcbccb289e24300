//! How long a call waits that no target has.
//!
//! An accepted call can lose every target that could run it. A new call of the same kind is refused at
//! once then, and so must the waiting one be: its caller could go elsewhere, and nothing has run. Late
//! is better than never only while something can still run the call.

use std::time::Duration;

/// Whether a call that no target has can get one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAvailability {
    /// Some target takes such calls.
    Open,
    /// Some target is loading the model that the call needs.
    Loading,
    /// Some target has still to say what it holds.
    Unknown,
    /// No target takes such calls, so that a new one would be refused.
    Closed,
}

impl TargetAvailability {
    /// Name in logs.
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

/// Longest waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// While the outlook is [`TargetAvailability::Closed`].
    pub closed: Duration,
    /// While it is [`TargetAvailability::Unknown`] or [`TargetAvailability::Closed`]: a target whose link comes and goes is
    /// unknown again each time.
    pub unknown: Duration,
    /// In all.
    pub total: Duration,
}

/// Whether the call waits on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// It does, until this moment at most if nothing changes.
    Wait {
        /// When to look again.
        until: Duration,
    },
    /// It has waited for as long as this bound allows.
    GiveUp {
        /// The bound that was reached.
        bound: Duration,
    },
}

/// One call's wait. Moments are counted from the start of the process.
///
/// # Examples
///
/// ```
/// use decide::wait::{WaitLimits, TargetAvailability, WaitDecision, Wait};
/// use std::time::Duration;
///
/// let (bound, hour) = (Duration::from_millis(500), Duration::from_secs(3_600));
/// let bounds = WaitLimits { closed: bound, unknown: 12 * bound, total: hour };
/// let mut wait = Wait::new(bounds, Duration::ZERO);
/// assert_eq!(wait.observe(TargetAvailability::Open, Duration::ZERO), WaitDecision::Wait { until: hour });
/// assert_eq!(wait.observe(TargetAvailability::Closed, bound), WaitDecision::Wait { until: 2 * bound });
/// assert_eq!(wait.observe(TargetAvailability::Closed, 2 * bound), WaitDecision::GiveUp { bound });
/// ```
#[derive(Clone, Debug)]
pub struct Wait {
    bounds: WaitLimits,
    began: Duration,
    /// Since when the outlook has been closed.
    closed: Option<Duration>,
    /// Since when it has been closed or unknown.
    uncertain: Option<Duration>,
}

impl Wait {
    /// A wait that begins now.
    #[must_use]
    pub fn new(bounds: WaitLimits, now: Duration) -> Self {
        Self {
            bounds,
            began: now,
            closed: None,
            uncertain: None,
        }
    }

    /// How long it has lasted.
    #[must_use]
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began)
    }

    /// Takes in the outlook as it is now.
    pub fn observe(&mut self, outlook: TargetAvailability, now: Duration) -> WaitDecision {
        self.uncertain = match outlook {
            TargetAvailability::Open | TargetAvailability::Loading => None,
            TargetAvailability::Unknown | TargetAvailability::Closed => {
                self.uncertain.or(Some(now))
            }
        };
        self.closed = match outlook {
            TargetAvailability::Closed => self.closed.or(Some(now)),
            _ => None,
        };
        let ends = [
            (self.closed, self.bounds.closed),
            (self.uncertain, self.bounds.unknown),
            (Some(self.began), self.bounds.total),
        ];
        let ends = ends
            .into_iter()
            .filter_map(|(since, bound)| Some((since? + bound, bound)));
        let first = ends.min_by_key(|(end, _)| *end);
        let (until, bound) = first.unwrap_or((now, self.bounds.total));
        if until <= now {
            return WaitDecision::GiveUp { bound };
        }
        WaitDecision::Wait { until }
    }
}
