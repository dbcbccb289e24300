//! Batches the pieces of stages into calls to the runners of stage services.
//!
//! A runner has one call in progress at a time for each of its slots. Pieces wait here until a
//! runner is free, rather than in the runner's queue, so that they can still join a larger call, be
//! reordered or be cancelled.

mod absent;
mod batch_call;
mod cell_list;
mod outcome;
mod partition;
mod pending;
mod release;
mod runner_state;
mod select;
mod state;
mod suspect;
mod unsettled;

use crate::configuration::{BatchSettings, LAST_RANK, Rank, ServiceId};
use crate::core::{Relay, lock};
use crate::downstream::{BatchReply, Downstream, Failure, Handle, NotRun, PieceOutcome, Source};
use crate::notice::Unobserved;
use crate::request::{ContentId, RequestId};
use crate::runner::{DomainId, Runner};
use crate::telemetry::millis;
use batch_call::BatchCall;
pub use cell_list::CellList;
use decide::bound::MAX_PIECES;
use release::notify_runner;
pub(crate) use release::{RELEASE_DELAY, release};
use serde::{Deserialize, Serialize};
use setting::Policy;
use slog::{info, warn};
use snafu::Snafu;
use state::State;
use std::marker::PhantomData;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use unsettled::UnsettledCall;

/// A partition of the runners of a stage service, for which one process forms the batches. A
/// process that formed the batches of all runners of a large service would need more CPU time than
/// a small VM has.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Service of the runners.
    pub service: ServiceId,
    /// Index among the cells of the service.
    pub index: usize,
}

/// Time after which a runner has fetched the inputs of a call that was sent to it. It fetches them
/// before it starts processing. The 17 MB of a full call take 14 ms at 10 Gbit/s, and several calls
/// fetch at the same time.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(60);

/// Maximum number of runners in a cell. At 8 pieces and 0.37 s per call, eight runners process 175
/// pieces per second in 22 calls, which takes a few hundredths of a core. Larger cells hardly
/// improve the batching.
const MAX_CELL_RUNNERS: usize = 8;

impl Cell {
    /// The first cell of a service; every service has one.
    #[must_use]
    pub fn first(service: &ServiceId) -> Self {
        Self {
            service: service.clone(),
            index: 0,
        }
    }

    /// Partitions the runners of a service into cells. All processes that know the same runners
    /// form the same cells, and the runners of a failure domain are mostly in one cell.
    #[must_use]
    pub fn all(service: &ServiceId, runners: &[Arc<Runner>]) -> Vec<CellRunners> {
        let form = |(index, runners): (usize, Vec<Arc<Runner>>)| {
            let mut domains: Vec<DomainId> =
                runners.iter().map(|runner| runner.domain.clone()).collect();
            domains.dedup();
            let cell = Self {
                service: service.clone(),
                index,
            };
            CellRunners {
                cell,
                runners,
                domains,
            }
        };
        let parts = partition::partition(runners).into_iter().enumerate();
        parts.map(form).collect()
    }

    /// Key by which the owner of the cell is chosen.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}/{}", self.service, self.index)
    }
}

/// A cell with its runners.
#[derive(Clone, Debug)]
pub struct CellRunners {
    /// The cell.
    pub cell: Cell,
    /// Runners of the cell.
    pub runners: Vec<Arc<Runner>>,
    /// Failure domains of the runners.
    pub domains: Vec<DomainId>,
}

impl CellRunners {
    /// Whether one of the runners is in this failure domain.
    #[must_use]
    pub fn is_near(&self, domain: &str) -> bool {
        self.domains.iter().any(|there| **there == *domain)
    }
}

/// Why results are released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseKind {
    /// A call has fetched the results. Until that call ends, they are dropped only where their room
    /// is needed.
    Fetched,
    /// The results are no longer needed.
    Over,
}

/// Results of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Results {
    /// The cell.
    pub cell: Cell,
    /// Handles of the results.
    pub handles: Vec<Handle>,
}

/// An order for the pieces of one stage of one request.
#[derive(Clone, Debug)]
pub struct Order {
    /// Request id.
    pub id: RequestId,
    /// Index of the stage in the route.
    pub stage: usize,
    /// Number of pieces.
    pub pieces: u32,
    /// Input of the pieces.
    pub source: Source,
    /// Inputs that nothing else needs.
    pub inputs: Vec<Results>,
    /// Size of one result in bytes.
    pub result_bytes: u64,
    /// When the pieces must be done for the request to be on time.
    pub due: Instant,
    /// When the pieces become useless.
    pub expires_at: Instant,
    /// Priority.
    pub rank: Rank,
    /// Failure domain where the pieces are best processed, if it is known.
    pub domain: Option<DomainId>,
    /// How long the pieces wait for a runner in that domain.
    pub max_domain_wait: Duration,
    /// Content id of the request's stage.
    pub content: ContentId,
    /// Whether the pieces are sent to a runner although the request is quarantined, to find out
    /// whether it still should be.
    pub trial: bool,
}

