//! Stand-in for the platform's store: rows in one part, transactions and the feed of changes.

use crate::http::{self, Message, Reader};
use crate::json::{self, Json};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Most rows in a response, according to the pages.
const PAGE_ROWS: usize = 500;

#[derive(Default)]
struct Rows {
    /// Value in base64 and version, by table and key.
    current: BTreeMap<(String, String), (String, u64)>,
    /// Version, table, key, and value or none where the row was dropped.
    history: Vec<(u64, String, String, Option<String>)>,
    version: u64,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("bound"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, as the operator and the runners do.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.write(table, key, Some(base64(value.as_bytes())));
        self.changed.notify_all();
        rows.version
    }

    /// Drops a row.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.write(table, key, None);
        self.changed.notify_all();
        rows.version
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut reader: Reader = BufReader::new(read);
        while let Some(request) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let json = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if !http::send(&mut stream, &http::response(status, &json, &body)) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        match (request.method(), request.path()) {
            ("POST", "/-/rows-tx") => self.transact(&request.body),
            ("GET", "/-/rows-get") => self.page(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            _ => ("404 Not Found", String::new()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(commit) = json::parse(body) else {
            return ("400 Bad Request", String::new());
        };
        thread::sleep(Duration::from_millis(3));
        let name = |row: &Json| {
            let text = |field| row.text(field).unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let stands = |row: &Json| {
            let known = rows.current.get(&name(row)).map_or(0, |(_, ver)| *ver);
            known == row.number("ver").unwrap_or(0.0) as u64
        };
        if !commit.list("expect_rev").iter().all(stands) {
            let named: Vec<String> = commit
                .list("expect_rev")
                .iter()
                .filter_map(|row| {
                    let (table, key) = name(row);
                    let (value, ver) = rows.current.get(&(table.clone(), key.clone()))?;
                    Some(row_json(&table, &key, Some(value), *ver))
                })
                .collect();
            return ("412 Precondition Failed", self.rows_json(&named, rows.version, false));
        }
        rows.version += 1;
        for put in commit.list("puts") {
            let (table, key) = name(put);
            rows.write(&table, &key, put.text("value").map(str::to_owned));
        }
        for removed in commit.list("remove") {
            let (table, key) = name(removed);
            rows.write(&table, &key, None);
        }
        self.changed.notify_all();
        ("200 OK", self.rows_json(&[], rows.version, false))
    }

    fn page(&self, request: &Message) -> (&'static str, String) {
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let limit = request.query("limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let matching: Vec<String> = rows
            .current
            .iter()
            .filter(|((known, key), _)| *known == table && *key >= from)
            .map(|((table, key), (value, ver))| row_json(table, key, Some(value), *ver))
            .collect();
        let has_more = matching.len() > limit;
        let page = &matching[..matching.len().min(limit)];
        ("200 OK", self.rows_json(page, rows.version, has_more))
    }

    fn feed(&self, request: &Message) -> (&'static str, String) {
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let table = request.query("table").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes: Vec<String> = rows
                .history
                .iter()
                .filter(|(ver, known, _, _)| *ver > after && *known == table)
                .map(|(ver, table, key, value)| row_json(table, key, value.as_deref(), *ver))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return ("200 OK", self.rows_json(&changes, rows.version, false));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn rows_json(&self, rows: &[String], version: u64, has_more: bool) -> String {
        let now = self.now_ms();
        format!(
            r#"{{"rows":[{}],"ver":{version},"has_more":{has_more},"now_ms":{now}}}"#,
            rows.join(",")
        )
    }
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => drop(self.current.insert(name, (value.clone(), self.version))),
            None => drop(self.current.remove(&name)),
        }
        let written = (self.version, table.to_owned(), key.to_owned(), value);
        self.history.push(written);
    }
}

fn row_json(table: &str, key: &str, value: Option<&str>, ver: u64) -> String {
    let head = format!(r#""table":"{table}","part":"","key":"{key}","ver":{ver}"#);
    match value {
        Some(value) => format!(r#"{{{head},"value":"{value}"}}"#),
        None => format!(r#"{{{head},"deleted":true}}"#),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
