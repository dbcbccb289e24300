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
const PERIODS: u32 = 5;
/// Parts of the duration that the holder stops acting before its end, of [`PARTS`].
const MARGIN_PARTS: u32 = 3;
const PARTS: u32 = 10;
/// Looks at the clock in each period.
const LOOKS: u32 = 10;
/// How long a planned stop waits until the lease is given back. Without the row the next holder
/// has to wait for the whole duration, and no engine gets orders meanwhile.
const RESIGN_PATIENCE: Duration = Duration::from_secs(2);

/// This entry's view of the lease.
#[derive(Debug)]
pub struct Lease {
    started: Instant,
    pause: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    machine: Machine,
    /// Whether the table has ever been asked.
    contends: bool,
    /// What was last logged.
    told: Option<FencingToken>,
}

impl Lease {
    /// A lease of which nothing is known yet.
    #[must_use]
    pub fn new(duration: Duration) -> Self {
        let timing = Timing {
            duration,
            margin: duration * MARGIN_PARTS / PARTS,
            period: duration / PERIODS,
        };
        Self {
            started: Instant::now(),
            pause: timing.period / LOOKS,
            state: Mutex::new(State {
                machine: Machine::new(rand::random(), timing),
                contends: false,
                told: None,
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
    pub async fn resigned(&self) {
        let wait = async {
            while self.lock().is_open() {
                sleep(self.pause).await;
            }
        };
        // The next holder takes over all the same, once the lease has lapsed.
        let _ = timeout(RESIGN_PATIENCE, wait).await;
    }

    /// Asks the table what the state machine wants asked, if anything is due.
    pub async fn step(&self, table: &impl Table) {
        let now = self.now();
        let action = self.lock().tick(now);
        if let Some(action) = action {
            let event = carry_out(table, action).await;
            let now = self.now();
            self.lock().machine.on(event, now);
        }
    }

    /// Whether the lease has been won or lost since this was last called, and what it is now.
    fn changed(&self) -> Option<Option<FencingToken>> {
        let held = self.may_act();
        let told = std::mem::replace(&mut self.lock().told, held);
        (told != held).then_some(held)
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
        self.contends = true;
        self.machine.tick(now)
    }

    /// Whether the row may still name this entry.
    fn is_open(&self) -> bool {
        self.contends && !self.machine.is_resigned()
    }
}

/// Contends for the lease and renews it, as long as a service has models to place.
pub async fn keep<P: Platform>(core: Arc<Core<P>>) {
    loop {
        if !super::services(&core.config.current()).is_empty() {
            core.lease.step(&core.platform).await;
        }
        tell(&core);
        sleep(core.lease.pause).await;
    }
}

fn tell<P: Platform>(core: &Core<P>) {
    let Some(held) = core.lease.changed() else {
        return;
    };
    core.telemetry.placement.held(held.is_some());
    match held {
        Some(fence) => info!(core.log, "placement lease won"; "fence" => fence),
        None => info!(core.log, "placement lease lost"),
    }
}

async fn carry_out(table: &impl Table, action: Action) -> Event {
    match action {
        Action::Read => match table.read(TABLE, KEY).await {
            Ok(row) => found(row),
            Err(_) => Event::Unavailable,
        },
        Action::Write { check, row } => match table.transact(&transaction(check, row)).await {
            Ok(revision) => Event::Written(revision),
            // The service leaves out rows that are gone.
            Err(Error::Conflict { rows }) => found(rows.into_iter().next()),
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

/// A row that cannot be read is as good as no answer: whoever wrote it may hold the lease.
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
