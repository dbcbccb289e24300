//! Life cycle of the agent's calls: offer, grant, run, recall, cancel and shutdown.

use crate::answer::{self, AnswerError, RunOutcome};
use crate::fence::{EngineOrder, FencedEngine};
use crate::job::{self, Job};
use crate::output::AnswerBuffer;
use crate::runner::Runner;
use crate::state::{Config, Dispatch, LinkId, RecallResult, State};
use crate::telemetry::Telemetry;
use bytes::Bytes;
use futures::future::join_all;
use protocol::gate::Event;
use protocol::{CallId, Incarnation, Sequence};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::{Frame, Load, Refusal, Sender, Work};

/// Longest wait for a grant. Without it, an entry that is alive but does not answer would occupy a
/// slot of the runner indefinitely.
const GRANT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a repeatable call keeps running after its link was lost, in case the entry reconnects.
const RECALL_GRACE_PERIOD: Duration = Duration::from_secs(5);
/// Time for the runner to end a cancelled call by itself before its connection is closed.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an agent that shuts down waits for entries whose link was lost to fetch the answers of
/// unrepeatable calls. Without this wait, a payout that ended just before the shutdown would be
/// reported as *unknown*.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks for answers that are still to be fetched.
const FETCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// HTTP status for an order that finds the queue full or the agent shutting down.
const SERVICE_UNAVAILABLE: u16 = 503;

/// State that all tasks of an agent share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) runner: Runner,
    pub(crate) telemetry: Telemetry,
    pub(crate) incarnation: Incarnation,
    /// Cancelled once all work is finished and the links are to be closed.
    pub(crate) closing: CancellationToken,
    state: Mutex<State>,
    /// Tracks the calls at the runner and the answers that are being sent to entries.
    pub(crate) work: TaskTracker,
    /// Queue of the task that executes orders; `None` once the agent shuts down.
    orders: Mutex<Option<mpsc::Sender<EngineOrder>>>,
    /// Reports which models the engine has loaded.
    engine: FencedEngine<store::Client>,
    next_link: AtomicU64,
}

impl Core {
    pub(crate) fn new(
        runner: Runner,
        telemetry: Telemetry,
        incarnation: Incarnation,
        config: Config,
        orders: mpsc::Sender<EngineOrder>,
        engine: FencedEngine<store::Client>,
    ) -> Self {
        Self {
            engine,
            orders: Mutex::new(Some(orders)),
            runner,
            telemetry,
            incarnation,
            closing: CancellationToken::new(),
            state: Mutex::new(State::new(config)),
            work: TaskTracker::new(),
            next_link: AtomicU64::new(0),
        }
    }

    /// Ignores lock poisoning: each change under the lock is complete, so that a panic in another
    /// task leaves the state usable.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a new link and tells its entry if the agent is shutting down.
    pub(crate) async fn add_link(&self, sender: &Sender) -> LinkId {
        let link = self.next_link.fetch_add(1, Ordering::Relaxed);
        let leaving = {
            let mut state = self.state();
            state.links.insert(link, sender.clone());
            state.is_leaving()
        };
        self.telemetry.links.inc();
        if leaving {
            let _ = sender.send(self.leave_frame()).await;
        }
        link
    }

    /// Drops the calls of a lost link that have not started. Running calls continue: unrepeatable
    /// ones until they end, repeatable ones until [`RECALL_GRACE_PERIOD`] has passed.
    pub(crate) fn remove_link(self: &Arc<Self>, link: LinkId) {
        let mut state = self.state();
        let mut calls = Vec::new();
        for call in state.remove_link(link) {
            let dropped = state.withdraw(call, Event::LinkLost, Refusal::Revoked);
            if dropped.is_none() && state.running(call).is_some_and(|(_, may_abort)| may_abort) {
                calls.push(call);
            }
        }
        self.dispatch(state);
        self.telemetry.links.dec();
        if !calls.is_empty() {
            tokio::spawn(self.clone().stop_orphans(link, calls));
        }
    }

    async fn stop_orphans(self: Arc<Self>, link: LinkId, calls: Vec<CallId>) {
        sleep(RECALL_GRACE_PERIOD).await;
        for call in calls {
            if self.state().belongs_to_link(call, link) {
                self.stop(call);
            }
        }
    }

