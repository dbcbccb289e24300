//! `drain` and `undrain`: control whether a VM gets new work.

use crate::command::{Command, Help};
use crate::operator::Change;
use crate::{Common, Error, OperatorClient, option, output};
use getopts::Matches;
use record::{Document, Kind, Revision, schema};
use serde::Serialize;

/// Stops assigning new work to a VM.
#[derive(Debug)]
pub struct Drain {
    vm: String,
}

/// Resumes assigning new work to a VM.
#[derive(Debug)]
pub struct Undrain {
    vm: String,
}

#[derive(Serialize)]
struct Report<'a> {
    vm: &'a str,
    drained: bool,
    revision: Option<Revision>,
}

impl Command for Drain {
    const HELP: Help = Help {
        name: "drain",
        arguments: "VM",
        about: "Give a VM no new work; what it runs goes on to its end",
    };

    fn parse(matches: &Matches) -> Result<Self, Error> {
        vm(matches).map(|vm| Self { vm })
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        set_drained(common, &self.vm, true).await
    }
}

impl Command for Undrain {
    const HELP: Help = Help {
        name: "undrain",
        arguments: "VM",
        about: "Give a drained VM new work again",
    };

    fn parse(matches: &Matches) -> Result<Self, Error> {
        vm(matches).map(|vm| Self { vm })
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        set_drained(common, &self.vm, false).await
    }
}

fn vm(matches: &Matches) -> Result<String, Error> {
    option::path_safe(option::single_argument(matches, "VM")?, "VM")
}

async fn set_drained(common: &Common, vm: &str, drained: bool) -> Result<(), Error> {
    let mut operator = OperatorClient::new(common)?;
    let wanted = Document {
        schema: schema::OLDEST,
        kind: Kind::Drain,
        name: vm.to_owned(),
        version: 0,
        body: serde_json::Map::new(),
    };
    let key = wanted.key();
    let base = operator.record(&key).await?.map(|stored| stored.revision);
    let mut revision = base;
    if base.is_some() != drained {
        let mut change = Change::with_random_token();
        change.base.insert(key.clone(), base);
        match drained {
            true => change.documents.push(wanted),
            false => change.delete.push(key),
        }
        revision = Some(operator.apply(&change).await?.revision);
    }
    let state = if drained { "drained" } else { "not drained" };
    output::print(
        common.format,
        format_args!("{vm} is {state}"),
        &Report {
            vm,
            drained,
            revision,
        },
    )
}
