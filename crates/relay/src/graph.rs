//! The stages of one request.

use crate::batch::{Order, Spoiled};
use crate::core::Relay;
use crate::downstream::{Downstream, Handle, Source};
use crate::plan::ServiceId;
use crate::serve::Job;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::sync::Arc;
use std::time::Duration;

/// Times that the stages of a request are begun anew because a result was gone.
const RESTARTS: u32 = 1;
/// Least time from the last stage to the first event that a request is given, whatever its prompt.
const MODEL_LEAST: Duration = Duration::from_millis(60);
/// Time that a model runner takes to read a token of the prompt, where nothing else runs: an
/// engine that reads 25 tokens in a millisecond. Only the order of pieces depends on it.
const TOKEN: Duration = Duration::from_micros(40);

/// Whether the pieces of a request are asked for the first time. Repeats are paid for from the
/// budget that the whole fleet shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Round {
    /// For the first time.
    First,
    /// Once more, since results were lost.
    Again,
}

/// Results that a request holds at the runners that made them, and gives back in the end.
#[derive(Debug)]
pub struct Inputs<D: Downstream> {
    relay: Arc<Relay<D>>,
    stages: Vec<(ServiceId, Vec<Handle>)>,
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

    /// Gives all results back.
    pub fn release(&mut self) {
        for (service, handles) in self.stages.drain(..) {
            self.relay.batcher(&service).release(&self.relay, &handles);
        }
    }
}

/// A request that ends, however it does, must not leave its results to take up room until they
/// lapse: runners without room turn the next requests' pieces away.
impl<D: Downstream> Drop for Inputs<D> {
    fn drop(&mut self) {
        self.release();
    }
}

/// Runs the stages of a request and gives the results that the request needs.
///
/// # Errors
///
/// [`Spoiled`] if the pieces of one stage cannot be made.
pub async fn run<D: Downstream>(job: &Job<D>, mut round: Round) -> Result<Inputs<D>, Spoiled> {
    let mut restarts = 0;
    loop {
        match run_once(job, round).await {
            Err(Spoiled::InputGone) if restarts < RESTARTS => {
                restarts += 1;
                round = Round::Again;
            }
            result => return result,
        }
    }
}

async fn run_once<D: Downstream>(job: &Job<D>, round: Round) -> Result<Inputs<D>, Spoiled> {
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
            if !begun[stage] && stages[stage].after.iter().all(ready) {
                begun[stage] = true;
                running.push(make(job, stage, source(job, stage, &made), round));
            }
        }
        let Some((stage, outcome)) = running.next().await else {
            break;
        };
        let handles = outcome?;
        inputs
            .stages
            .push((stages[stage].service.clone(), handles.clone()));
        made[stage] = Some(handles);
    }
    let leaves = job.route.leaves().filter_map(|stage| made[stage].clone());
    inputs.leaves = leaves.flatten().collect();
    Ok(inputs)
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

async fn make<D: Downstream>(
    job: &Job<D>,
    stage: usize,
    source: Source,
    round: Round,
) -> (usize, Result<Vec<Handle>, Spoiled>) {
    let spec = &job.route.stages[stage];
    if round == Round::First {
        job.relay.count_first(&spec.service);
    } else if !job.relay.may_repeat(&spec.service) {
        return (stage, Err(Spoiled::Failed));
    }
    let behind = job.behind(stage);
    let order = Order {
        id: job.request.id.clone(),
        stage,
        pieces: job.pieces(stage),
        source,
        result: spec.result,
        due: job.due.checked_sub(behind).unwrap_or(job.request.arrived),
        last: job
            .deadline
            .checked_sub(behind)
            .unwrap_or(job.request.arrived),
        rank: job.rank,
    };
    let outcome = job.relay.batcher(&spec.service).submit(&job.relay, order);
    // The sending end is dropped without a word only when the order has been withdrawn.
    (stage, outcome.await.unwrap_or(Err(Spoiled::Failed)))
}

impl<D: Downstream> Job<D> {
    /// Pieces of a stage.
    pub fn pieces(&self, stage: usize) -> u32 {
        self.request.pieces.get(stage).copied().unwrap_or(0)
    }

    /// Least time from the end of a stage to the first event of the answer.
    fn behind(&self, stage: usize) -> Duration {
        let follows = |&next: &usize| self.route.stages[next].after.contains(&stage);
        let next = (stage + 1..self.route.stages.len()).filter(follows);
        next.map(|next| self.call_time(next) + self.behind(next))
            .max()
            .unwrap_or_else(|| self.model_time())
    }

    /// Time of a call that makes the pieces of a stage, waits excluded.
    fn call_time(&self, stage: usize) -> Duration {
        let pieces = self.pieces(stage);
        let batches = self.plan.batches(&self.route.stages[stage].service);
        match batches {
            Some(batches) if pieces > 0 => batches.shape.call + batches.shape.piece * pieces,
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
        MODEL_LEAST + TOKEN * tokens
    }

    /// Expected time until the answer begins, with what waits now before the first stages.
    pub fn expected(&self) -> Duration {
        (0..self.route.stages.len())
            .filter(|&stage| self.route.stages[stage].after.is_empty() && self.pieces(stage) > 0)
            .map(|stage| self.waiting(stage) + self.behind(stage))
            .max()
            .unwrap_or_default()
    }

    /// Expected time until the pieces of a stage are made.
    fn waiting(&self, stage: usize) -> Duration {
        let service = &self.route.stages[stage].service;
        let Some(batches) = self.plan.batches(service) else {
            return Duration::ZERO;
        };
        let expected = self.relay.batcher(service).expected(&batches);
        expected.unwrap_or_default()
    }
}
