//! Follows the changes of one table, across outages and gaps in its history.

use super::TableSource;
use super::budget::{HOP_DELAY, StalenessBudget};
use super::schedule::PollIntervals;
use crate::core::Relay;
use crate::downstream::Downstream;
use crate::member::{self, Member, MemberId};
use crate::pause::Following;
use crate::peer::TableUpdate;
use crate::peer::tables::{Table, TableRead};
use crate::telemetry::millis;
use decide::bound::MAX_TIME;
use protocol::reader::{PeerUpdate, Reader, UpdateAction};
use rand::Rng;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use store::era::{self, Era};
use store::{Changes, FeedError, RowRevision};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Maximum wait of a request while the service is unavailable: the next request should follow as soon as
/// the service is available again.
const OUTAGE_POLL_WAIT: Duration = Duration::from_millis(300);
/// Delay after changes before the next request if others rely on this process: they must learn in time
/// that nothing else has changed.
const SHARED_DEBOUNCE: Duration = Duration::from_millis(200);
/// Delay after the first failed request; it doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay after a failed request, after which the end of an outage is noticed at the latest.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time after an outage of the table service within which the platform guarantees that expired entries
/// are written again. Runners whose entries expired during the outage are not at fault.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_800);
/// Maximum time that a starting process waits for a table from another process: at a first start, when
/// no process serves yet, and otherwise, when clients are waiting.
const FIRST_START_TIMEOUT: Duration = Duration::from_millis(600);
const RESTART_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after the start within which other processes may appear that rely on this one.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// Time after which rows that were withheld from updates are read from the table, unless a transfer of
/// their content is in progress.
const WITHHELD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time over which processes spread their first reads of a service that was restored from a backup.
const RESTORED_READ_SPREAD: Duration = Duration::from_millis(300);

/// Origin of changes that were read from the table itself, for logs.
const TABLE_ORIGIN: &str = "table";

/// One process's view of a table.
pub(crate) struct Follower<S> {
    _following: Following,
    source: S,
    table: &'static str,
    intervals: PollIntervals,
    reader: Reader,
    published: Arc<Table>,
    /// Whether no request has been sent yet.
    is_first_request: bool,
    /// Time by which the contents are older than the start of the process, since its clock cannot
    /// represent earlier moments.
    extra_age: Duration,
    /// Whether the next request is answered without waiting for changes.
    pub(crate) skip_wait: bool,
    /// Whether the last changes are the whole table.
    pub(crate) is_whole: bool,
    /// Whether the last changes are the first since the table service was restored from an older backup.
    pub(crate) is_restored: bool,
    /// Era of the last changes that were read.
    era: Option<Era>,
    /// Number of pauses of the process before the last successful request.
    pauses: u64,
    /// When changes were last read; `None` after the next request.
    last_changes: Option<Instant>,
    outage_since: Option<Instant>,
    /// End of the time in which entries that are missing may only have expired during an outage.
    grace_until: Option<Instant>,
    retry_delay: Duration,
    /// The process that sent the last changes; `None` if they were read from the table.
    upstream: Option<MemberId>,
    /// Revision of the newest row that was withheld, and when it was withheld.
    withheld: Option<(RowRevision, Instant)>,
}

impl<S: TableSource> Follower<S> {
    pub(crate) fn new<D: Downstream>(
        relay: &Relay<D>,
        source: S,
        table: &'static str,
        intervals: PollIntervals,
    ) -> Self {
        Self {
            _following: relay.pause.add_follower(),
            pauses: relay.pause.count(),
            reader: Reader::new(intervals.max_age),
            published: relay.peers.tables.get(table),
            is_first_request: true,
            extra_age: Duration::ZERO,
            skip_wait: false,
            source,
            table,
            intervals,
            is_whole: false,
            is_restored: false,
            era: None,
            last_changes: None,
            outage_since: None,
            grace_until: None,
            retry_delay: INITIAL_RETRY_DELAY,
            upstream: None,
            withheld: None,
        }
    }

    /// Leaves large rows out of updates for other processes, which get their content by another
    /// transfer.
    pub(crate) fn withholding(self) -> Self {
        self.published.withhold_large_rows();
        self
    }

    /// The source of the last changes: the id of a process, or the table.
    pub(crate) fn origin(&self) -> &str {
        self.upstream.as_deref().unwrap_or(TABLE_ORIGIN)
    }

    /// Latest moment at which the table is known to have contained nothing newer, as time since the
    /// start of the process.
    pub(crate) fn current(&self) -> Duration {
        self.reader.current()
    }

