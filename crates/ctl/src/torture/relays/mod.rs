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
use crate::torture::relays::cluster::{Cluster, Doors, MANY_RUNNERS, RUNNERS, Runners};
use crate::torture::relays::fault::Faults;
use crate::torture::relays::verdict::Verdict;
use crate::torture::world::World;
use std::fmt::Debug;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use stub::caller::{Kind, RequestRecord};
use tokio::task::{JoinError, JoinHandle};

/// Requests a second that a runner says it takes which names a limit.
const LIMIT: u32 = 2;
/// Kinds of requests beside those whose pieces end runners, and beside those that silence runners.
const BESIDE_PIECES: &[&[Kind]] = &[&[Kind::Staged], &[Kind::Stream]];
const STREAMS: &[&[Kind]] = &[&[Kind::Stream, Kind::Once]];
const PLAIN: &[&[Kind]] = &[&[Kind::Safe, Kind::Unsafe]];

/// What is done to the cluster of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Faults drawn from the seed, with a poison request for each second seed and a runner that names
    /// a limit for each fourth; of the other seeds with a request whose pieces end runners for each
    /// fourth one, and with one that silences runners for each fourth one.
    Drawn,
    /// A poison request, and no fault.
    Poison,
    /// A poison request of a kind beside others that differ from it in little, and no fault.
    Crowd(Kind),
    /// Requests whose pieces end the runners of a stage beside others, and no fault.
    Piece {
        /// How many of them, two at most.
        requests: usize,
        /// The stage.
        stage: usize,
    },
    /// A request of a kind that silences runners beside others of their service, and no fault.
    Silence(Kind),
    /// A runner that names a limit, and no fault.
    Limit,
    /// The table service comes back from an older copy, and no other fault.
    Restore,
}

impl Trouble {
    fn has_poison(self, seed: u64) -> bool {
        self == Self::Poison || self == Self::Drawn && seed % 2 == 0
    }

    fn shape(self) -> (Doors, Runners) {
        match self {
            Self::Piece { .. } => (Doors::Direct, RUNNERS),
            Self::Silence(_) => (Doors::Direct, MANY_RUNNERS),
            _ => (Doors::Proxied, RUNNERS),
        }
    }

    /// Requests that end or silence runners, beside the demand.
    fn harm(self, world: &Arc<World>, seed: u64, time: Duration) -> JoinHandle<Vec<RequestRecord>> {
        let world = world.clone();
        let stage = usize::from(seed % 16 > 8);
        match self {
            Self::Drawn if seed % 8 == 5 => tokio::spawn(demand::pieces(world, 1, stage, time)),
            Self::Drawn if seed % 8 == 7 => {
                tokio::spawn(demand::silencer(world, Kind::Stream, time))
            }
            Self::Piece { requests, stage } => {
                tokio::spawn(demand::pieces(world, requests, stage, time))
            }
            Self::Silence(kind) => tokio::spawn(demand::silencer(world, kind, time)),
            _ if self.has_poison(seed) => tokio::spawn(demand::poison(world, seed ^ 4, time)),
            _ => tokio::spawn(async { Vec::new() }),
        }
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
    let (doors, runners) = trouble.shape();
    let mut cluster = Cluster::start(logs.clone(), programs, doors, runners, &world).await?;
    cluster.ready().await?;
    if trouble.has_limit(seed) {
        cluster.limit(LIMIT);
    }
    let keys = cluster.keys.clone();
    let callers = match trouble {
        Trouble::Crowd(kind) => tokio::spawn(demand::crowd(world.clone(), kind, seed ^ 2, time)),
        Trouble::Piece { .. } => {
            let others = demand::others(world.clone(), BESIDE_PIECES, seed ^ 2, time);
            tokio::spawn(others)
        }
        Trouble::Silence(kind) => {
            let same = if kind.streams() { STREAMS } else { PLAIN };
            tokio::spawn(demand::others(world.clone(), same, seed ^ 2, time))
        }
        _ => tokio::spawn(demand::send(world.clone(), keys, seed ^ 2, time)),
    };
    let harm = trouble.harm(&world, seed, time);
    let mut faults = Faults::new(&mut cluster, world.clone(), seed ^ 3);
    match trouble {
        Trouble::Drawn => faults.run(time).await?,
        Trouble::Restore => faults.restore(time).await?,
        _ => faults.wait(time).await?,
    }
    let mut words = callers.await.map_err(|error| ended(&error))?;
    words.extend(harm.await.map_err(|error| ended(&error))?);
    faults.mend().await?;
    let (counts, stuck) = (faults.counts, faults.stuck);
    let last = demand::recover(&cluster).await;
    let recovered = last.iter().all(|word| verdict::is_good(word, true));
    words.extend(last);
    trace(&logs.join("falls"), &cluster.log.failures())?;
    trace(&logs.join("words"), &words)?;
    let mut verdict = verdict::judge(&words, &cluster.log, &cluster.keys, &world);
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

/// Writes what the stand-ins saw beside the logs of the processes.
fn trace(path: &Path, lines: &[impl Debug]) -> Result<(), Error> {
    let lines: Vec<String> = lines.iter().map(|line| format!("{line:?}")).collect();
    let written = std::fs::write(path, lines.join("\n"));
    written.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
}

fn ended(error: &JoinError) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}
