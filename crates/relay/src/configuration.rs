//! The configuration in force: routes, services, workspaces and limits.

use decide::{Map, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use store::RowRevision;

/// Version number of a configuration, which grows with each change.
pub type Version = u64;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Regions that requests may run in. An empty set allows all regions.
pub type AllowedRegions = BTreeSet<RegionId>;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Priority of a request; 0 is the most urgent.
pub type Rank = u8;
/// The most urgent rank.
pub const FIRST_RANK: Rank = 0;
/// The least urgent rank.
pub const LAST_RANK: Rank = 9;

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number.
    pub version: Version,
    /// Revision of its row in the operator's table; 0 if it does not come from a table.
    pub revision: RowRevision,
    /// Routes by host, longest prefixes first.
    routes: Map<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: Map<ServiceId, Service>,
    /// Workspaces by key.
    keys: Map<String, Arc<Workspace>>,
    /// Limits on what clients may send.
    pub limits: Limits,
    /// Combinations of workspace rank and route rank that occur, the most urgent first.
    urgencies: Vec<(Rank, Rank)>,
}

/// Where requests of one host and path prefix are sent, and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may run more than once, and whether they are answered by streams.
    pub kind: Kind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which a response, or its first event, is on time.
    pub target: Duration,
    /// Priority of its requests.
    pub rank: Rank,
    /// Services that share the route's requests, with their weights.
    pub split: Vec<Share>,
    /// Maximum number of runners that one request may run on.
    pub attempts: u32,
    /// Preliminary stages of a request.
    pub stages: Vec<Stage>,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Whether an interrupted stream may be resumed on another runner.
    pub resumable: bool,
    /// Longest time between two events of a stream that is on time.
    pub gap: Duration,
    /// Regions that its requests may run in.
    pub homes: AllowedRegions,
}

/// Kind of a route's requests, which decides whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request that may run more than once.
    Safe,
    /// A request that may run at most once.
    Unsafe,
    /// A request that is answered by a stream of events.
    Streaming,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Service whose runners make its results.
    pub service: ServiceId,
    /// Positions of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Approximate size of a result in bytes.
    pub result: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Maximum number of connections to one runner from all clients together.
    pub connections: u32,
    /// Batch settings, if its runners take the pieces of stages.
    pub batches: Option<BatchSettings>,
    /// Request limit of runners that have just started, if there is one.
    pub warmup: Option<Warmup>,
}

/// Request limit of a runner that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// Time after its start for which the limit holds.
    pub time: Duration,
    /// Requests per second in that time.
    pub rate: f64,
}

/// Batch settings of a stage service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchSettings {
    /// Maximum number of concurrent calls to a runner.
    pub slots: u32,
    /// Maximum number of pieces per call, and the cost model of a call.
    pub shape: decide::batch::Shape,
    /// Space for results on a runner in bytes.
    pub room: u64,
    /// Time for which a runner keeps a result that is not released.
    pub keep: Duration,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceId,
    /// Priority of its requests, which takes precedence over that of the route.
    pub rank: Option<Rank>,
    /// Regions that its requests may run in.
    pub homes: AllowedRegions,
}

/// Limits on what clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub head: usize,
    /// Maximum size of a request's body in bytes.
    pub body: usize,
    /// Time for which a connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// Limits that apply before a configuration is known.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// Creates a configuration. `keys` lists each workspace with its keys.
    #[must_use]
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Vec<(Workspace, Vec<String>)>,
        limits: Limits,
    ) -> Self {
        let mut configuration = Self {
            version,
            limits,
            ..Self::default()
        };
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            configuration
                .routes
                .entry(host)
                .or_default()
                .push(Arc::new(route));
        }
        for routes in configuration.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        for service in services {
            configuration.services.insert(service.name.clone(), service);
        }
        configuration.urgencies = configuration.rank_pairs(&keys);
        for (workspace, keys) in keys {
            let workspace = Arc::new(workspace);
            let keys = keys.into_iter().map(|key| (key, workspace.clone()));
            configuration.keys.extend(keys);
        }
        configuration
    }

    /// The route of a request: the one with the longest matching prefix among those of the host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The workspace that a key belongs to.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Rank of a workspace's request on a route: the workspace's rank decides first, then that of the route.
    ///
    /// Operators give many workspaces the same rank. If the route's rank did not count then, a burst on the
    /// least urgent route would make requests of the most urgent one late.
    #[must_use]
    pub fn rank(&self, workspace: Option<&Workspace>, route: &Route) -> Rank {
        let pair = rank_pair(workspace.and_then(|workspace| workspace.rank), route);
        let before = self.urgencies.partition_point(|other| *other < pair);
        let rank_count = usize::from(LAST_RANK) + 1;
        // If there are more pairs than ranks, neighboring pairs share a rank.
        let divisor = self.urgencies.len().max(rank_count);
        Rank::try_from(before * rank_count / divisor).map_or(LAST_RANK, |rank| rank.min(LAST_RANK))
    }

    /// All distinct pairs of workspace rank and route rank that requests may have, in order.
    ///
    /// Thousands of workspaces share a few ranks. Each distinct rank is paired with each route only once;
    /// otherwise loading a configuration would take seconds on a small VM.
    fn rank_pairs(&self, keys: &[(Workspace, Vec<String>)]) -> Vec<(Rank, Rank)> {
        let ranks: BTreeSet<Option<Rank>> =
            keys.iter().map(|(workspace, _)| workspace.rank).collect();
        let mut pairs = BTreeSet::new();
        for route in self.routes.values().flatten() {
            if route.public {
                pairs.insert(rank_pair(None, route));
            } else {
                pairs.extend(ranks.iter().map(|rank| rank_pair(*rank, route)));
            }
        }
        pairs.into_iter().collect()
    }

    /// Batch settings of a service, if it is known and its runners take pieces.
    #[must_use]
    pub fn batches(&self, service: &str) -> Option<BatchSettings> {
        self.services.get(service)?.batches
    }
}

/// Ranks of workspace and route. A workspace without a rank takes that of the route.
fn rank_pair(workspace: Option<Rank>, route: &Route) -> (Rank, Rank) {
    (workspace.unwrap_or(route.rank), route.rank)
}

impl Route {
    /// The service for a request, chosen by weight with `draw`, a random number drawn once per request.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for share in &self.split {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }

    /// Whether a request may be retried on another runner after a first one may have run it.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Stages that need the results of `stage`.
    pub fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        let depends = move |&next: &usize| self.stages[next].after.contains(&stage);
        (0..self.stages.len()).filter(depends)
    }

    /// Stages whose results the request itself needs: those that no other stage depends on.
    pub fn leaves(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(|&stage| self.dependents(stage).next().is_none())
    }
}
