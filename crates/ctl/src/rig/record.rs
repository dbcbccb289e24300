//! Records that the test bench applies, and the answers that its pipelines give.

use record::Document;
use serde_json::{Value, json};

/// Pipeline of one plain call that may not be repeated, at the service [`LABEL`].
pub const PRINT: &str = "print";
/// Pipeline of one plain call that may be repeated, at the service [`REPORT`].
pub const READ: &str = "read";
/// Pipeline of one streamed stage, at the service [`ASSISTANT`].
pub const DRAFT: &str = "draft";
/// Pipeline of four stages, the last one streamed.
pub const CHECK: &str = "check";

/// Service of plain calls that may not be repeated.
pub const LABEL: &str = "label";
/// Service of plain calls that may be repeated.
pub const REPORT: &str = "report";
/// Service of model engines.
pub const ASSISTANT: &str = "assistant";
/// Pool services in the order in which the pipeline of four stages calls them.
pub const POOLS: [&str; 3] = ["encoder", "retriever", "reranker"];

/// Creates a service record with the kind of its runners.
#[must_use]
pub fn service(name: &str, runner: &str, concurrency: u32) -> Document {
    document(json!({
        "schema": 1, "kind": "service", "name": name, "runner": runner, "concurrency": concurrency,
    }))
}

/// Creates the record of a pipeline's first version.
#[must_use]
pub fn pipeline(name: &str, stages: &Value) -> Document {
    document(json!({
        "schema": 1, "kind": "pipeline", "name": name, "version": 1, "deadline_ms": 10_000,
        "stages": stages,
    }))
}

/// Creates a record that drains a VM: it gets no new work.
#[must_use]
pub fn drain(vm: &str) -> Document {
    document(json!({"schema": 1, "kind": "drain", "name": vm}))
}

/// Creates a workspace record with the workspace's share.
#[must_use]
pub fn workspace(name: &str, share: u32) -> Document {
    document(json!({"schema": 1, "kind": "workspace", "name": name, "share": share}))
}

/// Creates the records of all services and pipelines of the test bench.
#[must_use]
pub fn all(concurrency: u32) -> Vec<Document> {
    let [encoder, retriever, reranker] = POOLS;
    vec![
        service(LABEL, "plain", concurrency),
        service(REPORT, "plain", concurrency),
        service(ASSISTANT, "engine", concurrency),
        service(encoder, "pool", concurrency),
        service(retriever, "pool", concurrency),
        service(reranker, "pool", concurrency),
        pipeline(
            PRINT,
            &json!([{"name": "print", "service": LABEL, "repeatable": false}]),
        ),
        pipeline(READ, &json!([{"name": "read", "service": REPORT}])),
        pipeline(
            DRAFT,
            &json!([{"name": "draft", "service": ASSISTANT, "stream": true}]),
        ),
        pipeline(
            CHECK,
            &json!([
                {"name": "encode", "service": encoder},
                {"name": "retrieve", "service": retriever},
                {"name": "rerank", "service": reranker},
                {"name": "generate", "service": ASSISTANT, "stream": true},
            ]),
        ),
    ]
}

/// Creates the record of an engine service with these models. The first one is always loaded.
#[must_use]
pub fn model_service(models: &[&str]) -> Document {
    let model = |(number, name): (usize, &&str)| {
        let min = u32::from(number == 0);
        json!({"name": name, "min": min, "max": 2})
    };
    let models: Vec<Value> = models.iter().enumerate().map(model).collect();
    document(json!({
        "schema": 2, "kind": "service", "name": ASSISTANT, "runner": "engine", "concurrency": 4,
        "fencing": "checked", "models": models,
    }))
}

/// Creates the record of a pipeline with one stage, which uses the model of the same name.
#[must_use]
pub fn model_pipeline(model: &str) -> Document {
    document(json!({
        "schema": 2, "kind": "pipeline", "name": model, "version": 1, "deadline_ms": 10_000,
        "stages": [{"name": "generate", "service": ASSISTANT, "model": model, "stream": true}],
    }))
}

/// Returns a pipeline's answer to a text if its runners have the names of their services.
#[must_use]
pub fn expected(pipeline: &str, text: &str, tokens: u32) -> String {
    match pipeline {
        PRINT => standin::answer::wrap(LABEL, text),
        READ => standin::answer::wrap(REPORT, text),
        CHECK => {
            let stages = POOLS.iter();
            let text = stages.fold(text.to_owned(), |text, stage| {
                standin::answer::wrap(stage, &text)
            });
            standin::answer::tokens(&text, tokens)
        }
        _ => standin::answer::tokens(text, tokens),
    }
}

fn document(value: Value) -> Document {
    serde_json::from_value(value).expect("the fields of a document are there")
}
