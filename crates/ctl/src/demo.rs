//! `demo`: runs a complete deployment on one machine, as separate processes.

mod scenario;

use crate::command::{Command, Help};
use crate::deployment::{Deployment, Plan, Runner};
use crate::fleet::Fleet;
use crate::{Common, Error, option, output};
use getopts::{Matches, Options};
use standin::Kind;
use std::path::PathBuf;

/// Starts a deployment, sends requests to it and checks what its runners executed.
#[derive(Debug)]
pub struct Demo {
    records: PathBuf,
    logs: Option<PathBuf>,
}

impl Command for Demo {
    const HELP: Help = Help {
        name: "demo",
        arguments: "DIR",
        about: "Start examples/harness/records on this machine and check what runs",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "logs", "directory for settings and logs", "DIR");
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        let logs = matches.opt_str("logs").map(PathBuf::from);
        Ok(Self {
            records: option::single_argument(matches, "DIR")?.into(),
            logs,
        })
    }

    async fn run(self, _common: &Common) -> Result<(), Error> {
        let default_logs =
            std::env::temp_dir().join(format!("linnetdrift-demo-{}", std::process::id()));
        let logs = self.logs.as_ref().unwrap_or(&default_logs);
        output::line(format_args!("settings and logs: {}", logs.display()))?;
        let mut fleet = Fleet::new(logs)?;
        let deployment = Deployment::start(&mut fleet, plan()).await?;
        let (agents, entries) = (deployment.agents.len(), deployment.entries.len());
        output::line(format_args!(
            "started 4 platform stand-ins, {agents} runners with an agent each, {entries} entries"
        ))?;
        let result = scenario::run(&fleet, &deployment, &self.records).await;
        output::line("stopping every process with SIGTERM")?;
        let stopped = fleet.stop();
        result.and(stopped)?;
        if self.logs.is_none() {
            // The settings and logs are only needed after a failure.
            let _ = std::fs::remove_dir_all(&default_logs);
        }
        output::line("all counts are right, every process ended with 0")
    }
}

/// Returns the runners that match the records of the example.
fn plan() -> Plan {
    Plan {
        runners: vec![
            Runner::new("encoder-a1", "encoder", Kind::Pool, "encode"),
            Runner::new("retriever-b1", "retriever", Kind::Pool, "retrieve"),
            Runner::new("reranker-c1", "reranker", Kind::Pool, "rerank"),
            Runner::new("assistant-a1", "assistant", Kind::Engine, "generate"),
            Runner::new("assistant-b1", "assistant", Kind::Engine, "generate"),
            Runner::new("label-d1", "label", Kind::Plain, "print"),
        ],
        ..Plan::default()
    }
}
