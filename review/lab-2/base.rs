//! Stand-ins of the users' platform for the cases of the second review, with the standard library alone: the
//! store, the settings of relays, relay processes, an HTTP codec and the record.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends the process with the code for a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    note(&format!("cannot run: {reason}"));
    eprintln!("cannot run: {reason}");
    // Child processes end with their guards, which `exit` does not run.
    kill_all();
    std::process::exit(2);
}

// ---- record

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Begins the record in a file.
pub fn begin_record(path: &Path) {
    let file = File::create(path).unwrap_or_else(|error| {
        eprintln!("cannot write {}: {error}", path.display());
        std::process::exit(2)
    });
    let _ = RECORD.set(Record { start: Instant::now(), file: Mutex::new(file) });
}

/// Writes one line with the time.
pub fn note(line: &str) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&record.file), "{at:9.3} s  {line}");
    }
}

pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// A small generator of pseudo-random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound
    }
}

// ---- HTTP

pub struct Message {
    /// Method and path of a request, or version and status of a response.
    pub first: (String, String),
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.1.parse().unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Some(())
    }

    /// The head of the next message; `None` if the connection ends before.
    pub fn head(&mut self) -> Option<Message> {
        let end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            match found {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let mut first = lines.next()?.split(' ');
        let first = (first.next()?.to_owned(), first.next()?.to_owned());
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Some(Message { first, headers: headers.collect(), body: Vec::new() })
    }

    fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// The next chunk of a body in chunks; empty at its end.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let size = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
        let chunk = self.exactly(size)?;
        self.line()?;
        Some(chunk)
    }

    /// The next message with its whole body.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else {
            let length = message.header("content-length").and_then(|text| text.parse().ok());
            message.body = self.exactly(length.unwrap_or(0))?;
        }
        Some(message)
    }
}

/// Writes a response with a body of known length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &str) -> bool {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes()).is_ok()
}

/// Accepts connections until `stop`, each in a thread of its own.
pub fn accept(listener: TcpListener, stop: Arc<AtomicBool>, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    if listener.set_nonblocking(true).is_err() {
        cannot_run("a listener");
    }
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let serve = serve.clone();
                    thread::spawn(move || serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_micros(500)),
            }
        }
    });
}

/// An address that nothing listens at. Its port is below those that the system gives to outgoing connections, so that
/// it stays free until it is used, also while a process that listens there is down.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 10_000 + (std::process::id() % 1_000) as u16 * 20;
    for _ in 0..2_000 {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no free port")
}

// ---- JSON and base64, as far as the store needs them

