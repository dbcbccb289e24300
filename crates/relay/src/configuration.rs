//! The configuration in force: routes, services, workspaces and limits.

use decide::{Map, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use store::RowRevision;

/// Number of a configuration; a newer one has a greater number.
pub type Version = u64;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Regions that requests may run in; any if there are none.
pub type AllowedRegions = BTreeSet<RegionId>;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// How urgent a request is; 0 comes first.
pub type Rank = u8;
/// The most urgent rank.
pub const FIRST_RANK: Rank = 0;
/// The least urgent rank that is told apart.
pub const LAST_RANK: Rank = 9;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number.
    pub version: Version,
    /// Revision of the row that holds it in the operator's table; 0 if it comes from no table.
    pub revision: RowRevision,
    /// Routes by host, those with longer prefixes first.
    routes: Map<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: Map<ServiceId, Service>,
    /// Workspaces by key.
    keys: Map<String, Arc<Workspace>>,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    /// Ranks of workspace and route that requests may have together, the most urgent first.
    urgencies: Vec<(Rank, Rank)>,
}

/// Where requests of one host and path prefix go and how they may be treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that requests ask for.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may be kept.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub target: Duration,
    /// Urgency.
    pub rank: Rank,
    /// Services that share the route's requests, with their weights.
    pub split: Vec<Share>,
    /// Most runners that one request may run on.
    pub attempts: u32,
    /// Work that must be done before the request can run.
    pub stages: Vec<Stage>,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream that broke off may go on at another runner.
    pub resumable: bool,
    /// Longest pause between events of a stream that is on time.
    pub gap: Duration,
    /// Regions that its requests may run in.
    pub homes: AllowedRegions,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request that may run more than once.
    Safe,
    /// A request that may run once at most.
    Unsafe,
    /// A request that is answered by a stream of events.
    Streaming,
}

/// A service's part of a route's requests.
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
    /// Service whose runners do the work.
    pub service: ServiceId,
    /// Stages whose results it needs, by position.
    pub after: Vec<usize>,
    /// Approximate size of a result in bytes.
    pub result: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that one runner takes from all callers together.
    pub connections: u32,
    /// How its runners take the pieces of stages, if they do.
    pub batches: Option<BatchSettings>,
    /// What its runners bear that have just started, unless they bear all at once.
    pub warmup: Option<Warmup>,
}

/// What a runner bears that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// Time after its start until it bears as much as the others.
    pub time: Duration,
    /// Requests a second until then.
    pub rate: f64,
}

/// How the runners of a stage service take pieces.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchSettings {
    /// Calls in progress at once.
    pub slots: u32,
    /// Most pieces in a call, and what a call costs.
    pub shape: decide::batch::Shape,
    /// Room for results in bytes.
    pub room: u64,
    /// Time for which a result is kept unless it is released.
    pub keep: Duration,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceId,
    /// Urgency of its requests, before that of the route.
    pub rank: Option<Rank>,
    /// Regions that its requests may run in.
    pub homes: AllowedRegions,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head of a request in bytes.
    pub head: usize,
    /// Longest body of a request in bytes.
    pub body: usize,
    /// Time for which a connection may stay without a request.
    pub idle: Duration,
}

impl Default for Limits {
    /// What holds before a configuration is known.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// A plan of these parts; `keys` holds each workspace with its keys.
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
        configuration.urgencies = configuration.pairs_of_ranks(&keys);
        for (workspace, keys) in keys {
            let workspace = Arc::new(workspace);
            let keys = keys.into_iter().map(|key| (key, workspace.clone()));
            configuration.keys.extend(keys);
        }
        configuration
    }

    /// The route of a request: that with the longest prefix among those of the host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Urgency of a workspace's request on a route: the workspace's rank decides, and among
    /// workspaces of one rank that of the route.
    ///
    /// Operators give many workspaces the same rank. If the routes' ranks counted for nothing then,
    /// a burst on the least urgent route would make requests of the most urgent one late.
    #[must_use]
    pub fn rank(&self, workspace: Option<&Workspace>, route: &Route) -> Rank {
        let pair = pair_of_ranks(workspace.and_then(|workspace| workspace.rank), route);
        let before = self.urgencies.partition_point(|other| *other < pair);
        let told_apart = usize::from(LAST_RANK) + 1;
        // More pairs than ranks share them, in their order.
        let most = self.urgencies.len().max(told_apart);
        Rank::try_from(before * told_apart / most).map_or(LAST_RANK, |rank| rank.min(LAST_RANK))
    }

    /// All pairs of ranks that requests may have, in their order, each once.
    ///
    /// Thousands of workspaces have a few ranks: each rank is paired with each route once, or a new
    /// configuration would cost a small VM seconds.
    fn pairs_of_ranks(&self, keys: &[(Workspace, Vec<String>)]) -> Vec<(Rank, Rank)> {
        let ranks: BTreeSet<Option<Rank>> =
            keys.iter().map(|(workspace, _)| workspace.rank).collect();
        let mut pairs = BTreeSet::new();
        for route in self.routes.values().flatten() {
            if route.public {
                pairs.insert(pair_of_ranks(None, route));
            } else {
                pairs.extend(ranks.iter().map(|rank| pair_of_ranks(*rank, route)));
            }
        }
        pairs.into_iter().collect()
    }

    /// How the service's runners take pieces, if the service is known and takes any.
    #[must_use]
    pub fn batches(&self, service: &str) -> Option<BatchSettings> {
        self.services.get(service)?.batches
    }
}

/// Ranks of workspace and route; a workspace without one is as urgent as the route.
fn pair_of_ranks(workspace: Option<Rank>, route: &Route) -> (Rank, Rank) {
    (workspace.unwrap_or(route.rank), route.rank)
}

impl Route {
    /// The service for a request, chosen by a number that is drawn once a request.
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

    /// Whether a request may be sent to another runner after one may have run it.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Stages that need the results of a stage.
    pub fn followers(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        let follows = move |&next: &usize| self.stages[next].after.contains(&stage);
        (0..self.stages.len()).filter(follows)
    }

    /// Stages whose results the request itself needs: those that no other stage follows.
    pub fn leaves(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.stages.len()).filter(|&stage| self.followers(stage).next().is_none())
    }
}
