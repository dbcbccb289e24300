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

/// Time that a runner works on a request before its fault takes effect.
pub(crate) const FAULT_DELAY: Duration = Duration::from_millis(50);

/// Where in the processing of a request a fault occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultSite {
    Stage(usize),
    /// At the model, before the response begins.
    Model,
    /// At the model, after the first part of the response.
    Answer,
}

/// Effect of a fault on a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// It exits; nothing listens at its address any more.
    Exits,
    /// It becomes unresponsive to all requests; connections to it are not refused.
    Silent,
    /// It does not respond to the request, but does to all others.
    Stalls,
}

/// A fault that requests cause at the runners that work on them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// Prefix of the requests' names.
    pub(crate) prefix: &'static str,
    pub(crate) site: FaultSite,
    /// The piece that causes the fault; any piece if `None`.
    pub(crate) piece: Option<u32>,
    pub(crate) effect: Effect,
}

/// Effect of a fault, and the name of the request that causes it.
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

    fn matches(&self, (id, site, piece): (&str, FaultSite, u32)) -> bool {
        let piece = self.piece.is_none_or(|faulty| faulty == piece);
        id.starts_with(self.prefix) && self.site == site && piece
    }
}

/// A runner failure.
#[derive(Clone, Debug)]
pub(crate) struct RunnerFailure {
    pub(crate) runner: String,
    pub(crate) at: Instant,
    /// The request that caused it; `None` if it was spontaneous.
    pub(crate) request: Option<String>,
}

/// Runners that are currently failed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    exited: BTreeSet<String>,
    silent: BTreeSet<String>,
}

impl Health {
    fn failure(&self, runner: &str) -> Option<Effect> {
        if self.exited.contains(runner) {
            return Some(Effect::Exits);
        }
        self.silent.contains(runner).then_some(Effect::Silent)
    }
}

/// Injected faults and health of all runners. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerFaults {
    faults: Arc<Mutex<Vec<Fault>>>,
    failures: Arc<Mutex<Vec<RunnerFailure>>>,
    health: watch::Sender<Health>,
}

impl RunnerFaults {
    /// Replaces the faults that requests cause from now on.
    pub(crate) fn set(&self, faults: impl IntoIterator<Item = Fault>) {
        *self.faults.lock().expect("no holder panics") = faults.into_iter().collect();
    }

    /// The fault that the first faulty request among `work` causes.
    pub(crate) fn triggered<'a>(
        &self,
        work: impl IntoIterator<Item = (&'a str, FaultSite, u32)>,
    ) -> Option<Cause> {
        let faults = self.faults.lock().expect("no holder panics");
        let of = |one: (&'a str, FaultSite, u32)| {
            let fault = faults.iter().find(|fault| fault.matches(one))?;
            Some((fault.effect, one.0.to_owned()))
        };
        work.into_iter().find_map(of)
    }

    /// All runner failures so far, in order.
    pub(crate) fn failures(&self) -> Vec<RunnerFailure> {
        self.failures.lock().expect("no holder panics").clone()
    }

    /// Makes a runner exit spontaneously.
    pub(crate) fn end(&self, runner: &str) {
        self.fail(runner, Effect::Exits, None);
    }

    /// Restarts a runner.
    pub(crate) fn start(&self, runner: &str) {
        self.health.send_modify(|health| {
            health.exited.remove(runner);
            health.silent.remove(runner);
        });
    }

    pub(crate) fn has_exited(&self, runner: &str) -> bool {
        self.health.borrow().exited.contains(runner)
    }

    pub(crate) fn is_healthy(&self, runner: &str) -> bool {
        self.health.borrow().failure(runner).is_none()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Health> {
        self.health.subscribe()
    }

    fn fail(&self, runner: &str, effect: Effect, request: Option<String>) {
        if effect == Effect::Stalls || !self.is_healthy(runner) {
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
                Effect::Exits => &mut health.exited,
                _ => &mut health.silent,
            };
            failed.insert(runner.to_owned());
        });
    }

    /// Connects to a runner, which is refused if nothing listens at its address.
    pub(crate) fn connect(&self, runner: &str) -> Result<(), Failure> {
        let reason = "refused".to_owned();
        let reason = NotRun::Unreachable { reason };
        let refused = Failure::NotRun { reason };
        (!self.has_exited(runner)).then_some(()).ok_or(refused)
    }

    /// Waits until the work on a call stops, because the runner fails or the call's own fault `cause` takes
    /// effect.
    pub(crate) async fn wait_for_failure(&self, runner: &str, cause: Option<Cause>) -> Effect {
        if self.is_healthy(runner)
            && let Some((effect, request)) = cause
        {
            sleep(FAULT_DELAY).await;
            self.fail(runner, effect, Some(request));
            if effect == Effect::Stalls {
                return effect;
            }
        }
        let mut health = self.watch();
        let failed = health.wait_for(|health| health.failure(runner).is_some());
        let failed = failed.await.expect("the health is observed");
        failed.failure(runner).expect("it has failed")
    }

    /// The failure that the caller sees after the work on its call has stopped.
    pub(crate) async fn outcome(
        &self,
        runner: &str,
        effect: Effect,
        patience: Duration,
    ) -> Failure {
        let mut health = self.watch();
        let cut = async {
            match effect {
                Effect::Exits => {}
                Effect::Silent => {
                    let is_silent = |health: &Health| health.silent.contains(runner);
                    let started = health.wait_for(|health| !is_silent(health)).await;
                    started.expect("the health is observed");
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

    /// Wraps a response body so that it is cut off when the runner fails, or when the request's own fault
    /// `cause` takes effect.
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
                    effect = faults.wait_for_failure(&runner, cause) => {
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
