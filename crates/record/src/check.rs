//! Validation of records: each on its own, and all of them against each other.

use crate::finding::{Finding, Findings};
use crate::service::Runner;
use crate::{Document, Fencing, Kind, Map, Pipeline, Service, Version, schema, shape};
use std::collections::HashSet;

/// Checks one document: its fields against its own schema, and the rules between them.
///
/// # Examples
///
/// ```
/// let text = r#"{"schema": 1, "kind": "workspace", "name": "ferry-yard", "share": 0}"#;
/// let document: record::Document = serde_json::from_str(text).unwrap();
/// let findings = record::check::document(&document);
/// assert_eq!(findings.0[0].path, "share");
/// ```
#[must_use]
pub fn document(document: &Document) -> Findings {
    let key = document.key();
    let mut findings = Vec::new();
    let mut report = |path: &str, message: String| {
        findings.push(Finding::new(&key, path, message));
    };
    let shape = schema::shape(document.kind);
    shape::check(&document.value(), shape, document.schema, "", &mut report);
    if findings.is_empty() {
        let mut report = |path: &str, message: String| {
            findings.push(Finding::new(&key, path, message));
        };
        cross_field(document, &mut report);
    }
    Findings(findings)
}

/// Checks documents against each other: keys are unique, and references have a target.
///
/// A document that cannot be parsed is skipped: its schema may be newer than this program, and it
/// must not prevent operators from changing the others.
#[must_use]
pub fn cross_document(documents: &[Document]) -> Findings {
    let mut findings = Vec::new();
    check_references(documents, &mut |index, path, message| {
        findings.push(Finding::new(documents[index].key(), path, message));
    });
    Findings(findings)
}

/// Checks each document on its own and all against each other.
#[must_use]
pub fn all(documents: &[Document]) -> Findings {
    let single = documents.iter().flat_map(|each| document(each).0);
    Findings(single.chain(cross_document(documents).0).collect())
}

/// Checks the rules between the fields of a document whose fields are valid on their own.
pub(crate) fn cross_field(document: &Document, report: &mut impl FnMut(&str, String)) {
    if let Ok(pipeline) = document.pipeline() {
        check_pipeline(&pipeline, report);
    }
    if let Ok(service) = document.service() {
        check_service(&service, report);
    }
}

fn check_pipeline(pipeline: &Pipeline, report: &mut impl FnMut(&str, String)) {
    if pipeline.stages.is_empty() {
        report("stages", "a pipeline has at least one stage".to_owned());
    }
    // A durable request whose entry fails is executed again by another entry.
    if pipeline.durable && pipeline.stages.iter().any(|stage| !stage.repeatable) {
        let message = "a pipeline with a stage that may not be repeated cannot be durable";
        report("durable", message.to_owned());
    }
    let mut names = HashSet::new();
    let mut not_repeatable = None;
    let last = pipeline.stages.len().saturating_sub(1);
    for (index, stage) in pipeline.stages.iter().enumerate() {
        let path = |field: &str| format!("stages[{index}].{field}");
        if !names.insert(&stage.name) {
            report(&path("name"), format!("another stage is `{}`", stage.name));
        }
        if stage.stream && index != last {
            report(
                &path("stream"),
                "only the last stage may be streamed".to_owned(),
            );
        }
        if stage.repeatable {
            continue;
        }
        // An interrupted stream is resumed by a new call to the runner, which would repeat the
        // stage.
        if stage.stream {
            let message = "a stage that may not be repeated cannot be streamed";
            report(&path("stream"), message.to_owned());
        }
        // A request has one claim, which cannot distinguish two stages.
        if let Some(first) = not_repeatable.replace(&stage.name) {
            let message = format!("only one stage may be not repeatable, and `{first}` is");
            report(&path("repeatable"), message);
        }
    }
}

fn check_service(service: &Service, report: &mut impl FnMut(&str, String)) {
    if service.runner != Runner::Engine && service.fencing == Fencing::Checked {
        report("fencing", "only engines check fencing numbers".to_owned());
    }
    if service.runner != Runner::Engine && !service.models.is_empty() {
        report("models", "only engines load models".to_owned());
    }
    let mut names = HashSet::new();
    for (index, model) in service.models.iter().enumerate() {
        let path = |field: &str| format!("models[{index}].{field}");
        if !names.insert(&model.name) {
            report(&path("name"), format!("another model is `{}`", model.name));
        }
        if model.min > model.max {
            let message = format!("{} is more than max, {}", model.min, model.max);
            report(&path("min"), message);
        }
    }
}

/// Checks documents against each other. Each report has the index of the document, a path within it
/// and a message.
pub(crate) fn check_references(
    documents: &[Document],
    report: &mut impl FnMut(usize, &str, String),
) {
    check_keys(documents, report);
    let services: Map<&str, Option<Service>> = documents
        .iter()
        .filter(|document| document.kind == Kind::Service)
        .map(|document| (document.name.as_str(), document.service().ok()))
        .collect();
    let versions: HashSet<(&str, Version)> = documents
        .iter()
        .filter(|document| document.kind == Kind::Pipeline)
        .map(|document| (document.name.as_str(), document.version))
        .collect();
    for (index, document) in documents.iter().enumerate() {
        if let Ok(pipeline) = document.pipeline() {
            let mut report = |path: &str, message| report(index, path, message);
            check_services(&pipeline, &services, &mut report);
        }
        let selected = (document.name.as_str(), document.version);
        if document.kind == Kind::Current && !versions.contains(&selected) {
            let message = format!("there is no pipeline `{}@{}`", selected.0, selected.1);
            report(index, "version", message);
        }
    }
}

fn check_keys(documents: &[Document], report: &mut impl FnMut(usize, &str, String)) {
    let mut keys = HashSet::new();
    for (index, document) in documents.iter().enumerate() {
        let key = document.key();
        if keys.contains(&key) {
            report(index, "name", format!("another record is `{key}`"));
        }
        keys.insert(key);
    }
}

/// Checks that the services and models of a pipeline's stages exist. A service that cannot be
/// parsed exists, but its models are unknown and are not checked.
fn check_services(
    pipeline: &Pipeline,
    services: &Map<&str, Option<Service>>,
    report: &mut impl FnMut(&str, String),
) {
    for (index, stage) in pipeline.stages.iter().enumerate() {
        let path = |field: &str| format!("stages[{index}].{field}");
        let Some(service) = services.get(stage.service.as_str()) else {
            let message = format!("there is no service `{}`", stage.service);
            report(&path("service"), message);
            continue;
        };
        if let (Some(model), Some(service)) = (&stage.model, service)
            && !service.declares(model)
        {
            let message = format!("service `{}` declares no model `{model}`", service.name);
            report(&path("model"), message);
        }
    }
}
