//! The stages of one request.

use crate::attempt;
use crate::batch::{Cell, Order, Outcome, ReleaseKind, Results, StageError};
use crate::configuration::Route;
use crate::core::Relay;
use crate::downstream::{Downstream, Handle, Source};
use crate::peer;
use crate::quarantine;
use crate::runner::{DomainId, Fleet};
use crate::serve::{Job, content_name};
use crate::telemetry::millis;
use decide::Map;
use decide::route::affinity;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Times that the stages of a request are begun anew because a result was gone.
const MAX_RESTARTS: u32 = 1;
/// Least time from the last stage to the first event that a request is given, whatever its prompt.
const MIN_MODEL_TIME: Duration = Duration::from_millis(60);

/// Bytes a second up to which it is worth waiting for a runner of the right failure domain. Links
/// between failure domains are far dearer than those within; at this rate the results of a few
/// megabytes wait for about a call.
const CROSS_DOMAIN_BYTES_PER_SECOND: f64 = 10e6;

/// Whether the pieces of a request are asked for the first time. Repeats are paid for from the
/// budget that the whole fleet shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageRun {
    /// For the first time.
    First,
    /// Once more, since results were lost.
    Repeat,
}

/// Stages beside a longer chain are begun when the chain needs this many times their own time at
/// most, which leaves them half a call to wait.
const EARLY_START_FACTOR: f64 = 1.5;

/// Times of its own call that the pieces of each stage are given to be on time: the rest of the call
/// that a runner is busy with, the call itself, and one more for those that are ahead.
const MIN_DUE_CALLS: u32 = 3;

/// Results that a request holds at the runners that made them, and gives back in the end.
#[derive(Debug)]
pub struct Inputs<D: Downstream> {
    relay: Arc<Relay<D>>,
    stages: Vec<(usize, Results)>,
    /// Results that the request itself needs.
    pub leaves: Vec<Handle>,
}

impl<D: Downstream> Inputs<D> {
    fn new(relay: Arc<Relay<D>>) -> Self {
        Self {
            relay,
            stages: Vec::new(),
            leaves: Vec::new(),
        }
    }

    /// The results that one stage needs and no other.
    fn exclusive_to(&self, route: &Route, stage: usize) -> Vec<Results> {
        let after = &route.stages[stage].after;
        let only = |before: usize| after.contains(&before) && route.dependents(before).count() == 1;
        let stages = self.stages.iter().filter(|(before, ..)| only(*before));
        stages.map(|(_, results)| results.clone()).collect()
    }

    /// Gives the results of some stages back.
    ///
    /// A runner has room for the results of ten to sixty pieces. Those of a stage in the middle are
    /// of no more use once the stages behind it are made; kept until the request's end they take up
    /// the room of the next requests.
    pub fn release(&mut self, which: impl Fn(usize) -> bool) {
        let (over, left) = self.stages.drain(..).partition(|(stage, ..)| which(*stage));
        self.stages = left;
        let over: Vec<(usize, Results)> = over;
        for (_, results) in over {
            let peers = &self.relay.peers;
            peers.release(&self.relay, results, ReleaseKind::Over);
        }
    }
}

/// A request that ends, however it does, must not leave its results to take up room until they
/// lapse: runners without room turn the next requests' pieces away.
impl<D: Downstream> Drop for Inputs<D> {
    fn drop(&mut self) {
        self.release(|_| true);
    }
}

/// Runs the stages of a request and gives the results that the request needs.
///
/// # Errors
///
/// [`StageError`] if the pieces of one stage cannot be made.
pub async fn run<D: Downstream>(
    job: &Job<D>,
    mut stage_run: StageRun,
) -> Result<Inputs<D>, StageError> {
    let mut restarts = 0;
    loop {
        match run_once(job, stage_run).await {
            Err(StageError::InputGone) if restarts < MAX_RESTARTS => {
                restarts += 1;
                stage_run = StageRun::Repeat;
            }
            result => return result,
        }
    }
}

async fn run_once<D: Downstream>(
    job: &Job<D>,
    stage_run: StageRun,
) -> Result<Inputs<D>, StageError> {
    let stages = &job.route.stages;
    let mut inputs = Inputs::new(job.relay.clone());
    let mut made: Vec<Option<Vec<Handle>>> = (0..stages.len())
        .map(|stage| (job.pieces(stage) == 0).then(Vec::new))
        .collect();
    let mut begun: Vec<bool> = made.iter().map(Option::is_some).collect();
    let mut running = FuturesUnordered::new();
    loop {
        for stage in 0..stages.len() {
            let ready = |&before: &usize| made.get(before).is_none_or(Option::is_some);
            if !begun[stage]
                && stages[stage].after.iter().all(ready)
                && !starts_too_early(job, stage, &made)
            {
                begun[stage] = true;
                let only = inputs.exclusive_to(&job.route, stage);
                running.push(run_stage(
                    job,
                    stage,
                    source(job, stage, &made),
                    only,
                    stage_run,
                ));
            }
        }
        let Some((stage, cell, outcome)) = running.next().await else {
            break;
        };
        let handles = outcome?;
        job.relay
            .peers
            .record_results(&cell, &handles, stages[stage].result);
        made[stage] = Some(handles.clone());
        inputs.stages.push((stage, Results { cell, handles }));
        let used = |before: usize| is_consumed(&job.route, &made, before);
        inputs.release(used);
    }
    let leaves = job.route.leaves().filter_map(|stage| made[stage].clone());
    inputs.leaves = leaves.flatten().collect();
    Ok(inputs)
}

