//! Decisions under load and faults: state in, choices out, no I/O and no clocks.
//!
//! Time is passed in as a [`Duration`](std::time::Duration) since the process started, randomness
//! as an `&mut impl Rng`. Each decision is a small trait with a naive version and the one that
//! ships; a setting selects one of the two through [`Either`].
//!
//! * [`route`]: which target a call goes to
//! * [`admit`]: whether a request is accepted, and in which order calls start
//! * [`limit`]: how many calls may be in flight at once
//! * [`batch`]: which pieces of work share a call of a batching runner
//! * [`budget`]: by when a stage must start so that the request meets its deadline
//! * [`retry`]: retries, hedges and ejection of outliers
//! * [`demand`]: estimates of service time by class
//! * [`owner`]: which process does work that only one should do at a time
//! * [`place`]: which models are loaded where
//! * [`subset`]: which targets of a large pool a process keeps links to
//! * [`wait`]: how long a call waits that no target has
//! * [`warmup`]: how often each process may send to a runner that has just started

pub mod admit;
pub mod batch;
pub mod budget;
pub mod demand;
mod either;
pub mod limit;
pub mod owner;
pub mod place;
pub mod retry;
pub mod route;
pub mod share;
pub mod smooth;
pub mod subset;
pub mod wait;
pub mod warmup;

pub use either::Either;

/// Hash map with a fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Name of a workspace.
pub type WorkspaceId = std::sync::Arc<str>;
