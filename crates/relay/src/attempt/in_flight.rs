//! A call in progress at a runner, and what its outcome shows about the runner.

use crate::configuration::ServiceId;
use crate::core::Relay;
use crate::downstream::Downstream;
use crate::outage;
use crate::request::ContentId;
use crate::runner::Runner;
use crate::serve::Job;
use decide::route::prefill::FirstEvent;
use decide::route::{self, Pool, Target};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the beginning of its response for which a request's prompt parts may have crashed the runner. By
/// then it has processed the prompt and generates tokens, as for any other request.
const MAX_PART_CRASH_DELAY: Duration = Duration::from_millis(500);

/// Calls in progress at a runner when another one was sent to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunnerLoad {
    /// Calls of this process.
    pub(super) own: u32,
    /// Calls of the other processes, unless their reports are too old.
    pub(super) others: Option<u32>,
    /// Age of the last report of the other processes.
    pub(super) report_age: Option<Duration>,
}

impl RunnerLoad {
    fn new(pool: &Pool, id: &str, now: Duration) -> Self {
        let target = pool.get(id);
        let others = target.and_then(|target| pool.peer_load(target, now));
        Self {
            own: target.map_or(0, Target::in_flight),
            others: others.map(|others| others.calls),
            report_age: pool.peer_loads_age(now),
        }
    }
}

/// A call in progress, which counts towards the runner's load until it is over.
#[derive(Debug)]
pub struct InFlightCall<D: Downstream> {
    relay: Arc<Relay<D>>,
    service: ServiceId,
    /// The runner.
    pub runner: Arc<Runner>,
    /// When the call was sent.
    pub sent_at: Instant,
    prefill_seconds: f64,
    content: ContentId,
    /// Content ids of the request's shared prompt parts.
    parts: Vec<ContentId>,
    response_started_at: Option<Instant>,
    /// When data last arrived from the runner for this call, or when the call was sent.
    last_activity: Instant,
    /// Load of the runner when this call was sent, as far as it was known.
    pub(super) load_before: RunnerLoad,
    is_recorded: bool,
}

impl<D: Downstream> InFlightCall<D> {
    pub(super) fn new(job: &Job<D>, runner: Arc<Runner>) -> Self {
        let now = job.relay.now();
        let prompt = job.request.prompt.as_ref();
        let speed = job.relay.prefill_speed(&job.service);
        let prefill_seconds = prompt.map_or(0.0, |prompt| speed.read_seconds(prompt.unshared()));
        let load_before = job.relay.pool(&job.service, |pool| {
            let load_before = RunnerLoad::new(pool, &runner.id, now);
            pool.sent(&runner.id, now);
            if prompt.is_some() {
                pool.prompt_sent(&runner.id, now, prefill_seconds);
            }
            load_before
        });
        job.relay.record_sent(job.content, &runner);
        let now = Instant::now();
        Self {
            relay: job.relay.clone(),
            service: job.service.clone(),
            runner,
            sent_at: now,
            last_activity: now,
            prefill_seconds,
            content: job.content,
            parts: job.parts().to_vec(),
            response_started_at: None,
            load_before,
            is_recorded: false,
        }
    }

    /// A call that had been given up and whose runner goes on with it.
    pub(crate) fn reattach(job: &Job<D>, runner: Arc<Runner>, sent_at: Instant) -> Self {
        let mut call = Self::new(job, runner);
        call.sent_at = sent_at;
        call.response_started();
        call
    }

    /// Content ids of the request and of its shared prompt parts.
    fn contents(&self) -> Vec<ContentId> {
        [&[self.content], &*self.parts].concat()
    }

    /// The contents that may have crashed the runner: the request, and those of its parts with which no
    /// request has been answered since it was sent.
    ///
    /// Parts are not suspected if the runner had been responding for a while, or if a runner has crashed
    /// under the same request before: the repetition says nothing about its parts.
    fn suspect_contents(&self) -> Vec<ContentId> {
        let is_responding = self
            .response_started_at
            .is_some_and(|started| started.elapsed() > MAX_PART_CRASH_DELAY);
        if is_responding || self.relay.is_suspect(self.content) {
            return vec![self.content];
        }
        let mut contents = self.contents();
        contents.retain(|content| !self.relay.is_part_answered_since(*content, self.sent_at));
        contents
    }