/// Whether a stage is better begun later: its results would lie at their runner until a longer
/// chain of stages beside it is done, and take up room for results that long.
fn starts_too_early<D: Downstream>(
    job: &Job<D>,
    stage: usize,
    made: &[Option<Vec<Handle>>],
) -> bool {
    let own = (job.call_time(stage) + job.min_time_after(stage)).mul_f64(EARLY_START_FACTOR);
    let left = (0..made.len()).filter(|&other| other != stage && made[other].is_none());
    let longest = left
        .map(|other| job.call_time(other) + job.min_time_after(other))
        .max();
    longest.is_some_and(|longest| longest > own)
}

/// Whether the results of a stage have served: other stages follow it, and those are made.
fn is_consumed(route: &Route, made: &[Option<Vec<Handle>>], stage: usize) -> bool {
    let mut dependents = route.dependents(stage).peekable();
    dependents.peek().is_some() && dependents.all(|next| made[next].is_some())
}

/// What the pieces of a stage are made from.
fn source<D: Downstream>(job: &Job<D>, stage: usize, made: &[Option<Vec<Handle>>]) -> Source {
    let after = &job.route.stages[stage].after;
    if after.is_empty() {
        return Source::Key(job.request.piece_key.as_str().into());
    }
    let handles = after.iter().filter_map(|&before| made.get(before)?.clone());
    Source::Inputs(handles.flatten().collect())
}

async fn run_stage<D: Downstream>(
    job: &Job<D>,
    stage: usize,
    source: Source,
    inputs: Vec<Results>,
    stage_run: StageRun,
) -> (usize, Cell, Outcome) {
    let spec = &job.route.stages[stage];
    let (expected, expected_time_after) = (
        job.expected_stage_time(stage),
        job.expected_time_after(stage),
    );
    let (domain, max_domain_wait) =
        preferred_domain(job, stage, &source, expected + expected_time_after);
    let content = job.stage_content(stage);
    let cell = match job.relay.is_suspect(content) {
        true => job.relay.suspect_cell(&spec.service, content),
        false => job
            .relay
            .cell(&spec.service, domain.as_deref(), max_domain_wait),
    };
    let trial = match quarantine::begin_stage(job, stage) {
        Ok(trial) => trial,
        Err(held) => return (stage, cell, Err(held)),
    };
    if stage_run == StageRun::First {
        job.relay
            .count_first_attempts(&spec.service, job.pieces(stage));
    } else if !job.relay.try_retry(&spec.service) {
        return (stage, cell, Err(StageError::Failed));
    }
    let min_time_after = job.min_time_after(stage);
    let order = Order {
        id: job.request.id.clone(),
        stage,
        pieces: job.pieces(stage),
        source,
        inputs,
        result_bytes: spec.result,
        due: stage_due(job, stage, expected_time_after),
        expires_at: job
            .deadline
            .checked_sub(min_time_after)
            .unwrap_or(job.request.arrived),
        rank: job.rank,
        domain,
        max_domain_wait,
        content,
        trial,
    };
    let (asked, wanted) = (Instant::now(), order.domain.clone());
    let outcome = peer::execute_order(&job.relay, &cell, order).await;
    info!(job.relay.log, "stage"; "request" => &*job.request.id, "stage" => stage,
        "cell" => cell.name(), "owner" => &*job.relay.owner(&cell), "pieces" => job.pieces(stage),
        "expected_ms" => millis(expected), "domain" => wanted.as_deref(),
        "patience_ms" => millis(max_domain_wait), "content" => content_name(content), "trial" => trial,
        "took_ms" => millis(asked.elapsed()),
        "outcome" => outcome.as_ref().map_or_else(ToString::to_string, |_| "made".to_owned()));
    (stage, cell, outcome)
}

/// Moment by which the pieces of a stage must be made for the request to be on time.
///
/// A prompt of tens of thousands of tokens takes longer than the aim of its route, whatever is done.
/// Counted as late from the start, such requests would be the first to be given up in every burst,
/// and hardly any of them would be served. They get about as much time here as the others.
fn stage_due<D: Downstream>(job: &Job<D>, stage: usize, min_time_after: Duration) -> Instant {
    let arrived = job.request.arrived;
    let due = job.due.checked_sub(min_time_after).unwrap_or(arrived);
    if job.is_retry {
        return due;
    }
    due.max(Instant::now() + job.call_time(stage) * MIN_DUE_CALLS)
}

