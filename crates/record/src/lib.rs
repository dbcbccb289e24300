//! Configuration records that operators write: pipelines, services, workspaces.
//!
//! Records are kept as JSON documents, so that a writer that knows only an old schema cannot drop
//! the fields of a newer one; the types here are what the processes read out of them.

pub mod document;
pub mod pipeline;
pub mod service;
pub mod set;
pub mod workspace;

pub use document::{Document, Kind};
pub use pipeline::{Pipeline, Stage};
pub use service::{Fencing, Service};
pub use set::Set;
pub use workspace::Workspace;

/// Hash map with a fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Number of an accepted configuration change; grows by one with each.
pub type Revision = u64;
/// Number of a schema.
pub type Schema = u32;
/// Number of a pipeline's version.
pub type Version = u32;
