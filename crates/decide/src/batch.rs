//! Which waiting pieces of work go into the next call of a batching runner.
//!
//! A runner of a stage service works for a fixed time a call and a little more for each piece, so
//! that a full call costs a piece a fraction of what a call of its own would cost. Pieces wait here
//! while every runner has a call in progress and are bound to a runner only when it is free:
//! whatever arrives in between shares the next call.

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

/// Time, as a multiple of that of its work, by which a group goes behind others that are due as soon.
/// In a burst not all can be on time, and more are if the small ones go first.
const WORK: u32 = 6;

/// How much faster than expected a queue may turn out to be before a group in it is given up: some
/// of the requests ahead will leave, and calls differ.
const HOPE: f64 = 1.5;

/// Names a group of pieces for as long as it waits.
pub type GroupId = u64;

/// What one call of a runner holds and costs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Most pieces in a call.
    pub size: u32,
    /// Time that each call takes besides its pieces.
    pub call: Duration,
    /// Time that each piece adds, on average.
    pub piece: Duration,
}

impl Shape {
    /// Time of a call with so many pieces.
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
        self.call + self.piece * pieces
    }

    /// Time of a full call.
    #[must_use]
    pub fn full(&self) -> Duration {
        self.time(self.size)
    }

    /// Shortest time in which a call ends.
    fn shortest(&self) -> Duration {
        self.time(1)
    }
}

/// The pieces of one stage of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Name of the group.
    pub group_id: GroupId,
    /// Pieces that still wait.
    pub pieces: u32,
    /// Size of one result in bytes.
    pub result_bytes: u64,
    /// Moment by which the pieces must be made for the request to be on time.
    pub due: Duration,
    /// Moment after which the pieces are of no use at all.
    pub expires_at: Duration,
    /// How urgent the request is; 0 comes first.
    pub rank: u8,
    /// Failure domain where the pieces are best made: near their inputs, or near where their
    /// results will be fetched.
    pub domain: Option<Arc<str>>,
    /// When the group came.
    pub arrived_at: Duration,
    /// How long the group waits for a runner of that domain as long as it is not late for that.
    pub max_domain_wait: Duration,
}

impl Group {
    /// Whether a runner of this domain is as good as any.
    fn is_near(&self, domain: &str) -> bool {
        self.domain.as_deref().is_none_or(|wanted| wanted == domain)
    }

    /// From when on a runner of any domain may make the pieces.
    ///
    /// A group that is late has nothing to lose by the wait; one that is not goes elsewhere before
    /// it would be late.
    fn anywhere_from(&self, shape: Shape, now: Duration) -> Duration {
        let patient = self.arrived_at + self.max_domain_wait;
        let before_due = |time: Duration| self.due.saturating_sub(time);
        let late = before_due(shape.time(self.pieces)) < now;
        if late {
            return patient;
        }
        patient.min(before_due(shape.full()))
    }
}

/// Pieces of one group that go into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Portion {
    /// The group.
    pub group_id: GroupId,
    /// How many of its waiting pieces.
    pub pieces: u32,
}

/// Chooses the pieces of the next call.
pub trait BatchQueue {
    /// Adds a group.
    fn push(&mut self, group: Group);
    /// Forgets a group whose request is gone.
    fn withdraw(&mut self, group_id: GroupId);
    /// Removes and gives the groups that are better given up: those that cannot be made by their
    /// last moment, and those that are late while the runners are busy with more than a call's time
    /// of others. What waits takes the runners `piece` for each piece.
    ///
    /// A late group goes behind all that can still be on time. As long as those come as fast as the
    /// runners make them it would wait for its last moment, and its caller would learn then, with
    /// no time left, what was plain seconds before. This holds also for requests whose first stages
    /// are made: kept for the sake of that work, their results lapse while they wait, and have to be
    /// made again.
    fn expire(&mut self, now: Duration, piece: Duration) -> Vec<GroupId>;
    /// Takes the pieces of a call that starts now at a runner; none if there is no group as it needs.
    fn take(&mut self, now: Duration, offer: &FreeRunner<'_>) -> Vec<Portion>;
    /// When the next group that waits for a runner of its domain may go anywhere.
    fn next_wakeup(&self, now: Duration) -> Option<Duration>;
    /// Pieces that wait.
    fn waiting_pieces(&self) -> u32;
    /// Pieces that wait and would be taken before those of a new group of this rank.
    fn pieces_ahead(&self, now: Duration, rank: u8) -> u32;
}

/// Fills calls with those that can still be on time first, by urgency and then by due time.
///
/// Under overload an order by due time alone spends each call on the request that is about to be
/// late and makes all of them late; those that have lost their aim go behind those that have not.
///
/// # Examples
///
/// ```
/// use decide::batch::{BatchQueue, Group, RequiredGroup, FreeRunner, Portion, Shape, SlackQueue};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let shape = Shape { size: 4, call: second / 5, piece: second / 50 };
/// let mut batch_queue = SlackQueue::new(shape);
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
/// batch_queue.push(group.clone());
/// batch_queue.push(Group { group_id: 2, pieces: 1, due: second / 2, ..group });
/// let offer = FreeRunner { room: 1_000, domain: "a", need: RequiredGroup::Any, free_times: &[] };
/// let taken = batch_queue.take(Duration::ZERO, &offer);
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
    /// An empty former for calls of this shape.
    #[must_use]
    pub fn new(shape: Shape) -> Self {
        Self::with(shape, Rules::default())
    }

