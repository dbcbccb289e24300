//! Forwards a stream to the client, spliced from the streams of one or more runners.
//!
//! A runner may stop anywhere. Complete events are forwarded as they arrive. If the route allows
//! it, another runner resumes after the last forwarded event. The stream of a runner that is merely
//! silent stays open until another one has begun to resume it: the runner may go on, and there may be
//! no other one.

mod successor;

use crate::attempt::{InFlightCall, Progress};
use crate::configuration::FIRST_RANK;
use crate::downstream::Downstream;
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
use tokio::sync::mpsc::{self, OwnedPermit, error::SendError};
use tokio::time::{Instant, sleep_until};

/// Minimum silence after which another runner is asked to resume a stream. Engines that are merely
/// busy produce an event every few hundred milliseconds.
const MIN_SILENCE: Duration = Duration::from_millis(1_000);
/// Silence after which another runner is asked to resume a stream, as a multiple of the longest
/// pause that is still on time.
const SILENCE_GAPS: u32 = 3;
/// Bytes that are buffered for a slow client before reading from its runner stops.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Longest event, in bytes. Events hold a few tokens of text; what a runner sends without end is none.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Time without a read after which a runner may close a stream because nothing reads it.
const UNREAD_LIMIT: Duration = Duration::from_secs(1);

/// Parts of the channel to the client that are reserved for the end of an incomplete response.
const ENDING_PARTS: usize = 1;
/// Why a silent stream counts as over, or is offered to another runner.
const NO_DATA: &str = "no data from the runner in time";

type Part = Result<Bytes, IncompleteBody>;
type Parts = mpsc::Sender<Part>;

/// The stream that a runner sends.
struct Source<B> {
    body: B,
    splitter: Splitter,
    /// What has been read from the body and not been processed; the inner value is `None` at its end.
    read: Option<Option<Part>>,
}

impl<B> Source<B> {
    fn new(body: B) -> Self {
        Self {
            body,
            splitter: Splitter::default(),
            read: None,
        }
    }
}

/// How a runner's stream ended.
enum End {
    /// Completely.
    Complete,
    /// Before it was complete.
    Broken(String),
    /// Not yet, but nothing has arrived for long.
    Silent,
    /// The client has disconnected.
    ClientGone,
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

/// Room for the error that ends an incomplete response, which is sent if it is dropped. A response whose
/// forwarder panics must not look complete.
struct Ending(Option<OwnedPermit<Part>>);

impl Ending {
    fn abort(&mut self, reason: String) {
        if let Some(permit) = self.0.take() {
            permit.send(Err(IncompleteBody { reason }));
        }
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.abort("the stream was dropped".to_owned());
    }
}

/// Forwards a stream to a client.
pub struct StreamForwarder<D: Downstream> {
    job: Job<D>,
    inputs: Inputs<D>,
    progress: Progress,
    parts: Parts,
    ending: Ending,
    /// Memory for data that the client has not read yet.
    memory: MemoryBudget,
    /// Whether the runner's stream was left unread for so long that the runner may have closed it
    /// for that.
    was_unread: bool,
    last_event: Option<EventId>,
    events: u64,
}

impl<D: Downstream> StreamForwarder<D> {
    /// Creates a forwarder that has forwarded nothing yet.
    pub fn new(job: Job<D>, inputs: Inputs<D>, progress: Progress, parts: Parts) -> Self {
        let last_event = job.request.resume_after;
        let ending = Ending(parts.clone().try_reserve_owned().ok());
        Self {
            ending,
            job,
            inputs,
            progress,
            parts,
            memory: MemoryBudget::new(MAX_BUFFERED_BYTES),
            was_unread: false,
            last_event,
            events: 0,
        }
    }

    /// Forwards a runner's stream, and the streams of the runners that resume it.
    pub async fn run(mut self, in_flight: InFlightCall<D>, body: D::Body) {
        let (mut in_flight, mut source) = (in_flight, Source::new(body));
        loop {
            let end = self.forward(&mut in_flight, &mut source).await;
            self.log(&in_flight, &end);
            let elapsed = in_flight.sent_at.elapsed();
            let successor = match end {
                End::Complete => {
                    self.ending.0.take();
                    return in_flight.answered(elapsed, true);
                }
                End::Silent => self.replace_silent(in_flight, source).await,
                End::Broken(reason) => {
                    drop(source);
                    self.replace(in_flight, reason).await
                }
                End::ClientGone | End::DeadlineExceeded => {
                    drop((in_flight, source));
                    Err(end)
                }
            };
            (in_flight, source) = match successor {
                Ok(successor) => successor,
                Err(end) => return self.finish(end),
            };
        }
    }

    async fn forward(
        &mut self,
        in_flight: &mut InFlightCall<D>,
        source: &mut Source<D::Body>,
    ) -> End {
        let mut silent_since = Instant::now();
        let mut is_overdue_recorded = false;
        self.was_unread = false;
        loop {
            // A runner that sends without a pause would keep the branch below from being looked at.
            if Instant::now() >= self.job.deadline {
                return End::DeadlineExceeded;
            }
            let part = tokio::select! {
                biased;
                part = next_part(source) => part,
                () = self.parts.closed() => return End::ClientGone,
                () = sleep_until(self.job.deadline) => return End::DeadlineExceeded,
                () = sleep_until(silent_since + SILENCE_TIMEOUT), if !is_overdue_recorded => {
                    is_overdue_recorded = true;
                    in_flight.record_overdue();
                    continue;
                }
                () = sleep_until(silent_since + self.silence_limit()) => return End::Silent,
            };
            match part {
                Some(Ok(bytes)) => {
                    in_flight.record_activity();
                    let events = source.splitter.push(&bytes);
                    if events.is_some() && self.is_first_response() {
                        in_flight.record_first_event(&self.job);
                    }
                    if let Some(end) = self.forward_events(events).await {
                        return end;
                    }
                    if source.splitter.rest().len() > MAX_EVENT_BYTES {
                        return End::Broken(format!("event longer than {MAX_EVENT_BYTES} bytes"));
                    }
                }
                Some(Err(error)) => return End::Broken(error.reason),
                None if source.splitter.rest().is_empty() => return End::Complete,
                None => return End::Broken("stream ended within an event".to_owned()),
            }
            // A pause of the client does not count as silence of the runner.
            silent_since = Instant::now();
            is_overdue_recorded = false;
        }
    }

