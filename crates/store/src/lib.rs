//! Interfaces of the platform's services: table service, object store and VM list.
//!
//! Each is a small trait, so that tests can use a fake. One HTTP client implements all of them.
//!
//! * [`table`]: the transactional table service
//! * [`era`]: revisions of a service that may be restored from an older backup
//! * [`feed`]: subscription to a table's changes
//! * [`object`]: the object store
//! * [`vm`]: the lagging list of live and leaving VMs
//! * [`client`]: the HTTP client of all of them
//! * [`memory`]: an in-memory implementation of all of them, for tests
//! * [`mod@commit`]: commits a transaction even if its answer is lost

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
