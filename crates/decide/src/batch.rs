//! Selection of the waiting pieces of work that form the next call of a batching runner.
//!
//! A runner of a stage service needs a fixed time for each call and a little more for each piece,
//! so a piece costs a fraction in a full call of what it costs in a call of its own. Pieces wait
//! here while every runner has a call in progress, and are assigned to a runner only when it is
//! free, so that all pieces that arrive in between share the next call.

mod configured;
mod forecast;
mod isolation;
mod rules;

pub use configured::ConfiguredQueue;
pub use forecast::{CallForecast, FreeRunner, RequiredGroup, RunnerFreeTime};
pub use isolation::{CallCapacity, ContentHash, Isolation, Suspect};
pub use rules::Rules;

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Multiple of a group's work time that is added to its due time in the queue's order. In a burst
/// not all groups can be on time, and more of them are if small ones go first.
const SIZE_WEIGHT: u32 = 6;

/// Factor by which a queue is assumed to be faster than expected before a group in it is dropped:
/// some of the requests ahead are withdrawn, and calls differ in length.
const MAX_QUEUE_SPEEDUP: f64 = 1.5;

/// Identifies a group of pieces while it waits.
pub type GroupId = u64;

/// Capacity and cost of one call to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Maximum number of pieces in a call.
    pub size: u32,
    /// Fixed time of each call.
    pub call: Duration,
    /// Average time that each piece adds.
    pub piece: Duration,
}

impl Shape {
    /// Time of a call with this many pieces.
    ///
    /// # Examples
    ///
    /// ```
    /// use decide::batch::Shape;
    /// use std::time::Duration;
    ///
    /// let ms = Duration::from_millis;
    /// let shape = Shape { size: 8, call: ms(200), piece: ms(20) };
    /// assert_eq!(shape.time(3), ms(260));
    /// assert_eq!(shape.full(), shape.time(8));
    /// ```
    #[must_use]
    pub fn time(&self, pieces: u32) -> Duration {
        self.call.saturating_add(self.piece.saturating_mul(pieces))
    }

    /// Time of a full call.
    #[must_use]
    pub fn full(&self) -> Duration {
        self.time(self.size)
    }

    /// Shortest time of a call.
    fn shortest(&self) -> Duration {
        self.time(1)
    }
}

/// The pieces of one stage of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Identifier of the group.
    pub group_id: GroupId,
    /// Number of pieces that still wait.
    pub pieces: u32,
    /// Size of one result in bytes.
    pub result_bytes: u64,
    /// Time by which the pieces must be done for the request to be on time.
    pub due: Duration,
    /// Time after which the results are useless.
    pub expires_at: Duration,
    /// Urgency of the request; 0 goes first.
    pub rank: u8,
    /// Preferred failure domain: close to the inputs, or to where the results will be fetched.
    pub domain: Option<Arc<str>>,
    /// Time at which the group was queued.
    pub arrived_at: Duration,
    /// Longest wait for a runner of the preferred domain; shorter if the group would be late.
    pub max_domain_wait: Duration,
}

impl Group {
    /// Whether this domain is the preferred one, or none is preferred.
    fn is_near(&self, domain: &str) -> bool {
        self.domain.as_deref().is_none_or(|wanted| wanted == domain)
    }

    /// Time from which runners of any domain may process the pieces.
    ///
    /// A group that is already late loses nothing by waiting. A group that is not late may go to
    /// another domain before it would be late.
    fn any_domain_from(&self, shape: Shape, now: Duration) -> Duration {
        let wait_end = self.arrived_at.saturating_add(self.max_domain_wait);
        let before_due = |time: Duration| self.due.saturating_sub(time);
        let late = before_due(shape.time(self.pieces)) < now;
        if late {
            return wait_end;
        }
        wait_end.min(before_due(shape.full()))
    }
}

/// The pieces of one group that are part of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Portion {
    /// Identifier of the group.
    pub group_id: GroupId,
    /// Number of its waiting pieces that are taken.
    pub pieces: u32,
}

