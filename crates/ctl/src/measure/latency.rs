//! Measures the cost of a call compared with calling the runner directly, in the same run.

use super::usage::{self, Usage};
use crate::Error;
use crate::deployment::{Deployment, Plan, Runner};
use crate::fleet::Fleet;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::{Value, json};
use standin::Kind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Uncounted calls on each path before the measurement.
const WARM_UP: usize = 2_000;
/// Counted calls on each path, sent one after the other and alternating between the paths.
const CALLS: usize = 20_000;
/// Numbers of concurrent streams.
const STREAMS: [usize; 4] = [4, 16, 64, 256];
/// Number of tokens of each stream.
const TOKENS: usize = 400;
/// Time between two tokens of a stream, in milliseconds.
const STEP_MS: f64 = 10.0;
/// Number of concurrent calls to a runner.
const CONCURRENCY: usize = 256;

/// Latencies of one path, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
}

/// Cost of one role.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// Processor time per call with one stage, in microseconds.
    pub call_us: f64,
    /// Memory and threads after all calls and streams.
    #[serde(flatten)]
    pub usage: Usage,
}

/// Cost of streamed tokens for one number of concurrent streams.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Tokens {
    streams: usize,
    tokens: usize,
    tokens_per_second: f64,
    /// Processor time of the entry per token, in microseconds.
    entry_us: f64,
    /// Processor time of the agent per token, in microseconds.
    agent_us: f64,
}

/// The results of the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    calls: usize,
    direct: Latency,
    through: Latency,
    /// Difference of the medians.
    added_p50_us: i64,
    /// Difference of the 99th percentiles.
    added_p99_us: i64,
    entry: Cost,
    agent: Cost,
    tokens: Vec<Tokens>,
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// Runs the measurement.
///
/// # Errors
///
/// [`Error::Failed`] if the deployment does not serve or a call fails.
pub async fn run(fleet: &mut Fleet) -> Result<Report, Error> {
    let deployment = super::start(fleet, plan(), records()).await?;
    let processes = Processes::of(fleet);
    let http = http();
    let [direct, through] = urls(&deployment);
    for _ in 0..WARM_UP {
        call(&http, &direct).await?;
        call(&http, &through).await?;
    }
    let before = processes.usage();
    let mut times = [histogram()?, histogram()?];
    for _ in 0..CALLS {
        for (url, times) in [&direct, &through].into_iter().zip(&mut times) {
            let began = Instant::now();
            call(&http, url).await?;
            times.saturating_record(micros(began.elapsed()));
        }
    }
    let between = processes.usage();
    let mut tokens = Vec::new();
    for streams in STREAMS {
        tokens.push(measure_streams(&http, entry(&deployment), &processes, streams).await?);
    }
    let after = processes.usage();
    let [direct, through] = times.map(|times| latency(&times));
    let cost = |role: usize, memory: usize| Cost {
        call_us: usage::each(before[role], between[role], CALLS as u64),
        usage: after[memory],
    };
    Ok(Report {
        calls: CALLS,
        direct,
        through,
        added_p50_us: through.p50_us as i64 - direct.p50_us as i64,
        added_p99_us: through.p99_us as i64 - direct.p99_us as i64,
        entry: cost(ENTRY, ENTRY),
        agent: cost(POOL_AGENT, ENGINE_AGENT),
        tokens,
    })
}

/// Indices in [`Processes`].
const ENTRY: usize = 0;
const POOL_AGENT: usize = 1;
const ENGINE_AGENT: usize = 2;
/// Names of the measured processes, by index.
const NAMES: [&str; 3] = ["entry-a1", "pool-a1", "engine-a1"];

/// Ids of the processes whose cost is measured.
struct Processes([u32; 3]);

impl Processes {
    fn of(fleet: &Fleet) -> Self {
        Self(NAMES.map(|name| fleet.process_id(name).unwrap_or_default()))
    }

    fn usage(&self) -> [Usage; 3] {
        self.0.map(usage::of)
    }
}

