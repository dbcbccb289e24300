//! Asks for the changes of one table, over outages and gaps in its history.

use super::TableSource;
use super::budget::{STEP, StalenessBudget};
use crate::core::Relay;
use crate::downstream::Downstream;
use crate::member::{self, Member, MemberId};
use crate::peer::TableUpdate;
use crate::peer::tables::{Read, Table};
use crate::telemetry::millis;
use protocol::reader::{PeerUpdate, Reader, UpdateAction};
use rand::Rng;
use slog::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use store::era::{self, Era};
use store::{Changes, FeedError, RowRevision};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Longest wait of a question while the service is away: the next one is to be asked as soon as it is
/// back.
const WAIT_LOST: Duration = Duration::from_millis(300);
/// Pause after changes before the next question where others rely on this process: they must hear in
/// time that nothing else has changed.
const GATHER_SHARED: Duration = Duration::from_millis(200);
/// First pause after a failed question; doubles up to [`PAUSE_MOST`].
const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a failed question: an outage ends unnoticed for so long at most.
const PAUSE_MOST: Duration = Duration::from_millis(400);
/// Time after the table service's return in which entries that lapsed meanwhile come back, by the
/// platform's promise. Runners whose entries lapsed while the service was away are fine.
const LAPSE: Duration = Duration::from_millis(1_800);
/// Longest wait of a start for a table that another process is asked for: where all start for the first
/// time, and none serves yet, and where callers wait.
const HELP_FIRST: Duration = Duration::from_millis(600);
const HELP: Duration = Duration::from_millis(100);
/// Time after the start in which others may turn out to be there that rely on this process.
const START: Duration = Duration::from_secs(5);
/// Time after which rows that were left out of what was told are read from the table, unless what they hold is
/// arriving in another way.
const WITHHELD_WAIT: Duration = Duration::from_secs(1);

/// Time over which processes spread their first readings of a service that came back from a copy.
const SPREAD: Duration = Duration::from_millis(300);

/// Where news came from that the table itself told.
const TABLE: &str = "table";

/// How often a table is asked for changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Pause after changes before the next question where each process reads the table for itself.
    /// Rows come and go in groups, and each question costs a call.
    pub(crate) gather: Duration,
    /// Longest wait of a question there.
    pub(crate) alone: Duration,
    /// Time within which a process that reads it for others hears whether something has changed.
    pub(crate) shared: Duration,
    /// Greatest age of knowledge that others have told.
    pub(crate) most: Duration,
}

/// One process's view of a table.
pub(crate) struct Follower<S> {
    source: S,
    table: &'static str,
    pace: Pace,
    reader: Reader,
    known: Arc<Table>,
    /// Whether nothing has been asked yet.
    fresh: bool,
    /// How much older the knowledge is than the start of the process, which its clock can't tell.
    older: Duration,
    /// Whether the next question is to be answered at once.
    pub(crate) hurried: bool,
    /// Whether the last changes are the whole table.
    pub(crate) whole: bool,
    /// Whether they are the first of a table service that has come back from an older copy.
    pub(crate) restored: bool,
    /// Era of the last changes that were read.
    era: Option<Era>,
    /// Pauses of the process before the last question that was answered.
    pauses: u64,
    /// When changes were read last, until the next question.
    told: Option<Instant>,
    lost: Option<Instant>,
    /// Until when entries that are gone may only have lapsed.
    lapse: Option<Instant>,
    pause: Duration,
    /// The process that told the last changes; none if the table did.
    teller: Option<MemberId>,
    /// Newest row that was left out of what was told, and since when it is awaited.
    withheld: Option<(RowRevision, Instant)>,
}

impl<S: TableSource> Follower<S> {
    pub(crate) fn new<D: Downstream>(
        relay: &Relay<D>,
        source: S,
        table: &'static str,
        pace: Pace,
    ) -> Self {
        relay.pause.add_follower();
        Self {
            pauses: relay.pause.count(),
            reader: Reader::new(pace.most),
            known: relay.peers.tables.get(table),
            fresh: true,
            older: Duration::ZERO,
            hurried: false,
            source,
            table,
            pace,
            whole: false,
            restored: false,
            era: None,
            told: None,
            lost: None,
            lapse: None,
            pause: PAUSE,
            teller: None,
            withheld: None,
        }
    }

