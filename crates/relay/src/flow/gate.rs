//! The gates of the cells whose calls this process forms.

use super::{Demand, Outcome, Verdicts};
use crate::batch::Cell;
use crate::configuration::ServiceId;
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use decide::Map;
use decide::flow::{self, Capacity, Gate, Ticket, Verdict, Window};
use decide::smooth::Ewma;
use slog::info;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Interval at which the capacity of a gate is computed anew from the runners that accept work.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which waiting requests are reviewed while no credit comes back. It is short, since the
/// first request starts as soon as it fits.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Rate in pieces per second of a service of which this process knows no runners, for example because its
/// list is not complete yet. It sets no limit, since the process that asks knows runners.
const UNKNOWN_RATE: f64 = 1e9;
/// Interval at which the state of a gate in use is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of one request in the average time of a route's chains.
const CHAIN_TIME_WEIGHT: f64 = 0.05;

/// The gates of this process, and what it has learnt of the time of chains.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    gates: Mutex<Map<Cell, Arc<Mutex<CellGate>>>>,
    /// Average time from a credit to the end of the stages, by route.
    chain_times: Mutex<Map<String, Ewma>>,
}

/// The gate of one cell.
#[derive(Debug, Default)]
struct CellGate {
    window: Window,
    /// Services of the stages that depend on another one, in the order of their rates.
    services: Vec<ServiceId>,
    chain_time: Duration,
    verdicts: Map<Ticket, mpsc::UnboundedSender<Verdict>>,
    next_ticket: Ticket,
    capacity_at: Option<Instant>,
    logged_at: Option<Instant>,
    is_polled: bool,
}

/// A credit of a gate in this process, or a request for one. It is returned when it is dropped.
#[derive(Debug)]
pub(crate) struct LocalCredit<D: Downstream> {
    relay: Arc<Relay<D>>,
    cell: Cell,
    gate: Arc<Mutex<CellGate>>,
    ticket: Ticket,
    pub(crate) outcome: Outcome,
}

impl<D: Downstream> LocalCredit<D> {
    /// Cell of the gate.
    pub(crate) fn cell(&self) -> &Cell {
        &self.cell
    }
}

impl<D: Downstream> Drop for LocalCredit<D> {
    fn drop(&mut self) {
        let now = self.relay.now();
        {
            let mut gate = lock(&self.gate);
            gate.verdicts.remove(&self.ticket);
            match self.outcome {
                Outcome::Done => gate.window.finish(now, self.ticket),
                Outcome::Ended => gate.window.withdraw(now, self.ticket),
            }
        }
        poll(&self.relay, &self.cell, &self.gate);
    }
}

impl Gates {
    /// Records the time from a credit to the end of a request's stages.
    pub(super) fn record_chain_time(&self, route: &str, elapsed: Duration) {
        let mut chain_times = lock(&self.chain_times);
        let average = chain_times
            .entry(route.to_owned())
            .or_insert_with(|| Ewma::new(CHAIN_TIME_WEIGHT));
        average.add(elapsed.as_secs_f64());
    }

    /// Expected time from a credit to the end of a request's stages; `default` before the first request
    /// of the route is done.
    pub(super) fn chain_time(&self, route: &str, default: Duration) -> Duration {
        let average = lock(&self.chain_times).get(route).and_then(Ewma::get);
        average.map_or(default, Duration::from_secs_f64)
    }
}

impl CellGate {
    /// Converts a demand, with times on the clock of this process.
    fn demand(&mut self, now: Duration, demand: &Demand) -> flow::Demand {
        self.chain_time = demand.chain_time;
        for (service, _) in &demand.pieces {
            if !self.services.contains(service) {
                self.services.push(service.clone());
                self.capacity_at = None;
            }
        }
        let pieces_at = |service: &ServiceId| {
            let at_service = demand.pieces.iter().filter(|(other, _)| other == service);
            at_service.map(|(_, pieces)| *pieces).sum()
        };
        flow::Demand {
            rank: demand.rank,
            pieces: self.services.iter().map(pieces_at).collect(),
            due: now + demand.due,
            expires_at: now + demand.expires,
        }
    }

    fn refresh_capacity<D: Downstream>(&mut self, relay: &Relay<D>, cell: &Cell) {
        let is_current = |at: Instant| at.elapsed() < CAPACITY_INTERVAL;
        if self.capacity_at.is_some_and(is_current) {
            return;
        }
        self.capacity_at = Some(Instant::now());
        let share = relay.share_of_runners(cell);
        let rate = |service: &ServiceId| match relay.full_rate(service) * share {
            rate if rate > 0.0 => rate,
            _ => UNKNOWN_RATE,
        };
        self.window.set_capacity(Capacity {
            rates: self.services.iter().map(rate).collect(),
            chain_time: self.chain_time,
        });
    }

