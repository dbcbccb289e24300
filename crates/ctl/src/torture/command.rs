//! `torture`: a bounded soak of both deployments under faults, from a seed.

use crate::command::{Command, Help};
use crate::torture::bench::Bench;
use crate::torture::demand::{self, Mix};
use crate::torture::fault::Faults;
use crate::torture::operators::{self, Ledger};
use crate::torture::probe::until;
use crate::torture::record::{ASSISTANT, LABEL, POOLS, REPORT};
use crate::torture::runner::Plan;
use crate::torture::tally::{self, Log, Tally};
use crate::torture::world::World;
use crate::{Common, Error, output};
use getopts::{Matches, Options};
use serde_json::json;
use standin::log::Ended;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

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

/// Soaks both deployments.
#[derive(Debug)]
pub struct Torture {
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
        options.optopt("", "seconds", "time under faults, both deployments", "S");
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
        Ok(Self {
            seed: number("seed", 1)?,
            time: Duration::from_secs(seconds),
            logs: matches.opt_str("logs").map(PathBuf::from),
        })
    }

    async fn run(self, _common: &Common) -> Result<(), Error> {
        let own = std::env::temp_dir().join(format!("linnetdrift-torture-{}", std::process::id()));
        let logs = self.logs.unwrap_or(own);
        let time = self.time / DEPLOYMENTS.len() as u32;
        let mut clean = true;
        for (number, deployment) in (0..).zip(&DEPLOYMENTS) {
            let seed = self.seed.wrapping_mul(DEPLOYMENTS.len() as u64) + number;
            let tally = soak(deployment, seed, time, logs.join(deployment.name)).await?;
            for trail in tally.trails.iter().take(TRAILS) {
                eprintln!("{trail}");
            }
            clean &= tally.is_clean();
            let counts = serde_json::to_value(&tally.counts).unwrap_or_default();
            output::line(json!({
                "deployment": deployment.name, "seed": self.seed, "seconds": time.as_secs_f64(),
                "counts": counts,
            }))?;
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

async fn soak(
    deployment: &Deployment,
    seed: u64,
    time: Duration,
    logs: PathBuf,
) -> Result<Tally, Error> {
    let programs = std::env::current_exe().map_err(|error| Error::Failed {
        reason: error.to_string(),
    })?;
    let programs = programs.parent().map(PathBuf::from).unwrap_or_default();
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
            .all(|(_, execution)| execution.ended != Ended::Running)
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
