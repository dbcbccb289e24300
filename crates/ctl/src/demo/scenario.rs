//! Steps of the demonstration: applies records, sends requests and counts executions.

use crate::client::Client;
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::{Error, output};
use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderMap;
use serde_json::Value;
use standin::log::{ExecutionStatus, Page};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time until the entries have the records and are connected to all targets.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between status queries.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests to the pipeline of four stages.
const CHECK_REQUESTS: usize = 3;
/// Input text of these requests.
const TEXT: &str = "loom 7, splice 3";

/// Applies the records, sends the requests and checks the counts.
pub(super) async fn run(
    fleet: &Fleet,
    deployment: &Deployment,
    records: &Path,
) -> Result<(), Error> {
    let cli = Cli {
        fleet,
        token: &deployment.token,
    };
    let [first, second] = deployment.entries[..]
        .iter()
        .map(|ready| ready.listen)
        .collect::<Vec<_>>()[..]
    else {
        return failed("the demonstration needs two entries");
    };
    wait_for_status(first, |status| status["ready"] == true).await?;
    let records = records.display().to_string();
    let applied = cli.json(first, &["apply", &records])?;
    let revision = applied["revision"].clone();
    output::line(format_args!("records in force at revision {revision}"))?;
    for entry in [first, second] {
        wait_for_status(entry, |status| {
            is_serving(status, &revision, deployment.agents.len())
        })
        .await?;
    }
    request_plain(&cli, first)?;
    request_streamed(&cli, second)?;
    request_late(&cli, first)?;
    request_once(&cli, first, second)?;
    check_executions(deployment).await
}

/// Requests an answer as one JSON document, from the version that is marked as current.
fn request_plain(cli: &Cli<'_>, entry: SocketAddr) -> Result<(), Error> {
    let answer = cli.json(entry, &check_arguments(&["--deadline", "10000"]))?;
    check_equal("answer", &answer["output"]["text"], &expected_text().into())?;
    check_equal("lateness", &answer["late"], &false.into())
}

/// Requests a streamed answer from another version of the same pipeline.
fn request_streamed(cli: &Cli<'_>, entry: SocketAddr) -> Result<(), Error> {
    let arguments = check_arguments(&["--version", "2", "--stream", "--deadline", "10000"]);
    let events = cli.run(entry, &arguments)?;
    let [tokens @ .., end] = events.as_slice() else {
        return failed("the stream is empty");
    };
    check_equal("end mark", &end["event"], &"done".into())?;
    let tokens = tokens.iter().map(|event| token(&event["data"]));
    let text = tokens.collect::<Vec<_>>().join(" ");
    check_equal("streamed answer", &text.into(), &expected_text().into())
}

/// Sends a request whose deadline cannot be met: the answer is complete, but marked as late.
fn request_late(cli: &Cli<'_>, entry: SocketAddr) -> Result<(), Error> {
    let answer = cli.json(entry, &check_arguments(&["--deadline", "1"]))?;
    check_equal(
        "late answer",
        &answer["output"]["text"],
        &expected_text().into(),
    )?;
    check_equal("lateness", &answer["late"], &true.into())
}

/// Sends a request that must not be run twice to both entries with the same idempotency key.
fn request_once(cli: &Cli<'_>, first: SocketAddr, second: SocketAddr) -> Result<(), Error> {
    let input = r#"{"text": "W-1042"}"#;
    let arguments = [
        "call",
        "label-print",
        "--workspace",
        "rework",
        "--key",
        "order-77",
        "--input",
        input,
    ];
    let one = cli.json(first, &arguments)?;
    let other = cli.json(second, &arguments)?;
    check_equal("answer to the same key", &other["output"], &one["output"])
}

fn check_arguments<'a>(options: &[&'a str]) -> Vec<&'a str> {
    const INPUT: &str = r#"{"text": "loom 7, splice 3"}"#;
    let call = ["call", "drawing-check", "--workspace", "tractor-line"];
    let input = ["--class", "fitter", "--input", INPUT];
    [&call, &input[..], options].concat()
}

/// Computes the expected answer of the stand-ins from the input.
fn expected_text() -> String {
    let stages = ["encode", "retrieve", "rerank"];
    let text = stages.iter().fold(TEXT.to_owned(), |text, stage| {
        standin::answer::wrap(stage, &text)
    });
    standin::answer::tokens(&text, standin::Options::default().tokens)
}

