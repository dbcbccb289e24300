//! The soak of relays: relay processes between clients and stand-ins of the users' platform.
//!
//! * [`cluster`]: the processes and the stand-ins; [`fault`]: the faults injected into them
//! * [`demand`]: the clients' requests; [`chain`]: those of a chain of stages
//! * [`stops`]: relays that are stopped and started again during long streams
//! * [`verdict`]: checks of the responses and the runs

pub mod chain;
pub mod cluster;
pub mod demand;
pub mod fault;
pub mod stops;
pub mod verdict;

use crate::Error;
use crate::fleet::Signal;
use crate::torture::relays::cluster::{Cluster, Layout, MANY_RUNNERS, RUNNERS, RunnerAccess};
use crate::torture::relays::demand::Flood;
use crate::torture::relays::fault::Faults;
use crate::torture::relays::verdict::Verdict;
use crate::torture::state::SoakState;
use std::fmt::Debug;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use stub::caller::{Kind, RequestRecord};
use stub::{Micros, now};
use tokio::task::{JoinError, JoinHandle};

/// Requests per second that a runner with a limit announces.
const ANNOUNCED_LIMIT: u32 = 2;
/// The flood of connections to one relay.
const FLOOD: Flood = Flood {
    after: Duration::from_secs(5),
    factor: 8.0,
    share: 0.9,
};
/// Rest that a runner asks for.
const REQUESTED_REST: Duration = Duration::from_secs(3);
/// Kinds of requests sent beside those whose pieces crash runners, and beside those that make runners
/// unresponsive.
const KINDS_BESIDE_PIECES: &[&[Kind]] = &[&[Kind::Staged], &[Kind::Stream]];
const STREAM_KINDS: &[&[Kind]] = &[&[Kind::Stream, Kind::Once]];
const PLAIN_KINDS: &[&[Kind]] = &[&[Kind::Safe, Kind::Unsafe]];

/// The faults and harmful requests of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Faults that are drawn from the seed. Every second seed adds a poison request, and every fourth
    /// one a runner that announces a limit. Of the other seeds, every fourth one adds a request whose
    /// pieces crash runners, every fourth one a request that makes runners unresponsive, and every fourth
    /// one requests that share a prompt part which crashes runners, and every fourth one runners that say
    /// in their responses that they leave or want rest.
    Drawn,
    /// A poison request without other faults.
    Poison,
    /// A poison request of a kind beside others that are similar to it, without other faults.
    Crowd(Kind),
    /// Requests whose pieces crash the runners of a stage, beside others, without other faults.
    Piece {
        /// Number of these requests, two at most.
        requests: usize,
        /// Index of the stage.
        stage: usize,
    },
    /// Requests of a kind that share a prompt part which crashes runners, beside others of that kind,
    /// without other faults.
    Part(Kind),
    /// A request of a kind that makes runners unresponsive, beside others of their service, without
    /// other faults.
    Silence(Kind),
    /// A runner that announces a limit, without other faults.
    Limit,
    /// A runner that says in its responses that it is shutting down and one that asks for rest, while their
    /// entries say nothing, without other faults.
    Notices,
    /// Most new connections go to one relay from some time on, and there are more of them, without other
    /// faults.
    Flood,
    /// The table service is restored from an older backup, without other faults.
    Restore,
    /// A burst of requests with a chain of stages, while runners of the middle stage crash and return, runners
    /// are slow, and relays are frozen, killed and stopped.
    Chain,
    /// Relays are stopped and started again, in turn and together, during streams of several seconds that
    /// runners pause, without other faults.
    Stops,
}

impl Scenario {
    fn has_poison(self, seed: u64) -> bool {
        self == Self::Poison || self == Self::Drawn && seed % 2 == 0
    }

    fn layout(self) -> Layout {
        match self {
            Self::Piece { .. } => Layout::new(RunnerAccess::Direct, RUNNERS),
            Self::Silence(_) | Self::Part(_) => Layout::new(RunnerAccess::Direct, MANY_RUNNERS),
            Self::Chain => chain::LAYOUT,
            Self::Stops => stops::LAYOUT,
            _ => Layout::new(RunnerAccess::Proxied, RUNNERS),
        }
    }

    /// Kinds of requests that must be served after the faults.
    fn kinds(self) -> Vec<Kind> {
        match self {
            Self::Chain => [&Kind::ALL[..], &Kind::CHAIN].concat(),
            _ => Kind::ALL.to_vec(),
        }
    }

    /// Starts the requests that crash runners or make them unresponsive, beside the usual load.
    fn spawn_harmful_requests(
        self,
        state: &Arc<SoakState>,
        seed: u64,
        time: Duration,
    ) -> JoinHandle<Vec<RequestRecord>> {
        let state = state.clone();
        let stage = usize::from(seed % 16 > 8);
        match self {
            Self::Drawn if seed % 8 == 3 => {
                tokio::spawn(demand::deadly_parts(state, Kind::Stream, seed ^ 4, time))
            }
            Self::Drawn if seed % 8 == 5 => {
                tokio::spawn(demand::deadly_pieces(state, 1, stage, time))
            }
            Self::Drawn if seed % 8 == 7 => {
                tokio::spawn(demand::silencing_requests(state, Kind::Stream, time))
            }
            Self::Piece { requests, stage } => {
                tokio::spawn(demand::deadly_pieces(state, requests, stage, time))
            }
            Self::Silence(kind) => tokio::spawn(demand::silencing_requests(state, kind, time)),
            _ if self.has_poison(seed) => {
                tokio::spawn(demand::poison_requests(state, seed ^ 4, time))
            }
            _ => tokio::spawn(async { Vec::new() }),
        }
    }

