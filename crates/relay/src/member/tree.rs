//! The tree over which changes of the platform's tables are distributed.
//!
//! Two processes read the tables, and each process passes the changes on to a few others. The processes
//! are ordered by the revisions of their rows, which every process sees alike, and no row ever moves
//! forward in this order. So all processes that know the first rows agree on the readers, however many
//! more rows they know, and each process gets its updates from one before it. A restarted process, which
//! knows nothing yet, comes last.

use crate::member::{Member, MemberId};
use decide::Map;
use store::RowRevision;
use tokio::time::{Duration, Instant};

/// Processes that read the tables.
const READERS: usize = 2;
/// Processes to which each process passes on changes.
const FAN_OUT: usize = 8;
/// Upstream processes that are tried, one after the other, before the tables are read.
const MAX_UPSTREAMS: usize = 3;
/// Time for which a process that had no update in time is not used.
const STALE_TTL: Duration = Duration::from_secs(3);

/// Sort key of a process: those with far less capacity than most come last, whenever they wrote their
/// rows.
type SortKey = (bool, RowRevision, MemberId);

/// The processes in the order of the tree, level by level.
#[derive(Debug)]
pub struct Tree {
    own: MemberId,
    /// Random number that differs between processes.
    random: usize,
    rows: Map<MemberId, (RowRevision, f64)>,
    /// The sorted processes; `None` after a change.
    order: Option<Vec<SortKey>>,
    stale: Map<MemberId, Instant>,
    /// The process that sent the last update.
    last_upstream: Option<MemberId>,
}

impl Tree {
    /// Creates the tree without any rows, not even that of `own`.
    #[must_use]
    pub fn new(own: &Member) -> Self {
        Self {
            own: own.id.clone(),
            random: own.incarnation as usize,
            rows: Map::default(),
            order: None,
            stale: Map::default(),
            last_upstream: None,
        }
    }

    /// Adds a process whose row has this revision.
    pub fn put(&mut self, member: &Member, revision: RowRevision) {
        self.rows
            .insert(member.id.clone(), (revision, member.weight));
        self.order = None;
    }

    /// Removes a process whose row was deleted.
    pub fn remove(&mut self, id: &str) {
        self.rows.remove(id);
        self.order = None;
    }

    /// Records that a process had no update in time.
    pub fn mark_stale(&mut self, id: &MemberId) {
        let now = Instant::now();
        self.stale.retain(|_, until| *until > now);
        self.stale.insert(id.clone(), now + STALE_TTL);
    }

    /// Records that a process has sent an update.
    pub fn mark_updated(&mut self, id: &MemberId) {
        self.last_upstream = Some(id.clone());
    }

    fn order(&mut self) -> &[SortKey] {
        let rows = &self.rows;
        self.order.get_or_insert_with(|| sort_rows(rows))
    }

    /// Position of this process. Before its row is written, it takes a random position in the later
    /// half, so that processes which start together use different upstream processes.
    fn position(&mut self) -> usize {
        let (own, random) = (self.own.clone(), self.random);
        let order = self.order();
        let found = order.iter().position(|(.., id)| *id == own);
        found.unwrap_or_else(|| {
            let later = order.len().div_ceil(2);
            order.len() - random % later.max(1)
        })
    }

    /// Hops from the readers of the tables to this process.
    #[must_use]
    pub fn depth(&mut self) -> u32 {
        depth(self.position())
    }

    /// Hops from the readers of the tables to the process that is farthest from them.
    #[must_use]
    pub fn levels(&mut self) -> u32 {
        depth(self.order().len().saturating_sub(1))
    }

    /// The process from which this one gets its updates, followed by others that can replace it. The
    /// list is empty if this process must read the tables itself.
    pub(super) fn upstreams(&mut self) -> Vec<MemberId> {
        let Some(parent) = parent(self.position()) else {
            return Vec::new();
        };
        let before = self.order()[..=parent].iter().rev();
        let before = before.take(MAX_UPSTREAMS).map(|(.., id)| id.clone());
        let mut upstreams: Vec<MemberId> = before.collect();
        upstreams.extend(self.last_upstream.clone());
        upstreams.retain(|id| !self.is_stale(id));
        upstreams
    }

    /// One of the processes in the later half by the revision of their rows, which are most likely
    /// alive.
    pub(super) fn bootstrap_peer(
        &self,
        random: u32,
        available_member: impl Fn(&str) -> Option<Member>,
    ) -> Option<Member> {
        let mut newest: Vec<(RowRevision, &MemberId)> = self
            .rows
            .iter()
            .filter(|(id, _)| **id != self.own && !self.is_stale(id))
            .map(|(id, (revision, _))| (*revision, id))
            .collect();
        newest.sort_unstable();
        let newest = &newest[newest.len() / 2..];
        let (_, id) = newest.get(random as usize % newest.len().max(1))?;
        available_member(id)
    }

    fn is_stale(&self, id: &MemberId) -> bool {
        let until = self.stale.get(id);
        until.is_some_and(|until| *until > Instant::now())
    }
}

fn sort_rows(rows: &Map<MemberId, (RowRevision, f64)>) -> Vec<SortKey> {
    let weights = rows.values().map(|(_, weight)| weight);
    let min_weight = weights.sum::<f64>() / rows.len().max(1) as f64 / 2.0;
    let sort_key = |(id, (revision, weight)): (&MemberId, &(RowRevision, f64))| {
        (*weight < min_weight, *revision, id.clone())
    };
    let mut order: Vec<SortKey> = rows.iter().map(sort_key).collect();
    order.sort_unstable();
    order
}

/// Hops from the readers of the tables to the process at a position.
fn depth(mut position: usize) -> u32 {
    let mut depth = 0;
    while let Some(parent) = parent(position) {
        position = parent;
        depth += 1;
    }
    depth
}

/// Position of the process that updates the one at a position; `None` for readers.
fn parent(position: usize) -> Option<usize> {
    Some(position.checked_sub(READERS)? / FAN_OUT)
}
