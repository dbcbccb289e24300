//! The baseline: an unbounded FIFO queue.

use super::{Admission, AdmissionDecision, AdmissionRequest, Call};
use rand::Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Accepts all calls and starts them in order of arrival.
#[derive(Clone, Debug)]
pub struct Unbounded<T> {
    queue: VecDeque<T>,
    in_flight: u32,
}

impl<T> Default for Unbounded<T> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
            in_flight: 0,
        }
    }
}

impl<T> Admission<T> for Unbounded<T> {
    fn overload(
        &mut self,
        _request: &AdmissionRequest<'_>,
        _limit: u32,
        _now: Duration,
        _rng: &mut impl Rng,
    ) -> Option<Duration> {
        None
    }

    fn offer(
        &mut self,
        call: Call<T>,
        limit: u32,
        now: Duration,
        _rng: &mut impl Rng,
    ) -> AdmissionDecision<T> {
        self.push(call, limit, now)
            .map_or(AdmissionDecision::Queued, AdmissionDecision::Start)
    }

    fn push(&mut self, call: Call<T>, limit: u32, now: Duration) -> Option<T> {
        if self.queue.is_empty() && self.in_flight < limit {
            self.in_flight += 1;
            return Some(call.item);
        }
        self.queue.push_back(call.item);
        self.next(limit, now)
    }

    fn next(&mut self, limit: u32, _now: Duration) -> Option<T> {
        if self.in_flight >= limit {
            return None;
        }
        let item = self.queue.pop_front()?;
        self.in_flight += 1;
        Some(item)
    }

    fn finished(&mut self, _workspace: &str, _busy: Duration, _elapsed: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn queued(&self) -> usize {
        self.queue.len()
    }

    fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
