//! `torture`: a soak test of limited length, under faults that are drawn from a seed.

use crate::command::{Command, Help};
use crate::rig::bench::Bench;
use crate::rig::probe::wait_until;
use crate::rig::record::{ASSISTANT, LABEL, POOLS, REPORT};
use crate::rig::runner::Plan;
use crate::torture::demand::{self, Mix};
use crate::torture::engines;
use crate::torture::fault::Faults;
use crate::torture::operators::{self, AuditLog};
use crate::torture::relays::{self, Scenario};
use crate::torture::state::SoakState;
use crate::torture::tally::{self, Log, Tally};
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
const MAX_SECONDS: u64 = 3_600;
/// Violations that are printed at most.
const MAX_PRINTED_VIOLATIONS: usize = 10;
/// Calls that a runner gets at once.
const CONCURRENCY: u32 = 4;
/// Time that a pool or a plain service takes for a call and an engine for a token, in milliseconds.
const WORK_MS: f64 = 3.0;

/// A small deployment.
struct Deployment {
    name: &'static str,
    /// Runners of each service.
    runners: [(&'static str, usize); 6],
    /// Requests per second outside bursts.
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

/// Name of the soak of engines that are replaced, crash and return.
const ENGINES: &str = "engines";
/// Name of the soak of relays, which runs in addition to those of the deployments.
const RELAYS: &str = "relays";

/// The scenario of the soak of relays with the given name.
fn scenario(name: &str) -> Option<Scenario> {
    match name {
        RELAYS => Some(Scenario::Drawn),
        "poison" => Some(Scenario::Poison),
        "crowd-stream" => Some(Scenario::Crowd(Kind::Once)),
        "crowd-safe" => Some(Scenario::Crowd(Kind::Safe)),
        "crowd-unsafe" => Some(Scenario::Crowd(Kind::Unsafe)),
        "piece-none" => Some(Scenario::Piece {
            requests: 0,
            stage: 0,
        }),
        "piece" => Some(Scenario::Piece {
            requests: 1,
            stage: 0,
        }),
        "piece-second" => Some(Scenario::Piece {
            requests: 1,
            stage: 1,
        }),
        "piece-two" => Some(Scenario::Piece {
            requests: 2,
            stage: 0,
        }),
        "part-stream" => Some(Scenario::Part(Kind::Stream)),
        "part-once" => Some(Scenario::Part(Kind::Once)),
        "silence-stream" => Some(Scenario::Silence(Kind::Stream)),
        "silence-safe" => Some(Scenario::Silence(Kind::Safe)),
        "silence-unsafe" => Some(Scenario::Silence(Kind::Unsafe)),
        "limit" => Some(Scenario::Limit),
        "notices" => Some(Scenario::Notices),
        "flood" => Some(Scenario::Flood),
        "restore" => Some(Scenario::Restore),
        "chain" => Some(Scenario::Chain),
        "stops" => Some(Scenario::Stops),
        _ => None,
    }
}

/// The `torture` subcommand.
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
             piece-none, piece, piece-second, piece-two, part-stream, part-once, silence-stream, silence-safe, silence-unsafe, limit, notices, \
             flood, restore, chain or stops; the first three if not given",
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
        if !(1..=MAX_SECONDS).contains(&seconds) {
            let message = format!("--seconds {seconds}: expected 1 to {MAX_SECONDS}");
            return Err(Error::usage(message));
        }
        let only = matches.opt_str("only");
        let known = |name: &String| {
            name == ENGINES
                || scenario(name).is_some()
                || DEPLOYMENTS.iter().any(|one| one.name == name)
        };
        if let Some(name) = only.as_ref().filter(|name| !known(name)) {
            let message = format!(
                "--only {name}: expected harness, proofreading, relays, engines, poison, crowd-stream, \
                     crowd-safe, crowd-unsafe, piece-none, piece, piece-second, piece-two, part-stream, part-once, silence-stream, \
                     silence-safe, silence-unsafe, limit, notices, flood, restore, chain or stops"
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
        if let Some(scenario) = scenario(name) {
            let soak = relays::soak(scenario, self.seed, time, logs.join(name), programs()?);
            let verdict = soak.await?;
            clean &= verdict.is_clean();
            report(name, self.seed, time, &verdict.counts, &verdict.violations)?;
        }
        if self.only.as_deref() == Some(ENGINES) {
            let soak = engines::soak(self.seed, time, logs.join(ENGINES), programs()?);
            let verdict = soak.await?;
            clean &= verdict.is_clean();
            report(
                ENGINES,
                self.seed,
                time,
                &verdict.counts,
                &verdict.violations,
            )?;
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
                &tally.violations,
            )?;
        }
        match clean {
            true => Ok(()),
            false => Err(Error::Failed {
                reason: format!("guarantees were violated; logs in {}", logs.display()),
            }),
        }
    }
}

fn report(
    name: &str,
    seed: u64,
    time: Duration,
    counts: &impl Serialize,
    violations: &[String],
) -> Result<(), Error> {
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        eprintln!("{violation}");
    }
    let counts = serde_json::to_value(counts).unwrap_or_default();
    output::line(json!({
        "deployment": name, "seed": seed, "seconds": time.as_secs_f64(), "counts": counts,
    }))
}

/// Directory of the executables.
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
    let state = Arc::new(SoakState::default());
    let mut bench = start_deployment(deployment, &state, logs, programs).await?;
    let audit_log = Arc::new(AuditLog::default());
    let monitor = tokio::spawn(operators::monitor(state.clone(), audit_log.clone()));
    let operator_task = operators::race(state.clone(), audit_log.clone(), seed ^ 1, time);
    let operator_task = tokio::spawn(operator_task);
    let callers = demand::send(
        state.clone(),
        seed ^ 2,
        deployment.rate,
        deployment.mix,
        time,
    );
    let callers = tokio::spawn(callers);
    let mut faults = Faults::new(&mut bench, state.clone(), seed ^ 3);
    let done = faults.run(time).await;
    let counts = std::mem::take(&mut faults.counts);
    done?;
    let traces = callers.await.map_err(|error| task_error(&error))?;
    operator_task.await.map_err(|error| task_error(&error))?;
    operators::audit(&state, &audit_log).await;
    monitor.abort();
    let log = read_final_log(&bench).await?;
    bench.fleet.stop()?;
    let mut tally = tally::summarize(&traces, &log, &audit_log.violations(), &state);
    tally.counts.accepted = audit_log.accepted() as u64;
    tally.counts.faults = counts;
    Ok(tally)
}