/// A queue of groups from which the pieces of the next call are taken.
pub trait BatchQueue {
    /// Adds a group.
    fn push(&mut self, group: Group);
    /// Removes a group whose request is gone.
    fn withdraw(&mut self, group_id: GroupId);
    /// Removes and returns the groups that are not worth keeping: those that cannot be done before
    /// they expire, and late ones while more than a call's time of other work is queued before them.
    /// The runners need `piece` for each waiting piece.
    ///
    /// A late group goes behind all that can still be on time. While those arrive as fast as the
    /// runners process them, the late group would wait until it expires, and its caller would learn
    /// only then, with no time left, what was clear seconds before. This also holds for requests
    /// whose first stages are done: if they were kept, their results would expire while they wait
    /// and have to be computed again.
    fn expire(&mut self, now: Duration, piece: Duration) -> Vec<GroupId>;
    /// Takes the pieces of a call that starts now at a runner; none if no group meets the
    /// runner's requirement.
    fn take(&mut self, now: Duration, runner: &FreeRunner<'_>) -> Vec<Portion>;
    /// Time at which the next group that waits for its preferred domain may go to any domain.
    fn next_wakeup(&self, now: Duration) -> Option<Duration>;
    /// Number of waiting pieces.
    fn waiting_pieces(&self) -> u32;
    /// Number of waiting pieces that go before those of a new group of this rank.
    fn pieces_ahead(&self, now: Duration, rank: u8) -> u32;
}

/// Takes groups that can still be on time first, ordered by rank and then by due time.
///
/// Under overload, ordering by due time alone spends each call on the request that is about to be
/// late and thereby makes all of them late. Groups that are already late therefore go last.
///
/// # Examples
///
/// ```
/// use decide::batch::{BatchQueue, Group, RequiredGroup, FreeRunner, Portion, Shape, SlackQueue};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let shape = Shape { size: 4, call: second / 5, piece: second / 50 };
/// let mut queue = SlackQueue::new(shape);
/// let group = Group {
///     group_id: 1,
///     pieces: 3,
///     result_bytes: 10,
///     due: second,
///     expires_at: second * 8,
///     rank: 0,
///     domain: None,
///     arrived_at: Duration::ZERO,
///     max_domain_wait: Duration::ZERO,
/// };
/// queue.push(group.clone());
/// queue.push(Group { group_id: 2, pieces: 1, due: second / 2, ..group });
/// let runner = FreeRunner {
///     room: 1_000,
///     domain: "a",
///     required: RequiredGroup::Any,
///     free_times: &[],
/// };
/// let taken = queue.take(Duration::ZERO, &runner);
/// assert_eq!(taken[0], Portion { group_id: 2, pieces: 1 });
/// assert_eq!(taken[1], Portion { group_id: 1, pieces: 3 });
/// ```
#[derive(Clone, Debug)]
pub struct SlackQueue {
    shape: Shape,
    rules: Rules,
    groups: Vec<Group>,
}

impl SlackQueue {
    /// An empty queue for calls of this shape.
    #[must_use]
    pub fn new(shape: Shape) -> Self {
        Self::with_rules(shape, Rules::default())
    }

    /// An empty queue that applies only the enabled rules.
    #[must_use]
    pub fn with_rules(shape: Shape, rules: Rules) -> Self {
        Self {
            shape,
            rules,
            groups: Vec::new(),
        }
    }

    /// Sets the shape after a change of the configuration.
    pub fn set_shape(&mut self, shape: Shape) {
        self.shape = shape;
    }

    /// Sorts the groups into the order in which they are taken.
    fn sort(&mut self, now: Duration) {
        let end = now.saturating_add(self.shape.shortest());
        let weight = if self.rules.small_first {
            SIZE_WEIGHT
        } else {
            0
        };
        let work = self.shape.piece.saturating_mul(weight);
        let work = |group: &Group| work.saturating_mul(group.pieces);
        let sort_time = |group: &Group| group.due.saturating_add(work(group));
        self.groups
            .sort_by_key(|group| (group.due < end, group.rank, sort_time(group)));
    }
}

impl BatchQueue for SlackQueue {
    fn push(&mut self, group: Group) {
        self.groups.push(group);
    }

    fn withdraw(&mut self, group_id: GroupId) {
        self.groups.retain(|group| group.group_id != group_id);
    }

    fn expire(&mut self, now: Duration, piece: Duration) -> Vec<GroupId> {
        if !self.rules.give_up {
            return remove_expired(&mut self.groups, self.shape, now);
        }
        self.sort(now);
        let (call, shortest) = (self.shape.call, self.shape.shortest());
        let mut ahead = 0;
        let mut expired = Vec::new();
        self.groups.retain(|group| {
            let wait = piece.saturating_mul(ahead);
            let late = group.due < now.saturating_add(shortest);
            let cannot_finish = now
                .saturating_add(wait.div_f64(MAX_QUEUE_SPEEDUP))
                .saturating_add(shortest)
                > group.expires_at;
            let crowded_out = late && wait > call;
            let keep = !cannot_finish && !crowded_out;
            if keep {
                ahead = group.pieces.saturating_add(ahead);
            } else {
                expired.push(group.group_id);
            }
            keep
        });
        expired
    }

