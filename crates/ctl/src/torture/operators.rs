//! Operators that change a few records concurrently, and a monitor of the changes in force.

use crate::client::FullResponse;
use crate::error::Outcome;
use crate::rig::bench::OPERATORS;
use crate::rig::probe::{apply, get};
use crate::rig::record::workspace;
use crate::torture::state::SoakState;
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

/// Records that the operators change concurrently.
const RECORDS: usize = 3;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which an accepted change must be in force at every entry.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two checks of the monitor.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Most attempts to apply a change with the same token while its outcome is unknown.
const ATTEMPT_LIMIT: usize = 200;
/// Changes that are read per request.
const PAGE_SIZE: u64 = 100;

/// A change that was reported to an operator as accepted.
#[derive(Clone, Debug)]
struct AcceptedChange {
    revision: u64,
    token: String,
    accepted_at: Instant,
}

/// Accepted changes and the violations that the monitor and the audit found.
#[derive(Debug, Default)]
pub struct AuditLog {
    accepted: Mutex<Vec<AcceptedChange>>,
    violations: Mutex<Violations>,
}

/// Violations of the guarantees for accepted changes, each with a description.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    /// AcceptedChange changes that were not in force in time.
    pub not_in_force: Vec<String>,
    /// AcceptedChange changes that were undone.
    pub reverted: Vec<String>,
}

impl AuditLog {
    /// Number of accepted changes.
    pub fn accepted(&self) -> usize {
        self.lock().len()
    }

