//! Claims on idempotency keys.

use crate::config::rows;
use crate::writes::{RowKey, WriteOutcome, Writes};
use protocol::RequestId;
use protocol::claim::{self, Action, Claim, Decision, Event, StoredRow};
use std::time::Duration;
use store::table::RowRevision;
use store::{Objects, Row, Table};

/// Table that stores claims.
pub const CLAIMS: &str = "claim";
/// Delay before a failed write of a release or answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Claims of one entry.
#[derive(Clone, Debug)]
pub struct Claims<P> {
    platform: P,
    writes: Writes,
}

/// The claim of a request whose verdict is known.
#[derive(Debug)]
pub struct SettledClaim {
    claim: Claim,
    key: String,
    /// Whether the request may run, or what is returned to its caller instead.
    pub decision: Decision,
}

impl SettledClaim {
    /// Whether the row needs no further writes.
    pub fn is_settled(&self) -> bool {
        self.claim.is_settled()
    }
}

/// Returns the key of a claim's row. The length prefix keeps workspaces apart: no workspace name
/// can be chosen so that its keys collide with those of another one.
fn row_key(workspace: &str, key: &str) -> String {
    format!("{}:{workspace}:{key}", workspace.len())
}

impl<P: Table + Objects> Claims<P> {
    /// Creates claims that are written through this queue.
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
    ) -> SettledClaim {
        let key = row_key(workspace, key);
        let (mut claim, mut action) = Claim::open(rand::random(), request, digest);
        loop {
            match action {
                Action::Resolve(decision) => {
                    return SettledClaim {
                        claim,
                        key,
                        decision,
                    };
                }
                action_now => {
                    let event = self.execute(&key, action_now).await;
                    action = claim.on(event);
                }
            }
        }
    }

    /// Writes the final state of the row, retrying for as long as it takes. Otherwise, the key
    /// would stay claimed by a request that has ended, and *unknown* would be reported to its next
    /// caller.
    pub async fn close(&self, mut settled: SettledClaim, event: Event) {
        let mut action = settled.claim.on(event);
        while !settled.claim.is_settled() {
            if action == Action::RetryLater {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let event = self.execute(&settled.key, action).await;
            action = settled.claim.on(event);
        }
    }

    async fn execute(&self, key: &str, action: Action) -> Event {
        match action {
            Action::Write { check, row } => self.write(key, check, row).await,
            Action::Read => self.read(key).await,
            Action::RetryLater | Action::Ignore | Action::Resolve(_) => Event::Retry,
        }
    }

    async fn write(&self, key: &str, check: Option<RowRevision>, row: claim::Row) -> Event {
        let place = RowKey {
            table: CLAIMS,
            key: key.to_owned(),
        };
        match self.writes.write(place, check, Some(&row)).await {
            WriteOutcome::Written(revision) => Event::Written(revision),
            WriteOutcome::Conflict(row) => found_event(row),
            WriteOutcome::Unavailable => Event::Unavailable,
            WriteOutcome::Unsure => Event::Unsure,
        }
    }

    async fn read(&self, key: &str) -> Event {
        match self.platform.read(CLAIMS, key).await {
            Ok(row) => found_event(row),
            Err(_) => Event::Unavailable,
        }
    }
}

fn found_event(row: Option<Row>) -> Event {
    let Some(row) = row else {
        return Event::Found(None);
    };
    let revision = row.revision;
    match rows::parse(row) {
        Ok(row) => Event::Found(Some(StoredRow { row, revision })),
        Err(_) => Event::Unavailable,
    }
}
