//! Reads, validates and forwards a runner's answer.

use crate::core::Core;
use crate::event::Parser;
use crate::job::Job;
use crate::runner::{X_BUSY_US, X_CALL, X_NOT_RUN, X_PREFIX_HITS};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use protocol::{CallId, Sequence};
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::str::FromStr;
use std::time::Duration;
use tokio::time::{Instant, timeout};
use wire::link::MAX_FRAME_BYTES;
use wire::{Frame, Load, Refusal};

/// Maximum length of an answer or event; leaves room for the rest of the frame.
const MAX_ANSWER_BYTES: usize = MAX_FRAME_BYTES - 1024;
/// Answers shorter than this are copied out of the connection's read buffer.
const COPY_THRESHOLD_BYTES: usize = 32 << 10;
/// How long the rest of a stream is read after its end mark, so that the connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the runner's answer is not the complete answer of the call.
#[derive(Debug, Snafu)]
pub(crate) enum AnswerError {
    /// The connection failed after the work was sent.
    #[snafu(display("runner's connection failed: {source}"))]
    ConnectionFailed {
        source: hyper_util::client::legacy::Error,
    },
    /// The body ended early.
    #[snafu(display("answer cut short: {source}"))]
    Interrupted { source: hyper::Error },
    /// The body ended early or is longer than a frame can be.
    #[snafu(display("answer cut short or too long: {reason}"))]
    BodyFailed { reason: String },
    /// The answer belongs to another call.
    #[snafu(display("answer bears call {found:?}"))]
    WrongCall { found: String },
    /// The answer's end could not be distinguished from a lost connection.
    #[snafu(display("answer declares no length"))]
    LengthUnknown,
    /// One event is too long for a frame.
    #[snafu(display("event longer than {MAX_ANSWER_BYTES} bytes"))]
    TooLong,
    /// A stream was requested, but the answer is not one.
    #[snafu(display("answer is not an event stream"))]
    NotEventStream,
    /// An event has no number.
    #[snafu(display("event without number where {expected} was due"))]
    MissingEventId { expected: Sequence },
    /// Events are missing.
    #[snafu(display("event {found} where {expected} was due"))]
    MissingEvents { expected: Sequence, found: Sequence },
    /// The stream ended without its end mark.
    #[snafu(display("stream ended without end mark after event {next}"))]
    Truncated { next: Sequence },
    /// The end mark declares a different number of chunks than were received.
    #[snafu(display("end mark {declared:?} after {received} chunks"))]
    CountMismatch {
        declared: String,
        received: Sequence,
    },
    /// The call was cancelled while it ran.
    #[snafu(display("cancelled"))]
    Cancelled,
    /// The runner accepted the call and did not end it in time.
    #[snafu(display("no whole answer within {time_limit:?}"))]
    TimedOut { time_limit: Duration },
}

/// How a call that was sent to the runner ended.
#[derive(Debug)]
pub(crate) enum RunOutcome {
    /// All chunks have been forwarded.
    Complete {
        chunks: Sequence,
        length: u64,
        busy: Duration,
        prefix_hits: u32,
    },
    /// The runner answered with an error.
    Failed { status: StatusCode, body: Bytes },
    /// The runner did not start the call.
    NotRun { retry_after: Duration },
}

/// Builds the frame that tells an entry how its call ended.
pub(crate) fn end_frame(job: &Job, outcome: Result<RunOutcome, AnswerError>, load: Load) -> Frame {
    let call = job.call;
    match outcome {
        Ok(RunOutcome::Complete {
            chunks,
            length,
            busy,
            prefix_hits,
        }) => Frame::Done {
            call,
            chunks,
            length,
            busy,
            load: Load {
                prefix_hits,
                prefix_blocks: job.work.prefix.len().try_into().unwrap_or(u32::MAX),
                ..load
            },
        },
        Ok(RunOutcome::Failed { status, body }) => Frame::Fail {
            call,
            status: status.as_u16(),
            body,
            load,
        },
        Ok(RunOutcome::NotRun { retry_after }) => Frame::Refuse {
            call,
            reason: Refusal::Unreachable,
            retry_after,
            load,
        },
        Err(error) => Frame::Break {
            call,
            reason: error.to_string(),
            load,
        },
    }
}

/// Content of the end mark.
#[derive(Deserialize)]
struct EndMark {
    chunks: Sequence,
}

