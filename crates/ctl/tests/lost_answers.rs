//! Answers that are lost on the way: what is sent again, and what the operator is told.

#![allow(clippy::unwrap_used, missing_docs)]

mod fake;

use ctl::operator::Change;
use ctl::{Common, Error, Format, OperatorClient};
use fake::{Fake, answer, lost};
use std::net::SocketAddr;
use std::process::{Command, Output};

const NOT_RUN: &str = r#"{"title": "busy", "outcome": "not_run", "retry_after": 0.0}"#;
const UNKNOWN: &str = r#"{"title": "late", "outcome": "unknown", "retry_after": 0.0}"#;
const WHOLE: &str = r#"{"request": "a", "late": false, "output": 1}"#;
const CONFLICT: &str = r#"{"conflicts": [{"key": "drain/vm-1", "revision": 9, "document": null}]}"#;

/// Applies one change against a script and gives the result and the bodies that were sent.
async fn apply(script: Vec<String>) -> (Result<u64, Error>, Vec<String>) {
    let fake = Fake::start(script);
    let common = Common {
        entries: vec![fake.address.to_string().parse().unwrap()],
        ca: None,
        token: Some("t".to_owned()),
        format: Format::Json,
    };
    let mut operator = OperatorClient::new(&common).unwrap();
    let result = operator.apply(&Change::with_random_token()).await;
    let bodies = fake.seen().into_iter().map(|seen| seen.body).collect();
    (result.map(|accepted| accepted.revision), bodies)
}

fn call(entry: SocketAddr, options: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linnetdrift"));
    command.args(["call", "review", "--entry"]);
    command.arg(entry.to_string()).args(options);
    command.output().unwrap()
}

/// The entry writes the change and dies before it answers. Sent again under the same token the
/// change is found as accepted; under a new token the operator would be told of a conflict with
/// their own change.
#[tokio::test]
async fn same_token() {
    let (result, bodies) = apply(vec![lost(), answer("200 OK", r#"{"revision": 7}"#)]).await;
    assert_eq!(result.unwrap(), 7);
    assert_eq!(bodies[0], bodies[1]);
}

/// The first answer is lost and every later call is refused as not run, because the store is away.
/// That is true of the later calls only: the first may have been accepted, and an operator who
/// read "not run" would go on as if it had not.
#[tokio::test]
async fn doubt_remains() {
    let refused = answer("503 Service Unavailable", NOT_RUN);
    let mut script = vec![lost()];
    script.resize(6, refused);
    let (result, _) = apply(script).await;
    assert_eq!(result.unwrap_err().exit(), 4);
}

/// The store stays away from the start. Nothing was accepted, and the exit code says so.
#[tokio::test]
async fn never_accepted() {
    let script = vec![answer("503 Service Unavailable", NOT_RUN); 6];
    let (result, _) = apply(script).await;
    assert_eq!(result.unwrap_err().exit(), 1);
}

/// Another operator was first while the entry was unsure of its own write. The conflict settles
/// it, and the operator sees the winner's revision.
#[tokio::test]
async fn other_was_first() {
    let script = vec![
        answer("503 Service Unavailable", UNKNOWN),
        answer("409 Conflict", CONFLICT),
    ];
    let (result, _) = apply(script).await;
    let error = result.unwrap_err();
    assert_eq!(error.exit(), 3);
    assert!(error.to_string().contains("drain/vm-1 is at revision 9"));
}

/// A caller's connection breaks before the answer. Without a key a second call could run the work
/// twice, so there is none, and the exit code says that the outcome is unknown.
#[test]
fn call_without_key() {
    // The second answer is there to be had, and must not be fetched.
    let fake = Fake::start(vec![lost(), answer("200 OK", WHOLE)]);
    let output = call(fake.address, &[]);
    assert_eq!(output.status.code(), Some(4));
}

/// The same under a key: the second call finds the first one, and the caller gets its answer.
#[test]
fn call_with_key() {
    let fake = Fake::start(vec![lost(), answer("200 OK", WHOLE)]);
    let output = call(fake.address, &["--key", "k"]);
    assert!(output.status.success());
    let seen = fake.seen();
    assert_eq!(seen[0], seen[1]);
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    linnetdrift-request: a1\r\nconnection: close\r\n\r\n";

/// A stream breaks in the middle of an event. It is asked for again from the event after the last
/// whole one, so that the reader sees each part once and in order.
#[test]
fn broken_stream() {
    let first = format!("{HEAD}id: 0\ndata: \"a\"\n\nid: 1\ndata: \"b\"\n\nid: 2\nda");
    let second = format!("{HEAD}id: 2\ndata: \"c\"\n\nevent: done\ndata: {{\"chunks\":3}}\n\n");
    let fake = Fake::start(vec![first, second]);
    let output = call(fake.address, &["--stream"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text, "a\nb\nc\n{\"chunks\":3}\n");
    let seen = fake.seen();
    assert_eq!(seen[1].line, "GET /v1/requests/a1 HTTP/1.1");
    assert!(seen[1].headers.contains(&"last-event-id: 1".to_owned()));
}

/// A stream ends cleanly in the middle, as if it were whole, and nobody has the rest. The parts
/// that were printed must not pass for the answer.
#[test]
fn cut_short() {
    let first = format!("{HEAD}id: 0\ndata: \"a\"\n\n");
    let gone = answer("404 Not Found", "{}");
    let mut script = vec![first];
    script.resize(6, gone);
    let fake = Fake::start(script);
    let output = call(fake.address, &["--stream"]);
    assert_eq!(output.status.code(), Some(4));
    assert_eq!(fake.seen().len(), 6);
}