    /// End of the time in which entries that are missing may only have expired during an outage, if it
    /// is in the future.
    pub(crate) fn grace_until(&self) -> Option<Instant> {
        self.grace_until.filter(|until| Instant::now() < *until)
    }

    /// Waits for the next changes, or for the whole table at first and after a gap.
    pub(crate) async fn next<D: Downstream>(&mut self, relay: &Arc<Relay<D>>) -> Changes {
        loop {
            let pauses = relay.pause.count();
            // A request from before a pause may have been lost with its connection, and would wait for
            // seconds if nothing has changed. The next request is answered at once.
            let withheld = self.withheld;
            let response = tokio::select! {
                response = self.request_changes(relay, pauses) => response,
                () = relay.pause.wait_for_pause_after(pauses) => continue,
                () = wait_withheld_timeout(relay, withheld) => {
                    self.read_withheld(relay);
                    continue;
                }
            };
            match response {
                Ok(changes) => {
                    relay.telemetry.table_answer(self.upstream.is_some());
                    relay.pause.record_answer_after_pause(self.pauses, pauses);
                    self.pauses = pauses;
                    self.note_recovery(relay);
                    return changes;
                }
                Err(FeedError::Gap) => {
                    info!(relay.log, "change history truncated, reading the whole table";
                        "table" => self.table, "after" => self.reader.after());
                    self.reader.forget();
                }
                Err(FeedError::Restored) => {
                    self.reader.forget();
                    // All processes detect the restored service at the same time, and each reads all
                    // tables.
                    let fraction = relay.random(|rng| rng.random_range(0.0..1.0));
                    sleep(RESTORED_READ_SPREAD.mul_f64(fraction)).await;
                }
                Err(FeedError::Failed { error }) => {
                    if self.outage_since.is_none() {
                        warn!(relay.log, "table service unavailable"; "table" => self.table, "error" => %error);
                        self.outage_since = Some(Instant::now());
                    }
                    self.reader.failed(relay.now());
                    sleep(self.retry_delay).await;
                    self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    async fn request_changes<D: Downstream>(
        &mut self,
        relay: &Arc<Relay<D>>,
        pauses: u64,
    ) -> Result<Changes, FeedError> {
        let was_paused = pauses > self.pauses;
        if !was_paused && let Some(changes) = self.request_from_peer(relay).await {
            return Ok(changes);
        }
        self.read_table(relay, was_paused).await
    }

    /// Requests the changes from another process; returns `None` if there is none that sends an update
    /// in time.
    async fn request_from_peer<D: Downstream>(&mut self, relay: &Arc<Relay<D>>) -> Option<Changes> {
        let Some(after) = self.reader.after() else {
            return self.request_whole_table(relay).await;
        };
        let (upstream, depth, levels) = relay.peers.members(|members| {
            let upstream = members.upstream()?;
            Some((upstream, members.tree.depth(), members.tree.levels()))
        })?;
        let trust_reduction = StalenessBudget::new(relay.options.drain).trust_reduction(levels);
        let until = self
            .reader
            .trusts_peers_until()?
            .saturating_sub(trust_reduction)
            + HOP_DELAY * depth;
        let until = relay.started() + until.saturating_sub(self.extra_age);
        let requested_at = Instant::now();
        if until <= requested_at {
            return None;
        }
        let current = self.current();
        let update = relay
            .peers
            .request_update(relay, &upstream, self.table, Some(after));
        let update = timeout_at(until, update).await.ok().flatten();
        let changes = update
            .and_then(|update| self.apply_update(relay, update, after, relay.at(requested_at)));
        // An update that is not newer than what is known says nothing about the table.
        let is_stale = |changes: &Changes| changes.rows.is_empty() && self.current() <= current;
        if changes.as_ref().is_none_or(is_stale) {
            info!(relay.log, "no update from peer"; "peer" => &*upstream.id, "table" => self.table,
                "age_ms" => millis(relay.now().saturating_sub(self.current())));
            relay
                .peers
                .members(|members| members.tree.mark_stale(&upstream.id));
        } else {
            relay
                .peers
                .members(|members| members.tree.mark_updated(&upstream.id));
        }
        if changes.is_some() {
            self.upstream = Some(upstream.id);
        }
        changes
    }

    /// Requests the whole table from another process, at the start. The list of processes itself must be
    /// read from the table: without it, no other process is known.
    async fn request_whole_table<D: Downstream>(
        &mut self,
        relay: &Arc<Relay<D>>,
    ) -> Option<Changes> {
        if !std::mem::take(&mut self.is_first_request) || self.table == member::TABLE {
            return None;
        }
        let random = relay.random(|rng| rng.random::<u32>());
        let upstream = relay.peers.members(|members| members.upstream())?;
        let changes = self.fetch_whole(relay, upstream).await;
        if changes.is_some() || !relay.options.first_start {
            return changes;
        }
        let peer = relay
            .peers
            .members(|members| members.bootstrap_peer(random))?;
        self.fetch_whole(relay, peer).await
    }

    async fn fetch_whole<D: Downstream>(
        &mut self,
        relay: &Arc<Relay<D>>,
        peer: Member,
    ) -> Option<Changes> {
        let requested_at = Instant::now();
        let update = relay.peers.request_update(relay, &peer, self.table, None);
        let max_wait = if relay.options.first_start {
            FIRST_START_TIMEOUT
        } else {
            RESTART_TIMEOUT
        };
        let update = timeout(max_wait, update).await.ok().flatten();
        // A process that is cut off may send an old state of the table, and no newer one is known here.
        let whole =
            update.filter(|update| update.is_whole() && update.age() < self.intervals.max_age);
        let Some(update) = whole else {
            info!(relay.log, "cannot get table from peer"; "peer" => &*peer.id, "table" => self.table);
            return None;
        };
        relay
            .peers
            .members(|members| members.tree.mark_updated(&peer.id));
        // Moments before the start cannot be represented. At a first start, nothing has changed before
        // it.
        self.extra_age = match relay.options.first_start {
            true => Duration::ZERO,
            false => update.age().saturating_sub(relay.at(requested_at)),
        };
        self.reader
            .read(update.revision, update.current(relay.at(requested_at)));
        self.note_era(relay, update.revision);
        self.note_withheld(update.withheld);
        let grace_until = update.lapse.map(|left| Instant::now() + left.min(MAX_TIME));
        let changes = update.changes();
        self.publish(relay, None, &changes, grace_until);
        self.upstream = Some(peer.id);
        Some(changes)
    }

    /// Applies the update of another process to a request that was sent at `requested_at`; returns
    /// `None` if changes are missing.
    fn apply_update<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        update: TableUpdate,
        after: RowRevision,
        requested_at: Duration,
    ) -> Option<Changes> {
        let grace_until = update.lapse.map(|left| Instant::now() + left.min(MAX_TIME));
        let (is_whole, withheld) = (update.is_whole(), update.withheld);
        if era::of(update.revision) > era::of(after) {
            // Only the table itself can tell what a backup lacks.
            return None;
        }
        let peer_update = PeerUpdate {
            before: update.before.unwrap_or_default(),
            revision: update.revision,
            current: update.current(requested_at),
        };
        let action = self.reader.on_peer_update(peer_update);
        if self.current() > Duration::ZERO {
            self.extra_age = Duration::ZERO;
        }
        let changes = match action {
            UpdateAction::Gap => return None,
            UpdateAction::Ignore => Changes {
                revision: after,
                ..Changes::default()
            },
            UpdateAction::Apply => {
                self.note_withheld(withheld);
                update.changes()
            }
        };
        let before = (!is_whole || action == UpdateAction::Ignore).then_some(after);
        self.publish(relay, before, &changes, self.grace_until.max(grace_until));
        Some(changes)
    }

    fn note_withheld(&mut self, withheld: Option<RowRevision>) {
        if let Some(revision) = withheld {
            self.withheld = Some((revision, Instant::now()));
        }
    }

    /// Makes the next request read the whole table, unless the content of the withheld row has arrived.
    fn read_withheld<D: Downstream>(&mut self, relay: &Relay<D>) {
        let Some((revision, since)) = self.withheld.take() else {
            return;
        };
        if relay
            .configuration()
            .is_some_and(|configuration| configuration.revision >= revision)
        {
            return;
        }
        warn!(relay.log, "no configuration from peer, reading the whole table";
            "table" => self.table, "waited_ms" => millis(since.elapsed()));
        self.reader.forget();
        self.is_first_request = false;
    }

    /// Records the changes and publishes them to processes that request them.
    fn publish<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        before: Option<RowRevision>,
        changes: &Changes,
        grace_until: Option<Instant>,
    ) {
        (self.is_whole, self.is_restored) = (before.is_none(), false);
        self.grace_until = grace_until;
        self.published.publish(&TableRead {
            before,
            changes,
            current: relay.started() + self.current(),
            grace_until: self.grace_until(),
        });
    }

    /// Reads the table itself, and publishes the result to processes that request it.
    async fn read_table<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        was_paused: bool,
    ) -> Result<Changes, FeedError> {
        let before = self.reader.after();
        self.is_whole = before.is_none();
        let (changes, current) = match before {
            Some(after) => self.read_changes(relay, after, was_paused).await?,
            None => {
                let requested_at = Instant::now();
                let listed = self.source.list(self.table).await;
                (
                    listed.map_err(|error| FeedError::Failed { error })?,
                    requested_at,
                )
            }
        };
        self.reader.read(changes.revision, relay.at(current));
        self.extra_age = Duration::ZERO;
        self.note_era(relay, changes.revision);
        self.last_changes = (!changes.rows.is_empty()).then(Instant::now);
        self.upstream = None;
        if self.outage_since.is_some() || self.is_restored {
            self.grace_until = Some(Instant::now() + EXPIRY_GRACE);
        }
        self.published.publish(&TableRead {
            before,
            changes: &changes,
            current,
            grace_until: self.grace_until(),
        });
        Ok(changes)
    }

    fn note_era<D: Downstream>(&mut self, relay: &Relay<D>, revision: RowRevision) {
        let era = era::of(revision);
        let before = self.era.replace(era);
        self.is_restored = self.is_whole && before.is_some_and(|before| before < era);
        if self.is_restored {
            warn!(relay.log, "table service restored from an older backup"; "table" => self.table,
                "era" => era, "before" => before);
            relay.telemetry.era(era);
        }
    }

    /// Reads the changes after a revision; returns them with the latest moment at which the table is
    /// known to have contained nothing newer.
    async fn read_changes<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        after: RowRevision,
        was_paused: bool,
    ) -> Result<(Changes, Instant), FeedError> {
        let is_shared = is_shared(relay);
        let debounce = if is_shared {
            SHARED_DEBOUNCE
        } else {
            self.intervals.debounce
        };
        let skip_wait = std::mem::take(&mut self.skip_wait) || was_paused;
        let last_changes = self.last_changes.take().filter(|_| !skip_wait);
        if let Some(received) = last_changes {
            sleep_until(received + debounce).await;
        }
        let standalone = match last_changes {
            Some(_) => self.intervals.after_changes,
            None => self.intervals.standalone,
        };
        let wait = self.poll_wait(relay, (!is_shared).then_some(standalone), skip_wait);
        let requested_at = Instant::now();
        let changes = self.source.changes(self.table, after, wait).await?;
        // A response without changes after the full wait shows that there were none until the end of the
        // wait.
        let was_idle = changes.rows.is_empty() && requested_at.elapsed() >= wait;
        Ok((
            changes,
            if was_idle {
                requested_at + wait
            } else {
                requested_at
            },
        ))
    }

