//! State of the agent's calls. It does no I/O, so that its lock is held only briefly.

use crate::history::CallHistory;
use crate::job::Job;
use crate::output::AnswerBuffer;
use crate::queue::{Queue, QueueKey, QueueOrder};
use protocol::CallId;
use protocol::gate::{Action, Event, Gate, State as GateState};
use record::Map;
use std::sync::Arc;
use std::time::Duration;
use wire::{Load, Refusal, Sender};

/// Number of a link, unique within the agent's process.
pub(crate) type LinkId = u64;

/// Limits of the time after which an entry may retry at a full agent.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Weight of earlier calls in the mean time at the runner; the latest call has weight 1.
const MEAN_HISTORY_WEIGHT: u32 = 7;

/// A call that is queued, waits for its grant, runs, or has ended and is kept for a recall.
#[derive(Debug)]
pub(crate) struct TrackedCall {
    gate: Gate,
    link: LinkId,
    queue_key: QueueKey,
    repeatable: bool,
    job: Option<Arc<Job>>,
    pub(crate) output: Arc<AnswerBuffer>,
}

/// Next step of a call that has been given a slot.
#[derive(Debug)]
pub(crate) enum Dispatch {
    /// Request a grant from its entry.
    RequestGrant(Arc<Job>),
    /// Send the call to the runner.
    Start(Arc<Job>),
}

/// Result of a recall.
#[derive(Debug)]
pub(crate) enum RecallResult {
    /// The call has started; this is its answer.
    Answer(Arc<AnswerBuffer>),
    /// There is no answer.
    Refused(Refusal),
}

/// Settings of the agent that concern its calls.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) service: String,
    pub(crate) concurrency: u32,
    pub(crate) max_queued: usize,
    pub(crate) order: QueueOrder,
}

/// Calls and links of an agent.
#[derive(Debug)]
pub(crate) struct State {
    config: Config,
    calls: Map<CallId, TrackedCall>,
    queue: Queue,
    /// Slots in use by calls that wait for their grant or run.
    slots_in_use: u32,
    mean_runner_time: Duration,
    leaving: bool,
    history: CallHistory,
    pub(crate) links: Map<LinkId, Sender>,
}

