//! What a stream continues with when its runner has broken it off or is silent.

use super::{End, NO_DATA, Part, Parts, Source, StreamForwarder, next_part};
use crate::attempt::{self, InFlightCall, StartedCall};
use crate::downstream::Downstream;
use crate::runner::Runner;
use crate::telemetry::millis;
use slog::info;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Longest time for which two runners may work on a stream: from the head of the second one's response, with
/// which it has begun, until the first one's stream is closed, whether or not the second one has sent more.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
/// Factor by which the pause grows between two attempts to have a stream resumed while its runner is silent.
const PAUSE_FACTOR: u32 = 2;

/// The call and the stream that a response continues with, or how it ends.
pub(super) type Successor<D> = Result<(InFlightCall<D>, Source<<D as Downstream>::Body>), End>;

/// What happened while a silent stream was watched.
enum Watched<T> {
    /// The work beside it was done.
    Done(T),
    /// The silent stream went on, or ended.
    WentOn,
    /// The response is over.
    Ended(End),
}

/// A call whose runner is silent.
struct SilentCall<B> {
    runner: Arc<Runner>,
    sent_at: Instant,
    silent_since: Instant,
    /// The stream, unless it has broken off since.
    source: Result<Source<B>, String>,
}

impl<D: Downstream> StreamForwarder<D> {
    /// Has another runner resume a stream that has broken off.
    pub(super) async fn replace(
        &mut self,
        in_flight: InFlightCall<D>,
        reason: String,
    ) -> Successor<D> {
        if self.was_unread {
            drop(in_flight);
        } else {
            in_flight.lost().await;
        }
        self.resume_broken(reason).await
    }

    async fn resume_broken(&mut self, reason: String) -> Successor<D> {
        let mut gone = Err(reason);
        match self.resume_beside(&mut gone).await {
            Watched::Done(Some((in_flight, reply))) => Ok((in_flight, Source::new(reply.body))),
            Watched::Done(None) | Watched::WentOn => {
                Err(End::Broken(gone.err().unwrap_or_default()))
            }
            Watched::Ended(end) => Err(end),
        }
    }

    /// Keeps a silent stream open, and has another runner resume it in the meantime. The first of the
    /// two that sends something is what the response continues with.
    pub(super) async fn replace_silent(
        &mut self,
        in_flight: InFlightCall<D>,
        source: Source<D::Body>,
    ) -> Successor<D> {
        if !self.job.route.repeatable() {
            return self.replace(in_flight, NO_DATA.to_owned()).await;
        }
        let mut silent = SilentCall {
            runner: in_flight.runner.clone(),
            sent_at: in_flight.sent_at,
            silent_since: Instant::now(),
            source: Ok(source),
        };
        let lost = pin!(in_flight.lost());
        let watched = self.watch(lost, &mut silent.source).await;
        match watched {
            Watched::Done(()) => self.await_successor(silent).await,
            Watched::WentOn => self.continue_silent(silent),
            Watched::Ended(end) => Err(end),
        }
    }

    async fn await_successor(&mut self, mut silent: SilentCall<D::Body>) -> Successor<D> {
        let mut pause = self.silence_limit();
        loop {
            let was_broken = silent.source.is_err();
            let resumed = match self.resume_beside(&mut silent.source).await {
                Watched::Done(Some(started)) => self.take_over(started, &mut silent.source).await,
                Watched::Done(None) => Watched::Done(None),
                Watched::WentOn => Watched::WentOn,
                Watched::Ended(end) => Watched::Ended(end),
            };
            match resumed {
                Watched::Done(Some((in_flight, source))) => {
                    self.log_successor(&silent, &in_flight.runner);
                    return Ok((in_flight, source));
                }
                Watched::Done(None) => {}
                Watched::WentOn => return self.continue_silent(silent),
                Watched::Ended(end) => return Err(end),
            }
            if let (true, Err(reason)) = (was_broken, &silent.source) {
                return Err(End::Broken(reason.clone()));
            }
            self.log_unresumed(&silent);
            if silent.source.is_ok() {
                match self.pause(pause, &mut silent.source).await {
                    Watched::Done(()) => {}
                    Watched::WentOn => return self.continue_silent(silent),
                    Watched::Ended(end) => return Err(end),
                }
            }
            match silent.source {
                Ok(_) => self.progress.begin_single_round(),
                // All that is left is another runner.
                Err(_) => self.progress.begin_round(),
            }
            pause *= PAUSE_FACTOR;
        }
    }

    /// Waits for a time, or until a silent stream goes on, breaks off or the response is over.
    async fn pause(
        &self,
        time: Duration,
        silent: &mut Result<Source<D::Body>, String>,
    ) -> Watched<()> {
        let part = tokio::select! {
            biased;
            part = next_of(silent) => part,
            () = sleep(time) => return Watched::Done(()),
            () = self.parts.closed() => return Watched::Ended(End::ClientGone),
            () = sleep_until(self.job.deadline) => return Watched::Ended(End::DeadlineExceeded),
        };
        match record_part(part, silent) {
            true => Watched::WentOn,
            false => Watched::Done(()),
        }
    }

