//! Plans: the changes that a directory would make.

#![allow(clippy::unwrap_used, missing_docs)]

use record::{Document, Plan};
use serde_json::{Value, json};

fn documents(values: Value) -> Vec<Document> {
    serde_json::from_value(values).unwrap()
}

fn stored() -> Vec<Document> {
    documents(json!([
        {"schema": 2, "kind": "pipeline", "name": "review", "version": 1, "deadline_ms": 500,
         "durable": true, "stages": [{"name": "encode", "service": "encoder"}]},
        {"schema": 1, "kind": "service", "name": "encoder", "runner": "pool", "concurrency": 4},
        {"schema": 1, "kind": "workspace", "name": "old", "share": 1},
        {"schema": 1, "kind": "drain", "name": "vm-1"},
    ]))
}

fn desired() -> Vec<Document> {
    documents(json!([
        {"schema": 1, "kind": "pipeline", "name": "review", "version": 1, "deadline_ms": 800,
         "stages": [{"name": "encode", "service": "encoder"}, {"name": "rank", "service": "r"}]},
        {"schema": 1, "kind": "service", "name": "encoder", "runner": "pool", "concurrency": 4},
        {"schema": 1, "kind": "workspace", "name": "new", "share": 1},
    ]))
}

#[test]
fn as_text() {
    insta::assert_snapshot!(Plan::new(&stored(), &desired(), false));
}

#[test]
fn as_json() {
    let plan = Plan::new(&stored(), &desired()[1..], false);
    insta::assert_snapshot!(serde_json::to_string_pretty(&plan).unwrap());
}

/// A directory is deployed with `--prune` while a VM is drained manually. If the drain were deleted
/// with the records that the directory does not contain, the VM would get work again unintentionally.
#[test]
fn drain_kept() {
    insta::assert_snapshot!(Plan::new(&stored(), &desired(), true));
}
