//! Ground truth: every execution of a runner, in order of start.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Executions that are kept; the oldest are dropped beyond it.
pub const MAX_EXECUTIONS: usize = 2_000_000;

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutionStatus {
    /// Still at work.
    Running,
    /// The whole answer was sent.
    Answered,
    /// Done, but the answer was lost or sent in part.
    Cut,
    /// Stopped before it was done.
    Cancelled,
    /// Answered with an error.
    Failed,
}

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Identity of the attempt, as in `X-Call`.
    pub call: String,
    /// Request that the attempt belongs to.
    pub request: String,
    /// Workspace, as in `X-Workspace`.
    pub workspace: String,
    /// First event asked for, as in `X-Resume`.
    pub resume: u32,
    /// Start in microseconds since the Unix epoch.
    pub started_us: u64,
    /// How it ended.
    pub ended: ExecutionStatus,
    /// Hash of the input, as [`crate::answer::input_hash`] gives it.
    pub input_hash: String,
    /// Time at work in microseconds, once it has ended.
    pub busy_us: u64,
    /// Prefix blocks of the call.
    #[serde(default)]
    pub prefix_blocks: usize,
    /// Leading ones of them that an engine had in its cache.
    #[serde(default)]
    pub prefix_hits: usize,
}

/// Part of a log, as `GET /standin/log` gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Executions in order of start.
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
    /// Enters an execution that starts now.
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

    /// All executions from number `since` on.
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

/// An execution that runs; it counts as cancelled if it is dropped before it has ended.
#[derive(Debug)]
pub(crate) struct LogEntry {
    log: Log,
    number: usize,
    is_ended: bool,
}

impl LogEntry {
    /// Number of the execution, from zero.
    pub(crate) fn number(&self) -> usize {
        self.number
    }

    /// Notes the prefix blocks that were in the cache.
    pub(crate) fn set_prefix_hits(&self, hits: usize) {
        let mut state = self.log.state();
        let position = self.number.checked_sub(state.first_number);
        if let Some(execution) = position.and_then(|position| state.executions.get_mut(position)) {
            execution.prefix_hits = hits;
        }
    }

    /// The time since its start stands for the work of an execution that was stopped: a second copy
    /// that is cancelled would look free otherwise.
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