    /// Asks another runner to resume after the last forwarded event.
    async fn resume_beside(
        &mut self,
        silent: &mut Result<Source<D::Body>, String>,
    ) -> Watched<Option<StartedCall<D>>> {
        if !self.job.route.repeatable() {
            return Watched::Done(None);
        }
        let job = self.with_top_priority();
        let watched = {
            let sent = pin!(attempt::send_or_recompute_inputs(
                &job,
                &mut self.inputs,
                &mut self.progress,
                self.last_event,
            ));
            watch(sent, silent, &self.parts, self.job.deadline).await
        };
        match watched {
            Watched::Done(sent) => Watched::Done(sent.ok().and_then(accept)),
            Watched::WentOn => {
                self.progress.cancel_call();
                Watched::WentOn
            }
            Watched::Ended(end) => Watched::Ended(end),
        }
    }

    /// Waits for the first part of a resumed stream, since a runner that has begun its response may still
    /// fail.
    async fn take_over(
        &mut self,
        (in_flight, reply): StartedCall<D>,
        silent: &mut Result<Source<D::Body>, String>,
    ) -> Watched<Option<(InFlightCall<D>, Source<D::Body>)>> {
        let mut source = Source::new(reply.body);
        if silent.is_err() {
            return Watched::Done(Some((in_flight, source)));
        }
        let watched = {
            let first = pin!(timeout(MAX_OVERLAP, next_part(&mut source)));
            self.watch(first, silent).await
        };
        match watched {
            Watched::Done(Ok(Some(Ok(part)))) => {
                source.read = Some(Some(Ok(part)));
                Watched::Done(Some((in_flight, source)))
            }
            Watched::Done(Ok(Some(Err(_)) | None)) => {
                in_flight.lost().await;
                Watched::Done(None)
            }
            Watched::Done(Err(_)) => Watched::Done(Some((in_flight, source))),
            Watched::WentOn => Watched::WentOn,
            Watched::Ended(end) => Watched::Ended(end),
        }
    }

    async fn watch<F: Future>(
        &self,
        work: Pin<&mut F>,
        silent: &mut Result<Source<D::Body>, String>,
    ) -> Watched<F::Output> {
        watch(work, silent, &self.parts, self.job.deadline).await
    }

    fn continue_silent(&mut self, silent: SilentCall<D::Body>) -> Successor<D> {
        self.progress.begin_round();
        info!(self.job.relay.log, "silent stream continues"; "request" => &*self.job.request.id,
            "runner" => &*silent.runner.id, "last_event" => self.last_event,
            "waited_ms" => millis(silent.silent_since.elapsed()));
        let in_flight = InFlightCall::reattach(&self.job, silent.runner, silent.sent_at);
        match silent.source {
            Ok(source) => Ok((in_flight, source)),
            Err(reason) => Err(End::Broken(reason)),
        }
    }

    fn log_successor(&self, silent: &SilentCall<D::Body>, successor: &Runner) {
        info!(self.job.relay.log, "silent stream taken over"; "request" => &*self.job.request.id,
            "runner" => &*silent.runner.id, "successor" => &*successor.id,
            "last_event" => self.last_event, "waited_ms" => millis(silent.silent_since.elapsed()));
    }

    fn log_unresumed(&self, silent: &SilentCall<D::Body>) {
        let failure = self.progress.last_failure.as_ref();
        info!(self.job.relay.log, "silent stream not resumed"; "request" => &*self.job.request.id,
            "runner" => &*silent.runner.id, "is_open" => silent.source.is_ok(),
            "executions" => self.progress.executions, "failure" => failure.map(ToString::to_string),
            "last_event" => self.last_event, "left_ms" => millis(self.job.remaining()),
            "waited_ms" => millis(silent.silent_since.elapsed()));
    }
}

/// A resumed stream, unless the runner has responded with something else.
fn accept<D: Downstream>((in_flight, reply): StartedCall<D>) -> Option<StartedCall<D>> {
    if reply.proven && (200..300).contains(&reply.status) {
        return Some((in_flight, reply));
    }
    in_flight.failed();
    None
}

/// Works on something until it is done, a silent stream goes on or the response is over.
async fn watch<F: Future, B>(
    mut work: Pin<&mut F>,
    silent: &mut Result<Source<B>, String>,
    parts: &Parts,
    deadline: Instant,
) -> Watched<F::Output>
where
    B: futures::Stream<Item = Part> + Unpin,
{
    loop {
        let part = tokio::select! {
            biased;
            part = next_of(silent) => part,
            done = &mut work => return Watched::Done(done),
            () = parts.closed() => return Watched::Ended(End::ClientGone),
            () = sleep_until(deadline) => return Watched::Ended(End::DeadlineExceeded),
        };
        if record_part(part, silent) {
            return Watched::WentOn;
        }
    }
}

/// Keeps what has been read from a silent stream, or notes that it has broken off. Returns whether it went on,
/// or ended completely.
fn record_part<B>(part: Option<Part>, silent: &mut Result<Source<B>, String>) -> bool {
    match (part, &mut *silent) {
        (Some(Err(error)), _) => {
            *silent = Err(error.reason);
            false
        }
        (part, Ok(source)) => {
            source.read = Some(part);
            true
        }
        (_, Err(_)) => false,
    }
}

/// The next part of a stream that is open; a stream that has broken off has none.
async fn next_of<B>(silent: &mut Result<Source<B>, String>) -> Option<Part>
where
    B: futures::Stream<Item = Part> + Unpin,
{
    match silent {
        Ok(source) => next_part(source).await,
        Err(_) => std::future::pending().await,
    }
}