/// Where the pieces of a stage are best made, and how long they wait for a runner there.
///
/// Each piece fetches all inputs of its stage, so that a stage of many pieces belongs near its
/// inputs; one with large results belongs where the model will run. The wait is worth what would
/// cross failure domains otherwise, as far as the request has time for it. All of that time may be
/// offered: the pieces wait only if a runner there will be free within it.
fn preferred_domain<D: Downstream>(
    job: &Job<D>,
    stage: usize,
    source: &Source,
    expected: Duration,
) -> (Option<DomainId>, Duration) {
    let spec = &job.route.stages[stage];
    let bytes = |stage: usize| job.route.stages[stage].result * u64::from(job.pieces(stage));
    let fetched: u64 = spec.after.iter().map(|&before| bytes(before)).sum();
    let fetched = fetched * u64::from(job.pieces(stage));
    let given = bytes(stage);
    let (domain, crossing) = match source {
        Source::Inputs(handles) if fetched > given => (majority_domain(job, handles), fetched),
        _ => (attempt::likely_runner_domain(job), given),
    };
    let worth = Duration::from_secs_f64(crossing as f64 / CROSS_DOMAIN_BYTES_PER_SECOND);
    let left = job.due.saturating_duration_since(Instant::now());
    let max_domain_wait = match left.checked_sub(expected) {
        Some(spare) => worth.min(spare),
        // Late already: it has nothing more to lose by the wait.
        None => worth,
    };
    (domain, max_domain_wait)
}

/// Failure domain of the runners that hold most of some results.
fn majority_domain<D: Downstream>(job: &Job<D>, handles: &[Handle]) -> Option<DomainId> {
    let addresses = handles
        .iter()
        .filter_map(|handle| job.relay.downstream.holder(handle));
    let domain = |fleet: &Fleet, address| Some(fleet.at(&address)?.domain.clone());
    let count = |fleet: &Fleet| {
        let mut results: Map<DomainId, u32> = Map::default();
        for domain in addresses.filter_map(|address| domain(fleet, address)) {
            *results.entry(domain).or_default() += 1;
        }
        results.into_iter().max_by_key(|(_, count)| *count)
    };
    let (domain, _) = job.relay.fleet(count)??;
    Some(domain)
}

impl<D: Downstream> Job<D> {
    /// Pieces of a stage.
    pub fn pieces(&self, stage: usize) -> u32 {
        self.request.pieces.get(stage).copied().unwrap_or(0)
    }

    /// Least time from the end of a stage to the first event of the answer.
    fn min_time_after(&self, stage: usize) -> Duration {
        let next = self.route.dependents(stage).filter(|&next| next > stage);
        next.map(|next| self.call_time(next) + self.min_time_after(next))
            .max()
            .unwrap_or_else(|| self.model_time())
    }

    /// Expected time from the end of a stage to the first event of the answer, waits included.
    fn expected_time_after(&self, stage: usize) -> Duration {
        let next = self.route.dependents(stage).filter(|&next| next > stage);
        next.filter(|&next| self.pieces(next) > 0)
            .map(|next| self.expected_stage_time(next) + self.expected_time_after(next))
            .max()
            .unwrap_or_else(|| self.model_time())
    }

    /// Time of a call that makes the pieces of a stage, waits excluded.
    fn call_time(&self, stage: usize) -> Duration {
        let pieces = self.pieces(stage);
        let batches = self
            .configuration
            .batches(&self.route.stages[stage].service);
        match batches {
            Some(batches) if pieces > 0 => batches.shape.time(pieces),
            _ => Duration::ZERO,
        }
    }

    /// Time from the call of the model to its first event, by the length of the prompt.
    pub fn model_time(&self) -> Duration {
        let tokens = self
            .request
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.input);
        MIN_MODEL_TIME + Duration::from_secs_f64(affinity::read_seconds(tokens))
    }

    /// Expected time until the answer begins, with what waits now before the first stages.
    pub fn expected(&self) -> Duration {
        (0..self.route.stages.len())
            .filter(|&stage| self.route.stages[stage].after.is_empty() && self.pieces(stage) > 0)
            .map(|stage| self.expected_stage_time(stage) + self.min_time_after(stage))
            .max()
            .unwrap_or_default()
    }

    /// Expected time until the pieces of a stage are made.
    fn expected_stage_time(&self, stage: usize) -> Duration {
        let service = &self.route.stages[stage].service;
        let cell = self.relay.cell(service, None, Duration::ZERO);
        self.relay
            .peers
            .expected_wait(&self.relay, &cell, self.rank)
    }
}