    /// Large rows of the table reach processes in another way, and are left out of what they tell.
    pub(crate) fn withholding(self) -> Self {
        self.known.withhold_large_rows();
        self
    }

    /// Who told the last changes.
    pub(crate) fn origin(&self) -> &str {
        self.teller.as_deref().unwrap_or(TABLE)
    }

    /// Latest moment at which nothing newer was in the table, from the start of the process.
    pub(crate) fn current(&self) -> Duration {
        self.reader.current()
    }

    /// Until when entries that are gone may only have lapsed, if that is still to come.
    pub(crate) fn lapse(&self) -> Option<Instant> {
        self.lapse.filter(|until| Instant::now() < *until)
    }

    /// The next changes, or the whole table at first and after a gap.
    pub(crate) async fn next<D: Downstream>(&mut self, relay: &Arc<Relay<D>>) -> Changes {
        loop {
            let pauses = relay.pause.count();
            // A question from before a pause may have been lost with its connection, and waits for
            // seconds if nothing has changed; the next one is answered at once.
            let withheld = self.withheld;
            let answer = tokio::select! {
                answer = self.ask(relay, pauses) => answer,
                () = relay.pause.wait_for_pause_after(pauses) => continue,
                () = overdue(relay, withheld) => {
                    self.read_withheld(relay);
                    continue;
                }
            };
            match answer {
                Ok(changes) => {
                    relay.telemetry.table_answer(self.teller.is_some());
                    relay.pause.record_answer_after_pause(self.pauses, pauses);
                    self.pauses = pauses;
                    self.regain(relay);
                    return changes;
                }
                Err(FeedError::Gap) => {
                    info!(relay.log, "history gone, reading the table as a whole";
                        "table" => self.table, "after" => self.reader.after());
                    self.reader.forget();
                }
                Err(FeedError::Restored) => {
                    self.reader.forget();
                    // All processes hear of it in the same moment, and each reads all tables.
                    let spread = relay.random(|rng| rng.random_range(0.0..1.0));
                    sleep(SPREAD.mul_f64(spread)).await;
                }
                Err(FeedError::Failed { error }) => {
                    if self.lost.is_none() {
                        warn!(relay.log, "table service lost"; "table" => self.table, "error" => %error);
                        self.lost = Some(Instant::now());
                    }
                    self.reader.failed(relay.now());
                    sleep(self.pause).await;
                    self.pause = (self.pause * 2).min(PAUSE_MOST);
                }
            }
        }
    }

    async fn ask<D: Downstream>(
        &mut self,
        relay: &Arc<Relay<D>>,
        pauses: u64,
    ) -> Result<Changes, FeedError> {
        let paused = pauses > self.pauses;
        if !paused && let Some(changes) = self.ask_peer(relay).await {
            return Ok(changes);
        }
        self.read(relay, paused).await
    }

    /// What another process tells, if there is one that can and it tells in time.
    async fn ask_peer<D: Downstream>(&mut self, relay: &Arc<Relay<D>>) -> Option<Changes> {
        let Some(after) = self.reader.after() else {
            return self.ask_whole_table(relay).await;
        };
        let (teller, depth, levels) = relay.peers.members(|members| {
            let teller = members.upstream()?;
            Some((teller, members.tree.depth(), members.tree.levels()))
        })?;
        let trust_reduction = StalenessBudget::new(relay.options.drain).trust_reduction(levels);
        let until = self
            .reader
            .trusts_peers_until()?
            .saturating_sub(trust_reduction)
            + STEP * depth;
        let until = relay.started() + until.saturating_sub(self.older);
        let asked = Instant::now();
        if until <= asked {
            return None;
        }
        let current = self.current();
        let news = relay.peers.news(relay, &teller, self.table, Some(after));
        let news = timeout_at(until, news).await.ok().flatten();
        let changes = news.and_then(|news| self.take(relay, news, after, relay.at(asked)));
        // One that is behind says nothing of the table.
        let is_behind = |changes: &Changes| changes.rows.is_empty() && self.current() <= current;
        if changes.as_ref().is_none_or(is_behind) {
            info!(relay.log, "no news from a peer"; "peer" => &*teller.id, "table" => self.table,
                "age_ms" => millis(relay.now().saturating_sub(self.current())));
            relay
                .peers
                .members(|members| members.tree.note_stale(&teller.id));
        } else {
            relay
                .peers
                .members(|members| members.tree.note_answered(&teller.id));
        }
        if changes.is_some() {
            self.teller = Some(teller.id);
        }
        changes
    }

