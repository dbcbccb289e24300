//! The document as which every record is stored.

use crate::{Pipeline, Schema, Service, Version, Workspace};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A version of a pipeline.
    Pipeline,
    /// The version of a pipeline that `@current` refers to.
    Current,
    /// A pool of targets.
    Service,
    /// The share of a customer.
    Workspace,
    /// A VM that gets no new work, by order of an operator.
    Drain,
}

impl Kind {
    /// Name in documents and keys.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Pipeline => "pipeline",
            Self::Current => "current",
            Self::Service => "service",
            Self::Workspace => "workspace",
            Self::Drain => "drain",
        }
    }
}

/// Errors of parsing a document.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The document is of another kind.
    #[snafu(display("{key} is a {found:?}, not a {expected:?}"))]
    Kind {
        /// Key of the document.
        key: String,
        /// Kind of the document.
        found: Kind,
        /// Kind that was requested.
        expected: Kind,
    },
    /// A field is missing or has the wrong type.
    #[snafu(display("{key}: {source}"))]
    Field {
        /// Key of the document.
        key: String,
        /// Error of the decoder.
        source: serde_json::Error,
    },
}

/// A record as it is written, stored and returned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Schema of the writer.
    pub schema: Schema,
    /// Kind of the record.
    pub kind: Kind,
    /// Name within the kind.
    pub name: String,
    /// Version of a pipeline, or the one that a `current` record refers to; zero for other kinds.
    #[serde(default)]
    pub version: Version,
    /// All other fields, known or not.
    #[serde(flatten)]
    pub body: serde_json::Map<String, serde_json::Value>,
}

impl Document {
    /// Key under which the record is stored.
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
        let (kind, name) = (self.kind.name(), &self.name);
        match self.kind {
            Kind::Pipeline => format!("{kind}/{name}@{}", self.version),
            _ => format!("{kind}/{name}"),
        }
    }

    /// Parses a version of a pipeline.
    ///
    /// # Errors
    ///
    /// [`Error::Kind`] for another kind, [`Error::Field`] for a field that cannot be parsed.
    pub fn pipeline(&self) -> Result<Pipeline, Error> {
        self.parse(Kind::Pipeline)
    }

    /// Parses a service.
    ///
    /// # Errors
    ///
    /// [`Error::Kind`] for another kind, [`Error::Field`] for a field that cannot be parsed.
    pub fn service(&self) -> Result<Service, Error> {
        self.parse(Kind::Service)
    }

    /// Parses a workspace.
    ///
    /// # Errors
    ///
    /// [`Error::Kind`] for another kind, [`Error::Field`] for a field that cannot be parsed.
    pub fn workspace(&self) -> Result<Workspace, Error> {
        self.parse(Kind::Workspace)
    }

    /// The whole document as JSON.
    #[must_use]
    pub fn value(&self) -> serde_json::Value {
        let mut fields = self.body.clone();
        fields.insert("schema".into(), self.schema.into());
        fields.insert("kind".into(), self.kind.name().into());
        fields.insert("name".into(), self.name.clone().into());
        fields.insert("version".into(), self.version.into());
        fields.into()
    }

    fn parse<T: DeserializeOwned>(&self, expected: Kind) -> Result<T, Error> {
        let (key, found) = (self.key(), self.kind);
        ensure!(
            found == expected,
            KindSnafu {
                key,
                found,
                expected
            }
        );
        serde_json::from_value(self.value()).context(FieldSnafu { key })
    }
}
