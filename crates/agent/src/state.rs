//! What the agent knows of its calls; no I/O, so that a lock over it is held for a short time.

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

/// Number of a link in the agent's life.
pub(crate) type LinkId = u64;

/// Bounds of the time after which an entry may come back to a full agent.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Weight of the past in the mean time at the runner, against one for the latest call.
const MEAN_HISTORY_WEIGHT: u32 = 7;

/// One call that is held, asks, runs, or has ended and is kept for a recall.
#[derive(Debug)]
pub(crate) struct TrackedCall {
    gate: Gate,
    link: LinkId,
    queue_key: QueueKey,
    repeatable: bool,
    job: Option<Arc<Job>>,
    pub(crate) output: Arc<AnswerBuffer>,
}

/// A call that has been given a slot.
#[derive(Debug)]
pub(crate) enum Dispatch {
    /// Ask its entry for a grant.
    RequestGrant(Arc<Job>),
    /// Send it to the runner.
    Start(Arc<Job>),
}

/// What a recall finds.
#[derive(Debug)]
pub(crate) enum RecallResult {
    /// The call has started; this is its answer.
    Answer(Arc<AnswerBuffer>),
    /// There is no answer.
    Refused(Refusal),
}

/// Bounds from the settings.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) service: String,
    pub(crate) concurrency: u32,
    pub(crate) max_queued: usize,
    pub(crate) order: QueueOrder,
}

/// Calls of an agent.
#[derive(Debug)]
pub(crate) struct State {
    config: Config,
    calls: Map<CallId, TrackedCall>,
    queue: Queue,
    /// Slots in use by calls that ask or run.
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

    /// Takes a call into the queue, or says why not; it then never starts.
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

    /// Gives free slots to held calls.
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

    /// The entry lets a call start; nothing comes of it unless the call is asking.
    pub(crate) fn grant(&mut self, call: CallId) -> Option<Arc<Job>> {
        let tracked = self.calls.get_mut(&call)?;
        match tracked.gate.on(Event::Grant) {
            Action::Start => tracked.job.clone(),
            _ => None,
        }
    }

    /// Drops a call that has not started, for good, and gives its answer's way to the entry.
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

    /// A running call and whether it may be cut off.
    pub(crate) fn running(&self, call: CallId) -> Option<(Arc<Job>, bool)> {
        let tracked = self.calls.get(&call)?;
        let running = tracked.gate.state() == GateState::Running;
        let job = tracked.job.clone().filter(|_| running)?;
        Some((job, tracked.repeatable))
    }

    /// A call that still belongs to a link.
    pub(crate) fn belongs_to_link(&self, call: CallId, link: LinkId) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|tracked| tracked.link == link)
    }

    /// All calls of a lost link; what it was told last may not have arrived.
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

    /// Moves a started call's answer to a new link. A call that has not started is dropped: its
    /// question or its grant may have been lost with the old link.
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

    /// Gives a call's slot back and keeps its answer of `bytes`, if it has started.
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

    /// Forgets ended answers whose time is over.
    pub(crate) fn evict_expired(&mut self) {
        while let Some(call) = self.history.evict() {
            self.calls.remove(&call);
        }
    }

    /// Takes no new calls from now on and gives those back that have not started.
    pub(crate) fn begin_leaving(&mut self) -> Vec<(CallId, Arc<AnswerBuffer>)> {
        self.leaving = true;
        let calls: Vec<_> = self.calls.keys().copied().collect();
        let withdraw = |call| {
            self.withdraw(call, Event::Leave, Refusal::Leaving)
                .map(|output| (call, output))
        };
        calls.into_iter().filter_map(withdraw).collect()
    }

    /// Whether an answer that cannot be had again still waits for its entry to come back.
    pub(crate) fn has_undelivered_answer(&self) -> bool {
        self.calls
            .values()
            .any(|tracked| !tracked.repeatable && !tracked.output.is_delivered())
    }

    /// The call's entry needs nothing more of it.
    pub(crate) fn mark_not_needed(&self, call: CallId) {
        if let Some(tracked) = self.calls.get(&call) {
            tracked.output.mark_not_needed();
        }
    }

    /// Lets go of every link.
    pub(crate) fn clear(&mut self) {
        self.links.clear();
        self.calls.clear();
    }
}
