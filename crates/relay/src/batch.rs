//! The calls that carry pieces to the runners of stage services.
//!
//! A runner has one call in progress at a time for each of its slots. Pieces wait here, not in the
//! runner's queue, until a runner is free: what waits here can still share a call, change its place
//! or be withdrawn.

mod batch_call;
mod pending;
mod runner_state;
mod select;
mod state;
mod suspect;

use crate::configuration::{BatchSettings, LAST_RANK, Rank, ServiceId};
use crate::core::{Relay, lock};
use crate::downstream::{BatchReply, Downstream, Failure, Handle, NotRun, PieceOutcome, Source};
use crate::request::{ContentId, RequestId};
use crate::runner::{DomainId, Runner};
use crate::telemetry::millis;
use batch_call::BatchCall;
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

/// Runners of a stage service whose calls one process forms, and their number among the cells of
/// the service. A process that formed the calls of all runners of a large service would spend more
/// time on it than a small VM has.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The service.
    pub service: ServiceId,
    /// Number among the service's cells.
    pub index: usize,
}

/// Time after which a runner that was sent a call has fetched its inputs. It does so before it works;
/// the 17 MB of a full call take 14 ms at 10 Gbit/s, and calls fetch beside one another.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(60);

/// Time for which results that are over are gathered before their runners are told.
const RELEASE_DELAY: Duration = Duration::from_millis(25);

/// Runners in a cell at most. At 8 pieces and 0.37 s a call, eight runners make 175 pieces a second
/// in 22 calls, some hundredths of a core; more runners in one cell share calls hardly better.
const MAX_CELL_RUNNERS: usize = 8;

impl Cell {
    /// The first cell of a service, which each has.
    #[must_use]
    pub fn first(service: &ServiceId) -> Self {
        Self {
            service: service.clone(),
            index: 0,
        }
    }

    /// All cells of a service with these runners. All processes that know the same runners form the
    /// same cells, and those of one failure domain are mostly in one.
    #[must_use]
    pub fn all(service: &ServiceId, runners: &[Arc<Runner>]) -> Vec<CellRunners> {
        let mut sorted = runners.to_vec();
        sorted.sort_by(|one, other| (&one.domain, &one.id).cmp(&(&other.domain, &other.id)));
        let (all, cells) = (sorted.len(), sorted.len().div_ceil(MAX_CELL_RUNNERS).max(1));
        let part = |index: usize| all * index / cells;
        let share = |index: usize| {
            let runners = sorted[part(index)..part(index + 1)].to_vec();
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
        (0..cells).map(share).collect()
    }

    /// The name by which its owner is chosen.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}/{}", self.service, self.index)
    }
}

/// A cell with its part of the service's runners.
#[derive(Clone, Debug)]
pub struct CellRunners {
    /// The cell.
    pub cell: Cell,
    /// Its runners.
    pub runners: Vec<Arc<Runner>>,
    /// Failure domains that they run in.
    pub domains: Vec<DomainId>,
}

impl CellRunners {
    /// Whether one of its runners is in a failure domain.
    #[must_use]
    pub fn is_near(&self, domain: &str) -> bool {
        self.domains.iter().any(|there| **there == *domain)
    }
}

/// How far results are done with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseKind {
    /// A call has fetched them. Until it has ended they are given back only where room is needed.
    Fetched,
    /// Nobody needs them any more.
    Over,
}

/// Results of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Results {
    /// The cell.
    pub cell: Cell,
    /// The results.
    pub handles: Vec<Handle>,
}

/// The pieces of one stage of one request.
#[derive(Clone, Debug)]
pub struct Order {
    /// The request.
    pub id: RequestId,
    /// Position of the stage in the route.
    pub stage: usize,
    /// Number of pieces.
    pub pieces: u32,
    /// What they are made from.
    pub source: Source,
    /// Those of the inputs that nothing else needs.
    pub inputs: Vec<Results>,
    /// Size of one result in bytes.
    pub result_bytes: u64,
    /// Moment by which they must be made for the request to be on time.
    pub due: Instant,
    /// Moment after which they are of no use.
    pub expires_at: Instant,
    /// Urgency.
    pub rank: Rank,
    /// Failure domain where they are best made, as far as can be told.
    pub domain: Option<DomainId>,
    /// How long they wait for a runner of that domain.
    pub max_domain_wait: Duration,
    /// What the request asks for of this stage.
    pub content: ContentId,
    /// Whether they are sent to a runner although the request is held back, to learn whether it still
    /// should be.
    pub trial: bool,
}

