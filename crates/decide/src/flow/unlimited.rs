//! The baseline gate.

use super::{Capacity, Demand, Gate, Ticket, Verdict};
use std::time::Duration;

/// Starts all requests immediately: the baseline.
///
/// # Examples
///
/// ```
/// use decide::flow::{Demand, Gate, Unlimited, Verdict};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let demand = Demand { rank: 0, pieces: vec![6, 10], due: second * 4, expires_at: second * 6 };
/// assert_eq!(Unlimited.offer(second, 1, demand), Verdict::Start);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl Gate for Unlimited {
    fn set_capacity(&mut self, _capacity: Capacity) {}

    fn offer(&mut self, _now: Duration, _ticket: Ticket, _demand: Demand) -> Verdict {
        Verdict::Start
    }

    fn finish(&mut self, _now: Duration, _ticket: Ticket) {}

    fn withdraw(&mut self, _now: Duration, _ticket: Ticket) {}

    fn poll(&mut self, _now: Duration) -> Vec<(Ticket, Verdict)> {
        Vec::new()
    }

    fn next_wakeup(&self, _now: Duration) -> Option<Duration> {
        None
    }

    fn expected_wait(&self, _now: Duration, _rank: u8) -> Duration {
        Duration::ZERO
    }
}
