//! Isolation of groups that were being processed when a runner exited.
//!
//! A call carries the pieces of many requests. When its runner exits, any of them may be the cause, and
//! all are suspects. If they were queued with the others again, the faulty one would crash one runner
//! after the other and make suspects of all groups in the same calls. Suspects therefore share calls
//! with one another only: first half of those that were together when a runner exited, then each by
//! itself. Harmless groups complete within two calls, which clears them, and the faulty one is alone
//! when it crashes its third runner.

use super::{Group, GroupId, Portion};
use std::time::Duration;

/// Hash of a request's content, which is the same for each attempt of its caller.
pub type ContentHash = u64;

/// Divisor of a group's remaining time that gives how long it waits until enough runners are up.
const RUNNER_WAIT_DIVISOR: u32 = 2;

/// A group that was being processed when runners exited.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspect {
    /// The group.
    pub group: Group,
    /// Content of its request.
    pub content: ContentHash,
    /// Number of runners that exited while they processed it.
    pub crashes: u32,
    /// Maximum number of suspects in a call that includes it.
    pub max_suspects: usize,
    /// Time at which it was isolated.
    pub since: Duration,
}

impl Suspect {
    fn max_suspects(&self) -> usize {
        if self.crashes > 1 {
            return 1;
        }
        self.max_suspects.max(1)
    }

    /// Time until which it waits for runners.
    fn waits_until(&self) -> Duration {
        let remaining = self.group.expires_at.saturating_sub(self.since);
        self.since + remaining / RUNNER_WAIT_DIVISOR
    }
}

/// Capacity of one call to a runner.
#[derive(Clone, Copy, Debug)]
pub struct CallCapacity {
    /// Number of pieces.
    pub pieces: u32,
    /// Bytes of results that the runner has room for.
    pub room: u64,
}

/// The suspects of one cell.
///
/// # Examples
///
/// ```
/// use decide::batch::{Group, Isolation, CallCapacity, Suspect};
/// use std::time::Duration;
///
/// let suspect = |group_id| Suspect {
///     group: Group {
///         group_id,
///         pieces: 1,
///         result_bytes: 10,
///         due: Duration::from_secs(1),
///         expires_at: Duration::from_secs(4),
///         rank: 0,
///         domain: None,
///         arrived_at: Duration::ZERO,
///         max_domain_wait: Duration::ZERO,
///     },
///     content: group_id,
///     crashes: 1,
///     max_suspects: 1,
///     since: Duration::ZERO,
/// };
/// let mut isolation = Isolation::default();
/// isolation.push(suspect(1));
/// isolation.push(suspect(2));
/// let space = CallCapacity { pieces: 8, room: 1_000 };
/// assert_eq!(isolation.take(4, space, |_| true).len(), 1);
/// assert_eq!(isolation.take(4, space, |_| true).len(), 1);
/// assert!(isolation.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    waiting: Vec<Suspect>,
    /// Contents of each call in progress that carries suspects.
    calls: Vec<Vec<ContentHash>>,
}

impl Isolation {
    /// Whether no suspect is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Isolates a group.
    pub fn push(&mut self, suspect: Suspect) {
        self.waiting.push(suspect);
    }

    /// Whether a group is isolated.
    #[must_use]
    pub fn contains(&self, group_id: GroupId) -> bool {
        self.waiting
            .iter()
            .any(|suspect| suspect.group.group_id == group_id)
    }

    /// Removes a group and returns it if it was isolated.
    pub fn withdraw(&mut self, group_id: GroupId) -> Option<Suspect> {
        let mut waiting = self.waiting.iter();
        let position = waiting.position(|suspect| suspect.group.group_id == group_id)?;
        Some(self.waiting.swap_remove(position))
    }

    /// Updates the number of runners that exited while they processed an isolated group.
    pub fn set_crashes(&mut self, group_id: GroupId, crashes: u32) {
        let mut waiting = self.waiting.iter_mut();
        if let Some(suspect) = waiting.find(|suspect| suspect.group.group_id == group_id) {
            suspect.crashes = crashes;
        }
    }

