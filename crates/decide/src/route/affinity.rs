//! Routing of calls that share a prompt prefix to the same few targets, as far as load allows.
//!
//! A runner that has processed a prefix need not process it again. The contents of the runners'
//! caches are known late and incompletely at best. Processes that all send the same prefix to the
//! same runner need not know them: that runner follows from the names of prefix and runner alone.

use super::prefill::PrefillSpeed;
use super::{Block, Call, Pool, Router, Target, TargetId};
use crate::subset::rendezvous_hash;
use rand::Rng;

/// Cost of reading tokens that another runner has cached, relative to waiting for the same time.
/// Reading them again delays all calls of the runner and evicts what other calls need.
const REREAD_WEIGHT: f64 = 4.0;
/// Divisor of the number of targets that gives the size of the group that calls with the same first
/// part are routed to. Many prefixes share the first part, and each target that serves one of them
/// reads it once.
const GROUP_DIVISOR: usize = 3;
/// Minimum size of that group.
const MIN_GROUP_SIZE: usize = 3;
/// Cost in seconds of each position in a prefix's target order, so that processes whose preferred
/// target is overloaded spill over to the same next one.
const ORDER_COST_S: f64 = 0.001;
/// Round-trip time in seconds of a call to another failure domain.
const CROSS_DOMAIN_RTT_S: f64 = 0.002;

/// Part of a prompt that is shared with other calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of this part and all parts before it.
    pub block: Block,
    /// Number of tokens in this part.
    pub tokens: u32,
}

/// Selects the target with the lowest cost: the prompts queued there, the tokens that the call must
/// read itself, and the cost of reading a shared part on one more runner.
///
/// A decision takes time proportional to the number of targets, so it suits the subset of a pool
/// that one process sends to.
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
    speed: PrefillSpeed,
}

impl<'a> PrefixAffinity<'a> {
    /// A router for a call with these shared parts, in one of `processes` that get similar traffic.
    #[must_use]
    pub fn new(processes: usize, parts: &'a [PromptPart]) -> Self {
        Self {
            processes: processes.max(1) as f64,
            parts,
            speed: PrefillSpeed::default(),
        }
    }

    /// Sets the speed at which engines read prompts. It has to be the one that the loads in the pool
    /// were computed with: it only affects the balance between waiting and reading a prefix again.
    #[must_use]
    pub fn with_speed(self, speed: PrefillSpeed) -> Self {
        Self { speed, ..self }
    }

    /// Expected time in seconds until the call would begin at a target, plus the cross-domain cost.
    fn cost(&self, pool: &Pool, call: &Call<'_>, target: &Target) -> f64 {
        let own_wait = target.call_load().expected_delay();
        let queue_wait = match pool.peer_load(target, call.now) {
            Some(outside) => own_wait + outside.expected_delay(),
            None => own_wait * self.processes,
        };
        let domain_cost = if *target.domain == *call.domain {
            0.0
        } else {
            CROSS_DOMAIN_RTT_S
        };
        if self.parts.is_empty() {
            return queue_wait + domain_cost + pool.expected_response_time(target, call);
        }
        let means = pool.means();
        let slowdown = target.service_time(call.now, means) / means.service_time;
        queue_wait * slowdown + domain_cost
    }

    /// Cost of reading the shared parts again, by the target's index.
    fn reread_costs(&self, targets: &[&Target]) -> Vec<f64> {
        let Some((first, rest)) = self.parts.split_first() else {
            return vec![0.0; targets.len()];
        };
        let rest_tokens = rest.iter().map(|part| part.tokens);
        let rest_tokens = rest_tokens.fold(0, u32::saturating_add);
        let full_prefix = self.parts.last().map_or(first.block, |part| part.block);
        let mut indices: Vec<usize> = (0..targets.len()).collect();
        sort_by_hash(&mut indices, targets, first.block);
        let size = (indices.len() / GROUP_DIVISOR)
            .max(MIN_GROUP_SIZE)
            .min(indices.len());
        let (group, outside) = indices.split_at_mut(size);
        sort_by_hash(group, targets, full_prefix);
        let mut costs = vec![0.0; targets.len()];
        for (position, &index) in group.iter().enumerate().skip(1) {
            costs[index] = REREAD_WEIGHT * self.speed.read_seconds(rest_tokens)
                + ORDER_COST_S * position as f64;
        }
        for &mut index in outside {
            costs[index] = REREAD_WEIGHT
                * self
                    .speed
                    .read_seconds(rest_tokens.saturating_add(first.tokens))
                + ORDER_COST_S * size as f64;
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
        let reread_costs = self.reread_costs(&targets);
        let offset = rng.random_range(0..targets.len().max(1));
        (0..targets.len())
            .map(|step| (offset + step) % targets.len())
            .map(|index| {
                (
                    self.cost(pool, call, targets[index]) + reread_costs[index],
                    index,
                )
            })
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, index)| targets[index].id.clone())
    }
}

fn sort_by_hash(indices: &mut [usize], targets: &[&Target], block: Block) {
    let name = format!("{block:x}");
    indices.sort_by_cached_key(|&position| rendezvous_hash(&name, &targets[position].id));
}
