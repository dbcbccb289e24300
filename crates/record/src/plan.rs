//! The difference between wanted documents and what is in force.

use crate::text::field_path;
use crate::{Document, Kind, Map, merge};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeSet, HashSet};
use std::fmt;

/// What happens to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// There is none in force.
    Create,
    /// The one in force differs.
    Update,
    /// It is in force and no longer wanted.
    Delete,
    /// The one in force is the same.
    Unchanged,
}

/// One value that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path within the record.
    pub path: String,
    /// Value in force.
    pub before: Option<Value>,
    /// Wanted value.
    pub after: Option<Value>,
}

/// What happens to one record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Key of the record.
    pub key: String,
    /// What happens to it.
    pub action: Action,
    /// Values that differ, for an update.
    pub fields: Vec<Difference>,
}

/// What happens to all records, in the order of the wanted ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Plan {
    /// One change for each record.
    pub changes: Vec<Change>,
}

impl Plan {
    /// Compares wanted documents with those in force.
    ///
    /// With `prune`, records that are not wanted are deleted, except for drains: those are given
    /// by a command of their own, and a deployment from a directory must not undo them.
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
    pub fn new(in_force: &[Document], wanted: &[Document], prune: bool) -> Self {
        let stored: Map<String, &Document> =
            in_force.iter().map(|each| (each.key(), each)).collect();
        let mut changes: Vec<Change> = wanted
            .iter()
            .map(|document| change(stored.get(&document.key()).copied(), document))
            .collect();
        if prune {
            changes.extend(deletions(in_force, wanted));
        }
        Self { changes }
    }

    /// Records that do not stay as they are.
    pub fn pending(&self) -> impl Iterator<Item = &Change> {
        let pending = |change: &&Change| change.action != Action::Unchanged;
        self.changes.iter().filter(pending)
    }

    fn count(&self, action: Action) -> usize {
        let same = |change: &&Change| change.action == action;
        self.changes.iter().filter(same).count()
    }
}

fn change(stored: Option<&Document>, wanted: &Document) -> Change {
    let key = wanted.key();
    let Some(stored) = stored else {
        return Change {
            key,
            action: Action::Create,
            fields: Vec::new(),
        };
    };
    let mut fields = Vec::new();
    let (before, after) = (stored.value(), merge(stored, wanted).value());
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

fn deletions(in_force: &[Document], wanted: &[Document]) -> impl Iterator<Item = Change> {
    let wanted: HashSet<String> = wanted.iter().map(Document::key).collect();
    in_force
        .iter()
        .filter(|document| document.kind != Kind::Drain)
        .map(Document::key)
        .filter(move |key| !wanted.contains(key))
        .map(|key| Change {
            key,
            action: Action::Delete,
            fields: Vec::new(),
        })
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, into: &mut Vec<Difference>) {
    match (before, after) {
        (Some(Value::Object(before)), Some(Value::Object(after))) => {
            let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
            for name in names {
                let path = field_path(path, name);
                compare(&path, before.get(name), after.get(name), into);
            }
        }
        (Some(Value::Array(before)), Some(Value::Array(after))) => {
            for index in 0..before.len().max(after.len()) {
                let path = format!("{path}[{index}]");
                compare(&path, before.get(index), after.get(index), into);
            }
        }
        _ if before == after => {}
        _ => into.push(Difference {
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
        let mark = match self.action {
            Action::Create => '+',
            Action::Update => '~',
            Action::Delete => '-',
            Action::Unchanged => ' ',
        };
        write!(formatter, "{mark} {}", self.key)?;
        for Difference {
            path,
            before,
            after,
        } in &self.fields
        {
            let (before, after) = (show(before.as_ref()), show(after.as_ref()));
            write!(formatter, "\n    {path}: {before} -> {after}")?;
        }
        Ok(())
    }
}

fn show(value: Option<&Value>) -> String {
    value.map_or("(none)".to_owned(), Value::to_string)
}