    /// Takes the pieces of a call that starts now at one of `runners` that are up. `may_run` tells, for a
    /// number of crashes, whether the service has enough runners left for one more attempt.
    ///
    /// The same content runs on one runner at a time, and at most half of the runners process suspects, so
    /// that the others are free for all other pieces. Those during which the fewest runners exited come
    /// first: they are the least likely to crash a runner that the others wait for.
    pub fn take(
        &mut self,
        runners: usize,
        space: CallCapacity,
        may_run: impl Fn(u32) -> bool,
    ) -> Vec<Portion> {
        if self.calls.len() >= runners.div_ceil(2) {
            return Vec::new();
        }
        self.waiting
            .sort_by_key(|suspect| (suspect.crashes, suspect.group.rank, suspect.group.due));
        let mut call = Call::new(space);
        for suspect in &self.waiting {
            let is_running = self
                .calls
                .iter()
                .flatten()
                .any(|one| *one == suspect.content);
            if !is_running && may_run(suspect.crashes) {
                call.add(suspect);
            }
        }
        let Call {
            portions, contents, ..
        } = call;
        for portion in &portions {
            self.remove(portion);
        }
        if !portions.is_empty() {
            self.calls.push(contents);
        }
        portions
    }

    fn remove(&mut self, portion: &Portion) {
        self.waiting.retain_mut(|suspect| {
            if suspect.group.group_id == portion.group_id {
                suspect.group.pieces -= portion.pieces;
            }
            suspect.group.pieces > 0
        });
    }

    /// Records that a call with these contents has ended.
    pub fn ended(&mut self, contents: &[ContentHash]) {
        let mut calls = self.calls.iter();
        if let Some(position) = calls.position(|call| call == contents) {
            self.calls.swap_remove(position);
        }
    }

    /// Removes and returns the groups that would expire before a call of this duration ends.
    pub fn expire(&mut self, now: Duration, shortest: Duration) -> Vec<GroupId> {
        self.remove_where(|suspect| now + shortest > suspect.group.expires_at)
    }

    /// Removes and returns the groups that have waited too long for runners to come back.
    pub fn give_up(&mut self, now: Duration, may_run: impl Fn(u32) -> bool) -> Vec<GroupId> {
        self.remove_where(|suspect| suspect.waits_until() <= now && !may_run(suspect.crashes))
    }

    fn remove_where(&mut self, should_remove: impl Fn(&Suspect) -> bool) -> Vec<GroupId> {
        let (removed, remaining) = self.waiting.drain(..).partition(should_remove);
        self.waiting = remaining;
        let removed: Vec<Suspect> = removed;
        removed
            .iter()
            .map(|suspect| suspect.group.group_id)
            .collect()
    }
}

/// A call with suspects that is being assembled.
struct Call {
    free: CallCapacity,
    max_suspects: usize,
    portions: Vec<Portion>,
    contents: Vec<ContentHash>,
}

impl Call {
    fn new(space: CallCapacity) -> Self {
        Self {
            free: space,
            max_suspects: usize::MAX,
            portions: Vec::new(),
            contents: Vec::new(),
        }
    }

    fn add(&mut self, suspect: &Suspect) {
        let group = &suspect.group;
        let max_suspects = self.max_suspects.min(suspect.max_suspects());
        if self.portions.len() >= max_suspects || self.contents.contains(&suspect.content) {
            return;
        }
        let fitting = self.free.room.checked_div(group.result_bytes);
        let fitting = fitting.map_or(u32::MAX, |fitting| {
            u32::try_from(fitting).unwrap_or(u32::MAX)
        });
        let pieces = group.pieces.min(self.free.pieces).min(fitting);
        let is_divided = pieces < group.pieces;
        if pieces == 0 || is_divided && !self.portions.is_empty() {
            return;
        }
        self.max_suspects = max_suspects;
        self.free.pieces -= pieces;
        self.free.room -= group.result_bytes * u64::from(pieces);
        self.contents.push(suspect.content);
        self.portions.push(Portion {
            group_id: group.group_id,
            pieces,
        });
    }
}
