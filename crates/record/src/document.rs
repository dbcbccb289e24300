//! The document that every record is kept as.

use crate::{Schema, Version};
use serde::{Deserialize, Serialize};

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A version of a pipeline.
    Pipeline,
    /// The version of a pipeline that `@current` names.
    Current,
    /// A pool of targets.
    Service,
    /// A customer's share.
    Workspace,
    /// A VM that an operator wants to get no new work.
    Drain,
}

/// A record as it is written, stored and handed out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Schema that the writer knew.
    pub schema: Schema,
    /// Kind of the record.
    pub kind: Kind,
    /// Name within the kind.
    pub name: String,
    /// Version, for pipelines; zero for the other kinds.
    #[serde(default)]
    pub version: Version,
    /// All other fields, known or not.
    #[serde(flatten)]
    pub body: serde_json::Map<String, serde_json::Value>,
}

impl Document {
    /// Key under which the record is kept.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = r#"{"schema": 1, "kind": "pipeline", "name": "review", "version": 2}"#;
    /// let document: record::Document = serde_json::from_str(text).unwrap();
    /// assert_eq!(document.key(), "pipeline/review@2");
    /// ```
    #[must_use]
    pub fn key(&self) -> String {
        match self.kind {
            Kind::Pipeline => format!("pipeline/{}@{}", self.name, self.version),
            Kind::Current => format!("current/{}", self.name),
            Kind::Service => format!("service/{}", self.name),
            Kind::Workspace => format!("workspace/{}", self.name),
            Kind::Drain => format!("drain/{}", self.name),
        }
    }
}
