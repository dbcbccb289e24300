//! What the demonstration does: apply, call, count.

use crate::client::Client;
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::{Error, output};
use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderMap;
use serde_json::Value;
use standin::log::{Ended, Page};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait until the entries know all targets and the records.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Wait between two looks.
const PAUSE: Duration = Duration::from_millis(20);
/// Requests to the pipeline of four stages.
const CHECKS: usize = 3;
/// Input of the requests.
const TEXT: &str = "loom 7, splice 3";

/// Applies the records, sends the requests and checks the counts.
pub(super) async fn run(
    fleet: &Fleet,
    deployment: &Deployment,
    records: &Path,
) -> Result<(), Error> {
    let desk = Desk {
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
    wait(first, |status| status["ready"] == true).await?;
    let records = records.display().to_string();
    let applied = desk.json(first, &["apply", &records])?;
    let revision = applied["revision"].clone();
    output::line(format_args!("records in force at revision {revision}"))?;
    for entry in [first, second] {
        wait(entry, |status| {
            serves(status, &revision, deployment.agents.len())
        })
        .await?;
    }
    plain(&desk, first)?;
    streamed(&desk, second)?;
    late(&desk, first)?;
    once(&desk, first, second)?;
    count(deployment).await
}

/// An answer as one JSON document, by the version that operators call current.
fn plain(desk: &Desk<'_>, entry: SocketAddr) -> Result<(), Error> {
    let answer = desk.json(entry, &check(&["--deadline", "10000"]))?;
    expect("answer", &answer["output"]["text"], &expected().into())?;
    expect("lateness", &answer["late"], &false.into())
}

/// Another version of the same pipeline, token by token.
fn streamed(desk: &Desk<'_>, entry: SocketAddr) -> Result<(), Error> {
    let arguments = check(&["--version", "2", "--stream", "--deadline", "10000"]);
    let events = desk.run(entry, &arguments)?;
    let [tokens @ .., end] = events.as_slice() else {
        return failed("the stream is empty");
    };
    expect("end mark", &end["event"], &"done".into())?;
    let tokens = tokens.iter().map(|event| token(&event["data"]));
    let text = tokens.collect::<Vec<_>>().join(" ");
    expect("streamed answer", &text.into(), &expected().into())
}

/// A deadline that cannot be met: the answer comes whole all the same, marked late.
fn late(desk: &Desk<'_>, entry: SocketAddr) -> Result<(), Error> {
    let answer = desk.json(entry, &check(&["--deadline", "1"]))?;
    expect("late answer", &answer["output"]["text"], &expected().into())?;
    expect("lateness", &answer["late"], &true.into())
}

/// A call that may not be repeated, sent to both entries under one key.
fn once(desk: &Desk<'_>, first: SocketAddr, second: SocketAddr) -> Result<(), Error> {
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
    let one = desk.json(first, &arguments)?;
    let other = desk.json(second, &arguments)?;
    expect("answer to the same key", &other["output"], &one["output"])
}

fn check<'a>(options: &[&'a str]) -> Vec<&'a str> {
    const INPUT: &str = r#"{"text": "loom 7, splice 3"}"#;
    let call = ["call", "drawing-check", "--workspace", "tractor-line"];
    let input = ["--class", "fitter", "--input", INPUT];
    [&call, &input[..], options].concat()
}

/// What the stand-ins make of the input, worked out here from the input alone.
fn expected() -> String {
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

/// Whether an entry has the records and a link to every target.
fn serves(status: &Value, revision: &Value, targets_due: usize) -> bool {
    let targets = status["targets"].as_array();
    let live = |targets: &Vec<Value>| targets.iter().filter(|one| one["state"] == "live").count();
    status["revision"] == *revision && targets.map(live) == Some(targets_due)
}

/// Waits until an entry's status is as it should be.
async fn wait(entry: SocketAddr, done: impl Fn(&Value) -> bool) -> Result<(), Error> {
    let client = Client::plain(entry);
    let end = Instant::now() + READY_TIMEOUT;
    loop {
        let status: Value = get(&client, "/v1/status").await?;
        if done(&status) {
            return Ok(());
        }
        if Instant::now() > end {
            return failed(format!("{entry} did not get ready: {status}"));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Compares what the runners ran with what was asked for. A stage that may be repeated counts
/// once for each request that it answered, however often it was tried.
async fn count(deployment: &Deployment) -> Result<(), Error> {
    let mut services: Vec<(&str, usize, HashSet<String>)> = Vec::new();
    for (runner, address) in deployment.plan.runners.iter().zip(&deployment.runners) {
        let log: Page = get(&Client::plain(*address), "/standin/log").await?;
        let runs = log.executions.len();
        output::line(format_args!("  {:<14} ran {runs}", runner.vm))?;
        let answered = log.executions.into_iter();
        let answered = answered.filter(|execution| execution.ended == Ended::Answered);
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
            expect("executions of label", &runs.into(), &1.into())?;
            continue;
        }
        let what = format!("requests answered by {service}");
        expect(&what, &requests.len().into(), &CHECKS.into())?;
    }
    Ok(())
}

async fn get<T: serde::de::DeserializeOwned>(client: &Client, path: &str) -> Result<T, Error> {
    let answer = client
        .call(Method::GET, path, HeaderMap::new(), Bytes::new())
        .await?;
    answer.json()
}

fn expect(what: &str, found: &Value, expected: &Value) -> Result<(), Error> {
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

/// Runs commands of the command line as an operator or caller would.
struct Desk<'a> {
    fleet: &'a Fleet,
    token: &'a str,
}

impl Desk<'_> {
    /// The one JSON value that a command prints.
    fn json(&self, entry: SocketAddr, arguments: &[&str]) -> Result<Value, Error> {
        let values = self.run(entry, arguments)?;
        values.into_iter().next().ok_or_else(|| Error::Failed {
            reason: format!("{} printed nothing", arguments.join(" ")),
        })
    }

    /// All JSON values that a command prints, one a line.
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
