//! What an entry spends on the records in force and on their changes.

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
/// Records written by one change while the sizes are reached.
const BATCH: usize = 500;
/// Changes that are measured at each size, of one record each.
const CHANGES: u64 = 50;

/// Cost at one number of records.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Workspace records in force.
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
    let [accepts, follows] =
        ["entry-a1", "entry-b1"].map(|name| fleet.process_id(name).unwrap_or_default());
    let mut pair = Pair {
        accepts: deployment.entries[0].listen,
        follows: deployment.entries[1].listen,
        token: deployment.token,
        revision: 1,
        first: 1,
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

/// An entry that accepts changes and one that follows.
struct Pair {
    accepts: SocketAddr,
    follows: SocketAddr,
    token: String,
    /// Revision of the last change.
    revision: u64,
    /// Revision of the record that is changed.
    first: u64,
    /// Workspace records so far.
    records: usize,
}

impl Pair {
    /// Adds records until there are so many, and waits until both entries have them.
    async fn grow(&mut self, size: usize) -> Result<(), Error> {
        while self.records < size {
            let next = (self.records + BATCH).min(size);
            let batch = (self.records..next).map(super::workspace).collect();
            self.apply(json!({}), batch).await?;
            self.records = next;
        }
        self.in_force().await
    }

    /// Makes the changes that are measured and gives the longest time until one is in force at the
    /// entry that follows.
    async fn change(&mut self) -> Result<Duration, Error> {
        let mut worst = Duration::ZERO;
        for _ in 0..CHANGES {
            let base = json!({"workspace/workspace-0": self.first});
            self.apply(base, vec![super::workspace(0)]).await?;
            self.first = self.revision;
            let accepted = Instant::now();
            self.in_force().await?;
            worst = worst.max(accepted.elapsed());
        }
        Ok(worst)
    }

    async fn apply(&mut self, base: Value, documents: Vec<Value>) -> Result<(), Error> {
        super::apply(self.accepts, &self.token, base, documents).await?;
        self.revision += 1;
        Ok(())
    }

    async fn in_force(&self) -> Result<(), Error> {
        let revision = self.revision;
        super::until(self.follows, |status| status["revision"] == revision).await
    }
}
