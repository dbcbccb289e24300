//! How long a call waits that no target has.
//!
//! An accepted call can lose every target that could run it. A new call of the same kind is refused at
//! once then, and so must the waiting one be: its caller could go elsewhere, and nothing has run. Late
//! is better than never only while something can still run the call.

use std::time::Duration;

/// Whether a call that no target has can get one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// Some target takes such calls.
    Open,
    /// Some target is loading the model that the call needs.
    Loading,
    /// Some target has still to say what it holds.
    Unknown,
    /// No target takes such calls, so that a new one would be refused.
    Closed,
}

impl Outlook {
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
pub struct Bounds {
    /// While the outlook is [`Outlook::Closed`].
    pub closed: Duration,
    /// While it is [`Outlook::Unknown`] or [`Outlook::Closed`]: a target whose link comes and goes is
    /// unknown again each time.
    pub unknown: Duration,
    /// In all.
    pub total: Duration,
}

/// Whether the call waits on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
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
/// use decide::wait::{Bounds, Outlook, Verdict, Wait};
/// use std::time::Duration;
///
/// let (bound, hour) = (Duration::from_millis(500), Duration::from_secs(3_600));
/// let bounds = Bounds { closed: bound, unknown: 12 * bound, total: hour };
/// let mut wait = Wait::new(bounds, Duration::ZERO);
/// assert_eq!(wait.observe(Outlook::Open, Duration::ZERO), Verdict::Wait { until: hour });
/// assert_eq!(wait.observe(Outlook::Closed, bound), Verdict::Wait { until: 2 * bound });
/// assert_eq!(wait.observe(Outlook::Closed, 2 * bound), Verdict::GiveUp { bound });
/// ```
#[derive(Clone, Debug)]
pub struct Wait {
    bounds: Bounds,
    began: Duration,
    /// Since when the outlook has been closed.
    closed: Option<Duration>,
    /// Since when it has been closed or unknown.
    uncertain: Option<Duration>,
}

impl Wait {
    /// A wait that begins now.
    #[must_use]
    pub fn new(bounds: Bounds, now: Duration) -> Self {
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
    pub fn observe(&mut self, outlook: Outlook, now: Duration) -> Verdict {
        self.uncertain = match outlook {
            Outlook::Open | Outlook::Loading => None,
            Outlook::Unknown | Outlook::Closed => self.uncertain.or(Some(now)),
        };
        self.closed = match outlook {
            Outlook::Closed => self.closed.or(Some(now)),
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
            return Verdict::GiveUp { bound };
        }
        Verdict::Wait { until }
    }
}
