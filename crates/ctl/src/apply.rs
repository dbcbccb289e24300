//! `apply`: applies a directory of records.

use crate::command::{Command, Help};
use crate::operator::{Change, Records};
use crate::{Common, Error, OperatorClient, check, option, output};
use getopts::{Matches, Options};
use record::plan::Action;
use record::{Document, Map, Plan, Revision};
use serde::Serialize;
use std::path::PathBuf;

/// Applies a directory of records atomically.
#[derive(Debug)]
pub struct Apply {
    directory: PathBuf,
    prune: bool,
}

#[derive(Serialize)]
struct Report<'a> {
    revision: Revision,
    #[serde(flatten)]
    plan: &'a Plan,
}

impl Command for Apply {
    const HELP: Help = Help {
        name: "apply",
        arguments: "DIR",
        about: "Bring a directory of records into force, all or none",
    };

    fn declare(options: &mut Options) {
        crate::plan::declare_prune(options);
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        Ok(Self {
            directory: option::single_argument(matches, "DIR")?.into(),
            prune: matches.opt_present("prune"),
        })
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        let directory = check::load_checked(&self.directory)?;
        let mut operator = OperatorClient::new(common)?;
        let records = operator.records().await?;
        let plan = crate::plan::plan(&records, &directory, self.prune)?;
        let mut revision = records.revision;
        if plan.pending().next().is_some() {
            let change = change(&records, &plan, directory.documents());
            revision = operator.apply(&change).await?.revision;
        }
        output::print(
            common.format,
            format_args!("{plan}\nin force at revision {revision}"),
            &Report {
                revision,
                plan: &plan,
            },
        )
    }
}

/// Converts a plan into a change based on the revisions that the plan was computed from.
fn change(records: &Records, plan: &Plan, wanted: &[Document]) -> Change {
    let revisions: Map<String, Revision> = records
        .records
        .iter()
        .map(|stored| (stored.document.key(), stored.revision))
        .collect();
    let mut change = Change::with_random_token();
    for pending in plan.pending() {
        let base = revisions.get(&pending.key).copied();
        change.base.insert(pending.key.clone(), base);
        if pending.action == Action::Delete {
            change.delete.push(pending.key.clone());
        }
    }
    let written = |document: &&Document| change.base.contains_key(&document.key());
    change.documents = wanted.iter().filter(written).cloned().collect();
    change
}
