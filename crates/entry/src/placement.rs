//! Placement of models: orders to engines, sent by the entry that holds the lease.
//!
//! * [`lease`]: the lease on the right to send orders
//! * [`fleet`]: one service's engines and their models
//! * [`plan`]: which orders to send
//! * [`rate`]: rate limit of loads from the weight store
//! * [`order`]: execution of one order
//!
//! Every entry queries the engines for their models, since it routes by them; only the lease holder
//! plans.

pub mod fleet;
pub mod lease;
pub mod order;
pub mod plan;
pub mod rate;

use crate::core::{Core, Platform};
use crate::placement::fleet::Fleet;
use crate::placement::plan::Planner;
use record::RecordSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval between planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Queries the engines for their models and, while this entry holds the lease, sends them orders.
pub async fn run<P: Platform>(core: Arc<Core<P>>) {
    let mut planner = Planner::new(&core.settings.placement);
    let mut before = Instant::now();
    loop {
        sleep(ROUND_INTERVAL).await;
        let since = std::mem::replace(&mut before, Instant::now());
        run_round(&core, &mut planner, since.elapsed());
    }
}

fn run_round<P: Platform>(core: &Arc<Core<P>>, planner: &mut Planner, span: Duration) {
    let set = core.config.current();
    let held = core.lease.may_act();
    planner.set_fence(held);
    let entries = core.peers.addresses().len() + 1;
    let mut names = services(&set);
    planner.rotate(&mut names);
    for name in names {
        let service = core.services.get(&name);
        let targets = service.targets();
        let missing_models = service.take_missing_models();
        for target in &targets {
            target.query(held, missing_models.iter().cloned());
        }
        let busy = service.take_busy();
        let Some(record) = set.service(&name) else {
            continue;
        };
        core.telemetry.placement.update_warm(record, &targets);
        let Some(fence) = held else {
            continue;
        };
        let fleet = Fleet::survey(&targets, &set, fence);
        let demand = fleet.demand(record, &busy, span, entries);
        for (target, order) in planner.plan(&name, &demand, &fleet) {
            order::submit(core, target, order);
        }
    }
}

/// Returns the sorted names of the services that declare models, whose engines receive orders.
fn services(set: &RecordSet) -> Vec<String> {
    let with_models = set.services().filter(|service| !service.models.is_empty());
    let mut names: Vec<_> = with_models.map(|service| service.name.clone()).collect();
    names.sort();
    names
}
