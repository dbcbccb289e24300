//! Selection of the target for a call.
//!
//! * [`affinity`]: routes calls that share a prompt prefix to the same few targets
//! * [`call_load`]: load of a process's calls on a target, as processes report it to one another
//! * [`pool`]: the state of a service's targets
//! * [`target`]: the state of one target
//! * [`prefill`]: the speed at which engines read prompts, learnt from their responses
//! * [`prefix`]: an approximate index of the prompt prefixes in the targets' caches
//! * [`robin`]: the baseline, round-robin
//! * [`sampled`]: the best of a few sampled candidates by expected response time

pub mod affinity;
pub mod call_load;
pub mod pool;
pub mod prefill;
pub mod prefix;
pub mod robin;
pub mod sampled;
pub mod target;
mod trust;

pub use affinity::PrefixAffinity;
pub use call_load::CallLoad;
pub use pool::Pool;
pub use robin::RoundRobin;
pub use sampled::Sampled;
pub use target::{LoadReport, ResponseStats, Target, TargetId};

use crate::either::{Either, either};
use rand::Rng;
use std::time::Duration;

/// Hash of a prompt prefix up to and including one block.
pub type Block = u64;

/// Properties of a call that a router needs.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Time of the decision, since the process started.
    pub now: Duration,
    /// Failure domain of the process that sends the call.
    pub domain: &'a str,
    /// Hashes of the prompt's prefix blocks, longest prefix last.
    pub prefix: &'a [Block],
    /// Targets to which this stage of the request has been sent before.
    pub tried: &'a [TargetId],
    /// Time that the stage can still wait and meet its deadline.
    pub slack: Duration,
}

/// Chooses a target for a call.
pub trait Router {
    /// A target that accepts new work and was not tried for this stage, or `None` if there is none.
    fn pick(&mut self, pool: &Pool, call: &Call<'_>, rng: &mut impl Rng) -> Option<TargetId>;
}

impl<N: Router, S: Router> Router for Either<N, S> {
    fn pick(&mut self, pool: &Pool, call: &Call<'_>, rng: &mut impl Rng) -> Option<TargetId> {
        either!(self, inner => inner.pick(pool, call, rng))
    }
}
