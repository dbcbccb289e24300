//! Scenarios: which requests are sent, and which faults occur when.

use super::deployment::Deployment;
use super::fault::{Fault, FaultEvent};
use crate::load::arrival::Source;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use standin::Options;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Time for the policies to adapt, in which nothing is counted.
pub const WARM_UP: Duration = Duration::from_secs(3);
/// Time from the start of a run to its last request.
pub const SPAN: Duration = Duration::from_secs(15);
/// When faults and bursts start.
const FAULT_START: Duration = Duration::from_secs(5);
/// When faults and bursts end.
const FAULT_END: Duration = Duration::from_secs(11);
/// When the failure domain is lost, which is after the first runners.
const DOMAIN_LOSS_TIME: Duration = Duration::from_secs(9);
/// Age of load reports and cache events in the stale scenario, in milliseconds.
const STALE_MS: f64 = 2_000.0;
/// Number of long prefixes that requests share in the prefix scenario.
const PREFIXES: u32 = 12;
/// Capacity of an engine's cache in blocks in the prefix scenario, enough for about four prefixes.
const CACHE_BLOCKS: usize = 64;
/// Time to compute a block that is not in the cache in the prefix scenario, in milliseconds.
const PREFILL_MS: f64 = 2.0;
/// Failure domain that is lost.
const LOST_DOMAIN: &str = "b";

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Steady load without faults.
    Steady,
    /// One workspace sends more than ten times its share, which makes twice the capacity in total.
    Flash,
    /// One engine is temporarily ten times slower.
    Straggler,
    /// A fifth of the engines crash, and then a whole failure domain.
    Failstop,
    /// Load reports are two seconds late, and a third of the cache events are lost.
    Stale,
    /// Requests share a few long prefixes, and the caches are too small for all of them.
    Prefix,
    /// As flash, with callers that retry after every refusal.
    Retrystorm,
    /// The table service is unavailable all the time.
    Storedown,
    /// Two of the other scenarios, drawn from the seed.
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

/// Scenarios from which a mixed one draws two.
const MIXABLE: [Scenario; 6] = [
    Scenario::Flash,
    Scenario::Straggler,
    Scenario::Failstop,
    Scenario::Stale,
    Scenario::Prefix,
    Scenario::Storedown,
];

/// A scenario applied to one deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The requests to send.
    pub sources: Vec<Source>,
    /// Whether callers retry after a refusal.
    pub retries: bool,
    /// Faults, in order of time.
    pub events: Vec<FaultEvent>,
    /// Whether load reports are late and cache events are lost.
    stale: bool,
    /// Whether caches are small and cache misses are expensive.
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
    /// Returns the requests and faults of a deployment in this scenario.
    #[must_use]
    pub fn plan(self, deployment: &Deployment, seed: u64) -> Plan {
        let parts = self.parts(seed);
        let has = |scenario| parts.contains(&scenario);
        let burst = FAULT_START..FAULT_END;
        let has_burst = has(Scenario::Flash) || has(Scenario::Retrystorm);
        let prefixes = if has(Scenario::Prefix) { PREFIXES } else { 0 };
        let mut events: Vec<FaultEvent> = parts
            .iter()
            .flat_map(|part| part.events(deployment, seed))
            .collect();
        events.sort_by_key(|event| event.at);
        Plan {
            sources: deployment.sources(SPAN, has_burst.then_some(&burst), prefixes),
            retries: has(Scenario::Retrystorm),
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

    fn events(self, deployment: &Deployment, seed: u64) -> Vec<FaultEvent> {
        let engines = deployment.engines();
        let mut rng = SmallRng::seed_from_u64(seed);
        let at = |at, fault| FaultEvent { at, fault };
        match self {
            Scenario::Straggler => {
                let index = rng.random_range(0..engines.runners);
                let slow = |factor| Fault::Slow {
                    service: engines.name,
                    index,
                    factor,
                };
                vec![at(FAULT_START, slow(10.0)), at(FAULT_END, slow(1.0))]
            }
            Scenario::Failstop => {
                let fifth = engines.runners.div_ceil(5);
                let kills = (0..fifth).map(|index| Fault::Kill {
                    service: engines.name,
                    index,
                });
                let domain = Fault::KillDomain {
                    domain: LOST_DOMAIN,
                };
                let kills = kills.map(|kill| at(FAULT_START, kill));
                kills.chain([at(DOMAIN_LOSS_TIME, domain)]).collect()
            }
            Scenario::Storedown => vec![at(Duration::ZERO, Fault::StoreDown)],
            _ => Vec::new(),
        }
    }
}

impl Plan {
    /// Returns the options of a runner under this plan.
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
