//! The relay processes, as registered by their rows in the table service.
//!
//! Each process writes one row when it starts. No row says that a process is gone: it is suspected when
//! it cannot be reached, until a short time has passed or it has restarted.

pub mod tree;

use crate::core::Relay;
use crate::downstream::Downstream;
use crate::follow::{Follower, PollIntervals, TableSource};
use crate::quarantine;
use crate::runner::DomainId;
use crate::telemetry::millis;
use decide::Map;
use decide::owner::{Candidate, choose};
use decide::retry::window::SlackShare;
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

/// Id of a process.
pub type MemberId = Arc<str>;

/// Table with a row for each process and for each quarantined request.
pub(crate) const TABLE: &str = "relay";
/// Time for which a process that could not be reached is not used.
const SUSPECT_TTL: Duration = Duration::from_secs(2);
/// Intervals at which the rows of the processes are polled. They can be long: a new process gets no work
/// until the others know it, and a process that is gone is detected by its links.
const POLL_INTERVALS: PollIntervals = PollIntervals {
    debounce: Duration::from_secs(2),
    standalone: Duration::from_secs(15),
    after_changes: Duration::from_secs(15),
    shared: Duration::from_secs(5),
    max_age: MAX_AGE,
};
/// Maximum age of rows that were received from peers.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(8);
/// Maximum age of the list of processes that permits an action which only a limited number of processes
/// may take. A request that waits for changes gets its response after [`PollIntervals::standalone`] at
/// the latest.
const MAX_LIST_AGE: Duration = Duration::from_secs(17);
/// Minimum time between the last request of one process and the first request of the process that takes
/// its place: requests are counted over a second, and sending one may take some tenths of a second.
const HANDOVER_DELAY: Duration = Duration::from_millis(1_500);
/// Number of processes from which on a few read the tables for all. With fewer processes, the table
/// service gets as many requests if each process reads for itself.
const MIN_SHARING_PROCESSES: usize = 12;
/// Maximum time that a starting process waits for the first list of processes.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean time between the writes of two processes that rewrite their rows.
const REWRITE_SPACING: Duration = Duration::from_millis(10);
/// Time after which processes that start with the whole system know one another.
const FIRST_LIST_DELAY: Duration = Duration::from_secs(4);
/// Maximum delay between two attempts to write the row of this process.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// A relay process, as its row describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the process, which is the name of its VM.
    pub id: MemberId,
    /// Random number that is different for each start.
    pub incarnation: u64,
    /// Address that the others connect to.
    pub address: SocketAddr,
    /// Failure domain that the process runs in.
    #[serde(default = "no_domain")]
    pub domain: DomainId,
    /// Capacity relative to the others.
    pub weight: f64,
    /// Time in milliseconds on the table service's clock when a row with this id was first written, by
    /// any start of the process.
    #[serde(default)]
    pub since: Option<u64>,
}

/// The domain of a process whose row does not contain one.
fn no_domain() -> DomainId {
    "".into()
}

/// The relay processes, as this process knows them.
#[derive(Debug)]
pub struct Members {
    own: Member,
    others: Map<MemberId, Member>,
    suspects: Map<MemberId, (u64, Instant)>,
    departed: Map<MemberId, u64>,
    /// Row that an earlier start of this process has written.
    previous_row: Option<Member>,
    /// Time on the table service's clock when the processes were first listed.
    listed_clock: Option<Duration>,
    /// Tree over which changes of the tables are distributed.
    pub tree: Tree,
    listed: bool,
    /// When the list last changed.
    changed_at: Instant,
    leaving: bool,
    /// Whether this process may do work that only a limited number of processes may do at a time.
    pub(crate) roster: Activation,
    /// Share of this process in the slack of the retry bound, in time that includes suspensions.
    pub(crate) slack_share: SlackShare,
}

