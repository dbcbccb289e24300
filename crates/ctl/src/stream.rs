//! Streamed answers, which are printed as they arrive and resumed after an interruption.

use crate::call::{Answer, EVENT_STREAM};
use crate::client::{Client, collect};
use crate::error::Problem;
use crate::event::{Event, Parser};
use crate::{Error, Format, output};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use serde_json::Value;
use std::time::Duration;

/// Response header with the id of the request.
const REQUEST_ID: HeaderName = HeaderName::from_static("linnetdrift-request");
/// Request header with the id of the last event that arrived.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Type of the event that ends a complete stream.
const DONE_EVENT: &str = "done";
/// Type of the event that ends a failed stream; its data is a problem document.
const PROBLEM_EVENT: &str = "problem";
/// Event type that is printed for a complete answer that arrived instead of the rest of a stream.
const FULL_ANSWER_EVENT: &str = "whole";
/// Maximum number of consecutive attempts to resume a stream without receiving an event.
const ATTEMPT_LIMIT: u32 = 5;
/// Delay between these attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Prints one stream and keeps its position.
struct Printer {
    format: Format,
    last: Option<String>,
}

/// Prints a stream to its end.
///
/// A stream is complete only if it ends with a `done` event, since a truncated answer cannot be
/// recognized by its parts. An interrupted stream is resumed after the last event that arrived, so
/// that no part is printed twice or left out.
///
/// # Errors
///
/// [`Error::Lost`] if the stream cannot be completed, [`Error::Refused`] if the request failed.
pub async fn print(
    client: &Client,
    format: Format,
    response: Response<Incoming>,
) -> Result<(), Error> {
    let request = response.headers().get(REQUEST_ID).cloned();
    let mut printer = Printer { format, last: None };
    let mut result = printer.print_events(response).await;
    let mut attempts = 0;
    while let (Err(Error::Lost { .. }), Some(request)) = (&result, &request) {
        if attempts == ATTEMPT_LIMIT {
            break;
        }
        attempts += 1;
        tokio::time::sleep(RETRY_DELAY).await;
        let before = printer.last.clone();
        result = printer.resume(client, request).await;
        if printer.last != before {
            attempts = 0;
        }
    }
    result
}

impl Printer {
    async fn resume(&mut self, client: &Client, request: &HeaderValue) -> Result<(), Error> {
        let path = format!("/v1/requests/{}", request.to_str().unwrap_or_default());
        let mut headers = HeaderMap::from_iter([(ACCEPT, EVENT_STREAM)]);
        let last = self.last.as_ref();
        if let Some(last) = last.and_then(|last| HeaderValue::from_str(last).ok()) {
            headers.insert(LAST_EVENT_ID, last);
        }
        // An unreachable entry counts as a lost response, so that the next attempt may succeed.
        let response = client.send(Method::GET, &path, headers, Bytes::new()).await;
        let response = response.map_err(|error| Error::Lost {
            reason: error.to_string(),
        })?;
        match response.status() {
            StatusCode::OK if !is_stream(&response) => self.print_full_answer(response).await,
            StatusCode::OK => self.print_events(response).await,
            status => Err(Error::Lost {
                reason: format!("resuming the stream was rejected with status {status}"),
            }),
        }
    }

    /// Prints a complete answer, which another entry has stored, after the entry that streamed it
    /// became unavailable. It replaces the remaining parts.
    async fn print_full_answer(&mut self, response: Response<Incoming>) -> Result<(), Error> {
        let answer: Answer = collect(response).await?.json()?;
        let json = serde_json::json!({"event": FULL_ANSWER_EVENT, "id": "", "data": answer});
        output::print(self.format, &answer.output, &json)
    }

    async fn print_events(&mut self, response: Response<Incoming>) -> Result<(), Error> {
        let mut parser = Parser::default();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Error::Lost {
                reason: error.to_string(),
            })?;
            let bytes = frame.into_data().unwrap_or_default();
            for event in parser.push(&bytes) {
                if self.print(event)? {
                    return Ok(());
                }
            }
        }
        Err(Error::Lost {
            reason: "the stream ended without a `done` event".to_owned(),
        })
    }

    /// Prints an event and returns whether it ends the stream.
    fn print(&mut self, event: Event) -> Result<bool, Error> {
        let data: Value = serde_json::from_str(&event.data).map_err(|error| Error::Malformed {
            reason: format!("event {}: {error}", event.id),
        })?;
        if event.name == PROBLEM_EVENT {
            let problem: Problem = serde_json::from_value(data).unwrap_or_default();
            return Err(Error::Refused { problem });
        }
        let json = serde_json::json!({"event": event.name, "id": event.id, "data": data});
        let text = match &data {
            Value::String(text) => text.clone(),
            data => data.to_string(),
        };
        output::print(self.format, text, &json)?;
        if !event.id.is_empty() {
            self.last = Some(event.id);
        }
        Ok(event.name == DONE_EVENT)
    }
}

fn is_stream(response: &Response<Incoming>) -> bool {
    response.headers().get(CONTENT_TYPE) == Some(&EVENT_STREAM)
}
