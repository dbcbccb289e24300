//! Runs the stages of a request.

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
use decide::route::prefill::PrefillSpeed;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How often the stages of a request are restarted because a result no longer exists.
const MAX_RESTARTS: u32 = 1;

/// Cross-domain traffic in bytes per second of waiting above which it is worth waiting for a runner
/// in the preferred failure domain. Links between failure domains cost far more than links within
/// one; at this rate the results of a few megabytes wait for about one call.
const CROSS_DOMAIN_BYTES_PER_SECOND: f64 = 10e6;

/// Whether the pieces of a request are requested for the first time. Retries are charged to the
/// budget that the whole fleet shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageRun {
    /// The first run.
    First,
    /// Another run, since results were lost.
    Repeat,
}

/// A stage beside a longer chain starts once the rest of that chain takes at most this many times
/// the stage's own time, which leaves the stage half a call to wait.
const EARLY_START_FACTOR: f64 = 1.5;

/// Number of own calls that the pieces of each stage may take and still be on time: the rest of the
/// call that a runner is busy with, the call itself, and one more for pieces ahead in the queue.
const MIN_DUE_CALLS: u32 = 3;

/// Results that a request keeps at the runners that computed them, and releases in the end.
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

    /// Results that this stage needs and no other stage does.
    fn exclusive_to(&self, route: &Route, stage: usize) -> Vec<Results> {
        let after = &route.stages[stage].after;
        let exclusive =
            |before: usize| after.contains(&before) && route.dependents(before).count() == 1;
        let stages = self.stages.iter().filter(|(before, ..)| exclusive(*before));
        stages.map(|(_, results)| results.clone()).collect()
    }

    /// Releases the results of some stages.
    ///
    /// A runner has room for the results of ten to sixty pieces. Results of an intermediate stage
    /// are useless once the stages that follow it are done; kept until the end of the request they
    /// would occupy room that the next requests need.
    pub fn release(&mut self, which: impl Fn(usize) -> bool) {
        let (released, left) = self.stages.drain(..).partition(|(stage, ..)| which(*stage));
        self.stages = left;
        let released: Vec<(usize, Results)> = released;
        for (_, results) in released {
            let peers = &self.relay.peers;
            peers.release(&self.relay, &results.handles, ReleaseKind::Over);
        }
    }
}

/// However a request ends, its results must not occupy room until they expire: runners without room
/// reject the pieces of the next requests.
impl<D: Downstream> Drop for Inputs<D> {
    fn drop(&mut self) {
        self.release(|_| true);
    }
}

/// Runs the stages of a request and returns the results that the request needs.
///
/// # Errors
///
/// [`StageError`] if the pieces of a stage cannot be processed.
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
    let mut results: Vec<Option<Vec<Handle>>> = (0..stages.len())
        .map(|stage| (job.pieces(stage) == 0).then(Vec::new))
        .collect();
    let mut started: Vec<bool> = results.iter().map(Option::is_some).collect();
    let mut running = FuturesUnordered::new();
    loop {
        for stage in 0..stages.len() {
            let ready = |&before: &usize| results.get(before).is_none_or(Option::is_some);
            if !started[stage]
                && stages[stage].after.iter().all(ready)
                && !starts_too_early(job, stage, &results)
            {
                started[stage] = true;
                let exclusive = inputs.exclusive_to(&job.route, stage);
                running.push(run_stage(
                    job,
                    stage,
                    source(job, stage, &results),
                    exclusive,
                    stage_run,
                ));
            }
        }
        let Some((stage, cell, outcome)) = running.next().await else {
            break;
        };
        let handles = outcome?;
        results[stage] = Some(handles.clone());
        inputs.stages.push((stage, Results { cell, handles }));
        let is_done = |before: usize| is_consumed(&job.route, &results, before);
        inputs.release(is_done);
    }
    let leaves = job
        .route
        .leaves()
        .filter_map(|stage| results[stage].clone());
    inputs.leaves = leaves.flatten().collect();
    Ok(inputs)
}

