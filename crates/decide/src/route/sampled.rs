//! The best of a few sampled candidates by expected finish.

use super::{Call, Pool, Router, Target, TargetId};
use rand::Rng;

/// Candidates drawn at random. Two already avoid the longest queues; the third makes it likely
/// that one of the caller's own failure domain is among them.
const SAMPLE: usize = 3;
/// Draws before the sample is taken as it is, where draws hit targets that were tried.
const DRAWS: usize = 8;
/// Candidates taken from those believed to hold the call's prefix.
const HOLDERS: usize = 2;
/// Round trip in seconds that a call to another failure domain costs.
const CROSSING: f64 = 0.002;
/// Share of the slack that staying in the own failure domain may cost.
const SLACK_SHARE: f64 = 0.02;
/// Share of the service time that staying in the own failure domain may cost.
const SERVICE_SHARE: f64 = 0.1;

/// Draws a few candidates and takes the one that is expected to answer first.
///
/// The cost of a decision grows with the sample, not with the number of targets.
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
        let margin = margin(pool, call);
        let cost = |target: &Target| {
            let away = *target.domain != *call.domain;
            pool.expected(target, call) + if away { margin } else { 0.0 }
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

/// What a target in another failure domain must be better by, in seconds: the way there, and
/// beyond it no more than the deadline can bear.
fn margin(pool: &Pool, call: &Call<'_>) -> f64 {
    let bearable = call.slack.as_secs_f64() * SLACK_SHARE;
    CROSSING + bearable.min(pool.means().service * SERVICE_SHARE)
}

fn draw<'a>(pool: &'a Pool, call: &Call<'_>, rng: &mut impl Rng) -> [Option<&'a Target>; SAMPLE] {
    let live = pool.live();
    let mut sample = [None; SAMPLE];
    if live.is_empty() {
        return sample;
    }
    let mut filled = 0;
    for _ in 0..DRAWS {
        let target = &live[rng.random_range(0..live.len())];
        if !call.tried.contains(&target.id) {
            sample[filled] = Some(target);
            filled += 1;
        }
        if filled == SAMPLE {
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
        .take(HOLDERS)
}

/// Few targets are left untried, and the draws missed them all: looks at each in turn.
fn first_untried<'a>(pool: &'a Pool, call: &Call<'_>, rng: &mut impl Rng) -> Option<&'a Target> {
    let live = pool.live();
    let start = rng.random_range(0..live.len().max(1));
    (0..live.len())
        .map(|step| &live[(start + step) % live.len()])
        .find(|target| !call.tried.contains(&target.id))
}
