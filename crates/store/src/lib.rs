//! What the platform gives: table service, object store, weight store and list of VMs.
//!
//! Each is a small trait, so that a test can put a fake at the interface, with one HTTP client
//! behind it.
//!
//! * [`table`]: the transactional table service
//! * [`era`]: revisions of a service that comes back from an older copy
//! * [`feed`]: following a table's changes
//! * [`object`]: the object store
//! * [`vm`]: the lagging list of live and leaving VMs
//! * [`client`]: the HTTP clients of all of them
//! * [`memory`]: all of them in memory, for tests
//! * [`commit`]: commits a transaction even if its answer is lost

pub mod client;
pub mod commit;
pub mod era;
pub mod feed;
pub mod memory;
pub mod object;
pub mod table;
pub mod vm;

pub use client::Client;
pub use feed::{Change, Changes, Feed, FeedError};
pub use memory::Memory;
pub use object::Objects;
pub use table::{Check, Error, Put, Row, RowRevision, Table, Transaction};
pub use vm::{Role, Vm, Vms};
