//! What the agent knows of its calls; no I/O, so that a lock over it is held for a short time.

use crate::job::Job;
use crate::memory::Memory;
use crate::output::Output;
use crate::queue::{Order, Place, Queue};
use protocol::CallId;
use protocol::gate::{Action, Event, Gate, State as GateState};
use record::Map;
use std::sync::Arc;
use std::time::Duration;
use wire::{Load, Refusal, Sender};

/// Number of a link in the agent's life.
pub(crate) type LinkId = u64;

/// Bounds of the time after which an entry may come back to a full agent.
const RETRY_MIN: Duration = Duration::from_millis(50);
const RETRY_MAX: Duration = Duration::from_secs(10);
/// Weight of the past in the mean time at the runner, against one for the latest call.
const MEMORY_OF_MEAN: u32 = 7;

/// One call that is held, asks, runs, or has ended and is kept for a recall.
#[derive(Debug)]
pub(crate) struct Tracked {
    gate: Gate,
    link: LinkId,
    place: Place,
    repeatable: bool,
    job: Option<Arc<Job>>,
    pub(crate) output: Arc<Output>,
}

/// A call that has been given a slot.
#[derive(Debug)]
pub(crate) enum Turn {
    /// Ask its entry for a grant.
    Ask(Arc<Job>),
    /// Send it to the runner.
    Start(Arc<Job>),
}

/// What a recall finds.
#[derive(Debug)]
pub(crate) enum Found {
    /// The call has started; this is its answer.
    Answer(Arc<Output>),
    /// There is no answer.
    Nothing(Refusal),
}

/// Bounds from the settings.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    pub(crate) service: String,
    pub(crate) concurrency: u32,
    pub(crate) queue: usize,
    pub(crate) order: Order,
}

/// Calls of an agent.
#[derive(Debug)]
pub(crate) struct State {
    bounds: Bounds,
    calls: Map<CallId, Tracked>,
    queue: Queue,
    /// Slots in use by calls that ask or run.
    taken: u32,
    mean: Duration,
    leaving: bool,
    memory: Memory,
    pub(crate) links: Map<LinkId, Sender>,
}

