//! Validation of stages that name a model.

#![allow(clippy::unwrap_used, missing_docs)]

use record::{Document, check};
use serde_json::json;

fn findings(schema: u32, model: &str) -> Vec<String> {
    let service = json!({"schema": 2, "kind": "service", "name": "critic", "runner": "engine",
        "concurrency": 8, "models": [{"name": "reviewer", "min": 1, "max": 3}]});
    let stage = json!({"name": "generate", "service": "critic", "model": model});
    let pipeline = json!({"schema": schema, "kind": "pipeline", "name": "review", "version": 1,
        "deadline_ms": 500, "stages": [stage]});
    let read = |value| serde_json::from_value::<Document>(value).unwrap();
    let found = check::all(&[read(service), read(pipeline)]);
    let findings = found.0.iter();
    findings
        .map(|finding| format!("{}: {}", finding.path, finding.message))
        .collect()
}

#[test]
fn declared_model() {
    assert!(findings(2, "reviewer").is_empty());
}

/// A mistyped model in a new version is rejected. No engine would load it, and every call of the
/// version would be refused.
#[test]
fn mistyped_model() {
    let expected = "stages[0].model: service `critic` declares no model `reviwer`";
    assert_eq!(findings(2, "reviwer"), [expected]);
}

#[test]
fn older_schema() {
    assert_eq!(findings(1, "reviewer").len(), 1);
}
