//! Runs one stage of a job, with its first attempt, retries and hedged attempts, until one answer
//! is committed.
//!
//! * `attempts`: outcome of the attempts
//! * `retry`: whether the stage is retried
//! * `events`: agent frames as events of the state machine

mod attempts;
mod events;
mod retry;

use crate::answer::RequestOutcome;
use crate::core::{Core, Platform};
use crate::job::Job;
use crate::service::{Demand, Permit, Service};
use crate::target::{Inbox, Message, Target};
use crate::wait::{GivenUp, Waiter};
use bytes::{Bytes, BytesMut};
use decide::budget::StageSchedule;
use decide::route::TargetId;
use protocol::stage::{Action, Mode, Stage};
use protocol::{Attempt, CallId, StageIndex};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::{Frame, Sender, Work};

/// Initial backoff while no target accepts the stage.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);

/// Result of a stage.
#[derive(Clone, Debug)]
pub struct Output {
    /// Content of the answer; empty if the chunks were streamed to the caller.
    pub content: Bytes,
    /// Time from sending the winning attempt to its complete answer.
    pub elapsed: Duration,
}

/// State of one attempt.
#[derive(Debug)]
struct AttemptState {
    target: Arc<Target>,
    link: Sender,
    permit: Option<Permit>,
    sent: Instant,
    content: BytesMut,
    ended: bool,
}

/// Execution of one stage of one job.
pub struct StageRun<'a, P: Platform> {
    core: &'a Arc<Core<P>>,
    job: &'a Job,
    spec: &'a record::Stage,
    position: StageIndex,
    /// Whether an earlier stage has run; the request then never ends as *not run*.
    has_run: bool,
    streamed: bool,
    service: Arc<Service>,
    schedule: StageSchedule,
    demand: Demand,
    input: Bytes,
    machine: Stage,
    attempts: Vec<AttemptState>,
    tried: Vec<TargetId>,
    inbox: Inbox,
    messages: mpsc::UnboundedReceiver<Message>,
    failure: Option<(u16, Bytes)>,
    started: Instant,
    waiter: Waiter<'a, P>,
    backoff: Duration,
}

/// Cancels the remaining attempts, so that their runners are freed however the stage ends.
impl<P: Platform> Drop for StageRun<'_, P> {
    fn drop(&mut self) {
        for index in 0..self.attempts.len() {
            self.abort(index);
        }
    }
}

