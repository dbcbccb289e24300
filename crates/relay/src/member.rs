//! The processes of the system, as their rows in the table service tell.
//!
//! Each process writes one row at its start. No row says that a process is gone: that shows when it
//! cannot be reached, and ends when it can be again or has started anew.

pub mod tree;

use crate::core::Relay;
use crate::downstream::Downstream;
use crate::follow::{Follower, Pace, TableSource};
use crate::quarantine;
use crate::runner::DomainId;
use crate::telemetry::millis;
use decide::Map;
use decide::owner::{Candidate, choose};
use decide::subset::{self, rendezvous_hash};
use decide::warmup::RateShare;
use protocol::activation::Activation;
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::{Error, Put, RowRevision, Table, Transaction};
use tokio::time::{Instant, sleep};
pub use tree::Tree;

/// Name of a process.
pub type MemberId = Arc<str>;

/// Table with a row for each process, and for each request that is held back.
pub(crate) const TABLE: &str = "relay";
/// Time for which a process that could not be reached is left out.
const SUSPECT: Duration = Duration::from_secs(2);
/// How the others' rows are followed. A process that is new to the others is given no work until it
/// is known, and one that is gone shows by its links.
const PACE: Pace = Pace {
    gather: Duration::from_secs(2),
    alone: Duration::from_secs(15),
    shared: Duration::from_secs(5),
    most: MAX_AGE,
};
/// Greatest age of what others tell of the rows.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(8);
/// Greatest age of the list of processes that is acted on where only so many may act. A question
/// that waits for changes is answered after [`Pace::alone`] at the latest.
const ROSTER_AGE: Duration = Duration::from_secs(17);
/// Time between the last request of one process and the first of the one that takes its place, at
/// least: requests are counted over a second, and may take some tenths to be sent.
const ROSTER_APART: Duration = Duration::from_millis(1_500);
/// Processes from which on a few read the tables for all: fewer would ask the table service as often
/// when each reads for itself.
const SHARED_FROM: usize = 12;
/// Longest wait of a start for the first list of the processes.
const LIST_WAIT: Duration = Duration::from_secs(1);
/// Mean time between two processes that write their rows again.
const REWRITE_EVERY: Duration = Duration::from_millis(10);
/// Longest pause between tries to write the own row.
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// One process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name: that of its VM.
    pub id: MemberId,
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// Where the others connect.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    #[serde(default = "no_domain")]
    pub domain: DomainId,
    /// How much work it can do compared to the others.
    pub weight: f64,
    /// Reading of the table service's clock, in milliseconds, when a row of this name was first
    /// written, whatever start of the process wrote it.
    #[serde(default)]
    pub since: Option<u64>,
}

/// That of a process whose row does not tell it.
fn no_domain() -> DomainId {
    "".into()
}

/// What is known of the processes.
#[derive(Debug)]
pub struct Members {
    own: Member,
    others: Map<MemberId, Member>,
    suspects: Map<MemberId, (u64, Instant)>,
    left: Map<MemberId, u64>,
    /// Row of an earlier start of this process.
    former: Option<Member>,
    /// Reading of the table service's clock when the processes were first listed.
    clock: Option<Duration>,
    /// Who tells whom what is new in the tables.
    pub tree: Tree,
    listed: bool,
    leaving: bool,
    /// Whether this process takes part in work that only so many may do at a time.
    pub(crate) roster: Activation,
}

