//! Clients of a soak of relays, whose requests are drawn from a seed.

use crate::torture::relays::cluster::{Cluster, Key, Keys, PERMANENT_KEY};
use crate::torture::relays::verdict::{PROPAGATION, is_good};
use crate::torture::state::SoakState;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use stub::caller::{ClientRequest, Connection, Kind, RequestRecord, USUAL, unsent};
use stub::harm::{DEADLY, DEADLY_PART, POISON, SILENCER, deadly};
use stub::now;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Connections that are opened per second.
const CONNECTIONS_PER_SECOND: f64 = 25.0;
/// Most requests on a connection, and the longest pause between two of them.
const MAX_REQUESTS: usize = 5;
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Bounds of a client's timeout, in milliseconds.
const TIMEOUT_MS: std::ops::Range<u64> = 800..2_500;
/// Shares of the requests with the newest key and with a removed key.
const OTHER_KEY_SHARES: (f64, f64) = (0.2, 0.1);
/// Bounds of the pause between two attempts of the request that crashes runners, in milliseconds.
const POISON_INTERVAL_MS: std::ops::Range<u64> = 200..700;
/// Time between two requests beside the one that crashes runners, and their number for each of its
/// attempts.
const OTHERS_INTERVAL: Duration = Duration::from_millis(100);
const REQUESTS_PER_POISON: usize = 4;
/// Bodies of requests beside those that crash runners or make them unresponsive.
pub const OTHER_BODIES: [&str; 4] = ["a", "b", "c", "d"];
/// Shared parts of the requests with a deadly part, and of the others.
const DEADLY_PROMPT: &[&str] = &["a1", DEADLY_PART, "b2"];
const OTHER_PROMPTS: [&[&str]; 3] = [&["a1", "b2"], &["a1", "c3"], &["a1"]];
/// Time between two attempts of a request that crashes runners or makes them unresponsive.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time before the first request whose pieces crash runners, so that calls also carry pieces of other
/// requests.
const DEADLY_DELAY: Duration = Duration::from_secs(2);
/// Kinds of requests that need no links between relays.
const PLAIN_KINDS: [Kind; 4] = [Kind::Unsafe, Kind::Safe, Kind::Once, Kind::Stream];
/// Longest time from the end of the last fault until all requests are served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Period in which most new connections are opened to one relay, and more of them than before.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// When it begins.
    pub after: Duration,
    /// Factor of the number of connections.
    pub factor: f64,
    /// Share of the connections that are opened to the first relay.
    pub share: f64,
}

/// Sends random requests for a time, if `flood` is given with a flood up to the end. Returns their records.
pub async fn send(
    state: Arc<SoakState>,
    keys: Keys,
    seed: u64,
    time: Duration,
    flood: Option<Flood>,
) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let end = begun + time;
    let mut callers = JoinSet::new();
    let mut number = 0_u64;
    while Instant::now() < end {
        let gap = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / CONNECTIONS_PER_SECOND;
        let flood = flood.filter(|flood| begun.elapsed() >= flood.after);
        sleep(Duration::from_secs_f64(
            gap / flood.map_or(1.0, |flood| flood.factor),
        ))
        .await;
        number += 1;
        let entries = state.entries();
        let is_concentrated = flood.is_some_and(|flood| rng.random_bool(flood.share));
        let entry = match is_concentrated {
            true => entries.first(),
            false => entries.choose(&mut rng),
        };
        let Some(entry) = entry.copied() else {
            continue;
        };
        let own = StdRng::seed_from_u64(rng.random());
        callers.spawn(run_connection(entry, keys.clone(), number, own));
    }
    callers.join_all().await.into_iter().flatten().collect()
}

/// Repeats a request that crashes each runner that starts it, for a time and at random relays. Returns
/// the records.
pub async fn poison_requests(
    state: Arc<SoakState>,
    seed: u64,
    time: Duration,
) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let request = ClientRequest {
            id: format!("poison{number}"),
            kind: Kind::Once,
            key: PERMANENT_KEY.to_owned(),
            timeout: Duration::from_secs(2),
            body: POISON,
            parts: &[],
        };
        if let Some(entry) = state.entries().choose(&mut rng).copied() {
            callers.spawn(send_one(entry, request));
        }
        sleep(Duration::from_millis(rng.random_range(POISON_INTERVAL_MS))).await;
    }
    callers.join_all().await
}

