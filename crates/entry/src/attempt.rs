//! One attempt of one stage at one target.

use crate::target::{Frames, Target};
use bytes::{Bytes, BytesMut};
use protocol::call::{Action, Actions, Call, End, Event};
use protocol::{CallId, Sequence};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use wire::{Frame, Load, Refusal, Sender, Work};

/// How long a lost answer to a call that may not be repeated is waited for before its outcome is
/// told as unknown.
const RECALL_PATIENCE: Duration = Duration::from_secs(30);

/// How an attempt ended, with what it brought.
#[derive(Debug)]
pub enum Outcome {
    /// The whole answer.
    Whole {
        /// Content of all chunks.
        output: Bytes,
        /// Time the runner was busy.
        busy: Duration,
        /// The agent's load.
        load: Load,
    },
    /// It did not start and never will.
    NotRun {
        /// Why, if the agent said so.
        reason: Option<Refusal>,
        /// When the agent would try again.
        retry_after: Duration,
    },
    /// The runner answered with an error.
    Failed {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Bytes,
    },
    /// It may have run.
    Unknown,
}

/// Takes the chunks of an answer as they arrive.
pub trait Sink {
    /// Takes the next chunk.
    fn push(&mut self, chunk: Bytes);
}

/// Joins all chunks.
impl Sink for BytesMut {
    fn push(&mut self, chunk: Bytes) {
        self.extend_from_slice(&chunk);
    }
}

/// Runs one attempt to its end.
pub async fn run(
    target: &Arc<Target>,
    call: CallId,
    work: Work,
    sink: &mut (impl Sink + Send),
) -> Outcome {
    let Some((link, frames)) = target.open(call) else {
        return not_run(None);
    };
    let machine = Call::offer(work.repeatable, work.resume);
    let mut attempt = Attempt::new(target, call, machine, link, frames);
    let offer = Frame::Offer {
        call,
        work: Box::new(work),
    };
    if attempt.link.send(offer).await.is_err() {
        attempt.over = true;
        return not_run(None);
    }
    attempt.follow(sink).await
}

fn not_run(reason: Option<Refusal>) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after: Duration::ZERO,
    }
}

struct Attempt<'a> {
    target: &'a Arc<Target>,
    call: CallId,
    machine: Call,
    link: Sender,
    frames: Frames,
    repeatable: bool,
    over: bool,
}

/// An attempt that is dropped before its end, as the loser of a hedge is, frees the runner.
impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        self.target.close(self.call);
        self.target.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.over {
            self.target.send_now(Frame::Cancel { call: self.call });
        }
    }
}

impl<'a> Attempt<'a> {
    fn new(
        target: &'a Arc<Target>,
        call: CallId,
        machine: Call,
        link: Sender,
        frames: Frames,
    ) -> Self {
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            target,
            call,
            repeatable: machine.is_repeatable(),
            machine,
            link,
            frames,
            over: false,
        }
    }

    async fn follow(mut self, sink: &mut (impl Sink + Send)) -> Outcome {
        let mut output = BytesMut::new();
        loop {
            let frame = match self.frames.recv().await {
                Some(frame) => Some(frame),
                None if self.recall().await => continue,
                None => None,
            };
            let actions = self.machine.on(event(frame.as_ref()));
            if let Some(end) = self.act(actions, frame.as_ref(), &mut output, sink).await {
                self.over = true;
                return outcome(end, frame, output.freeze());
            }
        }
    }

    /// Carries out what the state machine asks for; gives the end once there is one.
    async fn act(
        &mut self,
        actions: Actions,
        frame: Option<&Frame>,
        output: &mut BytesMut,
        sink: &mut (impl Sink + Send),
    ) -> Option<End> {
        let call = self.call;
        for action in actions.into_iter().flatten() {
            // A link that fails while something is sent closes the frames, and the loop sees it.
            let _ = match action {
                Action::Grant => self.link.send(Frame::Grant { call }).await,
                Action::Deny => self.link.send(Frame::Deny { call }).await,
                Action::Revoke => self.link.send(Frame::Revoke { call }).await,
                Action::Accept => {
                    if let Some(Frame::Chunk { data, .. }) = frame {
                        output.extend_from_slice(data);
                        sink.push(data.clone());
                    }
                    Ok(())
                }
                Action::Drop => Ok(()),
                Action::End(end) => return Some(end),
            };
        }
        None
    }

    /// Asks for the answer again over a new link, if the call may have run and may not be
    /// repeated: the agent keeps such answers, and without this a broken link would leave the
    /// caller unsure of work that was done.
    async fn recall(&mut self) -> bool {
        if self.repeatable || self.machine.state() != protocol::call::State::Granted {
            return false;
        }
        let relinked = tokio::time::timeout(RECALL_PATIENCE, self.target.linked()).await;
        if !matches!(relinked, Ok(true)) {
            return false;
        }
        let Some((link, frames)) = self.target.open(self.call) else {
            return true;
        };
        self.link = link;
        self.frames = frames;
        let recall = Frame::Recall {
            call: self.call,
            from: self.machine.next(),
        };
        // A link that fails here closes the frames, and the loop comes back.
        let _ = self.link.send(recall).await;
        true
    }
}

/// What a frame means to the state machine; no frame means that the link is lost.
fn event(frame: Option<&Frame>) -> Event {
    match frame {
        Some(Frame::Ask { .. }) => Event::Ask,
        None => Event::Lost,
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

fn outcome(end: End, frame: Option<Frame>, output: Bytes) -> Outcome {
    match (end, frame) {
        (End::Whole, Some(Frame::Done { busy, load, .. })) => Outcome::Whole { output, busy, load },
        (
            End::NotRun,
            Some(Frame::Refuse {
                reason,
                retry_after,
                ..
            }),
        ) => Outcome::NotRun {
            reason: Some(reason),
            retry_after,
        },
        (End::NotRun, _) => not_run(None),
        (End::Failed, Some(Frame::Fail { status, body, .. })) => Outcome::Failed { status, body },
        _ => Outcome::Unknown,
    }
}

/// Number of the first chunk of an answer that nobody has seen yet.
pub const FIRST: Sequence = 0;
