//! `experiment`: the naive and the shipped decisions, side by side, under load and faults.
//!
//! Each arm starts both deployments of `examples/` as separate processes on this machine, one after
//! the other, and sends them the same requests at the same times.
//!
//! * [`scenario`]: what is sent, and what goes wrong when
//! * [`deployment`]: services, runners and requests of the two deployments
//! * [`system`]: the processes of one deployment
//! * `settings`: what they are set to
//! * [`fault`]: carries out what goes wrong
//! * [`arm`]: one deployment under one policy, from its start to its figures
//! * [`ground`]: what the runners say that they ran
//! * [`outcome`]: the figures

pub mod arm;
pub mod deployment;
pub mod fault;
pub mod ground;
pub mod outcome;
pub mod scenario;
mod settings;
pub mod system;

use crate::command::{Command, Help};
use crate::{Common, Error, Format, option, output, signal};
use arm::Arm;
use deployment::DEPLOYMENTS;
use getopts::{Matches, Options};
use outcome::{ArmOutcome, Outcome};
use scenario::Scenario;
use setting::Policy;
use std::path::PathBuf;

/// Arms of every experiment and their names.
const ARMS: [(&str, Policy); 2] = [("naive", Policy::Naive), ("shipped", Policy::Shipped)];

/// Runs one scenario under both policies and prints one JSON object.
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
        about: "Measure the naive and the shipped decisions with the same requests",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "seed", "seed of all draws (1)", "N");
        options.optopt(
            "",
            "examples",
            "directory of the deployments (examples)",
            "DIR",
        );
        options.optopt(
            "",
            "deployment",
            "only this one: harness or proofreading",
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
            return Err(Error::usage(format!("--deployment `{name}`: no such one")));
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

    /// A run that is broken off ends its processes first; they would go on unseen otherwise.
    async fn run(self, _common: &Common) -> Result<(), Error> {
        tokio::select! {
            result = self.arms() => result,
            () = signal::wait_for_stop() => Err(Error::Failed {
                reason: "broken off by a signal".to_owned(),
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