    /// Notes that the response has started, by which time the runner has processed the prompt.
    pub(super) fn response_started(&mut self) {
        self.response_started_at = Some(Instant::now());
        let prefill_seconds = std::mem::take(&mut self.prefill_seconds);
        if prefill_seconds > 0.0 {
            self.relay.pool(&self.service, |pool| {
                pool.prompt_read(&self.runner.id, prefill_seconds);
            });
        }
    }

    /// Learns the speed of the service's engines from the first event of this call.
    pub fn record_first_event(&self, job: &Job<D>) {
        let Some(prompt) = &job.request.prompt else {
            return;
        };
        let event = FirstEvent {
            elapsed: self.sent_at.elapsed(),
            unshared: prompt.unshared(),
            tokens: prompt.input,
            in_progress: self.load_before.own + self.load_before.others.unwrap_or(0),
        };
        self.relay.record_prefill(&self.service, &event);
    }

    /// Notes that data has arrived from the runner.
    pub fn record_activity(&mut self) {
        self.last_activity = Instant::now();
        self.relay.record_activity(&self.runner, self.last_activity);
    }

    /// Notes that the call is overdue or that its time is over: the runner may be unresponsive.
    pub fn record_overdue(&self) {
        self.relay
            .record_overdue(self.content, &self.runner, self.last_activity);
    }

    /// Notes a proper response. `elapsed` is the time by which the runner's speed is judged. Only a success
    /// shows that the runner has processed all parts of the prompt.
    pub fn answered(mut self, elapsed: Duration, is_success: bool) {
        self.is_recorded = true;
        let now = self.relay.now();
        let answer = route::ResponseStats {
            busy: elapsed,
            elapsed,
            prefix: &[],
            hits: 0,
        };
        self.relay.pool(&self.service, |pool| {
            pool.answered(&self.runner.id, now, &answer);
        });
        self.relay.telemetry.attempt("answered");
        if is_success {
            self.relay.record_answered_parts(&self.parts);
            self.relay.record_answer(&self.contents(), &self.runner);
        } else {
            self.relay.record_answer(&[self.content], &self.runner);
        }
    }

    /// Notes that the response was lost: the runner may have exited while running the request.
    ///
    /// Waits briefly for a probe of the runner, so that a retry neither goes to the same runner nor
    /// crashes a second one.
    pub async fn lost(self) {
        let isolated = false;
        for content in self.suspect_contents() {
            self.relay
                .record_lost_answer(content, &self.runner, self.sent_at, isolated);
        }
        outage::probe_briefly(&self.relay, &self.runner).await;
        self.failed();
    }

    /// Notes that the call was given up because its time was over. That does not show when the runner
    /// exits, should it do so: only a runner that has been silent may have exited under the call.
    pub async fn timed_out(self) {
        self.record_overdue();
        outage::probe_briefly(&self.relay, &self.runner).await;
        self.failed();
    }

    /// Notes that the call has not run, which does not count against the runner.
    pub(super) fn not_run(mut self) {
        self.last_activity = Instant::now();
    }

    /// Notes that no connection to the runner could be established.
    pub(super) async fn unreachable(self) {
        outage::probe_briefly(&self.relay, &self.runner).await;
        self.failed();
    }

    /// Notes a failure of the runner.
    pub fn failed(mut self) {
        self.is_recorded = true;
        let now = self.relay.now();
        self.relay
            .pool(&self.service, |pool| pool.failed(&self.runner.id, now));
        self.relay.telemetry.attempt("failed");
    }
}

/// A client that disconnects cancels its request at any point. The runner must not count as busy
/// with it for ever.
impl<D: Downstream> Drop for InFlightCall<D> {
    fn drop(&mut self) {
        self.response_started();
        self.relay.record_finished(self.content, &self.runner);
        if !self.is_recorded {
            self.record_overdue();
            self.relay
                .pool(&self.service, |pool| pool.returned(&self.runner.id));
        }
    }
}
