//! When the runners of each failure domain are free, and which groups wait for one of them.

use super::{Group, Shape};
use std::sync::Arc;
use std::time::Duration;

/// Which groups a call must hold at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredGroup {
    /// One that is best made in the runner's domain.
    Near,
    /// Any that may be made there.
    Any,
}

/// When a runner is expected to take its next call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerFreeTime {
    /// Failure domain of the runner.
    pub domain: Arc<str>,
    /// The moment; for a slow runner, later by the time that its call takes longer.
    pub at: Duration,
}

/// A runner that takes a call now.
#[derive(Clone, Copy, Debug)]
pub struct FreeRunner<'a> {
    /// Bytes of results that it has room for.
    pub room: u64,
    /// Its failure domain.
    pub domain: &'a str,
    /// What the call must hold at least.
    pub need: RequiredGroup,
    /// When each runner of the service is expected to be free.
    pub free_times: &'a [RunnerFreeTime],
}

/// The next calls of all runners, as they fill up with groups that wait for them.
///
/// A group that waits for a runner near its inputs for a fixed time has lost that time when the
/// runner turns out to be busy for longer: in a service with one runner a domain and calls of 0.2
/// to 0.4 s, that happened to two groups in three. What the calls in progress take is known, so that
/// a group waits if its runner will be free in time, and goes elsewhere at once if not. That saves
/// bytes between failure domains, and makes few requests late.
///
/// # Examples
///
/// ```
/// use decide::batch::{RunnerFreeTime, Group, CallForecast, Shape};
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let shape = Shape { size: 4, call: ms(200), piece: ms(10) };
/// let free_times = [RunnerFreeTime { domain: "a".into(), at: ms(100) }];
/// let mut outlook = CallForecast::new(shape, &free_times);
/// let group = Group {
///     group_id: 1,
///     pieces: 3,
///     result_bytes: 10,
///     due: ms(2_000),
///     expires_at: ms(8_000),
///     rank: 0,
///     domain: Some("a".into()),
///     arrived_at: ms(0),
///     max_domain_wait: ms(150),
/// };
/// assert!(outlook.waits(&group, ms(0)));
/// // The next one fits into the call after that only, which is too late for it.
/// assert!(!outlook.waits(&group, ms(0)));
/// ```
#[derive(Clone, Debug)]
pub struct CallForecast {
    shape: Shape,
    calls: Vec<Next>,
}

/// The next call of a runner that is not full yet.
#[derive(Clone, Debug)]
struct Next {
    domain: Arc<str>,
    turn: Turn,
}

/// When a call starts, and the places that are left in it.
#[derive(Clone, Copy, Debug)]
struct Turn {
    at: Duration,
    places: u32,
}

impl CallForecast {
    /// Calls of this shape at runners that are free at these moments.
    #[must_use]
    pub fn new(shape: Shape, free_times: &[RunnerFreeTime]) -> Self {
        let next = |free: &RunnerFreeTime| Next {
            domain: free.domain.clone(),
            turn: Turn {
                at: free.at,
                places: shape.size,
            },
        };
        let calls = free_times.iter().map(next).collect();
        Self { shape, calls }
    }

    /// Whether a group had better wait for a runner of its domain; if so, it has its place there.
    pub fn waits(&mut self, group: &Group, now: Duration) -> bool {
        let Some(domain) = group.domain.as_deref() else {
            return false;
        };
        let until = group.anywhere_from(self.shape, now);
        if until <= now {
            return false;
        }
        let shape = self.shape;
        let near = self.calls.iter_mut().filter(|next| *next.domain == *domain);
        let turns = near.map(|next| (next.turn.with(group.pieces, shape), next));
        match turns.min_by_key(|(turn, _)| turn.at) {
            Some((turn, next)) if turn.at <= until => {
                next.turn = turn;
                true
            }
            _ => false,
        }
    }
}

impl Turn {
    /// The call that takes so many more pieces: this one, or the one after it.
    fn with(self, pieces: u32, shape: Shape) -> Self {
        let Some(places) = self.places.checked_sub(pieces) else {
            return Self {
                at: self.at + shape.full(),
                places: shape.size.saturating_sub(pieces),
            };
        };
        Self { places, ..self }
    }
}
