//! Callers of a soak of relays, from a seed.

use crate::torture::relays::cluster::{Cluster, Key, Keys, STAYS};
use crate::torture::relays::verdict::{PROPAGATION, is_good};
use crate::torture::world::World;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use stub::caller::{ClientRequest, Connection, Kind, RequestRecord, USUAL, unsent};
use stub::harm::{DEADLY, POISON, SILENCER, deadly};
use stub::now;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Connections that are opened a second.
const RATE: f64 = 25.0;
/// Requests on a connection at most, and the longest pause between two of them.
const REQUESTS: usize = 5;
const PAUSE: Duration = Duration::from_millis(400);
/// Bounds of a caller's patience, in milliseconds.
const PATIENCE_MS: std::ops::Range<u64> = 800..2_500;
/// Part of the requests with the newest key, and with one that is over.
const OTHER_KEY: (f64, f64) = (0.2, 0.1);
/// Bounds of the pause between two attempts of the request that ends runners, in milliseconds.
const POISON_MS: std::ops::Range<u64> = 200..700;
/// Time between two requests beside the one that ends runners, how many of them come for each of its
/// attempts, and what half of them ask for.
const BESIDE: Duration = Duration::from_millis(100);
const POISON_TURNS: usize = 4;
/// Bodies of requests beside those that end or silence runners.
pub const OTHER_BODIES: [&str; 4] = ["a", "b", "c", "d"];
/// Time between two attempts of a request that ends or silences runners.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time before the first attempt whose pieces end runners, so that calls carry those of others as well.
const OTHERS_FIRST: Duration = Duration::from_secs(2);
/// Kinds that need no links between relays.
const PLAIN_KINDS: [Kind; 4] = [Kind::Unsafe, Kind::Safe, Kind::Once, Kind::Stream];
/// Longest time from the end of the last fault until all is served again.
const RECOVERY: Duration = Duration::from_secs(15);

/// Sends demand for a time and gives what became of it.
pub async fn send(world: Arc<World>, keys: Keys, seed: u64, time: Duration) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    let mut number = 0_u64;
    while Instant::now() < end {
        let gap = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / RATE;
        sleep(Duration::from_secs_f64(gap)).await;
        number += 1;
        let Some(entry) = world.entries().choose(&mut rng).copied() else {
            continue;
        };
        let own = StdRng::seed_from_u64(rng.random());
        callers.spawn(call(entry, keys.clone(), number, own));
    }
    callers.join_all().await.into_iter().flatten().collect()
}

/// Sends the same request at any relay, which ends each runner that begins to run it, again and again
/// for a time, and gives what became of it.
pub async fn poison(world: Arc<World>, seed: u64, time: Duration) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let ask = ClientRequest {
            id: format!("poison{number}"),
            kind: Kind::Once,
            key: STAYS.to_owned(),
            timeout: Duration::from_secs(2),
            body: POISON,
        };
        if let Some(entry) = world.entries().choose(&mut rng).copied() {
            callers.spawn(send_one(entry, ask));
        }
        sleep(Duration::from_millis(rng.random_range(POISON_MS))).await;
    }
    callers.join_all().await
}

/// Sends a request that ends runners at all relays in turn, and beside it those of other callers, half of
/// which differ from it in nothing but the body. Gives what became of all.
pub async fn crowd(world: Arc<World>, kind: Kind, seed: u64, time: Duration) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    let mut turn = 0;
    while Instant::now() < end {
        let entries = world.entries();
        let ask = |name: &str, kind, body| ClientRequest {
            id: format!("{name}{turn}"),
            kind,
            key: STAYS.to_owned(),
            timeout: Duration::from_secs(2),
            body,
        };
        if turn % POISON_TURNS == 0
            && let Some(entry) = entries.get(turn / POISON_TURNS % entries.len().max(1))
        {
            callers.spawn(send_one(*entry, ask("poison", kind, POISON)));
        }
        let beside = if turn % 2 == 0 {
            let body = OTHER_BODIES.choose(&mut rng).copied();
            ask("beside", kind, body.unwrap_or(USUAL))
        } else {
            let kind = PLAIN_KINDS.choose(&mut rng).copied();
            ask("other", kind.unwrap_or(Kind::Safe), USUAL)
        };
        if let Some(entry) = entries.choose(&mut rng) {
            callers.spawn(send_one(*entry, beside));
        }
        turn += 1;
        sleep(BESIDE).await;
    }
    callers.join_all().await
}

/// Sends a request for a time, each time under a new name at the next relay.
pub async fn repeat(
    world: Arc<World>,
    first: Duration,
    time: Duration,
    ask: impl Fn(usize) -> ClientRequest,
) -> Vec<RequestRecord> {
    let end = Instant::now() + time;
    sleep(first).await;
    let mut callers = JoinSet::new();
    let mut turn = 0;
    while Instant::now() < end {
        let entries = world.entries();
        if let Some(entry) = entries.get(turn % entries.len().max(1)) {
            callers.spawn(send_one(*entry, ask(turn)));
        }
        turn += 1;
        sleep(RETRY_INTERVAL).await;
    }
    callers.join_all().await
}

