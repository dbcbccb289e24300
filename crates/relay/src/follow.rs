//! Follows the platform's table service to keep the configuration and the runners up to date.

mod budget;
mod follower;
mod schedule;

pub use budget::StalenessBudget;
pub(crate) use follower::Follower;
pub(crate) use schedule::PollIntervals;

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

/// Intervals at which the operator's table is polled.
///
/// A dropped key must not be used for more than 3 s after connections to the service have gone silent, and
/// only an overdue response shows that. Therefore the next response is due 2.45 s after the last one, also
/// after changes, and overdue 0.3 s later. If all connections are silent, it shows this for the other tables,
/// too. Where others read the table, their updates are trusted for less than the time that a leaving runner
/// goes on to serve.
const OPERATOR_INTERVALS: PollIntervals = PollIntervals {
    debounce: DEBOUNCE,
    standalone: OPERATOR_WAIT,
    after_changes: OPERATOR_WAIT.saturating_sub(DEBOUNCE),
    shared: Duration::from_secs(1),
    max_age: budget::MAX_PEER_AGE,
};

/// Intervals at which the runners are polled. The responses for the operator's table show soon whether a
/// question is lost, so that these can be rare.
const RUNNER_INTERVALS: PollIntervals = PollIntervals {
    standalone: RUNNER_WAIT,
    after_changes: RUNNER_WAIT,
    ..OPERATOR_INTERVALS
};

/// Delay after changes before the next request.
const DEBOUNCE: Duration = Duration::from_millis(500);
/// Wait of a request for changes of the operator's table.
const OPERATOR_WAIT: Duration = Duration::from_millis(2_450);
/// Wait of a request for changes of the runners. Both together make as many calls as requests of 3.7 s do.
const RUNNER_WAIT: Duration = Duration::from_millis(7_350);

/// Time within which runners and operators rewrite what was lost when the table service was restored
/// from an older backup; it includes the time after which the entry of an unresponsive runner expires.
pub(crate) const REWRITE_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Maximum time that a starting process waits for the list of processes.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A row whose content is invalid.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("invalid row: {reason}"))]
pub struct InvalidRow {
    /// What is invalid.
    pub reason: String,
}

impl InvalidRow {
    /// Uses the text of an error as the reason.
    pub fn from_error(error: &impl StdError) -> Self {
        Self {
            reason: error.to_string(),
        }
    }
}

/// The platform's tables, which contain the configuration and the runners.
pub trait TableSource: Feed {
    /// Table that the operator writes, with the configuration and the drained failure domains.
    const OPERATOR_TABLE: &'static str;
    /// Table with an entry for each runner.
    const RUNNER_TABLE: &'static str;

    /// The failure domain that is drained as long as the operator's table contains a row with this key;
    /// `None` if the key stands for something else.
    fn drained_domain(key: &str) -> Option<DomainId>;

    /// Parses a row of the operator's table as a configuration; `None` if the row is something else.
    ///
    /// # Errors
    ///
    /// [`InvalidRow`] if the configuration is invalid.
    fn parse_configuration(
        key: &str,
        value: &serde_json::Value,
    ) -> Result<Option<Configuration>, InvalidRow>;

    /// Parses a row of the runner table.
    ///
    /// # Errors
    ///
    /// [`InvalidRow`] if the entry is invalid.
    fn parse_runner(key: &str, value: &serde_json::Value) -> Result<Runner, InvalidRow>;
}

/// Follows the operator's table and the runner table until the task is dropped. It starts once the other
/// processes are listed, from which the tables can be requested.
pub async fn tables<D: Downstream, S: TableSource>(relay: Arc<Relay<D>>, source: S) {
    relay.peers.wait_members_listed(LIST_TIMEOUT).await;
    check_budget(&relay);
    let operator_table = operator_table(relay.clone(), source.clone());
    tokio::join!(operator_table, runner_table(relay, source));
}

/// Logs a warning if a process may learn that a runner leaves only after the time limit for sending it
/// work.
fn check_budget<D: Downstream>(relay: &Relay<D>) {
    let (is_shared, levels) = relay
        .peers
        .members(|members| (members.shares_tables(), members.tree.levels()));
    let (bound, budget) = (
        relay.options.drain,
        StalenessBudget::new(relay.options.drain),
    );
    if is_shared && !budget.allows(OPERATOR_INTERVALS.shared, levels) {
        warn!(relay.log, "leaving runners may get work after the time limit"; "bound_ms" => millis(bound),
            "longest_ms" => millis(budget.max_delay(levels)), "levels" => levels);
    }
}

/// Follows the operator's table until the task is dropped.
pub async fn operator_table<D: Downstream, S: TableSource>(relay: Arc<Relay<D>>, source: S) {
    // Large rows are withheld from updates, since configurations are fetched from peers in parts.
    let mut follower =
        Follower::new(&relay, source, S::OPERATOR_TABLE, OPERATOR_INTERVALS).withholding();
    // This is the state of the table alone: what peers have announced may be newer, and must not be
    // mixed with older changes from the table.
    let mut drains = Drains::default();
    let mut retained_drains = RetainedDrains::default();
    loop {
        let changes = tokio::select! {
            changes = follower.next(&relay) => changes,
            () = sleep_until_some(retained_drains.until) => Changes::default(),
        };
        if changes.revision > 0 && follower.is_whole {
            drains = Drains::default();
        }
        if changes.revision > 0 && follower.is_restored {
            retained_drains = RetainedDrains::new(relay.drains());
        }
        apply_drains::<S>(&mut drains, &changes);
        retained_drains.apply::<S>(&changes, follower.is_restored);
        // Drains are applied before the configuration, since a process with a configuration must not
        // send work to a drained failure domain.
        relay.drain(&retained_drains.merged_with(&drains), follower.origin());
        for change in changes.rows {
            let Some(value) = &change.value else { continue };
            match S::parse_configuration(&change.key, value) {
                Ok(Some(mut configuration)) => {
                    configuration.revision = change.revision;
                    adopt(&relay, configuration, follower.origin());
                }
                Ok(None) => {}
                Err(error) => {
                    warn!(relay.log, "invalid configuration, keeping the one in force";
                        "row" => &change.key, "error" => %error);
                }
            }
        }
    }
}

