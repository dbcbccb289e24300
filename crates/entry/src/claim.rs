//! Claims on idempotency keys.

use crate::config::rows;
use crate::writes::{Fate, Place, Writes};
use protocol::RequestId;
use protocol::claim::{self, Action, Claim, Decision, Event, StoredRow};
use std::time::Duration;
use store::table::RowRevision;
use store::{Objects, Row, Table};

/// Table of claims.
pub const CLAIMS: &str = "claim";
/// Pause before a release or answer that could not be written is tried again.
const LATER: Duration = Duration::from_millis(500);

/// Claims of one entry.
#[derive(Clone, Debug)]
pub struct Claims<P> {
    platform: P,
    writes: Writes,
}

/// A request's claim that was settled for its caller.
#[derive(Debug)]
pub struct Settled {
    claim: Claim,
    key: String,
    /// What the caller is told, or whether the request may run.
    pub decision: Decision,
}

impl Settled {
    /// Whether the row needs no more writes.
    pub fn is_settled(&self) -> bool {
        self.claim.is_settled()
    }
}

/// Key of a claim's row. Workspaces are kept apart by a length, so that no name can be made to
/// meet another workspace's keys.
fn row_key(workspace: &str, key: &str) -> String {
    format!("{}:{workspace}:{key}", workspace.len())
}

impl<P: Table + Objects> Claims<P> {
    /// Claims that are written through this queue.
    pub fn new(platform: P, writes: Writes) -> Self {
        Self { platform, writes }
    }

    /// Claims a workspace's key for a request whose content has this digest.
    pub async fn claim(
        &self,
        workspace: &str,
        key: &str,
        request: RequestId,
        digest: u64,
    ) -> Settled {
        let key = row_key(workspace, key);
        let (mut claim, mut action) = Claim::open(rand::random(), request, digest);
        loop {
            match action {
                Action::Resolve(decision) => {
                    return Settled {
                        claim,
                        key,
                        decision,
                    };
                }
                action_now => {
                    let event = self.carry_out(&key, action_now).await;
                    action = claim.on(event);
                }
            }
        }
    }

    /// Brings the row to its last state, for as long as it takes: the key would otherwise stay
    /// claimed by a request that has ended, and its next caller would be told *unknown*.
    pub async fn close(&self, mut settled: Settled, event: Event) {
        let mut action = settled.claim.on(event);
        while !settled.claim.is_settled() {
            if action == Action::RetryLater {
                tokio::time::sleep(LATER).await;
            }
            let event = self.carry_out(&settled.key, action).await;
            action = settled.claim.on(event);
        }
    }

    async fn carry_out(&self, key: &str, action: Action) -> Event {
        match action {
            Action::Write { check, row } => self.write(key, check, row).await,
            Action::Read => self.read(key).await,
            Action::RetryLater | Action::Ignore | Action::Resolve(_) => Event::Retry,
        }
    }

    async fn write(&self, key: &str, check: Option<RowRevision>, row: claim::Row) -> Event {
        let place = Place {
            table: CLAIMS,
            key: key.to_owned(),
        };
        match self.writes.write(place, check, Some(&row)).await {
            Fate::Written(revision) => Event::Written(revision),
            Fate::Conflict(row) => found(row),
            Fate::Unavailable => Event::Unavailable,
            Fate::Unsure => Event::Unsure,
        }
    }

    async fn read(&self, key: &str) -> Event {
        match self.platform.read(CLAIMS, key).await {
            Ok(row) => found(row),
            Err(_) => Event::Unavailable,
        }
    }
}

fn found(row: Option<Row>) -> Event {
    let Some(row) = row else {
        return Event::Found(None);
    };
    let revision = row.revision;
    match rows::parse(row) {
        Ok(row) => Event::Found(Some(StoredRow { row, revision })),
        Err(_) => Event::Unavailable,
    }
}
