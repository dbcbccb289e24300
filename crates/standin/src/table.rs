//! The transactional table service.

use crate::options::Options;
use crate::rate::RateLimiter;
use crate::reply::{self, Body};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum number of rows of a scan without a limit.
const DEFAULT_SCAN_LIMIT: usize = 1_000;

/// All tables.
#[derive(Debug)]
pub(crate) struct TableService {
    writes: RateLimiter,
    reads: RateLimiter,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    tables: BTreeMap<String, BTreeMap<String, Row>>,
}

#[derive(Clone, Debug, Serialize)]
struct Row {
    table: String,
    key: String,
    value: Value,
    revision: u64,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    checks: Vec<Check>,
    #[serde(default)]
    puts: Vec<Put>,
}

#[derive(Deserialize)]
struct Check {
    table: String,
    key: String,
    revision: Option<u64>,
}

#[derive(Deserialize)]
struct Put {
    table: String,
    key: String,
    value: Option<Value>,
}

#[derive(Serialize)]
struct Committed {
    revision: u64,
}

#[derive(Serialize)]
struct Rows {
    rows: Vec<Row>,
}

/// Parameters of a read.
#[derive(Debug, Default)]
pub(crate) struct Query {
    /// Key of the row to read; a scan if it is missing.
    pub(crate) key: Option<String>,
    /// Key after which a scan starts.
    pub(crate) after: String,
    /// Maximum number of rows of a scan.
    pub(crate) limit: Option<usize>,
}

impl TableService {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            writes: RateLimiter::new(options.writes_per_second),
            reads: RateLimiter::new(options.reads_per_second),
            state: Mutex::default(),
        }
    }

    pub(crate) fn transact(&self, body: &[u8]) -> Response<Body> {
        let transaction: Transaction = match serde_json::from_slice(body) {
            Ok(transaction) => transaction,
            Err(error) => return reply::error(StatusCode::BAD_REQUEST, error),
        };
        if !self.writes.try_acquire() {
            return reply::refusal(StatusCode::TOO_MANY_REQUESTS);
        }
        match self.state().commit(transaction) {
            Ok(revision) => reply::json(StatusCode::OK, &Committed { revision }),
            Err(rows) => reply::json(StatusCode::CONFLICT, &Rows { rows }),
        }
    }

    pub(crate) fn read(&self, table: &str, query: &Query) -> Response<Body> {
        if !self.reads.try_acquire() {
            return reply::refusal(StatusCode::TOO_MANY_REQUESTS);
        }
        let state = self.state();
        let Some(key) = &query.key else {
            let rows = state.scan(table, query);
            return reply::json(StatusCode::OK, &Rows { rows });
        };
        match state.row(table, key) {
            Some(row) => reply::json(StatusCode::OK, row),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn row(&self, table: &str, key: &str) -> Option<&Row> {
        self.tables.get(table)?.get(key)
    }

    fn scan(&self, table: &str, query: &Query) -> Vec<Row> {
        let start = Bound::Excluded(query.after.as_str());
        let rows = self.tables.get(table).into_iter();
        rows.flat_map(|rows| rows.range::<str, _>((start, Bound::Unbounded)))
            .map(|(_, row)| row.clone())
            .take(query.limit.unwrap_or(DEFAULT_SCAN_LIMIT))
            .collect()
    }

    /// Writes all rows, or returns the existing rows whose checks failed.
    fn commit(&mut self, transaction: Transaction) -> Result<u64, Vec<Row>> {
        let mut failed = transaction.checks.iter().filter(|check| {
            let row = self.row(&check.table, &check.key);
            row.map(|row| row.revision) != check.revision
        });
        if let Some(first) = failed.next() {
            let failed = std::iter::once(first).chain(failed);
            let rows = failed.filter_map(|check| self.row(&check.table, &check.key));
            return Err(rows.cloned().collect());
        }
        self.revision += 1;
        for put in transaction.puts {
            self.put(put);
        }
        Ok(self.revision)
    }

    fn put(&mut self, put: Put) {
        let revision = self.revision;
        let rows = self.tables.entry(put.table.clone()).or_default();
        let Some(value) = put.value else {
            rows.remove(&put.key);
            return;
        };
        let Put { table, key, .. } = put;
        let row = Row {
            table,
            key: key.clone(),
            value,
            revision,
        };
        rows.insert(key, row);
    }
}
