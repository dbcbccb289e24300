//! `status`: prints the state of an entry.

use crate::command::{Command, Help};
use crate::{Common, Error, OperatorClient, option, output};
use getopts::Matches;
use record::Revision;
use serde::{Deserialize, Serialize};

/// Prints the revision, readiness and targets of an entry.
#[derive(Debug)]
pub struct Status;

#[derive(Serialize, Deserialize)]
struct Entry {
    id: String,
    revision: Revision,
    #[serde(default)]
    ready: bool,
    head_age_ms: Option<u64>,
    draining: bool,
    targets: Vec<Target>,
}

#[derive(Serialize, Deserialize)]
struct Target {
    id: String,
    service: String,
    domain: String,
    state: String,
    in_flight: u64,
}

impl Command for Status {
    const HELP: Help = Help {
        name: "status",
        arguments: "",
        about: "Print an entry's revision and its targets",
    };

    fn parse(matches: &Matches) -> Result<Self, Error> {
        option::no_arguments(matches).map(|()| Self)
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        let entry: Entry = OperatorClient::new(common)?.read("/v1/status").await?;
        output::print(common.format, show(&entry), &entry)
    }
}

fn show(entry: &Entry) -> String {
    let age = entry
        .head_age_ms
        .map_or("unknown".to_owned(), |age| format!("{age} ms"));
    let state = match (entry.draining, entry.ready) {
        (true, _) => ", draining",
        (false, true) => "",
        (false, false) => ", not ready",
    };
    let head = format!(
        "{} at revision {}, read {age} ago{state}",
        entry.id, entry.revision
    );
    let targets = entry.targets.iter().map(|target| {
        let Target {
            id,
            service,
            domain,
            state,
            in_flight,
        } = target;
        format!("\n  {id:<20} {service:<20} {domain:<8} {state:<10} {in_flight}")
    });
    std::iter::once(head).chain(targets).collect()
}
