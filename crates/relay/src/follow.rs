//! Keeps plan and runners as the platform's table service has them.

mod budget;
mod follower;

pub use budget::StalenessBudget;
pub(crate) use follower::{Follower, Pace};

use crate::configuration::Configuration;
use crate::core::Relay;
use crate::downstream::Downstream;
use crate::drain::Drains;
use crate::runner::{Change, DomainId, Runner, RunnerId};
use crate::telemetry::millis;
use decide::Map;
use serde::de::StdError;
use slog::{info, warn};
use snafu::Snafu;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use store::{Changes, Feed};
use tokio::time::Instant;

/// How configuration and runners are followed.
///
/// A question that a service took before it fell silent is given up after its wait and the client's
/// margin, and a change in the meantime is heard of as late: within five seconds of the service's
/// return. Where others read the table, what they tell is relied on for less than the time that a
/// leaving runner goes on to serve.
const PACE: Pace = Pace {
    gather: Duration::from_millis(500),
    alone: Duration::from_secs(4),
    shared: Duration::from_secs(1),
    most: budget::TRUST,
};

/// Time within which runners and operators have written again what a table service has lost that came
/// back from an older copy, with the time after which the entry of a silent runner lapses.
pub(crate) const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Longest wait of a start for the list of the processes.
const LIST_WAIT: Duration = Duration::from_millis(1_500);

/// A row that holds nothing usable.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("unreadable: {reason}"))]
pub struct InvalidRow {
    /// What is wrong with it.
    pub reason: String,
}

impl InvalidRow {
    /// Unreadable because of an error.
    pub fn from_error(error: &impl StdError) -> Self {
        Self {
            reason: error.to_string(),
        }
    }
}

/// Where configuration and runners are found.
pub trait TableSource: Feed {
    /// Table that the operator writes: the configuration, and which failure domains are drained.
    const OPERATOR_TABLE: &'static str;
    /// Table of the runners.
    const RUNNER_TABLE: &'static str;

    /// The failure domain that is drained as long as the operator's table has a row of this key; `None`
    /// if the row says something else.
    fn drained_domain(key: &str) -> Option<DomainId>;

    /// Reads a row of the operator's table as a configuration; `None` if the row is something else.
    ///
    /// # Errors
    ///
    /// [`InvalidRow`].
    fn parse_configuration(
        key: &str,
        value: &serde_json::Value,
    ) -> Result<Option<Configuration>, InvalidRow>;

    /// Reads a row of the table of the runners.
    ///
    /// # Errors
    ///
    /// [`InvalidRow`].
    fn parse_runner(key: &str, value: &serde_json::Value) -> Result<Runner, InvalidRow>;
}

/// Follows the tables of the operator and of the runners until the task is dropped, once it is known
/// which other processes there are to ask.
pub async fn tables<D: Downstream, S: TableSource>(relay: Arc<Relay<D>>, source: S) {
    relay.peers.listed(LIST_WAIT).await;
    check_budget(&relay);
    let operator_table = operator_table(relay.clone(), source.clone());
    tokio::join!(operator_table, runner_table(relay, source));
}

/// Tells the operator if the bound on work for leaving runners is shorter than the news may take.
fn check_budget<D: Downstream>(relay: &Relay<D>) {
    let (is_shared, levels) = relay
        .peers
        .members(|members| (members.shares_tables(), members.tree.levels()));
    let (bound, budget) = (
        relay.options.drain,
        StalenessBudget::new(relay.options.drain),
    );
    if is_shared && !budget.allows(PACE.shared, levels) {
        warn!(relay.log, "bound on work for leaving runners may be missed"; "bound_ms" => millis(bound),
            "longest_ms" => millis(budget.max_delay(levels)), "levels" => levels);
    }
}

/// Follows what the operator writes until the task is dropped.
pub async fn operator_table<D: Downstream, S: TableSource>(relay: Arc<Relay<D>>, source: S) {
    // Configurations are fetched from peers, in parts.
    let mut follower = Follower::new(&relay, source, S::OPERATOR_TABLE, PACE).withholding();
    // As this table tells by itself: what peers have told may be newer, and changes to it older.
    let mut drains = Drains::default();
    let mut kept = Kept::default();
    loop {
        let changes = tokio::select! {
            changes = follower.next(&relay) => changes,
            () = until(kept.until) => Changes::default(),
        };
        if changes.revision > 0 && follower.whole {
            drains = Drains::default();
        }
        if changes.revision > 0 && follower.restored {
            kept = Kept::new(relay.drains());
        }
        drain::<S>(&mut drains, &changes);
        kept.take::<S>(&changes, follower.restored);
        // Before the configuration: whoever knows one must not send work to a drained failure domain.
        relay.drain(&kept.with(&drains), follower.origin());
        for change in changes.rows {
            let Some(value) = &change.value else { continue };
            match S::parse_configuration(&change.key, value) {
                Ok(Some(mut configuration)) => {
                    configuration.revision = change.revision;
                    adopt(&relay, configuration, follower.origin());
                }
                Ok(None) => {}
                Err(error) => {
                    warn!(relay.log, "configuration unreadable, the one in force stays";
                        "row" => &change.key, "error" => %error);
                }
            }
        }
    }
}

/// Failure domains that were drained when the table service came back from an older copy, which may not
/// know of it yet. They stay drained until the operator has written it again or taken it back, or has
/// had the time to.
#[derive(Debug, Default)]
struct Kept {
    domains: BTreeSet<DomainId>,
    until: Option<Instant>,
    /// Times that they were over.
    over: u64,
}

