//! Runners of stages send some answers a second time, where the next answer on the channel is due.

use crate::client::{self, Got, Order};
use crate::ledger::{Ledger, Sent};
use crate::runner::{self, Runner, StageSpec, Work};
use crate::store::Store;
use crate::system::{Folder, Relay, ZONES};
use crate::{Failed, random};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(40);
/// Time for which the runners are faulty, and the time between two such spans.
const FAULTY: Duration = Duration::from_secs(5);
const SOUND: Duration = Duration::from_secs(1);
/// Share of the answers that are sent twice.
const SHARE: f64 = 0.03;
/// Clients, each of which sends one request after the other.
const CLIENTS: usize = 24;

const STAGES: [StageSpec; 2] = [
    StageSpec { service: "payout-svc", after: &[] },
    StageSpec { service: "upload-svc", after: &[0] },
];

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"r-review","host":"pule25.example","path_prefix":"/review/","kind":"streaming",
"timeout_ms":8000,"target_latency_ms":2300,"priority":1,"service":"linnet-pool","max_attempts":2,
"stages":[{"service":"payout-svc","after":[],"size_bytes":8000},{"service":"upload-svc","after":[0],"size_bytes":60000}],
"public":false,"sticky":true,"can_resume":true,"target_gap_ms":400}],
"services":[{"name":"linnet-pool","health_path":"/health","max_conns":270,"protocol":"h1","tls":false},
{"name":"payout-svc","health_path":"/health","max_conns":270,"protocol":"h1","tls":false,
"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":200.0,"item_ms":21.0,"headroom_mb":18.0,"handle_s":4.0,"link_mbps":10000}},
{"name":"upload-svc","health_path":"/health","max_conns":270,"protocol":"h1","tls":false,
"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":200.0,"item_ms":21.0,"headroom_mb":18.0,"handle_s":4.0,"link_mbps":10000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

pub fn play(ledger: &Arc<Ledger>, with_trouble: bool) -> Result<(), Failed> {
    let folder = Folder::new();
    let store = Store::start();
    let stage = Work::Stage { call_ms: 200, item_ms: 21, batch: 8, queue: 2, handle_s: 4 };
    let model = Work::Model { events: 6, gap_ms: 40 };
    let mut runners = Vec::new();
    for (service, count, work) in [("linnet-pool", 3, model), ("payout-svc", 3, stage), ("upload-svc", 5, stage)] {
        for number in 0..count {
            let id = format!("i-{service}-{number}");
            let zone = ZONES[number % ZONES.len()];
            runners.push(Runner::start(&id, service, zone, work, &STAGES, ledger));
        }
    }
    runner::register(&runners);
    store.put("op", "config", CONFIG);
    for runner in &runners {
        runner.list(&store, "ready");
    }
    let mut relays: Vec<Relay> =
        (0..ZONES.len()).map(|zone| Relay::new(&folder.0, zone, store.address, ledger)).collect();
    for relay in &mut relays {
        relay.start().map_err(|error| format!("{}: {error}", relay.node))?;
    }
    for relay in &relays {
        if !relay.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} does not become ready", relay.node));
        }
    }
    let over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<_> = relays.iter().map(|relay| relay.front).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (ledger, over, front) = (ledger.clone(), over.clone(), fronts[number % fronts.len()]);
            thread::spawn(move || {
                let mut turn = 0;
                while !over.load(SeqCst) {
                    turn += 1;
                    request(&ledger, front, number, turn);
                    thread::sleep(Duration::from_millis(100 + (random() * 600.0) as u64));
                }
            })
        })
        .collect();
    // Two of the three runners of one service, and three of the five of the other.
    let faulty: Vec<&Arc<Runner>> = runners
        .iter()
        .filter(|runner| ["i-payout-svc-0", "i-payout-svc-1", "i-upload-svc-0", "i-upload-svc-1", "i-upload-svc-2"].contains(&&*runner.id))
        .collect();
    let until = Instant::now() + TRAFFIC;
    thread::sleep(Duration::from_secs(2));
    while Instant::now() + FAULTY < until {
        set_share(&faulty, if with_trouble { SHARE } else { 0.0 });
        thread::sleep(FAULTY);
        set_share(&faulty, 0.0);
        thread::sleep(SOUND);
    }
    over.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for runner in &runners {
        runner.stop();
    }
    let ended = relays.iter_mut().filter_map(|relay| relay.has_ended().then(|| relay.node.clone()));
    let ended: Vec<String> = ended.collect();
    if !ended.is_empty() {
        ledger.broke(format!("processes ended by themselves: {}", ended.join(", ")));
    }
    Ok(())
}

fn set_share(runners: &[&Arc<Runner>], share: f64) {
    for runner in runners {
        *runner.trouble.extra.lock().unwrap() = share;
    }
}

fn request(ledger: &Arc<Ledger>, front: std::net::SocketAddr, client: usize, turn: u32) {
    let id = format!("{:08x}{client:04x}{turn:04x}", (random() * 4e9) as u32);
    let pieces = vec![1 + (random() * 2.0) as u32, 1 + (random() * 4.0) as u32];
    let key = format!("{:012x}", (random() * 1e14) as u64);
    let order = Order {
        method: "POST",
        path: "/review/2f".to_owned(),
        host: "pule25.example",
        api_key: "9dnn2ctnfzs989anu6ws",
        deadline_ms: 8_000,
        headers: vec![
            ("X-Model".to_owned(), "m".to_owned()),
            ("X-Token-Counts".to_owned(), "1460,80".to_owned()),
            ("X-Prompt-Prefix".to_owned(), format!("5c1e07a2:800,91bd3f06:410,{}:250", &id[..8])),
            ("X-Pieces".to_owned(), format!("{},{}", pieces[0], pieces[1])),
            ("X-Piece-Key".to_owned(), key.clone()),
        ],
        sent: Sent { route: "review", pieces, key },
        body: "{}".to_owned(),
        id,
    };
    match client::send(ledger, front, &order) {
        Got::Whole(answer) if answer.status() == 200 => {
            ledger.count("requests answered with 200");
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            if !text.contains(&format!("data: 6 of {}\n", order.id)) {
                ledger.broke(format!("MIXED the answer to {} is not its own: {text}", order.id));
            }
        }
        Got::Whole(_) => ledger.count("requests answered otherwise"),
        Got::Broken(_) | Got::Nothing => ledger.count("requests cut off"),
        Got::Unreachable => ledger.count("requests without a channel"),
    }
}
