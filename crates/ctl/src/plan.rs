//! `plan`: what a directory of records would change.

use crate::command::{Command, Help};
use crate::operator::Records;
use crate::{Common, Error, Operator, check, option, output};
use getopts::{Matches, Options};
use record::{Document, Plan};
use std::path::PathBuf;

/// Shows what `apply` would change.
#[derive(Debug)]
pub struct Planning {
    directory: PathBuf,
    prune: bool,
}

impl Command for Planning {
    const HELP: Help = Help {
        name: "plan",
        arguments: "DIR",
        about: "Show what applying a directory of records would change",
    };

    fn declare(options: &mut Options) {
        declare_prune(options);
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        Ok(Self {
            directory: option::single(matches, "DIR")?.into(),
            prune: matches.opt_present("prune"),
        })
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        let directory = check::load_checked(&self.directory)?;
        let records = Operator::new(common)?.records().await?;
        let plan = plan(&records, directory.documents(), self.prune);
        output::print(common.format, &plan, &plan)
    }
}

/// Adds the option that deletes what a directory no longer holds.
pub fn declare_prune(options: &mut Options) {
    options.optflag(
        "",
        "prune",
        "delete records that the directory does not hold",
    );
}

/// Compares wanted documents with the records in force.
#[must_use]
pub fn plan(records: &Records, wanted: &[Document], prune: bool) -> Plan {
    let stored = records.records.iter();
    let in_force: Vec<Document> = stored.map(|each| each.document.clone()).collect();
    Plan::new(&in_force, wanted, prune)
}