    /// The whole table from another process, at the start. The list of the processes itself is read: who
    /// else would tell whom to ask?
    async fn ask_whole_table<D: Downstream>(&mut self, relay: &Arc<Relay<D>>) -> Option<Changes> {
        if !std::mem::take(&mut self.fresh) || self.table == member::TABLE {
            return None;
        }
        let draw = relay.random(|rng| rng.random::<u32>());
        let teller = relay.peers.members(|members| members.upstream())?;
        let changes = self.fetch_whole(relay, teller).await;
        if changes.is_some() || !relay.options.first_start {
            return changes;
        }
        let helper = relay.peers.members(|members| members.helper(draw))?;
        self.fetch_whole(relay, helper).await
    }

    async fn fetch_whole<D: Downstream>(
        &mut self,
        relay: &Arc<Relay<D>>,
        helper: Member,
    ) -> Option<Changes> {
        let asked = Instant::now();
        let news = relay.peers.news(relay, &helper, self.table, None);
        let patience = if relay.options.first_start {
            HELP_FIRST
        } else {
            HELP
        };
        let news = timeout(patience, news).await.ok().flatten();
        // One that is cut off may know the table as it was long ago, and nothing here is newer.
        let whole = news.filter(|news| news.is_whole() && news.age() < self.pace.most);
        let Some(news) = whole else {
            info!(relay.log, "no table from a peer"; "peer" => &*helper.id, "table" => self.table);
            return None;
        };
        relay
            .peers
            .members(|members| members.tree.note_answered(&helper.id));
        // Moments before the start are not told apart. At a first start nothing has changed before.
        self.older = match relay.options.first_start {
            true => Duration::ZERO,
            false => news.age().saturating_sub(relay.at(asked)),
        };
        self.reader
            .read(news.revision, news.current(relay.at(asked)));
        self.note_era(relay, news.revision);
        self.note_withheld(news.withheld);
        let lapse = news.lapse.map(|left| Instant::now() + left);
        let changes = news.changes();
        self.keep(relay, None, &changes, lapse);
        self.teller = Some(helper.id);
        Some(changes)
    }

