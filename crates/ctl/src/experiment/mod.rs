//! `experiment`: compares the naive and the shipped policy under load and faults.
//!
//! Each arm starts both deployments of `examples/` as separate processes on this machine, one after
//! the other, and sends each the same requests at the same times.
//!
//! * [`scenario`]: which requests are sent, and which faults occur when
//! * [`deployment`]: services, runners and requests of the two deployments
//! * [`system`]: the processes of one deployment
//! * `settings`: their settings
//! * [`fault`]: injects faults
//! * [`arm`]: runs one deployment under one policy and collects its results
//! * [`execution`]: the executions that the runners have logged
//! * [`outcome`]: the results

pub mod arm;
pub mod deployment;
pub mod execution;
pub mod fault;
pub mod outcome;
pub mod scenario;
mod settings;
pub mod system;

use crate::command::{Command, Help};
use crate::signal::StopSignals;
use crate::{Common, Error, Format, option, output};
use arm::Arm;
use deployment::DEPLOYMENTS;
use getopts::{Matches, Options};
use outcome::{ArmOutcome, Outcome};
use scenario::Scenario;
use setting::Policy;
use std::path::PathBuf;

/// Arms of every experiment, with their names and policies.
const ARMS: [(&str, Policy); 2] = [("naive", Policy::Naive), ("shipped", Policy::Shipped)];

/// Runs one scenario under both policies and prints the results as one JSON object.
#[derive(Debug)]
pub struct Experiment {
    scenario: Scenario,
    seed: u64,
    examples: PathBuf,
    only: Option<String>,
}

impl Command for Experiment {
    const HELP: Help = Help {
        name: "experiment",
        arguments: "SCENARIO",
        about: "Compare the naive and the shipped policy with the same requests",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "seed", "seed of all random draws (1)", "N");
        options.optopt(
            "",
            "examples",
            "directory of the deployments (examples)",
            "DIR",
        );
        options.optopt(
            "",
            "deployment",
            "run only this deployment: harness or proofreading",
            "NAME",
        );
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        let text = option::single_argument(matches, "SCENARIO")?;
        let scenario = text
            .parse()
            .map_err(|error| Error::usage(format!("SCENARIO `{text}`: {error}")))?;
        let only = matches.opt_str("deployment");
        if let Some(name) = &only
            && !DEPLOYMENTS.iter().any(|one| one.name == name)
        {
            return Err(Error::usage(format!(
                "--deployment `{name}`: there is no such deployment"
            )));
        }
        Ok(Self {
            scenario,
            seed: option::parse(matches, "seed")?.unwrap_or(1),
            examples: matches
                .opt_str("examples")
                .unwrap_or("examples".to_owned())
                .into(),
            only,
        })
    }

    /// Ends the child processes when it is interrupted by a signal, since they would go on otherwise.
    async fn run(self, _common: &Common) -> Result<(), Error> {
        tokio::select! {
            result = self.arms() => result,
            () = StopSignals::install().wait() => Err(Error::Failed {
                reason: "interrupted by a signal".to_owned(),
            }),
        }
    }
}

impl Experiment {
    async fn arms(&self) -> Result<(), Error> {
        let mut arms = Vec::new();
        for (name, policy) in ARMS {
            arms.push(self.arm(name, policy).await?);
        }
        let outcome = Outcome {
            scenario: self.scenario.to_string(),
            seed: self.seed,
            arms,
        };
        output::print(Format::Json, "", &outcome)
    }

    async fn arm(&self, name: &str, policy: Policy) -> Result<ArmOutcome, Error> {
        let mut parts = Vec::new();
        let wanted = |name: &str| self.only.as_ref().is_none_or(|only| only == name);
        for deployment in DEPLOYMENTS.iter().filter(|one| wanted(one.name)) {
            let arm = Arm {
                deployment,
                policy,
                plan: self.scenario.plan(deployment, self.seed),
                records: self.examples.join(deployment.name).join("records"),
                seed: self.seed,
            };
            parts.push(arm.run().await?);
        }
        Ok(ArmOutcome::new(name, parts))
    }
}
