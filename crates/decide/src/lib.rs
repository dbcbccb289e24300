//! Load-balancing, admission, retry and placement policies, free of I/O and clocks.
//!
//! Time is passed in as a [`Duration`](std::time::Duration) since the process started, randomness
//! as an `&mut impl Rng`. Each policy is a small trait with a naive baseline and the implementation
//! that ships; a setting selects one of the two through [`Either`].
//!
//! * [`route`]: selection of the target for a call
//! * [`admit`]: admission of requests, and the order in which calls start
//! * [`limit`]: limits on the number of calls in flight
//! * [`batch`]: forming batches of work items for runners that process several per call
//! * [`bound`]: bounds of the numbers that other programs state
//! * [`budget`]: the latest start of each stage by which the request meets its deadline
//! * [`flow`]: which requests of a chain of stages may start, and when
//! * [`retry`]: retries, hedges and outlier ejection
//! * [`demand`]: estimates of service time by class
//! * [`owner`]: the process that does work which only one should do at a time
//! * [`place`]: assignment of models to engines
//! * [`share`]: one process's share of a runner's low rate limit
//! * [`shed`]: new connections that an overloaded process turns away
//! * [`smooth`]: exponentially weighted means and decay
//! * [`subset`]: the targets of a large pool that a process keeps links to
//! * [`timeout`]: the usual timeout of a route's requests
//! * [`wait`]: time limits for calls that have no target
//! * [`warmup`]: the rate at which each process may send to a runner that has just started

pub mod admit;
pub mod batch;
pub mod bound;
pub mod budget;
pub mod demand;
mod either;
pub mod flow;
pub mod limit;
pub mod owner;
pub mod place;
pub mod retry;
pub mod route;
pub mod share;
pub mod shed;
pub mod smooth;
pub mod subset;
pub mod timeout;
pub mod wait;
pub mod warmup;

pub use either::Either;

/// Hash map with a fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Name of a workspace.
pub type WorkspaceId = std::sync::Arc<str>;