    fn has_notices(self, seed: u64) -> bool {
        self == Self::Notices || self == Self::Drawn && seed % 8 == 1
    }

    fn has_limit(self, seed: u64) -> bool {
        self == Self::Limit || self == Self::Drawn && seed % 4 == 0
    }
}

/// Soaks a cluster for a time under a scenario with the load of a seed.
///
/// # Errors
///
/// [`Error::Failed`] if a process or a stand-in cannot be started.
pub async fn soak(
    scenario: Scenario,
    seed: u64,
    time: Duration,
    logs: PathBuf,
    programs: PathBuf,
) -> Result<Verdict, Error> {
    if scenario == Scenario::Stops {
        return stops::soak(seed, time, logs, programs).await;
    }
    let state = Arc::new(SoakState::default());
    let mut cluster = Cluster::start(logs.clone(), programs, scenario.layout(), &state).await?;
    cluster.wait_until_ready().await?;
    if scenario.has_limit(seed) {
        cluster.announce_limit(ANNOUNCED_LIMIT);
    }
    if scenario.has_notices(seed) {
        cluster.announce_notices(REQUESTED_REST);
    }
    let begun = now();
    let keys = cluster.keys.clone();
    let callers = match scenario {
        Scenario::Crowd(kind) => {
            tokio::spawn(demand::crowd_requests(state.clone(), kind, seed ^ 2, time))
        }
        Scenario::Part(kind) => {
            tokio::spawn(demand::deadly_parts(state.clone(), kind, seed ^ 2, time))
        }
        Scenario::Piece { .. } => {
            let others = demand::other_requests(state.clone(), KINDS_BESIDE_PIECES, seed ^ 2, time);
            tokio::spawn(others)
        }
        Scenario::Chain => {
            chain::misreport_load(&cluster);
            tokio::spawn(chain::send(state.clone(), seed ^ 2, time))
        }
        Scenario::Silence(kind) => {
            let same = if kind.streams() {
                STREAM_KINDS
            } else {
                PLAIN_KINDS
            };
            tokio::spawn(demand::other_requests(state.clone(), same, seed ^ 2, time))
        }
        _ => {
            let flood = (scenario == Scenario::Flood).then_some(FLOOD);
            tokio::spawn(demand::send(state.clone(), keys, seed ^ 2, time, flood))
        }
    };
    let harmful = scenario.spawn_harmful_requests(&state, seed, time);
    let mut faults = Faults::new(&mut cluster, state.clone(), seed ^ 3);
    match scenario {
        Scenario::Drawn => faults.run(time).await?,
        Scenario::Restore => faults.restore(time).await?,
        Scenario::Chain => faults.run_chain(time).await?,
        _ => faults.wait(time).await?,
    }
    let mut records = callers.await.map_err(|error| task_error(&error))?;
    records.extend(harmful.await.map_err(|error| task_error(&error))?);
    faults.wait_for_runners().await?;
    let (counts, stuck) = (faults.counts, faults.stuck);
    if scenario.has_notices(seed) {
        cluster.end_notices().await?;
    }
    let storage = match scenario {
        Scenario::Chain => Some(chain::await_free_storage(&cluster.log).await),
        _ => None,
    };
    let last = demand::check_recovery(&cluster, &scenario.kinds()).await;
    let recovered = last.iter().all(|record| verdict::is_good(record, true));
    records.extend(last);
    write_lines(&logs.join("falls"), &cluster.log.failures())?;
    write_lines(&logs.join("words"), &records)?;
    write_lines(&logs.join("results"), &cluster.log.results())?;
    write_lines(&logs.join("faults"), &[&state])?;
    let mut verdict = verdict::check(&records, &cluster.log, &cluster.keys, &state);
    verdict.counts.faults = counts;
    if scenario == Scenario::Flood {
        verdict.check_flood(&records, begun + FLOOD.after.as_micros() as Micros);
    }
    if let Some(storage) = storage {
        verdict.check_chain(&records, &cluster.log, &storage, &state);
    }
    if !recovered {
        verdict.record_violation(
            "not recovered",
            &"requests still fail after the last fault has ended",
        );
    }
    for id in stuck {
        verdict.record_violation("planned stop", &id);
    }
    // The relays stop at the same time; one after the other they would take half a minute.
    for (settings, _) in &cluster.relays {
        cluster.fleet.signal(&settings.id, Signal::Terminate)?;
    }
    if let Err(error) = cluster.fleet.stop() {
        verdict.record_violation("stop at the end", &error);
    }
    Ok(verdict)
}

/// Writes records of the stand-ins and clients next to the logs of the processes.
fn write_lines(path: &Path, lines: &[impl Debug]) -> Result<(), Error> {
    let lines: Vec<String> = lines.iter().map(|line| format!("{line:?}")).collect();
    let written = std::fs::write(path, lines.join("\n"));
    written.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
}

fn task_error(error: &JoinError) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}
