//! The open channels to the store go silent while new ones work, just after a change of the config; then a
//! key is taken away.

use crate::client::{self, Got, Order};
use crate::ledger::{Ledger, Sent};
use crate::proxy::Proxy;
use crate::runner::{self, Runner, Work};
use crate::store::Store;
use crate::system::{Folder, Relay, ZONES};
use crate::{Failed, random};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// From the pages: `stable_window_ms` and `config_deadline_ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const CONFIG_DEADLINE: Duration = Duration::from_millis(2_000);
/// Added to the first, for the moment at which the channels go silent.
const MARGIN: Duration = Duration::from_millis(200);
/// Rounds, each with a key of its own that is taken away.
const ROUNDS: usize = 3;
const KEEPER: &str = "9dnn2ctnfzs989anu6ws";
const DROPPED: [&str; ROUNDS] = ["jnbanfqasnmgkcuyj8p0", "jnbanfqasnmgkcuyj8p1", "jnbanfqasnmgkcuyj8p2"];

/// The config with this version, this many routes besides and these keys.
fn config(version: u64, added: usize, keys: &[&str]) -> String {
    let route = |name: &str, host: &str| {
        format!(
            r#"{{"name":"{name}","host":"{host}","path_prefix":"/bobo563/","kind":"safe","timeout_ms":2000,
"target_latency_ms":300,"priority":2,"service":"market-api","max_attempts":2,"stages":[],"public":false}}"#
        )
    };
    let mut routes = vec![route("r-review", "jepu9.example")];
    routes.extend((0..added).map(|number| route(&format!("r-added{number}"), &format!("added{number}.example"))));
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],
"services":[{{"name":"market-api","health_path":"/health","max_conns":48,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"bozi300","api_keys":[{}],"priority":1}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}

/// What has happened to a key.
#[derive(Clone, Copy, Default)]
struct Dropped {
    /// From when on a request with the key may not run: later than the bound after the ack, at a machine
    /// that is in touch.
    bound: Option<Instant>,
}

pub fn play(ledger: &Arc<Ledger>, with_trouble: bool) -> Result<(), Failed> {
    let folder = Folder::new();
    let store = Store::start();
    let runners: Vec<_> = (0..3)
        .map(|number| {
            let id = format!("i-market-api-{number}");
            Runner::start(&id, "market-api", ZONES[number], Work::Plain { ms: 20 }, &[], ledger)
        })
        .collect();
    runner::register(&runners);
    let mut keys = vec![KEEPER];
    keys.extend(DROPPED);
    let mut version = 7;
    store.put("op", "config", &config(version, 0, &keys));
    for runner in &runners {
        runner.list(&store, "ready");
    }
    let proxies: Vec<_> = ZONES.iter().map(|_| Proxy::start(store.address)).collect();
    let mut relays: Vec<Relay> = (0..ZONES.len())
        .map(|zone| Relay::new(&folder.0, zone, proxies[zone].address, ledger))
        .collect();
    for relay in &mut relays {
        relay.start().map_err(|error| format!("{}: {error}", relay.node))?;
    }
    for relay in &relays {
        if !relay.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} does not become ready", relay.node));
        }
    }
    let over = Arc::new(AtomicBool::new(false));
    let dropped: Arc<Mutex<[Dropped; ROUNDS]>> = Arc::default();
    let mut clients = Vec::new();
    for relay in &relays {
        for key in 0..=ROUNDS {
            let (ledger, over, dropped, front) = (ledger.clone(), over.clone(), dropped.clone(), relay.front);
            clients.push(thread::spawn(move || {
                while !over.load(SeqCst) {
                    request(&ledger, front, key, &dropped);
                    thread::sleep(Duration::from_millis(120));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(8));
    for round in 0..ROUNDS {
        version += 3;
        store.put("op", "config", &config(version, round + 1, &keys));
        ledger.note(&format!("operator: version {version}, one route more; acknowledged"));
        thread::sleep(Duration::from_millis(250));
        let silent_at = Instant::now();
        if with_trouble {
            let count: usize = proxies.iter().map(|proxy| proxy.silence()).sum();
            ledger.note(&format!("{count} open channels to the store go silent"));
        }
        thread::sleep(Duration::from_millis(600));
        keys.retain(|key| *key != DROPPED[round]);
        version += 3;
        store.put("op", "config", &config(version, round + 1, &keys));
        let acknowledged = Instant::now();
        ledger.note(&format!("operator: version {version}, without the key {}; acknowledged", DROPPED[round]));
        let bound = (acknowledged + CONFIG_DEADLINE).max(silent_at + STABLE_WINDOW + MARGIN);
        dropped.lock().unwrap()[round].bound = Some(bound);
        thread::sleep(Duration::from_secs(9));
    }
    over.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let ended = relays.iter_mut().filter_map(|relay| relay.has_ended().then(|| relay.node.clone()));
    let ended: Vec<String> = ended.collect();
    if !ended.is_empty() {
        ledger.broke(format!("processes ended by themselves: {}", ended.join(", ")));
    }
    Ok(())
}

/// Sends a request with one of the keys; the last one is kept all the time.
fn request(ledger: &Arc<Ledger>, front: std::net::SocketAddr, key: usize, dropped: &Mutex<[Dropped; ROUNDS]>) {
    let id = format!("{:016x}", (random() * 1.8e19) as u64);
    let api_key = DROPPED.get(key).copied().unwrap_or(KEEPER);
    let order = Order {
        method: "GET",
        path: "/bobo563/2f".to_owned(),
        host: "jepu9.example",
        api_key,
        deadline_ms: 2_000,
        headers: Vec::new(),
        sent: Sent { route: "review", pieces: Vec::new(), key: String::new() },
        body: String::new(),
        id,
    };
    let bound = dropped.lock().unwrap().get(key).and_then(|dropped| dropped.bound);
    let sent = Instant::now();
    let got = client::send(ledger, front, &order);
    let has_run = ledger.state().runs.contains_key(&order.id);
    match bound.filter(|bound| sent > *bound) {
        Some(bound) if has_run => {
            ledger.count("requests with a dropped key run too late");
            let late = (sent - bound).as_millis();
            ledger.broke(format!(
                "CONFIG {} with the dropped key {api_key} runs; sent {late} ms after the bound, to {front}",
                order.id
            ));
        }
        Some(_) => ledger.count("requests with a dropped key turned away"),
        None if has_run => ledger.count("requests run"),
        None => ledger.count("other requests"),
    }
    if let (Got::Whole(answer), 3) = (&got, key)
        && answer.status() == 401
    {
        ledger.broke(format!("DENIED {} with a key that stands", order.id));
    }
}
