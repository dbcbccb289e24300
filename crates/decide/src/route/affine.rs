//! The same few targets for calls that share a prompt prefix.
//!
//! A runner that has read a prefix need not read it again. Which runner has what in its cache is
//! known late and in part at best; but processes that all send the same prefix to the same runner
//! need not know. The names of prefix and runner alone say which that is.

use super::{Call, Pool, Router, Target, TargetId};
use crate::subset::rank;
use rand::Rng;

/// Share of the targets that calls with the same first block are kept to. The first block is
/// shared by many prefixes, and each target that serves one of them reads it once.
const GROUP_SHARE: usize = 4;
/// Targets that calls with the same first block are kept to, at least.
const GROUP_LEAST: usize = 3;
/// How much later than at the best target a call may be answered for the sake of the prefix, as a
/// multiple. Expected times are rough, so that a smaller one would chase noise.
const PATIENCE: f64 = 2.0;
/// The same in seconds, besides: about what reading a prefix of some thousand tokens takes.
const PATIENCE_LEAST: f64 = 0.2;

/// Sends a call where its prefix belongs, unless that is expected to take much longer than
/// elsewhere; calls without a prefix go to the target that is expected to answer first.
///
/// A decision costs time in proportion to the targets, so that it is for the subset of a pool that
/// one process sends to.
///
/// # Examples
///
/// ```
/// use decide::route::{Affine, Call, Pool, Router, Target};
/// use rand::{SeedableRng, rngs::SmallRng};
/// use std::time::Duration;
///
/// let mut pool = Pool::default();
/// for id in ["gen-1", "gen-2", "gen-3"] {
///     pool.insert(Target::new(id, "a", 8));
/// }
/// let call = Call {
///     now: Duration::ZERO,
///     domain: "a",
///     prefix: &[7, 8],
///     tried: &[],
///     slack: Duration::from_secs(1),
/// };
/// let mut rng = SmallRng::seed_from_u64(1);
/// let first = Affine.pick(&pool, &call, &mut rng);
/// assert_eq!(first, Affine.pick(&pool, &call, &mut rng));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Affine;

impl Router for Affine {
    fn pick(&mut self, pool: &Pool, call: &Call<'_>, rng: &mut impl Rng) -> Option<TargetId> {
        let targets: Vec<&Target> = pool
            .live()
            .iter()
            .filter(|target| !call.tried.contains(&target.id))
            .collect();
        let offset = rng.random_range(0..targets.len().max(1));
        let cost = |target: &&Target| pool.expected(target, call) + away(target, call);
        let best = (0..targets.len())
            .map(|step| targets[(offset + step) % targets.len()])
            .min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
        let bearable = cost(&best) * PATIENCE + PATIENCE_LEAST;
        let home = homes(&targets, call).find(|target| {
            // A target at its limit would let the call wait behind others.
            cost(target) <= bearable && target.in_flight() < target.limit()
        });
        Some(home.unwrap_or(best).id.clone())
    }
}

/// Round trip in seconds that a call to another failure domain costs.
const CROSSING: f64 = 0.002;

fn away(target: &Target, call: &Call<'_>) -> f64 {
    if *target.domain == *call.domain {
        0.0
    } else {
        CROSSING
    }
}

/// The targets to which the call's prefix belongs, the first choice first.
fn homes<'a>(targets: &[&'a Target], call: &Call<'_>) -> impl Iterator<Item = &'a Target> {
    let mut group = targets.to_vec();
    if let (Some(first), Some(whole)) = (call.prefix.first(), call.prefix.last()) {
        let size = (group.len() / GROUP_SHARE).max(GROUP_LEAST);
        sort(&mut group, *first);
        group.truncate(size);
        sort(&mut group, *whole);
    } else {
        group.clear();
    }
    group.into_iter()
}

fn sort(targets: &mut [&Target], block: u64) {
    let name = format!("{block:x}");
    targets.sort_by_cached_key(|target| rank(&name, &target.id));
}