impl Members {
    /// Only the own process is known.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            tree: Tree::new(&own),
            own,
            others: Map::default(),
            suspects: Map::default(),
            left: Map::default(),
            former: None,
            clock: None,
            listed: false,
            leaving: false,
            roster: Activation::new(ROSTER_AGE, ROSTER_APART),
        }
    }

    /// Takes in a row as of a revision; tells whether it is new.
    pub fn put(&mut self, member: Member, revision: RowRevision) -> bool {
        if member.id == self.own.id {
            let is_former = member.incarnation != self.own.incarnation;
            self.former = is_former.then_some(member);
            return false;
        }
        if self.others.get(&member.id) == Some(&member) {
            return false;
        }
        self.tree.put(&member, revision);
        self.others.insert(member.id.clone(), member);
        true
    }

    /// Forgets a process whose row is gone.
    pub fn remove(&mut self, id: &str) {
        self.tree.remove(id);
        self.others.remove(id);
    }

    /// A process could not be reached.
    pub fn suspect(&mut self, member: &Member) {
        let until = Instant::now() + SUSPECT;
        self.suspects
            .insert(member.id.clone(), (member.incarnation, until));
    }

    /// A process said that it stops; it does no more work for others until it starts anew.
    pub fn mark_left(&mut self, id: MemberId, incarnation: u64) {
        self.left.insert(id, incarnation);
    }

    /// All rows that there were have been taken in.
    pub fn mark_listed(&mut self) {
        self.listed = true;
    }

    /// The own process stops and takes no more work from the others.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Processes that are there, the own one included; `None` before they are listed.
    #[must_use]
    pub fn count(&self) -> Option<usize> {
        self.listed.then(|| self.others.len() + 1)
    }

    /// The own row is in the table as of now, and a revision.
    pub fn mark_registered(&mut self, now: Duration, revision: RowRevision) {
        self.tree.put(&self.own, revision);
        self.roster.mark_registered(now);
    }

    /// When a row of this name was first written, by the table service's clock, and whether that is so
    /// long ago that all processes know of it.
    fn since(&self) -> (Option<Duration>, bool) {
        let former = self.former.as_ref().and_then(|former| former.since);
        let since = former.map(Duration::from_millis);
        let age = since.and_then(|since| self.clock?.checked_sub(since));
        let is_settled = age.is_some_and(|age| age >= ROSTER_AGE + ROSTER_APART);
        (since.or(self.clock), is_settled)
    }

    /// Whether this process is one of the few that may send to a runner that has just started. Those
    /// that cannot be reached keep their places: two processes that disagree on that would both send.
    #[must_use]
    pub fn may_send(&self, share: &RateShare, runner: &str) -> bool {
        let others = self.others.keys().map(|id| &**id);
        share.may_send(runner, &self.own.id, others)
    }

    /// The other processes that can be reached, as far as is known.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        let others = self.others.values();
        others.filter(|member| !self.is_suspect(member))
    }

    /// Whether there are so many processes that a few read the tables for all.
    #[must_use]
    pub fn shares_tables(&self) -> bool {
        self.count().is_some_and(|count| count >= SHARED_FROM)
    }

    /// The process that tells this one what is new in the platform's tables; none if it reads them.
    #[must_use]
    pub fn upstream(&mut self) -> Option<Member> {
        self.shares_tables().then_some(())?;
        let upstreams = self.tree.upstreams();
        upstreams.iter().find_map(|id| self.can_ask(id))
    }

    /// A process that has most likely been there for a while, to be asked for whole tables. `draw` picks
    /// one of many, so that those which start together don't ask the same one.
    #[must_use]
    pub fn helper(&self, draw: u32) -> Option<Member> {
        self.shares_tables().then_some(())?;
        self.tree.helper(draw, |id| self.can_ask(id))
    }

    /// The process of that name, if it may be asked.
    fn can_ask(&self, id: &str) -> Option<Member> {
        let member = self.others.get(id)?;
        let can_ask = !self.is_suspect(member) && !self.leaves(member);
        can_ask.then(|| member.clone())
    }

    fn is_suspect(&self, member: &Member) -> bool {
        let suspect = self.suspects.get(&member.id);
        suspect.is_some_and(|(incarnation, until)| {
            *incarnation == member.incarnation && *until > Instant::now()
        })
    }

    /// The place of this process in the order in which the processes that can be reached take over a
    /// piece of work from one another.
    #[must_use]
    pub fn takeover_rank(&self, work: &str) -> u32 {
        let own = rendezvous_hash(work, &self.own.id);
        let before = self.reachable().filter(|member| {
            let other = rendezvous_hash(work, &member.id);
            (other, &*member.id) < (own, &*self.own.id)
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// The few processes that this one keeps links to, spread over the failure domains. Each process
    /// chooses for itself, and the links of all lead from any process to any other.
    #[must_use]
    pub fn neighbours(&self, count: usize, is_gone: impl Fn(&MemberId) -> bool) -> Vec<Member> {
        let others: Map<&str, &Member> = self
            .reachable()
            .filter(|member| !self.leaves(member) && !is_gone(&member.id))
            .map(|member| (&*member.id, member))
            .collect();
        let candidates: Vec<subset::Candidate<'_>> = others
            .values()
            .map(|member| subset::Candidate {
                id: &member.id,
                domain: &member.domain,
            })
            .collect();
        let chosen = subset::choose(&self.own.id, count, &candidates);
        let found = chosen.iter().filter_map(|chosen| others.get(chosen.id));
        found.map(|member| (*member).clone()).collect()
    }

    fn leaves(&self, member: &Member) -> bool {
        if member.id == self.own.id {
            return self.leaving;
        }
        self.left.get(&member.id) == Some(&member.incarnation)
    }

    /// The process that does a piece of work.
    ///
    /// One that stops does none as long as another can. Where all of them stop at once, they go on
    /// to agree on one: each working for itself, they would get into one another's way just when
    /// they have to be done.
    #[must_use]
    pub fn owner(&self, work: &str) -> Member {
        let all: Vec<&Member> = self.reachable().chain([&self.own]).collect();
        let staying: Vec<&Member> = all
            .iter()
            .copied()
            .filter(|member| !self.leaves(member))
            .collect();
        let members = if staying.is_empty() { all } else { staying };
        let candidate = |member: &&'_ Member| (member.id.clone(), member.weight);
        let candidates: Vec<(MemberId, f64)> = members.iter().map(candidate).collect();
        let candidates: Vec<Candidate<'_>> = candidates
            .iter()
            .map(|(id, weight)| Candidate {
                id,
                weight: *weight,
            })
            .collect();
        let chosen = choose(work, &candidates);
        let found = members.iter().find(|member| Some(&*member.id) == chosen);
        found.map_or_else(|| self.own.clone(), |member| (*member).clone())
    }
}

/// Writes the own row, however long the table service is away, and again whenever the service has come
/// back from a copy that may not have it.
pub async fn register<D: Downstream, T: Table>(relay: Arc<Relay<D>>, table: T) {
    let begun = Instant::now();
    relay.peers.members_read(LIST_WAIT).await;
    let mut member = relay.options.member.clone();
    let (since, is_settled) = relay.peers.members(|members| members.since());
    member.since = since.map(millis);
    let Some(revision) = write(&relay, &table, &member).await else {
        return;
    };
    info!(relay.log, "enlisted"; "after_ms" => millis(begun.elapsed()), "settled" => is_settled);
    relay.peers.members(|members| {
        members.mark_registered(relay.now(), revision);
        if is_settled {
            members.roster.mark_known();
        }
    });
    relay.peers.note_enlisted();
    loop {
        relay.peers.rewrite.notified().await;
        // All processes write again, on top of what all runners write.
        let others = u32::try_from(relay.processes()).unwrap_or(u32::MAX);
        let spread = relay.random(|rng| rng.random_range(0.0..1.0));
        sleep((REWRITE_EVERY * others).mul_f64(spread)).await;
        if let Some(revision) = write(&relay, &table, &member).await {
            relay
                .peers
                .members(|members| members.mark_registered(relay.now(), revision));
            info!(relay.log, "own row written again");
        }
    }
}

/// Writes the own row; gives its revision if it could.
async fn write<D: Downstream, T: Table>(
    relay: &Relay<D>,
    table: &T,
    member: &Member,
) -> Option<RowRevision> {
    let value = match serde_json::to_value(member) {
        Ok(value) => value,
        Err(error) => {
            warn!(relay.log, "own row cannot be written"; "error" => %error);
            return None;
        }
    };
    let put = Put {
        table: TABLE.to_owned(),
        key: member.id.to_string(),
        value: Some(value),
    };
    let transaction = Transaction {
        checks: Vec::new(),
        puts: vec![put],
    };
    let mut pause = Duration::from_millis(20);
    loop {
        let error = match table.transact(&transaction).await {
            Ok(revision) => return Some(revision),
            Err(error @ Error::Conflict { .. }) => {
                warn!(relay.log, "own row cannot be written"; "error" => %error);
                return None;
            }
            Err(error) => error,
        };
        info!(relay.log, "own row not written yet"; "error" => %error);
        let jitter = relay.random(|rng| rng.random_range(0.5..1.0));
        let told = match error {
            Error::Unavailable { retry_after, .. } => retry_after,
            _ => None,
        };
        sleep(pause.max(told.unwrap_or_default()).mul_f64(jitter)).await;
        pause = (pause * 2).min(PAUSE_MOST);
    }
}

/// Follows the rows of the other processes until the task is dropped.
pub async fn follow<D: Downstream, S: TableSource>(relay: Arc<Relay<D>>, source: S) {
    let mut follower = Follower::new(&relay, source, TABLE, PACE);
    let mut is_first = true;
    loop {
        let mut changes = follower.next(&relay).await;
        if follower.restored {
            relay.peers.rewrite.notify_one();
            quarantine::rewrite_rows(&relay);
        }
        changes
            .rows
            .retain(|change| !quarantine::apply_row(&relay, change));
        quarantine::expire(&relay);
        relay.peers.members(|members| {
            if follower.restored {
                // The copy may have an earlier start of a process; it writes its row again.
                changes
                    .rows
                    .retain(|change| !members.others.contains_key(change.key.as_str()));
            }
            for change in changes.rows {
                take(&relay, members, &change);
            }
            members.clock = members.clock.or(changes.clock);
            members.mark_listed();
            members.roster.read(follower.current());
        });
        relay.peers.note_read();
        let is_alone = !relay.peers.members(|members| members.shares_tables());
        if std::mem::take(&mut is_first) && is_alone && relay.options.first_start {
            // Many may be about to start together. Once the own row is there, so are those that were
            // written before it.
            relay.peers.enlisted(LIST_WAIT).await;
            follower.hurried = true;
            continue;
        }
        relay.peers.note_listed();
    }
}

fn take<D: Downstream>(relay: &Relay<D>, members: &mut Members, change: &store::Change) {
    let Some(value) = &change.value else {
        members.remove(&change.key);
        return;
    };
    match Member::deserialize(value) {
        Ok(member) => {
            let (id, address, incarnation) =
                (member.id.clone(), member.address, member.incarnation);
            if members.put(member, change.revision) {
                info!(relay.log, "member"; "member" => &*id, "address" => %address,
                    "incarnation" => incarnation);
            }
        }
        Err(error) => {
            warn!(relay.log, "row of a member unreadable"; "row" => &change.key, "error" => %error);
        }
    }
}
