//! A call at a runner, and what its end says of the runner.

use crate::core::Relay;
use crate::downstream::Downstream;
use crate::outage;
use crate::plan::ServiceId;
use crate::request::ContentId;
use crate::runner::Runner;
use crate::serve::Job;
use decide::route::{self, Pool, Target, affine};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Calls that were at a runner when one was sent there.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Before {
    /// Those of this process.
    pub(super) own: u32,
    /// Those of the other processes, unless they had not told lately.
    pub(super) others: Option<u32>,
    /// Age of their word.
    pub(super) told: Option<Duration>,
}

impl Before {
    fn new(pool: &Pool, id: &str, now: Duration) -> Self {
        let target = pool.get(id);
        let others = target.and_then(|target| pool.elsewhere(target, now));
        Self {
            own: target.map_or(0, Target::in_flight),
            others: others.map(|others| others.calls),
            told: pool.told_age(now),
        }
    }
}

/// A call at a runner, counted there until it is over.
#[derive(Debug)]
pub struct Flight<D: Downstream> {
    relay: Arc<Relay<D>>,
    service: ServiceId,
    /// The runner.
    pub runner: Arc<Runner>,
    /// When the call was sent.
    pub sent: Instant,
    reading: f64,
    content: ContentId,
    /// When something last came from the runner for this call, or when that was sent.
    sign: Instant,
    /// Calls that were at the runner when this one was sent, as far as was known.
    pub(super) before: Before,
    over: bool,
}

impl<D: Downstream> Flight<D> {
    pub(super) fn new(job: &Job<D>, runner: Arc<Runner>) -> Self {
        let now = job.relay.now();
        let prompt = job.request.prompt.as_ref();
        let reading = prompt.map_or(0.0, |prompt| affine::reading(prompt.unshared()));
        let before = job.relay.pool(&job.service, |pool| {
            let before = Before::new(pool, &runner.id, now);
            pool.sent(&runner.id, now);
            if prompt.is_some() {
                pool.reads(&runner.id, now, reading);
            }
            before
        });
        job.relay.note_begun(job.content, &runner);
        let now = Instant::now();
        Self {
            relay: job.relay.clone(),
            service: job.service.clone(),
            runner,
            sent: now,
            sign: now,
            reading,
            content: job.content,
            before,
            over: false,
        }
    }

    /// The runner has begun to answer, and has read the prompt by then.
    pub(super) fn begun(&mut self) {
        let reading = std::mem::take(&mut self.reading);
        if reading > 0.0 {
            self.relay.pool(&self.service, |pool| {
                pool.has_read(&self.runner.id, reading);
            });
        }
    }

    /// Something has come from the runner.
    pub fn observed(&mut self) {
        self.sign = Instant::now();
        self.relay.note_sign(&self.runner, self.sign);
    }

    /// The call has waited for long, or its time is over: the runner may be silent.
    pub fn waited(&self) {
        self.relay
            .note_waited(self.content, &self.runner, self.sign);
    }

    /// The runner answered as it should; `elapsed` is the time that speaks for its speed.
    pub fn answered(mut self, elapsed: Duration) {
        self.over = true;
        let now = self.relay.now();
        let answer = route::Answer {
            busy: elapsed,
            elapsed,
            prefix: &[],
            hits: 0,
        };
        self.relay.pool(&self.service, |pool| {
            pool.answered(&self.runner.id, now, &answer);
        });
        self.relay.telemetry.attempt("answered");
        self.relay.note_served(self.content, &self.runner);
    }

    /// The runner's answer was lost: it may have ended under the request.
    ///
    /// Waits a moment for the answer to that, so that a repeat does not meet the same runner, or a
    /// second one that it would end as well.
    pub async fn lost(self) {
        let isolated = false;
        self.relay
            .note_lost(self.content, &self.runner, self.sent, isolated);
        outage::probe_briefly(&self.relay, &self.runner).await;
        self.failed();
    }

    /// The call has not run, and says nothing against the runner.
    pub(super) fn returned(mut self) {
        self.sign = Instant::now();
    }

    /// No connection to the runner came about.
    pub(super) async fn unreachable(self) {
        outage::probe_briefly(&self.relay, &self.runner).await;
        self.failed();
    }

    /// The runner failed.
    pub fn failed(mut self) {
        self.over = true;
        let now = self.relay.now();
        self.relay
            .pool(&self.service, |pool| pool.failed(&self.runner.id, now));
        self.relay.telemetry.attempt("failed");
    }
}

/// A caller that leaves drops its request where it stands; the runner must not count as busy with
/// it for ever.
impl<D: Downstream> Drop for Flight<D> {
    fn drop(&mut self) {
        self.begun();
        self.relay.note_over(self.content, &self.runner);
        if !self.over {
            self.waited();
            self.relay
                .pool(&self.service, |pool| pool.returned(&self.runner.id));
        }
    }
}