impl Kept {
    fn new(drains: Drains) -> Self {
        Self {
            domains: drains.domains,
            until: Some(Instant::now() + REWRITE_TIME),
            over: drains.settled,
        }
    }

    /// Takes in what has been written since, unless it is the copy itself.
    fn take<S: TableSource>(&mut self, changes: &Changes, copy: bool) {
        if self.until.is_some_and(|until| until <= Instant::now()) {
            self.domains.clear();
            self.until = None;
            self.over += 1;
        }
        if !copy {
            for domain in changes
                .rows
                .iter()
                .filter_map(|change| S::drained_domain(&change.key))
            {
                self.domains.remove(&domain);
            }
        }
    }

    /// What the table tells, with what is kept besides.
    fn with(&self, drains: &Drains) -> Drains {
        let mut drains = drains.clone();
        drains.domains.extend(self.domains.iter().cloned());
        drains.settled = self.over;
        drains
    }
}

fn drain<S: TableSource>(drains: &mut Drains, changes: &Changes) {
    drains.revision = drains.revision.max(changes.revision);
    for change in &changes.rows {
        let Some(domain) = S::drained_domain(&change.key) else {
            continue;
        };
        if change.value.is_some() {
            drains.domains.insert(domain);
        } else {
            drains.domains.remove(&domain);
        }
    }
}

fn adopt<D: Downstream>(relay: &Relay<D>, configuration: Configuration, origin: &str) {
    let version = configuration.version;
    let before = relay
        .configuration()
        .map(|configuration| configuration.version);
    let adopted = relay.adopt(configuration);
    info!(relay.log, "configuration"; "version" => version, "before" => before, "adopted" => adopted,
        "from" => origin);
}

/// Follows the list of runners until the task is dropped.
pub async fn runner_table<D: Downstream, S: TableSource>(relay: Arc<Relay<D>>, source: S) {
    let mut follower = Follower::new(&relay, source, S::RUNNER_TABLE, PACE);
    let mut deferred = Deferred::default();
    loop {
        let changes = tokio::select! {
            changes = follower.next(&relay) => changes,
            () = until(deferred.due()) => Changes::default(),
        };
        let mut news = read::<D, S>(&relay, &changes);
        if changes.revision > 0 && follower.whole {
            news.extend(missing(&relay, &news));
        }
        let mut news = deferred.defer(news, follower.lapse());
        if follower.restored {
            news = deferred.defer_unconfirmed(&relay, news);
        }
        news.extend(deferred.over());
        relay.update(news);
        relay.mark_runner_list_current(relay.started() + follower.current());
    }
}

/// Changes that count only if nothing else is told until a moment: entries that are gone may only have
/// lapsed, and those of an older copy may be out of date.
#[derive(Debug, Default)]
struct Deferred(Map<RunnerId, (Change, Instant)>);

impl Deferred {
    /// The changes that count now; with `until`, the removal of a runner waits until then. An entry
    /// that comes back ends the wait, also where both are told at once.
    fn defer(&mut self, changes: Vec<Change>, until: Option<Instant>) -> Vec<Change> {
        let mut now = Vec::new();
        for change in changes {
            self.0.remove(id(&change));
            match (&change, until) {
                (Change::Gone(id), Some(until)) => {
                    self.0.insert(id.clone(), (change, until));
                }
                _ => now.push(change),
            }
        }
        now
    }

    /// The entries of a service that has come back from an older copy that count now. One that gives a
    /// runner work which has none waits until the runner has written it again, or it has stayed for so
    /// long that the runner must be there: it may have said that it leaves, or have gone, since the copy.
    fn defer_unconfirmed<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        changes: Vec<Change>,
    ) -> Vec<Change> {
        let until = Instant::now() + REWRITE_TIME;
        let mut now = Vec::new();
        for change in changes {
            match &change {
                Change::Listed(runner) if !runner.leaving && !relay.has_entry(runner) => {
                    self.0.insert(runner.id.clone(), (change, until));
                }
                _ => now.push(change),
            }
        }
        now
    }

    fn due(&self) -> Option<Instant> {
        self.0.values().map(|(_, until)| *until).min()
    }

    /// Changes whose time has come.
    fn over(&mut self) -> Vec<Change> {
        let now = Instant::now();
        let over = |until: &Instant| *until <= now;
        let due = self.0.values().filter(|(_, until)| over(until));
        let due: Vec<Change> = due.map(|(change, _)| change.clone()).collect();
        self.0.retain(|_, (_, until)| !over(until));
        due
    }
}

fn id(change: &Change) -> &RunnerId {
    match change {
        Change::Listed(runner) => &runner.id,
        Change::Gone(id) => id,
    }
}

async fn until(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

fn read<D: Downstream, S: TableSource>(relay: &Relay<D>, changes: &Changes) -> Vec<Change> {
    let read_one = |change: &store::Change| {
        let gone = || Change::Gone(change.key.as_str().into());
        let Some(value) = &change.value else {
            return gone();
        };
        S::parse_runner(&change.key, value).map_or_else(
            |error| {
                warn!(relay.log, "entry of a runner unreadable, it gets no work";
                    "runner" => &change.key, "error" => %error);
                gone()
            },
            Change::Listed,
        )
    };
    changes.rows.iter().map(read_one).collect()
}

/// Runners that are known but not in the whole list.
fn missing<D: Downstream>(relay: &Relay<D>, listed: &[Change]) -> Vec<Change> {
    let absent = |known: &&RunnerId| listed.iter().all(|change| id(change) != *known);
    relay
        .fleet(|fleet| {
            fleet
                .ids()
                .filter(absent)
                .cloned()
                .map(Change::Gone)
                .collect()
        })
        .unwrap_or_default()
}
