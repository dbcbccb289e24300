//! In-memory implementation of the platform's services with fault injection, for tests.

use crate::object::Objects;
use crate::table::{Check, Error, Row, RowRevision, Table, Transaction};
use crate::vm::{Vm, Vms};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Table service, object store and VM list; clones share their content.
///
/// # Examples
///
/// ```
/// use store::{Error, Memory, Put, Table, Transaction};
///
/// # futures::executor::block_on(async {
/// let memory = Memory::default();
/// let put = Put { table: "t".into(), key: "k".into(), value: Some(7.into()) };
/// memory.lose_answers(1);
/// let lost = memory.transact(&Transaction { checks: vec![], puts: vec![put] }).await;
/// assert!(matches!(lost, Err(Error::Unsure { .. })));
/// assert_eq!(memory.read("t", "k").await.unwrap().unwrap().value, 7);
/// # });
/// ```
#[derive(Clone, Debug, Default)]
pub struct Memory {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    objects: BTreeMap<String, Bytes>,
    vms: Vec<Vm>,
    revision: RowRevision,
    outage: bool,
    answers_to_lose: u32,
    writes_to_delay: u32,
    delayed: Vec<Transaction>,
}

impl Memory {
    /// Starts or ends an outage, during which all calls are refused.
    pub fn set_outage(&self, outage: bool) {
        self.state().outage = outage;
    }

    /// Makes the next `count` writes take effect without an answer.
    pub fn lose_answers(&self, count: u32) {
        self.state().answers_to_lose = count;
    }

    /// Delays the next `count` transactions until [`Memory::release_writes`]; they get no answer.
    pub fn delay_writes(&self, count: u32) {
        self.state().writes_to_delay = count;
    }

    /// Executes the delayed transactions whose checks still hold, and returns their number.
    pub fn release_writes(&self) -> usize {
        let mut state = self.state();
        let delayed = std::mem::take(&mut state.delayed);
        delayed
            .iter()
            .filter(|transaction| state.commit(transaction).is_ok())
            .count()
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.state().vms = vms;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn available(&self) -> Result<MutexGuard<'_, State>, Error> {
        let state = self.state();
        if state.outage {
            return Err(Error::Unavailable {
                reason: "outage".into(),
                retry_after: None,
            });
        }
        Ok(state)
    }
}

impl State {
    fn commit(&mut self, transaction: &Transaction) -> Result<RowRevision, Error> {
        let failed: Vec<_> = transaction
            .checks
            .iter()
            .filter(|check| !self.holds(check))
            .collect();
        if !failed.is_empty() {
            let rows = failed.into_iter().filter_map(|check| self.row(check));
            return Err(Error::Conflict {
                rows: rows.cloned().collect(),
            });
        }
        self.revision += 1;
        for put in &transaction.puts {
            let row_key = (put.table.clone(), put.key.clone());
            match &put.value {
                None => self.rows.remove(&row_key),
                Some(value) => self.rows.insert(
                    row_key,
                    Row {
                        table: put.table.clone(),
                        key: put.key.clone(),
                        value: value.clone(),
                        revision: self.revision,
                    },
                ),
            };
        }
        Ok(self.revision)
    }

    fn row(&self, check: &Check) -> Option<&Row> {
        self.rows.get(&(check.table.clone(), check.key.clone()))
    }

    fn holds(&self, check: &Check) -> bool {
        self.row(check).map(|row| row.revision) == check.revision
    }

    /// Returns the answer to a write that has taken effect, or loses it if requested.
    fn answer<T>(&mut self, answer: T) -> Result<T, Error> {
        if self.answers_to_lose == 0 {
            return Ok(answer);
        }
        self.answers_to_lose -= 1;
        Err(unsure())
    }
}

impl Table for Memory {
    async fn transact(&self, transaction: &Transaction) -> Result<RowRevision, Error> {
        let mut state = self.available()?;
        if state.writes_to_delay > 0 {
            state.writes_to_delay -= 1;
            state.delayed.push(transaction.clone());
            return Err(unsure());
        }
        let committed = state.commit(transaction);
        state.answer(committed)?
    }

    async fn read(&self, table: &str, key: &str) -> Result<Option<Row>, Error> {
        let state = self.available()?;
        Ok(state.rows.get(&(table.into(), key.into())).cloned())
    }

    async fn scan(&self, table: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let start = Bound::Excluded((table.to_owned(), after.to_owned()));
        let state = self.available()?;
        let rows = state.rows.range((start, Bound::Unbounded));
        Ok(rows
            .take_while(|((name, _), _)| name == table)
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect())
    }
}

impl Objects for Memory {
    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Error> {
        let mut state = self.available()?;
        state.objects.insert(name.to_owned(), content);
        state.answer(())
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        Ok(self.available()?.objects.get(name).cloned())
    }
}

impl Vms for Memory {
    async fn list(&self) -> Result<Vec<Vm>, Error> {
        Ok(self.available()?.vms.clone())
    }
}

fn unsure() -> Error {
    Error::Unsure {
        reason: "answer lost".into(),
    }
}
