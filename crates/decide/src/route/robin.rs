//! The baseline: each target in turn.

use super::{Call, Pool, Router, TargetId};
use rand::Rng;

/// Gives each target that takes new work its turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Router for RoundRobin {
    fn pick(&mut self, pool: &Pool, call: &Call<'_>, _rng: &mut impl Rng) -> Option<TargetId> {
        let live = pool.live();
        self.turn = self.turn.wrapping_add(1);
        (0..live.len())
            .map(|step| &live[(self.turn + step) % live.len()])
            .find(|target| !call.tried.contains(&target.id))
            .map(|target| target.id.clone())
    }
}