    fn take(&mut self, now: Duration, runner: &FreeRunner<'_>) -> Vec<Portion> {
        let near = |group: &Group| group.is_near(runner.domain);
        if runner.required == RequiredGroup::Near && !self.groups.iter().any(near) {
            return Vec::new();
        }
        self.sort(now);
        let mut forecast = CallForecast::new(self.shape, runner.free_times);
        let any_domain = !self.rules.near;
        let eligible =
            |group: &&Group| any_domain || near(group) || !forecast.should_wait(group, now);
        let groups = self.groups.iter().filter(eligible);
        let portions = fill(groups, self.shape.size, runner.room, self.rules.whole);
        for portion in &portions {
            if let Some(group) = self
                .groups
                .iter_mut()
                .find(|group| group.group_id == portion.group_id)
            {
                group.pieces -= portion.pieces;
            }
        }
        self.groups.retain(|group| group.pieces > 0);
        portions
    }

    fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let times = self
            .groups
            .iter()
            .map(|group| group.any_domain_from(self.shape, now));
        times.filter(|time| *time > now).min()
    }

    fn waiting_pieces(&self) -> u32 {
        count_pieces(self.groups.iter())
    }

    fn pieces_ahead(&self, now: Duration, rank: u8) -> u32 {
        let end = now.saturating_add(self.shape.shortest());
        let before = |group: &&Group| group.due >= end && group.rank <= rank;
        let groups = self.groups.iter().filter(before);
        count_pieces(groups)
    }
}

/// Takes portions of the groups in order until the call has `size` pieces or the results fill `room`.
/// With `whole`, a group that fits into a call of its own is not divided to fill up a call.
///
/// A divided group depends on two calls and on the runners of both, its results are stored in two
/// places for the next stage, and those of the first call take up room until the second has ended. In
/// return, calls are somewhat less full, which costs throughput when a stage is near its capacity.
fn fill<'a>(
    groups: impl Iterator<Item = &'a Group>,
    size: u32,
    mut room: u64,
    whole: bool,
) -> Vec<Portion> {
    let mut free_pieces = size;
    let mut portions = Vec::new();
    for group in groups {
        let fitting = room
            .checked_div(group.result_bytes)
            .unwrap_or(u64::from(size));
        let pieces = group
            .pieces
            .min(free_pieces)
            .min(u32::try_from(fitting).unwrap_or(u32::MAX));
        let is_divided = pieces < group.pieces && group.pieces <= size;
        // A group for which an empty call lacks room would not fit into the next one either.
        let postponed = whole && is_divided && !portions.is_empty();
        if pieces > 0 && !postponed {
            free_pieces -= pieces;
            room -= group.result_bytes * u64::from(pieces);
            portions.push(Portion {
                group_id: group.group_id,
                pieces,
            });
        }
        if free_pieces == 0 {
            break;
        }
    }
    portions
}

fn count_pieces<'a>(groups: impl Iterator<Item = &'a Group>) -> u32 {
    let pieces = groups.map(|group| group.pieces);
    pieces.fold(0, u32::saturating_add)
}

/// Removes and returns the groups that would expire before a call that starts now ends.
fn remove_expired(groups: &mut Vec<Group>, shape: Shape, now: Duration) -> Vec<GroupId> {
    let end = now.saturating_add(shape.shortest());
    let expired = groups.iter().filter(|group| group.expires_at < end);
    let expired = expired.map(|group| group.group_id).collect();
    groups.retain(|group| group.expires_at >= end);
    expired
}

/// The baseline: one group per call, in order of arrival.
#[derive(Clone, Debug)]
pub struct FifoQueue {
    shape: Shape,
    groups: Vec<Group>,
}

impl FifoQueue {
    /// An empty queue for calls of this shape.
    #[must_use]
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            groups: Vec::new(),
        }
    }

    /// Sets the shape after a change of the configuration.
    pub fn set_shape(&mut self, shape: Shape) {
        self.shape = shape;
    }
}

impl BatchQueue for FifoQueue {
    fn push(&mut self, group: Group) {
        self.groups.push(group);
    }

    fn withdraw(&mut self, group_id: GroupId) {
        self.groups.retain(|group| group.group_id != group_id);
    }

    fn expire(&mut self, now: Duration, _piece: Duration) -> Vec<GroupId> {
        remove_expired(&mut self.groups, self.shape, now)
    }

    fn take(&mut self, _now: Duration, runner: &FreeRunner<'_>) -> Vec<Portion> {
        let Some(first) = self.groups.first_mut() else {
            return Vec::new();
        };
        let portions = fill(
            std::iter::once(&*first),
            self.shape.size,
            runner.room,
            false,
        );
        first.pieces -= portions.first().map_or(0, |portion| portion.pieces);
        self.groups.retain(|group| group.pieces > 0);
        portions
    }

    fn next_wakeup(&self, _now: Duration) -> Option<Duration> {
        None
    }

    fn waiting_pieces(&self) -> u32 {
        count_pieces(self.groups.iter())
    }

    fn pieces_ahead(&self, _now: Duration, _rank: u8) -> u32 {
        self.waiting_pieces()
    }
}
