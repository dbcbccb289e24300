//! Stand-ins for runners: of models, of plain services and of stages.

use crate::http::{self, Message, Reader};
use crate::json::{self, Json};
use crate::ledger::{Ledger, Made};
use crate::random;
use crate::store::Store;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Stages of the routes that have some: the services, and what each stage needs. They are the same on all
/// routes with stages.
#[derive(Clone, Copy)]
pub struct StageSpec {
    pub service: &'static str,
    pub after: &'static [usize],
}

/// What a runner does.
#[derive(Clone, Copy, PartialEq)]
pub enum Work {
    /// Answers after some milliseconds.
    Plain { ms: u64 },
    /// Sends a stream of events, so many milliseconds apart.
    Model { events: u64, gap_ms: u64 },
    /// Makes pieces.
    Stage { call_ms: u64, item_ms: u64, batch: usize, queue: usize, handle_s: u64 },
}

/// Disturbances of runners, switched during a case.
#[derive(Default)]
pub struct Trouble {
    /// Share of the answers after which a second answer comes, where the next answer is due.
    pub extra: Mutex<f64>,
}

pub struct Runner {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub work: Work,
    pub stages: &'static [StageSpec],
    pub trouble: Trouble,
    ledger: Arc<Ledger>,
    /// Results that are kept here, until when.
    kept: Mutex<HashMap<String, Instant>>,
    busy: Mutex<bool>,
    freed: Condvar,
    waiting: AtomicUsize,
    named: AtomicU64,
    born: u128,
    stopped: AtomicBool,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        work: Work,
        stages: &'static [StageSpec],
        ledger: &Arc<Ledger>,
    ) -> Arc<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            service,
            zone,
            address: listener.local_addr().expect("bound"),
            work,
            stages,
            trouble: Trouble::default(),
            ledger: ledger.clone(),
            kept: Mutex::default(),
            busy: Mutex::new(false),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            named: AtomicU64::new(0),
            born: born.as_millis(),
            stopped: AtomicBool::new(false),
        });
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = serving.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// Writes the runner's entry.
    pub fn list(&self, store: &Store, state: &str) {
        let slots = if matches!(self.work, Work::Stage { .. }) { 1 } else { 64 };
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{slots},"state":"{state}","cold_left_ms":0,"call_seq":0,"born":{}}}"#,
            self.service, self.address, self.zone, self.born
        );
        store.put("servers", &self.id, &entry);
        self.ledger.note(&format!("store entry {} {state}", self.id));
    }

    /// Ends all work when the case is over.
    pub fn stop(&self) {
        self.stopped.store(true, SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut reader: Reader = BufReader::new(read);
        // A second answer to the request before, which comes where the next answer is due.
        let mut extra: Option<Vec<u8>> = None;
        while let Some(request) = http::read_request(&mut reader) {
            if let Some(answer) = extra.take() {
                self.ledger.count("second answers sent");
                let what = request.path().to_owned();
                self.ledger.note(&format!(
                    "runner {} sends its last answer once more, where that to {what} is due",
                    self.id
                ));
                if !http::send(&mut stream, &answer) {
                    return;
                }
            }
            let Some(answer) = self.answer(&request, &mut stream) else { return };
            if !http::send(&mut stream, &answer) {
                return;
            }
            let share = *self.trouble.extra.lock().unwrap();
            if share > 0.0 && random() < share {
                extra = Some(answer);
            }
        }
    }

    /// The answer to a request; none if the channel is to be closed.
    fn answer(&self, request: &Message, stream: &mut TcpStream) -> Option<Vec<u8>> {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Instance-Id", self.id.as_str())];
            return Some(http::response("421 Misdirected Request", &headers, ""));
        }
        let json = ("Content-Type", "application/json");
        match (request.method(), request.path()) {
            ("GET", "/-/report") => {
                let body = r#"{"queued":0,"busy":false,"free_mb":18.0}"#;
                Some(http::response("200 OK", &[json], body))
            }
            ("GET", "/health") => {
                let headers = [("X-Instance-Id", self.id.as_str())];
                Some(http::response("200 OK", &headers, ""))
            }
            ("POST", "/-/stage-run") => Some(self.run_pieces(request)),
            ("POST", "/-/stage-free") => {
                let body = json::parse(&request.body).unwrap_or(Json::Null);
                let mut kept = self.kept.lock().unwrap();
                for handle in body.list("handles").iter().filter_map(Json::as_text) {
                    kept.remove(handle);
                }
                Some(http::response("200 OK", &[json], "{}"))
            }
            _ => self.run(request, stream),
        }
    }

    fn not_run(&self, status: &str) -> Vec<u8> {
        http::response(status, &[("X-Not-Executed", "1"), ("X-Server-Load", "1,2,1")], "")
    }

    /// Waits for the runner's only slot; false if too many wait.
    fn begin(&self, queue: usize) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if *busy && self.waiting.load(SeqCst) >= queue {
            return false;
        }
        self.waiting.fetch_add(1, SeqCst);
        while *busy {
            busy = self.freed.wait(busy).unwrap();
        }
        self.waiting.fetch_sub(1, SeqCst);
        *busy = true;
        true
    }

    fn end(&self) {
        *self.busy.lock().unwrap() = false;
        self.freed.notify_one();
    }

    fn run_pieces(&self, request: &Message) -> Vec<u8> {
        let Work::Stage { call_ms, item_ms, batch, queue, handle_s } = self.work else {
            return self.not_run("400 Bad Request");
        };
        let arrived = Instant::now();
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let items = body.list("items");
        if items.is_empty() || items.len() > batch {
            self.ledger.broke(format!("a call with {} pieces at {}", items.len(), self.id));
        }
        if !self.begin(queue) {
            self.ledger.count("stage calls turned away");
            return self.not_run("503 Service Unavailable");
        }
        self.ledger.count("stage calls run");
        let waited = arrived.elapsed().as_secs_f64() * 1e3;
        let mut answers = Vec::new();
        let mut names = Vec::new();
        for item in items {
            names.push(format!(
                "{}/{}/{}",
                item.text("id").unwrap_or("?"),
                item.number("stage").unwrap_or(-1.0),
                item.number("piece").unwrap_or(-1.0)
            ));
            answers.push(self.make(item, waited, handle_s));
        }
        self.ledger.note(&format!("runner {} makes {}", self.id, names.join(" ")));
        thread::sleep(Duration::from_millis(call_ms + item_ms * items.len() as u64));
        self.end();
        let body = format!(r#"{{"items":[{}]}}"#, answers.join(","));
        let headers = [("Content-Type", "application/json"), ("X-Server-Load", "0,0,1")];
        http::response("200 OK", &headers, &body)
    }

    /// Makes one piece, after a check of what it was given.
    fn make(&self, item: &Json, waited: f64, handle_s: u64) -> String {
        let id = item.text("id").unwrap_or_default().to_owned();
        let stage = item.number("stage").unwrap_or(-1.0) as usize;
        let piece = item.number("piece").unwrap_or(-1.0) as u32;
        if item.number("remaining_ms").is_some_and(|left| left < waited) {
            return r#"{"reason":"late"}"#.to_owned();
        }
        let sent = self.ledger.state().sent.get(&id).cloned();
        let Some(sent) = sent else {
            self.ledger.broke(format!("UNASKED a piece of {id}, which no client sent"));
            return r#"{"reason":"error"}"#.to_owned();
        };
        let spec = self.stages.get(stage).filter(|spec| spec.service == self.service);
        let is_asked = sent.pieces.get(stage).is_some_and(|pieces| piece < *pieces);
        let Some(spec) = spec.filter(|_| is_asked) else {
            self.ledger.broke(format!("UNASKED piece {piece} of stage {stage} of {id} at {}", self.id));
            return r#"{"reason":"error"}"#.to_owned();
        };
        if spec.after.is_empty() {
            if item.text("key") != Some(sent.key.as_str()) {
                self.ledger.broke(format!("UNASKED another key for stage {stage} of {id}"));
            }
        } else {
            let inputs: Vec<&str> = item.list("inputs").iter().filter_map(Json::as_text).collect();
            if !self.check_inputs(&id, &inputs, spec.after, &sent.pieces) {
                return r#"{"reason":"gone"}"#.to_owned();
            }
        }
        let number = self.named.fetch_add(1, SeqCst);
        let handle = format!("{}/{number:x}-{:08x}", self.address, (random() * 4e9) as u32);
        let made = Made { id, stage, piece, runner: self.id.clone() };
        self.ledger.state().made.insert(handle.clone(), made);
        let until = Instant::now() + Duration::from_secs(handle_s);
        self.kept.lock().unwrap().insert(handle.clone(), until);
        format!(r#"{{"handle":"{handle}"}}"#)
    }

    /// Checks that these are the results of all pieces of some stages of the request, each once; returns
    /// whether all of them are still kept at their makers.
    fn check_inputs(&self, id: &str, inputs: &[&str], stages: &[usize], pieces: &[u32]) -> bool {
        let mut wrong = Vec::new();
        let mut seen = Vec::new();
        {
            let state = self.ledger.state();
            for handle in inputs {
                match state.made.get(*handle) {
                    None => wrong.push(format!("{handle}, which nobody made")),
                    Some(made) if made.id != id => {
                        wrong.push(format!("{handle}, piece {} of stage {} of {}", made.piece, made.stage, made.id));
                    }
                    Some(made) if !stages.contains(&made.stage) => {
                        wrong.push(format!("{handle} of stage {}", made.stage));
                    }
                    Some(made) => seen.push((made.stage, made.piece)),
                }
            }
        }
        let expected: Vec<(usize, u32)> = stages
            .iter()
            .flat_map(|&stage| (0..pieces.get(stage).copied().unwrap_or(0)).map(move |piece| (stage, piece)))
            .collect();
        let missing = expected.iter().filter(|one| !seen.contains(*one)).count();
        let is_kept = inputs.iter().all(|handle| kept_somewhere(handle));
        if is_kept && (!wrong.is_empty() || missing > 0 || seen.len() > expected.len()) {
            self.ledger.broke(format!(
                "MIXED {id} at {}: {missing} of {} inputs missing; given {}",
                self.id,
                expected.len(),
                wrong.join(", ")
            ));
        }
        is_kept
    }

    /// Runs a client's request.
    fn run(&self, request: &Message, stream: &mut TcpStream) -> Option<Vec<u8>> {
        let Some(id) = request.header("x-attempt-id").map(str::to_owned) else {
            return Some(self.not_run("400 Bad Request"));
        };
        let sent = self.ledger.state().sent.get(&id).cloned();
        let Some(sent) = sent else {
            self.ledger.broke(format!("UNASKED {id}, which no client sent"));
            return Some(self.not_run("400 Bad Request"));
        };
        if sent.pieces.iter().any(|pieces| *pieces > 0) {
            let Some(inputs) = request.header("x-inputs") else {
                return Some(self.not_run("400 Bad Request"));
            };
            let inputs: Vec<&str> = inputs.split(',').map(str::trim).collect();
            let is_leaf = |stage: &usize| self.stages.iter().all(|spec| !spec.after.contains(stage));
            let leaves: Vec<usize> = (0..self.stages.len()).filter(is_leaf).collect();
            if !self.check_inputs(&id, &inputs, &leaves, &sent.pieces) {
                return Some(self.not_run("409 Conflict"));
            }
        }
        self.ledger.count("requests run");
        self.ledger.note(&format!("runner {} runs {id}", self.id));
        {
            let mut state = self.ledger.state();
            state.runs.entry(id.clone()).or_default().push(self.id.clone());
        }
        let seal = format!("{}-{id}", self.id);
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Response-Seal", seal.as_str())];
        match self.work {
            Work::Model { events, gap_ms } => {
                let after = request.header("last-event-id").and_then(|after| after.parse().ok());
                let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
                for (name, value) in headers {
                    head += &format!("{name}: {value}\r\n");
                }
                head += "\r\n";
                let mut first = Some(head);
                for event in after.unwrap_or(0) + 1..=events {
                    thread::sleep(Duration::from_millis(gap_ms));
                    let text = format!("id: {event}\ndata: {event} of {id}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    let bytes = first.take().unwrap_or_default() + &chunk;
                    if self.stopped.load(SeqCst) || !http::send(stream, bytes.as_bytes()) {
                        return None;
                    }
                }
                Some((first.unwrap_or_default() + "0\r\n\r\n").into_bytes())
            }
            Work::Plain { ms } => {
                thread::sleep(Duration::from_millis(ms));
                Some(http::response("200 OK", &headers, &format!("the answer to {id}")))
            }
            Work::Stage { .. } => Some(self.not_run("400 Bad Request")),
        }
    }
}

/// All runners of the case, by address, to look up where a result is kept.
static RUNNERS: Mutex<Vec<Arc<Runner>>> = Mutex::new(Vec::new());

pub fn register(runners: &[Arc<Runner>]) {
    *RUNNERS.lock().unwrap() = runners.to_vec();
}

/// Whether the maker of a result still keeps it, as a runner finds out when it fetches it.
fn kept_somewhere(handle: &str) -> bool {
    let address = handle.split('/').next().unwrap_or("");
    let maker = {
        let runners = RUNNERS.lock().unwrap();
        runners.iter().find(|runner| runner.address.to_string() == address).cloned()
    };
    let Some(maker) = maker else { return false };
    let kept = maker.kept.lock().unwrap();
    kept.get(handle).is_some_and(|until| *until > Instant::now())
}
