//! Operators who race one another on a few records, and a watch over what is in force.

use crate::client::FullResponse;
use crate::error::Outcome;
use crate::rig::bench::OPERATORS;
use crate::rig::probe::{apply, get};
use crate::rig::record::workspace;
use crate::torture::world::World;
use foldhash::fast::RandomState;
use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Records that the operators race on.
const RECORDS: usize = 3;
/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for one answer.
const ANSWER: Duration = Duration::from_secs(10);
/// Time within which an accepted change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Pause between two looks of the watch.
const LOOK: Duration = Duration::from_millis(100);
/// Times that a change of unknown fate is applied again with its token.
const SETTLE: usize = 200;
/// Changes that are read at once.
const PAGE: u64 = 100;

/// A change that an operator was told is accepted.
#[derive(Clone, Debug)]
struct Accepted {
    revision: u64,
    token: String,
    at: Instant,
}

/// What the operators and the watch have seen.
#[derive(Debug, Default)]
pub struct Ledger {
    accepted: Mutex<Vec<Accepted>>,
    findings: Mutex<Findings>,
}

/// What must not happen to accepted changes, each with its trail.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Accepted changes that were not in force in time.
    pub not_in_force: Vec<String>,
    /// Accepted changes that were undone.
    pub reverted: Vec<String>,
}

impl Ledger {
    /// Number of accepted changes.
    pub fn accepted(&self) -> usize {
        self.lock().len()
    }

