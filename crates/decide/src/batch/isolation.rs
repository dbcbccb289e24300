//! Groups under which runners have ended, made apart from all others.
//!
//! A call carries the pieces of many requests. When its runner ends, any of them may have ended it, and
//! all are suspects. Put back among the others, the one that is to blame would end one runner after the
//! other, and make suspects of whatever shared its calls. So suspects share calls with one another alone:
//! half of those that were together when a runner ended, then each by itself. The innocent ones are made
//! within two calls, which clears them, and the one to blame is alone when it ends its third runner.

use super::{Group, GroupId, Portion};
use std::time::Duration;

/// What a request asks for, as a hash: the same for each attempt of its caller.
pub type ContentHash = u64;

/// Part of the time that a group has left for which it waits until enough runners are up.
const PATIENCE_PART: u32 = 2;

/// A group under which runners have ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspect {
    /// The group.
    pub group: Group,
    /// What its request asks for.
    pub content: ContentHash,
    /// Runners that have ended under it.
    pub crashes: u32,
    /// Most suspects in a call of which it is one.
    pub max_suspects: usize,
    /// When it was set apart.
    pub since: Duration,
}

impl Suspect {
    fn max_suspects(&self) -> usize {
        if self.crashes > 1 {
            return 1;
        }
        self.max_suspects.max(1)
    }

    /// Until when it waits for runners.
    fn patient_until(&self) -> Duration {
        let left = self.group.expires_at.saturating_sub(self.since);
        self.since + left / PATIENCE_PART
    }
}

/// What a runner takes in one call.
#[derive(Clone, Copy, Debug)]
pub struct CallCapacity {
    /// Pieces.
    pub pieces: u32,
    /// Bytes of results that it has room for.
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
    /// Whether no suspect waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Sets a group apart.
    pub fn push(&mut self, suspect: Suspect) {
        self.waiting.push(suspect);
    }

    /// Whether a group is set apart.
    #[must_use]
    pub fn contains(&self, group_id: GroupId) -> bool {
        self.waiting
            .iter()
            .any(|suspect| suspect.group.group_id == group_id)
    }

    /// Forgets a group; gives it if it was set apart.
    pub fn withdraw(&mut self, group_id: GroupId) -> Option<Suspect> {
        let mut waiting = self.waiting.iter();
        let position = waiting.position(|suspect| suspect.group.group_id == group_id)?;
        Some(self.waiting.swap_remove(position))
    }

    /// More runners have ended under a group that is set apart.
    pub fn set_crashes(&mut self, group_id: GroupId, crashes: u32) {
        let mut waiting = self.waiting.iter_mut();
        if let Some(suspect) = waiting.find(|suspect| suspect.group.group_id == group_id) {
            suspect.crashes = crashes;
        }
    }

    /// Takes the pieces of a call that starts now, at one of so many runners that are up. `may_run` tells
    /// whether what is left of the service bears one more attempt after so many crashes.
    ///
    /// One content is at one runner at a time, and at most half of the runners have suspects: the others'
    /// pieces need runners too.
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
            .sort_by_key(|suspect| (suspect.group.rank, suspect.group.due));
        let mut call = Call::new(space);
        for suspect in &self.waiting {
            let runs = self
                .calls
                .iter()
                .flatten()
                .any(|one| *one == suspect.content);
            if !runs && may_run(suspect.crashes) {
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

    /// A call with these contents has ended.
    pub fn ended(&mut self, contents: &[ContentHash]) {
        let mut calls = self.calls.iter();
        if let Some(position) = calls.position(|call| call == contents) {
            self.calls.swap_remove(position);
        }
    }

    /// Removes and gives the groups that a call of this time would make too late.
    pub fn expire(&mut self, now: Duration, shortest: Duration) -> Vec<GroupId> {
        self.remove_where(|suspect| now + shortest > suspect.group.expires_at)
    }

    /// Removes and gives the groups that have waited long enough for runners to come back.
    pub fn give_up(&mut self, now: Duration, may_run: impl Fn(u32) -> bool) -> Vec<GroupId> {
        self.remove_where(|suspect| suspect.patient_until() <= now && !may_run(suspect.crashes))
    }

    fn remove_where(&mut self, is_over: impl Fn(&Suspect) -> bool) -> Vec<GroupId> {
        let (over, left) = self.waiting.drain(..).partition(is_over);
        self.waiting = left;
        let over: Vec<Suspect> = over;
        over.iter().map(|suspect| suspect.group.group_id).collect()
    }
}

/// The suspects of a call that is about to start.
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
