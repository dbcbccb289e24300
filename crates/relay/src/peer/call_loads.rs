//! Exchange of the load that each process's calls put on the runners that process prompts.
//!
//! One process of thirty sees a thirtieth of the calls. From its own calls alone it cannot tell whether
//! a runner is idle or overloaded: that depends on the calls of the others. One process for each service
//! sums up the reports of all processes, and replies to each with the load of the others.

use super::frame::Frame;
use crate::configuration::ServiceId;
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::member::MemberId;
use crate::runner::RunnerId;
use decide::Map;
use decide::route::CallLoad;
use setting::Policy;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval at which a process reports its calls. A prompt is read in one or two tenths of a second;
/// with thirty processes, the one that sums up receives 300 reports a second.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which a report is used.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// Load that calls put on each runner.
pub type CallLoads = Vec<(RunnerId, CallLoad)>;

/// The latest report of each process on its calls at each service.
#[derive(Debug, Default)]
pub struct CallLoadTable(Mutex<Map<ServiceId, Map<MemberId, LoadReport>>>);

#[derive(Debug)]
struct LoadReport {
    received: Instant,
    call_loads: CallLoads,
}

impl CallLoadTable {
    /// Stores the report of a process, and returns the summed load of the others.
    pub fn exchange(
        &self,
        service: &ServiceId,
        from: MemberId,
        call_loads: CallLoads,
    ) -> CallLoads {
        let mut table = lock(&self.0);
        let reports = table.entry(service.clone()).or_default();
        reports.retain(|_, report| report.received.elapsed() < REPORT_TTL);
        let mut sums: Map<RunnerId, CallLoad> = Map::default();
        let others = reports.iter().filter(|(member, _)| **member != from);
        for (runner, call_load) in others.flat_map(|(_, report)| &report.call_loads) {
            *sums.entry(runner.clone()).or_default() += *call_load;
        }
        let report = LoadReport {
            received: Instant::now(),
            call_loads,
        };
        reports.insert(from, report);
        sums.into_iter().collect()
    }
}

/// Reports the calls of this process until the task is dropped.
pub async fn exchange_call_loads<D: Downstream>(relay: Arc<Relay<D>>) {
    if relay.options.policy.board == Policy::Naive {
        return;
    }
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (service, call_loads) in relay.call_loads() {
            exchange_service(&relay, service, call_loads).await;
        }
    }
}

async fn exchange_service<D: Downstream>(
    relay: &Arc<Relay<D>>,
    service: ServiceId,
    call_loads: CallLoads,
) {
    let own = relay.options.member.id.clone();
    let name = format!("board/{service}");
    let owner = relay.peers.members(|members| members.owner(&name));
    if owner.id == own {
        let others = relay.peers.call_loads.exchange(&service, own, call_loads);
        apply(relay, &service, others);
        return;
    }
    // Without a link, or if its queue is full, this report is dropped: the next one replaces it anyway.
    if let Some(link) = relay.peers.link(relay, &owner).await {
        let _ = link.sender.try_send(&Frame::Burdens {
            service,
            from: own,
            burdens: call_loads,
        });
    }
}

/// Applies the load that the other processes put on the runners.
pub(super) fn apply<D: Downstream>(relay: &Relay<D>, service: &ServiceId, others: CallLoads) {
    let now = relay.now();
    relay.pool(service, |pool| pool.update_peer_loads(now, others));
}