impl State {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            queue: Queue::new(bounds.order),
            bounds,
            calls: Map::default(),
            taken: 0,
            mean: Duration::ZERO,
            leaving: false,
            memory: Memory::default(),
            links: Map::default(),
        }
    }

    pub(crate) fn leaving(&self) -> bool {
        self.leaving
    }

    pub(crate) fn knows(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    pub(crate) fn load(&self) -> Load {
        Load {
            queued: self.queue.len().try_into().unwrap_or(u32::MAX),
            running: self.taken,
            limit: self.bounds.concurrency,
            ..Load::default()
        }
    }

    /// Time after which a slot for one more call is likely.
    pub(crate) fn retry_after(&self) -> Duration {
        let ahead = self.load().queued.saturating_add(1);
        let wait = self.mean.saturating_mul(ahead) / self.bounds.concurrency.max(1);
        wait.clamp(RETRY_MIN, RETRY_MAX)
    }

    /// Takes a call into the queue, or says why not; it then never starts.
    pub(crate) fn offer(&mut self, link: LinkId, job: &Arc<Job>) -> Result<(), Refusal> {
        if let Some(why) = self.refusal(job) {
            self.memory.bar(job.call, why);
            return Err(why);
        }
        let work = &job.work;
        let place = self.queue.push(job.call, work.priority, work.remaining);
        let tracked = Tracked {
            gate: Gate::new(!work.repeatable),
            link,
            place,
            repeatable: work.repeatable,
            output: job.output.clone(),
            job: Some(job.clone()),
        };
        self.calls.insert(job.call, tracked);
        Ok(())
    }

    fn refusal(&self, job: &Job) -> Option<Refusal> {
        let full = self.taken >= self.bounds.concurrency && self.queue.len() >= self.bounds.queue;
        let barred = self.memory.barred(job.call);
        barred
            .or(self.leaving.then_some(Refusal::Leaving))
            .or((job.work.service != self.bounds.service).then_some(Refusal::Misdirected))
            .or(full.then_some(Refusal::Full))
    }

    /// Gives free slots to held calls.
    pub(crate) fn turns(&mut self) -> Vec<Turn> {
        let mut turns = Vec::new();
        while self.taken < self.bounds.concurrency
            && let Some(call) = self.queue.pop()
        {
            let Some(tracked) = self.calls.get_mut(&call) else {
                continue;
            };
            let Some(job) = tracked.job.clone() else {
                continue;
            };
            match tracked.gate.on(Event::SlotFree) {
                Action::Ask => turns.push(Turn::Ask(job)),
                Action::Start => turns.push(Turn::Start(job)),
                _ => continue,
            }
            self.taken += 1;
        }
        turns
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
        why: Refusal,
    ) -> Option<Arc<Output>> {
        let tracked = self.calls.get_mut(&call)?;
        let before = tracked.gate.state();
        if !matches!(tracked.gate.on(event), Action::Refuse | Action::Release) {
            return None;
        }
        match before {
            GateState::Queued => self.queue.remove(tracked.place),
            _ => self.taken -= 1,
        }
        self.memory.bar(call, why);
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
    pub(crate) fn belongs(&self, call: CallId, link: LinkId) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|tracked| tracked.link == link)
    }

    /// All calls of a lost link; what it was told last may not have arrived.
    pub(crate) fn orphans(&mut self, link: LinkId) -> Vec<CallId> {
        self.links.remove(&link);
        let own = self
            .calls
            .iter()
            .filter(|(_, tracked)| tracked.link == link);
        own.map(|(call, tracked)| {
            tracked.output.mark_undelivered();
            *call
        })
        .collect()
    }

    /// Moves a started call's answer to a new link. A call that has not started is dropped: its
    /// question or its grant may have been lost with the old link.
    pub(crate) fn recall(&mut self, call: CallId, link: LinkId) -> Found {
        let why = Refusal::Revoked;
        if self.withdraw(call, Event::Revoke, why).is_some() {
            return Found::Nothing(why);
        }
        if let Some(tracked) = self.calls.get_mut(&call) {
            tracked.link = link;
            return Found::Answer(tracked.output.clone());
        }
        let why = self.memory.barred(call).unwrap_or(Refusal::Forgotten);
        self.memory.bar(call, why);
        Found::Nothing(why)
    }

    /// Gives a call's slot back and keeps its answer of `bytes`, if it has started.
    pub(crate) fn finish(&mut self, call: CallId, started: bool, bytes: usize, time: Duration) {
        self.taken -= 1;
        self.mean = (self.mean * MEMORY_OF_MEAN + time) / (MEMORY_OF_MEAN + 1);
        let Some(tracked) = self.calls.get_mut(&call) else {
            return;
        };
        tracked.gate.on(Event::Finished);
        tracked.job = None;
        if started {
            self.memory.keep(call, tracked.repeatable, bytes);
        } else {
            self.calls.remove(&call);
            self.memory.bar(call, Refusal::Unreachable);
        }
        self.evict();
    }

    /// Forgets ended answers whose time is over.
    pub(crate) fn evict(&mut self) {
        while let Some(call) = self.memory.evict() {
            self.calls.remove(&call);
        }
    }

    /// Takes no new calls from now on and gives those back that have not started.
    pub(crate) fn leave(&mut self) -> Vec<(CallId, Arc<Output>)> {
        self.leaving = true;
        let calls: Vec<_> = self.calls.keys().copied().collect();
        let back = |call| {
            self.withdraw(call, Event::Leave, Refusal::Leaving)
                .map(|output| (call, output))
        };
        calls.into_iter().filter_map(back).collect()
    }

    /// Whether an answer that cannot be had again still waits for its entry to come back.
    pub(crate) fn awaits_recall(&self) -> bool {
        self.calls
            .values()
            .any(|tracked| !tracked.repeatable && !tracked.output.delivered())
    }

    /// The call's entry needs nothing more of it.
    pub(crate) fn taken(&self, call: CallId) {
        if let Some(tracked) = self.calls.get(&call) {
            tracked.output.mark_taken();
        }
    }

    /// Lets go of every link.
    pub(crate) fn close(&mut self) {
        self.links.clear();
        self.calls.clear();
    }
}
