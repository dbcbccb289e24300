//! The lease on the right to send orders to engines.

use crate::config::rows;
use crate::core::{Core, Platform};
use protocol::FencingToken;
use protocol::lease::{Action, Event, Lease as Machine, StoredRow, Timing};
use slog::info;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::{Check, Error, Put, Row, Table, Transaction};
use tokio::time::{Instant, sleep, timeout};

/// Table that stores leases.
pub const TABLE: &str = "lease";
/// Key of the placement lease.
pub const KEY: &str = "placement";
/// Number of periods in the lease's duration; in each, the holder renews the lease and a contender
/// checks it.
const PERIODS_PER_DURATION: u32 = 5;
/// Numerator of the share of the duration, over [`MARGIN_DENOMINATOR`], by which the holder stops
/// acting before the lease expires.
const MARGIN_NUMERATOR: u32 = 3;
const MARGIN_DENOMINATOR: u32 = 10;
/// Number of checks of the clock in each period.
const CHECKS_PER_PERIOD: u32 = 10;
/// Maximum time that a planned stop waits for the lease to be released. If it is not, the next
/// holder has to wait for the whole duration, during which no engine receives orders.
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
    /// Whether this entry has ever tried to read or write the lease.
    has_contended: bool,
    /// State that was last logged.
    last_logged: Option<FencingToken>,
}

impl Lease {
    /// Creates a lease in an unknown state.
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

    /// Returns the fencing token to send orders under, or `None` while this entry must not send
    /// any.
    pub fn may_act(&self) -> Option<FencingToken> {
        let now = self.now();
        self.lock().machine.may_act(now)
    }

    /// Stops sending orders and releases the lease with the next write.
    pub fn resign(&self) {
        self.lock().machine.resign();
    }

    /// Waits until the resigned lease is known to be released, for a limited time.
    pub async fn wait_until_resigned(&self) {
        let wait = async {
            while self.lock().may_be_listed() {
                sleep(self.check_interval).await;
            }
        };
        // If the time runs out, the next holder takes over once the lease has expired.
        let _ = timeout(RESIGN_TIMEOUT, wait).await;
    }

    /// Performs the next action of the state machine on the table, if one is due.
    pub async fn step(&self, table: &impl Table) {
        let now = self.now();
        let action = self.lock().tick(now);
        if let Some(action) = action {
            let event = execute(table, action).await;
            let now = self.now();
            self.lock().machine.on(event, now);
        }
    }

    /// Returns the current state if the lease has been won or lost since the last call.
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

    /// Whether the row may still name this entry as the holder.
    fn may_be_listed(&self) -> bool {
        self.has_contended && !self.machine.is_resigned()
    }
}

/// Contends for the lease and renews it, as long as a service declares models.
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
    core.telemetry.placement.set_held(held.is_some());
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
            // The table service omits deleted rows from the conflict.
            Err(Error::Conflict { rows }) => found_event(rows.into_iter().next()),
            Err(Error::Unavailable { .. }) => Event::Unavailable,
            Err(Error::Unsure { .. } | Error::Malformed { .. }) => Event::Unsure,
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

/// An unreadable row is treated as no answer, since whoever wrote it may hold the lease.
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
