//! A streamed answer that a client reads.

use crate::client::{Client, collect};
use crate::event::{Event, Parser};
use crate::rig::caller::{ClientRequest, ResponseOutcome};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Response};
use serde_json::Value;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A streamed answer that is read event by event.
#[derive(Debug)]
pub struct Stream {
    client_request: ClientRequest,
    /// Id of the request.
    pub request: String,
    /// Entry that sends the stream.
    pub entry: SocketAddr,
    body: Incoming,
    parser: Parser,
    events: VecDeque<Event>,
    tokens: Vec<String>,
}

impl Stream {
    pub(crate) async fn new(
        client_request: ClientRequest,
        entry: SocketAddr,
        response: Response<Incoming>,
    ) -> Result<Self, ResponseOutcome> {
        if !is_stream(&response) {
            let answer = collect(response).await;
            let answer = answer.map_err(|error| ResponseOutcome::from_error(&error))?;
            return Err(client_request.check_answer(&answer));
        }
        let request = response.headers().get("linnetdrift-request");
        let request = request.and_then(|request| request.to_str().ok());
        Ok(Self {
            client_request,
            entry,
            request: request.unwrap_or_default().to_owned(),
            body: response.into_body(),
            parser: Parser::default(),
            events: VecDeque::new(),
            tokens: Vec::new(),
        })
    }

    /// Returns the number of tokens received so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tokens.len()
    }

    /// Whether no token has been received yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Reads the next token.
    ///
    /// # Errors
    ///
    /// The outcome if the stream ended instead.
    pub async fn token(&mut self) -> Result<(), ResponseOutcome> {
        let event = self.event().await?;
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        match event.name.as_str() {
            "done" => {
                let found = std::mem::take(&mut self.tokens).join(" ");
                Err(self
                    .client_request
                    .check_output(found, &Value::Null, data["late"] == true))
            }
            "problem" => Err(ResponseOutcome::Problem(
                serde_json::from_value(data).unwrap_or_default(),
            )),
            _ if event.id != self.tokens.len().to_string() => Err(ResponseOutcome::Wrong(format!(
                "received event {} where {} was expected",
                event.id,
                self.tokens.len()
            ))),
            _ => {
                self.tokens.push(token(&data));
                Ok(())
            }
        }
    }

    /// Reads until the total number of received tokens is `tokens`.
    ///
    /// # Errors
    ///
    /// The outcome if the stream ended earlier.
    pub async fn read(&mut self, tokens: usize) -> Result<(), ResponseOutcome> {
        while self.len() < tokens {
            self.token().await?;
        }
        Ok(())
    }

    /// Reads the stream to its end.
    pub async fn finish(mut self) -> ResponseOutcome {
        self.read_to_end().await
    }

    /// Reads the stream to its end or until it is interrupted.
    pub async fn read_to_end(&mut self) -> ResponseOutcome {
        loop {
            if let Err(outcome) = self.token().await {
                return outcome;
            }
        }
    }

    /// Closes the connection and resumes at an entry after the last token received.
    ///
    /// # Errors
    ///
    /// The outcome if the stream is not resumed.
    pub async fn resume(&mut self, entry: SocketAddr) -> Result<(), ResponseOutcome> {
        let path = format!("/v1/requests/{}", self.request);
        let mut headers = self.client_request.headers();
        if let Some(last) = self.tokens.len().checked_sub(1) {
            headers.insert("last-event-id", HeaderValue::from(last));
        }
        let client = Client::plain(entry);
        let response = client.send(Method::GET, &path, headers, Bytes::new()).await;
        let response = response.map_err(|error| ResponseOutcome::from_error(&error))?;
        let resumed = Self::new(self.client_request.clone(), entry, response).await?;
        let tokens = std::mem::take(&mut self.tokens);
        *self = Self { tokens, ..resumed };
        Ok(())
    }

    async fn event(&mut self) -> Result<Event, ResponseOutcome> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(event);
            }
            let Some(Ok(frame)) = self.body.frame().await else {
                return Err(ResponseOutcome::Lost);
            };
            let bytes = frame.into_data().unwrap_or_default();
            self.events.extend(self.parser.push(&bytes));
        }
    }
}

/// Whether a response is a stream.
pub(crate) fn is_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get("content-type");
    kind.is_some_and(|kind| kind == "text/event-stream")
}

/// Returns the text of a token.
pub(crate) fn token(data: &Value) -> String {
    data["token"].as_str().unwrap_or_default().to_owned()
}