/// Failure domains that were drained when the table service was restored from an older backup, which may
/// lack the drain. They stay drained until the operator has rewritten or ended the drain, or has had the
/// time to do so.
#[derive(Debug, Default)]
struct RetainedDrains {
    domains: BTreeSet<DomainId>,
    until: Option<Instant>,
    /// Number of times that the retention has expired.
    times_expired: u64,
}

impl RetainedDrains {
    fn new(drains: Drains) -> Self {
        Self {
            domains: drains.domains,
            until: Some(Instant::now() + REWRITE_GRACE_PERIOD),
            times_expired: drains.settled,
        }
    }

    /// Applies what has been written since the backup, which `changes` are unless `is_backup` is set.
    fn apply<S: TableSource>(&mut self, changes: &Changes, is_backup: bool) {
        if self.until.is_some_and(|until| until <= Instant::now()) {
            self.domains.clear();
            self.until = None;
            self.times_expired += 1;
        }
        if !is_backup {
            for domain in changes
                .rows
                .iter()
                .filter_map(|change| S::drained_domain(&change.key))
            {
                self.domains.remove(&domain);
            }
        }
    }

    /// The drains of the table together with the retained ones.
    fn merged_with(&self, drains: &Drains) -> Drains {
        let mut drains = drains.clone();
        drains.domains.extend(self.domains.iter().cloned());
        drains.settled = self.times_expired;
        drains
    }
}

fn apply_drains<S: TableSource>(drains: &mut Drains, changes: &Changes) {
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

/// Follows the runner table until the task is dropped.
pub async fn runner_table<D: Downstream, S: TableSource>(relay: Arc<Relay<D>>, source: S) {
    let mut follower = Follower::new(&relay, source, S::RUNNER_TABLE, RUNNER_INTERVALS);
    let mut deferred = Deferred::default();
    loop {
        let changes = tokio::select! {
            changes = follower.next(&relay) => changes,
            () = sleep_until_some(deferred.due()) => Changes::default(),
        };
        let mut updates = parse_runners::<D, S>(&relay, &changes);
        if changes.revision > 0 && follower.is_whole {
            updates.extend(unlisted(&relay, &updates));
        }
        let mut updates = deferred.defer(updates, follower.grace_until());
        if follower.is_restored {
            updates = deferred.defer_unconfirmed(&relay, updates);
        }
        updates.extend(deferred.take_due());
        relay.update(updates);
        relay.mark_runner_list_current(relay.started() + follower.current());
    }
}

/// Changes that take effect at a later moment unless the entry changes before: missing entries may only
/// have expired during an outage, and those of an older backup may be outdated.
#[derive(Debug, Default)]
struct Deferred(Map<RunnerId, (Change, Instant)>);

impl Deferred {
    /// Returns the changes that take effect now. If `until` is set, removals of runners are deferred
    /// until then; an entry that returns cancels its removal, even if both come in the same changes.
    fn defer(&mut self, changes: Vec<Change>, until: Option<Instant>) -> Vec<Change> {
        let mut now = Vec::new();
        for change in changes {
            self.0.remove(runner_id(&change));
            match (&change, until) {
                (Change::Gone(id), Some(until)) => {
                    self.0.insert(id.clone(), (change, until));
                }
                _ => now.push(change),
            }
        }
        now
    }

    /// Returns the entries of an older backup that take effect now. An entry that would give work to a
    /// runner which gets none is deferred until the runner has rewritten it, or until it has existed for
    /// so long that the runner must be running: since the backup, the runner may have announced to
    /// leave, or have stopped.
    fn defer_unconfirmed<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        changes: Vec<Change>,
    ) -> Vec<Change> {
        let until = Instant::now() + REWRITE_GRACE_PERIOD;
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

    /// Removes and returns the changes that are due.
    fn take_due(&mut self) -> Vec<Change> {
        let now = Instant::now();
        let is_due = |until: &Instant| *until <= now;
        let due = self.0.values().filter(|(_, until)| is_due(until));
        let due: Vec<Change> = due.map(|(change, _)| change.clone()).collect();
        self.0.retain(|_, (_, until)| !is_due(until));
        due
    }
}

fn runner_id(change: &Change) -> &RunnerId {
    match change {
        Change::Listed(runner) => &runner.id,
        Change::Gone(id) => id,
    }
}

async fn sleep_until_some(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

fn parse_runners<D: Downstream, S: TableSource>(
    relay: &Relay<D>,
    changes: &Changes,
) -> Vec<Change> {
    let parse_row = |change: &store::Change| {
        let removal = || Change::Gone(change.key.as_str().into());
        let Some(value) = &change.value else {
            return removal();
        };
        S::parse_runner(&change.key, value).map_or_else(
            |error| {
                warn!(relay.log, "invalid runner entry, the runner gets no work";
                    "runner" => &change.key, "error" => %error);
                removal()
            },
            Change::Listed,
        )
    };
    changes.rows.iter().map(parse_row).collect()
}

/// Removals of the runners that are known but not in the whole list.
fn unlisted<D: Downstream>(relay: &Relay<D>, listed: &[Change]) -> Vec<Change> {
    let absent = |known: &&RunnerId| listed.iter().all(|change| runner_id(change) != *known);
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
