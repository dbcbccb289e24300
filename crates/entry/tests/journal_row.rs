//! Jobs that are created from the journal row of a request whose entry has stopped or crashed.

#![allow(clippy::unwrap_used, missing_docs)]

use entry::journal::row::JournalEntry;
use record::{Document, RecordSet};
use std::sync::Arc;

fn set() -> Arc<RecordSet> {
    let text = r#"{"schema": 2, "kind": "pipeline", "name": "review", "version": 1,
        "deadline_ms": 500, "durable": true, "stages": [{"name": "encode", "service": "encoder"}]}"#;
    let document: Document = serde_json::from_str(text).unwrap();
    Arc::new(RecordSet::new(1, [document]))
}

fn row() -> JournalEntry {
    JournalEntry {
        owner: "entry-1/1".to_owned(),
        beat: 3,
        takeovers: 0,
        pipeline: "review".to_owned(),
        version: 1,
        workspace: "thesis".to_owned(),
        class: "default".to_owned(),
        input: "{}".to_owned(),
        streamed: false,
        due_ms: 0,
    }
}

/// An entry crashes while a runner executes its request, and the entry that takes the request over
/// finds no target for it. The first entry may have run the request, so it must not be
/// reported to its caller as not run.
#[test]
fn taken_over_may_have_run() {
    let job = row().taken_over("entry-2/1").job(7, &set()).unwrap();
    assert!(job.may_have_run());
    assert!(!row().job(7, &set()).unwrap().may_have_run());
}

/// Two entries that run a request one after the other must use different attempt numbers.
/// Otherwise, an agent that still has an attempt of the first entry would treat the second entry's
/// offer as a duplicate, and the caller would never get an answer.
#[test]
fn attempts_apart() {
    let once = row().taken_over("entry-2/1");
    let twice = once.clone().taken_over("entry-3/1");
    let first = |row: JournalEntry| row.job(7, &set()).unwrap().first_attempt;
    assert_eq!(first(row()), 0);
    assert!(first(once.clone()) > 500);
    assert!(first(twice) > first(once) + 500);
}

/// The pipeline of a request was deleted after its entry crashed. No entry can run it, so no job is
/// created.
#[test]
fn pipeline_gone() {
    assert!(row().job(7, &Arc::new(RecordSet::default())).is_none());
}
