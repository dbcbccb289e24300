//! `history`: prints the accepted changes.

use crate::command::{Command, Help};
use crate::{Common, Error, Format, OperatorClient, option, output};
use getopts::{Matches, Options};
use record::{Document, Revision};
use serde::{Deserialize, Serialize};

/// Number of changes that are printed if no limit is given.
const DEFAULT_LIMIT: u32 = 100;

/// Prints accepted changes.
#[derive(Debug)]
pub struct History {
    after: Revision,
    limit: u32,
}

#[derive(Serialize, Deserialize)]
struct Changes {
    changes: Vec<Accepted>,
}

#[derive(Serialize, Deserialize)]
struct Accepted {
    revision: Revision,
    operator: String,
    token: String,
    documents: Vec<Document>,
    delete: Vec<String>,
}

impl Command for History {
    const HELP: Help = Help {
        name: "history",
        arguments: "",
        about: "Print the accepted changes, oldest first",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "after", "start after this revision", "REVISION");
        options.optopt("", "limit", "changes to print at most", "COUNT");
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        option::no_arguments(matches)?;
        Ok(Self {
            after: option::parse(matches, "after")?.unwrap_or_default(),
            limit: option::parse(matches, "limit")?.unwrap_or(DEFAULT_LIMIT),
        })
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        let Self { after, limit } = self;
        let path = format!("/v1/history?after={after}&limit={limit}");
        let changes: Changes = OperatorClient::new(common)?.read(&path).await?;
        if common.format == Format::Json {
            return output::json(&changes);
        }
        changes
            .changes
            .iter()
            .try_for_each(|change| output::line(show(change)))
    }
}

fn show(change: &Accepted) -> String {
    let written = change.documents.iter().map(Document::key);
    let deleted = change.delete.iter().map(|key| format!("-{key}"));
    let keys: Vec<String> = written.chain(deleted).collect();
    format!("{} {} {}", change.revision, change.operator, keys.join(" "))
}