    async fn forward_events(&mut self, events: Option<Events>) -> Option<End> {
        let events = events?;
        if events.first.is_some_and(|first| self.was_sent(first)) {
            return Some(End::Broken(
                "runner sent events that the client already has".to_owned(),
            ));
        }
        // The runner has fetched its inputs before it processes the prompt. Kept until the end of
        // the stream, they would fill the runners that computed them: 1.5 MB a piece for seconds,
        // with room for twelve.
        self.inputs.release(|_| true);
        self.events += 1;
        self.last_event = events.last.or(self.last_event);
        let started_at = Instant::now();
        let sent = tokio::select! {
            biased;
            sent = self.send(events.bytes) => sent,
            () = sleep_until(self.job.deadline) => return Some(End::DeadlineExceeded),
        };
        self.was_unread |= started_at.elapsed() >= UNREAD_LIMIT;
        sent.is_err().then_some(End::ClientGone)
    }

    /// Sends bytes to the client once there is memory for them beside what the client has not read
    /// yet.
    async fn send(&self, bytes: Bytes) -> Result<(), SendError<Part>> {
        // A client that keeps up uses no budget.
        if self.parts.capacity() + ENDING_PARTS == self.parts.max_capacity() {
            return self.parts.send(Ok(bytes)).await;
        }
        let own = self.memory.reserve(bytes.len()).await;
        let shared = self.job.relay.answers.reserve(bytes.len()).await;
        let bytes = shared.attach(own.attach(bytes));
        self.parts.send(Ok(bytes)).await
    }

    /// Whether the client has received this event. Ids increase. A runner that ignores the id after
    /// which to resume starts over, and the client would take repeated text for new text.
    fn was_sent(&self, id: EventId) -> bool {
        self.last_event.is_some_and(|last_event| id <= last_event)
    }

    /// Whether the response begins now and comes from the first runner that the client's request was sent to.
    /// A runner that the request was sent to before may have its prompt cached.
    fn is_first_response(&self) -> bool {
        self.events == 0
            && self.last_event.is_none()
            && self.progress.executions == 1
            && !self.job.is_retry
    }

    /// How long silence is tolerated before another runner is asked to resume. Where none may, this is
    /// the whole timeout of the route.
    fn silence_limit(&self) -> Duration {
        if !self.job.route.repeatable() {
            return self.job.route.timeout;
        }
        let limit = MIN_SILENCE.max(self.job.route.gap * SILENCE_GAPS);
        if self.events == 0 {
            return limit + self.job.max_model_time() * 2;
        }
        limit
    }

    /// The request with top priority, and due after half of its remaining time or the target of its
    /// route, whichever is longer, if the client has received part of the response.
    ///
    /// Inputs that have to be recomputed count as late, since the request arrived long ago. In a
    /// burst, late requests are dropped first, although a single further call would save all the
    /// work that went into the stream.
    fn with_top_priority(&self) -> Job<D> {
        let mut job = self.job.clone();
        if self.events > 0 {
            job.rank = FIRST_RANK;
            job.due = Instant::now() + job.route.target.max(job.remaining() / 2);
        }
        job
    }

    /// Ends the response as incomplete, unless its client has disconnected.
    fn finish(self, end: End) {
        let reason = match end {
            End::Complete | End::ClientGone => return,
            End::Broken(reason) => reason,
            End::Silent => NO_DATA.to_owned(),
            End::DeadlineExceeded => "deadline exceeded".to_owned(),
        };
        self.abort(reason);
    }

    /// Closes the client's connection without marking the response as complete. The client may
    /// already have disconnected, which is harmless.
    fn abort(mut self, reason: String) {
        info!(self.job.relay.log, "stream aborted"; "request" => &*self.job.request.id,
            "reason" => &reason, "last_event" => self.last_event, "tried" => self.progress.tried.len(),
            "resumable" => self.job.route.repeatable(),
            "after_ms" => millis(self.job.request.arrived.elapsed()));
        self.ending.abort(reason);
    }

    fn log(&self, in_flight: &InFlightCall<D>, end: &End) {
        let outcome = match end {
            End::Complete => "complete",
            End::Broken(reason) => reason,
            End::Silent => NO_DATA,
            End::ClientGone => "client disconnected",
            End::DeadlineExceeded => "deadline exceeded",
        };
        info!(self.job.relay.log, "stream"; "request" => &*self.job.request.id,
            "runner" => &*in_flight.runner.id, "outcome" => outcome, "last_event" => self.last_event,
            "parts" => self.events, "after_ms" => millis(self.job.request.arrived.elapsed()));
    }
}

/// The next part of a stream; `None` at its end.
async fn next_part<B>(source: &mut Source<B>) -> Option<Part>
where
    B: futures::Stream<Item = Part> + Unpin,
{
    match source.read.take() {
        Some(part) => part,
        None => source.body.next().await,
    }
}