impl State {
    pub(crate) fn new(config: Config) -> Self {
        Self {
            queue: Queue::new(config.order),
            config,
            calls: Map::default(),
            slots_in_use: 0,
            mean_runner_time: Duration::ZERO,
            leaving: false,
            history: CallHistory::default(),
            links: Map::default(),
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub(crate) fn contains(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    pub(crate) fn load(&self) -> Load {
        Load {
            queued: self.queue.len().try_into().unwrap_or(u32::MAX),
            running: self.slots_in_use,
            limit: self.config.concurrency,
            ..Load::default()
        }
    }

    /// Time after which a slot for one more call is likely.
    pub(crate) fn retry_after(&self) -> Duration {
        let ahead = self.load().queued.saturating_add(1);
        let wait = self.mean_runner_time.saturating_mul(ahead) / self.config.concurrency.max(1);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Queues a call, or returns the reason why it is refused and will never start.
    pub(crate) fn enqueue(&mut self, link: LinkId, job: &Arc<Job>) -> Result<(), Refusal> {
        if let Some(reason) = self.refusal_reason(job) {
            self.history.forbid(job.call, reason);
            return Err(reason);
        }
        let work = &job.work;
        let queue_key = self.queue.push(job.call, work.priority, work.remaining);
        let tracked = TrackedCall {
            gate: Gate::new(!work.repeatable),
            link,
            queue_key,
            repeatable: work.repeatable,
            output: job.output.clone(),
            job: Some(job.clone()),
        };
        self.calls.insert(job.call, tracked);
        Ok(())
    }

    fn refusal_reason(&self, job: &Job) -> Option<Refusal> {
        let full = self.slots_in_use >= self.config.concurrency
            && self.queue.len() >= self.config.max_queued;
        let forbidden = self.history.forbidden(job.call);
        forbidden
            .or(self.leaving.then_some(Refusal::Leaving))
            .or((job.work.service != self.config.service).then_some(Refusal::Misdirected))
            .or(full.then_some(Refusal::Full))
    }

    /// Gives free slots to queued calls.
    pub(crate) fn assign_slots(&mut self) -> Vec<Dispatch> {
        let mut dispatches = Vec::new();
        while self.slots_in_use < self.config.concurrency
            && let Some(call) = self.queue.pop()
        {
            let Some(tracked) = self.calls.get_mut(&call) else {
                continue;
            };
            let Some(job) = tracked.job.clone() else {
                continue;
            };
            match tracked.gate.on(Event::SlotFree) {
                Action::Ask => dispatches.push(Dispatch::RequestGrant(job)),
                Action::Start => dispatches.push(Dispatch::Start(job)),
                _ => continue,
            }
            self.slots_in_use += 1;
        }
        dispatches
    }

    /// Handles a grant; returns the job to start if the call was waiting for it.
    pub(crate) fn grant(&mut self, call: CallId) -> Option<Arc<Job>> {
        let tracked = self.calls.get_mut(&call)?;
        match tracked.gate.on(Event::Grant) {
            Action::Start => tracked.job.clone(),
            _ => None,
        }
    }

    /// Drops a call that has not started and forbids its start. Returns the buffer through which
    /// its entry can be notified.
    pub(crate) fn withdraw(
        &mut self,
        call: CallId,
        event: Event,
        reason: Refusal,
    ) -> Option<Arc<AnswerBuffer>> {
        let tracked = self.calls.get_mut(&call)?;
        let before = tracked.gate.state();
        if !matches!(tracked.gate.on(event), Action::Refuse | Action::Release) {
            return None;
        }
        match before {
            GateState::Queued => self.queue.remove(tracked.queue_key),
            _ => self.slots_in_use -= 1,
        }
        self.history.forbid(call, reason);
        self.calls.remove(&call).map(|tracked| tracked.output)
    }

    /// Returns a running call and whether it may be aborted.
    pub(crate) fn running(&self, call: CallId) -> Option<(Arc<Job>, bool)> {
        let tracked = self.calls.get(&call)?;
        let running = tracked.gate.state() == GateState::Running;
        let job = tracked.job.clone().filter(|_| running)?;
        Some((job, tracked.repeatable))
    }

    /// Whether a call still belongs to a link.
    pub(crate) fn belongs_to_link(&self, call: CallId, link: LinkId) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|tracked| tracked.link == link)
    }

    /// Removes a lost link and returns its calls. Their ends count as undelivered, since the frames
    /// that were sent last may not have arrived.
    pub(crate) fn remove_link(&mut self, link: LinkId) -> Vec<CallId> {
        self.links.remove(&link);
        let calls = self
            .calls
            .iter()
            .filter(|(_, tracked)| tracked.link == link);
        calls
            .map(|(call, tracked)| {
                tracked.output.mark_undelivered();
                *call
            })
            .collect()
    }

    /// Moves a started call's answer to a new link. A call that has not started is dropped, since
    /// its grant or the request for it may have been lost with the old link.
    pub(crate) fn recall(&mut self, call: CallId, link: LinkId) -> RecallResult {
        let reason = Refusal::Revoked;
        if self.withdraw(call, Event::Revoke, reason).is_some() {
            return RecallResult::Refused(reason);
        }
        if let Some(tracked) = self.calls.get_mut(&call) {
            tracked.link = link;
            return RecallResult::Answer(tracked.output.clone());
        }
        let reason = self.history.forbidden(call).unwrap_or(Refusal::Forgotten);
        self.history.forbid(call, reason);
        RecallResult::Refused(reason)
    }

    /// Releases a call's slot and, if the call has started, retains its answer of `bytes`.
    pub(crate) fn finish(&mut self, call: CallId, started: bool, bytes: usize, time: Duration) {
        self.slots_in_use -= 1;
        self.mean_runner_time =
            (self.mean_runner_time * MEAN_HISTORY_WEIGHT + time) / (MEAN_HISTORY_WEIGHT + 1);
        let Some(tracked) = self.calls.get_mut(&call) else {
            return;
        };
        tracked.gate.on(Event::Finished);
        tracked.job = None;
        if started {
            self.history.retain(call, tracked.repeatable, bytes);
        } else {
            self.calls.remove(&call);
            self.history.forbid(call, Refusal::Unreachable);
        }
        self.evict_expired();
    }

    /// Evicts ended answers that have expired or exceed the memory limit.
    pub(crate) fn evict_expired(&mut self) {
        while let Some(call) = self.history.evict() {
            self.calls.remove(&call);
        }
    }

    /// Refuses new calls from now on, and withdraws and returns those that have not started.
    pub(crate) fn begin_leaving(&mut self) -> Vec<(CallId, Arc<AnswerBuffer>)> {
        self.leaving = true;
        let calls: Vec<_> = self.calls.keys().copied().collect();
        let withdraw = |call| {
            self.withdraw(call, Event::Leave, Refusal::Leaving)
                .map(|output| (call, output))
        };
        calls.into_iter().filter_map(withdraw).collect()
    }

    /// Whether the answer of an unrepeatable call is still to be delivered to its entry.
    pub(crate) fn has_undelivered_answer(&self) -> bool {
        self.calls
            .values()
            .any(|tracked| !tracked.repeatable && !tracked.output.is_delivered())
    }

    /// Records that the call's entry needs nothing more of it.
    pub(crate) fn mark_not_needed(&self, call: CallId) {
        if let Some(tracked) = self.calls.get(&call) {
            tracked.output.mark_not_needed();
        }
    }

    /// Drops all links and calls.
    pub(crate) fn clear(&mut self) {
        self.links.clear();
        self.calls.clear();
    }
}
