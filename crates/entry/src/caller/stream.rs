//! Answers as server-sent events.
//!
//! Each chunk is one event whose `id` is its position. The last event is `done`, with the number of
//! chunks, or `problem`. A stream without either was interrupted, and the caller can resume it with
//! `GET /v1/requests/{id}` and `Last-Event-ID`.

use super::{EVENT_STREAM, format_id, set_request_header};
use crate::answer::{Answer, Progress, RequestOutcome};
use crate::problem::Problem;
use bytes::Bytes;
use futures::Stream;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::sync::watch;
use viz::{Body, Response, ResponseExt};

/// Reader of one answer.
struct Reader {
    answer: Arc<Answer>,
    next: usize,
    progress: watch::Receiver<Progress>,
    ended: bool,
}

/// Streams an answer, starting with the chunk at position `from`.
pub(super) fn response(answer: Arc<Answer>, from: usize) -> Response {
    let id = answer.request();
    let reader = Reader {
        progress: answer.follow(),
        next: from,
        answer,
        ended: false,
    };
    let mut response = Response::with(Body::from_stream(events(reader)), EVENT_STREAM);
    let headers = response.headers_mut();
    headers.insert(
        "cache-control",
        viz::header::HeaderValue::from_static("no-store"),
    );
    set_request_header(&mut response, id);
    response
}

fn events(reader: Reader) -> impl Stream<Item = Result<Bytes, Infallible>> {
    futures::stream::unfold(reader, |mut reader| async {
        let event = reader.next_event().await?;
        Some((Ok(event), reader))
    })
}

impl Reader {
    /// Returns all pending events at once, so that a burst of chunks is sent in one write.
    async fn next_event(&mut self) -> Option<Bytes> {
        while !self.ended {
            self.progress.borrow_and_update();
            // The outcome is read before the chunks, since no chunk can be added after it is set.
            let outcome = self.answer.outcome();
            let mut text = self.pending_events();
            if let Some(outcome) = outcome {
                self.ended = true;
                text.push_str(&self.final_event(&outcome));
            }
            if !text.is_empty() {
                return Some(Bytes::from(text));
            }
            // The channel cannot close, since the answer that this reader holds owns the sender.
            let _ = self.progress.changed().await;
        }
        None
    }

    fn pending_events(&mut self) -> String {
        let mut text = String::new();
        while let Some(chunk) = self.answer.chunk(self.next) {
            text.push_str(&format!("id: {}\n", self.next));
            // Each line of the data needs a `data` field of its own, since a line break ends a
            // field.
            for line in String::from_utf8_lossy(&chunk).lines() {
                text.push_str("data: ");
                text.push_str(line);
                text.push('\n');
            }
            text.push('\n');
            self.next += 1;
        }
        text
    }

    fn final_event(&self, outcome: &RequestOutcome) -> String {
        match Problem::from_outcome(self.answer.request(), outcome) {
            Some(problem) => {
                let problem = serde_json::to_string(&problem).unwrap_or_default();
                format!("event: problem\ndata: {problem}\n\n")
            }
            None => {
                let late = matches!(outcome, RequestOutcome::Complete { late: true });
                let id = format_id(self.answer.request());
                let chunks = self.answer.len();
                format!(
                    "event: done\ndata: {{\"request\":\"{id}\",\"chunks\":{chunks},\"late\":{late}}}\n\n"
                )
            }
        }
    }
}