    /// Gives free slots to queued calls, starts them, and returns the load.
    fn dispatch(self: &Arc<Self>, mut state: MutexGuard<'_, State>) -> Load {
        let dispatches = state.assign_slots();
        let load = state.load();
        drop(state);
        self.telemetry.queued.set(i64::from(load.queued));
        self.telemetry.running.set(i64::from(load.running));
        for dispatch in dispatches {
            match dispatch {
                Dispatch::RequestGrant(job) => drop(tokio::spawn(self.clone().request_grant(job))),
                Dispatch::Start(job) => self.start(job),
            }
        }
        load
    }

    fn start(self: &Arc<Self>, job: Arc<Job>) {
        self.work.spawn(job::run(self.clone(), job));
    }

    async fn request_grant(self: Arc<Self>, job: Arc<Job>) {
        let call = job.call;
        job.output.send(Frame::Ask { call }).await;
        // The job keeps the link open, and an agent that shuts down could not close it during the
        // wait below.
        drop(job);
        sleep(GRANT_TIMEOUT).await;
        self.revoke(call).await;
    }

    /// Queues or refuses an offered call.
    pub(crate) async fn offer(
        self: &Arc<Self>,
        link: LinkId,
        sender: &Sender,
        call: CallId,
        work: Box<Work>,
    ) {
        self.telemetry.offers.inc();
        let first = if work.stream { work.resume } else { 0 };
        let job = Arc::new(Job {
            call,
            work,
            offered_at: Instant::now(),
            output: Arc::new(AnswerBuffer::new(call, first, sender.clone())),
            abort: CancellationToken::new(),
        });
        if let Err((reason, retry_after)) = self.admit(link, &job) {
            self.refuse(&job.output, call, reason, retry_after).await;
        }
    }

    fn admit(self: &Arc<Self>, link: LinkId, job: &Arc<Job>) -> Result<(), (Refusal, Duration)> {
        let mut state = self.state();
        if state.contains(job.call) {
            self.telemetry.duplicates.inc();
            return Ok(());
        }
        state.enqueue(link, job).map_err(|reason| match reason {
            Refusal::Full => (reason, state.retry_after()),
            _ => (reason, Duration::ZERO),
        })?;
        self.dispatch(state);
        Ok(())
    }

    async fn refuse(
        &self,
        output: &AnswerBuffer,
        call: CallId,
        reason: Refusal,
        retry_after: Duration,
    ) {
        self.telemetry.count_refusal(reason);
        let load = self.state().load();
        let refuse = Frame::Refuse {
            call,
            reason,
            retry_after,
            load,
        };
        output.send(refuse).await;
    }

    /// Starts a call whose grant has arrived.
    pub(crate) fn grant(self: &Arc<Self>, call: CallId) {
        let granted = self.state().grant(call);
        match granted {
            Some(job) => self.start(job),
            None => drop(self.telemetry.strays.inc()),
        }
    }

    /// Drops a call whose grant the entry has denied.
    pub(crate) fn deny(self: &Arc<Self>, call: CallId) {
        let mut state = self.state();
        if state.withdraw(call, Event::Deny, Refusal::Denied).is_none() {
            self.telemetry.strays.inc();
        }
        self.dispatch(state);
    }

    /// Refuses a call unless it has started.
    pub(crate) async fn revoke(self: &Arc<Self>, call: CallId) {
        let output = {
            let mut state = self.state();
            let output = state.withdraw(call, Event::Revoke, Refusal::Revoked);
            self.dispatch(state);
            output
        };
        if let Some(output) = output {
            self.refuse(&output, call, Refusal::Revoked, Duration::ZERO)
                .await;
        }
    }

    /// Refuses a call that has not started, or asks the runner to stop it.
    pub(crate) async fn cancel(self: &Arc<Self>, call: CallId) {
        self.state().mark_not_needed(call);
        self.revoke(call).await;
        self.stop(call);
    }

    /// Asks the runner to stop a call. An unrepeatable call is never aborted, since only its answer
    /// tells whether it took effect.
    fn stop(self: &Arc<Self>, call: CallId) {
        let Some((job, may_abort)) = self.state().running(call) else {
            return;
        };
        let core = self.clone();
        tokio::spawn(async move {
            // If the runner does not respond to this, the call is aborted below, if it may be.
            let cancel = timeout(CANCEL_TIMEOUT, core.runner.cancel(call));
            let _ = tokio::join!(cancel, async {
                if may_abort {
                    sleep(CANCEL_TIMEOUT).await;
                    job.abort.cancel();
                }
            });
        });
    }