const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = three.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - three.len()));
        for digit in 0..4 {
            let shown = digit <= three.len();
            let index = (word >> (18 - 6 * digit)) & 63;
            text.push(if shown { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}

#[derive(Debug, Clone)]
pub enum Json {
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
    Other(String),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        Self::value(&bytes, &mut at)
    }
    fn space(text: &[char], at: &mut usize) {
        while text.get(*at).is_some_and(|one| one.is_whitespace()) {
            *at += 1;
        }
    }
    fn string(text: &[char], at: &mut usize) -> Option<String> {
        let mut out = String::new();
        *at += 1;
        loop {
            match text.get(*at)? {
                '"' => {
                    *at += 1;
                    return Some(out);
                }
                '\\' => {
                    out.push(*text.get(*at + 1)?);
                    *at += 2;
                }
                one => {
                    out.push(*one);
                    *at += 1;
                }
            }
        }
    }
    fn value(text: &[char], at: &mut usize) -> Option<Self> {
        Self::space(text, at);
        match text.get(*at)? {
            '"' => Self::string(text, at).map(Self::Text),
            '[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(text, at);
                    match text.get(*at)? {
                        ']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        ',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            '{' => {
                *at += 1;
                let mut table = Vec::new();
                loop {
                    Self::space(text, at);
                    match text.get(*at)? {
                        '}' => {
                            *at += 1;
                            return Some(Self::Table(table));
                        }
                        ',' => *at += 1,
                        _ => {
                            let key = Self::string(text, at)?;
                            Self::space(text, at);
                            *at += 1;
                            table.push((key, Self::value(text, at)?));
                        }
                    }
                }
            }
            _ => {
                let from = *at;
                while text.get(*at).is_some_and(|one| !",]}".contains(*one)) {
                    *at += 1;
                }
                Some(Self::Other(text[from..*at].iter().collect::<String>().trim().to_owned()))
            }
        }
    }
    pub fn get(&self, key: &str) -> Option<&Self> {
        match self {
            Self::Table(table) => table.iter().find(|(known, _)| known == key).map(|(_, value)| value),
            _ => None,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) | Self::Other(text) => text,
            _ => "",
        }
    }
    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

// ---- the platform's store

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<String>,
    ver: u64,
}

impl Row {
    fn json(&self) -> String {
        let value = self.value.as_ref().map_or("null".to_owned(), |value| format!("\"{value}\""));
        format!(
            "{{\"table\":\"{}\",\"part\":\"\",\"key\":\"{}\",\"value\":{value},\"ver\":{},\"deleted\":{}}}",
            self.table, self.key, self.ver, self.value.is_none()
        )
    }
}

#[derive(Default)]
struct Rows {
    ver: u64,
    current: BTreeMap<(String, String), Row>,
    history: Vec<Row>,
}

/// One channel to the store.
pub struct Channel {
    /// Table of the question for changes that it carries.
    asks: Mutex<Option<String>>,
    /// Whether it has gone silent for good: nothing more is read from it or answered.
    silent: AtomicBool,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    channels: Mutex<Vec<Arc<Channel>>>,
    /// When a question for changes of the operator's table was last answered.
    answered: Mutex<Instant>,
}

/// Time of an answer, and of a transaction, as in the settings of a small site.
const ANSWER: Duration = Duration::from_millis(4);

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn field(path: &str, name: &str) -> Option<String> {
    let query = path.split_once('?')?.1;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no port for the store"));
        let address = listener.local_addr().unwrap_or_else(|_| cannot_run("no port for the store"));
        let store = Arc::new(Self {
            address,
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            channels: Mutex::default(),
            answered: Mutex::new(Instant::now()),
        });
        let serving = store.clone();
        accept(listener, Arc::default(), move |stream| serving.serve(stream));
        store
    }

    /// Writes a row, or drops it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        self.write(table, key, value.map(|value| base64(value.as_bytes())));
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = lock(&self.rows);
        rows.ver += 1;
        let row = Row { table: table.to_owned(), key: key.to_owned(), value, ver: rows.ver };
        match row.value {
            Some(_) => drop(rows.current.insert((row.table.clone(), row.key.clone()), row.clone())),
            None => drop(rows.current.remove(&(row.table.clone(), row.key.clone()))),
        }
        rows.history.push(row);
        drop(rows);
        self.changed.notify_all();
    }

    /// Makes the open channels go silent on which one of these tables is asked for; returns how many.
    pub fn silence(&self, tables: &[&str]) -> usize {
        let mut count = 0;
        for channel in lock(&self.channels).iter() {
            let asked = lock(&channel.asks).clone();
            if asked.is_some_and(|asked| tables.contains(&asked.as_str())) && !channel.silent.swap(true, Ordering::SeqCst) {
                count += 1;
            }
        }
        count
    }

    /// Waits until a question for changes of the operator's table is answered, and no other one follows at once.
    pub fn await_answer(&self) {
        let asked = Instant::now();
        while *lock(&self.answered) < asked || lock(&self.answered).elapsed() < Duration::from_millis(60) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let channel = Arc::new(Channel { asks: Mutex::default(), silent: AtomicBool::new(false) });
        lock(&self.channels).push(channel.clone());
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message() {
            let answer = self.answer(&request, &channel);
            if channel.silent.load(Ordering::SeqCst) {
                // The channel stays open, and nothing more is read from it.
                thread::sleep(Duration::from_secs(200));
                break;
            }
            let (status, body) = answer;
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if !respond(&mut reader.stream, status, &headers, &body) {
                break;
            }
        }
        lock(&self.channels).retain(|known| !Arc::ptr_eq(known, &channel));
    }

    fn answer(&self, request: &Message, channel: &Channel) -> (&'static str, String) {
        let path = &request.first.1;
        let now = || self.started.elapsed().as_millis();
        let table = field(path, "table").unwrap_or_default();
        match path.split('?').next().unwrap_or_default() {
            "/-/rows-get" => {
                thread::sleep(ANSWER);
                let from = field(path, "from").unwrap_or_default();
                let limit = field(path, "limit").and_then(|limit| limit.parse().ok()).unwrap_or(500);
                let rows = lock(&self.rows);
                let found = rows.current.values().filter(|row| row.table == table && row.key >= from);
                let all: Vec<String> = found.map(Row::json).collect();
                let has_more = all.len() > limit;
                let shown = all.into_iter().take(limit).collect::<Vec<_>>().join(",");
                ("200 OK", format!("{{\"rows\":[{shown}],\"has_more\":{has_more},\"ver\":{},\"now_ms\":{}}}", rows.ver, now()))
            }
            "/-/rows-feed" => {
                let after: u64 = field(path, "after").and_then(|after| after.parse().ok()).unwrap_or(0);
                let wait: u64 = field(path, "wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                *lock(&channel.asks) = Some(table.clone());
                let until = Instant::now() + Duration::from_millis(wait);
                let mut rows = lock(&self.rows);
                let found = loop {
                    let newer = rows.history.iter().filter(|row| row.table == table && row.ver > after);
                    let newer: Vec<String> = newer.map(Row::json).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !newer.is_empty() || left.is_zero() {
                        break newer;
                    }
                    rows = match self.changed.wait_timeout(rows, left) {
                        Ok((rows, _)) => rows,
                        Err(poisoned) => poisoned.into_inner().0,
                    };
                };
                let body = format!("{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}", found.join(","), rows.ver, now());
                drop(rows);
                if table == "op" {
                    *lock(&self.answered) = Instant::now();
                }
                if !channel.silent.load(Ordering::SeqCst) {
                    *lock(&channel.asks) = None;
                }
                thread::sleep(ANSWER);
                ("200 OK", body)
            }
            "/-/rows-tx" => {
                thread::sleep(ANSWER);
                let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
                    return ("400 Bad Request", "{}".to_owned());
                };
                let entries = |name: &str| body.get(name).map(|list| list.list().to_vec()).unwrap_or_default();
                let text = |entry: &Json, name: &str| entry.get(name).map_or(String::new(), |text| text.text().to_owned());
                {
                    let rows = lock(&self.rows);
                    for entry in entries("expect_rev") {
                        let known = rows.current.get(&(text(&entry, "table"), text(&entry, "key")));
                        if known.map_or(0, |row| row.ver).to_string() != text(&entry, "ver") {
                            let row = known.map(Row::json).unwrap_or_default();
                            return ("412 Precondition Failed", format!("{{\"rows\":[{row}],\"ver\":{}}}", rows.ver));
                        }
                    }
                }
                for entry in entries("puts") {
                    self.write(&text(&entry, "table"), &text(&entry, "key"), Some(text(&entry, "value")));
                }
                for entry in entries("remove") {
                    self.write(&text(&entry, "table"), &text(&entry, "key"), None);
                }
                ("200 OK", format!("{{\"ver\":{},\"now_ms\":{}}}", lock(&self.rows).ver, now()))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

// ---- relay processes

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;

static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and have not been waited for.
pub fn kill_all() {
    for pid in lock(&PIDS).drain(..) {
        // SAFETY: a plain system call on a process that this program started and has not waited for.
        let _ = unsafe { kill(pid as i32, SIGKILL) };
    }
}

pub struct Relay {
    pub name: String,
    zone: usize,
    pub address: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// When the process was last disturbed: started, killed or stopped.
    pub disturbed: Instant,
}

pub const ZONES: [&str; 4] = ["maardu-a", "maardu-b", "rae-loom", "saue-test"];

impl Relay {
    pub fn new(zone: usize, folder: &Path) -> Self {
        let name = format!("edge-{}-1", ZONES[zone]);
        Self {
            zone,
            address: free_address(),
            ready: free_address(),
            metrics: free_address(),
            peers: free_address(),
            settings: folder.join(format!("{name}.jsonc")),
            log: folder.join(format!("{name}.log")),
            name,
            child: None,
            disturbed: Instant::now(),
        }
    }

    /// Starts the process with the command of the deploy file. `first` is whether the whole system starts for the
    /// first time.
    pub fn start(&mut self, store: SocketAddr, first: bool) {
        let places = ZONES.map(|zone| format!("{{\"region\":\"ee-north\",\"domain\":\"{zone}\"}}")).join(",");
        let first = if first { "\"first_start\":true," } else { "" };
        let settings = format!(
            "{{\"id\":\"{}\",\"place\":{{\"region\":\"ee-north\",\"domain\":\"{}\"}},\"places\":[{places}],\
             \"listen\":\"{}\",\"ready\":\"{}\",\"metrics\":\"{}\",\"peers\":\"{}\",\"key\":\"linnetdrift relays\",\
             \"weight\":0.19,{first}\"memory_mb\":260,\"repeats\":{{\"ratio\":0.2,\"slack\":52,\"window_s\":10}},\
             \"drain_ms\":2000,\"grace_s\":8,\"store\":\"{store}\"}}",
            self.name, ZONES[self.zone], self.address, self.ready, self.metrics, self.peers
        );
        if std::fs::write(&self.settings, settings).is_err() {
            cannot_run("no settings file");
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let output = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let child = Command::new("target/release/linnetdriftd")
            .arg("relay")
            .env("LINNETDRIFT_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("relay: {error}")));
        lock(&PIDS).push(child.id());
        note(&format!("{} starts, front {}", self.name, self.address));
        self.child = Some(child);
        self.disturbed = Instant::now();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            lock(&PIDS).retain(|pid| *pid != child.id());
            self.disturbed = Instant::now();
            note(&format!("{} is killed", self.name));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        Reader::new(stream).head().is_some_and(|head| head.status() == 200)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all relays report that they are ready.
pub fn await_ready(relays: &[Relay]) {
    let until = Instant::now() + Duration::from_secs(10);
    while !relays.iter().all(Relay::is_ready) {
        if Instant::now() > until {
            cannot_run("the relays do not become ready");
        }
        thread::sleep(Duration::from_millis(50));
    }
    note("all relays are ready");
}

// ---- streams

/// Answers with a stream of events, the first one after a time; returns whether all of it was sent.
pub fn stream_events(
    stream: &mut TcpStream,
    id: &str,
    header: impl Fn() -> String,
    (first, gap, events): (Duration, Duration, u64),
    ended: &AtomicBool,
) -> bool {
    thread::sleep(first);
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal-{id}\r\nX-Weight-Versions: 1\r\n{}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        header()
    );
    for event in 1..=events {
        let data = format!("id: {event}\ndata: {id}.{event}\n\n");
        text += &format!("{:x}\r\n{data}\r\n", data.len());
        if ended.load(Ordering::SeqCst) || stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        text.clear();
        thread::sleep(gap);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// A client's request for a stream.
pub struct Ask<'a> {
    pub address: SocketAddr,
    pub host: &'a str,
    pub key: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub prompt: &'a str,
    pub deadline: Duration,
}

impl Ask<'_> {
    /// Sends the request on a new channel and reads its stream; returns what became of it. `head` is called with the
    /// head of the answer as it comes.
    pub fn send(&self, head: impl FnOnce(&Message)) -> String {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) else {
            return "no channel".to_owned();
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(self.deadline));
        let body = format!("body {}", self.id);
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nX-Api-Key: {}\r\nX-Model: m\r\n\
             X-Token-Counts: 1460,80\r\nX-Prompt-Prefix: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.path, self.host, self.id, self.deadline.as_millis(), self.key, self.prompt, body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return "closed".to_owned();
        }
        let mut reader = Reader::new(stream);
        let Some(answer) = reader.head() else { return "closed without an answer".to_owned() };
        head(&answer);
        if answer.status() != 200 {
            return answer.status().to_string();
        }
        loop {
            match reader.chunk() {
                Some(chunk) if chunk.is_empty() => return "200, complete".to_owned(),
                Some(_) => {}
                None => return "200, broken off".to_owned(),
            }
        }
    }
}

/// A configuration with one streaming route to the model runners, which requests may be sent to once.
pub fn stream_config(host: &str, key: &str, path: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-5mgjy5r\",\"host\":\"{host}\",\"path_prefix\":\"{path}\",\
         \"kind\":\"streaming\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":2000,\"priority\":0,\
         \"service\":\"linnet-pool\",\"max_attempts\":1,\"stages\":[],\"public\":false,\"sticky\":true,\
         \"can_resume\":false,\"target_gap_ms\":400}}],\"services\":[{{\"name\":\"linnet-pool\",\
         \"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{key}\"],\"priority\":1}}]}}"
    )
}
