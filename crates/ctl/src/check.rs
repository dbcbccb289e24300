//! `check`: validates settings and records as the daemon and the entries do.

use crate::command::{Command, Help};
use crate::error::FileSnafu;
use crate::{Common, Error, output};
use getopts::Matches;
use record::{Directory, Findings, Text, directory};
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// Field that every record has and no settings file has.
const RECORD_FIELD: &str = "kind";
/// Field that an agent's settings have and an entry's settings do not.
const AGENT_FIELD: &str = "runner";

/// Validates files and directories.
#[derive(Debug)]
pub struct Check {
    paths: Vec<PathBuf>,
}

#[derive(Serialize)]
struct Report {
    files: usize,
    findings: Findings,
}

impl Command for Check {
    const HELP: Help = Help {
        name: "check",
        arguments: "FILE|DIR...",
        about: "Check settings files, and record files or directories",
    };

    fn parse(matches: &Matches) -> Result<Self, Error> {
        let paths: Vec<PathBuf> = matches.free.iter().map(PathBuf::from).collect();
        match paths.is_empty() {
            true => Err(Error::usage("FILE or DIR is missing")),
            false => Ok(Self { paths }),
        }
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        let mut findings = Findings::default();
        for path in &self.paths {
            findings.0.extend(check(path)?.0);
        }
        let files = self.paths.len();
        ensure_no_findings(findings.clone())?;
        output::print(
            common.format,
            format_args!("{files} checked, nothing found"),
            &Report { files, findings },
        )
    }
}

fn check(path: &Path) -> Result<Findings, Error> {
    if path.is_dir() {
        return records(path);
    }
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let origin = path.display().to_string();
    let Ok(parsed) = Text::parse(&text, &origin) else {
        return records(path);
    };
    let has = |field: &str| parsed.value.get(field).is_some();
    let result = match &parsed.value {
        Value::Array(_) => return records(path),
        Value::Object(_) if has(RECORD_FIELD) => return records(path),
        _ if has(AGENT_FIELD) => setting::agent::parse(&text, &origin).map(drop),
        _ => setting::entry::parse(&text, &origin).map(drop),
    };
    Ok(result.err().unwrap_or_default())
}

/// Checks records. References between records are checked for a directory only, as it contains a
/// complete deployment; a single file may refer to services that another file defines.
fn records(path: &Path) -> Result<Findings, Error> {
    let directory = load(path)?;
    Ok(match path.is_dir() {
        true => directory.check(),
        false => directory.check_each(),
    })
}

fn load(path: &Path) -> Result<Directory, Error> {
    directory::load(path).map_err(|error| Error::usage(error.to_string()))
}

/// Loads records and checks each of them separately.
///
/// # Errors
///
/// [`Error::Usage`] if a file cannot be read, or [`Error::Invalid`] if a record is invalid.
pub fn load_checked(path: &Path) -> Result<Directory, Error> {
    let directory = load(path)?;
    ensure_no_findings(directory.check_each())?;
    Ok(directory)
}

/// Returns an error if there are any findings.
///
/// # Errors
///
/// [`Error::Invalid`] with the findings.
pub fn ensure_no_findings(findings: Findings) -> Result<(), Error> {
    let result = findings.into_result();
    result.map_err(|findings| Error::Invalid { findings })
}