/// Expected times until pieces are made, by the rank of their request: urgent ones are taken before
/// those that wait already.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitEstimates(Vec<Duration>);

impl WaitEstimates {
    /// The times that a function gives for each rank.
    pub fn new(wait: impl FnMut(Rank) -> Duration) -> Self {
        Self((0..=LAST_RANK).map(wait).collect())
    }

    /// The time for a rank.
    #[must_use]
    pub fn of(&self, rank: Rank) -> Duration {
        let rank = usize::from(rank.min(LAST_RANK));
        self.0.get(rank).copied().unwrap_or_default()
    }
}

/// Why the pieces of a stage were not made.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum StageError {
    /// They could not be made in time.
    #[snafu(display("no time left"))]
    Late,
    /// An input is gone, and must be made again first.
    #[snafu(display("input gone"))]
    InputGone,
    /// Runners failed, and the budget of repeats is spent.
    #[snafu(display("runners failed"))]
    Failed,
    /// The process that serves the request ends.
    #[snafu(display("process ends"))]
    Ending,
    /// No runner of the service takes work.
    #[snafu(display("no runner"))]
    NoRunner,
    /// Runners have ended under them.
    #[snafu(display("held back: runners ended under these pieces"))]
    Poison,
}

/// What an order ends with: the results in the order of the pieces.
pub type Outcome = Result<Vec<Handle>, StageError>;

/// The calls to the runners of one cell.
#[derive(Debug)]
pub struct Batcher<D> {
    cell: Cell,
    state: Mutex<State>,
    downstream: PhantomData<fn() -> D>,
}

impl<D: Downstream> Batcher<D> {
    /// No calls yet.
    #[must_use]
    pub fn new(cell: Cell) -> Self {
        Self {
            cell,
            state: Mutex::default(),
            downstream: PhantomData,
        }
    }

    /// Has the pieces of an order made.
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

    /// Takes in which runners take work.
    pub fn refresh(&self, relay: &Relay<D>) {
        let cells = relay.cells(&self.cell.service);
        let share = cells.get(self.cell.index);
        let runners = share.map(|share| share.runners.clone());
        lock(&self.state).refresh(runners.unwrap_or_default());
    }

    /// Results that are done with.
    ///
    /// Some may have been made for another process that formed the cell's calls before. They take
    /// up room here all the same, of a size that is not known.
    pub fn release(
        self: &Arc<Self>,
        relay: &Arc<Relay<D>>,
        handles: &[Handle],
        spent: ReleaseKind,
    ) {
        let mut state = lock(&self.state);
        let keep = relay.batches(&self.cell.service);
        let until = Instant::now() + keep.map_or(Duration::ZERO, |batches| batches.keep);
        for handle in handles {
            if let Some(address) = relay.downstream.holder(handle) {
                match spent {
                    ReleaseKind::Fetched => state.fetched(address, handle),
                    ReleaseKind::Over => state.release(address, handle, until),
                }
            }
        }
        if spent == ReleaseKind::Over && state.schedule_release() {
            tokio::spawn(self.clone().release_pending(relay.clone()));
        }
    }

    /// Gives back what is over, without waiting for the next call.
    ///
    /// If this process is killed, nobody knows of what still lies at the runners, and it takes up room
    /// until it lapses: a runner that was told with its next call alone would hold little else.
    async fn release_pending(self: Arc<Self>, relay: Arc<Relay<D>>) {
        tokio::time::sleep(RELEASE_DELAY).await;
        let released = lock(&self.state).take_released();
        for (runner, results) in released {
            tokio::spawn(release(relay.clone(), runner, results));
        }
    }

    /// Results that take up room and were made before this process formed the cell's calls.
    pub fn record_results(&self, relay: &Relay<D>, results: &[(Handle, u64)]) {
        let mut state = lock(&self.state);
        let keep = relay.batches(&self.cell.service);
        let until = Instant::now() + keep.map_or(Duration::ZERO, |batches| batches.keep);
        for (handle, bytes) in results {
            if let Some(address) = relay.downstream.holder(handle) {
                state.record_result(address, handle, *bytes, until);
            }
        }
    }

    /// Expected times until pieces that come now are made.
    pub fn expected(&self, relay: &Relay<D>, batches: &BatchSettings) -> Option<WaitEstimates> {
        lock(&self.state).expected(relay.started(), batches)
    }