/// Expected times until pieces are done, by the rank of their request. Urgent pieces go ahead of
/// those that already wait.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitEstimates(Vec<Duration>);

impl WaitEstimates {
    /// Computes the time for each rank.
    pub fn new(wait: impl FnMut(Rank) -> Duration) -> Self {
        Self((0..=LAST_RANK).map(wait).collect())
    }

    /// Expected time for a rank.
    #[must_use]
    pub fn of(&self, rank: Rank) -> Duration {
        let rank = usize::from(rank.min(LAST_RANK));
        self.0.get(rank).copied().unwrap_or_default()
    }
}

/// Why the pieces of a stage were not processed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum StageError {
    /// The pieces could not be processed in time.
    #[snafu(display("pieces cannot be processed in time"))]
    Late,
    /// An input no longer exists and has to be recomputed first.
    #[snafu(display("input result no longer exists"))]
    InputGone,
    /// Runners failed, and the retry budget is exhausted.
    #[snafu(display("runners failed and the retry budget is exhausted"))]
    Failed,
    /// The process that serves the request is shutting down.
    #[snafu(display("process is shutting down"))]
    Ending,
    /// No runner of the service accepts work.
    #[snafu(display("no runner accepts work"))]
    NoRunner,
    /// Runners exited while processing the pieces.
    #[snafu(display("quarantined: runners exited while processing these pieces"))]
    Poison,
}

/// Outcome of an order: the results, in the order of the pieces.
pub type Outcome = Result<Vec<Handle>, StageError>;

/// Forms the calls to the runners of one cell.
#[derive(Debug)]
pub struct Batcher<D> {
    cell: Cell,
    state: Mutex<State>,
    downstream: PhantomData<fn() -> D>,
}

impl<D: Downstream> Batcher<D> {
    /// Creates a batcher without calls.
    #[must_use]
    pub fn new(cell: Cell) -> Self {
        Self {
            cell,
            state: Mutex::default(),
            downstream: PhantomData,
        }
    }

    /// Queues the pieces of an order.
    pub fn submit(
        self: &Arc<Self>,
        relay: &Arc<Relay<D>>,
        order: Order,
    ) -> oneshot::Receiver<Outcome> {
        let (reply, outcome) = oneshot::channel();
        let Some(batches) = relay.batches(&self.cell.service) else {
            let _ = reply.send(Err(StageError::NoRunner));
            return outcome;
        };
        if order.pieces > MAX_PIECES {
            warn!(relay.log, "too many pieces"; "request" => &*order.id, "pieces" => order.pieces);
            let _ = reply.send(Err(StageError::Failed));
            return outcome;
        }
        let mut state = lock(&self.state);
        if state.is_empty() {
            let _ = reply.send(Err(StageError::NoRunner));
            return outcome;
        }
        state.enqueue(relay, batches, order, reply);
        drop(state);
        self.dispatch(relay);
        outcome
    }

    /// Updates the set of runners that accept work.
    pub fn refresh(&self, relay: &Relay<D>) {
        let cells = relay.cells(&self.cell.service);
        let cell = cells.get(self.cell.index);
        let runners = cell.map(|cell| cell.runners.clone());
        let is_listed = |address| relay.fleet(|fleet| fleet.at(&address).is_some()) == Some(true);
        let released = lock(&self.state).refresh(runners.unwrap_or_default(), is_listed);
        for (runner, results) in released {
            let (downstream, log) = (relay.downstream.clone(), relay.log.clone());
            tokio::spawn(async move {
                notify_runner(&downstream, &log, &runner, results, &Unobserved).await;
            });
        }
    }

    /// Records results that occupy room and were computed before this process owned the cell.
    pub fn record_results(&self, relay: &Relay<D>, results: &[(Handle, u64)]) {
        let mut state = lock(&self.state);
        let keep = relay.batches(&self.cell.service);
        let expires_at = Instant::now() + keep.map_or(Duration::ZERO, |batches| batches.keep);
        for (handle, bytes) in results {
            if let Some(address) = relay.downstream.holder(handle) {
                state.record_result(address, handle, *bytes, expires_at);
            }
        }
    }

    /// Records how many times longer than usual work takes at a runner according to the runner.
    pub(crate) fn record_slowness(&self, runner: &Runner, slowness: f64) {
        lock(&self.state).record_slowness(&runner.id, slowness);
    }

    /// Expected times until pieces that arrive now are done.
    pub fn expected(&self, relay: &Relay<D>, batches: &BatchSettings) -> Option<WaitEstimates> {
        lock(&self.state).expected(relay.started(), batches)
    }

    /// Starts calls while pieces wait and a runner is free.
    pub(crate) fn dispatch(self: &Arc<Self>, relay: &Arc<Relay<D>>) {
        let Some(batches) = relay.batches(&self.cell.service) else {
            return;
        };
        loop {
            let batch_call = lock(&self.state).next_call(relay, &self.cell.service, batches);
            let Some(batch_call) = batch_call else { break };
            relay.telemetry.batch(batch_call.items.len());
            tokio::spawn(self.clone().execute(relay.clone(), batch_call));
        }
        // Orders that have expired may have left results.
        self.schedule_release(relay);
        self.schedule_dispatch(relay);
    }