fn plan() -> Plan {
    let mut pool = Runner::new(NAMES[POOL_AGENT], "pool", Kind::Pool, "work");
    pool.options.service_ms = 0.0;
    let mut engine = Runner::new(NAMES[ENGINE_AGENT], "engine", Kind::Engine, "generate");
    engine.options.batch = CONCURRENCY;
    engine.options.step_ms = STEP_MS;
    Plan {
        runners: vec![pool, engine],
        entries: vec![NAMES[ENTRY].to_owned()],
        concurrency: CONCURRENCY as u32,
        poll_ms: 1_000,
        ..Plan::default()
    }
}

fn records() -> Vec<Value> {
    let pipeline = |name: &str, service: &str, stream: bool| {
        json!({"schema": 1, "kind": "pipeline", "name": name, "version": 1, "deadline_ms": 60_000,
            "stages": [{"name": "only", "service": service, "stream": stream}]})
    };
    let service = |name: &str, runner: &str| {
        json!({"schema": 1, "kind": "service", "name": name, "runner": runner,
            "concurrency": CONCURRENCY})
    };
    vec![
        service("pool", "pool"),
        service("engine", "engine"),
        pipeline("one", "pool", false),
        pipeline("stream", "engine", true),
    ]
}

fn http() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

fn entry(deployment: &Deployment) -> SocketAddr {
    deployment.entries[0].listen
}

/// Returns the URLs of the runner and of the pipeline whose only stage uses that runner.
fn urls(deployment: &Deployment) -> [String; 2] {
    let (runner, entry) = (deployment.runners[0], entry(deployment));
    [
        format!("http://{runner}/v1/run"),
        format!("http://{entry}/v1/pipelines/one/versions/1/run"),
    ]
}

async fn call(http: &Http, url: &str) -> Result<(), Error> {
    let body = Bytes::from_static(br#"{"text":"loom 7"}"#);
    let request = Request::builder()
        .method(Method::POST)
        .uri(url)
        .header("linnetdrift-workspace", "measure")
        .header("x-call", "00000000000000000000000000000001-0-0")
        .header("x-workspace", "measure")
        .body(Full::new(body))
        .map_err(failed)?;
    let answer = http.request(request).await.map_err(failed)?;
    let status = answer.status();
    answer.into_body().collect().await.map_err(failed)?;
    match status.is_success() {
        true => Ok(()),
        false => Err(failed(format!("{url} answered {status}"))),
    }
}

/// Runs concurrent streams and measures the cost of their tokens.
async fn measure_streams(
    http: &Http,
    entry: SocketAddr,
    processes: &Processes,
    streams: usize,
) -> Result<Tokens, Error> {
    let before = processes.usage();
    let began = Instant::now();
    let all = (0..streams).map(|_| stream(http, entry));
    let mut tokens = 0;
    for count in futures::future::join_all(all).await {
        tokens += count?;
    }
    let elapsed = began.elapsed();
    let after = processes.usage();
    let cost = |role: usize| usage::each(before[role], after[role], tokens as u64);
    Ok(Tokens {
        streams,
        tokens,
        tokens_per_second: tokens as f64 / elapsed.as_secs_f64(),
        entry_us: cost(ENTRY),
        agent_us: cost(ENGINE_AGENT),
    })
}

async fn stream(http: &Http, entry: SocketAddr) -> Result<usize, Error> {
    let body = json!({"text": "loom 7", "max_tokens": TOKENS}).to_string();
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/v1/pipelines/stream/versions/1/run"))
        .header("linnetdrift-workspace", "measure")
        .header("accept", "text/event-stream")
        .body(Full::from(body))
        .map_err(failed)?;
    let answer = http.request(request).await.map_err(failed)?;
    let body = answer.into_body().collect().await.map_err(failed)?;
    let text = body.to_bytes();
    let text = String::from_utf8_lossy(&text);
    let count = text.matches("\nid: ").count() + usize::from(text.starts_with("id: "));
    match count {
        TOKENS => Ok(count),
        _ => Err(failed(format!(
            "a stream had {count} tokens instead of {TOKENS}"
        ))),
    }
}

fn histogram() -> Result<Histogram<u64>, Error> {
    Histogram::new(3).map_err(failed)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn latency(times: &Histogram<u64>) -> Latency {
    Latency {
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
    }
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}
