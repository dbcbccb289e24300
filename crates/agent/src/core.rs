//! The agent's calls and what happens to them.

use crate::answer::{self, End, Fault};
use crate::fence::{Guard, Order};
use crate::job::{self, Job};
use crate::output::Output;
use crate::runner::Runner;
use crate::state::{Bounds, Found, LinkId, State, Turn};
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

/// Longest wait for a grant. An entry that is alive but does not answer would otherwise hold a
/// slot of the runner for ever.
const GRANT: Duration = Duration::from_secs(5);
/// How long a repeatable call runs on after its link was lost, in case the entry comes back.
const RECALL: Duration = Duration::from_secs(5);
/// Time for the runner to end a cancelled call by itself before its connection is cut.
const CANCEL: Duration = Duration::from_secs(2);
/// How long a leaving agent waits for entries whose link was lost to fetch answers that cannot be
/// had again. Without it a payout that ended just before the leave would end as *unknown*.
const FETCH: Duration = Duration::from_secs(10);
/// Time between two looks at what is still to be fetched.
const FETCH_POLL: Duration = Duration::from_millis(20);

/// HTTP status for an order that finds too many before it, or an agent that leaves.
const BUSY: u16 = 503;

/// What all tasks of an agent share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) runner: Runner,
    pub(crate) telemetry: Telemetry,
    pub(crate) incarnation: Incarnation,
    /// Set once all work is over and links are to be closed.
    pub(crate) closing: CancellationToken,
    state: Mutex<State>,
    /// Calls at the runner and answers on their way to entries.
    pub(crate) work: TaskTracker,
    /// Way to the task that carries out orders; closed when the agent leaves.
    orders: Mutex<Option<mpsc::Sender<Order>>>,
    /// Way to ask the engine what it holds.
    guard: Guard<store::Client>,
    links: AtomicU64,
}

impl Core {
    pub(crate) fn new(
        runner: Runner,
        telemetry: Telemetry,
        incarnation: Incarnation,
        bounds: Bounds,
        orders: mpsc::Sender<Order>,
        guard: Guard<store::Client>,
    ) -> Self {
        Self {
            guard,
            orders: Mutex::new(Some(orders)),
            runner,
            telemetry,
            incarnation,
            closing: CancellationToken::new(),
            state: Mutex::new(State::new(bounds)),
            work: TaskTracker::new(),
            links: AtomicU64::new(0),
        }
    }

    /// A panic in another task leaves the state usable: each change under the lock is whole.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a new link.
    pub(crate) async fn join(&self, sender: &Sender) -> LinkId {
        let link = self.links.fetch_add(1, Ordering::Relaxed);
        let leaving = {
            let mut state = self.state();
            state.links.insert(link, sender.clone());
            state.leaving()
        };
        self.telemetry.links.inc();
        if leaving {
            let _ = sender.send(self.leave_frame()).await;
        }
        link
    }

    /// Drops what a lost link held. Running calls go on: those that may not be repeated to their
    /// end, the others until [`RECALL`] is over.
    pub(crate) fn lost(self: &Arc<Self>, link: LinkId) {
        let mut state = self.state();
        let mut orphans = Vec::new();
        for call in state.orphans(link) {
            let dropped = state.withdraw(call, Event::LinkLost, Refusal::Revoked);
            if dropped.is_none() && state.running(call).is_some_and(|(_, cut)| cut) {
                orphans.push(call);
            }
        }
        self.proceed(state);
        self.telemetry.links.dec();
        if !orphans.is_empty() {
            tokio::spawn(self.clone().abandon(link, orphans));
        }
    }

    async fn abandon(self: Arc<Self>, link: LinkId, orphans: Vec<CallId>) {
        sleep(RECALL).await;
        for call in orphans {
            if self.state().belongs(call, link) {
                self.stop(call);
            }
        }
    }