impl<'a, P: Platform> StageRun<'a, P> {
    /// Creates the execution of a stage without any attempt.
    pub fn new(
        core: &'a Arc<Core<P>>,
        job: &'a Job,
        position: usize,
        input: Bytes,
        streamed: bool,
    ) -> Self {
        let spec = &job.pipeline.stages[position];
        let service = core.services.get(&spec.service);
        let schedule = core.schedule(job, position);
        let demand = core.demand(job, position, &schedule, &input);
        let (inbox, messages) = mpsc::unbounded_channel();
        let has_run = position > 0 || job.may_have_run();
        Self {
            core,
            job,
            spec,
            position: StageIndex::try_from(position).unwrap_or(StageIndex::MAX),
            has_run,
            streamed,
            service,
            schedule,
            demand,
            input,
            machine: Stage::new(Mode {
                repeatable: spec.repeatable,
                stream: streamed,
            }),
            attempts: Vec::new(),
            tried: Vec::new(),
            inbox,
            messages,
            failure: None,
            started: Instant::now(),
            waiter: Waiter::new(core, job, position, has_run),
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Makes attempts until the stage has an answer or may not be retried.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the whole request.
    pub async fn finish(mut self, first: Option<Permit>) -> Result<Output, RequestOutcome> {
        let mut permit = first;
        loop {
            let permit = match permit.take() {
                Some(permit) => permit,
                None => self.acquire_permit().await?,
            };
            match self.start(Some(permit)).await {
                Ok(true) => {}
                Ok(false) => {
                    self.back_off().await?;
                    continue;
                }
                Err(outcome) => return Err(outcome),
            }
            if let Some(output) = self.process_messages().await {
                return Ok(output);
            }
            self.retry().await?;
        }
    }

    /// Waits for a permit for the next call.
    async fn acquire_permit(&mut self) -> Result<Permit, RequestOutcome> {
        let permit = self.service.acquire(&self.demand);
        match self.waiter.until(permit).await {
            Ok(permit) => Ok(permit),
            Err(GivenUp) => Err(self.outcome()),
        }
    }

    /// Sends an attempt to a target. Returns `false` if no target is available.
    async fn start(&mut self, permit: Option<Permit>) -> Result<bool, RequestOutcome> {
        if !self.machine.may_start() {
            return Err(self.outcome());
        }
        let set = self.core.config.current();
        let chosen = {
            let rng = &mut rand::rng();
            self.service.choose(&self.demand, &self.tried, &set, rng)
        };
        let Some(target) = chosen else {
            return Ok(false);
        };
        // The call is registered before the state machine starts the attempt: an attempt that is
        // counted but never sent would shift the numbers of all later ones relative to `attempts`.
        let next_attempt = Attempt::try_from(self.attempts.len()).unwrap_or(Attempt::MAX);
        let call = self.call(next_attempt);
        let link = target.register_call(call, self.inbox.clone());
        let Some(link) = link else {
            self.service.record_withdrawn(&target.vm.id, None, false);
            return Ok(false);
        };
        let Some((_, resume)) = self.machine.start() else {
            return Err(self.outcome());
        };
        let offer = Frame::Offer {
            call,
            work: Box::new(self.work(resume)),
        };
        self.attempts.push(AttemptState {
            target,
            link: link.clone(),
            permit,
            sent: Instant::now(),
            content: BytesMut::new(),
            ended: false,
        });
        self.waiter.record_target_found();
        // If the link is lost, the inbox receives a message.
        let _ = link.send(offer).await;
        Ok(true)
    }

    /// Returns the id of an attempt. Each entry that runs the request uses its own range of attempt
    /// numbers: an agent that still has an attempt of the previous entry would treat the offer as a
    /// duplicate and never answer it.
    fn call(&self, attempt: Attempt) -> CallId {
        CallId {
            request: self.job.id,
            stage: self.position,
            attempt: self.job.first_attempt.wrapping_add(attempt),
        }
    }

    /// Returns the number of an attempt within this run.
    fn attempt(&self, call: CallId) -> Attempt {
        call.attempt.wrapping_sub(self.job.first_attempt)
    }

    fn work(&self, resume: protocol::Sequence) -> Work {
        Work {
            workspace: self.job.workspace.clone(),
            class: self.job.class.clone(),
            service: self.spec.service.clone(),
            stage: self.spec.name.clone(),
            repeatable: self.spec.repeatable,
            stream: self.streamed,
            priority: self.schedule.priority,
            remaining: self.job.remaining(),
            prefix: self.demand.prefix.clone(),
            resume,
            revision: self.job.set.revision(),
            input: self.input.clone(),
            model: self.spec.model.clone(),
        }
    }

    /// Processes messages until an answer is committed or every attempt has ended.
    async fn process_messages(&mut self) -> Option<Output> {
        let mut hedge_at = self.hedge_at();
        while self.machine.outcome().is_none() {
            let message = match hedge_at {
                None => self.messages.recv().await,
                Some(at) => tokio::select! {
                    message = self.messages.recv() => message,
                    () = tokio::time::sleep_until(at) => {
                        hedge_at = None;
                        self.send_hedge().await;
                        continue;
                    }
                },
            };
            // `self` holds a sender, so the channel cannot close.
            let message = message?;
            if let Some(output) = self.handle_message(message).await {
                return Some(output);
            }
        }
        None
    }

    /// Returns when a hedged attempt may be sent: only for a repeatable stage, and never for a
    /// streamed answer, whose chunks go to the caller.
    fn hedge_at(&self) -> Option<Instant> {
        if !self.spec.repeatable || self.streamed {
            return None;
        }
        let sent = self.attempts.last()?.sent;
        self.service.hedge_after().map(|after| sent + after)
    }

    async fn send_hedge(&mut self) {
        if let Some(target) = self
            .attempts
            .last()
            .map(|last| last.target.vm.id.as_str().into())
        {
            self.tried.push(target);
        }
        if self.service.try_hedge() {
            self.core.telemetry.record_hedge();
            // If the hedge finds no target, the first attempt simply continues.
            let _ = self.start(None).await;
        }
    }

    async fn handle_message(&mut self, message: Message) -> Option<Output> {
        let (call, frame) = match message {
            Message::Frame(call, frame) => (call, Some(frame)),
            Message::Lost(call) => (call, None),
        };
        if frame.is_none() && self.recall(self.attempt(call)).await {
            return None;
        }
        let actions = self
            .machine
            .on(self.attempt(call), events::event(frame.as_ref()));
        for action in actions.into_iter().flatten() {
            if let Some(output) = self.execute(call, action, frame.as_ref()).await {
                return Some(output);
            }
        }
        None
    }

    /// Executes an action of the state machine. Returns the output once it is committed.
    async fn execute(
        &mut self,
        call: CallId,
        action: Action,
        frame: Option<&Frame>,
    ) -> Option<Output> {
        let index = usize::from(self.attempt(call));
        let link = self.attempts.get(index)?.link.clone();
        // If the link fails while sending, the inbox receives a message.
        let _ = match action {
            Action::Grant => link.send(Frame::Grant { call }).await,
            Action::Deny => link.send(Frame::Deny { call }).await,
            Action::Revoke => link.send(Frame::Revoke { call }).await,
            Action::Accept => {
                self.accept(index, frame);
                Ok(())
            }
            Action::Drop => {
                self.core.telemetry.record_dropped_message();
                Ok(())
            }
            Action::CancelOthers => {
                self.cancel_others(index);
                Ok(())
            }
            Action::Ended(outcome) => {
                self.end_attempt(index, outcome, frame);
                Ok(())
            }
            Action::Commit => return self.commit(index, frame),
        };
        None
    }
}