/// Forwards the answer chunk by chunk and returns its outcome.
pub(crate) async fn forward(
    core: &Core,
    job: &Job,
    response: Response<Incoming>,
    sent_at: Instant,
) -> Result<RunOutcome, AnswerError> {
    let (head, body) = response.into_parts();
    check_call(&head.headers, head.status, job.call)?;
    if head.status == StatusCode::SERVICE_UNAVAILABLE && head.headers.contains_key(X_NOT_RUN) {
        let retry_after = parse_header(&head.headers, &RETRY_AFTER).unwrap_or(1);
        return Ok(RunOutcome::NotRun {
            retry_after: Duration::from_secs(retry_after),
        });
    }
    if !head.status.is_success() {
        let status = head.status;
        return read_body(body)
            .await
            .map(|body| RunOutcome::Failed { status, body });
    }
    let (chunks, length) = if job.work.stream {
        ensure!(is_stream(&head.headers), NotEventStreamSnafu);
        forward_stream(core, job, body).await?
    } else {
        let known = body.size_hint().exact().is_some();
        ensure!(
            known || head.headers.contains_key(TRANSFER_ENCODING),
            LengthUnknownSnafu
        );
        let body = read_body(body).await?;
        let length = body.len() as u64;
        job.output.push_chunk(body).await;
        (1, length)
    };
    let busy = parse_header(&head.headers, &X_BUSY_US).map(Duration::from_micros);
    Ok(RunOutcome::Complete {
        chunks,
        length,
        busy: busy.unwrap_or_else(|| sent_at.elapsed()),
        prefix_hits: parse_header(&head.headers, &X_PREFIX_HITS).unwrap_or(0),
    })
}

/// Checks that the answer names the call: a runner that mixes up its answers would disclose one
/// caller's text to another. An error answer without a call is accepted; it may come from the HTTP
/// layer in front of the runner and discloses nothing.
fn check_call(headers: &HeaderMap, status: StatusCode, call: CallId) -> Result<(), AnswerError> {
    let found = headers.get(X_CALL).map(|value| value.as_bytes());
    let unnamed = found.is_none() && !status.is_success();
    let matches = found.is_some_and(|found| found == call.to_string().as_bytes());
    let found = String::from_utf8_lossy(found.unwrap_or_default());
    ensure!(unnamed || matches, WrongCallSnafu { found });
    Ok(())
}

fn is_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

fn parse_header<N: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<N> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Reads a body up to its declared end.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, AnswerError> {
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    collected
        .map(|body| copy_if_short(body.to_bytes()))
        .map_err(|error| match error.downcast::<LengthLimitError>() {
            Ok(_) => AnswerError::TooLong,
            Err(error) => AnswerError::BodyFailed {
                reason: error.to_string(),
            },
        })
}

/// Copies a short answer, which shares its memory with the connection's read buffer. Each answer
/// kept for a recall would otherwise retain an entire buffer, and a few thousand of them would
/// exhaust the memory of the agent's VM.
fn copy_if_short(body: Bytes) -> Bytes {
    if body.len() < COPY_THRESHOLD_BYTES {
        return Bytes::copy_from_slice(&body);
    }
    body
}

async fn forward_stream(
    core: &Core,
    job: &Job,
    mut body: Incoming,
) -> Result<(Sequence, u64), AnswerError> {
    let mut parser = Parser::default();
    let mut next = job.work.resume;
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.context(InterruptedSnafu)?.into_data() else {
            continue;
        };
        parser.push(&data);
        while let Some(event) = parser.next() {
            if event.done {
                check_count(&event.data, next)?;
                tokio::spawn(timeout(DRAIN_TIMEOUT, drain(body)));
                return Ok((next, length));
            }
            let found = event.id.context(MissingEventIdSnafu { expected: next })?;
            if found < next {
                core.telemetry.duplicates.inc();
                continue;
            }
            let expected = next;
            ensure!(found == expected, MissingEventsSnafu { expected, found });
            next += 1;
            length += event.data.len() as u64;
            job.output.push_chunk(event.data).await;
        }
        ensure!(parser.pending() <= MAX_ANSWER_BYTES, TooLongSnafu);
    }
    TruncatedSnafu { next }.fail()
}

fn check_count(end_mark: &[u8], received: Sequence) -> Result<(), AnswerError> {
    let chunks = serde_json::from_slice::<EndMark>(end_mark).map(|end_mark| end_mark.chunks);
    let declared = String::from_utf8_lossy(end_mark);
    ensure!(
        chunks.is_ok_and(|chunks| chunks == received),
        CountMismatchSnafu { declared, received }
    );
    Ok(())
}

async fn drain(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
