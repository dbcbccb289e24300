//! Follows the platform's VM list.

use crate::core::{Core, Platform};
use crate::service::Listing;
use crate::target::Target;
use decide::subset::{self, Candidate};
use slog::{o, warn};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use store::{Role, Vm};
use wire::Key;

/// Follows the list until the entry stops.
pub async fn follow<P: Platform>(core: Arc<Core<P>>) {
    let pause = Duration::from_millis(core.settings.vms_poll_ms);
    let mut reachable = true;
    loop {
        let result = core.platform.list().await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            warn!(core.log, "VM list reachability changed"; "reachable" => reachable);
        }
        if let Ok(listed) = result {
            update(&core, listed);
        }
        core.services.configure(&core.config.current());
        tokio::time::sleep(pause).await;
    }
}

fn update<P: Platform>(core: &Arc<Core<P>>, listed: Vec<Vm>) {
    let (targets, entries): (Vec<Vm>, Vec<Vm>) =
        listed.into_iter().partition(|vm| vm.role == Role::Target);
    if let Some(exchange) = core.exchange.get() {
        exchange.subscribe(&entries, &core.settings.id);
    }
    core.peers.update(entries, &core.settings.id);
    let key = Key::new(core.settings.key.as_bytes());
    let chosen = select_targets(&core.settings, &targets);
    for vm in targets.iter().filter(|vm| chosen.contains(vm.id.as_str())) {
        let service = core.services.get(&vm.service);
        let observer = service.clone();
        let log = core.log.new(o!("service" => vm.service.clone()));
        service.update_target(vm, |vm| Target::start(vm, key.clone(), log, observer));
    }
    let listed: HashSet<&str> = targets.iter().map(|vm| vm.id.as_str()).collect();
    for service in core.services.all() {
        service.retain(|id| match (listed.contains(id), chosen.contains(id)) {
            (_, true) => Listing::Selected,
            (true, false) => Listing::NotSelected,
            (false, false) => Listing::Unlisted,
        });
    }
}

/// Returns the ids of the targets that this entry keeps links to: a subset of the targets of each
/// service in the entry's region.
fn select_targets<'a>(settings: &setting::Entry, targets: &'a [Vm]) -> HashSet<&'a str> {
    let mut by_service: HashMap<&str, Vec<Candidate<'a>>> = HashMap::new();
    let region = &settings.place.region;
    for vm in targets {
        // If the list contains no regions, there is only one.
        if vm.region.is_empty() || vm.region == *region {
            let candidates = by_service.entry(&vm.service).or_default();
            candidates.push(Candidate {
                id: &vm.id,
                domain: &vm.domain,
            });
        }
    }
    by_service
        .values()
        .flat_map(|candidates| subset::choose(&settings.id, settings.subset, candidates))
        .map(|chosen| chosen.id)
        .collect()
}
