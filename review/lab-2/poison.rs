//! A request that crashes each runner, while all relays are killed once and start again.

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
const BODY: &str = "poison";
/// Work of a sound request, and of the poison request until its runner crashes.
const WORK: Duration = Duration::from_millis(30);
/// Time until a crashed runner is back.
const BACK: Duration = Duration::from_secs(3);
/// `stable_window_ms` of the small sites.
const STABLE: Duration = Duration::from_secs(3);
/// Retries after the third crash that the rule allows.
const ALLOWED: usize = 3;
/// Time after the second retry at which all relays are killed.
const KILL_DELAY: Duration = Duration::from_secs(2);
/// Time until a killed relay starts again.
const DOWN: Duration = Duration::from_secs(1);
const LONGEST: Duration = Duration::from_secs(100);

fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":2,\"service\":\"label-desk\",\
             \"max_attempts\":{attempts},\"stages\":[],\"public\":false,\"sticky\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"label-desk\",\"health_path\":\"/health\",\
         \"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("label", "unsafe", 1),
        route("sheet", "safe", 2)
    )
}

/// What the stand-ins have seen.
#[derive(Default)]
struct Seen {
    /// Arrivals of the poison request at runners: when, the id of the attempt and the runner.
    arrivals: Mutex<Vec<(Instant, String, String)>>,
    /// When runners crashed.
    crashes: Mutex<Vec<Instant>>,
    answers: Mutex<BTreeMap<String, u64>>,
}

struct Runner {
    id: String,
    zone: usize,
    address: SocketAddr,
    store: Arc<Store>,
    seen: Arc<Seen>,
    /// Ends the current start.
    crashed: Mutex<Arc<AtomicBool>>,
    open: Mutex<Vec<TcpStream>>,
}

impl Runner {
    fn start(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        let stop = Arc::new(AtomicBool::new(false));
        *lock(&self.crashed) = stop.clone();
        let runner = self.clone();
        base::accept(listener, stop.clone(), move |stream| runner.serve(stream, &stop));
        let entry = format!(
            "{{\"service\":\"label-desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":0,\"born\":{}}}",
            self.address, ZONES[self.zone], base::unix_millis()
        );
        self.store.put("servers", &self.id, Some(&entry));
        note(&format!("runner {} starts at {}", self.id, self.address));
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, stop: &Arc<AtomicBool>) {
        if let Ok(copy) = stream.try_clone() {
            let mut open = lock(&self.open);
            open.push(copy);
        }
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message() {
            if stop.load(Ordering::SeqCst) || !self.answer(&request, &mut reader.stream, stop) {
                break;
            }
        }
        let _ = reader.stream.shutdown(Shutdown::Both);
    }

    fn answer(self: &Arc<Self>, request: &Message, stream: &mut TcpStream, stop: &Arc<AtomicBool>) -> bool {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return respond(stream, "421 Misdirected Request", &[("X-Instance-Id", &self.id)], "");
        }
        if request.first.1.starts_with("/-/report") || request.first.1 == "/health" {
            return respond(stream, "200 OK", &[("X-Instance-Id", &self.id)], "{}");
        }
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        if request.body == BODY.as_bytes() {
            lock(&self.seen.arrivals).push((Instant::now(), id.clone(), self.id.clone()));
            note(&format!("poison request {id} reaches runner {}", self.id));
            thread::sleep(WORK);
            self.crash(stop);
            return false;
        }
        thread::sleep(WORK);
        if stop.load(Ordering::SeqCst) {
            return false;
        }
        let seal = format!("seal-{id}");
        respond(stream, "200 OK", &[("X-Attempt-Id", &id), ("X-Response-Seal", &seal)], &format!("done {id}"))
    }

    /// The process ends: its port is closed, and so are its channels. It is back after some seconds.
    fn crash(self: &Arc<Self>, stop: &Arc<AtomicBool>) {
        if stop.swap(true, Ordering::SeqCst) {
            return;
        }
        lock(&self.seen.crashes).push(Instant::now());
        note(&format!("runner {} crashes", self.id));
        // The listener is closed within a millisecond.
        thread::sleep(Duration::from_millis(2));
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(BACK);
            runner.start();
        });
    }
}

