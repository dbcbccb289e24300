//! Follows the platform's list of VMs.

use crate::core::{Core, Platform};
use crate::target::Target;
use platform::{Role, Vm};
use slog::{o, warn};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use wire::Key;

/// Reads the list until the entry stops.
pub async fn follow<P: Platform>(core: Arc<Core<P>>) {
    let pause = Duration::from_millis(core.settings.vms_poll_ms);
    let mut reachable = true;
    loop {
        let result = core.platform.list().await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            warn!(core.log, "list of VMs"; "reachable" => reachable);
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
        exchange.listen(&entries, &core.settings.id);
    }
    core.peers.update(entries, &core.settings.id);
    let key = Key::new(core.settings.key.as_bytes());
    for vm in &targets {
        let service = core.services.get(&vm.service);
        let observer = service.clone();
        let log = core.log.new(o!("service" => vm.service.clone()));
        service.list(vm, |vm| Target::start(vm, key.clone(), log, observer));
    }
    let ids: HashSet<&str> = targets.iter().map(|vm| vm.id.as_str()).collect();
    for service in core.services.all() {
        service.retain(|id| ids.contains(id));
    }
}
