//! Findings in record files, with their positions.

#![allow(clippy::unwrap_used, missing_docs)]

use record::Directory;

const RECORDS: &str = r#"[
  // services, and a pipeline with several faults
  {"schema": 1, "kind": "service", "name": "encoder", "runner": "pool", "concurrency": 0},
  {"schema": 2, "kind": "service", "name": "writer", "runner": "engine", "concurrency": 8,
   "models": [{"name": "small", "min": 3, "max": 2}, {"name": "small", "min": 0, "max": 1}]},
  {"schema": 1, "kind": "service", "name": "label", "runner": "plain", "concurrency": 1,
   "fencing": "checked"},
  {
    "schema": 1,
    "kind": "pipeline",
    "name": "review",
    "version": 1,
    "deadline_ms": 0,
    "durable": true,
    "stages": [
      {"name": "encode", "service": "encoder", "stream": true},
      {"name": "encode", "service": "encodr"},
      {"name": "print", "service": "label", "repeatable": false},
      {"name": "pay", "service": "label", "repeatable": false, "stream": true},
    ]
  },
  {"schema": 3, "kind": "workspace", "name": "a b", "share": 1},
  {"schema": 1, "kind": "workspce", "name": "ferry-yard", "share": 1},
  {"schema": 1, "kind": "current", "name": "review", "version": 2},
  {"schema": 1, "kind": "drain", "name": "vm-1"},
  {"schema": 1, "kind": "drain", "name": "vm-1"}
]"#;

fn findings(text: &str) -> record::Findings {
    let mut directory = Directory::default();
    directory.add(text, "records.jsonc");
    directory.check()
}

/// All faults of several records are reported at once, each with its line, so that an operator can
/// correct them in one pass.
#[test]
fn all_at_once() {
    insta::assert_snapshot!(findings(RECORDS));
}

/// A truncated file is reported with its position, and the documents of the other files are still
/// checked.
#[test]
fn cut_short() {
    let mut directory = Directory::default();
    directory.add("[{\"schema\": 1,", "a.json");
    directory.add("{\"schema\": 1, \"kind\": \"drain\"}", "b.json");
    insta::assert_snapshot!(directory.check());
}

/// An entry, which has no file, reports the same faults under the records' keys.
#[test]
fn without_file() {
    let mut directory = Directory::default();
    directory.add(RECORDS, "records.jsonc");
    insta::assert_snapshot!(record::check::all(directory.documents()));
}
