//! Finds journalled requests whose entry has stopped or crashed, and runs them.

use crate::caller::format_id;
use crate::core::{Core, Platform};
use crate::journal::JOURNAL;
use crate::journal::row::JournalEntry;
use crate::{config::rows, execute, stored_answer};
use foldhash::fast::RandomState;
use protocol::RequestId;
use slog::info;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use store::table::RowRevision;
use store::{Error, Row};
use tokio::time::{Instant, sleep};

/// Number of renewal intervals without a change of the row after which its request is taken over.
const MISSED_RENEWALS: u32 = 3;
/// Number of rows read at once.
const PAGE: usize = 500;

/// The last seen revision of a row, and when it was first seen.
#[derive(Clone, Copy, Debug)]
struct Seen {
    revision: RowRevision,
    since: Instant,
}

type Watch = HashMap<RequestId, Seen, RandomState>;

/// Sweeps the journal until the entry stops.
pub async fn run<P: Platform>(core: Arc<Core<P>>) {
    let renew_interval = Duration::from_millis(core.settings.journal_beat_ms);
    let mut watch = Watch::default();
    loop {
        sleep(renew_interval).await;
        if core.is_draining() || !core.config.is_ready() {
            continue;
        }
        // While the table service is unavailable, rows keep the time at which they were first seen.
        if let Ok(rows) = scan(&core).await {
            for (request, row) in expired(&mut watch, rows, renew_interval * MISSED_RENEWALS) {
                take_over(&core, request, row).await;
            }
        }
    }
}

async fn scan<P: Platform>(core: &Core<P>) -> Result<Vec<Row>, Error> {
    let mut all: Vec<Row> = Vec::new();
    loop {
        let after = all.last().map_or(String::new(), |row| row.key.clone());
        let page = core.platform.scan(JOURNAL, &after, PAGE).await?;
        let full = page.len() == PAGE;
        all.extend(page);
        if !full {
            return Ok(all);
        }
    }
}

/// Returns the rows that have been seen unchanged for at least `timeout`.
fn expired(watch: &mut Watch, rows: Vec<Row>, timeout: Duration) -> Vec<(RequestId, Row)> {
    let now = Instant::now();
    let mut seen = Watch::default();
    let mut expired = Vec::new();
    for row in rows {
        let Ok(request) = RequestId::from_str_radix(&row.key, 16) else {
            continue;
        };
        let before = watch
            .get(&request)
            .filter(|before| before.revision == row.revision);
        let since = before.map_or(now, |before| before.since);
        let revision = row.revision;
        seen.insert(request, Seen { revision, since });
        if now - since >= timeout {
            expired.push((request, row));
        }
    }
    *watch = seen;
    expired
}

async fn take_over<P: Platform>(core: &Arc<Core<P>>, request: RequestId, row: Row) {
    if core.journal.is_running(request) {
        return;
    }
    let revision = row.revision;
    let Ok(entry) = rows::parse::<JournalEntry>(row) else {
        return;
    };
    // A request whose pipeline is not in force here is left to an entry that has read its pipeline.
    if entry.job(request, &core.config.current()).is_none() {
        return;
    }
    let journal = &core.journal;
    let taken = journal.take_over(request, entry, revision, &core.incarnation);
    let Some(entry) = taken.await else {
        return;
    };
    // The previous entry may have stored the answer and stopped before it removed the row.
    if stored_answer::load(core, request).await.is_some() {
        core.journal.remove(request).await;
        return;
    }
    let Some(job) = entry.job(request, &core.config.current()) else {
        return;
    };
    info!(core.log, "request taken over"; "request" => format_id(request));
    let job = Arc::new(job);
    let runner = core.clone();
    core.track(job.answer.clone(), async move {
        execute::run_journalled(&runner, &job).await;
    });
}