    /// Starts calls as long as pieces wait and a runner is free.
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
        self.schedule_dispatch(relay);
    }

    /// Carries out one call and hands out what became of its pieces.
    async fn execute(self: Arc<Self>, relay: Arc<Relay<D>>, mut batch_call: BatchCall) {
        let begun = Instant::now();
        let runner = batch_call.runner.clone();
        let released = std::mem::take(&mut batch_call.released);
        let releasing = release(relay.clone(), runner.clone(), released);
        if batch_call.release_first {
            releasing.await;
        } else {
            tokio::spawn(releasing);
        }
        let items = std::mem::take(&mut batch_call.items);
        let count = items.len();
        let (waited, age) = (begun.elapsed(), relay.runner_list_age());
        let is_open = || relay.is_open(&runner);
        let timeout = batch_call.timeout();
        let making = relay.downstream.make(&runner, items, timeout, is_open);
        let result = self
            .release_inputs_when_fetched(&relay, &batch_call, making)
            .await;
        let elapsed = begun.elapsed();
        if let Err(failure) = &result {
            suspect::record_failure(&relay, &batch_call, begun, failure).await;
        }
        let spacing = asked_spacing(&result);
        let result = result.map(|batch| batch.outcomes);
        info!(relay.log, "stage call";
            "service" => &*self.cell.service, "runner" => &*runner.id, "pieces" => count,
            "requests" => self.requests(&batch_call), "isolated" => batch_call.isolated,
            "expected_ms" => millis(batch_call.expected), "took_ms" => millis(elapsed),
            "waited_ms" => millis(waited), "runners_age_ms" => age.map(millis),
            "one_in_ms" => spacing.map(millis),
            "outcome" => result.as_ref().map_or_else(ToString::to_string, |made| describe_outcomes(made)));
        let lives = result.is_ok();
        let made = {
            let mut state = lock(&self.state);
            let made = state.finish(&relay, &self.cell.service, &batch_call, result, elapsed);
            state.apply_spacing(&runner.id, begun, spacing);
            made
        };
        if lives {
            relay.record_batch_answer(&runner, made);
        }
        self.dispatch(&relay);
    }

    /// Waits for the end of a call, and tells where its inputs were made once it has them.
    ///
    /// A runner has room for the results of two calls and a bit. Held until the next stage's call has
    /// ended, they took up that room for a third of a second longer than it takes to fetch them, and
    /// in bursts runners stood still beside pieces that waited.
    async fn release_inputs_when_fetched<T>(
        &self,
        relay: &Arc<Relay<D>>,
        batch_call: &BatchCall,
        making: impl Future<Output = T>,
    ) -> T {
        if relay.options.policy.fetched == Policy::Naive {
            return making.await;
        }
        let mut making = std::pin::pin!(making);
        tokio::select! {
            result = &mut making => return result,
            () = tokio::time::sleep(INPUT_FETCH_TIME) => {}
        }
        let inputs = lock(&self.state).inputs(batch_call);
        for results in inputs {
            relay.peers.release(relay, results, ReleaseKind::Fetched);
        }
        making.await
    }

    /// Nothing else wakes a runner whose rest is over, or a group that has waited long enough for a
    /// runner of its failure domain.
    fn schedule_dispatch(self: &Arc<Self>, relay: &Arc<Relay<D>>) {
        let Some(until) = lock(&self.state).next_wake_time(relay.started()) else {
            return;
        };
        let (batcher, relay) = (self.clone(), relay.clone());
        tokio::spawn(async move {
            tokio::time::sleep_until(until).await;
            batcher.dispatch(&relay);
        });
    }

    fn requests(&self, batch_call: &BatchCall) -> String {
        lock(&self.state).requests(batch_call)
    }
}

/// Time between calls that a runner asks for, if it does.
fn asked_spacing(result: &Result<BatchReply, Failure>) -> Option<Duration> {
    match result {
        Ok(batch) => batch.spacing,
        Err(Failure::NotRun {
            reason: NotRun::Full { spacing },
        }) => *spacing,
        Err(_) => None,
    }
}

/// Gives results back at their runner.
async fn release<D: Downstream>(relay: Arc<Relay<D>>, runner: Arc<Runner>, results: Vec<Handle>) {
    let count = results.len();
    if count == 0 {
        return;
    }
    if let Err(error) = relay.downstream.release(&runner, results).await {
        warn!(relay.log, "results not released, they lapse by themselves";
            "runner" => &*runner.id, "results" => count, "error" => %error);
    }
}

fn describe_outcomes(made: &[PieceOutcome]) -> String {
    let done = made
        .iter()
        .filter(|made| matches!(made, PieceOutcome::Done(_)))
        .count();
    if done == made.len() {
        return "made".to_owned();
    }
    let other = made
        .iter()
        .find(|made| !matches!(made, PieceOutcome::Done(_)));
    format!("{done} made, then {other:?}")
}
