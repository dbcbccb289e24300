//! Amounts of work at the services of a chain.

use super::wait_of;
use std::time::Duration;

/// Number of pieces at each service; services beyond the end have none.
#[derive(Clone, Debug, Default)]
pub(super) struct Work(Vec<u64>);

impl Work {
    pub(super) fn at(&self, service: usize) -> u64 {
        self.0.get(service).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, pieces: &[u32]) {
        self.resize(pieces.len());
        for (total, pieces) in self.0.iter_mut().zip(pieces) {
            *total += u64::from(*pieces);
        }
    }

    pub(super) fn remove(&mut self, pieces: &[u32]) {
        for (total, pieces) in self.0.iter_mut().zip(pieces) {
            *total = total.saturating_sub(u64::from(*pieces));
        }
    }

    pub(super) fn add_work(&mut self, other: &Self) {
        self.resize(other.0.len());
        for (total, other) in self.0.iter_mut().zip(&other.0) {
            *total += other;
        }
    }

    /// Time until the services at which a request has pieces have done this work.
    pub(super) fn time(&self, pieces: &[u32], rates: &[f64]) -> Duration {
        let used = used(pieces, rates);
        let times = used.map(|(service, _, rate)| self.at(service) as f64 / rate);
        wait_of(times.fold(0.0, f64::max))
    }

    /// Largest ratio over all services of this work to what the service processes in `span`.
    pub(super) fn utilization(&self, rates: &[f64], span: Duration) -> f64 {
        let ratios = self.0.iter().zip(rates).filter(|(_, rate)| **rate > 0.0);
        let ratios = ratios.map(|(pieces, rate)| *pieces as f64 / (rate * span.as_secs_f64()));
        ratios.fold(0.0, f64::max)
    }

    fn resize(&mut self, services: usize) {
        let services = services.max(self.0.len());
        self.0.resize(services, 0);
    }
}

/// Services at which a request has pieces and whose rate is known: index, pieces and rate.
pub(super) fn used<'a>(
    pieces: &'a [u32],
    rates: &'a [f64],
) -> impl Iterator<Item = (usize, u64, f64)> + 'a {
    let services = pieces.iter().zip(rates).enumerate();
    let services = services.filter(|(_, (pieces, _))| **pieces > 0);
    services.map(|(service, (pieces, rate))| (service, u64::from(*pieces), rate.max(0.0)))
}

/// Time that the slowest service needs for these pieces.
pub(super) fn work_time(pieces: &[u32], rates: &[f64]) -> Duration {
    let times = used(pieces, rates).map(|(_, pieces, rate)| pieces as f64 / rate);
    wait_of(times.fold(0.0, f64::max))
}
