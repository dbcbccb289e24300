//! `get`: prints the records in force.

use crate::command::{Command, Help};
use crate::operator::StoredRecord;
use crate::{Common, Error, Format, OperatorClient, option, output};
use getopts::Matches;

/// Prints one record or all records.
#[derive(Debug)]
pub struct Get {
    key: Option<String>,
}

impl Command for Get {
    const HELP: Help = Help {
        name: "get",
        arguments: "[KEY]",
        about: "Print the records in force, or the one of a key such as pipeline/review@2",
    };

    fn parse(matches: &Matches) -> Result<Self, Error> {
        if matches.free.is_empty() {
            return Ok(Self { key: None });
        }
        let key = option::path_safe(option::single_argument(matches, "KEY")?, "KEY")?;
        Ok(Self { key: Some(key) })
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        let operator = OperatorClient::new(common)?;
        if let Some(key) = &self.key {
            let stored = operator.record(key).await?.ok_or_else(|| Error::Failed {
                reason: format!("there is no record `{key}`"),
            })?;
            return output::print(common.format, show(&stored), &stored);
        }
        let records = operator.records().await?;
        if common.format == Format::Json {
            return output::json(&records);
        }
        records
            .records
            .iter()
            .try_for_each(|stored| output::line(show(stored)))?;
        output::line(format_args!("revision {}", records.revision))
    }
}

fn show(stored: &StoredRecord) -> String {
    let (key, revision) = (stored.document.key(), stored.revision);
    let fields = stored.document.value();
    format!("// {key}, written by revision {revision}\n{fields:#}")
}
