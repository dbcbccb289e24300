//! The rule for repeats at a service, apart from the product's code.

use super::repeats::Seen;
use decide::retry::window::Bound;
use std::time::Duration;

/// Nanoseconds from the start; a window may begin before it.
type Nanos = i64;

fn nanos(at: Duration) -> Nanos {
    i64::try_from(at.as_nanos()).unwrap_or(i64::MAX)
}

/// The rule, for what was seen of one play.
pub struct Rule {
    requests: Vec<Nanos>,
    arrivals: Vec<Nanos>,
    bounds: Vec<(Bound, Nanos, Nanos)>,
    window: Nanos,
}

impl Rule {
    pub fn new(seen: &Seen) -> Self {
        let all = |moments: &[Duration]| moments.iter().copied().map(nanos).collect();
        let bounds = seen.bounds.iter();
        Self {
            requests: all(&seen.firsts),
            arrivals: all(&seen.arrivals),
            bounds: bounds
                .map(|(bound, since, until)| (*bound, nanos(*since), nanos(*until)))
                .collect(),
            window: nanos(seen.bounds[0].0.window),
        }
    }

    /// How many of the sorted moments lie in the window from a moment on.
    fn within(&self, moments: &[Nanos], from: Nanos) -> f64 {
        let begin = moments.partition_point(|at| *at < from);
        let inside = moments[begin..].partition_point(|at| *at < from + self.window);
        inside as f64
    }

    /// What the service may get beyond the first of each request in the window from a moment on.
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

    /// By what part of what is allowed the worst of all windows exceeds it; below zero if none does.
    ///
    /// What a window has beyond that grows only where a repeat enters it, or a request leaves one of
    /// the three windows in which requests are counted.
    pub fn excess(&self) -> f64 {
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
