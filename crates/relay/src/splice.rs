//! One stream for the caller, made of the streams of one or more runners.
//!
//! A runner may stop anywhere. Whole events are passed on as they come; where the route allows it,
//! another runner goes on after the last one that was passed on.

use crate::attempt::{self, InFlightCall, Progress};
use crate::configuration::FIRST_RANK;
use crate::downstream::{Downstream, Reply};
use crate::event::{Events, Splitter};
use crate::graph::Inputs;
use crate::memory::MemoryBudget;
use crate::quarantine::SILENCE_TIMEOUT;
use crate::request::{EventId, IncompleteBody};
use crate::serve::Job;
use crate::telemetry::millis;
use bytes::Bytes;
use futures::StreamExt;
use slog::info;
use std::time::Duration;
use tokio::sync::mpsc::{self, error::SendError};
use tokio::time::{Instant, sleep_until};

/// Silence after which a stream is taken for dead where another runner may go on, at least. Engines
/// that are merely crowded make an event every few hundred milliseconds.
const MIN_SILENCE: Duration = Duration::from_millis(1_000);
/// The same, as a multiple of the longest pause that is still on time.
const SILENCE_GAPS: u32 = 3;
/// Bytes that wait for one slow caller before its runner is read no further.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Time without reading after which a runner may break off a stream for want of a reader.
const UNREAD_LIMIT: Duration = Duration::from_secs(1);

type Part = Result<Bytes, IncompleteBody>;
type Parts = mpsc::Sender<Part>;

/// How a runner's stream ended.
enum End {
    /// As it should.
    Complete,
    /// Before it was whole.
    Broken(String),
    /// The caller has left.
    ClientGone,
    /// The request's time is over.
    DeadlineExceeded,
}

/// A stream on its way to the caller.
pub struct StreamForwarder<D: Downstream> {
    job: Job<D>,
    inputs: Inputs<D>,
    progress: Progress,
    parts: Parts,
    /// Memory for what waits for the caller.
    memory: MemoryBudget,
    /// Whether the runner's stream was not read for so long that it may break off for that.
    unread: bool,
    last: Option<EventId>,
    events: u64,
}

impl<D: Downstream> StreamForwarder<D> {
    /// Nothing has been passed on yet.
    pub fn new(job: Job<D>, inputs: Inputs<D>, progress: Progress, parts: Parts) -> Self {
        let last = job.request.resume_after;
        Self {
            job,
            inputs,
            progress,
            parts,
            memory: MemoryBudget::new(MAX_BUFFERED_BYTES),
            unread: false,
            last,
            events: 0,
        }
    }

    /// Passes a runner's stream on, and those of the runners after it.
    pub async fn run(mut self, flight: InFlightCall<D>, body: D::Body) {
        let (mut flight, mut body) = (flight, body);
        loop {
            let end = self.forward(&mut flight, body).await;
            self.log(&flight, &end);
            let elapsed = flight.sent.elapsed();
            let reason = match end {
                End::Complete => return flight.answered(elapsed),
                End::ClientGone => return,
                End::DeadlineExceeded => {
                    drop(flight);
                    return self.abort("out of time").await;
                }
                End::Broken(reason) => reason,
            };
            if self.unread {
                drop(flight);
            } else {
                flight.lost().await;
            }
            let Some((next, reply)) = self.resume().await else {
                return self.abort(&reason).await;
            };
            (flight, body) = (next, reply.body);
        }
    }

    async fn forward(&mut self, flight: &mut InFlightCall<D>, mut body: D::Body) -> End {
        let mut splitter = Splitter::default();
        let mut silent_since = Instant::now();
        let mut is_noted = false;
        self.unread = false;
        loop {
            let part = tokio::select! {
                biased;
                part = body.next() => part,
                () = self.parts.closed() => return End::ClientGone,
                () = sleep_until(self.job.deadline) => return End::DeadlineExceeded,
                () = sleep_until(silent_since + SILENCE_TIMEOUT), if !is_noted => {
                    is_noted = true;
                    flight.record_overdue();
                    continue;
                }
                () = sleep_until(silent_since + self.silence_limit()) => {
                    return End::Broken(format!("silent at {}", flight.runner.id));
                }
            };
            match part {
                Some(Ok(bytes)) => {
                    flight.record_activity();
                    if let Some(end) = self.forward_events(splitter.push(&bytes)).await {
                        return end;
                    }
                }
                Some(Err(broken)) => return End::Broken(broken.reason),
                None if splitter.rest().is_empty() => return End::Complete,
                None => return End::Broken("ended within an event".to_owned()),
            }
            // A pause of the caller is no silence of the runner.
            silent_since = Instant::now();
            is_noted = false;
        }
    }

