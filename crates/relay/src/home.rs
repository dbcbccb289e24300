//! Requests that may run in some regions only.

use crate::configuration::AllowedRegions;
use crate::downstream::Downstream;
use crate::runner::{Fleet, Runner, RunnerId};
use crate::serve::Job;
use std::sync::Arc;

impl<D: Downstream> Job<D> {
    /// Whether its route or its workspace names regions that it may run in.
    pub(crate) fn is_confined(&self) -> bool {
        self.homes().next().is_some()
    }

    /// Runners of its service outside those regions. Where both route and workspace name some, both
    /// bind.
    pub(crate) fn runners_outside_regions(&self) -> Vec<RunnerId> {
        if !self.is_confined() {
            return Vec::new();
        }
        let runners_outside_regions = |runner: &&Arc<Runner>| !self.is_home(runner);
        let ids = |fleet: &Fleet| {
            let runners_outside_regions = fleet
                .of(&self.service)
                .iter()
                .filter(runners_outside_regions);
            runners_outside_regions
                .map(|runner| runner.id.clone())
                .collect()
        };
        self.relay.fleet(ids).unwrap_or_default()
    }

    /// A failure domain whose region nobody has told is no home.
    fn is_home(&self, runner: &Runner) -> bool {
        let region = self.relay.options.regions.get(&runner.domain);
        region.is_some_and(|region| self.homes().all(|homes| homes.contains(region)))
    }

    fn homes(&self) -> impl Iterator<Item = &AllowedRegions> {
        let workspace = self.workspace.as_deref();
        let of_workspace = workspace.map(|workspace| &workspace.homes);
        let all = [Some(&self.route.homes), of_workspace]
            .into_iter()
            .flatten();
        all.filter(|homes| !homes.is_empty())
    }
}
