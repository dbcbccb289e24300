//! Configuration records that operators write: pipelines, services, workspaces.
//!
//! Records are kept as JSON documents, so that a writer that knows only an old schema cannot drop
//! the fields of a newer one; the types here are what the processes read out of them.
//!
//! * [`document`], [`pipeline`], [`service`], [`workspace`]: the records
//! * [`set`]: the records in force at one revision
//! * [`schema`], [`shape`], [`check`]: what a record must look like
//! * [`text`], [`directory`], [`finding`]: records in files and what is wrong with them
//! * [`merge`](mod@merge), [`plan`]: writers of different schemas, and what a change would do

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
/// Number of an accepted configuration change; grows by one with each.
pub type Revision = u64;
/// Number of a schema.
pub type Schema = u32;
/// Number of a pipeline's version.
pub type Version = u32;