fn token(data: &Value) -> String {
    let text = data.get("token").unwrap_or(data);
    text.as_str().unwrap_or_default().to_owned()
}

/// Returns whether an entry has the records and a link to every target.
fn is_serving(status: &Value, revision: &Value, targets_due: usize) -> bool {
    let targets = status["targets"].as_array();
    let live = |targets: &Vec<Value>| targets.iter().filter(|one| one["state"] == "live").count();
    status["revision"] == *revision && targets.map(live) == Some(targets_due)
}

/// Waits until the status of an entry satisfies a condition.
async fn wait_for_status(entry: SocketAddr, done: impl Fn(&Value) -> bool) -> Result<(), Error> {
    let client = Client::plain(entry);
    let end = Instant::now() + READY_TIMEOUT;
    loop {
        let status: Value = get(&client, "/v1/status").await?;
        if done(&status) {
            return Ok(());
        }
        if Instant::now() > end {
            return failed(format!("{entry} did not become ready in time: {status}"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Compares the executions of the runners with the requests that were sent. A stage that may be
/// retried counts once for each request that it answered, regardless of the number of attempts.
async fn check_executions(deployment: &Deployment) -> Result<(), Error> {
    let mut services: Vec<(&str, usize, HashSet<String>)> = Vec::new();
    for (runner, address) in deployment.plan.runners.iter().zip(&deployment.runners) {
        let log: Page = get(&Client::plain(*address), "/standin/log").await?;
        let runs = log.executions.len();
        output::line(format_args!("  {:<14} ran {runs}", runner.vm))?;
        let answered = log.executions.into_iter();
        let answered = answered.filter(|execution| execution.ended == ExecutionStatus::Answered);
        let requests = answered.map(|execution| execution.request);
        match services
            .iter_mut()
            .find(|(name, ..)| *name == runner.service)
        {
            Some((_, sum, all)) => {
                *sum += runs;
                all.extend(requests);
            }
            None => services.push((&runner.service, runs, requests.collect())),
        }
    }
    for (service, runs, requests) in services {
        if service == "label" {
            check_equal("executions of label", &runs.into(), &1.into())?;
            continue;
        }
        let what = format!("requests answered by {service}");
        check_equal(&what, &requests.len().into(), &CHECK_REQUESTS.into())?;
    }
    Ok(())
}

async fn get<T: serde::de::DeserializeOwned>(client: &Client, path: &str) -> Result<T, Error> {
    let answer = client
        .call(Method::GET, path, HeaderMap::new(), Bytes::new())
        .await?;
    answer.json()
}

fn check_equal(what: &str, found: &Value, expected: &Value) -> Result<(), Error> {
    if found == expected {
        return output::line(format_args!("  ok: {what} is {found}"));
    }
    failed(format!("{what} is {found}, expected {expected}"))
}

fn failed<T>(reason: impl Into<String>) -> Result<T, Error> {
    Err(Error::Failed {
        reason: reason.into(),
    })
}

/// Runs commands of `linnetdrift` as an operator or a caller does.
struct Cli<'a> {
    fleet: &'a Fleet,
    token: &'a str,
}

impl Cli<'_> {
    /// Runs a command and returns the JSON value that it prints.
    fn json(&self, entry: SocketAddr, arguments: &[&str]) -> Result<Value, Error> {
        let values = self.run(entry, arguments)?;
        values.into_iter().next().ok_or_else(|| Error::Failed {
            reason: format!("{} printed nothing", arguments.join(" ")),
        })
    }

    /// Runs a command and returns all JSON values that it prints, one per line.
    fn run(&self, entry: SocketAddr, arguments: &[&str]) -> Result<Vec<Value>, Error> {
        output::line(format_args!("$ linnetdrift {}", arguments.join(" ")))?;
        let run = Command::new(self.fleet.program("linnetdrift"))
            .args(arguments)
            .args(["--format", "json", "--entry", &entry.to_string()])
            .env(crate::option::TOKEN_VARIABLE, self.token)
            .output()
            .map_err(|error| Error::Failed {
                reason: format!("linnetdrift: {error}"),
            })?;
        if !run.status.success() {
            return failed(String::from_utf8_lossy(&run.stderr));
        }
        let text = String::from_utf8_lossy(&run.stdout);
        if arguments[0] == "call" {
            output::line(text.trim_end())?;
        }
        let values = text.lines().map(serde_json::from_str);
        values
            .collect::<Result<_, _>>()
            .map_err(|error| Error::Malformed {
                reason: error.to_string(),
            })
    }
}
