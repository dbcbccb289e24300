//! Open-loop demand from a seed: callers arrive whether or not earlier ones were answered.

use crate::rig::caller::{ClientRequest, RequestRecord};
use crate::rig::record::{CHECK, DRAFT, PRINT, READ};
use crate::torture::world::World;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How long a caller keeps asking; longer than any fault of a soak lasts.
const PATIENCE: Duration = Duration::from_secs(60);
/// Callers at most, so that a long soak stays within memory.
const MOST: usize = 100_000;
/// Length of the spans that are calm or a burst.
const SPAN: Duration = Duration::from_secs(1);
/// Share of spans that are a burst, and how much more demand it brings.
const BURST: (f64, f64) = (0.15, 4.0);
/// Share of labels that two callers ask for at once.
const RACED: f64 = 0.2;

/// Shares of the pipelines in the demand.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Calls that may not be repeated.
    pub print: f64,
    /// Plain calls.
    pub read: f64,
    /// Single streamed stages.
    pub draft: f64,
    /// Four stages, streamed or whole; the rest.
    pub streamed: f64,
}

/// One request, with everything that its callers were told.
#[derive(Clone, Debug)]
pub struct Trail {
    /// What was asked.
    pub ask: ClientRequest,
    /// What each of its callers was told.
    pub words: Vec<RequestRecord>,
}

/// Sends demand for a time and gives what became of it once every caller has its word.
pub async fn send(world: Arc<World>, seed: u64, rate: f64, mix: Mix, time: Duration) -> Vec<Trail> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    let mut due = Instant::now();
    let mut factor = 1.0;
    let mut span = due + SPAN;
    for number in 0..MOST {
        if due >= span {
            factor = if rng.random_bool(BURST.0) {
                BURST.1
            } else {
                1.0
            };
            span += SPAN;
        }
        let gap = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / (rate * factor);
        due += Duration::from_secs_f64(gap);
        if due >= end {
            break;
        }
        let (ask, count) = draw(&mut rng, mix, number);
        let first = rng.random_range(0..2);
        tokio::time::sleep_until(due).await;
        callers.spawn(call(world.clone(), ask, count, first));
    }
    callers.join_all().await
}

fn draw(rng: &mut StdRng, mix: Mix, number: usize) -> (ClientRequest, usize) {
    let kind: f64 = rng.random();
    let shares = [mix.print, mix.read, mix.draft, mix.streamed];
    let bounds = shares.iter().scan(0.0, |sum, share| {
        *sum += share;
        Some(*sum)
    });
    let tokens = rng.random_range(4..60);
    let mut ask = match bounds.into_iter().position(|bound| kind < bound) {
        Some(0) => {
            ClientRequest::new(PRINT, format!("label {number}")).key(format!("key-{number}"))
        }
        Some(1) => ClientRequest::new(READ, format!("pin {number}")),
        Some(2) => ClientRequest::new(DRAFT, format!("note {number}")).streamed(tokens),
        Some(_) => ClientRequest::new(CHECK, format!("drawing {number}")).streamed(tokens),
        None => ClientRequest::new(CHECK, format!("drawing {number}")),
    };
    ask.workspace = format!("workspace-{}", rng.random_range(0..5));
    ask.deadline = Duration::from_millis(rng.random_range(200..5_000));
    let raced = ask.key.is_some() && rng.random_bool(RACED);
    (ask, 1 + usize::from(raced))
}

async fn call(world: Arc<World>, ask: ClientRequest, count: usize, first: usize) -> Trail {
    let callers = (0..count).map(|number| {
        let (world, ask) = (&world, &ask);
        let mut turn = first + number;
        let next = move || {
            let entries = world.entries();
            turn += 1;
            entries.get(turn % entries.len().max(1)).copied()
        };
        async move { ask.send_until_final_at(next, PATIENCE).await }
    });
    let words = futures::future::join_all(callers).await;
    Trail { ask, words }
}
