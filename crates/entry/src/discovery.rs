//! Follows the platform's list of VMs.

use crate::core::{Core, Platform};
use crate::target::Target;
use platform::{Role, Vm};
use slog::{o, warn};
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
        tokio::time::sleep(pause).await;
    }
}

fn update<P: Platform>(core: &Arc<Core<P>>, listed: Vec<Vm>) {
    let (targets, entries): (Vec<Vm>, Vec<Vm>) =
        listed.into_iter().partition(|vm| vm.role == Role::Target);
    let key = Key::new(core.settings.key.as_bytes());
    core.pool.update(&targets, |vm| {
        let log = core.log.new(o!("service" => vm.service.clone()));
        Target::start(vm, key.clone(), log)
    });
    core.peers.update(entries, &core.settings.id);
}
