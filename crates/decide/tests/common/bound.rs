//! Check of the bound on retries for the trace of one simulation.

use super::repeats::Trace;
use decide::retry::window::RetryBound;
use std::time::Duration;

/// Nanoseconds since the start; signed because a window may begin before it.
type Nanos = i64;

fn nanos(at: Duration) -> Nanos {
    i64::try_from(at.as_nanos()).unwrap_or(i64::MAX)
}

/// Check of the bound for the trace of one simulation.
pub struct BoundCheck {
    requests: Vec<Nanos>,
    arrivals: Vec<Nanos>,
    bounds: Vec<(RetryBound, Nanos, Nanos)>,
    window: Nanos,
}

impl BoundCheck {
    pub fn new(trace: &Trace) -> Self {
        let all = |times: &[Duration]| times.iter().copied().map(nanos).collect();
        let bounds = trace.bounds.iter();
        Self {
            requests: all(&trace.first_attempts),
            arrivals: all(&trace.arrivals),
            bounds: bounds
                .map(|(bound, since, until)| (*bound, nanos(*since), nanos(*until)))
                .collect(),
            window: nanos(trace.bounds[0].0.window),
        }
    }

    /// Number of the sorted times within the window that begins at `from`.
    fn within(&self, times: &[Nanos], from: Nanos) -> f64 {
        let begin = times.partition_point(|at| *at < from);
        let inside = times[begin..].partition_point(|at| *at < from + self.window);
        inside as f64
    }

    /// Retries that the service may receive in the window that begins at `from`.
    fn allowed(&self, from: Nanos) -> f64 {
        let requests = [0, self.window / 2, self.window]
            .map(|earlier| self.within(&self.requests, from - earlier))
            .into_iter()
            .fold(0.0, f64::max);
        let in_force = self
            .bounds
            .iter()
            .filter(|(_, since, until)| from <= *until && from + self.window > *since);
        in_force
            .map(|(bound, ..)| bound.ratio * requests + bound.slack)
            .fold(0.0, f64::max)
    }

    /// Largest excess of any window relative to what is allowed there; negative if none exceeds it.
    ///
    /// As the window moves, the excess grows only where a retry enters it, or where a request leaves one
    /// of the three windows in which requests are counted.
    pub fn worst_excess(&self) -> f64 {
        let enters = self.arrivals.iter().map(|at| at - self.window + 1);
        let leaves = self.requests.iter().flat_map(|at| {
            let after = at + 1;
            [after, after + self.window / 2, after + self.window]
        });
        let slack = self.bounds.iter().map(|(bound, ..)| bound.slack);
        let slack = slack.fold(f64::MAX, f64::min);
        let excess = |from| {
            let repeats = self.within(&self.arrivals, from);
            (repeats > slack).then(|| repeats / self.allowed(from) - 1.0)
        };
        enters.chain(leaves).filter_map(excess).fold(-1.0, f64::max)
    }
}