    /// How long the next request waits for changes; `standalone` if each process reads the table for
    /// itself.
    fn poll_wait<D: Downstream>(
        &self,
        relay: &Relay<D>,
        standalone: Option<Duration>,
        skip_wait: bool,
    ) -> Duration {
        if skip_wait {
            return Duration::ZERO;
        }
        if self.outage_since.is_some() {
            return OUTAGE_POLL_WAIT;
        }
        if let Some(standalone) = standalone {
            let is_new = relay.now() < STARTUP_PERIOD;
            return if is_new {
                self.intervals.shared
            } else {
                standalone
            };
        }
        if relay.peers.members(|members| members.upstream()).is_some() {
            // The upstream process had no update; another one may have one.
            return Duration::ZERO;
        }
        (self.current() + self.intervals.shared).saturating_sub(relay.now())
    }

    fn note_recovery<D: Downstream>(&mut self, relay: &Relay<D>) {
        self.retry_delay = INITIAL_RETRY_DELAY;
        let Some(since) = self.outage_since.take() else {
            return;
        };
        info!(relay.log, "table service available again"; "table" => self.table,
            "away_ms" => millis(since.elapsed()), "from" => self.origin());
    }
}

/// Waits until the content of withheld rows should have arrived.
async fn wait_withheld_timeout<D: Downstream>(
    relay: &Relay<D>,
    withheld: Option<(RowRevision, Instant)>,
) {
    let Some((_, since)) = withheld else {
        return std::future::pending().await;
    };
    loop {
        let progress = relay.peers.transfer.progress();
        let progress = progress.map_or(since, |at| since.max(relay.started() + at));
        let until = progress + WITHHELD_TIMEOUT;
        if until <= Instant::now() {
            return;
        }
        sleep_until(until).await;
    }
}

/// Whether a few processes read the tables for all.
fn is_shared<D: Downstream>(relay: &Relay<D>) -> bool {
    relay.peers.members(|members| members.shares_tables())
}