    /// Takes in what another process told that was asked at a moment; none if changes are missing.
    fn take<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        news: TableUpdate,
        after: RowRevision,
        asked: Duration,
    ) -> Option<Changes> {
        let lapse = news.lapse.map(|left| Instant::now() + left);
        let (is_whole, withheld) = (news.is_whole(), news.withheld);
        if era::of(news.revision) > era::of(after) {
            // What a copy lacks is for the table itself to tell.
            return None;
        }
        let told = PeerUpdate {
            before: news.before.unwrap_or_default(),
            revision: news.revision,
            current: news.current(asked),
        };
        let taken = self.reader.on_peer_update(told);
        if self.current() > Duration::ZERO {
            self.older = Duration::ZERO;
        }
        let changes = match taken {
            UpdateAction::Gap => return None,
            UpdateAction::Ignore => Changes {
                revision: after,
                ..Changes::default()
            },
            UpdateAction::Apply => {
                self.note_withheld(withheld);
                news.changes()
            }
        };
        let before = (!is_whole || taken == UpdateAction::Ignore).then_some(after);
        self.keep(relay, before, &changes, self.lapse.max(lapse));
        Some(changes)
    }

    fn note_withheld(&mut self, withheld: Option<RowRevision>) {
        if let Some(revision) = withheld {
            self.withheld = Some((revision, Instant::now()));
        }
    }

    /// The next question reads the whole table, unless the row that was left out has come.
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
        warn!(relay.log, "no configuration from a peer, reading the table as a whole";
            "table" => self.table, "waited_ms" => millis(since.elapsed()));
        self.reader.forget();
        self.fresh = false;
    }

    /// Notes what has become known, for the process itself and for those that ask it.
    fn keep<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        before: Option<RowRevision>,
        changes: &Changes,
        lapse: Option<Instant>,
    ) {
        (self.whole, self.restored) = (before.is_none(), false);
        self.lapse = lapse;
        self.known.publish(&Read {
            before,
            changes,
            current: relay.started() + self.current(),
            lapse: self.lapse(),
        });
    }

    /// What the table itself says; kept for processes that ask this one.
    async fn read<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        paused: bool,
    ) -> Result<Changes, FeedError> {
        let before = self.reader.after();
        self.whole = before.is_none();
        let (changes, current) = match before {
            Some(after) => self.changes(relay, after, paused).await?,
            None => {
                let asked = Instant::now();
                let listed = self.source.list(self.table).await;
                (listed.map_err(|error| FeedError::Failed { error })?, asked)
            }
        };
        self.reader.read(changes.revision, relay.at(current));
        self.older = Duration::ZERO;
        self.note_era(relay, changes.revision);
        self.told = (!changes.rows.is_empty()).then(Instant::now);
        self.teller = None;
        if self.lost.is_some() || self.restored {
            self.lapse = Some(Instant::now() + LAPSE);
        }
        self.known.publish(&Read {
            before,
            changes: &changes,
            current,
            lapse: self.lapse(),
        });
        Ok(changes)
    }

    fn note_era<D: Downstream>(&mut self, relay: &Relay<D>, revision: RowRevision) {
        let era = era::of(revision);
        let before = self.era.replace(era);
        self.restored = self.whole && before.is_some_and(|before| before < era);
        if self.restored {
            warn!(relay.log, "table service back from an older copy"; "table" => self.table,
                "era" => era, "before" => before);
            relay.telemetry.era(era);
        }
    }

    /// Changes after a revision, with the latest moment at which nothing newer was there.
    async fn changes<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        after: RowRevision,
        paused: bool,
    ) -> Result<(Changes, Instant), FeedError> {
        let shared = shared(relay);
        let gather = if shared {
            GATHER_SHARED
        } else {
            self.pace.gather
        };
        let hurried = std::mem::take(&mut self.hurried) || paused;
        if let Some(told) = self.told.take().filter(|_| !hurried) {
            sleep_until(told + gather).await;
        }
        let wait = self.wait(relay, shared, hurried);
        let asked = Instant::now();
        let changes = self.source.changes(self.table, after, wait).await?;
        // One that says nothing new has waited for it all the time.
        let waited = changes.rows.is_empty() && asked.elapsed() >= wait;
        Ok((changes, if waited { asked + wait } else { asked }))
    }

    /// How long the next question waits for changes.
    fn wait<D: Downstream>(&self, relay: &Relay<D>, shared: bool, hurried: bool) -> Duration {
        if hurried {
            return Duration::ZERO;
        }
        if self.lost.is_some() {
            return WAIT_LOST;
        }
        if !shared {
            let is_new = relay.now() < START;
            return if is_new {
                self.pace.shared
            } else {
                self.pace.alone
            };
        }
        if relay.peers.members(|members| members.upstream()).is_some() {
            // It could not tell; another one may.
            return Duration::ZERO;
        }
        (self.current() + self.pace.shared).saturating_sub(relay.now())
    }

    fn regain<D: Downstream>(&mut self, relay: &Relay<D>) {
        self.pause = PAUSE;
        let Some(lost) = self.lost.take() else { return };
        info!(relay.log, "table service regained"; "table" => self.table,
            "away_ms" => millis(lost.elapsed()), "from" => self.origin());
    }
}

/// Waits until rows that were left out should have come in another way.
async fn overdue<D: Downstream>(relay: &Relay<D>, withheld: Option<(RowRevision, Instant)>) {
    let Some((_, since)) = withheld else {
        return std::future::pending().await;
    };
    loop {
        let progress = relay.peers.transfer.progress();
        let progress = progress.map_or(since, |at| since.max(relay.started() + at));
        let until = progress + WITHHELD_WAIT;
        if until <= Instant::now() {
            return;
        }
        sleep_until(until).await;
    }
}

/// Whether a few processes read the tables for all.
fn shared<D: Downstream>(relay: &Relay<D>) -> bool {
    relay.peers.members(|members| members.shares_tables())
}
