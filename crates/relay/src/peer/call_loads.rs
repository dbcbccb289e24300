//! Which calls each process has at the runners that read prompts.
//!
//! One process of thirty sees a thirtieth of the calls. Taken for the whole, what it has sent itself
//! says that a runner is free or hopelessly behind; what the others have sent makes the difference.
//! One process for each service adds up what all tell it, and tells each what the others have.

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

/// Time between two words on the own calls. A prompt is read in one or two tenths of a second; at
/// thirty processes the one that adds up takes in 300 words a second.
const EVERY: Duration = Duration::from_millis(100);
/// Age up to which a word counts.
const TTL: Duration = Duration::from_millis(500);

/// Calls at each runner.
pub type CallLoads = Vec<(RunnerId, CallLoad)>;

/// The last word of each process on its calls at each service.
#[derive(Debug, Default)]
pub struct CallLoadTable(Mutex<Map<ServiceId, Map<MemberId, Word>>>);

#[derive(Debug)]
struct Word {
    received: Instant,
    burdens: CallLoads,
}

impl CallLoadTable {
    /// Takes in a process's word, and gives what the others have.
    pub fn exchange(&self, service: &ServiceId, from: MemberId, burdens: CallLoads) -> CallLoads {
        let mut board = lock(&self.0);
        let words = board.entry(service.clone()).or_default();
        words.retain(|_, word| word.received.elapsed() < TTL);
        let mut sums: Map<RunnerId, CallLoad> = Map::default();
        let others = words.iter().filter(|(member, _)| **member != from);
        for (runner, call_load) in others.flat_map(|(_, word)| &word.burdens) {
            *sums.entry(runner.clone()).or_default() += *call_load;
        }
        let word = Word {
            received: Instant::now(),
            burdens,
        };
        words.insert(from, word);
        sums.into_iter().collect()
    }
}

/// Tells of the own calls until the task is dropped.
pub async fn exchange_call_loads<D: Downstream>(relay: Arc<Relay<D>>) {
    if relay.options.policy.board == Policy::Naive {
        return;
    }
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (service, burdens) in relay.call_loads() {
            tell_one(&relay, service, burdens).await;
        }
    }
}

async fn tell_one<D: Downstream>(relay: &Arc<Relay<D>>, service: ServiceId, burdens: CallLoads) {
    let own = relay.options.member.id.clone();
    let name = format!("board/{service}");
    let owner = relay.peers.members(|members| members.owner(&name));
    if owner.id == own {
        let others = relay.peers.call_loads.exchange(&service, own, burdens);
        take(relay, &service, others);
        return;
    }
    // Without a link, or with a full one, this word is left out: the next one tells as much.
    if let Some(line) = relay.peers.line(relay, &owner).await {
        let _ = line.sender.try_send(&Frame::Burdens {
            service,
            from: own,
            burdens,
        });
    }
}

/// Takes in what the other processes have at the runners.
pub(super) fn take<D: Downstream>(relay: &Relay<D>, service: &ServiceId, others: CallLoads) {
    let now = relay.now();
    relay.pool(service, |pool| pool.update_peer_loads(now, others));
}
