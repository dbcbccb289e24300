//! Records in files: JSON with comments, one document or a list of them per file.

use crate::finding::{Finding, Findings};
use crate::text::Text;
use crate::{Document, Kind, check, schema, shape};
use serde::Deserialize;
use serde_json::Value;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};

/// Extensions of the files that contain records.
const EXTENSIONS: [&str; 2] = ["json", "jsonc"];

/// A file or directory that could not be read.
#[derive(Debug, Snafu)]
#[snafu(display("{}: {source}", path.display()))]
pub struct Error {
    path: PathBuf,
    source: std::io::Error,
}

/// Documents read from files, with their locations for findings.
#[derive(Debug, Default)]
pub struct Directory {
    documents: Vec<Document>,
    locations: Vec<Location>,
    texts: Vec<Text>,
    findings: Vec<Finding>,
}

/// Location of a document: the index of its text and the path within it.
#[derive(Debug)]
struct Location {
    text: usize,
    path: String,
}

/// Reads a file, or all `*.json` and `*.jsonc` files of a directory in the order of their names.
///
/// # Errors
///
/// [`Error`] if a file cannot be read; faults within files are reported by [`Directory::check`].
pub fn load(path: impl AsRef<Path>) -> Result<Directory, Error> {
    let mut directory = Directory::default();
    for path in files(path.as_ref())? {
        let text = std::fs::read_to_string(&path).context(Snafu { path: &path })?;
        directory.add(&text, &path.display().to_string());
    }
    Ok(directory)
}

fn files(path: &Path) -> Result<Vec<PathBuf>, Error> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path).context(Snafu { path })?;
    let paths: Result<Vec<PathBuf>, _> = entries.map(|entry| entry.map(|e| e.path())).collect();
    let mut paths = paths.context(Snafu { path })?;
    paths.retain(|path| {
        let extension = path.extension().and_then(|extension| extension.to_str());
        path.is_file() && extension.is_some_and(|extension| EXTENSIONS.contains(&extension))
    });
    paths.sort();
    Ok(paths)
}

impl Directory {
    /// The documents that could be parsed.
    #[must_use]
    pub fn documents(&self) -> &[Document] {
        &self.documents
    }

    /// Adds the documents of a text.
    pub fn add(&mut self, text: &str, origin: &str) {
        let text = match Text::parse(text, origin) {
            Ok(text) => text,
            Err(finding) => return self.findings.push(finding),
        };
        self.findings.extend(text.findings.iter().cloned());
        match &text.value {
            Value::Array(elements) => {
                for (index, element) in elements.iter().enumerate() {
                    self.add_document(&text, element, format!("[{index}]"));
                }
            }
            value => self.add_document(&text, value, String::new()),
        }
        self.texts.push(text);
    }

    /// All findings in the files: in each document on its own, and between them.
    #[must_use]
    pub fn check(&self) -> Findings {
        self.check_with(&[])
    }

    /// As [`Directory::check`], with other documents that stay in force in addition to those of
    /// the files.
    #[must_use]
    pub fn check_with(&self, others: &[Document]) -> Findings {
        let mut findings = self.check_each().0;
        let all = [&self.documents, others].concat();
        check::check_references(&all, &mut |index, path, message| {
            findings.push(match index < self.documents.len() {
                true => self.finding(index, path, message),
                false => Finding::new(all[index].key(), path, message),
            });
        });
        sorted(findings)
    }

    /// All findings in each document on its own, for files that contain only some of a deployment's
    /// records.
    #[must_use]
    pub fn check_each(&self) -> Findings {
        let mut findings = self.findings.clone();
        for (index, document) in self.documents.iter().enumerate() {
            check::cross_field(document, &mut |path, message| {
                findings.push(self.finding(index, path, message));
            });
        }
        sorted(findings)
    }

    fn finding(&self, index: usize, path: &str, message: String) -> Finding {
        let Location { text, path: parent } = &self.locations[index];
        self.texts[*text].finding(&join_path(parent, path), message)
    }

    fn add_document(&mut self, text: &Text, value: &Value, path: String) {
        let kind = value
            .get("kind")
            .and_then(|kind| Kind::deserialize(kind).ok());
        let shape = kind.map_or(&schema::COMMON, schema::shape);
        let schema = value.get("schema").and_then(Value::as_u64);
        let schema = schema.and_then(|schema| schema.try_into().ok());
        let schema = schema.unwrap_or(schema::NEWEST);
        shape::check(value, shape, schema, &path, &mut |path, message| {
            self.findings.push(text.finding(path, message));
        });
        if let Ok(document) = Document::deserialize(value) {
            self.documents.push(document);
            self.locations.push(Location {
                text: self.texts.len(),
                path,
            });
        }
    }
}

fn join_path(parent: &str, path: &str) -> String {
    match (parent, path) {
        (_, "") => parent.to_owned(),
        ("", _) => path.to_owned(),
        _ => format!("{parent}.{path}"),
    }
}

fn sorted(mut findings: Vec<Finding>) -> Findings {
    findings.sort_by(|a, b| (&a.origin, a.position).cmp(&(&b.origin, b.position)));
    Findings(findings)
}
