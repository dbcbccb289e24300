//! The same few targets for calls that share a prompt prefix, as far as load allows.
//!
//! A runner that has read a prefix need not read it again. Which runner has what in its cache is
//! known late and in part at best; but processes that all send the same prefix to the same runner
//! need not know. The names of prefix and runner alone say which that is.

use super::{Block, Call, Pool, Router, Target, TargetId};
use crate::subset::rendezvous_hash;
use rand::Rng;

/// Seconds that an engine takes to read a token of a prompt: one that reads 25 in a millisecond.
/// Only the balance of waiting against reading again depends on it.
const TOKEN: f64 = 40e-6;
/// How much worse it is to read tokens that another runner holds than to wait as long. Reading
/// again holds up all calls of the runner and evicts what others need.
const AGAIN: f64 = 4.0;
/// Part of the targets that calls with the same first part are kept to. The first part is shared by
/// many prefixes, and each target that serves one of them reads it once.
const GROUP_PART: usize = 3;
/// Targets that calls with the same first part are kept to, at least.
const GROUP_LEAST: usize = 3;
/// Seconds by which the next target in the order of a prefix must be better. Processes that spill
/// over should agree where to.
const NEXT: f64 = 0.001;
/// Round trip in seconds that a call to another failure domain costs.
const CROSSING: f64 = 0.002;

/// Part of a prompt that other calls share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of this part and all before it.
    pub block: Block,
    /// Its tokens.
    pub tokens: u32,
}

/// Seconds that an engine takes to read this many tokens.
#[must_use]
pub fn read_seconds(tokens: u32) -> f64 {
    f64::from(tokens) * TOKEN
}

/// Sends a call where it is expected to begin first: what waits there to be read, what it must read
/// itself, and what it costs to have a shared part read by one more runner.
///
/// A decision costs time in proportion to the targets, so that it is for the subset of a pool that
/// one process sends to.
///
/// # Examples
///
/// ```
/// use decide::route::affinity::PromptPart;
/// use decide::route::{PrefixAffinity, Call, Pool, Router, Target};
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
///     prefix: &[],
///     tried: &[],
///     slack: Duration::from_secs(1),
/// };
/// let parts = [PromptPart { block: 7, tokens: 2_000 }];
/// let mut rng = SmallRng::seed_from_u64(1);
/// let first = PrefixAffinity::new(4, &parts).pick(&pool, &call, &mut rng);
/// assert_eq!(first, PrefixAffinity::new(4, &parts).pick(&pool, &call, &mut rng));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PrefixAffinity<'a> {
    processes: f64,
    parts: &'a [PromptPart],
}

impl<'a> PrefixAffinity<'a> {
    /// A router for a call with these shared parts, in one of `processes` that see about the same
    /// calls.
    #[must_use]
    pub fn new(processes: usize, parts: &'a [PromptPart]) -> Self {
        Self {
            processes: processes.max(1) as f64,
            parts,
        }
    }

    /// Seconds until the call would begin at a target, and what else speaks against it.
    fn cost(&self, pool: &Pool, call: &Call<'_>, target: &Target) -> f64 {
        let own = target.call_load().wait();
        let queue = match pool.peer_load(target, call.now) {
            Some(others) => own + others.wait(),
            None => own * self.processes,
        };
        let away = if *target.domain == *call.domain {
            0.0
        } else {
            CROSSING
        };
        if self.parts.is_empty() {
            return queue + away + pool.expected(target, call);
        }
        let means = pool.means();
        let slowness = target.service(call.now, means) / means.service;
        queue * slowness + away
    }

    /// What it costs to have shared parts read again, for each target by its place.
    fn again(&self, targets: &[&Target]) -> Vec<f64> {
        let Some((first, rest)) = self.parts.split_first() else {
            return vec![0.0; targets.len()];
        };
        let rest: u32 = rest.iter().map(|part| part.tokens).sum();
        let whole = self.parts.last().map_or(first.block, |part| part.block);
        let mut order: Vec<usize> = (0..targets.len()).collect();
        sort(&mut order, targets, first.block);
        let size = (order.len() / GROUP_PART).max(GROUP_LEAST).min(order.len());
        let (group, others) = order.split_at_mut(size);
        sort(group, targets, whole);
        let mut costs = vec![0.0; targets.len()];
        for (place, &index) in group.iter().enumerate().skip(1) {
            costs[index] = AGAIN * read_seconds(rest) + NEXT * place as f64;
        }
        for &mut index in others {
            costs[index] = AGAIN * read_seconds(rest + first.tokens) + NEXT * size as f64;
        }
        costs
    }
}

impl Router for PrefixAffinity<'_> {
    fn pick(&mut self, pool: &Pool, call: &Call<'_>, rng: &mut impl Rng) -> Option<TargetId> {
        let targets: Vec<&Target> = pool
            .live()
            .iter()
            .filter(|target| !call.tried.contains(&target.id))
            .collect();
        let again = self.again(&targets);
        let offset = rng.random_range(0..targets.len().max(1));
        (0..targets.len())
            .map(|step| (offset + step) % targets.len())
            .map(|index| (self.cost(pool, call, targets[index]) + again[index], index))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, index)| targets[index].id.clone())
    }
}

fn sort(places: &mut [usize], targets: &[&Target], block: Block) {
    let name = format!("{block:x}");
    places.sort_by_cached_key(|&place| rendezvous_hash(&name, &targets[place].id));
}
