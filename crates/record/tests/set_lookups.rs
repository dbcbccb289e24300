//! Lookups of the records in force.

#![allow(clippy::unwrap_used, missing_docs)]

use record::{Document, RecordSet};
use serde_json::{Value, json};

fn pipeline(version: u32) -> Value {
    json!({"schema": 1, "kind": "pipeline", "name": "review", "version": version,
        "deadline_ms": 500, "stages": [{"name": "encode", "service": "encoder"}]})
}

fn current(version: u32) -> Value {
    json!({"schema": 1, "kind": "current", "name": "review", "version": version})
}

fn set(values: Value) -> RecordSet {
    let documents: Vec<Document> = serde_json::from_value(values).unwrap();
    RecordSet::new(3, documents)
}

#[test]
fn highest_version() {
    let set = set(json!([pipeline(2), pipeline(10), pipeline(9)]));
    assert_eq!(set.current("review").unwrap().version, 10);
    assert_eq!(set.pipeline("review", 9).unwrap().version, 9);
    assert!(set.pipeline("review", 1).is_none());
}

#[test]
fn selected_version() {
    let set = set(json!([pipeline(1), pipeline(2), current(1)]));
    assert_eq!(set.current("review").unwrap().version, 1);
}

/// The version that operators selected does not exist. Callers of `@current` get an error rather
/// than a version that no operator selected.
#[test]
fn selected_version_missing() {
    assert!(
        set(json!([pipeline(2), current(1)]))
            .current("review")
            .is_none()
    );
}

/// A newer writer has stored a record that this process cannot parse. The others stay in force, so
/// that one record does not disable every pipeline.
#[test]
fn unreadable_record() {
    let service = json!({"schema": 9, "kind": "service", "name": "encoder", "runner": "quantum"});
    let set = set(json!([service, pipeline(1)]));
    assert!(set.service("encoder").is_none());
    assert!(set.current("review").is_some());
    assert!(
        set.unreadable()[0]
            .to_string()
            .starts_with("service/encoder: ")
    );
}

#[test]
fn drained_vm() {
    let set = set(json!([{"schema": 1, "kind": "drain", "name": "vm-1"}]));
    assert!(set.is_drained("vm-1"));
    assert!(!set.is_drained("vm-2"));
    assert_eq!(set.revision(), 3);
}
