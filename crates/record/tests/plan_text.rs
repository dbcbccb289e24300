//! Plans: what a directory would change.

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

fn wanted() -> Vec<Document> {
    documents(json!([
        {"schema": 1, "kind": "pipeline", "name": "review", "version": 1, "deadline_ms": 800,
         "stages": [{"name": "encode", "service": "encoder"}, {"name": "rank", "service": "r"}]},
        {"schema": 1, "kind": "service", "name": "encoder", "runner": "pool", "concurrency": 4},
        {"schema": 1, "kind": "workspace", "name": "new", "share": 1},
    ]))
}

#[test]
fn as_text() {
    insta::assert_snapshot!(Plan::new(&stored(), &wanted(), false));
}

#[test]
fn as_json() {
    let plan = Plan::new(&stored(), &wanted()[1..], false);
    insta::assert_snapshot!(serde_json::to_string_pretty(&plan).unwrap());
}

/// A directory is deployed with `--prune` while a VM is drained by hand. If the drain went with
/// the records that the directory no longer holds, the VM would get work again unasked.
#[test]
fn drain_kept() {
    insta::assert_snapshot!(Plan::new(&stored(), &wanted(), true));
}
