//! Measures the transactions of the table service per claim, at several loads.

use crate::Error;
use crate::client::Client;
use crate::deployment::{Plan, Runner};
use crate::fleet::Fleet;
use hyper::Method;
use hyper::header::HeaderMap;
use serde::Serialize;
use serde_json::{Value, json};
use standin::Kind;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Numbers of concurrent callers.
const CALLERS: [usize; 4] = [1, 8, 64, 256];
/// Maximum attempts to read the table service's number of transactions.
const MAX_PROBES: usize = 100;
/// Pause between two of these attempts.
const PROBE_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);
/// Number of calls of each caller.
const CALLS: usize = 40;

/// The result for one number of callers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Concurrent callers.
    callers: usize,
    /// Calls of all callers.
    calls: usize,
    /// Calls that were answered successfully.
    answered: usize,
    calls_per_second: f64,
    /// Transactions of the table service during the calls.
    transactions: u64,
    /// Transactions per call. A call claims its key and records its answer, which are two writes if
    /// transactions are not shared.
    transactions_per_call: f64,
}

/// Runs the measurement.
///
/// # Errors
///
/// [`Error::Failed`] if the deployment does not serve.
pub async fn run(fleet: &mut Fleet) -> Result<Vec<Point>, Error> {
    let deployment = super::start(fleet, plan(), records()).await?;
    let entry = deployment.entries[0].listen;
    let table = deployment.platform.table;
    let mut points = Vec::new();
    for callers in CALLERS {
        points.push(point(entry, table, callers).await?);
    }
    Ok(points)
}

fn plan() -> Plan {
    let mut runner = Runner::new("plain-a1", "plain", Kind::Plain, "print");
    runner.options.service_ms = 0.0;
    runner.options.slots = 256;
    Plan {
        runners: vec![runner],
        entries: vec!["entry-a1".to_owned()],
        concurrency: 256,
        queue: 1_024,
        ..Plan::default()
    }
}

fn records() -> Vec<Value> {
    vec![
        json!({"schema": 1, "kind": "service", "name": "plain", "runner": "plain",
            "concurrency": 256}),
        json!({"schema": 1, "kind": "pipeline", "name": "print", "version": 1,
            "deadline_ms": 60_000,
            "stages": [{"name": "print", "service": "plain", "repeatable": false}]}),
    ]
}

/// Measures with one number of callers.
async fn point(entry: SocketAddr, table: SocketAddr, callers: usize) -> Result<Point, Error> {
    let before = transactions(table).await?;
    let began = Instant::now();
    let runs = (0..callers).map(|caller| run_caller(entry, callers, caller));
    let answered: usize = futures::future::join_all(runs).await.into_iter().sum();
    let elapsed = began.elapsed();
    // The probe that reads the number is itself a transaction.
    let transactions = transactions(table).await? - before - 1;
    let calls = callers * CALLS;
    Ok(Point {
        callers,
        calls,
        answered,
        calls_per_second: calls as f64 / elapsed.as_secs_f64(),
        transactions,
        transactions_per_call: transactions as f64 / calls as f64,
    })
}

/// Sends calls one after the other, each with a different key, and returns the number answered.
async fn run_caller(entry: SocketAddr, callers: usize, caller: usize) -> usize {
    let client = Client::plain(entry);
    let mut answered = 0;
    for call in 0..CALLS {
        let mut headers = HeaderMap::new();
        headers.insert(
            "linnetdrift-workspace",
            hyper::header::HeaderValue::from_static("measure"),
        );
        if let Ok(key) = format!("{callers}-{caller}-{call}").parse() {
            headers.insert("idempotency-key", key);
        }
        let path = "/v1/pipelines/print/versions/1/run";
        let body = bytes::Bytes::from_static(br#"{"text":"W-1042"}"#);
        let answer = client.call(Method::POST, path, headers, body).await;
        answered += usize::from(answer.is_ok_and(|answer| answer.status.is_success()));
    }
    answered
}

/// Returns the number of transactions so far, which is the revision of one more transaction with a
/// single write. The service refuses that transaction while its rate limit is exceeded.
async fn transactions(table: SocketAddr) -> Result<u64, Error> {
    let probe = json!({"checks": [], "puts": [{"table": "measure", "key": "probe", "value": 1}]});
    let client = Client::plain(table);
    for _ in 0..MAX_PROBES {
        let body = probe.to_string().into();
        let answer = client
            .call(Method::POST, "/v1/transact", HeaderMap::new(), body)
            .await?;
        if answer.status.is_success() {
            let body: serde_json::Value = answer.json()?;
            return Ok(body["revision"].as_u64().unwrap_or_default());
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
    Err(Error::Failed {
        reason: "the table service refused every probe".to_owned(),
    })
}