/// Whether a stage should start later. Its results would be stored at their runner until a longer
/// chain of stages beside it is done, and occupy room for that long.
fn starts_too_early<D: Downstream>(
    job: &Job<D>,
    stage: usize,
    results: &[Option<Vec<Handle>>],
) -> bool {
    let own = (job.call_time(stage) + job.min_time_after(stage)).mul_f64(EARLY_START_FACTOR);
    let left = (0..results.len()).filter(|&other| other != stage && results[other].is_none());
    let longest = left
        .map(|other| job.call_time(other) + job.min_time_after(other))
        .max();
    longest.is_some_and(|longest| longest > own)
}

/// Whether the results of a stage are no longer needed: other stages follow it, and all of those
/// are done.
fn is_consumed(route: &Route, results: &[Option<Vec<Handle>>], stage: usize) -> bool {
    let mut dependents = route.dependents(stage).peekable();
    dependents.peek().is_some() && dependents.all(|next| results[next].is_some())
}

/// Input of the pieces of a stage.
fn source<D: Downstream>(job: &Job<D>, stage: usize, results: &[Option<Vec<Handle>>]) -> Source {
    let after = &job.route.stages[stage].after;
    if after.is_empty() {
        return Source::Key(job.request.piece_key.as_str().into());
    }
    let handles = after
        .iter()
        .filter_map(|&before| results.get(before)?.clone());
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
    let trial = match quarantine::begin_stage(job, stage).await {
        Ok(trial) => trial,
        Err(error) => return (stage, cell, Err(error)),
    };
    if stage_run == StageRun::First {
        job.relay
            .count_first_attempts(&spec.service, job.request.arrived, job.pieces(stage));
    } else if !job.relay.try_retry(&spec.service, &job.request.id) {
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
    let (started_at, wanted) = (Instant::now(), order.domain.clone());
    let outcome = peer::execute_order(&job.relay, &cell, order).await;
    info!(job.relay.log, "stage"; "request" => &*job.request.id, "stage" => stage,
        "cell" => cell.name(), "owner" => &*job.relay.owner(&cell), "pieces" => job.pieces(stage),
        "expected_ms" => millis(expected), "domain" => wanted.as_deref(),
        "patience_ms" => millis(max_domain_wait), "content" => content_name(content), "trial" => trial,
        "took_ms" => millis(started_at.elapsed()),
        "outcome" => outcome.as_ref().map_or_else(ToString::to_string, |_| "made".to_owned()));
    (stage, cell, outcome)
}

/// When the pieces of a stage must be done for the request to be on time.
///
/// A prompt of tens of thousands of tokens takes longer than the latency target of its route in any
/// case. If such requests counted as late from the start, they would be dropped first in every
/// burst, and hardly any of them would be served. Here they get about as much time as others.
fn stage_due<D: Downstream>(job: &Job<D>, stage: usize, min_time_after: Duration) -> Instant {
    let arrived = job.request.arrived;
    let due = job.due.checked_sub(min_time_after).unwrap_or(arrived);
    if job.is_retry {
        return due;
    }
    due.max(Instant::now() + job.call_time(stage) * MIN_DUE_CALLS)
}

/// Failure domain where the pieces of a stage are best processed, and how long they wait for a
/// runner there.
///
/// Each piece fetches all inputs of its stage, so a stage of many pieces belongs near its inputs; a
/// stage with large results belongs where the model will run. The wait is worth the traffic between
/// failure domains that it saves, as far as the request has time for it. All of that time can be
/// offered: the pieces wait only if a runner there will be free within it.
fn preferred_domain<D: Downstream>(
    job: &Job<D>,
    stage: usize,
    source: &Source,
    expected: Duration,
) -> (Option<DomainId>, Duration) {
    let spec = &job.route.stages[stage];
    let pieces = |stage: usize| u64::from(job.pieces(stage));
    let size = |stage: usize| job.route.stages.get(stage).map_or(0, |spec| spec.result);
    let bytes = |stage: usize| size(stage).saturating_mul(pieces(stage));
    let inputs = spec.after.iter().map(|&before| bytes(before));
    let input_bytes = inputs.fold(0, u64::saturating_add);
    let input_bytes = input_bytes.saturating_mul(pieces(stage));
    let output_bytes = bytes(stage);
    let (domain, crossing_bytes) = match source {
        Source::Inputs(handles) if input_bytes > output_bytes => {
            (majority_domain(job, handles), input_bytes)
        }
        _ => (attempt::likely_runner_domain(job), output_bytes),
    };
    let worthwhile_wait =
        Duration::from_secs_f64(crossing_bytes as f64 / CROSS_DOMAIN_BYTES_PER_SECOND);
    let left = job.due.saturating_duration_since(Instant::now());
    let max_domain_wait = match left.checked_sub(expected) {
        Some(spare) => worthwhile_wait.min(spare),
        // The request is late already and has nothing to lose by waiting.
        None => worthwhile_wait,
    };
    (domain, max_domain_wait)
}

/// Failure domain of the runners that store most of these results.
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
    /// Number of pieces of a stage.
    pub fn pieces(&self, stage: usize) -> u32 {
        self.request.pieces.get(stage).copied().unwrap_or(0)
    }

    /// Time of all stages without waits, if each piece is made in a full call.
    pub(crate) fn chain_time(&self) -> Duration {
        let stages = &self.route.stages;
        let mut ends: Vec<Duration> = Vec::new();
        for (index, stage) in stages.iter().enumerate() {
            let own = self.configuration.batches(&stage.service);
            let own = own.filter(|_| self.pieces(index) > 0);
            let own = own.map_or(Duration::ZERO, |batches| batches.shape.full());
            let before = stage.after.iter().filter_map(|&before| ends.get(before));
            ends.push(own + before.max().copied().unwrap_or_default());
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Minimum time from the end of a stage to the first event of the response.
    fn min_time_after(&self, stage: usize) -> Duration {
        let next = self.route.dependents(stage).filter(|&next| next > stage);
        next.map(|next| self.call_time(next) + self.min_time_after(next))
            .max()
            .unwrap_or_else(|| self.model_time())
    }

    /// Expected time from the end of a stage to the first event of the response, including waits.
    fn expected_time_after(&self, stage: usize) -> Duration {
        let next = self.route.dependents(stage).filter(|&next| next > stage);
        next.filter(|&next| self.pieces(next) > 0)
            .map(|next| self.expected_stage_time(next) + self.expected_time_after(next))
            .max()
            .unwrap_or_else(|| self.model_time())
    }

    /// Time of a call that processes the pieces of a stage, excluding waits.
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

    /// Time from the call of the model to its first event, given the length of the prompt.
    pub fn model_time(&self) -> Duration {
        let speed = self.relay.prefill_speed(&self.service);
        speed.first_event(self.prompt_tokens())
    }

    /// Upper estimate of the time from the call of the model to its first event. The learnt speed is that of
    /// an engine without other calls; a busy one must not count as silent for taking longer.
    pub fn max_model_time(&self) -> Duration {
        let assumed = PrefillSpeed::default().first_event(self.prompt_tokens());
        self.model_time().max(assumed)
    }

    fn prompt_tokens(&self) -> u32 {
        let prompt = self.request.prompt.as_ref();
        prompt.map_or(0, |prompt| prompt.input)
    }

    /// Expected time until the response starts, given the current waits of the first stages.
    pub fn expected(&self) -> Duration {
        (0..self.route.stages.len())
            .filter(|&stage| self.route.stages[stage].after.is_empty() && self.pieces(stage) > 0)
            .map(|stage| self.expected_stage_time(stage) + self.min_time_after(stage))
            .max()
            .unwrap_or_default()
    }

    /// Expected time until the pieces of a stage are done.
    fn expected_stage_time(&self, stage: usize) -> Duration {
        let service = &self.route.stages[stage].service;
        let cell = self.relay.cell(service, None, Duration::ZERO);
        self.relay
            .peers
            .expected_wait(&self.relay, &cell, self.rank)
    }
}
