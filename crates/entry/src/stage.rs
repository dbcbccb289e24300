//! Runs one stage of a job: first try, retries and hedges, until one answer is committed.

use crate::answer::End;
use crate::core::{Core, Platform};
use crate::job::Job;
use crate::service::models::Availability;
use crate::service::{Demand, Service, Turn};
use crate::target::{Inbox, Message, Target};
use bytes::{Bytes, BytesMut};
use decide::budget::Slot;
use decide::retry::Failure;
use decide::route::TargetId;
use protocol::call::{self, Event};
use protocol::stage::{Action, Mode, Stage};
use protocol::{Attempt, CallId, StageIndex};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::{Frame, Load, Refusal, Sender, Work};

/// First pause before another attempt when no target would take the stage.
const PAUSE_FIRST: Duration = Duration::from_millis(5);
/// Longest pause between attempts.
const PAUSE_MOST: Duration = Duration::from_millis(500);
/// How long an accepted request waits for a target that would take its next stage.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long a lost answer to a call that may not be repeated is waited for before its outcome is
/// told as unknown.
const RECALL_PATIENCE: Duration = Duration::from_secs(30);
/// Lowest HTTP status that blames the runner rather than the input.
const SERVER_ERROR: u16 = 500;

/// What a stage has brought.
#[derive(Clone, Debug)]
pub struct Output {
    /// Content; empty if the chunks went to the caller as they came.
    pub content: Bytes,
    /// Time from sending the attempt that won to its whole answer.
    pub elapsed: Duration,
}

/// What one attempt has brought so far.
#[derive(Debug)]
struct Try {
    target: Arc<Target>,
    link: Sender,
    turn: Option<Turn>,
    sent: Instant,
    content: BytesMut,
    over: bool,
}

/// One stage of one job.
pub struct Run<'a, P: Platform> {
    core: &'a Arc<Core<P>>,
    job: &'a Job,
    spec: &'a record::Stage,
    position: StageIndex,
    /// Whether an earlier stage has run, so that the request is never told as *not run*.
    ran: bool,
    streamed: bool,
    service: Arc<Service>,
    slot: Slot,
    demand: Demand,
    input: Bytes,
    machine: Stage,
    tries: Vec<Try>,
    tried: Vec<TargetId>,
    inbox: Inbox,
    messages: mpsc::UnboundedReceiver<Message>,
    failure: Option<(u16, Bytes)>,
    began: Instant,
    pause: Duration,
}

/// Losers of a stage free their runners, however the stage ends.
impl<P: Platform> Drop for Run<'_, P> {
    fn drop(&mut self) {
        for index in 0..self.tries.len() {
            self.abandon(index);
        }
    }
}

impl<'a, P: Platform> Run<'a, P> {
    /// A stage that has not been tried yet.
    pub fn new(
        core: &'a Arc<Core<P>>,
        job: &'a Job,
        position: usize,
        input: Bytes,
        streamed: bool,
    ) -> Self {
        let spec = &job.pipeline.stages[position];
        let service = core.services.get(&spec.service);
        let slot = core.slot(job, position);
        let demand = core.demand(job, position, &slot, &input);
        let (inbox, messages) = mpsc::unbounded_channel();
        Self {
            core,
            job,
            spec,
            position: StageIndex::try_from(position).unwrap_or(StageIndex::MAX),
            ran: position > 0,
            streamed,
            service,
            slot,
            demand,
            input,
            machine: Stage::new(Mode {
                repeatable: spec.repeatable,
                stream: streamed,
            }),
            tries: Vec::new(),
            tried: Vec::new(),
            inbox,
            messages,
            failure: None,
            began: Instant::now(),
            pause: PAUSE_FIRST,
        }
    }

    /// Tries until the stage has its answer or may not be tried again.
    ///
    /// # Errors
    ///
    /// The end of the whole request.
    pub async fn finish(mut self, first: Option<Turn>) -> Result<Output, End> {
        let mut turn = first;
        loop {
            let turn = match turn.take() {
                Some(turn) => turn,
                None => self.service.push(&self.demand).await,
            };
            match self.start(Some(turn)).await {
                Ok(true) => {}
                Ok(false) => {
                    self.rest().await?;
                    continue;
                }
                Err(end) => return Err(end),
            }
            if let Some(output) = self.follow().await {
                return Ok(output);
            }
            self.again().await?;
        }
    }