    fn send(&self, verdicts: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in verdicts {
            if let Some(receiver) = self.verdicts.get(&ticket) {
                // The request may be gone by now; its credit is then returned by its guard.
                let _ = receiver.send(verdict);
            }
        }
    }

    fn log<D: Downstream>(&mut self, relay: &Relay<D>, cell: &Cell) {
        let is_recent = |at: Instant| at.elapsed() < LOG_INTERVAL;
        if self.window.waiting() == 0 || self.logged_at.is_some_and(is_recent) {
            return;
        }
        self.logged_at = Some(Instant::now());
        info!(relay.log, "gate in use"; "cell" => cell.name(), "waiting" => self.window.waiting(),
            "started" => self.window.started(),
            "efficiency_percent" => (self.window.efficiency() * 100.0).round() as u64);
    }
}

/// Schedules the next poll of a gate when it is dropped, also by a panic, if requests wait there.
struct NextPoll<D: Downstream> {
    relay: Arc<Relay<D>>,
    cell: Cell,
    gate: Arc<Mutex<CellGate>>,
}

impl<D: Downstream> Drop for NextPoll<D> {
    fn drop(&mut self) {
        let mut state = lock(&self.gate);
        if state.window.waiting() == 0 || state.is_polled {
            return;
        }
        // Without a runtime the process has ended.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        state.is_polled = true;
        let (relay, cell, gate) = (self.relay.clone(), self.cell.clone(), self.gate.clone());
        runtime.spawn(async move {
            sleep(POLL_INTERVAL).await;
            lock(&gate).is_polled = false;
            poll(&relay, &cell, &gate);
        });
    }
}

/// Reviews the waiting requests of a gate, and sends the verdicts.
fn poll<D: Downstream>(relay: &Arc<Relay<D>>, cell: &Cell, gate: &Arc<Mutex<CellGate>>) {
    let _next = NextPoll {
        relay: relay.clone(),
        cell: cell.clone(),
        gate: gate.clone(),
    };
    let mut state = lock(gate);
    state.refresh_capacity(relay, cell);
    let verdicts = state.window.poll(relay.now());
    state.send(verdicts);
    state.log(relay, cell);
    relay
        .telemetry
        .credits_waiting(&cell.name(), state.window.waiting());
}

impl<D: Downstream> Relay<D> {
    /// Asks the gate of a cell in this process for a credit.
    pub(crate) fn ask_gate(
        self: &Arc<Self>,
        cell: &Cell,
        demand: &Demand,
    ) -> (LocalCredit<D>, Verdicts) {
        let gate = lock(&self.gates.gates)
            .entry(cell.clone())
            .or_default()
            .clone();
        let (sender, verdicts) = mpsc::unbounded_channel();
        let mut state = lock(&gate);
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let now = self.now();
        let demand = state.demand(now, demand);
        state.refresh_capacity(self, cell);
        let verdict = state.window.offer(now, ticket, demand);
        // The receiver is still in this function.
        let _ = sender.send(verdict);
        state.verdicts.insert(ticket, sender);
        drop(state);
        poll(self, cell, &gate);
        let credit = LocalCredit {
            relay: self.clone(),
            cell: cell.clone(),
            gate,
            ticket,
            outcome: Outcome::Ended,
        };
        (credit, verdicts)
    }

    /// The part of its service's runners that a cell has.
    fn share_of_runners(&self, cell: &Cell) -> f64 {
        let cells = self.cells(&cell.service);
        let all: usize = cells.iter().map(|cell| cell.runners.len()).sum();
        let own = cells.get(cell.index).map_or(0, |cell| cell.runners.len());
        own as f64 / all.max(1) as f64
    }

    /// Pieces a second that the runners of a service make in full calls.
    fn full_rate(&self, service: &ServiceId) -> f64 {
        let runners: usize = self
            .cells(service)
            .iter()
            .map(|cell| cell.runners.len())
            .sum();
        let rate = self.batches(service).map(|batches| {
            let calls = f64::from(batches.slots) / batches.shape.full().as_secs_f64();
            f64::from(batches.shape.size) * calls
        });
        rate.unwrap_or(0.0) * runners as f64
    }
}
