//! Differences between desired documents and those in force.

use crate::text::field_path;
use crate::{Document, Kind, Map, merge};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeSet, HashSet};
use std::fmt;

/// Action on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// The record does not exist.
    Create,
    /// The record in force differs.
    Update,
    /// The record is in force and no longer desired.
    Delete,
    /// The record in force is the same.
    Unchanged,
}

/// One value that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path within the record.
    pub path: String,
    /// Value in force.
    pub before: Option<Value>,
    /// Desired value.
    pub after: Option<Value>,
}

/// Change of one record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Key of the record.
    pub key: String,
    /// Action on the record.
    pub action: Action,
    /// Values that differ, for an update.
    pub fields: Vec<Difference>,
}

/// Changes of all records, in the order of the desired ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// One change for each record.
    pub changes: Vec<Change>,
}

impl Plan {
    /// Compares desired documents with those in force.
    ///
    /// With `prune`, records that are not desired are deleted, except for drains: operators set
    /// those by a separate command, and a deployment from a directory must not undo them.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = r#"{"schema": 1, "kind": "workspace", "name": "ferry-yard", "share": 3}"#;
    /// let document: record::Document = serde_json::from_str(text).unwrap();
    /// let plan = record::Plan::new(&[], &[document], false);
    /// assert_eq!(plan.to_string(), "+ workspace/ferry-yard\n1 create, 0 update, 0 delete, 0 unchanged");
    /// ```
    #[must_use]
    pub fn new(in_force: &[Document], desired: &[Document], prune: bool) -> Self {
        let stored: Map<String, &Document> =
            in_force.iter().map(|each| (each.key(), each)).collect();
        let mut changes: Vec<Change> = desired
            .iter()
            .map(|document| change(stored.get(&document.key()).copied(), document))
            .collect();
        if prune {
            changes.extend(deletions(in_force, desired));
        }
        Self { changes }
    }

    /// Changes other than [`Action::Unchanged`].
    pub fn pending(&self) -> impl Iterator<Item = &Change> {
        let pending = |change: &&Change| change.action != Action::Unchanged;
        self.changes.iter().filter(pending)
    }

    fn count(&self, action: Action) -> usize {
        let same = |change: &&Change| change.action == action;
        self.changes.iter().filter(same).count()
    }
}

fn change(stored: Option<&Document>, desired: &Document) -> Change {
    let key = desired.key();
    let Some(stored) = stored else {
        return Change {
            key,
            action: Action::Create,
            fields: Vec::new(),
        };
    };
    let mut fields = Vec::new();
    let (before, after) = (stored.value(), merge(stored, desired).value());
    compare("", Some(&before), Some(&after), &mut fields);
    let action = match fields.is_empty() {
        true => Action::Unchanged,
        false => Action::Update,
    };
    Change {
        key,
        action,
        fields,
    }
}

fn deletions(in_force: &[Document], desired: &[Document]) -> impl Iterator<Item = Change> {
    let desired: HashSet<String> = desired.iter().map(Document::key).collect();
    in_force
        .iter()
        .filter(|document| document.kind != Kind::Drain)
        .map(Document::key)
        .filter(move |key| !desired.contains(key))
        .map(|key| Change {
            key,
            action: Action::Delete,
            fields: Vec::new(),
        })
}

fn compare(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    match (before, after) {
        (Some(Value::Object(before)), Some(Value::Object(after))) => {
            let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
            for name in names {
                let path = field_path(path, name);
                compare(&path, before.get(name), after.get(name), differences);
            }
        }
        (Some(Value::Array(before)), Some(Value::Array(after))) => {
            for index in 0..before.len().max(after.len()) {
                let path = format!("{path}[{index}]");
                compare(&path, before.get(index), after.get(index), differences);
            }
        }
        _ if before == after => {}
        _ => differences.push(Difference {
            path: path.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        }),
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in self.pending() {
            writeln!(formatter, "{change}")?;
        }
        let [create, update, delete, unchanged] = [
            Action::Create,
            Action::Update,
            Action::Delete,
            Action::Unchanged,
        ]
        .map(|action| self.count(action));
        write!(
            formatter,
            "{create} create, {update} update, {delete} delete, {unchanged} unchanged"
        )
    }
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let symbol = match self.action {
            Action::Create => '+',
            Action::Update => '~',
            Action::Delete => '-',
            Action::Unchanged => ' ',
        };
        write!(formatter, "{symbol} {}", self.key)?;
        for Difference {
            path,
            before,
            after,
        } in &self.fields
        {
            let (before, after) = (format_value(before.as_ref()), format_value(after.as_ref()));
            write!(formatter, "\n    {path}: {before} -> {after}")?;
        }
        Ok(())
    }
}

fn format_value(value: Option<&Value>) -> String {
    value.map_or("(none)".to_owned(), Value::to_string)
}