    /// Sends an attempt to a target, if one would take it.
    async fn start(&mut self, turn: Option<Turn>) -> Result<bool, End> {
        if !self.machine.may_start() {
            return Err(self.end());
        }
        let set = self.core.config.current();
        let chosen = {
            let rng = &mut rand::rng();
            self.service.choose(&self.demand, &self.tried, &set, rng)
        };
        let Some(target) = chosen else {
            return Ok(false);
        };
        // The link is opened before the machine takes the attempt in: an attempt that it counts and
        // that was never sent would shift the numbers of all later ones against `tries`.
        let due = Attempt::try_from(self.tries.len()).unwrap_or(Attempt::MAX);
        let call = self.call(due);
        let link = target.open(call, self.inbox.clone());
        let Some(link) = link else {
            self.service.returned(&target.vm.id, None, false);
            return Ok(false);
        };
        let Some((_, resume)) = self.machine.start() else {
            return Err(self.end());
        };
        let offer = Frame::Offer {
            call,
            work: Box::new(self.work(resume)),
        };
        self.tries.push(Try {
            target,
            link: link.clone(),
            turn,
            sent: Instant::now(),
            content: BytesMut::new(),
            over: false,
        });
        // A link that is gone tells the inbox.
        let _ = link.send(offer).await;
        Ok(true)
    }

    /// Identity of an attempt. Each entry that runs the request numbers its attempts apart: an
    /// agent that still has an attempt of the entry before would take the offer for a duplicate
    /// and never answer it.
    fn call(&self, attempt: Attempt) -> CallId {
        CallId {
            request: self.job.id,
            stage: self.position,
            attempt: self.job.first_attempt.wrapping_add(attempt),
        }
    }

