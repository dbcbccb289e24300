//! The soak of relays: processes of their own between callers and stand-ins of the users' platform.
//!
//! * [`cluster`]: the processes and the stand-ins; [`fault`]: what is done to them
//! * [`demand`]: callers; [`verdict`]: what they and the runners say must not have happened

pub mod cluster;
pub mod demand;
pub mod fault;
pub mod verdict;

use crate::Error;
use crate::fleet::Signal;
use crate::torture::relays::cluster::Cluster;
use crate::torture::relays::fault::Faults;
use crate::torture::relays::verdict::Verdict;
use crate::torture::world::World;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use stub::caller::Kind;
use tokio::task::JoinError;

/// Requests a second that a runner says it takes which names a limit.
const LIMIT: u32 = 2;

/// What is done to the cluster of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Faults drawn from the seed, with a poison request for each second seed and a runner that names
    /// a limit for each fourth.
    Drawn,
    /// A poison request, and no fault.
    Poison,
    /// A poison request of a kind beside others that differ from it in little, and no fault.
    Crowd(Kind),
    /// A runner that names a limit, and no fault.
    Limit,
    /// The table service comes back from an older copy, and no other fault.
    Restore,
}

impl Trouble {
    fn has_poison(self, seed: u64) -> bool {
        self == Self::Poison || self == Self::Drawn && seed % 2 == 0
    }

    fn has_limit(self, seed: u64) -> bool {
        self == Self::Limit || self == Self::Drawn && seed % 4 == 0
    }
}

/// Soaks a cluster for a time under the trouble and the demand of a seed.
///
/// # Errors
///
/// [`Error::Failed`] if a process or a stand-in cannot be started.
pub async fn soak(
    trouble: Trouble,
    seed: u64,
    time: Duration,
    logs: PathBuf,
    programs: PathBuf,
) -> Result<Verdict, Error> {
    let world = Arc::new(World::default());
    let mut cluster = Cluster::start(logs, programs, &world).await?;
    cluster.ready().await?;
    if trouble.has_limit(seed) {
        cluster.limit(LIMIT);
    }
    let keys = cluster.keys.clone();
    let callers = match trouble {
        Trouble::Crowd(kind) => tokio::spawn(demand::crowd(world.clone(), kind, seed ^ 2, time)),
        _ => tokio::spawn(demand::send(world.clone(), keys, seed ^ 2, time)),
    };
    let poison = trouble.has_poison(seed);
    let poison = poison.then(|| tokio::spawn(demand::poison(world.clone(), seed ^ 4, time)));
    let mut faults = Faults::new(&mut cluster, world.clone(), seed ^ 3);
    match trouble {
        Trouble::Drawn => faults.run(time).await?,
        Trouble::Poison | Trouble::Crowd(_) | Trouble::Limit => faults.wait(time).await?,
        Trouble::Restore => faults.restore(time).await?,
    }
    let mut words = callers.await.map_err(|error| ended(&error))?;
    if let Some(poison) = poison {
        words.extend(poison.await.map_err(|error| ended(&error))?);
    }
    faults.mend().await?;
    let (counts, stuck) = (faults.counts, faults.stuck);
    let last = demand::recover(&cluster).await;
    let recovered = last.iter().all(|word| verdict::is_good(word, true));
    words.extend(last);
    let mut verdict = verdict::judge(&words, &cluster.log.runs(), &cluster.keys, &world);
    verdict.counts.faults = counts;
    if !recovered {
        verdict.note(
            "not recovered",
            &"requests fail after the last fault has ended",
        );
    }
    for id in stuck {
        verdict.note("planned stop", &id);
    }
    // All at once; asked one after the other they would take half a minute.
    for (settings, _) in &cluster.relays {
        cluster.fleet.signal(&settings.id, Signal::Terminate)?;
    }
    if let Err(error) = cluster.fleet.stop() {
        verdict.note("stop at the end", &error);
    }
    Ok(verdict)
}

fn ended(error: &JoinError) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}
