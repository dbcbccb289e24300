//! Faults of a soak of a chain of stages.

use super::{ActiveFault, CHECK_INTERVAL, Faults, Kind};
use crate::Error;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use std::ops::Range;
use std::time::Duration;
use stub::config::CHAIN;
use tokio::time::{Instant, sleep};

/// Interval in which faults start, as shares of the time. No fault is active in the last third of a soak, so
/// that results of that time show whether they are released when there are no faults.
const STARTS: Range<f64> = 0.2..0.6;
/// Time for each fault of a kind, in seconds; at least one is played. Faults of relays hit different relays.
const CRASH_INTERVAL: u64 = 4;
const SLOW_INTERVAL: u64 = 5;
const RELAY_INTERVAL: u64 = 30;
/// Bounds of the durations of the faults, in milliseconds.
const CRASH_MS: Range<u64> = 500..2_000;
const SLOW_MS: Range<u64> = 1_000..3_000;
const RELAY_MS: Range<u64> = 300..2_500;

/// Start of a fault, the fault, and its duration.
type PlannedFault = (Duration, ActiveFault, Duration);

impl Faults<'_> {
    /// Plays the faults of a chain, then ends those that are still active.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a process cannot be started.
    pub async fn run_chain(&mut self, time: Duration) -> Result<(), Error> {
        let mut plan = self.plan_chain(time).into_iter().peekable();
        let begun = Instant::now();
        // The schedule of other soaks starts no faults while it waits for the exit of a relay.
        while plan.peek().is_some() || !self.schedule.pending.is_empty() {
            while let Some((_, fault, duration)) = plan.next_if(|(at, ..)| *at <= begun.elapsed()) {
                self.start(fault.kind, fault.number, duration).await?;
            }
            let pending = std::mem::take(&mut self.schedule.pending).into_iter();
            let (due, later) = pending.partition(|pending| pending.due <= Instant::now());
            self.schedule.pending = later;
            self.undo_due(due).await?;
            sleep(CHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Draws the faults in the order of their starts.
    fn plan_chain(&mut self, time: Duration) -> Vec<PlannedFault> {
        let mut relays: Vec<usize> = (0..self.cluster.relays.len()).collect();
        relays.shuffle(&mut self.rng);
        let middle = self.numbers_of(&CHAIN[1..2]);
        let kinds = [
            (Kind::Crash, middle, CRASH_INTERVAL, CRASH_MS),
            (Kind::Slow, self.numbers_of(&CHAIN), SLOW_INTERVAL, SLOW_MS),
            (Kind::Freeze, vec![relays[0]], RELAY_INTERVAL, RELAY_MS),
            (Kind::Kill, vec![relays[1]], RELAY_INTERVAL, RELAY_MS),
            (Kind::Stop, vec![relays[2]], RELAY_INTERVAL, RELAY_MS),
        ];
        let mut plan = Vec::new();
        for (kind, numbers, interval, duration_ms) in kinds {
            for _ in 0..time.as_secs().div_ceil(interval) {
                let at = time.mul_f64(self.rng.random_range(STARTS));
                let number = numbers.choose(&mut self.rng).copied().unwrap_or_default();
                let duration = Duration::from_millis(self.rng.random_range(duration_ms.clone()));
                plan.push((at, ActiveFault { kind, number }, duration));
            }
        }
        plan.sort_by_key(|(at, ..)| *at);
        plan
    }

    /// Numbers of the runners of some services.
    fn numbers_of(&self, services: &[&str]) -> Vec<usize> {
        let targets = self.cluster.targets.iter().enumerate();
        let chosen = targets.filter(|(_, target)| services.contains(&target.service));
        chosen.map(|(number, _)| number).collect()
    }
}
