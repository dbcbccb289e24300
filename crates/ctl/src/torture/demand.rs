//! Open-loop load from a seed: requests arrive whether or not earlier ones were answered.

use crate::rig::caller::{ClientRequest, RequestRecord};
use crate::rig::record::{CHECK, DRAFT, PRINT, READ};
use crate::torture::state::SoakState;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time for which a caller retries; longer than any fault of a soak lasts.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit of requests, which bounds the memory of a long soak.
const MAX_REQUESTS: usize = 100_000;
/// Length of the intervals with usual load or a burst.
const INTERVAL: Duration = Duration::from_secs(1);
/// Share of the intervals that are a burst, and the factor of their load.
const BURST: (f64, f64) = (0.15, 4.0);
/// Share of the requests with a key that two callers send at once.
const CONCURRENT_SHARE: f64 = 0.2;

/// Shares of the pipelines in the load.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Calls that must not be repeated.
    pub print: f64,
    /// Plain calls.
    pub read: f64,
    /// Single streamed stages.
    pub draft: f64,
    /// Streamed calls of four stages; the rest are calls of the same pipeline that are not streamed.
    pub streamed: f64,
}

/// One request and the responses that its callers got.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// The request.
    pub request: ClientRequest,
    /// The responses of each of its callers.
    pub records: Vec<RequestRecord>,
}

/// Sends load for a time. Returns the traces once every caller has its final response.
pub async fn send(
    state: Arc<SoakState>,
    seed: u64,
    rate: f64,
    mix: Mix,
    time: Duration,
) -> Vec<RequestTrace> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    let mut due = Instant::now();
    let mut factor = 1.0;
    let mut interval_end = due + INTERVAL;
    for number in 0..MAX_REQUESTS {
        if due >= interval_end {
            factor = if rng.random_bool(BURST.0) {
                BURST.1
            } else {
                1.0
            };
            interval_end += INTERVAL;
        }
        let gap = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / (rate * factor);
        due += Duration::from_secs_f64(gap);
        if due >= end {
            break;
        }
        let (request, count) = draw_request(&mut rng, mix, number);
        let first = rng.random_range(0..2);
        tokio::time::sleep_until(due).await;
        callers.spawn(send_request(state.clone(), request, count, first));
    }
    callers.join_all().await
}

fn draw_request(rng: &mut StdRng, mix: Mix, number: usize) -> (ClientRequest, usize) {
    let kind: f64 = rng.random();
    let shares = [mix.print, mix.read, mix.draft, mix.streamed];
    let bounds = shares.iter().scan(0.0, |sum, share| {
        *sum += share;
        Some(*sum)
    });
    let tokens = rng.random_range(4..60);
    let mut request = match bounds.into_iter().position(|bound| kind < bound) {
        Some(0) => {
            ClientRequest::new(PRINT, format!("label {number}")).key(format!("key-{number}"))
        }
        Some(1) => ClientRequest::new(READ, format!("pin {number}")),
        Some(2) => ClientRequest::new(DRAFT, format!("note {number}")).streamed(tokens),
        Some(_) => ClientRequest::new(CHECK, format!("drawing {number}")).streamed(tokens),
        None => ClientRequest::new(CHECK, format!("drawing {number}")),
    };
    request.workspace = format!("workspace-{}", rng.random_range(0..5));
    request.deadline = Duration::from_millis(rng.random_range(200..5_000));
    let concurrent = request.key.is_some() && rng.random_bool(CONCURRENT_SHARE);
    (request, 1 + usize::from(concurrent))
}

async fn send_request(
    state: Arc<SoakState>,
    request: ClientRequest,
    count: usize,
    first: usize,
) -> RequestTrace {
    let callers = (0..count).map(|number| {
        let (state, request) = (&state, &request);
        let mut turn = first + number;
        let next = move || {
            let entries = state.entries();
            turn += 1;
            entries.get(turn % entries.len().max(1)).copied()
        };
        async move { request.send_until_final_at(next, CALLER_TIMEOUT).await }
    });
    let records = futures::future::join_all(callers).await;
    RequestTrace { request, records }
}
