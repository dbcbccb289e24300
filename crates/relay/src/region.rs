//! Requests that may run only in some regions.

use crate::configuration::AllowedRegions;
use crate::downstream::Downstream;
use crate::runner::{Fleet, Runner, RunnerId};
use crate::serve::Job;
use std::sync::Arc;

impl<D: Downstream> Job<D> {
    /// Whether the route or the workspace restricts the regions that the request may run in.
    pub(crate) fn is_region_restricted(&self) -> bool {
        self.restrictions().next().is_some()
    }

    /// Runners of the service outside the allowed regions. If both route and workspace restrict the
    /// regions, a runner must satisfy both.
    pub(crate) fn runners_outside_regions(&self) -> Vec<RunnerId> {
        if !self.is_region_restricted() {
            return Vec::new();
        }
        let is_outside = |runner: &&Arc<Runner>| !self.is_in_allowed_region(runner);
        let ids = |fleet: &Fleet| {
            let outside = fleet.of(&self.service).iter().filter(is_outside);
            outside.map(|runner| runner.id.clone()).collect()
        };
        self.relay.fleet(ids).unwrap_or_default()
    }

    /// Whether a runner is in an allowed region. A failure domain whose region is unknown is in none.
    fn is_in_allowed_region(&self, runner: &Runner) -> bool {
        let region = self.relay.options.regions.get(&runner.domain);
        region.is_some_and(|region| self.restrictions().all(|allowed| allowed.contains(region)))
    }

    fn restrictions(&self) -> impl Iterator<Item = &AllowedRegions> {
        let workspace = self.workspace.as_deref();
        let workspace_regions = workspace.map(|workspace| &workspace.homes);
        let all = [Some(&self.route.homes), workspace_regions]
            .into_iter()
            .flatten();
        all.filter(|allowed| !allowed.is_empty())
    }
}
