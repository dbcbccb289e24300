//! Runners leave while some channels to the store have gone silent.

use crate::base::{self, Message, Random, Reader, Relay, Store, ZONES, lock, note, respond};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "jepu9.example";
const KEY: &str = "9dnn2ctnfzs989anu6ws";
/// Time from a request's arrival to its first event.
const FIRST: Duration = Duration::from_millis(250);
const EVENTS: u64 = 8;
const EVENT_GAP: Duration = Duration::from_millis(40);
/// `drain_ms` and `stable_window_ms` of the small sites.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE: Duration = Duration::from_millis(3_000);
/// How much longer than that a leaving runner serves.
const LONGER: Duration = Duration::from_millis(400);
/// Time until new runners start in a round, and from then until channels go silent.
const BEFORE_NEW: Duration = Duration::from_millis(500);
const BEFORE_SILENCE: Duration = Duration::from_millis(1_300);
const RUNNERS: usize = 18;
/// Runners that leave at a time.
const LEAVING: usize = 4;
const ROUNDS: usize = 10;
const CLIENTS: u64 = 48;

#[derive(Default)]
struct Seen {
    /// Requests that reached a runner too late, with the time since the acknowledgement.
    late: Mutex<BTreeMap<String, Duration>>,
    answers: Mutex<BTreeMap<String, u64>>,
}

struct Runner {
    id: String,
    zone: usize,
    address: SocketAddr,
    store: Arc<Store>,
    seen: Arc<Seen>,
    /// When the store had acknowledged that the runner leaves.
    left: Mutex<Option<Instant>>,
    ended: Arc<AtomicBool>,
    open: Mutex<Vec<TcpStream>>,
}

impl Runner {
    fn start(number: usize, store: &Arc<Store>, seen: &Arc<Seen>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| base::cannot_run("no port"));
        let address = listener.local_addr().unwrap_or_else(|_| base::cannot_run("no port"));
        let runner = Arc::new(Self {
            id: format!("i-7f3a9{number:03x}"),
            zone: number % ZONES.len(),
            address,
            store: store.clone(),
            seen: seen.clone(),
            left: Mutex::default(),
            ended: Arc::default(),
            open: Mutex::default(),
        });
        let serving = runner.clone();
        base::accept(listener, runner.ended.clone(), move |stream| serving.serve(stream));
        runner.write("ready");
        runner
    }

    fn write(&self, state: &str) {
        let entry = format!(
            "{{\"service\":\"linnet-pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"call_seq\":0,\"born\":1796600000000}}",
            self.address, ZONES[self.zone]
        );
        self.store.put("servers", &self.id, Some(&entry));
    }

    /// Announces that the runner leaves; it ends a little later than the others may still send to it.
    fn leave(self: &Arc<Self>) {
        self.write("draining");
        *lock(&self.left) = Some(Instant::now());
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(DRAIN + LONGER);
            runner.ended.store(true, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(2));
            for stream in lock(&runner.open).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            runner.store.put("servers", &runner.id, None);
        });
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        if let Ok(copy) = stream.try_clone() {
            lock(&self.open).push(copy);
        }
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message() {
            if self.ended.load(Ordering::SeqCst) || !self.answer(&request, &mut reader.stream) {
                break;
            }
        }
        let _ = reader.stream.shutdown(Shutdown::Both);
    }

    fn answer(self: &Arc<Self>, request: &Message, stream: &mut TcpStream) -> bool {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return respond(stream, "421 Misdirected Request", &[("X-Instance-Id", &self.id)], "");
        }
        if request.first.1.starts_with("/-/report") || request.first.1 == "/health" {
            return respond(stream, "200 OK", &[("X-Instance-Id", &self.id)], "{}");
        }
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let since = lock(&self.left).map(|left| left.elapsed());
        if let Some(since) = since.filter(|since| *since > DRAIN) {
            note(&format!("request {id} reaches runner {} {:.3} s after its leaving was acknowledged", self.id, since.as_secs_f64()));
            lock(&self.seen.late).insert(id.clone(), since);
        }
        let leaving = || if lock(&self.left).is_some() { "Server-Leaving: 1\r\n".to_owned() } else { String::new() };
        base::stream_events(stream, &id, leaving, (FIRST, EVENT_GAP, EVENTS), &self.ended)
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let store = Store::start();
    store.put("op", "config", Some(&base::stream_config(HOST, KEY, "/note/", 6_000)));
    let seen = Arc::new(Seen::default());
    let mut runners: Vec<Arc<Runner>> = (0..RUNNERS).map(|number| Runner::start(number, &store, &seen)).collect();
    let mut relays: Vec<Relay> = (0..4).map(|zone| Relay::new(zone, folder)).collect();
    relays.iter_mut().for_each(|relay| relay.start(store.address, true));
    base::await_ready(&relays);
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(10));

    let addresses: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    for client in 0..CLIENTS {
        let (addresses, stop, number, seen) = (addresses.clone(), stop.clone(), number.clone(), seen.clone());
        thread::spawn(move || {
            let mut random = Random::new(client + 1);
            while !stop.load(Ordering::SeqCst) {
                let relay = random.below(4) as usize;
                let id = format!("{:016x}", 0x1000_0000 + number.fetch_add(1, Ordering::SeqCst));
                let prompt = format!("9{:07x}:341,b{:07x}:227,{id}:892", random.below(20), random.below(300));
                let ask = base::Ask {
                    address: addresses[relay],
                    host: HOST,
                    key: KEY,
                    path: "/note/2f",
                    id: &id,
                    prompt: &prompt,
                    deadline: Duration::from_secs(6),
                };
                let outcome = ask.send(|_| {});
                if lock(&seen.late).contains_key(&id) {
                    note(&format!("request {id}, which reached a runner too late, by {}: {outcome}", relay));
                }
                *lock(&seen.answers).entry(outcome).or_default() += 1;
                thread::sleep(Duration::from_millis(random.below(800)));
            }
        });
    }

    let mut started = RUNNERS;
    for round in 0..ROUNDS {
        // The relays ask about the operator's table every 2.45 s. Runners leave right after an answer, so that the
        // next one, which names the change, comes as late as it can.
        store.await_answer();
        thread::sleep(BEFORE_NEW);
        while runners.len() < RUNNERS {
            runners.push(Runner::start(started, &store, &seen));
            started += 1;
        }
        thread::sleep(BEFORE_SILENCE);
        let silent = if has_trouble { store.silence(&["servers"]) } else { 0 };
        let silent_at = Instant::now();
        note(&format!("round {round}: {silent} channels to the store go silent"));
        thread::sleep(STABLE);
        store.await_answer();
        let leaving: Vec<Arc<Runner>> = runners.drain(..LEAVING).collect();
        leaving.iter().for_each(Runner::leave);
        note(&format!("round {round}: {LEAVING} runners leave {:.3} s later", silent_at.elapsed().as_secs_f64()));
        thread::sleep(DRAIN + LONGER + Duration::from_millis(200));
        if relays.iter_mut().any(Relay::has_ended) {
            base::cannot_run("a relay has ended by itself");
        }
    }
    stop.store(true, Ordering::SeqCst);
    for (outcome, count) in lock(&seen.answers).iter() {
        note(&format!("requests, {outcome}: {count}"));
    }
    let late = lock(&seen.late).len();
    note(&format!("requests that reached a runner later than 2 s after its leaving was acknowledged: {late}"));
    late == 0
}
