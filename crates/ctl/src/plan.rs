//! `plan`: shows what applying a directory of records would change.

use crate::command::{Command, Help};
use crate::operator::Records;
use crate::{Common, Error, OperatorClient, check, option, output};
use getopts::{Matches, Options};
use record::{Directory, Document, Plan};
use std::collections::HashSet;
use std::path::PathBuf;

/// Shows the changes that `apply` would make.
#[derive(Debug)]
pub struct PlanCommand {
    directory: PathBuf,
    prune: bool,
}

impl Command for PlanCommand {
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
            directory: option::single_argument(matches, "DIR")?.into(),
            prune: matches.opt_present("prune"),
        })
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        let directory = check::load_checked(&self.directory)?;
        let records = OperatorClient::new(common)?.records().await?;
        let plan = plan(&records, &directory, self.prune)?;
        output::print(common.format, &plan, &plan)
    }
}

/// Declares the option to delete records that the directory does not contain.
pub fn declare_prune(options: &mut Options) {
    options.optflag(
        "",
        "prune",
        "delete records that the directory does not hold",
    );
}

/// Compares the records of a directory with the records in force.
///
/// # Errors
///
/// [`Error::Invalid`] if the records are inconsistent with those that stay in force.
pub fn plan(records: &Records, directory: &Directory, prune: bool) -> Result<Plan, Error> {
    let stored = records.records.iter();
    let in_force: Vec<Document> = stored.map(|each| each.document.clone()).collect();
    let plan = Plan::new(&in_force, directory.documents(), prune);
    let planned: HashSet<&String> = plan.changes.iter().map(|change| &change.key).collect();
    let stays = |document: &Document| !planned.contains(&document.key());
    let others: Vec<Document> = in_force.into_iter().filter(stays).collect();
    check::ensure_no_findings(directory.check_with(&others))?;
    Ok(plan)
}