    /// Resends a call's answer over a new link.
    pub(crate) async fn recall(
        self: &Arc<Self>,
        link: LinkId,
        sender: &Sender,
        call: CallId,
        from: Sequence,
    ) {
        self.telemetry.recalls.inc();
        let (result, load) = {
            let mut state = self.state();
            let result = state.recall(call, link);
            (result, self.dispatch(state))
        };
        match result {
            RecallResult::Answer(output) => {
                let sender = sender.clone();
                let resend = async move { output.resend(from, sender, load).await };
                self.work.spawn(resend);
            }
            RecallResult::Refused(reason) => {
                let output = AnswerBuffer::new(call, from, sender.clone());
                self.refuse(&output, call, reason, Duration::ZERO).await;
            }
        }
    }

    /// Releases a call's slot and tells its entry how the call ended.
    pub(crate) async fn finish(
        self: &Arc<Self>,
        job: &Job,
        outcome: Result<RunOutcome, AnswerError>,
        time: Duration,
    ) {
        let started = !matches!(outcome, Ok(RunOutcome::NotRun { .. }));
        let error_bytes = match &outcome {
            Ok(RunOutcome::Failed { body, .. }) => body.len(),
            _ => 0,
        };
        let load = {
            let mut state = self.state();
            state.finish(
                job.call,
                started,
                job.output.kept_bytes() + error_bytes,
                time,
            );
            self.dispatch(state)
        };
        self.telemetry.count_outcome(&outcome);
        let end = answer::end_frame(job, outcome, load);
        job.output.finish(end).await;
    }

    /// Passes an order to the task that executes orders.
    pub(crate) async fn enqueue_order(
        &self,
        fence: protocol::FencingToken,
        body: Bytes,
        sender: &Sender,
    ) {
        let order = EngineOrder {
            fence,
            body,
            link: sender.clone(),
        };
        let queue = self.orders().clone();
        let queued = queue.is_some_and(|queue| queue.try_send(order).is_ok());
        if !queued {
            let status = SERVICE_UNAVAILABLE;
            let body = Bytes::new();
            let _ = sender.send(Frame::OrderDone { status, body }).await;
        }
    }

    /// Tells an entry which models the engine has loaded.
    pub(crate) fn answer_query(
        &self,
        number: u64,
        fence: Option<protocol::FencingToken>,
        wanted: Vec<String>,
        sender: &Sender,
    ) {
        self.engine.state.record_wanted(wanted);
        let (engine, sender) = (self.engine.clone(), sender.clone());
        tokio::spawn(async move {
            let models = engine.models(fence).await;
            // An entry whose link was lost repeats its query over the next one.
            let _ = sender.send(Frame::Models { number, models }).await;
        });
    }

    fn orders(&self) -> MutexGuard<'_, Option<mpsc::Sender<EngineOrder>>> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Evicts expired answers every second; otherwise only the end of a call would evict them.
    pub(crate) async fn evict_periodically(self: Arc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            self.state().evict_expired();
        }
    }

    /// Waits until entries have fetched the answers of all unrepeatable calls.
    async fn wait_for_fetches(&self) {
        while self.state().has_undelivered_answer() {
            sleep(FETCH_POLL_INTERVAL).await;
        }
    }

    fn leave_frame(&self) -> Frame {
        Frame::Leave {
            incarnation: self.incarnation,
        }
    }

    /// Notifies all entries, refuses the calls that have not started, and waits for running calls.
    pub(crate) async fn shut_down(&self) {
        let (withdrawn, links) = {
            let mut state = self.state();
            (
                state.begin_leaving(),
                state.links.values().cloned().collect(),
            )
        };
        let links: Vec<Sender> = links;
        join_all(links.iter().map(|link| link.send(self.leave_frame()))).await;
        let refusals = withdrawn
            .iter()
            .map(|(call, output)| self.refuse(output, *call, Refusal::Leaving, Duration::ZERO));
        join_all(refusals).await;
        self.orders().take();
        self.work.close();
        self.work.wait().await;
        let _ = timeout(FETCH_TIMEOUT, self.wait_for_fetches()).await;
        self.work.wait().await;
        let links: Vec<Sender> = self.state().links.values().cloned().collect();
        join_all(links.iter().map(Sender::flush)).await;
        self.state().clear();
        self.closing.cancel();
    }
}