/// Repeats a request that crashes runners at all relays in turn, beside requests of other clients, half
/// of which differ from it only in the body. Returns the records of all.
pub async fn crowd_requests(
    state: Arc<SoakState>,
    kind: Kind,
    seed: u64,
    time: Duration,
) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    let mut turn = 0;
    while Instant::now() < end {
        let entries = state.entries();
        let make_request = |name: &str, kind, body| ClientRequest {
            id: format!("{name}{turn}"),
            kind,
            key: PERMANENT_KEY.to_owned(),
            timeout: Duration::from_secs(2),
            body,
            parts: &[],
        };
        if turn % REQUESTS_PER_POISON == 0
            && let Some(entry) = entries.get(turn / REQUESTS_PER_POISON % entries.len().max(1))
        {
            callers.spawn(send_one(*entry, make_request("poison", kind, POISON)));
        }
        let beside = if turn % 2 == 0 {
            let body = OTHER_BODIES.choose(&mut rng).copied();
            make_request("beside", kind, body.unwrap_or(USUAL))
        } else {
            let kind = PLAIN_KINDS.choose(&mut rng).copied();
            make_request("other", kind.unwrap_or(Kind::Safe), USUAL)
        };
        if let Some(entry) = entries.choose(&mut rng) {
            callers.spawn(send_one(*entry, beside));
        }
        turn += 1;
        sleep(OTHERS_INTERVAL).await;
    }
    callers.join_all().await
}

/// Repeats a request for a time, each time with a new id and at the next relay.
pub async fn repeat(
    state: Arc<SoakState>,
    first: Duration,
    time: Duration,
    make_request: impl Fn(usize) -> ClientRequest,
) -> Vec<RequestRecord> {
    let end = Instant::now() + time;
    sleep(first).await;
    let mut callers = JoinSet::new();
    let mut turn = 0;
    while Instant::now() < end {
        let entries = state.entries();
        if let Some(entry) = entries.get(turn % entries.len().max(1)) {
            callers.spawn(send_one(*entry, make_request(turn)));
        }
        turn += 1;
        sleep(RETRY_INTERVAL).await;
    }
    callers.join_all().await
}

/// Sends requests of which no two are alike, but whose prompts share a part that crashes runners, beside
/// others of the same kind and caller with the same other parts. Returns the records of all.
pub async fn deadly_parts(
    state: Arc<SoakState>,
    kind: Kind,
    seed: u64,
    time: Duration,
) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    let mut turn = 0;
    while Instant::now() < end {
        let entries = state.entries();
        let with_parts = |name: &str, parts| ClientRequest {
            parts,
            ..default_request(format!("{name}{turn}"), kind, USUAL)
        };
        if turn % REQUESTS_PER_POISON == 0
            && let Some(entry) = entries.get(turn / REQUESTS_PER_POISON % entries.len().max(1))
        {
            callers.spawn(send_one(*entry, with_parts("part", DEADLY_PROMPT)));
        }
        let others = OTHER_PROMPTS.choose(&mut rng).copied().unwrap_or_default();
        if let Some(entry) = entries.choose(&mut rng) {
            callers.spawn(send_one(*entry, with_parts("other", others)));
        }
        turn += 1;
        sleep(OTHERS_INTERVAL).await;
    }
    callers.join_all().await
}

/// Repeats requests whose pieces crash the runners of a stage.
pub async fn deadly_pieces(
    state: Arc<SoakState>,
    requests: usize,
    stage: usize,
    time: Duration,
) -> Vec<RequestRecord> {
    let mut callers = JoinSet::new();
    for (number, body) in DEADLY.into_iter().enumerate().take(requests) {
        let first = DEADLY_DELAY + RETRY_INTERVAL * number as u32 / requests as u32;
        let make_request =
            move |turn| default_request(deadly(number, stage, turn), Kind::Staged, body);
        callers.spawn(repeat(state.clone(), first, time, make_request));
    }
    callers.join_all().await.into_iter().flatten().collect()
}

/// Repeats a request that makes runners unresponsive.
pub async fn silencing_requests(
    state: Arc<SoakState>,
    kind: Kind,
    time: Duration,
) -> Vec<RequestRecord> {
    let make_request = move |turn| default_request(format!("silencer{turn}"), kind, SILENCER);
    repeat(state, Duration::ZERO, time, make_request).await
}