    /// Number of an attempt within this run.
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
            priority: self.slot.priority,
            remaining: self.job.remaining(),
            prefix: self.demand.prefix.clone(),
            resume,
            revision: self.job.set.revision(),
            input: self.input.clone(),
            model: self.spec.model.clone(),
        }
    }

    /// Takes in messages until an answer is committed or every attempt has ended.
    async fn follow(&mut self) -> Option<Output> {
        let mut hedge_at = self.hedge_at();
        while self.machine.end().is_none() {
            let message = match hedge_at {
                None => self.messages.recv().await,
                Some(at) => tokio::select! {
                    message = self.messages.recv() => message,
                    () = tokio::time::sleep_until(at) => {
                        hedge_at = None;
                        self.hedge().await;
                        continue;
                    }
                },
            };
            // The run holds a sender itself, so that the channel cannot close.
            let message = message?;
            if let Some(output) = self.take_in(message).await {
                return Some(output);
            }
        }
        None
    }

    /// When a second copy of the call may be sent: only of a repeatable one, and never once chunks
    /// have gone to the caller.
    fn hedge_at(&self) -> Option<Instant> {
        if !self.spec.repeatable || self.streamed {
            return None;
        }
        let sent = self.tries.last()?.sent;
        self.service.hedge_after().map(|after| sent + after)
    }

    async fn hedge(&mut self) {
        if let Some(target) = self
            .tries
            .last()
            .map(|last| last.target.vm.id.as_str().into())
        {
            self.tried.push(target);
        }
        if self.service.hedge() {
            self.core.telemetry.hedged();
            // A hedge that finds no target leaves the first attempt as it was.
            let _ = self.start(None).await;
        }
    }

    async fn take_in(&mut self, message: Message) -> Option<Output> {
        let (call, frame) = match message {
            Message::Frame(call, frame) => (call, Some(frame)),
            Message::Lost(call) => (call, None),
        };
        if frame.is_none() && self.recall(self.attempt(call)).await {
            return None;
        }
        let actions = self.machine.on(self.attempt(call), event(frame.as_ref()));
        for action in actions.into_iter().flatten() {
            if let Some(output) = self.act(call, action, frame.as_ref()).await {
                return Some(output);
            }
        }
        None
    }

    /// Carries out what the state machine asks for; gives the output once it is committed.
    async fn act(&mut self, call: CallId, action: Action, frame: Option<&Frame>) -> Option<Output> {
        let index = usize::from(self.attempt(call));
        let link = self.tries.get(index)?.link.clone();
        // A link that fails while something is sent tells the inbox.
        let _ = match action {
            Action::Grant => link.send(Frame::Grant { call }).await,
            Action::Deny => link.send(Frame::Deny { call }).await,
            Action::Revoke => link.send(Frame::Revoke { call }).await,
            Action::Accept => {
                self.accept(index, frame);
                Ok(())
            }
            Action::Drop => {
                self.core.telemetry.dropped();
                Ok(())
            }
            Action::CancelOthers => {
                self.cancel_others(index);
                Ok(())
            }
            Action::Over(end) => {
                self.over(index, end, frame);
                Ok(())
            }
            Action::Commit => return self.commit(index, frame),
        };
        None
    }

    fn accept(&mut self, index: usize, frame: Option<&Frame>) {
        let Some(Frame::Chunk { data, .. }) = frame else {
            return;
        };
        if self.streamed {
            self.job.answer.push(data.clone());
        } else {
            self.tries[index].content.extend_from_slice(data);
        }
    }

    fn commit(&mut self, index: usize, frame: Option<&Frame>) -> Option<Output> {
        let Some(Frame::Done { busy, load, .. }) = frame else {
            return None;
        };
        let call = self.call(index as Attempt);
        let won = &mut self.tries[index];
        won.over = true;
        let elapsed = won.sent.elapsed();
        if let Some(mut turn) = won.turn.take() {
            turn.spent(*busy, elapsed);
        }
        let content = std::mem::take(&mut won.content).freeze();
        let id = won.target.vm.id.clone();
        won.target.close(call);
        if !self.spec.repeatable {
            // The agent keeps such an answer for an entry that comes back for it, and waits for
            // that when it leaves; this tells it that nobody will.
            won.target.send_later(Frame::Cancel { call });
        }
        self.service
            .answered(&id, &self.demand, *busy, elapsed, *load);
        self.core
            .telemetry
            .attempt(&self.spec.name, "whole", elapsed);
        Some(Output { content, elapsed })
    }

    /// Notes how an attempt ended that brought no answer.
    fn over(&mut self, index: usize, end: call::End, frame: Option<&Frame>) {
        let call = self.call(index as Attempt);
        let one = &mut self.tries[index];
        one.over = true;
        one.turn.take();
        let elapsed = one.sent.elapsed();
        let target = one.target.clone();
        target.close(call);
        let id = target.vm.id.as_str();
        self.tried.push(id.into());
        let outcome = match end {
            // The agent answers at once for a runner that is gone, and would look idle: every call
            // would go there first.
            call::End::NotRun if is_unreachable(frame) => {
                self.service.failed(id);
                "not_run"
            }
            call::End::NotRun => {
                let (load, full) = refusal(frame);
                self.service.returned(id, load, full);
                "not_run"
            }
            call::End::Failed => {
                if let Some(Frame::Fail { status, body, .. }) = frame {
                    self.failure = Some((*status, body.clone()));
                }
                self.service.failed(id);
                "failed"
            }
            call::End::Unknown | call::End::Whole => {
                self.service.failed(id);
                "unknown"
            }
        };
        self.core
            .telemetry
            .attempt(&self.spec.name, outcome, elapsed);
    }

    fn cancel_others(&mut self, winner: usize) {
        for index in (0..self.tries.len()).filter(|index| *index != winner) {
            self.abandon(index);
        }
    }

    /// Gives up an attempt whose answer is no longer wanted.
    fn abandon(&mut self, index: usize) {
        let call = self.call(index as Attempt);
        let one = &mut self.tries[index];
        if std::mem::replace(&mut one.over, true) {
            return;
        }
        one.turn.take();
        one.target.close(call);
        one.target.send_later(Frame::Cancel { call });
        self.service.returned(&one.target.vm.id, None, false);
    }

    /// Asks for the answer again over a new link, if the call may have run and may not be
    /// repeated: the agent keeps such answers, and without this a broken link would leave the
    /// caller unsure of work that was done.
    async fn recall(&mut self, attempt: Attempt) -> bool {
        let granted = self
            .machine
            .call(attempt)
            .is_some_and(|call| call.state() == call::State::Granted);
        if self.spec.repeatable || !granted {
            return false;
        }
        let call = self.call(attempt);
        let from = self.machine.call(attempt).map_or(0, protocol::Call::next);
        let Some(one) = self.tries.get_mut(usize::from(attempt)) else {
            return false;
        };
        let relinked = tokio::time::timeout(RECALL_PATIENCE, one.target.linked()).await;
        if !matches!(relinked, Ok(true)) {
            return false;
        }
        match one.target.open(call, self.inbox.clone()) {
            Some(link) => {
                one.link = link.clone();
                let _ = link.send(Frame::Recall { call, from }).await;
            }
            // Lost again at once: the inbox hears of it as of the first loss.
            None => {
                let _ = self.inbox.send(Message::Lost(call));
            }
        }
        true
    }

    /// Decides whether the stage is tried again, and waits before it is.
    async fn again(&mut self) -> Result<(), End> {
        let end = self.machine.end().unwrap_or(call::End::Unknown);
        let blameless = matches!(&self.failure, Some((status, _)) if *status < SERVER_ERROR);
        if !self.machine.may_start() || blameless {
            return Err(self.end());
        }
        let last = self.tries.len().saturating_sub(1);
        let attempt = Attempt::try_from(last).unwrap_or(Attempt::MAX);
        let failure = match self.machine.call(attempt).map(protocol::Call::state) {
            Some(call::State::Ended(call::End::NotRun)) => Failure::NotRun,
            _ => Failure::Ran,
        };
        // Work that no runner has started is never given up for lack of a budget.
        if failure == Failure::NotRun {
            return self.rest().await;
        }
        let pause = {
            let rng = &mut rand::rng();
            self.service.retry(failure, attempt, rng)
        };
        match pause {
            Some(pause) => tokio::time::sleep(pause).await,
            None if end == call::End::NotRun => return self.rest().await,
            None => return Err(self.end()),
        }
        Ok(())
    }

    /// Waits for a target that would take the stage; the pauses grow and differ.
    async fn rest(&mut self) -> Result<(), End> {
        let awaits = self.awaits_model();
        if self.began.elapsed() > PATIENCE && !awaits {
            return Err(self.end());
        }
        let most = self.pause.min(PAUSE_MOST);
        let pause = rand::rng().random_range(most / 2..=most);
        tokio::time::sleep(pause).await;
        self.pause = (self.pause * 2).min(PAUSE_MOST);
        self.tried.clear();
        Ok(())
    }

    /// Whether the stage waits for a model that operators still want loaded. A load may take far
    /// longer than any other wait, and the accepted request is to come late rather than never.
    fn awaits_model(&self) -> bool {
        let set = self.core.config.current();
        let Some(model) = &self.spec.model else {
            return false;
        };
        let availability = self.service.availability(model, &set);
        if availability == Availability::Absent {
            // Nobody else asks for the model on behalf of a request that is not refused.
            self.service.missed(model);
        }
        let service = set.service(&self.spec.service);
        service.is_some_and(|service| service.declares(model)) && availability != Availability::Warm
    }

    /// What the caller is told when the stage is not tried again.
    fn end(&self) -> End {
        let stage = &self.spec.name;
        match (self.machine.end(), &self.failure) {
            (Some(call::End::Failed), Some((status, body))) => End::Failed {
                stage: stage.clone(),
                status: *status,
                body: body.clone(),
            },
            (Some(call::End::NotRun) | None, _) if !self.ran => End::NotRun {
                detail: format!("stage {stage}: no target would take it"),
                retry_after: PAUSE_MOST,
            },
            (Some(call::End::NotRun) | None, _) => End::Unknown {
                detail: format!("stage {stage}: no target would take it; earlier stages have run"),
            },
            _ => End::Unknown {
                detail: format!("stage {stage} may have run"),
            },
        }
    }
}