async fn start_deployment(
    deployment: &Deployment,
    state: &SoakState,
    logs: PathBuf,
    programs: PathBuf,
) -> Result<Bench, Error> {
    let mut bench = Bench::new(logs, programs).await?;
    for id in ["entry-1", "entry-2"] {
        let address = bench.entry(id).await?;
        state.add_process(id, address);
    }
    for (service, count) in deployment.runners {
        for number in 1..=count {
            let plan = Plan::new(service, CONCURRENCY).time(WORK_MS).behind_proxy();
            bench.runner(&format!("{service}-{number}"), plan).await?;
        }
    }
    bench.ready().await?;
    Ok(bench)
}

/// All executions, once all of them have ended.
async fn read_final_log(bench: &Bench) -> Result<Log, Error> {
    wait_until("nothing runs any more", || async {
        let log = read_log(bench).await;
        log.iter()
            .all(|(_, execution)| execution.ended != ExecutionStatus::Running)
    })
    .await?;
    Ok(read_log(bench).await)
}

async fn read_log(bench: &Bench) -> Log {
    let mut all = Log::new();
    for runner in &bench.runners {
        let log = runner.log().await.into_iter();
        all.extend(log.map(|execution| (runner.vm.id.clone(), execution)));
    }
    all
}

fn task_error(error: &tokio::task::JoinError) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}