    /// Sends one call and distributes the outcomes of its pieces.
    async fn execute(self: Arc<Self>, relay: Arc<Relay<D>>, mut batch_call: BatchCall) {
        let started_at = Instant::now();
        let runner = batch_call.runner.clone();
        let released = std::mem::take(&mut batch_call.released);
        let items = std::mem::take(&mut batch_call.items);
        let count = items.len();
        let batch_call = Arc::new(batch_call);
        let unsettled =
            UnsettledCall::new(self.clone(), relay.clone(), batch_call.clone(), started_at);
        let releasing = release(relay.clone(), runner.clone(), released);
        if batch_call.release_first {
            releasing.await;
        } else {
            tokio::spawn(releasing);
        }
        let (waited, age) = (started_at.elapsed(), relay.runner_list_age());
        let observer = relay.observer(&runner);
        let timeout = batch_call.timeout();
        let running = relay
            .downstream
            .run_batch(&runner, items, timeout, &observer);
        let result = self
            .release_inputs_when_fetched(&relay, &batch_call, running)
            .await;
        let elapsed = started_at.elapsed();
        if let Err(failure) = &result {
            suspect::record_failure(&relay, &batch_call, started_at, failure).await;
        }
        let spacing = asked_spacing(&result);
        let result = result.map(|batch| batch.outcomes);
        info!(relay.log, "stage call";
            "service" => &*self.cell.service, "runner" => &*runner.id, "pieces" => count,
            "requests" => self.requests(&batch_call), "isolated" => batch_call.isolated,
            "expected_ms" => millis(batch_call.expected), "took_ms" => millis(elapsed),
            "waited_ms" => millis(waited), "runners_age_ms" => age.map(millis),
            "one_in_ms" => spacing.map(millis),
            "outcome" => result.as_ref().map_or_else(ToString::to_string, |outcomes| describe_outcomes(outcomes)));
        let has_response = result.is_ok();
        let completed = {
            let mut state = lock(&self.state);
            let completed = state.finish(&relay, &self.cell.service, &batch_call, result, elapsed);
            state.apply_spacing(&runner.id, started_at, spacing);
            completed
        };
        unsettled.settled();
        self.schedule_release(&relay);
        if has_response {
            relay.record_batch_answer(&runner, &completed);
        }
        self.dispatch(&relay);
    }

    /// Waits for the end of a call, and releases its inputs where they are stored once the runner
    /// has fetched them.
    ///
    /// A runner has room for the results of a little more than two calls. Inputs that were held
    /// until the next stage's call had ended occupied that room for a third of a second longer than
    /// it takes to fetch them, and in bursts runners idled while pieces waited.
    async fn release_inputs_when_fetched<T>(
        &self,
        relay: &Arc<Relay<D>>,
        batch_call: &BatchCall,
        running: impl Future<Output = T>,
    ) -> T {
        if relay.options.policy.fetched == Policy::Naive {
            return running.await;
        }
        let mut running = std::pin::pin!(running);
        tokio::select! {
            result = &mut running => return result,
            () = tokio::time::sleep(INPUT_FETCH_TIME) => {}
        }
        let inputs = lock(&self.state).inputs(batch_call);
        for results in inputs {
            relay
                .peers
                .release(relay, &results.handles, ReleaseKind::Fetched);
        }
        running.await
    }

    /// Schedules the next dispatch: nothing else wakes up when a runner's pause is over, or when a
    /// group has waited long enough for a runner in its failure domain.
    fn schedule_dispatch(self: &Arc<Self>, relay: &Arc<Relay<D>>) {
        let Some(wake_at) = lock(&self.state).next_wake_time(relay.started()) else {
            return;
        };
        let (batcher, relay) = (self.clone(), relay.clone());
        tokio::spawn(async move {
            tokio::time::sleep_until(wake_at).await;
            batcher.dispatch(&relay);
        });
    }

    fn requests(&self, batch_call: &BatchCall) -> String {
        lock(&self.state).requests(batch_call)
    }
}

/// Interval between calls that a runner asks for, if any.
fn asked_spacing(result: &Result<BatchReply, Failure>) -> Option<Duration> {
    match result {
        Ok(batch) => batch.spacing,
        Err(Failure::NotRun {
            reason: NotRun::Full { spacing },
        }) => *spacing,
        Err(_) => None,
    }
}

fn describe_outcomes(outcomes: &[PieceOutcome]) -> String {
    let done = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, PieceOutcome::Done(_)))
        .count();
    if done == outcomes.len() {
        return "made".to_owned();
    }
    let other = outcomes
        .iter()
        .find(|outcome| !matches!(outcome, PieceOutcome::Done(_)));
    format!("{done} made, then {other:?}")
}
