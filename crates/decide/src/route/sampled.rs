//! The best of a few sampled candidates by expected response time.

use super::{Call, Pool, Router, Target, TargetId};
use rand::Rng;

/// Number of random candidates. Two already avoid the longest queues; a third makes it likely that
/// one of them is in the caller's own failure domain.
const SAMPLE_SIZE: usize = 3;
/// Maximum number of draws, since draws of targets that were already tried are discarded.
const MAX_DRAWS: usize = 8;
/// Maximum number of candidates that probably have the call's prefix cached.
const MAX_HOLDERS: usize = 2;
/// Round-trip time in seconds of a call to another failure domain.
const CROSS_DOMAIN_RTT_S: f64 = 0.002;
/// Fraction of the slack that staying in the own failure domain may cost.
const SLACK_SHARE: f64 = 0.02;
/// Fraction of the service time that staying in the own failure domain may cost.
const SERVICE_SHARE: f64 = 0.1;

/// Samples a few candidates and selects the one that is expected to answer first.
///
/// The cost of a decision grows with the sample size, not with the number of targets.
///
/// # Examples
///
/// ```
/// use decide::route::{Call, Pool, Router, Sampled, Target};
/// use rand::{SeedableRng, rngs::SmallRng};
/// use std::time::Duration;
///
/// let mut pool = Pool::default();
/// pool.insert(Target::new("gen-1", "a", 1));
/// pool.insert(Target::new("gen-2", "a", 1));
/// pool.sent("gen-1", Duration::ZERO);
/// let call = Call {
///     now: Duration::ZERO,
///     domain: "a",
///     prefix: &[],
///     tried: &[],
///     slack: Duration::from_secs(1),
/// };
/// let mut rng = SmallRng::seed_from_u64(1);
/// let picked = Sampled::default().pick(&pool, &call, &mut rng);
/// assert!(picked.is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Sampled;

impl Router for Sampled {
    fn pick(&mut self, pool: &Pool, call: &Call<'_>, rng: &mut impl Rng) -> Option<TargetId> {
        let domain_margin = domain_margin(pool, call);
        let cost = |target: &Target| {
            let cross_domain = *target.domain != *call.domain;
            pool.expected_response_time(target, call)
                + if cross_domain { domain_margin } else { 0.0 }
        };
        let drawn = draw(pool, call, rng);
        let holders = holders(pool, call);
        drawn
            .into_iter()
            .flatten()
            .chain(holders)
            .map(|target| (cost(target), target))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, target)| target)
            .or_else(|| first_untried(pool, call, rng))
            .map(|target| target.id.clone())
    }
}

/// Time in seconds by which a target in another failure domain must be better: the round trip, plus
/// a margin that is small compared to the slack and to the service time.
fn domain_margin(pool: &Pool, call: &Call<'_>) -> f64 {
    let allowed = call.slack.as_secs_f64() * SLACK_SHARE;
    CROSS_DOMAIN_RTT_S + allowed.min(pool.means().service_time * SERVICE_SHARE)
}

fn draw<'a>(
    pool: &'a Pool,
    call: &Call<'_>,
    rng: &mut impl Rng,
) -> [Option<&'a Target>; SAMPLE_SIZE] {
    let live = pool.live();
    let mut sample = [None; SAMPLE_SIZE];
    if live.is_empty() {
        return sample;
    }
    let mut filled = 0;
    for _ in 0..MAX_DRAWS {
        let target = &live[rng.random_range(0..live.len())];
        if !call.tried.contains(&target.id) {
            sample[filled] = Some(target);
            filled += 1;
        }
        if filled == SAMPLE_SIZE {
            break;
        }
    }
    sample
}

fn holders<'a>(pool: &'a Pool, call: &'a Call<'_>) -> impl Iterator<Item = &'a Target> {
    pool.cache_index()
        .holding(call.prefix, call.now)
        .filter(|id| !call.tried.contains(id))
        .filter_map(|id| pool.get(id))
        .filter(|target| !target.leaving() && !target.ejected())
        .take(MAX_HOLDERS)
}

/// Checks each target in turn, since random draws can miss the few that were not tried yet.
fn first_untried<'a>(pool: &'a Pool, call: &Call<'_>, rng: &mut impl Rng) -> Option<&'a Target> {
    let live = pool.live();
    let start = rng.random_range(0..live.len().max(1));
    (0..live.len())
        .map(|step| &live[(start + step) % live.len()])
        .find(|target| !call.tried.contains(&target.id))
}