    /// Starts what has got a slot and shows the load.
    fn proceed(self: &Arc<Self>, mut state: MutexGuard<'_, State>) -> Load {
        let turns = state.turns();
        let load = state.load();
        drop(state);
        self.telemetry.queued.set(i64::from(load.queued));
        self.telemetry.running.set(i64::from(load.running));
        for turn in turns {
            match turn {
                Turn::Ask(job) => drop(tokio::spawn(self.clone().ask(job))),
                Turn::Start(job) => self.start(job),
            }
        }
        load
    }

    fn start(self: &Arc<Self>, job: Arc<Job>) {
        self.work.spawn(job::run(self.clone(), job));
    }

    async fn ask(self: Arc<Self>, job: Arc<Job>) {
        let call = job.call;
        job.output.send(Frame::Ask { call }).await;
        // The job holds the link, which a leaving agent could not close while this waits.
        drop(job);
        sleep(GRANT).await;
        self.revoke(call).await;
    }

    /// Takes an offered call in or refuses it.
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
            offered: Instant::now(),
            output: Arc::new(Output::new(call, first, sender.clone())),
            cut: CancellationToken::new(),
        });
        if let Err((reason, retry_after)) = self.admit(link, &job) {
            self.refuse(&job.output, call, reason, retry_after).await;
        }
    }

    fn admit(self: &Arc<Self>, link: LinkId, job: &Arc<Job>) -> Result<(), (Refusal, Duration)> {
        let mut state = self.state();
        if state.knows(job.call) {
            self.telemetry.duplicates.inc();
            return Ok(());
        }
        state.offer(link, job).map_err(|reason| match reason {
            Refusal::Full => (reason, state.retry_after()),
            _ => (reason, Duration::ZERO),
        })?;
        self.proceed(state);
        Ok(())
    }

    async fn refuse(&self, output: &Output, call: CallId, reason: Refusal, retry_after: Duration) {
        self.telemetry.refused(reason);
        let load = self.state().load();
        let refuse = Frame::Refuse {
            call,
            reason,
            retry_after,
            load,
        };
        output.send(refuse).await;
    }

    /// The entry lets a call start.
    pub(crate) fn grant(self: &Arc<Self>, call: CallId) {
        let granted = self.state().grant(call);
        match granted {
            Some(job) => self.start(job),
            None => drop(self.telemetry.strays.inc()),
        }
    }

    /// The entry forbids a call to start.
    pub(crate) fn deny(self: &Arc<Self>, call: CallId) {
        let mut state = self.state();
        if state.withdraw(call, Event::Deny, Refusal::Denied).is_none() {
            self.telemetry.strays.inc();
        }
        self.proceed(state);
    }

    /// Hands a call back unless it has started.
    pub(crate) async fn revoke(self: &Arc<Self>, call: CallId) {
        let output = {
            let mut state = self.state();
            let output = state.withdraw(call, Event::Revoke, Refusal::Revoked);
            self.proceed(state);
            output
        };
        if let Some(output) = output {
            self.refuse(&output, call, Refusal::Revoked, Duration::ZERO)
                .await;
        }
    }

    /// Hands a call back, or asks the runner to stop it.
    pub(crate) async fn cancel(self: &Arc<Self>, call: CallId) {
        self.state().taken(call);
        self.revoke(call).await;
        self.stop(call);
    }

    /// Asks the runner to stop a call. One that may not be repeated is never cut off: whether it
    /// took effect must still be learnt from its answer.
    fn stop(self: &Arc<Self>, call: CallId) {
        let Some((job, may_cut)) = self.state().running(call) else {
            return;
        };
        let core = self.clone();
        tokio::spawn(async move {
            // A runner that does not even answer this is cut off below, if it may be.
            let cancel = timeout(CANCEL, core.runner.cancel(call));
            let _ = tokio::join!(cancel, async {
                if may_cut {
                    sleep(CANCEL).await;
                    job.cut.cancel();
                }
            });
        });
    }

    /// Sends a call's answer again over a new link.
    pub(crate) async fn recall(
        self: &Arc<Self>,
        link: LinkId,
        sender: &Sender,
        call: CallId,
        from: Sequence,
    ) {
        self.telemetry.recalls.inc();
        let (found, load) = {
            let mut state = self.state();
            let found = state.recall(call, link);
            (found, self.proceed(state))
        };
        match found {
            Found::Answer(output) => {
                let sender = sender.clone();
                let again = async move { output.recall(from, sender, load).await };
                self.work.spawn(again);
            }
            Found::Nothing(reason) => {
                let output = Output::new(call, from, sender.clone());
                self.refuse(&output, call, reason, Duration::ZERO).await;
            }
        }
    }

    /// Gives a call's slot back and tells its entry how it ended.
    pub(crate) async fn finish(
        self: &Arc<Self>,
        job: &Job,
        end: Result<End, Fault>,
        time: Duration,
    ) {
        let started = !matches!(end, Ok(End::NotRun { .. }));
        let extra = match &end {
            Ok(End::Failed { body, .. }) => body.len(),
            _ => 0,
        };
        let load = {
            let mut state = self.state();
            state.finish(job.call, started, job.output.kept() + extra, time);
            self.proceed(state)
        };
        self.telemetry.ended(&end);
        let end = answer::frame(job, end, load);
        job.output.end(end).await;
    }

    /// Passes an order on to the task that carries them out.
    pub(crate) async fn order(&self, fence: protocol::FencingToken, body: Bytes, sender: &Sender) {
        let order = Order {
            fence,
            body,
            link: sender.clone(),
        };
        let queue = self.orders().clone();
        let queued = queue.is_some_and(|queue| queue.try_send(order).is_ok());
        if !queued {
            let status = BUSY;
            let body = Bytes::new();
            let _ = sender.send(Frame::OrderDone { status, body }).await;
        }
    }

    /// Tells an entry what the engine holds.
    pub(crate) fn query(
        &self,
        number: u64,
        fence: Option<protocol::FencingToken>,
        wanted: Vec<String>,
        sender: &Sender,
    ) {
        self.guard.engine.want(wanted);
        let (guard, sender) = (self.guard.clone(), sender.clone());
        tokio::spawn(async move {
            let models = guard.ask(fence).await;
            // An entry whose link is gone asks again over the next one.
            let _ = sender.send(Frame::Models { number, models }).await;
        });
    }

    fn orders(&self) -> MutexGuard<'_, Option<mpsc::Sender<Order>>> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets ended answers in time, also while no call ends.
    pub(crate) async fn sweep(self: Arc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            self.state().evict();
        }
    }

    /// Waits until entries have fetched all answers that cannot be had again.
    async fn wait_for_recalls(&self) {
        while self.state().awaits_recall() {
            sleep(FETCH_POLL).await;
        }
    }

    fn leave_frame(&self) -> Frame {
        Frame::Leave {
            incarnation: self.incarnation,
        }
    }

    /// Tells all entries, hands back what has not started, and waits for what runs.
    pub(crate) async fn leave(&self) {
        let (back, links) = {
            let mut state = self.state();
            (state.leave(), state.links.values().cloned().collect())
        };
        let links: Vec<Sender> = links;
        join_all(links.iter().map(|link| link.send(self.leave_frame()))).await;
        let refusals = back
            .iter()
            .map(|(call, output)| self.refuse(output, *call, Refusal::Leaving, Duration::ZERO));
        join_all(refusals).await;
        self.orders().take();
        self.work.close();
        self.work.wait().await;
        let _ = timeout(FETCH, self.wait_for_recalls()).await;
        self.work.wait().await;
        let links: Vec<Sender> = self.state().links.values().cloned().collect();
        join_all(links.iter().map(Sender::flush)).await;
        self.state().close();
        self.closing.cancel();
    }
}
