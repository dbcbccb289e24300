//! Start credits for requests whose stages depend on one another.
//!
//! If such requests start as they arrive, a burst fills the queues between their stages: they hold room
//! for results while they wait, and become late together. Therefore a request asks for a credit before
//! its first stage. The process that forms the calls of a cell of the last stage's service keeps the gate
//! of that cell, and grants credits for the work in progress that the chain can complete in time.
//!
//! A gate only saves work. If none can be reached, the request starts without a credit.

mod gate;

pub(crate) use gate::{Gates, LocalCredit};

use crate::batch::Cell;
use crate::configuration::{Rank, ServiceId};
use crate::core::Relay;
use crate::downstream::Downstream;
use crate::member::Member;
use crate::peer::RemoteCredit;
use crate::request::Refusal;
use crate::serve::Job;
use crate::telemetry::millis;
pub use decide::flow::Verdict;
use rand::Rng;
use serde::{Deserialize, Serialize};
use setting::Policy;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// Owners that are asked one after the other before a request starts without a credit.
const MAX_OWNER_ATTEMPTS: usize = 3;
/// Time within which an owner responds for the first time. It decides without waiting for anything, so
/// that a later response means that it is unreachable or overloaded.
const FIRST_VERDICT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time left after the wait and the chain's time without waits that a first attempt is given, as a factor
/// on the latter. Requests whose prompt alone takes longer than their target would otherwise be refused
/// in each burst.
const MIN_FIRST_ATTEMPT_FACTOR: f64 = 1.4;
/// Longest time after which a refused client is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// What a request needs of a chain, as it is sent to the owner of a gate. Since the clocks of processes
/// differ, its times are relative to the moment of sending.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Priority of the request.
    pub rank: Rank,
    /// Number of pieces at the services of the stages that depend on another stage.
    pub pieces: Vec<(ServiceId, u32)>,
    /// Time of the whole chain without waits.
    pub chain_time: Duration,
    /// Time until which the chain must be done for the response to be on time.
    pub due: Duration,
    /// Time until which it must be done at all.
    pub expires: Duration,
}

/// How a request that had asked for a credit has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its stages are done.
    Done,
    /// It was refused, cancelled or has failed before its stages were done.
    Ended,
}

/// Verdicts on one request, in order.
pub(crate) type Verdicts = mpsc::UnboundedReceiver<Verdict>;

/// A credit, which is returned when it is dropped.
#[derive(Debug)]
pub(crate) struct Credit<D: Downstream> {
    grant: Grant<D>,
    granted_at: Instant,
    /// Time from now until the end of the chain that was expected when the credit was granted.
    expected: Duration,
}

#[derive(Debug)]
enum Grant<D: Downstream> {
    /// The request started without a credit.
    Without,
    /// The gate is in this process.
    Local(LocalCredit<D>),
    /// The gate is in another process.
    Remote(RemoteCredit),
}

impl<D: Downstream> Credit<D> {
    fn new(grant: Grant<D>, expected: Duration) -> Self {
        Self {
            grant,
            granted_at: Instant::now(),
            expected,
        }
    }

    /// Returns the credit after the stages of its request are done.
    pub(crate) fn finish(mut self, job: &Job<D>) {
        match &mut self.grant {
            Grant::Without => return,
            Grant::Local(credit) => credit.outcome = Outcome::Done,
            Grant::Remote(credit) => credit.outcome = Outcome::Done,
        }
        let elapsed = self.granted_at.elapsed();
        job.relay.gates.record_chain_time(&job.route.name, elapsed);
        let error = self.expected.abs_diff(elapsed);
        job.relay.telemetry.chain_estimate_error(error);
    }
}

/// Waits until a request may start its stages. Requests whose stages do not depend on one another start
/// at once.
///
/// # Errors
///
/// A [`Refusal`] if the chain cannot be done in time, or if the process ends.
pub(crate) async fn start<D: Downstream>(job: &Job<D>) -> Result<Credit<D>, Refusal> {
    let relay = &job.relay;
    let without = || Credit::new(Grant::Without, Duration::ZERO);
    let Some(chain) = Chain::of(job).filter(|_| relay.options.policy.flow == Policy::Shipped)
    else {
        return Ok(without());
    };
    let Some(cell) = chain.gate_cell(relay) else {
        return Ok(without());
    };
    let asked_at = Instant::now();
    for _ in 0..MAX_OWNER_ATTEMPTS {
        let owner = relay.peers.members(|members| members.owner(&cell.name()));
        let verdict = ask(job, &owner, &cell, chain.demand(job)).await?;
        let Some((grant, verdict)) = verdict else {
            relay.peers.members(|members| members.suspect(&owner));
            continue;
        };
        let expected = relay.gates.chain_time(&job.route.name, chain.time);
        log_verdict(job, &cell, &verdict, asked_at.elapsed(), expected);
        return match verdict {
            Verdict::Refuse { retry_after } => Err(Refusal::Overloaded {
                reason: "the stages together cannot be done in time",
                retry_after: retry_after.min(MAX_RETRY_AFTER),
            }),
            _ => Ok(Credit::new(grant, expected)),
        };
    }
    info!(relay.log, "no gate reachable, starting without a credit"; "request" => &*job.request.id,
        "cell" => cell.name(), "waited_ms" => millis(asked_at.elapsed()));
    relay.telemetry.credit("unreachable");
    Ok(without())
}

