//! The lease on the right to give orders to engines.

use crate::config::rows;
use crate::core::{Core, Platform};
use protocol::FencingToken;
use protocol::lease::{Action, Event, Lease as Machine, StoredRow, Timing};
use slog::info;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::{Check, Error, Put, Row, Table, Transaction};
use tokio::time::{Instant, sleep, timeout};

/// Table of leases.
pub const TABLE: &str = "lease";
/// Key of the lease under which orders are given.
pub const KEY: &str = "placement";
/// Parts of the lease's duration after which the holder renews it, and a contender looks at it.
const PERIODS_PER_DURATION: u32 = 5;
/// Parts of the duration that the holder stops acting before its end, of [`MARGIN_DENOMINATOR`].
const MARGIN_NUMERATOR: u32 = 3;
const MARGIN_DENOMINATOR: u32 = 10;
/// Looks at the clock in each period.
const CHECKS_PER_PERIOD: u32 = 10;
/// How long a planned stop waits until the lease is given back. Without the row the next holder
/// has to wait for the whole duration, and no engine gets orders meanwhile.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(2);

/// This entry's view of the lease.
#[derive(Debug)]
pub struct Lease {
    started: Instant,
    check_interval: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    machine: Machine,
    /// Whether the table has ever been asked.
    has_contended: bool,
    /// What was last logged.
    last_logged: Option<FencingToken>,
}

impl Lease {
    /// A lease of which nothing is known yet.
    #[must_use]
    pub fn new(duration: Duration) -> Self {
        let timing = Timing {
            duration,
            margin: duration * MARGIN_NUMERATOR / MARGIN_DENOMINATOR,
            period: duration / PERIODS_PER_DURATION,
        };
        Self {
            started: Instant::now(),
            check_interval: timing.period / CHECKS_PER_PERIOD,
            state: Mutex::new(State {
                machine: Machine::new(rand::random(), timing),
                has_contended: false,
                last_logged: None,
            }),
        }
    }

    /// The fencing number to give an order under, or `None` while this entry must not give any.
    pub fn may_act(&self) -> Option<FencingToken> {
        let now = self.now();
        self.lock().machine.may_act(now)
    }

    /// Gives no more orders, and the lease back with the next write.
    pub fn resign(&self) {
        self.lock().machine.resign();
    }

    /// Waits for a while until the lease that was resigned is known to be given back.
    pub async fn wait_until_resigned(&self) {
        let wait = async {
            while self.lock().may_be_listed() {
                sleep(self.check_interval).await;
            }
        };
        // The next holder takes over all the same, once the lease has lapsed.
        let _ = timeout(RESIGN_TIMEOUT, wait).await;
    }

    /// Asks the table what the state machine wants asked, if anything is due.
    pub async fn step(&self, table: &impl Table) {
        let now = self.now();
        let action = self.lock().tick(now);
        if let Some(action) = action {
            let event = execute(table, action).await;
            let now = self.now();
            self.lock().machine.on(event, now);
        }
    }

    /// Whether the lease has been won or lost since this was last called, and what it is now.
    fn take_change(&self) -> Option<Option<FencingToken>> {
        let held = self.may_act();
        let last_logged = std::mem::replace(&mut self.lock().last_logged, held);
        (last_logged != held).then_some(held)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn tick(&mut self, now: Duration) -> Option<Action> {
        self.has_contended = true;
        self.machine.tick(now)
    }

    /// Whether the row may still name this entry.
    fn may_be_listed(&self) -> bool {
        self.has_contended && !self.machine.is_resigned()
    }
}

/// Contends for the lease and renews it, as long as a service has models to place.
pub async fn maintain<P: Platform>(core: Arc<Core<P>>) {
    loop {
        if !super::services(&core.config.current()).is_empty() {
            core.lease.step(&core.platform).await;
        }
        log_change(&core);
        sleep(core.lease.check_interval).await;
    }
}

fn log_change<P: Platform>(core: &Core<P>) {
    let Some(held) = core.lease.take_change() else {
        return;
    };
    core.telemetry.placement.held(held.is_some());
    match held {
        Some(fence) => info!(core.log, "placement lease won"; "fence" => fence),
        None => info!(core.log, "placement lease lost"),
    }
}

async fn execute(table: &impl Table, action: Action) -> Event {
    match action {
        Action::Read => match table.read(TABLE, KEY).await {
            Ok(row) => found_event(row),
            Err(_) => Event::Unavailable,
        },
        Action::Write { check, row } => match table.transact(&transaction(check, row)).await {
            Ok(revision) => Event::Written(revision),
            // The service leaves out rows that are gone.
            Err(Error::Conflict { rows }) => found_event(rows.into_iter().next()),
            Err(Error::Unavailable { .. }) => Event::Unavailable,
            Err(Error::Unsure { .. } | Error::Garbled { .. }) => Event::Unsure,
        },
    }
}

fn transaction(check: Option<store::RowRevision>, row: protocol::lease::Row) -> Transaction {
    Transaction {
        checks: vec![Check {
            table: TABLE.to_owned(),
            key: KEY.to_owned(),
            revision: check,
        }],
        puts: vec![Put {
            table: TABLE.to_owned(),
            key: KEY.to_owned(),
            value: serde_json::to_value(row).ok(),
        }],
    }
}

/// A row that cannot be read is as good as no answer: whoever wrote it may hold the lease.
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
