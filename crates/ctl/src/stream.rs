//! Streamed answers: printed as they arrive, resumed where they break off.

use crate::call::{Answer, EVENTS};
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

/// Header that names the request in every answer.
const REQUEST: HeaderName = HeaderName::from_static("linnetdrift-request");
/// Header that names the last event that arrived.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Event that ends a whole stream.
const DONE: &str = "done";
/// Event that ends a stream that failed; its data is a problem document.
const PROBLEM: &str = "problem";
/// Name under which an answer is printed that came whole in place of the rest of its stream.
const WHOLE: &str = "whole";
/// Times that a broken stream is asked for again without any event in between.
const ATTEMPTS: u32 = 5;
/// Wait before it is asked for again.
const PAUSE: Duration = Duration::from_millis(200);

/// What has been printed of one stream.
struct Printer {
    format: Format,
    last: Option<String>,
}

/// Prints a stream to its end.
///
/// Only its end mark makes a stream whole: a cut-short answer looks whole to whoever reads only
/// its parts. A stream that breaks off is asked for again from the event after the last, so that
/// no part is printed twice or left out.
///
/// # Errors
///
/// [`Error::Lost`] if it cannot be brought to its end, [`Error::Refused`] if the request failed.
pub async fn print(
    client: &Client,
    format: Format,
    response: Response<Incoming>,
) -> Result<(), Error> {
    let request = response.headers().get(REQUEST).cloned();
    let mut printer = Printer { format, last: None };
    let mut result = printer.drain(response).await;
    let mut attempts = 0;
    while let (Err(Error::Lost { .. }), Some(request)) = (&result, &request) {
        if attempts == ATTEMPTS {
            break;
        }
        attempts += 1;
        tokio::time::sleep(PAUSE).await;
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
        let mut headers = HeaderMap::from_iter([(ACCEPT, EVENTS)]);
        let last = self.last.as_ref();
        if let Some(last) = last.and_then(|last| HeaderValue::from_str(last).ok()) {
            headers.insert(LAST_EVENT, last);
        }
        // An entry that cannot be reached now may be reached at the next attempt.
        let response = client.send(Method::GET, &path, headers, Bytes::new()).await;
        let response = response.map_err(|error| Error::Lost {
            reason: error.to_string(),
        })?;
        match response.status() {
            StatusCode::OK if !is_stream(&response) => self.whole(response).await,
            StatusCode::OK => self.drain(response).await,
            status => Err(Error::Lost {
                reason: format!("the rest of the stream was refused with {status}"),
            }),
        }
    }

    /// Prints an answer that another entry kept after the one that streamed it went away: it comes
    /// whole, in place of the parts.
    async fn whole(&mut self, response: Response<Incoming>) -> Result<(), Error> {
        let answer: Answer = collect(response).await?.json()?;
        let json = serde_json::json!({"event": WHOLE, "id": "", "data": answer});
        output::print(self.format, &answer.output, &json)
    }

    async fn drain(&mut self, response: Response<Incoming>) -> Result<(), Error> {
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
            reason: "the stream ended without its end mark".to_owned(),
        })
    }

    /// Prints an event and says whether it is the end.
    fn print(&mut self, event: Event) -> Result<bool, Error> {
        let data: Value = serde_json::from_str(&event.data).map_err(|error| Error::Malformed {
            reason: format!("event {}: {error}", event.id),
        })?;
        if event.name == PROBLEM {
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
        Ok(event.name == DONE)
    }
}

fn is_stream(response: &Response<Incoming>) -> bool {
    response.headers().get(CONTENT_TYPE) == Some(&EVENTS)
}