/// Asks the owner of a gate for a credit and waits for the final verdict; returns `None` if the owner does
/// not respond.
async fn ask<D: Downstream>(
    job: &Job<D>,
    owner: &Member,
    cell: &Cell,
    demand: Demand,
) -> Result<Option<(Grant<D>, Verdict)>, Refusal> {
    let relay = &job.relay;
    // The time to connect counts as well: requests connect one after the other to a process that does
    // not accept links.
    let first_until = Instant::now() + FIRST_VERDICT_TIMEOUT;
    let (grant, verdicts) = if owner.id == relay.options.member.id {
        let (credit, verdicts) = relay.ask_gate(cell, &demand);
        (Grant::Local(credit), verdicts)
    } else {
        let asking = relay.peers.ask_credit(relay, owner, cell, demand);
        let Ok(Some((credit, verdicts))) = timeout_at(first_until, asking).await else {
            return Ok(None);
        };
        (Grant::Remote(credit), verdicts)
    };
    let verdict = await_verdict(job, verdicts, first_until).await?;
    Ok(verdict.map(|verdict| (grant, verdict)))
}

/// Waits for the final verdict; returns `None` if the first one does not arrive in time, or if the link to
/// the owner of the gate is closed.
async fn await_verdict<D: Downstream>(
    job: &Job<D>,
    mut verdicts: Verdicts,
    first_until: Instant,
) -> Result<Option<Verdict>, Refusal> {
    let mut until = first_until;
    loop {
        let verdict = tokio::select! {
            verdict = timeout_at(until, verdicts.recv()) => verdict,
            () = job.relay.ending.cancelled() => return Err(Refusal::NotReady),
        };
        match verdict {
            // The link is closed if the owner stops responding.
            Ok(Some(Verdict::Wait { .. })) => until = Instant::now() + job.remaining(),
            Ok(Some(verdict)) => return Ok(Some(verdict)),
            Ok(None) | Err(_) => return Ok(None),
        }
    }
}

fn log_verdict<D: Downstream>(
    job: &Job<D>,
    cell: &Cell,
    verdict: &Verdict,
    waited: Duration,
    expected: Duration,
) {
    let (outcome, retry_after) = match verdict {
        Verdict::Refuse { retry_after } => ("refused", Some(*retry_after)),
        _ => ("started", None),
    };
    job.relay.telemetry.credit(outcome);
    job.relay.telemetry.credit_wait(waited);
    info!(job.relay.log, "stage credit"; "request" => &*job.request.id, "cell" => cell.name(),
        "owner" => &*job.relay.owner(cell), "outcome" => outcome, "waited_ms" => millis(waited),
        "chain_ms" => millis(expected), "on_time_ms" => millis(job.due.saturating_duration_since(Instant::now())),
        "retry_after_ms" => retry_after.map(millis));
}

/// The stages of a request that depend on other stages.
#[derive(Clone, Debug)]
struct Chain {
    /// Service of the last stage.
    last: ServiceId,
    pieces: Vec<(ServiceId, u32)>,
    /// Time of the whole chain without waits.
    time: Duration,
}

impl Chain {
    fn of<D: Downstream>(job: &Job<D>) -> Option<Self> {
        let stages = &job.route.stages;
        let is_dependent =
            |&stage: &usize| !stages[stage].after.is_empty() && job.pieces(stage) > 0;
        let dependent: Vec<usize> = (0..stages.len()).filter(is_dependent).collect();
        let last = stages[*dependent.last()?].service.clone();
        let pieces = dependent
            .iter()
            .map(|&stage| (stages[stage].service.clone(), job.pieces(stage)));
        Some(Self {
            last,
            pieces: pieces.collect(),
            time: job.chain_time(),
        })
    }

    /// A cell of the last service, chosen at random in proportion to its runners, so that the gates are
    /// loaded evenly.
    fn gate_cell<D: Downstream>(&self, relay: &Arc<Relay<D>>) -> Option<Cell> {
        let cells = relay.cells(&self.last);
        let runners = cells.iter().map(|cell| cell.runners.len()).sum::<usize>();
        if runners == 0 {
            return None;
        }
        let mut draw = relay.random(|rng| rng.random_range(0..runners));
        let chosen = cells.iter().find(|cell| {
            let is_chosen = draw < cell.runners.len();
            draw = draw.saturating_sub(cell.runners.len());
            is_chosen
        });
        chosen.map(|chosen| chosen.cell.clone())
    }

    fn demand<D: Downstream>(&self, job: &Job<D>) -> Demand {
        let model_time = job.model_time();
        let left = job.due.saturating_duration_since(Instant::now());
        let due = left.saturating_sub(model_time);
        let due = if job.is_retry {
            due
        } else {
            due.max(self.time.mul_f64(MIN_FIRST_ATTEMPT_FACTOR))
        };
        Demand {
            rank: job.rank,
            pieces: self.pieces.clone(),
            chain_time: self.time,
            due,
            expires: job.remaining().saturating_sub(model_time),
        }
    }
}