    /// The violations so far.
    pub fn violations(&self) -> Violations {
        let violations = self.violations.lock();
        violations.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<AcceptedChange>> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_violation(&self, record: impl FnOnce(&mut Violations)) {
        record(
            &mut self
                .violations
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    /// Newest revision that must be in force at an entry where no fault was active since the given
    /// time.
    fn required_revision(&self, since: Instant) -> Option<u64> {
        let accepted = self.lock();
        let due = accepted
            .iter()
            .filter(|change| change.accepted_at.max(since).elapsed() > PROPAGATION_TIMEOUT);
        due.map(|change| change.revision).max()
    }
}

/// Has operators change the records concurrently for a time.
pub async fn race(state: Arc<SoakState>, audit_log: Arc<AuditLog>, seed: u64, time: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        let name = format!("workspace-{}", rng.random_range(0..RECORDS));
        let count = rng.random_range(1..=OPERATORS.len());
        let share = rng.random_range(1..100);
        if let Some(base) = current_revision(&state, &name).await {
            let changes = (0..count).map(|side| {
                let token = format!("round-{round}-{side}");
                let change = json!({
                    "token": token, "base": {format!("workspace/{name}"): base},
                    "documents": [workspace(&name, share + side as u32)],
                });
                apply_until_final(&state, &audit_log, side, change)
            });
            futures::future::join_all(changes).await;
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Revision of a workspace's record, read from the first entry that responds.
async fn current_revision(state: &SoakState, name: &str) -> Option<Value> {
    for entry in state.entries() {
        let path = format!("/v1/records?key=workspace/{name}");
        if let Ok(Ok(listing)) = timeout(RESPONSE_TIMEOUT, get::<Value>(entry, &path)).await
            && listing["revision"].is_number()
        {
            return Some(listing["records"][0]["revision"].clone());
        }
    }
    None
}

/// Applies a change with the same token until its outcome is known.
async fn apply_until_final(state: &SoakState, audit_log: &AuditLog, side: usize, change: Value) {
    for attempt in 0..ATTEMPT_LIMIT {
        let entries = state.entries();
        let Some(entry) = entries.get((side + attempt) % entries.len().max(1)) else {
            return;
        };
        let answer = timeout(RESPONSE_TIMEOUT, apply(*entry, OPERATORS[side], &change)).await;
        match answer {
            Ok(Ok(answer)) if answer.status == StatusCode::OK => {
                return record_accepted(audit_log, &change, &answer);
            }
            Ok(Ok(answer)) if is_final(&answer) && attempt == 0 => return,
            Ok(Ok(answer)) if answer.status == StatusCode::CONFLICT => return,
            _ => sleep(ROUND_PAUSE).await,
        }
    }
}

/// Whether the response settles a change that was sent once. After a retry, *not run* is not final:
/// an earlier attempt may have been applied.
fn is_final(answer: &FullResponse) -> bool {
    answer.problem().outcome != Some(Outcome::Unknown)
}

fn record_accepted(audit_log: &AuditLog, change: &Value, answer: &FullResponse) {
    let body: Value = answer.json().unwrap_or_default();
    audit_log.lock().push(AcceptedChange {
        revision: body["revision"].as_u64().unwrap_or_default(),
        token: change["token"].as_str().unwrap_or_default().to_owned(),
        accepted_at: Instant::now(),
    });
}

/// Monitors the entries for as long as it is polled.
pub async fn monitor(state: Arc<SoakState>, audit_log: Arc<AuditLog>) {
    let mut seen: HashMap<SocketAddr, u64, RandomState> = HashMap::default();
    loop {
        for process in state.latest_processes() {
            let before = (process.healthy_since, state.table_healthy_since());
            let due = before
                .0
                .zip(before.1)
                .and_then(|(entry, table)| audit_log.required_revision(entry.max(table)));
            let Ok(Ok(status)) = timeout(
                POLL_INTERVAL * 10,
                get::<Value>(process.address, "/v1/status"),
            )
            .await
            else {
                continue;
            };
            let revision = status["revision"].as_u64().unwrap_or_default();
            let last = seen.entry(process.address).or_default();
            if revision < *last {
                let text = format!(
                    "{} went back from revision {last} to {revision}",
                    process.id
                );
                audit_log.record_violation(|violations| violations.reverted.push(text));
            }
            *last = revision;
            let now = state.latest_processes();
            let same = now
                .iter()
                .any(|other| other.healthy_since == before.0 && other.id == process.id);
            if same
                && before.1 == state.table_healthy_since()
                && let Some(due) = due.filter(|due| *due > revision)
            {
                let text = format!(
                    "{} has revision {revision}, expected {due}: {status}",
                    process.id
                );
                audit_log.record_violation(|violations| violations.not_in_force.push(text));
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Compares the log of changes with those reported as accepted, and the records of every entry with
/// the log. No fault may be active.
pub async fn audit(state: &SoakState, audit_log: &AuditLog) {
    let entries = state.entries();
    let Some(first) = entries.first() else { return };
    let Some(changes) = read_history(*first).await else {
        return audit_log.record_violation(|violations| {
            violations
                .not_in_force
                .push("the history cannot be read".to_owned());
        });
    };
    for accepted in audit_log.lock().iter() {
        let same = changes
            .iter()
            .filter(|change| change["token"] == *accepted.token);
        let revisions: Vec<_> = same.map(|change| change["revision"].as_u64()).collect();
        if revisions != [Some(accepted.revision)] {
            let text = format!("{accepted:?} has the revisions {revisions:?} in the log");
            audit_log.record_violation(|violations| violations.reverted.push(text));
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
        let end = Instant::now() + PROPAGATION_TIMEOUT;
        while let Some(text) = find_difference(entry, head, &latest).await {
            if Instant::now() > end {
                audit_log.record_violation(|violations| violations.not_in_force.push(text));
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

type Latest<'a> = BTreeMap<(String, String), &'a Value>;

/// Describes the first difference between an entry's records and the log, if there is one.
async fn find_difference(
    entry: SocketAddr,
    head: Option<u64>,
    latest: &Latest<'_>,
) -> Option<String> {
    let Ok(listing) = get::<Value>(entry, "/v1/records").await else {
        return Some(format!("{entry} returns no records"));
    };
    if listing["revision"].as_u64() != head {
        return Some(format!(
            "{entry} has revision {}, the log {head:?}",
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
        .map(|record| format!("{entry} has {record}, which differs from the log"))
}

async fn read_history(entry: SocketAddr) -> Option<Vec<Value>> {
    let mut all: Vec<Value> = Vec::new();
    loop {
        let after = all
            .last()
            .map_or(0, |change| change["revision"].as_u64().unwrap_or(0));
        let path = format!("/v1/history?after={after}&limit={PAGE_SIZE}");
        let page: Value = get(entry, &path).await.ok()?;
        let changes = page["changes"].as_array()?;
        if changes.is_empty() {
            return Some(all);
        }
        all.extend(changes.iter().cloned());
    }
}