/// Sends some requests whose pieces end the runners of a stage.
pub async fn pieces(
    world: Arc<World>,
    requests: usize,
    stage: usize,
    time: Duration,
) -> Vec<RequestRecord> {
    let mut callers = JoinSet::new();
    for (request, body) in DEADLY.into_iter().enumerate().take(requests) {
        let first = OTHERS_FIRST + RETRY_INTERVAL * request as u32 / requests as u32;
        let ask = move |turn| usual(deadly(request, stage, turn), Kind::Staged, body);
        callers.spawn(repeat(world.clone(), first, time, ask));
    }
    callers.join_all().await.into_iter().flatten().collect()
}

/// Sends a request that silences runners.
pub async fn silencer(world: Arc<World>, kind: Kind, time: Duration) -> Vec<RequestRecord> {
    let ask = move |turn| usual(format!("silencer{turn}"), kind, SILENCER);
    repeat(world, Duration::ZERO, time, ask).await
}

/// Sends requests of other callers: each time one of each group, of a kind that is drawn from it.
pub async fn others(
    world: Arc<World>,
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
            if let Some(entry) = world.entries().choose(&mut rng) {
                callers.spawn(send_one(
                    *entry,
                    usual(format!("other{number}"), kind, body),
                ));
            }
        }
        sleep(BESIDE).await;
    }
    callers.join_all().await
}

/// A request of a caller that waits for two seconds.
fn usual(id: String, kind: Kind, body: &'static str) -> ClientRequest {
    ClientRequest {
        id,
        kind,
        key: STAYS.to_owned(),
        timeout: Duration::from_secs(2),
        body,
    }
}

async fn send_one(entry: SocketAddr, ask: ClientRequest) -> RequestRecord {
    match Connection::open(entry).await {
        Some(mut connection) => connection.send(ask).await,
        None => unsent(ask, entry),
    }
}

/// A caller that sends some requests on one connection, for as long as it stays open.
async fn call(entry: SocketAddr, keys: Keys, number: u64, mut rng: StdRng) -> Vec<RequestRecord> {
    let mut words = Vec::new();
    let mut asks = (0..rng.random_range(1..=REQUESTS))
        .map(|turn| ask(&keys, format!("r{number}x{turn}"), &mut rng))
        .collect::<Vec<_>>()
        .into_iter();
    let Some(mut connection) = Connection::open(entry).await else {
        words.extend(asks.next().map(|ask| unsent(ask, entry)));
        return words;
    };
    for ask in asks {
        if !connection.is_open().await {
            break;
        }
        words.push(connection.send(ask).await);
        sleep(PAUSE.mul_f64(rng.random())).await;
    }
    words
}

fn ask(keys: &Keys, id: String, rng: &mut StdRng) -> ClientRequest {
    let kind = Kind::ALL.choose(rng).copied().unwrap_or(Kind::Safe);
    let draw: f64 = rng.random();
    let keys = keys.lock().unwrap_or_else(PoisonError::into_inner);
    let now = now();
    let settled = |key: &&Key| key.from + PROPAGATION < now && key.until.is_none();
    let over = |key: &&Key| key.until.is_some();
    let key = if draw < OTHER_KEY.0 {
        keys.iter().rev().find(settled)
    } else if draw < OTHER_KEY.0 + OTHER_KEY.1 {
        keys.iter().rev().find(over)
    } else {
        None
    };
    let key = key.or(keys.first()).map(|key| key.text.clone());
    ClientRequest {
        id,
        kind,
        key: key.unwrap_or_default(),
        timeout: Duration::from_millis(rng.random_range(PATIENCE_MS)),
        body: USUAL,
    }
}

/// Asks each relay for each kind of request after the last fault, again until all is served or the
/// time is over, and gives the last words.
pub async fn recover(cluster: &Cluster) -> Vec<RequestRecord> {
    let end = Instant::now() + RECOVERY;
    let mut round = 0;
    loop {
        let mut words = Vec::new();
        for name in cluster.relays.iter().map(|(settings, _)| &settings.id) {
            let Some(entry) = cluster.fleet.ready(name).map(|ready| ready.listen) else {
                continue;
            };
            for kind in Kind::ALL {
                let ask = ClientRequest {
                    id: format!("{name}r{round}{kind:?}"),
                    kind,
                    key: STAYS.to_owned(),
                    timeout: Duration::from_secs(2),
                    body: USUAL,
                };
                words.push(match Connection::open(entry).await {
                    Some(mut connection) => connection.send(ask).await,
                    None => unsent(ask, entry),
                });
            }
        }
        let all = words.iter().all(|word| is_good(word, true));
        if all || Instant::now() > end {
            return words;
        }
        round += 1;
    }
}
