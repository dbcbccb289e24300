//! Measures the cost of the records in force and of their changes at an entry.

use super::usage::{self, Usage};
use crate::Error;
use crate::deployment::Plan;
use crate::fleet::Fleet;
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Numbers of workspace records.
const SIZES: [usize; 4] = [100, 1_000, 2_500, 5_000];
/// Maximum records in one change while the number of records is increased.
const BATCH: usize = 500;
/// Measured changes at each size, each of one record.
const CHANGES: u64 = 50;

/// The result for one number of records.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Workspace records in force.
    records: usize,
    /// Processor time per change of the entry that accepts it, in milliseconds.
    accept_ms: f64,
    /// Processor time per change of an entry that follows, in milliseconds.
    follow_ms: f64,
    /// Longest time until a change is in force at the entry that follows, in milliseconds.
    in_force_ms: f64,
    /// Memory and threads of the entry that follows.
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
    let [accepts, follows] =
        ["entry-a1", "entry-b1"].map(|name| fleet.process_id(name).unwrap_or_default());
    let mut pair = Pair {
        accepts: deployment.entries[0].listen,
        follows: deployment.entries[1].listen,
        token: deployment.token,
        revision: 1,
        record_revision: 1,
        records: 1,
    };
    let mut points = Vec::new();
    for size in SIZES {
        pair.grow(size).await?;
        let before = [accepts, follows].map(usage::of);
        let worst = pair.change().await?;
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

/// An entry that accepts changes and an entry that follows.
struct Pair {
    accepts: SocketAddr,
    follows: SocketAddr,
    token: String,
    /// Revision of the last change.
    revision: u64,
    /// Revision of the record that is changed.
    record_revision: u64,
    /// Number of workspace records so far.
    records: usize,
}

impl Pair {
    /// Adds records up to `size`, and waits until both entries have them.
    async fn grow(&mut self, size: usize) -> Result<(), Error> {
        while self.records < size {
            let next = (self.records + BATCH).min(size);
            let batch = (self.records..next).map(super::workspace).collect();
            self.apply(json!({}), batch).await?;
            self.records = next;
        }
        self.wait_until_in_force().await
    }

    /// Makes the measured changes and returns the longest time until one is in force at the entry that
    /// follows.
    async fn change(&mut self) -> Result<Duration, Error> {
        let mut worst = Duration::ZERO;
        for _ in 0..CHANGES {
            let base = json!({"workspace/workspace-0": self.record_revision});
            self.apply(base, vec![super::workspace(0)]).await?;
            self.record_revision = self.revision;
            let accepted = Instant::now();
            self.wait_until_in_force().await?;
            worst = worst.max(accepted.elapsed());
        }
        Ok(worst)
    }

    async fn apply(&mut self, base: Value, documents: Vec<Value>) -> Result<(), Error> {
        super::apply(self.accepts, &self.token, base, documents).await?;
        self.revision += 1;
        Ok(())
    }

    async fn wait_until_in_force(&self) -> Result<(), Error> {
        let revision = self.revision;
        super::until(self.follows, |status| status["revision"] == revision).await
    }
}