/// Sends one request on a new channel; returns the status, or what went wrong.
fn send(address: SocketAddr, method: &str, path: &str, id: &str, body: &str) -> Result<u16, String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(2_500)));
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 2500\r\nX-Api-Key: {KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    std::io::Write::write_all(&mut stream, text.as_bytes()).map_err(|error| error.to_string())?;
    let answer = Reader::new(stream).message().ok_or("closed without an answer")?;
    Ok(answer.status())
}

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let store = Store::start();
    store.put("op", "config", Some(&config()));
    let seen = Arc::new(Seen::default());
    let runners: Vec<Arc<Runner>> = (0..4)
        .map(|zone| {
            let runner = Runner {
                id: format!("i-7f3a91c{zone}"),
                zone,
                address: base::free_address(),
                store: store.clone(),
                seen: seen.clone(),
                crashed: Mutex::default(),
                open: Mutex::default(),
            };
            Arc::new(runner)
        })
        .collect();
    runners.iter().for_each(Runner::start);
    let mut relays: Vec<Relay> = (0..4).map(|zone| Relay::new(zone, folder)).collect();
    relays.iter_mut().for_each(|relay| relay.start(store.address, true));
    base::await_ready(&relays);
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(10));

    let addresses: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    for client in 0..8 {
        let (addresses, stop, number, seen) = (addresses.clone(), stop.clone(), number.clone(), seen.clone());
        thread::spawn(move || {
            let mut random = Random::new(client + 1);
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(300 + random.below(400)));
                let relay = random.below(4) as usize;
                let id = format!("{:08x}{relay:08x}", 0x1000_0000 + number.fetch_add(1, Ordering::SeqCst));
                let outcome = match random.below(3) {
                    0 => send(addresses[relay], "GET", &format!("/sheet/{id}"), &id, ""),
                    _ => send(addresses[relay], "POST", "/label/2f", &id, &format!("label {id}")),
                };
                let outcome = outcome.map_or_else(|error| error, |status| status.to_string());
                *lock(&seen.answers).entry(outcome).or_default() += 1;
            }
        });
    }

    let began = Instant::now();
    let mut random = Random::new(99);
    let mut attempt = 0_u64;
    let mut is_killed = false;
    let retries = loop {
        let relay = random.below(4) as usize;
        let id = format!("{attempt:08x}{relay:08x}");
        attempt += 1;
        let address = addresses[relay];
        let sent = thread::spawn(move || send(address, "POST", "/label/2f", &id, BODY).map(|status| (id, status)));
        if let Ok(Ok((id, status))) = sent.join() {
            note(&format!("poison request {id} by {} is answered {status}", relays[relay].name));
        }
        let retries = retries(&seen, &relays);
        if !is_killed && has_trouble {
            let arrivals = lock(&seen.arrivals);
            let last = arrivals.last().map(|(at, ..)| *at);
            drop(arrivals);
            if retries == 2 && last.is_some_and(|at| at.elapsed() > KILL_DELAY) {
                is_killed = true;
                relays.iter_mut().for_each(Relay::kill);
                thread::sleep(DOWN);
                relays.iter_mut().for_each(|relay| relay.start(store.address, false));
            }
        }
        if relays.iter_mut().any(Relay::has_ended) {
            base::cannot_run("a relay has ended by itself");
        }
        if retries > ALLOWED || began.elapsed() > LONGEST {
            break retries;
        }
        thread::sleep(Duration::from_millis(400));
    };
    stop.store(true, Ordering::SeqCst);
    for (outcome, count) in lock(&seen.answers).iter() {
        note(&format!("sound requests, {outcome}: {count}"));
    }
    note(&format!("runners crashed {} times", lock(&seen.crashes).len()));
    note(&format!("retries by machines in touch later than 3 s after the third crash: {retries}, allowed {ALLOWED}"));
    if lock(&seen.crashes).len() < 3 {
        base::cannot_run("the request has not crashed three runners");
    }
    retries <= ALLOWED
}

/// Arrivals of the poison request that the rule counts: later than `stable_window_ms` after the third crash, from
/// machines that were in touch.
fn retries(seen: &Seen, relays: &[Relay]) -> usize {
    let Some(third) = lock(&seen.crashes).get(2).copied() else { return 0 };
    let arrivals = lock(&seen.arrivals);
    let counts = |(at, id, _): &&(Instant, String, String)| {
        let relay = id.get(8..).and_then(|relay| usize::from_str_radix(relay, 16).ok());
        let in_touch = relay.and_then(|relay| relays.get(relay)).is_some_and(|relay| {
            // The arrivals before the last start were in touch, too: nothing had disturbed the relays by then.
            *at < relay.disturbed || *at > relay.disturbed + STABLE
        });
        *at > third + STABLE && in_touch
    };
    arrivals.iter().filter(counts).count()
}
