//! Keeps plan and runners as the platform's table service has them.

use crate::core::Relay;
use crate::downstream::Downstream;
use crate::plan::Plan;
use crate::runner::{Change, Runner, RunnerId};
use crate::telemetry::millis;
use decide::Map;
use serde::de::StdError;
use slog::{info, warn};
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;
use store::{Changes, Feed, Miss, RowRevision};
use tokio::time::{Instant, sleep, sleep_until};

/// Longest time that one question waits for changes. A question that a service took before it fell
/// silent is given up after this time and the client's margin, and a change in the meantime is heard
/// of as late: within five seconds of the service's return.
const WAIT: Duration = Duration::from_secs(4);
/// The same while the service is away: the next question is to be asked as soon as it is back.
const WAIT_LOST: Duration = Duration::from_millis(300);
/// Pause after changes before the next question. Runners come and go in groups, and each question of
/// each process costs a call: with a hundred runners and thirty processes this saved more than half of
/// the calls. A runner that leaves serves on for some seconds.
const GATHER: Duration = Duration::from_millis(500);
/// First pause after a failed question; doubles up to [`PAUSE_MOST`].
const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a failed question: an outage ends unnoticed for so long at most.
const PAUSE_MOST: Duration = Duration::from_millis(400);
/// Time after the table service's return in which entries that lapsed meanwhile come back, by the
/// platform's promise. Runners whose entries lapsed while the service was away are fine.
const LAPSE: Duration = Duration::from_millis(1_800);

/// A row that holds nothing usable.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("unreadable: {reason}"))]
pub struct Unreadable {
    /// What is wrong with it.
    pub reason: String,
}

impl Unreadable {
    /// Unreadable because of an error.
    pub fn from_error(error: &impl StdError) -> Self {
        Self {
            reason: error.to_string(),
        }
    }
}

/// Where configuration and runners are found.
pub trait Source: Feed {
    /// Table of the configuration.
    const PLANS: &'static str;
    /// Table of the runners.
    const RUNNERS: &'static str;

    /// Reads a row of the table of the configuration; `None` if the row is something else.
    ///
    /// # Errors
    ///
    /// [`Unreadable`].
    fn plan(key: &str, value: &serde_json::Value) -> Result<Option<Plan>, Unreadable>;

    /// Reads a row of the table of the runners.
    ///
    /// # Errors
    ///
    /// [`Unreadable`].
    fn runner(key: &str, value: &serde_json::Value) -> Result<Runner, Unreadable>;
}

/// Follows the configuration until the task is dropped.
pub async fn plans<D: Downstream, S: Source>(relay: Arc<Relay<D>>, source: S) {
    let mut follower = Follower::new(&relay, source, S::PLANS);
    loop {
        let changes = follower.next(&relay).await;
        for change in changes.rows {
            let Some(value) = &change.value else { continue };
            match S::plan(&change.key, value) {
                Ok(Some(plan)) => adopt(&relay, plan),
                Ok(None) => {}
                Err(error) => {
                    warn!(relay.log, "configuration unreadable, the one in force stays";
                        "row" => &change.key, "error" => %error);
                }
            }
        }
    }
}

fn adopt<D: Downstream>(relay: &Relay<D>, plan: Plan) {
    let version = plan.version;
    let before = relay.plan().map(|plan| plan.version);
    let adopted = relay.adopt(plan);
    info!(relay.log, "configuration"; "version" => version, "before" => before, "adopted" => adopted);
}

/// Follows the list of runners until the task is dropped.
pub async fn runners<D: Downstream, S: Source>(relay: Arc<Relay<D>>, source: S) {
    let mut follower = Follower::new(&relay, source, S::RUNNERS);
    let mut lapses = Lapses::default();
    loop {
        let changes = tokio::select! {
            changes = follower.next(&relay) => changes,
            () = until(lapses.due()) => Changes::default(),
        };
        let mut news = read::<D, S>(&relay, &changes);
        if changes.revision > 0 && follower.whole {
            news.extend(missing(&relay, &news));
        }
        let mut news = lapses.defer(news, follower.lapse());
        news.extend(lapses.over());
        relay.update(news);
    }
}

/// Runners whose entries are gone and may only have lapsed, with the moment at which they count as
/// gone.
#[derive(Debug, Default)]
struct Lapses(Map<RunnerId, Instant>);

impl Lapses {
    /// The changes that count now; with `until`, the removal of a runner waits until then. An entry
    /// that comes back ends the wait, also where both are told at once.
    fn defer(&mut self, changes: Vec<Change>, until: Option<Instant>) -> Vec<Change> {
        let mut now = Vec::new();
        for change in changes {
            self.0.remove(id(&change));
            match (&change, until) {
                (Change::Gone(id), Some(until)) => {
                    self.0.insert(id.clone(), until);
                }
                _ => now.push(change),
            }
        }
        now
    }