    async fn forward_events(&mut self, events: Option<Events>) -> Option<End> {
        let events = events?;
        if events.first.is_some_and(|first| self.was_sent(first)) {
            return Some(End::Broken("events that the caller has".to_owned()));
        }
        // The runner has fetched its inputs before it reads the prompt. Kept until the stream's end
        // they would fill the runners that made them: 1.5 MB a piece for seconds where there is
        // room for twelve.
        self.inputs.release(|_| true);
        self.events += 1;
        self.last = events.last.or(self.last);
        let response_started = Instant::now();
        let sent = tokio::select! {
            biased;
            sent = self.send(events.bytes) => sent,
            () = sleep_until(self.job.deadline) => return Some(End::DeadlineExceeded),
        };
        self.unread |= response_started.elapsed() >= UNREAD_LIMIT;
        sent.is_err().then_some(End::ClientGone)
    }

    /// Passes bytes on, once there is room for them beside what the caller has not read yet.
    async fn send(&self, bytes: Bytes) -> Result<(), SendError<Part>> {
        // A caller that keeps up holds nothing.
        if self.parts.capacity() == self.parts.max_capacity() {
            return self.parts.send(Ok(bytes)).await;
        }
        let own = self.memory.reserve(bytes.len()).await;
        let shared = self.job.relay.answers.reserve(bytes.len()).await;
        let bytes = shared.attach(own.attach(bytes));
        self.parts.send(Ok(bytes)).await
    }

    /// Whether the caller has this event. Ids increase; a runner that overlooks after which one it
    /// should go on begins anew, and the caller would take text that it has for new.
    fn was_sent(&self, id: EventId) -> bool {
        self.last.is_some_and(|last| id <= last)
    }

    /// How long a silence is borne; for ever where no other runner may go on.
    fn silence_limit(&self) -> Duration {
        if !self.job.route.repeatable() {
            return self.job.route.timeout;
        }
        let bearable = MIN_SILENCE.max(self.job.route.gap * SILENCE_GAPS);
        if self.events == 0 {
            return bearable + self.job.model_time() * 2;
        }
        bearable
    }

    /// Asks another runner to go on after the last event that was passed on.
    async fn resume(&mut self) -> Option<(InFlightCall<D>, Reply<D::Body>)> {
        if !self.job.route.repeatable() {
            return None;
        }
        let job = self.with_top_priority();
        let sent = attempt::send_or_recompute_inputs(
            &job,
            &mut self.inputs,
            &mut self.progress,
            self.last,
        )
        .await;
        let (flight, reply) = sent.ok()?;
        if reply.proven && (200..300).contains(&reply.status) {
            return Some((flight, reply));
        }
        flight.failed();
        None
    }

    /// The request as one of the most urgent, with time until half of what is left has passed, if the
    /// caller has a part of its answer.
    ///
    /// Results that have to be made again count as late by when the request came. In a burst that is
    /// what is given up first, although one call more saves all that went into the stream.
    fn with_top_priority(&self) -> Job<D> {
        let mut job = self.job.clone();
        if self.events > 0 {
            job.rank = FIRST_RANK;
            job.due = Instant::now() + job.route.target.max(job.remaining() / 2);
        }
        job
    }

    /// Ends the caller's connection without the mark of a whole answer. The caller may have left
    /// already, which is no matter.
    async fn abort(self, reason: &str) {
        info!(self.job.relay.log, "stream broken off"; "request" => &*self.job.request.id,
            "reason" => reason, "last_event" => self.last, "tried" => self.progress.tried.len(),
            "resumable" => self.job.route.repeatable(),
            "after_ms" => millis(self.job.request.arrived.elapsed()));
        let reason = reason.to_owned();
        let _ = self.parts.send(Err(IncompleteBody { reason })).await;
    }

    fn log(&self, flight: &InFlightCall<D>, end: &End) {
        let outcome = match end {
            End::Complete => "whole",
            End::Broken(reason) => reason,
            End::ClientGone => "caller left",
            End::DeadlineExceeded => "out of time",
        };
        info!(self.job.relay.log, "stream"; "request" => &*self.job.request.id,
            "runner" => &*flight.runner.id, "outcome" => outcome, "last_event" => self.last,
            "parts" => self.events, "after_ms" => millis(self.job.request.arrived.elapsed()));
    }
}