    /// One that leaves out some of its rules.
    #[must_use]
    pub fn with(shape: Shape, rules: Rules) -> Self {
        Self {
            shape,
            rules,
            groups: Vec::new(),
        }
    }

    /// Takes over the shape that the configuration now gives.
    pub fn reshape(&mut self, shape: Shape) {
        self.shape = shape;
    }

    /// Puts the groups into the order in which they are taken.
    fn sort(&mut self, now: Duration) {
        let end = now + self.shape.shortest();
        let weight = if self.rules.small_first { WORK } else { 0 };
        let work = self.shape.piece * weight;
        let turn = |group: &Group| group.due + work * group.pieces;
        self.groups
            .sort_by_key(|group| (group.due < end, group.rank, turn(group)));
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
            return past(&mut self.groups, self.shape, now);
        }
        self.sort(now);
        let (call, shortest) = (self.shape.call, self.shape.shortest());
        let mut ahead = 0;
        let mut useless = Vec::new();
        self.groups.retain(|group| {
            let wait = piece * ahead;
            let late = group.due < now + shortest;
            let hopeless = now + wait.div_f64(HOPE) + shortest > group.expires_at;
            let crowded_out = late && wait > call;
            let keep = !hopeless && !crowded_out;
            if keep {
                ahead += group.pieces;
            } else {
                useless.push(group.group_id);
            }
            keep
        });
        useless
    }

    fn take(&mut self, now: Duration, offer: &FreeRunner<'_>) -> Vec<Portion> {
        let near = |group: &Group| group.is_near(offer.domain);
        if offer.need == RequiredGroup::Near && !self.groups.iter().any(near) {
            return Vec::new();
        }
        self.sort(now);
        let mut outlook = CallForecast::new(self.shape, offer.free_times);
        let any = !self.rules.near;
        let may = |group: &&Group| any || near(group) || !outlook.waits(group, now);
        let groups = self.groups.iter().filter(may);
        let portions = fill(groups, self.shape.size, offer.room, self.rules.whole);
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
        let moments = self
            .groups
            .iter()
            .map(|group| group.anywhere_from(self.shape, now));
        moments.filter(|moment| *moment > now).min()
    }

    fn waiting_pieces(&self) -> u32 {
        self.groups.iter().map(|group| group.pieces).sum()
    }

    fn pieces_ahead(&self, now: Duration, rank: u8) -> u32 {
        let end = now + self.shape.shortest();
        let before = |group: &&Group| group.due >= end && group.rank <= rank;
        let groups = self.groups.iter().filter(before);
        groups.map(|group| group.pieces).sum()
    }
}

/// Portions of the groups in their order, as far as places and room go; with `whole`, a group that
/// fits into a call of its own is not divided to fill the last places of one.
///
/// A divided group depends on two calls and on the runners of both, its results lie in two places
/// for the next stage, and those of the first call take up room until the second has ended. Calls are
/// somewhat less full for it, which costs a stage that is asked for nearly all it can make.
fn fill<'a>(
    groups: impl Iterator<Item = &'a Group>,
    size: u32,
    mut room: u64,
    whole: bool,
) -> Vec<Portion> {
    let mut free = size;
    let mut portions = Vec::new();
    for group in groups {
        let fitting = room
            .checked_div(group.result_bytes)
            .unwrap_or(u64::from(size));
        let pieces = group
            .pieces
            .min(free)
            .min(u32::try_from(fitting).unwrap_or(u32::MAX));
        let divided = pieces < group.pieces && group.pieces <= size;
        // One that finds no room at an empty call would find none at the next one either.
        let later = whole && divided && !portions.is_empty();
        if pieces > 0 && !later {
            free -= pieces;
            room -= group.result_bytes * u64::from(pieces);
            portions.push(Portion {
                group_id: group.group_id,
                pieces,
            });
        }
        if free == 0 {
            break;
        }
    }
    portions
}

/// Removes and gives the groups that a call which starts now makes too late.
fn past(groups: &mut Vec<Group>, shape: Shape, now: Duration) -> Vec<GroupId> {
    let end = now + shape.shortest();
    let useless = groups.iter().filter(|group| group.expires_at < end);
    let useless = useless.map(|group| group.group_id).collect();
    groups.retain(|group| group.expires_at >= end);
    useless
}

/// One group a call, in order of arrival: the baseline.
#[derive(Clone, Debug)]
pub struct FifoQueue {
    shape: Shape,
    groups: Vec<Group>,
}

impl FifoQueue {
    /// An empty former for calls of this shape.
    #[must_use]
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            groups: Vec::new(),
        }
    }

    /// Takes over the shape that the configuration now gives.
    pub fn reshape(&mut self, shape: Shape) {
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
        past(&mut self.groups, self.shape, now)
    }

    fn take(&mut self, _now: Duration, offer: &FreeRunner<'_>) -> Vec<Portion> {
        let Some(first) = self.groups.first_mut() else {
            return Vec::new();
        };
        let portions = fill(std::iter::once(&*first), self.shape.size, offer.room, false);
        first.pieces -= portions.first().map_or(0, |portion| portion.pieces);
        self.groups.retain(|group| group.pieces > 0);
        portions
    }

    fn next_wakeup(&self, _now: Duration) -> Option<Duration> {
        None
    }

    fn waiting_pieces(&self) -> u32 {
        self.groups.iter().map(|group| group.pieces).sum()
    }

    fn pieces_ahead(&self, _now: Duration, _rank: u8) -> u32 {
        self.waiting_pieces()
    }
}