    /// What went wrong so far.
    pub fn findings(&self) -> Findings {
        let findings = self.findings.lock();
        findings.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Accepted>> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, note: impl FnOnce(&mut Findings)) {
        note(&mut self.findings.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Revision that was accepted long enough ago to be in force wherever nothing was disturbed
    /// since this moment.
    fn due(&self, since: Instant) -> Option<u64> {
        let accepted = self.lock();
        let due = accepted
            .iter()
            .filter(|change| change.at.max(since).elapsed() > IN_FORCE);
        due.map(|change| change.revision).max()
    }
}

/// Races for a time.
pub async fn race(world: Arc<World>, ledger: Arc<Ledger>, seed: u64, time: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        let name = format!("workspace-{}", rng.random_range(0..RECORDS));
        let count = rng.random_range(1..=OPERATORS.len());
        let share = rng.random_range(1..100);
        if let Some(base) = base(&world, &name).await {
            let changes = (0..count).map(|side| {
                let token = format!("round-{round}-{side}");
                let change = json!({
                    "token": token, "base": {format!("workspace/{name}"): base},
                    "documents": [workspace(&name, share + side as u32)],
                });
                settle(&world, &ledger, side, change)
            });
            futures::future::join_all(changes).await;
        }
        sleep(PAUSE).await;
    }
}

/// Revision of a workspace's record as some entry has it.
async fn base(world: &World, name: &str) -> Option<Value> {
    for entry in world.entries() {
        let path = format!("/v1/records?key=workspace/{name}");
        if let Ok(Ok(listing)) = timeout(ANSWER, get::<Value>(entry, &path)).await
            && listing["revision"].is_number()
        {
            return Some(listing["records"][0]["revision"].clone());
        }
    }
    None
}

/// Applies a change with the same token until its fate is known.
async fn settle(world: &World, ledger: &Ledger, side: usize, change: Value) {
    for attempt in 0..SETTLE {
        let entries = world.entries();
        let Some(entry) = entries.get((side + attempt) % entries.len().max(1)) else {
            return;
        };
        let answer = timeout(ANSWER, apply(*entry, OPERATORS[side], &change)).await;
        match answer {
            Ok(Ok(answer)) if answer.status == StatusCode::OK => {
                return note(ledger, &change, &answer);
            }
            Ok(Ok(answer)) if is_final(&answer) && attempt == 0 => return,
            Ok(Ok(answer)) if answer.status == StatusCode::CONFLICT => return,
            _ => sleep(PAUSE).await,
        }
    }
}

/// *Not run* is final only for a change that was sent once.
fn is_final(answer: &FullResponse) -> bool {
    answer.problem().outcome != Some(Outcome::Unknown)
}

fn note(ledger: &Ledger, change: &Value, answer: &FullResponse) {
    let body: Value = answer.json().unwrap_or_default();
    ledger.lock().push(Accepted {
        revision: body["revision"].as_u64().unwrap_or_default(),
        token: change["token"].as_str().unwrap_or_default().to_owned(),
        at: Instant::now(),
    });
}

/// Watches the entries for as long as it is polled.
pub async fn watch(world: Arc<World>, ledger: Arc<Ledger>) {
    let mut seen: HashMap<SocketAddr, u64, RandomState> = HashMap::default();
    loop {
        for life in world.latest() {
            let before = (life.sound, world.table_sound());
            let due = before
                .0
                .zip(before.1)
                .and_then(|(entry, table)| ledger.due(entry.max(table)));
            let Ok(Ok(status)) = timeout(LOOK * 10, get::<Value>(life.address, "/v1/status")).await
            else {
                continue;
            };
            let revision = status["revision"].as_u64().unwrap_or_default();
            let last = seen.entry(life.address).or_default();
            if revision < *last {
                let text = format!("{} went from revision {last} to {revision}", life.id);
                ledger.find(|findings| findings.reverted.push(text));
            }
            *last = revision;
            let now = world.latest();
            let same = now
                .iter()
                .any(|other| other.sound == before.0 && other.id == life.id);
            if same
                && before.1 == world.table_sound()
                && let Some(due) = due.filter(|due| *due > revision)
            {
                let text = format!("{} has {revision}, not {due}: {status}", life.id);
                ledger.find(|findings| findings.not_in_force.push(text));
            }
        }
        sleep(LOOK).await;
    }
}

/// Compares the log with what operators were told, and every entry with the log; nothing may be
/// disturbed any more.
pub async fn audit(world: &World, ledger: &Ledger) {
    let entries = world.entries();
    let Some(first) = entries.first() else { return };
    let Some(changes) = history(*first).await else {
        return ledger.find(|findings| findings.not_in_force.push("no history".to_owned()));
    };
    for accepted in ledger.lock().iter() {
        let same = changes
            .iter()
            .filter(|change| change["token"] == *accepted.token);
        let revisions: Vec<_> = same.map(|change| change["revision"].as_u64()).collect();
        if revisions != [Some(accepted.revision)] {
            let text = format!("{accepted:?} is in the log as {revisions:?}");
            ledger.find(|findings| findings.reverted.push(text));
        }
    }
    let mut latest = BTreeMap::new();
    for change in &changes {
        for document in change["documents"].as_array().into_iter().flatten() {
            latest.insert(
                (document["kind"].to_string(), document["name"].to_string()),
                document,
            );
        }
    }
    let head = changes
        .last()
        .and_then(|change| change["revision"].as_u64());
    for entry in entries {
        let end = Instant::now() + IN_FORCE;
        while let Some(text) = differs(entry, head, &latest).await {
            if Instant::now() > end {
                ledger.find(|findings| findings.not_in_force.push(text));
                break;
            }
            sleep(LOOK).await;
        }
    }
}

type Latest<'a> = BTreeMap<(String, String), &'a Value>;

/// How an entry's records differ from the log, if they do.
async fn differs(entry: SocketAddr, head: Option<u64>, latest: &Latest<'_>) -> Option<String> {
    let Ok(listing) = get::<Value>(entry, "/v1/records").await else {
        return Some(format!("{entry} gives no records"));
    };
    if listing["revision"].as_u64() != head {
        return Some(format!(
            "{entry} has {}, the log {head:?}",
            listing["revision"]
        ));
    }
    let records = listing["records"].as_array().into_iter().flatten();
    let mut wrong = records.filter(|record| {
        let document = &record["document"];
        let key = (document["kind"].to_string(), document["name"].to_string());
        document["kind"] == "workspace" && latest.get(&key) != Some(&document)
    });
    wrong
        .next()
        .map(|record| format!("{entry} has {record}, the log something else"))
}

async fn history(entry: SocketAddr) -> Option<Vec<Value>> {
    let mut all: Vec<Value> = Vec::new();
    loop {
        let after = all
            .last()
            .map_or(0, |change| change["revision"].as_u64().unwrap_or(0));
        let path = format!("/v1/history?after={after}&limit={PAGE}");
        let page: Value = get(entry, &path).await.ok()?;
        let changes = page["changes"].as_array()?;
        if changes.is_empty() {
            return Some(all);
        }
        all.extend(changes.iter().cloned());
    }
}