/// Sends requests of other clients: in each round one per group, of a kind drawn from the group.
pub async fn other_requests(
    state: Arc<SoakState>,
    groups: &'static [&'static [Kind]],
    seed: u64,
    time: Duration,
) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        for kinds in groups {
            number += 1;
            let kind = kinds.choose(&mut rng).copied().unwrap_or(Kind::Safe);
            let body = OTHER_BODIES.choose(&mut rng).copied().unwrap_or(USUAL);
            if let Some(entry) = state.entries().choose(&mut rng) {
                callers.spawn(send_one(
                    *entry,
                    default_request(format!("other{number}"), kind, body),
                ));
            }
        }
        sleep(OTHERS_INTERVAL).await;
    }
    callers.join_all().await
}

/// A request of a client that waits for two seconds.
fn default_request(id: String, kind: Kind, body: &'static str) -> ClientRequest {
    ClientRequest {
        id,
        kind,
        key: PERMANENT_KEY.to_owned(),
        timeout: Duration::from_secs(2),
        body,
        parts: &[],
    }
}

pub(super) async fn send_one(entry: SocketAddr, request: ClientRequest) -> RequestRecord {
    match Connection::open(entry).await {
        Some(mut connection) => connection.send(request).await,
        None => unsent(request, entry),
    }
}

/// Sends some requests on one connection for as long as it stays open.
async fn run_connection(
    entry: SocketAddr,
    keys: Keys,
    number: u64,
    mut rng: StdRng,
) -> Vec<RequestRecord> {
    let mut records = Vec::new();
    let mut requests = (0..rng.random_range(1..=MAX_REQUESTS))
        .map(|turn| draw_request(&keys, format!("r{number}x{turn}"), &mut rng))
        .collect::<Vec<_>>()
        .into_iter();
    let Some(mut connection) = Connection::open(entry).await else {
        records.extend(requests.next().map(|request| unsent(request, entry)));
        return records;
    };
    for request in requests {
        if !connection.is_open().await {
            break;
        }
        records.push(connection.send(request).await);
        sleep(MAX_PAUSE.mul_f64(rng.random())).await;
    }
    records
}

fn draw_request(keys: &Keys, id: String, rng: &mut StdRng) -> ClientRequest {
    let kind = Kind::ALL.choose(rng).copied().unwrap_or(Kind::Safe);
    let draw: f64 = rng.random();
    let keys = keys.lock().unwrap_or_else(PoisonError::into_inner);
    let now = now();
    let is_in_force = |key: &&Key| key.from + PROPAGATION < now && key.until.is_none();
    let is_removed = |key: &&Key| key.until.is_some();
    let key = if draw < OTHER_KEY_SHARES.0 {
        keys.iter().rev().find(is_in_force)
    } else if draw < OTHER_KEY_SHARES.0 + OTHER_KEY_SHARES.1 {
        keys.iter().rev().find(is_removed)
    } else {
        None
    };
    let key = key.or(keys.first()).map(|key| key.text.clone());
    ClientRequest {
        id,
        kind,
        key: key.unwrap_or_default(),
        timeout: Duration::from_millis(rng.random_range(TIMEOUT_MS)),
        body: USUAL,
        parts: &[],
    }
}

/// Sends each kind of request to each relay after the last fault, repeatedly until all are served or
/// the time is over. Returns the records of the last round.
pub async fn check_recovery(cluster: &Cluster, kinds: &[Kind]) -> Vec<RequestRecord> {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let mut round = 0;
    loop {
        let mut records = Vec::new();
        for name in cluster.relays.iter().map(|(settings, _)| &settings.id) {
            let Some(entry) = cluster.fleet.ready(name).map(|ready| ready.listen) else {
                continue;
            };
            for &kind in kinds {
                let request = ClientRequest {
                    id: format!("{name}r{round}{kind:?}"),
                    kind,
                    key: PERMANENT_KEY.to_owned(),
                    timeout: Duration::from_secs(2),
                    body: USUAL,
                    parts: &[],
                };
                records.push(match Connection::open(entry).await {
                    Some(mut connection) => connection.send(request).await,
                    None => unsent(request, entry),
                });
            }
        }
        let all = records.iter().all(|record| is_good(record, true));
        if all || Instant::now() > end {
            return records;
        }
        round += 1;
    }
}
