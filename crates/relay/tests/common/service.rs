//! An in-memory table service for many relays, which counts its calls.

use super::feed::ScriptedFeed;
use relay::follow::{InvalidRow, TableSource};
use relay::runner::DomainId;
use relay::{Configuration, Runner};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::{Change, Changes, Error, Feed, FeedError, Row, RowRevision, Table, Transaction};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// The table service. Clones share its tables.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    started: Instant,
    state: Arc<Mutex<State>>,
    revision: watch::Sender<RowRevision>,
}

#[derive(Debug, Default)]
struct State {
    /// Value and revision of the last change of each row.
    rows: BTreeMap<(String, String), (Option<Value>, RowRevision)>,
    revision: RowRevision,
    calls: BTreeMap<String, usize>,
}

impl Service {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            state: Arc::default(),
            revision: watch::Sender::new(0),
        }
    }

    /// Number of calls so far, by operation and table.
    pub(crate) fn calls(&self) -> BTreeMap<String, usize> {
        self.state().calls.clone()
    }

    /// Writes a row directly; this is not counted as a call.
    pub(crate) fn put(&self, table: &str, key: &str, value: Option<Value>) -> RowRevision {
        let revision = {
            let mut state = self.state();
            state.revision += 1;
            let revision = state.revision;
            let row = (table.to_owned(), key.to_owned());
            state.rows.insert(row, (value, revision));
            revision
        };
        self.revision.send_replace(revision);
        revision
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn count(&self, call: &str, table: &str) {
        let name = format!("{call} {table}");
        *self.state().calls.entry(name).or_default() += 1;
    }

    fn after(&self, table: &str, after: RowRevision) -> Changes {
        let state = self.state();
        let newer = state
            .rows
            .iter()
            .filter(|((of, _), (_, revision))| of == table && *revision > after);
        let change =
            |((_, key), (value, revision)): (&(String, String), &(Option<Value>, RowRevision))| {
                Change {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *revision,
                }
            };
        Changes {
            rows: newer.map(change).collect(),
            revision: state.revision,
            clock: Some(self.started.elapsed()),
        }
    }
}

impl Feed for Service {
    async fn list(&self, table: &str) -> Result<Changes, Error> {
        self.count("list", table);
        let mut changes = self.after(table, 0);
        changes.rows.retain(|change| change.value.is_some());
        Ok(changes)
    }

    async fn changes(
        &self,
        table: &str,
        after: RowRevision,
        wait: Duration,
    ) -> Result<Changes, FeedError> {
        self.count("changes", table);
        let mut revision = self.revision.subscribe();
        let some = revision.wait_for(|_| !self.after(table, after).rows.is_empty());
        let _ = timeout(wait, some).await;
        Ok(self.after(table, after))
    }
}

impl Table for Service {
    async fn transact(&self, transaction: &Transaction) -> Result<RowRevision, Error> {
        self.count("write", &transaction.puts[0].table);
        let puts = transaction.puts.iter();
        let written = puts.map(|put| self.put(&put.table, &put.key, put.value.clone()));
        Ok(written.max().unwrap_or_default())
    }

    async fn read(&self, table: &str, key: &str) -> Result<Option<Row>, Error> {
        self.count("read", table);
        let rows = self.after(table, 0).rows.into_iter();
        let mut row = rows.filter(|row| row.key == key);
        Ok(row.next().and_then(|row| {
            Some(Row {
                table: table.to_owned(),
                key: row.key,
                value: row.value?,
                revision: row.revision,
            })
        }))
    }

    async fn scan(&self, _table: &str, _after: &str, _limit: usize) -> Result<Vec<Row>, Error> {
        Ok(Vec::new())
    }
}

impl TableSource for Service {
    const OPERATOR_TABLE: &'static str = ScriptedFeed::OPERATOR_TABLE;
    const RUNNER_TABLE: &'static str = ScriptedFeed::RUNNER_TABLE;

    fn drained_domain(key: &str) -> Option<DomainId> {
        ScriptedFeed::drained_domain(key)
    }

    fn parse_configuration(key: &str, value: &Value) -> Result<Option<Configuration>, InvalidRow> {
        ScriptedFeed::parse_configuration(key, value)
    }

    fn parse_runner(key: &str, value: &Value) -> Result<Runner, InvalidRow> {
        ScriptedFeed::parse_runner(key, value)
    }
}
