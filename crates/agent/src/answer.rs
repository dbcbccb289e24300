//! Reading and checking a runner's answer.

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

/// Longest answer or event in bytes; leaves room for the rest of the frame.
const LONGEST: usize = MAX_FRAME_BYTES - 1024;
/// Answers below this many bytes are copied out of the connection's read buffer.
const SHORT: usize = 32 << 10;
/// How long the rest of a stream is read after its end mark, so that the connection can be used
/// again.
const REST: Duration = Duration::from_secs(1);

/// Why an answer cannot be passed on as the call's own whole answer.
#[derive(Debug, Snafu)]
pub(crate) enum Fault {
    /// The connection failed after the work was sent.
    #[snafu(display("runner's connection failed: {source}"))]
    Broken {
        source: hyper_util::client::legacy::Error,
    },
    /// The body ended early.
    #[snafu(display("answer cut short: {source}"))]
    Cut { source: hyper::Error },
    /// The body ended early or is longer than a frame can be.
    #[snafu(display("answer cut short or too long: {reason}"))]
    Unread { reason: String },
    /// The answer is for another call.
    #[snafu(display("answer bears call {found:?}"))]
    Crossed { found: String },
    /// The answer's end cannot be told from a broken connection.
    #[snafu(display("answer declares no length"))]
    Unsized,
    /// One event is too long for a frame.
    #[snafu(display("event longer than {LONGEST} bytes"))]
    Long,
    /// A stream was asked for and something else came.
    #[snafu(display("answer is not an event stream"))]
    NotStream,
    /// An event bears no number.
    #[snafu(display("event without number where {expected} was due"))]
    Unnumbered { expected: Sequence },
    /// Events are missing.
    #[snafu(display("event {found} where {expected} was due"))]
    Gap { expected: Sequence, found: Sequence },
    /// The stream ended without its end mark.
    #[snafu(display("stream ended without end mark after event {next}"))]
    Truncated { next: Sequence },
    /// The end mark declares another number of chunks than came.
    #[snafu(display("end mark {declared:?} after {received} chunks"))]
    Miscounted {
        declared: String,
        received: Sequence,
    },
    /// The call was cancelled while it ran.
    #[snafu(display("cancelled"))]
    Cancelled,
    /// The runner took the call and never ended it.
    #[snafu(display("no whole answer within {bound:?}"))]
    Endless { bound: Duration },
}

/// How a call that was sent to the runner ended.
#[derive(Debug)]
pub(crate) enum End {
    /// All chunks have been passed on.
    Whole {
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

/// The frame that tells an entry how its call ended.
pub(crate) fn frame(job: &Job, end: Result<End, Fault>, load: Load) -> Frame {
    let call = job.call;
    match end {
        Ok(End::Whole {
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
        Ok(End::Failed { status, body }) => Frame::Fail {
            call,
            status: status.as_u16(),
            body,
            load,
        },
        Ok(End::NotRun { retry_after }) => Frame::Refuse {
            call,
            reason: Refusal::Unreachable,
            retry_after,
            load,
        },
        Err(fault) => Frame::Break {
            call,
            reason: fault.to_string(),
            load,
        },
    }
}

/// Content of the end mark.
#[derive(Deserialize)]
struct Mark {
    chunks: Sequence,
}

/// Passes the answer on chunk by chunk and gives its end.
pub(crate) async fn read(
    core: &Core,
    job: &Job,
    response: Response<Incoming>,
    sent: Instant,
) -> Result<End, Fault> {
    let (head, body) = response.into_parts();
    check_call(&head.headers, head.status, job.call)?;
    if head.status == StatusCode::SERVICE_UNAVAILABLE && head.headers.contains_key(X_NOT_RUN) {
        let retry_after = number(&head.headers, &RETRY_AFTER).unwrap_or(1);
        return Ok(End::NotRun {
            retry_after: Duration::from_secs(retry_after),
        });
    }
    if !head.status.is_success() {
        let status = head.status;
        return whole(body).await.map(|body| End::Failed { status, body });
    }
    let (chunks, length) = if job.work.stream {
        ensure!(is_stream(&head.headers), NotStreamSnafu);
        stream(core, job, body).await?
    } else {
        let known = body.size_hint().exact().is_some();
        ensure!(
            known || head.headers.contains_key(TRANSFER_ENCODING),
            UnsizedSnafu
        );
        let body = whole(body).await?;
        let length = body.len() as u64;
        job.output.chunk(body).await;
        (1, length)
    };
    let busy = number(&head.headers, &X_BUSY_US).map(Duration::from_micros);
    Ok(End::Whole {
        chunks,
        length,
        busy: busy.unwrap_or_else(|| sent.elapsed()),
        prefix_hits: number(&head.headers, &X_PREFIX_HITS).unwrap_or(0),
    })
}

/// A runner that mixes up its answers gives one caller's text to another. An error answer that
/// names no call may come from the HTTP layer before the runner and gives nothing away.
fn check_call(headers: &HeaderMap, status: StatusCode, call: CallId) -> Result<(), Fault> {
    let found = headers.get(X_CALL).map(|value| value.as_bytes());
    let absent = found.is_none() && !status.is_success();
    let same = found.is_some_and(|found| found == call.to_string().as_bytes());
    let found = String::from_utf8_lossy(found.unwrap_or_default());
    ensure!(absent || same, CrossedSnafu { found });
    Ok(())
}

fn is_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

fn number<N: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<N> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Reads a body to its declared end.
pub(crate) async fn whole(body: Incoming) -> Result<Bytes, Fault> {
    let collected = Limited::new(body, LONGEST).collect().await;
    collected
        .map(|body| detach(body.to_bytes()))
        .map_err(|error| match error.downcast::<LengthLimitError>() {
            Ok(_) => Fault::Long,
            Err(error) => Fault::Unread {
                reason: error.to_string(),
            },
        })
}

/// A short answer shares its memory with the connection's read buffer. Kept for a recall, each
/// would hold a whole buffer, and a few thousand kept answers fill the agent's VM.
fn detach(body: Bytes) -> Bytes {
    if body.len() < SHORT {
        return Bytes::copy_from_slice(&body);
    }
    body
}

async fn stream(core: &Core, job: &Job, mut body: Incoming) -> Result<(Sequence, u64), Fault> {
    let mut parser = Parser::default();
    let mut next = job.work.resume;
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.context(CutSnafu)?.into_data() else {
            continue;
        };
        parser.push(&data);
        while let Some(event) = parser.next() {
            if event.done {
                counted(&event.data, next)?;
                tokio::spawn(timeout(REST, drain(body)));
                return Ok((next, length));
            }
            let found = event.id.context(UnnumberedSnafu { expected: next })?;
            if found < next {
                core.telemetry.duplicates.inc();
                continue;
            }
            let expected = next;
            ensure!(found == expected, GapSnafu { expected, found });
            next += 1;
            length += event.data.len() as u64;
            job.output.chunk(event.data).await;
        }
        ensure!(parser.pending() <= LONGEST, LongSnafu);
    }
    TruncatedSnafu { next }.fail()
}

fn counted(mark: &[u8], received: Sequence) -> Result<(), Fault> {
    let chunks = serde_json::from_slice::<Mark>(mark).map(|mark| mark.chunks);
    let declared = String::from_utf8_lossy(mark);
    ensure!(
        chunks.is_ok_and(|chunks| chunks == received),
        MiscountedSnafu { declared, received }
    );
    Ok(())
}

async fn drain(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
