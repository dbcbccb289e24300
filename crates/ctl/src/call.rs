//! `call`: sends one request to a pipeline.

use crate::client::{Client, collect};
use crate::command::{Command, Help};
use crate::error::{FileSnafu, Outcome};
use crate::{Common, Error, option, output, stream};
use bytes::Bytes;
use getopts::{Matches, Options};
use hyper::body::Incoming;
use hyper::header::{ACCEPT, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::ResultExt;
use std::time::Duration;

/// Workspace of the caller.
pub const WORKSPACE: HeaderName = HeaderName::from_static("linnetdrift-workspace");
/// Class of the request within its workspace.
pub const CLASS: HeaderName = HeaderName::from_static("linnetdrift-class");
/// End-to-end deadline in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("linnetdrift-deadline-ms");
/// Idempotency key: requests with the same key run once, however often they are sent.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Media type of a streamed response.
pub(crate) const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
/// Maximum number of times that a request with an idempotency key is sent.
const ATTEMPT_LIMIT: u32 = 6;
/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Version alias that is used if the caller specifies no version.
const CURRENT_VERSION: &str = "@current";

/// Sends one request.
#[derive(Clone, Debug)]
pub struct Call {
    path: String,
    headers: HeaderMap,
    stream: bool,
    input: Bytes,
}

/// A complete answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request.
    pub request: String,
    /// Whether it arrived after its deadline.
    pub late: bool,
    /// Output of the last stage.
    pub output: Value,
}

impl Command for Call {
    const HELP: Help = Help {
        name: "call",
        arguments: "PIPELINE",
        about: "Send one request to a pipeline and print its answer",
    };
    const VERSION_FLAG: bool = false;

    fn declare(options: &mut Options) {
        options.optopt("", "version", "version of the pipeline (@current)", "V");
        options.optopt("", "workspace", "workspace of the caller", "W");
        options.optopt("", "class", "class of the request", "C");
        options.optopt("", "deadline", "end-to-end deadline in milliseconds", "MS");
        options.optopt("", "key", "key under which the request runs once", "K");
        options.optflag("", "stream", "print parts of the answer as they arrive");
        options.optopt(
            "",
            "input",
            "JSON input, or a file that holds it ({})",
            "JSON|@FILE",
        );
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        let name = option::path_safe(option::single_argument(matches, "PIPELINE")?, "PIPELINE")?;
        let version = match matches.opt_str("version") {
            Some(text) if text == CURRENT_VERSION => text,
            _ => option::parse::<record::Version>(matches, "version")?
                .map_or(CURRENT_VERSION.to_owned(), |version| version.to_string()),
        };
        let mut headers = HeaderMap::new();
        for (name, option) in [(WORKSPACE, "workspace"), (CLASS, "class"), (KEY, "key")] {
            if let Some(value) = matches.opt_str(option) {
                headers.insert(name, header(option, &value)?);
            }
        }
        if let Some(deadline) = option::parse::<u64>(matches, "deadline")? {
            headers.insert(DEADLINE, deadline.into());
        }
        let stream = matches.opt_present("stream");
        if stream {
            headers.insert(ACCEPT, EVENT_STREAM);
        }
        Ok(Self {
            path: format!("/v1/pipelines/{name}/versions/{version}/run"),
            headers,
            stream,
            input: input(matches.opt_str("input"))?,
        })
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        let mut client = Client::new(common)?;
        match self.submit(&mut client).await? {
            Reply::Stream(response) => stream::print(&client, common.format, response).await,
            Reply::Complete(answer) => output::print(common.format, to_text(&answer), &answer),
        }
    }
}

/// Successful response of an entry.
enum Reply {
    Stream(Response<Incoming>),
    Complete(Answer),
}

impl Call {
    /// Sends the request, with retries if it has an idempotency key.
    ///
    /// A request whose response was lost may have run. It is sent again only with a key, by which
    /// the next entry finds the first request. After a lost response, a refusal applies only to the
    /// last call; only the outcome of the request itself resolves the uncertainty.
    async fn submit(&self, client: &mut Client) -> Result<Reply, Error> {
        let has_key = self.headers.contains_key(KEY);
        let mut unresolved = None;
        let mut attempt = 1;
        loop {
            let error = match self.attempt(client).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            let error = match unresolved.take() {
                Some(first) if !is_conclusive(&error) => first,
                _ => error,
            };
            if !has_key || attempt == ATTEMPT_LIMIT || !matches!(error, Error::Lost { .. }) {
                return Err(error);
            }
            unresolved = Some(error);
            attempt += 1;
            client.rotate();
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt(&self, client: &Client) -> Result<Reply, Error> {
        let (headers, input) = (self.headers.clone(), self.input.clone());
        let response = client
            .send(Method::POST, &self.path, headers, input)
            .await?;
        if self.stream && response.status() == StatusCode::OK {
            return Ok(Reply::Stream(response));
        }
        let answer = collect(response).await?;
        match answer.status {
            StatusCode::OK => answer.json().map(Reply::Complete),
            _ => Err(Error::Refused {
                problem: answer.problem(),
            }),
        }
    }
}

/// Returns whether the error states the outcome of the request itself, not just of the last call.
fn is_conclusive(error: &Error) -> bool {
    match error {
        Error::Refused { problem } => problem.outcome == Some(Outcome::Failed),
        _ => false,
    }
}

fn header(option: &str, value: &str) -> Result<HeaderValue, Error> {
    HeaderValue::from_str(value)
        .map_err(|_| Error::usage(format!("--{option} holds characters that no header may")))
}

fn input(text: Option<String>) -> Result<Bytes, Error> {
    let text = match text {
        None => "{}".to_owned(),
        Some(text) => match text.strip_prefix('@') {
            Some(path) => std::fs::read_to_string(path).context(FileSnafu { path })?,
            None => text,
        },
    };
    serde_json::from_str::<serde::de::IgnoredAny>(&text)
        .map_err(|error| Error::usage(format!("--input is not JSON: {error}")))?;
    Ok(text.into())
}

fn to_text(answer: &Answer) -> String {
    let late = if answer.late { ", late" } else { "" };
    format!("{:#}\nrequest {}{late}", answer.output, answer.request)
}
