//! Which target a call goes to.
//!
//! * [`affinity`]: the same few targets for calls that share a prompt prefix
//! * [`call_load`]: the calls that processes have at a target, as they tell one another
//! * [`pool`]: what is known of a service's targets
//! * [`target`]: what is known of one target
//! * [`prefix`]: which targets are believed to have which prompt prefixes in cache
//! * [`robin`]: the baseline, each target in turn
//! * [`sampled`]: the best of a few sampled candidates by expected finish

pub mod affinity;
pub mod call_load;
pub mod pool;
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

/// What a router needs to know of the call that it routes.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The moment of the decision, since the process started.
    pub now: Duration,
    /// Failure domain of the process that decides.
    pub domain: &'a str,
    /// Hashes of the prompt's prefix blocks, longest last.
    pub prefix: &'a [Block],
    /// Targets that this stage of the request has been sent to before.
    pub tried: &'a [TargetId],
    /// Time that the stage may still wait and make its deadline.
    pub slack: Duration,
}

/// Chooses a target for a call.
pub trait Router {
    /// A target that takes new work and was not tried for this stage, or `None` if there is none.
    fn pick(&mut self, pool: &Pool, call: &Call<'_>, rng: &mut impl Rng) -> Option<TargetId>;
}

impl<N: Router, S: Router> Router for Either<N, S> {
    fn pick(&mut self, pool: &Pool, call: &Call<'_>, rng: &mut impl Rng) -> Option<TargetId> {
        either!(self, inner => inner.pick(pool, call, rng))
    }
}
