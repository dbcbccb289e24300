//! `torture`: a bounded soak of both deployments under faults, from a seed.

use crate::command::{Command, Help};
use crate::rig::bench::Bench;
use crate::rig::probe::until;
use crate::rig::record::{ASSISTANT, LABEL, POOLS, REPORT};
use crate::rig::runner::Plan;
use crate::torture::demand::{self, Mix};
use crate::torture::engines;
use crate::torture::fault::Faults;
use crate::torture::operators::{self, Ledger};
use crate::torture::relays::{self, Trouble};
use crate::torture::tally::{self, Log, Tally};
use crate::torture::world::World;
use crate::{Common, Error, output};
use getopts::{Matches, Options};
use serde::Serialize;
use serde_json::json;
use standin::log::ExecutionStatus;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use stub::caller::Kind;

/// Longest soak of one deployment, in seconds.
const MOST: u64 = 3_600;
/// Trails that are printed at most.
const TRAILS: usize = 10;
/// Calls given to a runner at once.
const CONCURRENCY: u32 = 4;
/// Time for a call at a pool or plain service, or a token of an engine, in milliseconds.
const TIME_MS: f64 = 3.0;

/// A deployment in small.
struct Deployment {
    name: &'static str,
    /// Runners of each service.
    runners: [(&'static str, usize); 6],
    /// Callers a second, outside bursts.
    rate: f64,
    mix: Mix,
}

/// The deployments, in the order in which they are soaked.
const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "harness",
        runners: [
            (POOLS[0], 2),
            (POOLS[1], 2),
            (POOLS[2], 2),
            (ASSISTANT, 3),
            (LABEL, 2),
            (REPORT, 2),
        ],
        rate: 40.0,
        mix: Mix {
            print: 0.3,
            read: 0.2,
            draft: 0.1,
            streamed: 0.25,
        },
    },
    Deployment {
        name: "proofreading",
        runners: [
            (POOLS[0], 1),
            (POOLS[1], 2),
            (POOLS[2], 1),
            (ASSISTANT, 3),
            (LABEL, 3),
            (REPORT, 1),
        ],
        rate: 30.0,
        mix: Mix {
            print: 0.35,
            read: 0.1,
            draft: 0.25,
            streamed: 0.2,
        },
    },
];

/// Name of the soak of engines that come and go.
const ENGINES: &str = "engines";
/// Name of the soak of relays, beside those of the deployments.
const RELAYS: &str = "relays";

/// What is done to the cluster in the soak of relays of that name.
fn trouble(name: &str) -> Option<Trouble> {
    match name {
        RELAYS => Some(Trouble::Drawn),
        "poison" => Some(Trouble::Poison),
        "crowd-stream" => Some(Trouble::Crowd(Kind::Once)),
        "crowd-safe" => Some(Trouble::Crowd(Kind::Safe)),
        "crowd-unsafe" => Some(Trouble::Crowd(Kind::Unsafe)),
        "piece-none" => Some(Trouble::Piece {
            requests: 0,
            stage: 0,
        }),
        "piece" => Some(Trouble::Piece {
            requests: 1,
            stage: 0,
        }),
        "piece-second" => Some(Trouble::Piece {
            requests: 1,
            stage: 1,
        }),
        "piece-two" => Some(Trouble::Piece {
            requests: 2,
            stage: 0,
        }),
        "silence-stream" => Some(Trouble::Silence(Kind::Stream)),
        "silence-safe" => Some(Trouble::Silence(Kind::Safe)),
        "silence-unsafe" => Some(Trouble::Silence(Kind::Unsafe)),
        "limit" => Some(Trouble::Limit),
        "restore" => Some(Trouble::Restore),
        _ => None,
    }
}

/// Soaks the deployments.
#[derive(Debug)]
pub struct Torture {
    only: Option<String>,
    seed: u64,
    time: Duration,
    logs: Option<PathBuf>,
}

