//! Ground truth: all executions of a runner, in the order in which they started.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of executions that are retained; the oldest are dropped.
pub const MAX_EXECUTIONS: usize = 2_000_000;

/// Status of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutionStatus {
    /// In progress.
    Running,
    /// The complete response was sent.
    Answered,
    /// Executed, but the response was lost or truncated.
    Cut,
    /// Cancelled before it was complete.
    Cancelled,
    /// Executed, but the response was an error.
    Failed,
}

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Id of the attempt, from `X-Call`.
    pub call: String,
    /// Request that the attempt belongs to.
    pub request: String,
    /// Workspace, from `X-Workspace`.
    pub workspace: String,
    /// Number of the first requested event, from `X-Resume`.
    pub resume: u32,
    /// Start in microseconds since the Unix epoch.
    pub started_us: u64,
    /// Status.
    pub ended: ExecutionStatus,
    /// Hash of the input, computed by [`crate::answer::input_hash`].
    pub input_hash: String,
    /// Execution time in microseconds; 0 until the execution has ended.
    pub busy_us: u64,
    /// Number of prefix blocks of the call.
    #[serde(default)]
    pub prefix_blocks: usize,
    /// Number of leading prefix blocks that an engine had in its cache.
    #[serde(default)]
    pub prefix_hits: usize,
}

/// Part of a log; response of `GET /standin/log`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Executions in the order in which they started.
    pub executions: Vec<Execution>,
}

#[derive(Debug, Default)]
struct State {
    first_number: usize,
    executions: VecDeque<Execution>,
}

/// The log of a runner; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    state: Arc<Mutex<State>>,
}

impl Log {
    /// Logs an execution that starts now.
    pub(crate) fn start(&self, call: &crate::call::Call) -> LogEntry {
        let mut state = self.state();
        state.executions.push_back(Execution {
            call: call.id.clone(),
            request: call.request_id().to_owned(),
            workspace: call.workspace.clone(),
            resume: call.resume,
            started_us: now_us(),
            ended: ExecutionStatus::Running,
            input_hash: crate::answer::input_hash(&call.raw),
            busy_us: 0,
            prefix_blocks: call.prefix.len(),
            prefix_hits: 0,
        });
        if state.executions.len() > MAX_EXECUTIONS {
            state.executions.pop_front();
            state.first_number += 1;
        }
        let number = state.first_number + state.executions.len() - 1;
        drop(state);
        LogEntry {
            log: self.clone(),
            number,
            is_ended: false,
        }
    }

    /// All executions whose number is at least `since`.
    pub(crate) fn page(&self, since: usize) -> Page {
        let state = self.state();
        let skipped = since.saturating_sub(state.first_number);
        let executions = state.executions.iter().skip(skipped).cloned().collect();
        Page { executions }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An execution in progress; logged as cancelled if this is dropped before [`LogEntry::end`].
#[derive(Debug)]
pub(crate) struct LogEntry {
    log: Log,
    number: usize,
    is_ended: bool,
}

impl LogEntry {
    /// Number of the execution, counted from zero.
    pub(crate) fn number(&self) -> usize {
        self.number
    }

    /// Sets the number of prefix blocks that were in the cache.
    pub(crate) fn set_prefix_hits(&self, hits: usize) {
        let mut state = self.log.state();
        let position = self.number.checked_sub(state.first_number);
        if let Some(execution) = position.and_then(|position| state.executions.get_mut(position)) {
            execution.prefix_hits = hits;
        }
    }

    /// Counts the time since the start as execution time: otherwise, a cancelled duplicate of a call
    /// would appear to cost nothing.
    fn cancel(&mut self) {
        let started_us = {
            let state = self.log.state();
            let position = self.number.checked_sub(state.first_number);
            let execution = position.and_then(|position| state.executions.get(position));
            execution.map_or(0, |execution| execution.started_us)
        };
        self.end(
            ExecutionStatus::Cancelled,
            now_us().saturating_sub(started_us),
        );
    }

    pub(crate) fn end(&mut self, ended: ExecutionStatus, busy_us: u64) {
        self.is_ended = true;
        let mut state = self.log.state();
        let first_number = state.first_number;
        let position = self.number.checked_sub(first_number);
        if let Some(execution) = position.and_then(|position| state.executions.get_mut(position)) {
            execution.ended = ended;
            execution.busy_us = busy_us;
        }
    }
}

impl Drop for LogEntry {
    fn drop(&mut self) {
        if !self.is_ended {
            self.cancel();
        }
    }
}

/// Microseconds since the Unix epoch.
pub(crate) fn now_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_micros()).unwrap_or(u64::MAX))
}
