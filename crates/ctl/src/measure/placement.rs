//! Measures the time until a new model is warm, and the rate at which loads are started.

use crate::Error;
use crate::deployment::{Deployment, Plan, Runner};
use crate::fleet::Fleet;
use crate::rig::probe::get;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use setting::Placement;
use standin::Kind;
use std::time::Duration;
use tokio::time::Instant;

/// Number of free engines, which are to load the new model.
const FREE_ENGINES: usize = 8;
/// Load time of a model, in milliseconds.
const LOAD_MS: f64 = 500.0;
/// Load limits: the number of loads in each interval, and the interval in milliseconds.
const LOAD_LIMITS: [(u32, u64); 3] = [(1, 5_000), (1, 2_000), (2, 2_000)];
/// Longest wait until all engines have the model.
const TIMEOUT: Duration = Duration::from_secs(90);

/// The result for one load limit.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Loads allowed in each interval.
    loads: u32,
    /// The interval, in milliseconds.
    every_ms: u64,
    /// Engines that loaded the model.
    engines: usize,
    /// Load time of the model, in milliseconds.
    load_ms: f64,
    /// From the accepted change until the first engine has the model, in milliseconds.
    first_warm_ms: f64,
    /// From the accepted change until the last engine has the model, in milliseconds.
    all_warm_ms: f64,
    /// Loads started per minute, from the first to the last.
    loads_per_minute: f64,
}

#[derive(Deserialize)]
struct LoadedModels {
    models: Vec<String>,
}

#[derive(Deserialize)]
struct Journal {
    orders: Vec<Order>,
}

#[derive(Deserialize)]
struct Order {
    model: String,
    at_us: u64,
}

/// Runs the measurement.
///
/// # Errors
///
/// [`Error::Failed`] if the processes do not serve or the model is not loaded everywhere.
pub async fn run(fleet: &mut Fleet) -> Result<Vec<Point>, Error> {
    let mut points = Vec::new();
    for (loads, every_ms) in LOAD_LIMITS {
        let placement = Placement {
            loads,
            every_ms,
            ..Placement::default()
        };
        points.push(point(fleet, placement).await?);
        fleet.stop()?;
    }
    Ok(points)
}

async fn point(fleet: &mut Fleet, placement: Placement) -> Result<Point, Error> {
    let plan = Plan {
        runners: (0..=FREE_ENGINES).map(engine).collect(),
        placement,
        ..Plan::default()
    };
    let deployment = super::start(fleet, plan, vec![service(0)]).await?;
    // Once the first model is loaded, an entry holds the lease and knows the engines.
    wait_until_warm(&deployment, "old", 1, Instant::now()).await?;
    tokio::time::sleep(Duration::from_millis(placement.every_ms)).await;
    let entry = deployment.entries[0].listen;
    let accepted = Instant::now();
    let base = json!({"service/assistant": 1});
    super::apply(entry, &deployment.token, base, vec![service(FREE_ENGINES)]).await?;
    let first = wait_until_warm(&deployment, "new", 1, accepted).await?;
    let all = wait_until_warm(&deployment, "new", FREE_ENGINES, accepted).await?;
    Ok(Point {
        loads: placement.loads,
        every_ms: placement.every_ms,
        engines: FREE_ENGINES,
        load_ms: LOAD_MS,
        first_warm_ms: first.as_secs_f64() * 1e3,
        all_warm_ms: all.as_secs_f64() * 1e3,
        loads_per_minute: loads_per_minute(&deployment).await?,
    })
}

fn engine(number: usize) -> Runner {
    let vm = format!("engine-{number}");
    let mut runner = Runner::new(&vm, "assistant", Kind::Engine, "generate");
    runner.options.load_ms = LOAD_MS;
    runner
}

/// Creates the record of the engines' service; the new model is to be on `new` of them.
fn service(new: usize) -> Value {
    let model = |name, min: usize| json!({"name": name, "min": min, "max": min.max(1)});
    json!({"schema": 2, "kind": "service", "name": "assistant", "runner": "engine",
        "concurrency": 4, "fencing": "checked", "models": [model("old", 1), model("new", new)]})
}

/// Waits until `count` engines have a model and returns the time since `start`.
async fn wait_until_warm(
    deployment: &Deployment,
    model: &str,
    count: usize,
    start: Instant,
) -> Result<Duration, Error> {
    loop {
        let mut warm = 0;
        for runner in &deployment.runners {
            let loaded: LoadedModels = get(*runner, "/v1/models").await?;
            warm += usize::from(loaded.models.iter().any(|loaded| loaded == model));
        }
        if warm >= count {
            return Ok(start.elapsed());
        }
        if start.elapsed() > TIMEOUT {
            return Err(Error::Failed {
                reason: format!("timed out: {warm} of {count} engines have the model"),
            });
        }
        tokio::time::sleep(super::POLL_INTERVAL).await;
    }
}

async fn loads_per_minute(deployment: &Deployment) -> Result<f64, Error> {
    let mut times = Vec::new();
    for runner in &deployment.runners {
        let journal: Journal = get(*runner, "/standin/orders").await?;
        let new = journal.orders.iter().filter(|order| order.model == "new");
        times.extend(new.map(|order| order.at_us));
    }
    let span = times.iter().max().zip(times.iter().min());
    let seconds = span.map_or(0, |(last, first)| last - first) as f64 / 1e6;
    Ok(times.len().saturating_sub(1) as f64 / seconds * 60.0)
}
