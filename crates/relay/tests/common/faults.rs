//! Runners that fail: by themselves, or under requests that harm them.

use super::parts::Parts;
use futures::StreamExt;
use futures::stream;
use relay::downstream::{Failure, NotRun};
use relay::request::IncompleteBody;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Time that a runner works on a request before that harms it.
pub(crate) const HARMED_AFTER: Duration = Duration::from_millis(50);

/// Where a request is worked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultSite {
    Stage(usize),
    /// Before its answer begins.
    Model,
    /// After the first part of its answer.
    Answer,
}

/// What becomes of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// It ends; nothing listens at its address any more.
    Ends,
    /// It answers nobody any more; its address refuses nobody.
    Silent,
    /// It answers all others.
    Stalls,
}

/// What requests do to the runners that work on them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// Beginning of the requests' names.
    pub(crate) prefix: &'static str,
    pub(crate) site: FaultSite,
    /// The piece that does it; each of them if none is named.
    pub(crate) piece: Option<u32>,
    pub(crate) effect: Effect,
}

/// What a request does to its runner, and its name.
pub(crate) type Cause = (Effect, String);

impl Fault {
    pub(crate) fn new(prefix: &'static str, site: FaultSite, effect: Effect) -> Self {
        Self {
            prefix,
            site,
            piece: None,
            effect,
        }
    }

    fn is_of(&self, (id, site, piece): (&str, FaultSite, u32)) -> bool {
        let piece = self.piece.is_none_or(|deadly| deadly == piece);
        id.starts_with(self.prefix) && self.site == site && piece
    }
}

/// A runner that has failed.
#[derive(Clone, Debug)]
pub(crate) struct RunnerFailure {
    pub(crate) runner: String,
    pub(crate) at: Instant,
    /// The request that harmed it; none if it failed by itself.
    pub(crate) request: Option<String>,
}

/// Runners that are not well now.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    ended: BTreeSet<String>,
    silent: BTreeSet<String>,
}

impl Health {
    fn failure(&self, runner: &str) -> Option<Effect> {
        if self.ended.contains(runner) {
            return Some(Effect::Ends);
        }
        self.silent.contains(runner).then_some(Effect::Silent)
    }
}

/// All runners' health; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerFaults {
    faults: Arc<Mutex<Vec<Fault>>>,
    failures: Arc<Mutex<Vec<RunnerFailure>>>,
    health: watch::Sender<Health>,
}

impl RunnerFaults {
    /// From now on these requests harm runners, and no others.
    pub(crate) fn set(&self, faults: impl IntoIterator<Item = Fault>) {
        *self.faults.lock().expect("no holder panics") = faults.into_iter().collect();
    }

    /// What the first request that does harm does to a runner, and its name.
    pub(crate) fn fault<'a>(
        &self,
        work: impl IntoIterator<Item = (&'a str, FaultSite, u32)>,
    ) -> Option<Cause> {
        let faults = self.faults.lock().expect("no holder panics");
        let of = |one: (&'a str, FaultSite, u32)| {
            let fault = faults.iter().find(|fault| fault.is_of(one))?;
            Some((fault.effect, one.0.to_owned()))
        };
        work.into_iter().find_map(of)
    }

    /// Runners that have failed, in the order in which they did.
    pub(crate) fn failures(&self) -> Vec<RunnerFailure> {
        self.failures.lock().expect("no holder panics").clone()
    }

    /// The runner ends by itself.
    pub(crate) fn end(&self, runner: &str) {
        self.put(runner, Effect::Ends, None);
    }

    /// The runner has started anew.
    pub(crate) fn start(&self, runner: &str) {
        self.health.send_modify(|health| {
            health.ended.remove(runner);
            health.silent.remove(runner);
        });
    }

    pub(crate) fn has_ended(&self, runner: &str) -> bool {
        self.health.borrow().ended.contains(runner)
    }

    pub(crate) fn is_well(&self, runner: &str) -> bool {
        self.health.borrow().failure(runner).is_none()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Health> {
        self.health.subscribe()
    }

    fn put(&self, runner: &str, effect: Effect, request: Option<String>) {
        if effect == Effect::Stalls || !self.is_well(runner) {
            return;
        }
        self.failures
            .lock()
            .expect("no holder panics")
            .push(RunnerFailure {
                runner: runner.to_owned(),
                at: Instant::now(),
                request,
            });
        self.health.send_modify(|health| {
            let failed = match effect {
                Effect::Ends => &mut health.ended,
                _ => &mut health.silent,
            };
            failed.insert(runner.to_owned());
        });
    }

    /// A connection to a runner at whose address nothing listens.
    pub(crate) fn connect(&self, runner: &str) -> Result<(), Failure> {
        let reason = "refused".to_owned();
        let reason = NotRun::Unreachable { reason };
        let refused = Failure::NotRun { reason };
        (!self.has_ended(runner)).then_some(()).ok_or(refused)
    }

    /// Waits until a call is not worked on any more, which the harm of its own requests may do.
    pub(crate) async fn failure(&self, runner: &str, cause: Option<Cause>) -> Effect {
        if self.is_well(runner)
            && let Some((effect, request)) = cause
        {
            sleep(HARMED_AFTER).await;
            self.put(runner, effect, Some(request));
            if effect == Effect::Stalls {
                return effect;
            }
        }
        let mut health = self.watch();
        let failed = health.wait_for(|health| health.failure(runner).is_some());
        let failed = failed.await.expect("the ward is there");
        failed.failure(runner).expect("it has failed")
    }

    /// What a call at the runner ends with.
    pub(crate) async fn outcome(
        &self,
        runner: &str,
        effect: Effect,
        patience: Duration,
    ) -> Failure {
        let mut health = self.watch();
        let cut = async {
            match effect {
                Effect::Ends => {}
                Effect::Silent => {
                    let is_silent = |health: &Health| health.silent.contains(runner);
                    let started = health.wait_for(|health| !is_silent(health)).await;
                    started.expect("the ward is there");
                }
                Effect::Stalls => std::future::pending().await,
            }
        };
        let reason = match timeout(patience, cut).await {
            Ok(()) => "reset",
            Err(_) => "no answer in time",
        };
        Failure::Lost {
            reason: reason.to_owned(),
        }
    }

    /// The body of an answer that goes on as long as its runner does, which its own request may harm.
    pub(crate) fn guard(&self, runner: &str, parts: Parts, cause: Option<Cause>) -> Parts {
        let parts: Parts = match &cause {
            Some(_) => Box::pin(parts.chain(stream::pending())),
            None => parts,
        };
        let start = Some((parts, self.clone(), runner.to_owned()));
        let next = move |state: Option<(Parts, Self, String)>| {
            let cause = cause.clone();
            async move {
                let (mut parts, faults, runner) = state?;
                let part = tokio::select! {
                    biased;
                    effect = faults.failure(&runner, cause) => {
                        let failure = faults.outcome(&runner, effect, Duration::MAX).await;
                        let reason = failure.to_string();
                        return Some((Err(IncompleteBody { reason }), None));
                    }
                    part = parts.next() => part?,
                };
                Some((part, Some((parts, faults, runner))))
            }
        };
        Box::pin(stream::unfold(start, next))
    }
}