impl Members {
    /// Creates the list with only this process in it.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            tree: Tree::new(&own),
            own,
            others: Map::default(),
            suspects: Map::default(),
            departed: Map::default(),
            previous_row: None,
            listed_clock: None,
            listed: false,
            changed_at: Instant::now(),
            leaving: false,
            roster: Activation::new(MAX_LIST_AGE, HANDOVER_DELAY),
            slack_share: SlackShare::default(),
        }
    }

    /// Stores the row of a process as of a revision; returns whether it is new or has changed.
    pub fn put(&mut self, member: Member, revision: RowRevision) -> bool {
        if member.id == self.own.id {
            let is_earlier_start = member.incarnation != self.own.incarnation;
            self.previous_row = is_earlier_start.then_some(member);
            return false;
        }
        if self.others.get(&member.id) == Some(&member) {
            return false;
        }
        self.tree.put(&member, revision);
        self.others.insert(member.id.clone(), member);
        self.changed_at = Instant::now();
        true
    }

    /// Removes a process whose row was deleted.
    pub fn remove(&mut self, id: &str) {
        self.tree.remove(id);
        if self.others.remove(id).is_some() {
            self.changed_at = Instant::now();
        }
    }

    /// Whether the list has changed so recently that other processes may not know of it, and may choose
    /// other owners.
    #[must_use]
    pub fn is_changing(&self) -> bool {
        self.changed_at.elapsed() < FIRST_LIST_DELAY
    }

    /// Suspects a process that could not be reached, for a short time.
    pub fn suspect(&mut self, member: &Member) {
        let until = Instant::now() + SUSPECT_TTL;
        self.suspects
            .insert(member.id.clone(), (member.incarnation, until));
    }

    /// Records that a process has announced to stop; it does no more work for others until it has
    /// restarted.
    pub fn mark_left(&mut self, id: MemberId, incarnation: u64) {
        self.departed.insert(id, incarnation);
    }

    /// Records that all rows of the table have been stored.
    pub fn mark_listed(&mut self) {
        self.listed = true;
    }

    /// Records that this process stops and accepts no more work from the others.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Number of processes, including this one; `None` before they are listed.
    #[must_use]
    pub fn count(&self) -> Option<usize> {
        self.listed.then(|| self.others.len() + 1)
    }

    /// Records that the row of this process was written at this time, with this revision.
    pub fn mark_registered(&mut self, now: Duration, revision: RowRevision) {
        self.tree.put(&self.own, revision);
        self.roster.mark_registered(now);
    }

    /// When a row with this process's id was first written, on the table service's clock, and whether
    /// that is so long ago that all processes know of it.
    fn registered_since(&self) -> (Option<Duration>, bool) {
        let previous_row = self
            .previous_row
            .as_ref()
            .and_then(|previous_row| previous_row.since);
        let since = previous_row.map(Duration::from_millis);
        let age = since.and_then(|since| self.listed_clock?.checked_sub(since));
        let is_settled = age.is_some_and(|age| age >= MAX_LIST_AGE + HANDOVER_DELAY);
        (since.or(self.listed_clock), is_settled)
    }

    /// Whether this process has announced that it stops.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.leaving
    }

    /// Whether the row of this process has been written.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.roster.known_from().is_some()
    }

    /// Number of processes that share the slack of the retry bound if retries count for the duration
    /// `reach`; `None` while this process has no share. `quota_time` is `now` including suspensions.
    pub(crate) fn slack_processes(
        &mut self,
        now: Duration,
        quota_time: Duration,
        reach: Duration,
    ) -> Option<usize> {
        // Processes that joined since an old list was read have shares.
        let is_current = self.roster.is_current(now);
        is_current.then(|| self.slack_share.processes(quota_time, reach))?
    }

    /// Records the number of processes, all rows of which have been read.
    fn record_count(&mut self, quota_time: Duration) {
        if let Some(count) = self.count() {
            self.slack_share.record_processes(quota_time, count);
        }
        if self.previous_row.is_some() {
            self.slack_share.mark_restarted();
        }
    }

    /// Whether this process is one of the few that may send to a runner that has just started.
    /// Unreachable processes keep their places, since two processes that disagree on reachability would
    /// both send.
    #[must_use]
    pub fn may_send(&self, share: &RateShare, runner: &str) -> bool {
        let others = self.others.keys().map(|id| &**id);
        share.may_send(runner, &self.own.id, others)
    }

    /// The other processes, except the suspected ones.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        let others = self.others.values();
        others.filter(|member| !self.is_suspect(member))
    }

    /// Whether there are enough processes that a few read the tables for all.
    #[must_use]
    pub fn shares_tables(&self) -> bool {
        self.count()
            .is_some_and(|count| count >= MIN_SHARING_PROCESSES)
    }

    /// The process from which this one receives changes of the platform's tables; `None` if it reads
    /// them itself.
    #[must_use]
    pub fn upstream(&mut self) -> Option<Member> {
        self.shares_tables().then_some(())?;
        let upstreams = self.tree.upstreams();
        upstreams.iter().find_map(|id| self.available_member(id))
    }

    /// A process that has most likely been running for a while, from which whole tables can be
    /// requested. To spread processes which start together, `random` selects one of many.
    #[must_use]
    pub fn bootstrap_peer(&self, random: u32) -> Option<Member> {
        self.shares_tables().then_some(())?;
        self.tree
            .bootstrap_peer(random, |id| self.available_member(id))
    }

    /// The process with this id, if it is neither suspected nor stopping.
    fn available_member(&self, id: &str) -> Option<Member> {
        let member = self.others.get(id)?;
        let is_available = !self.is_suspect(member) && !self.is_leaving(member);
        is_available.then(|| member.clone())
    }

    fn is_suspect(&self, member: &Member) -> bool {
        let suspect = self.suspects.get(&member.id);
        suspect.is_some_and(|(incarnation, until)| {
            *incarnation == member.incarnation && *until > Instant::now()
        })
    }

    /// The position of this process in the order in which the reachable processes take over a piece of
    /// work from one another.
    #[must_use]
    pub fn takeover_rank(&self, work: &str) -> u32 {
        let own = rendezvous_hash(work, &self.own.id);
        let before = self.reachable().filter(|member| {
            let other = rendezvous_hash(work, &member.id);
            (other, &*member.id) < (own, &*self.own.id)
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// The few processes that this one maintains links to, spread over the failure domains. Each process
    /// chooses for itself, and all links together connect every process with every other.
    #[must_use]
    pub fn neighbours(
        &self,
        count: usize,
        is_unreachable: impl Fn(&MemberId) -> bool,
    ) -> Vec<Member> {
        let others: Map<&str, &Member> = self
            .reachable()
            .filter(|member| !self.is_leaving(member) && !is_unreachable(&member.id))
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

    fn is_leaving(&self, member: &Member) -> bool {
        if member.id == self.own.id {
            return self.leaving;
        }
        self.departed.get(&member.id) == Some(&member.incarnation)
    }

    /// The process that owns a piece of work.
    ///
    /// A stopping process owns none as long as there is another. If all stop at once, they still agree
    /// on one of them: if each worked for itself, they would compete for the runners just when their
    /// work has to end.
    #[must_use]
    pub fn owner(&self, work: &str) -> Member {
        let all: Vec<&Member> = self.reachable().chain([&self.own]).collect();
        let staying: Vec<&Member> = all
            .iter()
            .copied()
            .filter(|member| !self.is_leaving(member))
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

/// Writes the row of this process, however long the table service is unavailable, and writes it again
/// whenever the service was restored from a backup that may lack it.
pub async fn register<D: Downstream, T: Table>(relay: Arc<Relay<D>>, table: T) {
    let started = Instant::now();
    relay.peers.wait_members_read(LIST_TIMEOUT).await;
    let mut member = relay.options.member.clone();
    let (since, is_settled) = relay.peers.members(|members| members.registered_since());
    member.since = since.map(millis);
    let Some(revision) = write_row(&relay, &table, &member).await else {
        return;
    };
    info!(relay.log, "enlisted"; "after_ms" => millis(started.elapsed()), "settled" => is_settled);
    relay.peers.members(|members| {
        members.mark_registered(relay.now(), revision);
        if is_settled {
            members.roster.mark_known();
        }
        let first_list = relay.now() + FIRST_LIST_DELAY;
        let known_from = members.roster.known_from();
        let known_from = known_from.filter(|_| !relay.options.first_start);
        let known_from = known_from.unwrap_or(first_list) + relay.pause.suspended();
        members.slack_share.mark_known(known_from);
    });
    relay.peers.mark_registered();
    loop {
        relay.peers.rewrite_own_row.notified().await;
        // All processes rewrite their rows, in addition to what all runners write.
        let others = u32::try_from(relay.processes()).unwrap_or(u32::MAX);
        let spread = relay.random(|rng| rng.random_range(0.0..1.0));
        sleep((REWRITE_SPACING * others).mul_f64(spread)).await;
        if let Some(revision) = write_row(&relay, &table, &member).await {
            relay
                .peers
                .members(|members| members.mark_registered(relay.now(), revision));
            info!(relay.log, "own row rewritten");
        }
    }
}

/// Writes the row of this process; returns its revision if it succeeds.
async fn write_row<D: Downstream, T: Table>(
    relay: &Relay<D>,
    table: &T,
    member: &Member,
) -> Option<RowRevision> {
    let value = match serde_json::to_value(member) {
        Ok(value) => value,
        Err(error) => {
            warn!(relay.log, "cannot encode own row"; "error" => %error);
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
    let mut retry_delay = Duration::from_millis(20);
    loop {
        let error = match table.transact(&transaction).await {
            Ok(revision) => return Some(revision),
            Err(error @ Error::Conflict { .. }) => {
                warn!(relay.log, "cannot write own row"; "error" => %error);
                return None;
            }
            Err(error) => error,
        };
        info!(relay.log, "cannot write own row yet, retrying"; "error" => %error);
        let jitter = relay.random(|rng| rng.random_range(0.5..1.0));
        let retry_after = match error {
            Error::Unavailable { retry_after, .. } => retry_after,
            _ => None,
        };
        sleep(
            retry_delay
                .max(retry_after.unwrap_or_default())
                .mul_f64(jitter),
        )
        .await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Follows the rows of the other processes until the task is dropped.
pub async fn follow<D: Downstream, S: TableSource>(relay: Arc<Relay<D>>, source: S) {
    let mut follower = Follower::new(&relay, source, TABLE, POLL_INTERVALS);
    let mut is_first = true;
    loop {
        let mut changes = follower.next(&relay).await;
        if follower.is_restored {
            relay.peers.rewrite_own_row.notify_one();
            quarantine::rewrite_rows(&relay);
        }
        changes
            .rows
            .retain(|change| !quarantine::apply_row(&relay, change));
        quarantine::expire(&relay);
        let quota_time = relay.quota_time();
        relay.peers.members(|members| {
            if follower.is_restored {
                // The backup may contain the row of an earlier start of a process, which will rewrite
                // its row.
                changes
                    .rows
                    .retain(|change| !members.others.contains_key(change.key.as_str()));
            }
            for change in changes.rows {
                apply_row(&relay, members, &change);
            }
            members.listed_clock = members.listed_clock.or(changes.clock);
            members.mark_listed();
            members.record_count(quota_time);
            members.roster.read(follower.current());
        });
        relay.peers.mark_members_read();
        let is_alone = !relay.peers.members(|members| members.shares_tables());
        if std::mem::take(&mut is_first) && is_alone && relay.options.first_start {
            // Many processes may be starting together. Once the row of this process is in the table, all
            // rows that were written before it are, too.
            relay.peers.wait_registered(LIST_TIMEOUT).await;
            follower.skip_wait = true;
            continue;
        }
        relay.peers.mark_members_listed();
    }
}

fn apply_row<D: Downstream>(relay: &Relay<D>, members: &mut Members, change: &store::Change) {
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
            warn!(relay.log, "invalid member row"; "row" => &change.key, "error" => %error);
        }
    }
}
