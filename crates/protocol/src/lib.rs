//! Pure state machines of the core protocol: events in, actions out, without I/O or clocks.
//!
//! The processes, the model checks and the differential tests all run these same state machines.
//!
//! * [`id`]: identities of requests, stages and attempts
//! * [`call`]: the entry's view of one attempt of one stage
//! * [`gate`]: the agent's view of the same attempt
//! * [`stage`]: one stage across all its attempts
//! * [`claim`]: at-most-once execution across entries for calls with an idempotency key
//! * [`lease`]: a single holder at a time for work that only one process may do
//! * [`fence`]: fencing by the agent, for engines that do not check fencing tokens
//! * [`fetch`]: transfer of a large version from one of several sources
//! * [`follower`]: following of the log of accepted configuration changes
//! * [`member`]: which VMs may get new work
//! * [`quarantine`]: detection of requests that crash the runners that run them
//! * [`reader`]: following of a table's changes through another process
//! * [`activation`]: when a newly registered process may act in a group of bounded size

pub mod activation;
pub mod call;
pub mod claim;
pub mod fence;
pub mod fetch;
pub mod follower;
pub mod gate;
pub mod id;
pub mod lease;
pub mod member;
pub mod quarantine;
pub mod reader;

pub mod stage;

pub use activation::Activation;
pub use call::Call;
pub use claim::Claim;
pub use fetch::Fetch;
pub use follower::Follower;
pub use gate::Gate;
pub use id::{
    Attempt, CallId, ContentId, FencingToken, Incarnation, RequestId, Revision, RowRevision,
    Sequence, StageIndex, Token,
};
pub use lease::Lease;
pub use member::Members;
pub use quarantine::Quarantine;
pub use reader::Reader;

pub use stage::Stage;
