//! The baseline: round-robin.

use super::{Call, Pool, Router, TargetId};
use rand::Rng;

/// Selects the targets that accept new work in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Router for RoundRobin {
    fn pick(&mut self, pool: &Pool, call: &Call<'_>, _rng: &mut impl Rng) -> Option<TargetId> {
        let live = pool.live();
        self.next = self.next.wrapping_add(1);
        (0..live.len())
            .map(|step| &live[(self.next + step) % live.len()])
            .find(|target| !call.tried.contains(&target.id))
            .map(|target| target.id.clone())
    }
}
