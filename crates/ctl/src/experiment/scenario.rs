//! What is sent, and what goes wrong when.

use super::deployment::Deployment;
use super::fault::{Change, Event};
use crate::load::arrival::Source;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use standin::Options;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Time in which the arms learn and nothing is counted.
pub const WARM_UP: Duration = Duration::from_secs(3);
/// Time from the start of a run to its last request.
pub const SPAN: Duration = Duration::from_secs(15);
/// Start of what goes wrong.
const TROUBLE: Duration = Duration::from_secs(5);
/// End of what goes wrong.
const RELIEF: Duration = Duration::from_secs(11);
/// When the failure domain is lost, after the first runners.
const DOMAIN_LOST: Duration = Duration::from_secs(9);
/// Age of load reports and cache events in the stale scenario, in milliseconds.
const STALE_MS: f64 = 2_000.0;
/// Long prefixes that requests share in the prefix scenario.
const PREFIXES: u32 = 12;
/// Blocks that an engine's cache holds in the prefix scenario, about four of the prefixes.
const CACHE_BLOCKS: usize = 64;
/// Time for each block that is not in the cache in the prefix scenario, in milliseconds.
const PREFILL_MS: f64 = 2.0;
/// Failure domain that is lost.
const LOST_DOMAIN: &str = "b";

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing goes wrong.
    Steady,
    /// One workspace brings ten times its share and more; twice the capacity in all.
    Flash,
    /// One engine is ten times slower for a while.
    Straggler,
    /// A fifth of the engines die, then a failure domain.
    Failstop,
    /// Load reports are two seconds late and a third of the cache events is lost.
    Stale,
    /// Few long prefixes are shared, and the caches are too small for all.
    Prefix,
    /// As flash, with callers who come back after every refusal.
    Retrystorm,
    /// The table service is away all the time.
    Storedown,
    /// Two of the others, drawn from the seed.
    Mixed,
}

/// All scenarios and their names.
const SCENARIOS: [(Scenario, &str); 9] = [
    (Scenario::Steady, "steady"),
    (Scenario::Flash, "flash"),
    (Scenario::Straggler, "straggler"),
    (Scenario::Failstop, "failstop"),
    (Scenario::Stale, "stale"),
    (Scenario::Prefix, "prefix"),
    (Scenario::Retrystorm, "retrystorm"),
    (Scenario::Storedown, "storedown"),
    (Scenario::Mixed, "mixed"),
];

/// Scenarios that two of which make a mixed one.
const MIXABLE: [Scenario; 6] = [
    Scenario::Flash,
    Scenario::Straggler,
    Scenario::Failstop,
    Scenario::Stale,
    Scenario::Prefix,
    Scenario::Storedown,
];

/// A scenario worked out for one deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Requests.
    pub sources: Vec<Source>,
    /// Whether callers come back after a refusal.
    pub returns: bool,
    /// What goes wrong, in order of time.
    pub events: Vec<Event>,
    /// Whether reports and cache events are stale.
    stale: bool,
    /// Whether caches are small and misses costly.
    small_caches: bool,
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = SCENARIOS.iter().find(|(_, name)| *name == text);
        found.map(|(scenario, _)| *scenario).ok_or_else(|| {
            let names: Vec<_> = SCENARIOS.iter().map(|(_, name)| *name).collect();
            format!("expected one of {}", names.join(", "))
        })
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = SCENARIOS.iter().find(|(scenario, _)| scenario == self);
        formatter.write_str(found.map_or("unknown", |(_, name)| name))
    }
}

impl Scenario {
    /// What happens to a deployment in this scenario.
    #[must_use]
    pub fn plan(self, deployment: &Deployment, seed: u64) -> Plan {
        let parts = self.parts(seed);
        let has = |scenario| parts.contains(&scenario);
        let crowd = TROUBLE..RELIEF;
        let crowded = has(Scenario::Flash) || has(Scenario::Retrystorm);
        let prefixes = if has(Scenario::Prefix) { PREFIXES } else { 0 };
        let mut events: Vec<Event> = parts
            .iter()
            .flat_map(|part| part.events(deployment, seed))
            .collect();
        events.sort_by_key(|event| event.at);
        Plan {
            sources: deployment.sources(SPAN, crowded.then_some(&crowd), prefixes),
            returns: has(Scenario::Retrystorm),
            events,
            stale: has(Scenario::Stale),
            small_caches: has(Scenario::Prefix),
        }
    }

    fn parts(self, seed: u64) -> Vec<Scenario> {
        if self != Scenario::Mixed {
            return vec![self];
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        MIXABLE.choose_multiple(&mut rng, 2).copied().collect()
    }

    fn events(self, deployment: &Deployment, seed: u64) -> Vec<Event> {
        let engines = deployment.engines();
        let mut rng = SmallRng::seed_from_u64(seed);
        let at = |at, change| Event { at, change };
        match self {
            Scenario::Straggler => {
                let place = rng.random_range(0..engines.runners);
                let slow = |factor| Change::Slow {
                    service: engines.name,
                    place,
                    factor,
                };
                vec![at(TROUBLE, slow(10.0)), at(RELIEF, slow(1.0))]
            }
            Scenario::Failstop => {
                let fifth = engines.runners.div_ceil(5);
                let kills = (0..fifth).map(|place| Change::Kill {
                    service: engines.name,
                    place,
                });
                let domain = Change::KillDomain {
                    domain: LOST_DOMAIN,
                };
                let kills = kills.map(|kill| at(TROUBLE, kill));
                kills.chain([at(DOMAIN_LOST, domain)]).collect()
            }
            Scenario::Storedown => vec![at(Duration::ZERO, Change::StoreDown)],
            _ => Vec::new(),
        }
    }
}

impl Plan {
    /// Options of a runner under this plan.
    #[must_use]
    pub fn options(&self, options: Options) -> Options {
        let mut options = options;
        if self.stale {
            options.lag_ms = STALE_MS;
            options.event_loss = 1.0 / 3.0;
        }
        if self.small_caches {
            options.cache_blocks = CACHE_BLOCKS;
            options.prefill_ms = PREFILL_MS;
        }
        options
    }
}
