//! What an entry spends on the records in force and on their changes.

use super::usage::{self, Usage};
use crate::Error;
use crate::deployment::Plan;
use crate::fleet::Fleet;
use serde::Serialize;
use std::time::Duration;
use tokio::time::Instant;

/// Numbers of workspace records.
const SIZES: [usize; 4] = [100, 1_000, 2_500, 5_000];
/// Records written by one change while the sizes are reached.
const BATCH: usize = 500;
/// Changes that are measured at each size, of one record each.
const CHANGES: u64 = 50;

/// Cost at one number of records.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    records: usize,
    /// Processor time of the entry that accepts a change, in milliseconds.
    accept_ms: f64,
    /// Processor time of an entry that follows it, in milliseconds.
    follow_ms: f64,
    /// Time until a change is in force at the entry that follows, in milliseconds, at the worst.
    in_force_ms: f64,
    /// Memory of the entry that follows.
    #[serde(flatten)]
    usage: Usage,
}

/// Runs the measurement.
///
/// # Errors
///
/// [`Error::Failed`] if the entries do not serve or refuse a change.
pub async fn run(fleet: &mut Fleet) -> Result<Vec<Point>, Error> {
    let plan = Plan {
        poll_ms: 1_000,
        ..Plan::default()
    };
    let deployment = super::start(fleet, plan, vec![super::workspace(0)]).await?;
    let [first, second] = [0, 1].map(|index| deployment.entries[index].listen);
    let [accepts, follows] =
        ["entry-a1", "entry-b1"].map(|name| fleet.id(name).unwrap_or_default());
    let mut revision = 1_u64;
    let mut known = 1;
    let mut points = Vec::new();
    for size in SIZES {
        while known < size {
            let next = (known + BATCH).min(size);
            let batch = (known..next).map(super::workspace).collect();
            super::apply(first, &deployment.token, batch).await?;
            revision += 1;
            known = next;
        }
        super::until(second, |status| status["revision"] == revision).await?;
        let before = [accepts, follows].map(usage::of);
        let mut worst = Duration::ZERO;
        for _ in 0..CHANGES {
            super::apply(first, &deployment.token, vec![super::workspace(0)]).await?;
            revision += 1;
            let accepted = Instant::now();
            super::until(second, |status| status["revision"] == revision).await?;
            worst = worst.max(accepted.elapsed());
        }
        let after = [accepts, follows].map(usage::of);
        points.push(Point {
            records: size,
            accept_ms: usage::each(before[0], after[0], CHANGES) / 1e3,
            follow_ms: usage::each(before[1], after[1], CHANGES) / 1e3,
            in_force_ms: worst.as_secs_f64() * 1e3,
            usage: after[1],
        });
    }
    Ok(points)
}
