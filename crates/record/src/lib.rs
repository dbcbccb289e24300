//! Configuration records that operators write: pipelines, services, workspaces.
//!
//! Records are stored as JSON documents, so that a writer that knows only an old schema cannot drop
//! the fields of a newer one. The processes parse them into the types of this crate.
//!
//! * [`document`], [`pipeline`], [`service`], [`workspace`]: the records
//! * [`set`]: the records in force at one revision
//! * [`schema`], [`shape`], [`check`]: validation of records
//! * [`text`], [`directory`], [`finding`]: records in files, and their faults
//! * [`merge`](mod@merge), [`plan`]: merging of schema versions, and previews of changes

pub mod check;
pub mod directory;
pub mod document;
pub mod finding;
pub mod merge;
pub mod pipeline;
pub mod plan;
pub mod schema;
pub mod service;
pub mod set;
pub mod shape;
pub mod text;
pub mod workspace;

pub use directory::Directory;
pub use document::{Document, Kind};
pub use finding::{Finding, Findings, Position};
pub use merge::merge;
pub use pipeline::{Pipeline, Stage};
pub use plan::Plan;
pub use service::{Fencing, Service};
pub use set::RecordSet;
pub use shape::{Field, Shape};
pub use text::Text;
pub use workspace::Workspace;

/// Hash map with a fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Sequence number of an accepted configuration change; each change increments it by one.
pub type Revision = u64;
/// Version number of a schema.
pub type Schema = u32;
/// Version number of a pipeline.
pub type Version = u32;
