//! The records in force at one revision, parsed once for frequent lookups.

use crate::document::{Document, Error, Kind};
use crate::{Map, Pipeline, Revision, Service, Version, Workspace};
use foldhash::fast::RandomState;
use std::borrow::Borrow;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Versions of one pipeline.
type Versions = BTreeMap<Version, Arc<Pipeline>>;

/// All records in force at one revision.
///
/// # Examples
///
/// ```
/// let text = r#"{"schema": 1, "kind": "pipeline", "name": "review", "version": 2,
///     "deadline_ms": 500, "stages": [{"name": "encode", "service": "encoder"}]}"#;
/// let document: record::Document = serde_json::from_str(text).unwrap();
/// let set = record::RecordSet::new(7, [document]);
/// assert_eq!(set.revision(), 7);
/// assert_eq!(set.current("review").unwrap().version, 2);
/// assert!(set.pipeline("review", 1).is_none());
/// ```
#[derive(Debug, Default)]
pub struct RecordSet {
    revision: Revision,
    pipelines: Map<String, Versions>,
    current: Map<String, Version>,
    services: Map<String, Arc<Service>>,
    workspaces: Map<String, Arc<Workspace>>,
    drains: HashSet<String, RandomState>,
    unreadable: Vec<Error>,
}

impl RecordSet {
    /// Parses the documents that are in force at a revision.
    ///
    /// A document that cannot be parsed is skipped and reported by [`RecordSet::unreadable`]: a
    /// record of a schema that this process does not know must not disable all others.
    pub fn new(
        revision: Revision,
        documents: impl IntoIterator<Item = impl Borrow<Document>>,
    ) -> Self {
        let mut set = Self {
            revision,
            ..Self::default()
        };
        for document in documents {
            if let Err(error) = set.insert(document.borrow()) {
                set.unreadable.push(error);
            }
        }
        set
    }

    /// Revision at which these records are in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// One version of a pipeline.
    #[must_use]
    pub fn pipeline(&self, name: &str, version: Version) -> Option<&Arc<Pipeline>> {
        self.pipelines.get(name)?.get(&version)
    }

    /// The version of a pipeline that `@current` refers to: the one that an operator selected, or
    /// else the highest.
    ///
    /// Returns `None` if the selected version does not exist, because a fallback to another version
    /// would silently override the operator's choice.
    #[must_use]
    pub fn current(&self, name: &str) -> Option<&Arc<Pipeline>> {
        match self.current.get(name) {
            Some(version) => self.pipeline(name, *version),
            None => self.pipelines.get(name)?.values().next_back(),
        }
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// A workspace by its name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// Whether a VM gets no new work, by order of an operator.
    #[must_use]
    pub fn is_drained(&self, vm: &str) -> bool {
        self.drains.contains(vm)
    }

    /// All versions of all pipelines; the order of the pipelines is unspecified.
    pub fn pipelines(&self) -> impl Iterator<Item = &Arc<Pipeline>> {
        self.pipelines.values().flat_map(Versions::values)
    }

    /// All services, in unspecified order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// All workspaces, in unspecified order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.values()
    }

    /// Errors of the documents that were skipped.
    #[must_use]
    pub fn unreadable(&self) -> &[Error] {
        &self.unreadable
    }

    fn insert(&mut self, document: &Document) -> Result<(), Error> {
        let name = document.name.clone();
        match document.kind {
            Kind::Pipeline => {
                let pipeline = Arc::new(document.pipeline()?);
                let versions = self.pipelines.entry(name).or_default();
                versions.insert(document.version, pipeline);
            }
            Kind::Current => {
                self.current.insert(name, document.version);
            }
            Kind::Service => insert(&mut self.services, name, document.service()?),
            Kind::Workspace => insert(&mut self.workspaces, name, document.workspace()?),
            Kind::Drain => {
                self.drains.insert(name);
            }
        }
        Ok(())
    }
}

fn insert<T>(map: &mut Map<String, Arc<T>>, name: String, value: T) {
    map.insert(name, Arc::new(value));
}