impl Command for Torture {
    const HELP: Help = Help {
        name: "torture",
        arguments: "",
        about: "Soak small deployments on this machine under faults and count what goes wrong",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "seed", "seed of demand and faults", "N");
        options.optopt(
            "",
            "seconds",
            "time under faults, over all that is soaked",
            "S",
        );
        options.optopt(
            "",
            "only",
            "harness, proofreading, relays, engines, poison, crowd-stream, crowd-safe, crowd-unsafe, \
             piece-none, piece, piece-second, piece-two, silence-stream, silence-safe, silence-unsafe, limit \
             or restore; the first three if not given",
            "NAME",
        );
        options.optopt("", "logs", "directory for settings and logs", "DIR");
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        let number = |name: &str, default: u64| match matches.opt_str(name) {
            None => Ok(default),
            Some(text) => text
                .parse()
                .map_err(|_| Error::usage(format!("--{name} {text}: not a number"))),
        };
        let seconds = number("seconds", 60)?;
        if !(1..=MOST).contains(&seconds) {
            let message = format!("--seconds {seconds}: expected 1 to {MOST}");
            return Err(Error::usage(message));
        }
        let only = matches.opt_str("only");
        let known = |name: &String| {
            name == ENGINES
                || trouble(name).is_some()
                || DEPLOYMENTS.iter().any(|one| one.name == name)
        };
        if let Some(name) = only.as_ref().filter(|name| !known(name)) {
            let message = format!(
                "--only {name}: expected harness, proofreading, relays, engines, poison, crowd-stream, \
                     crowd-safe, crowd-unsafe, piece-none, piece, piece-second, piece-two, silence-stream, \
                     silence-safe, silence-unsafe, limit or restore"
            );
            return Err(Error::usage(message));
        }
        Ok(Self {
            only,
            seed: number("seed", 1)?,
            time: Duration::from_secs(seconds),
            logs: matches.opt_str("logs").map(PathBuf::from),
        })
    }

    async fn run(self, _common: &Common) -> Result<(), Error> {
        let own = std::env::temp_dir().join(format!("linnetdrift-torture-{}", std::process::id()));
        let logs = self.logs.unwrap_or(own);
        let wanted = |name: &str| self.only.as_ref().is_none_or(|only| only == name);
        let share = if self.only.is_some() {
            1
        } else {
            DEPLOYMENTS.len() + 1
        };
        let time = self.time / share as u32;
        let mut clean = true;
        let name = self.only.as_deref().unwrap_or(RELAYS);
        if let Some(trouble) = trouble(name) {
            let soaking = relays::soak(trouble, self.seed, time, logs.join(name), programs()?);
            let verdict = soaking.await?;
            clean &= verdict.is_clean();
            report(name, self.seed, time, &verdict.counts, &verdict.trails)?;
        }
        if self.only.as_deref() == Some(ENGINES) {
            let soaking = engines::soak(self.seed, time, logs.join(ENGINES), programs()?);
            let verdict = soaking.await?;
            clean &= verdict.is_clean();
            report(ENGINES, self.seed, time, &verdict.counts, &verdict.trails)?;
        }
        let deployments = (0..).zip(&DEPLOYMENTS);
        for (number, deployment) in deployments.filter(|(_, one)| wanted(one.name)) {
            let seed = self.seed.wrapping_mul(DEPLOYMENTS.len() as u64) + number;
            let tally = soak(deployment, seed, time, logs.join(deployment.name)).await?;
            clean &= tally.is_clean();
            report(
                deployment.name,
                self.seed,
                time,
                &tally.counts,
                &tally.trails,
            )?;
        }
        match clean {
            true => Ok(()),
            false => Err(Error::Failed {
                reason: format!(
                    "something happened that must not; logs in {}",
                    logs.display()
                ),
            }),
        }
    }
}

fn report(
    name: &str,
    seed: u64,
    time: Duration,
    counts: &impl Serialize,
    trails: &[String],
) -> Result<(), Error> {
    for trail in trails.iter().take(TRAILS) {
        eprintln!("{trail}");
    }
    let counts = serde_json::to_value(counts).unwrap_or_default();
    output::line(json!({
        "deployment": name, "seed": seed, "seconds": time.as_secs_f64(), "counts": counts,
    }))
}

/// Directory of the programs.
fn programs() -> Result<PathBuf, Error> {
    let own = std::env::current_exe().map_err(|error| Error::Failed {
        reason: error.to_string(),
    })?;
    Ok(own.parent().map(PathBuf::from).unwrap_or_default())
}

async fn soak(
    deployment: &Deployment,
    seed: u64,
    time: Duration,
    logs: PathBuf,
) -> Result<Tally, Error> {
    let programs = programs()?;
    let world = Arc::new(World::default());
    let mut bench = start(deployment, &world, logs, programs).await?;
    let ledger = Arc::new(Ledger::default());
    let watch = tokio::spawn(operators::watch(world.clone(), ledger.clone()));
    let races = operators::race(world.clone(), ledger.clone(), seed ^ 1, time);
    let races = tokio::spawn(races);
    let callers = demand::send(
        world.clone(),
        seed ^ 2,
        deployment.rate,
        deployment.mix,
        time,
    );
    let callers = tokio::spawn(callers);
    let mut faults = Faults::new(&mut bench, world.clone(), seed ^ 3);
    let done = faults.run(time).await;
    let counts = std::mem::take(&mut faults.counts);
    done?;
    let trails = callers.await.map_err(|error| panicked(&error))?;
    races.await.map_err(|error| panicked(&error))?;
    operators::audit(&world, &ledger).await;
    watch.abort();
    let log = settled_log(&bench).await?;
    bench.fleet.stop()?;
    let mut tally = tally::add_up(&trails, &log, &ledger.findings(), &world);
    tally.counts.accepted = ledger.accepted() as u64;
    tally.counts.faults = counts;
    Ok(tally)
}

async fn start(
    deployment: &Deployment,
    world: &World,
    logs: PathBuf,
    programs: PathBuf,
) -> Result<Bench, Error> {
    let mut bench = Bench::new(logs, programs).await?;
    for id in ["entry-1", "entry-2"] {
        let address = bench.entry(id).await?;
        world.born(id, address);
    }
    for (service, count) in deployment.runners {
        for number in 1..=count {
            let plan = Plan::new(service, CONCURRENCY).time(TIME_MS).relayed();
            bench.runner(&format!("{service}-{number}"), plan).await?;
        }
    }
    bench.ready().await?;
    Ok(bench)
}

/// All executions, once nothing runs any more.
async fn settled_log(bench: &Bench) -> Result<Log, Error> {
    until("nothing runs any more", || async {
        let log = log(bench).await;
        log.iter()
            .all(|(_, execution)| execution.ended != ExecutionStatus::Running)
    })
    .await?;
    Ok(log(bench).await)
}

async fn log(bench: &Bench) -> Log {
    let mut all = Log::new();
    for runner in &bench.runners {
        let log = runner.log().await.into_iter();
        all.extend(log.map(|execution| (runner.vm.id.clone(), execution)));
    }
    all
}

fn panicked(error: &tokio::task::JoinError) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}