    fn due(&self) -> Option<Instant> {
        self.0.values().min().copied()
    }

    /// Removals whose time has come.
    fn over(&mut self) -> Vec<Change> {
        let now = Instant::now();
        let over = |until: &Instant| *until <= now;
        let gone = self.0.iter().filter(|(_, until)| over(until));
        let gone: Vec<Change> = gone.map(|(id, _)| Change::Gone(id.clone())).collect();
        self.0.retain(|_, until| !over(until));
        gone
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

fn read<D: Downstream, S: Source>(relay: &Relay<D>, changes: &Changes) -> Vec<Change> {
    let read_one = |change: &store::Change| {
        let gone = || Change::Gone(change.key.as_str().into());
        let Some(value) = &change.value else {
            return gone();
        };
        S::runner(&change.key, value).map_or_else(
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

/// Asks for the changes of one table, over outages and gaps in its history.
pub(crate) struct Follower<S> {
    source: S,
    table: &'static str,
    after: Option<RowRevision>,
    /// Whether the last changes are the whole table.
    whole: bool,
    /// Longest time that a question waits.
    wait: Duration,
    /// Pauses of the process before the last question that was answered.
    pauses: u64,
    /// When changes were told last, until the next question.
    told: Option<Instant>,
    lost: Option<Instant>,
    regained: Option<Instant>,
    pause: Duration,
}

impl<S: Source> Follower<S> {
    pub(crate) fn new<D: Downstream>(relay: &Relay<D>, source: S, table: &'static str) -> Self {
        relay.pause.enroll();
        Self {
            pauses: relay.pause.count(),
            source,
            table,
            after: None,
            whole: false,
            wait: WAIT,
            told: None,
            lost: None,
            regained: None,
            pause: PAUSE,
        }
    }

    /// The same with questions that wait for so long, where changes may be heard of late.
    pub(crate) fn waiting(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }

    /// The next changes, or the whole table at first and after a gap.
    pub(crate) async fn next<D: Downstream>(&mut self, relay: &Relay<D>) -> Changes {
        loop {
            let pauses = relay.pause.count();
            // A question from before a pause may have been lost with its connection, and waits for
            // seconds if nothing has changed; the next one is answered at once.
            let answer = tokio::select! {
                answer = self.ask(pauses) => answer,
                () = relay.pause.beyond(pauses) => continue,
            };
            match answer {
                Ok(changes) => {
                    relay.pause.heard(self.pauses, pauses);
                    self.pauses = pauses;
                    self.after = Some(changes.revision);
                    self.told = (!changes.rows.is_empty()).then(Instant::now);
                    self.regain(relay);
                    return changes;
                }
                Err(Miss::Gap) => {
                    info!(relay.log, "history gone, reading the table as a whole";
                        "table" => self.table, "after" => self.after);
                    self.after = None;
                }
                Err(Miss::Failed { error }) => {
                    if self.lost.is_none() {
                        warn!(relay.log, "table service lost"; "table" => self.table, "error" => %error);
                        self.lost = Some(Instant::now());
                    }
                    sleep(self.pause).await;
                    self.pause = (self.pause * 2).min(PAUSE_MOST);
                }
            }
        }
    }

    async fn ask(&mut self, pauses: u64) -> Result<Changes, Miss> {
        self.whole = self.after.is_none();
        let paused = pauses > self.pauses;
        match self.after {
            Some(after) => {
                if let Some(told) = self.told.take().filter(|_| !paused) {
                    sleep_until(told + GATHER).await;
                }
                let wait = if paused {
                    Duration::ZERO
                } else if self.lost.is_some() {
                    WAIT_LOST
                } else {
                    self.wait
                };
                self.source.changes(self.table, after, wait).await
            }
            None => {
                let listed = self.source.list(self.table).await;
                listed.map_err(|error| Miss::Failed { error })
            }
        }
    }

    fn regain<D: Downstream>(&mut self, relay: &Relay<D>) {
        self.pause = PAUSE;
        let Some(lost) = self.lost.take() else { return };
        info!(relay.log, "table service regained";
            "table" => self.table, "away_ms" => millis(lost.elapsed()));
        self.regained = Some(Instant::now());
    }

    /// Until when entries that are gone may only have lapsed.
    fn lapse(&self) -> Option<Instant> {
        let until = self.regained? + LAPSE;
        (Instant::now() < until).then_some(until)
    }
}