/// What a frame means to the state machine; no frame means that the link is lost.
fn event(frame: Option<&Frame>) -> Event {
    match frame {
        None => Event::Lost,
        Some(Frame::Ask { .. }) => Event::Ask,
        Some(Frame::Refuse {
            reason: Refusal::Forgotten,
            ..
        }) => Event::Forget,
        Some(Frame::Refuse { .. }) => Event::Refuse,
        Some(Frame::Chunk { sequence, data, .. }) => Event::Chunk {
            sequence: *sequence,
            length: u32::try_from(data.len()).unwrap_or(u32::MAX),
        },
        Some(Frame::Done { chunks, length, .. }) => Event::Done {
            chunks: *chunks,
            length: *length,
        },
        Some(Frame::Fail { .. }) => Event::Fail,
        Some(Frame::Break { .. }) => Event::Break,
        Some(_) => Event::Started,
    }
}

fn is_unreachable(frame: Option<&Frame>) -> bool {
    matches!(
        frame,
        Some(Frame::Refuse {
            reason: Refusal::Unreachable,
            ..
        })
    )
}

fn refusal(frame: Option<&Frame>) -> (Option<Load>, bool) {
    match frame {
        Some(Frame::Refuse { reason, load, .. }) => (Some(*load), *reason == Refusal::Full),
        _ => (None, false),
    }
}
