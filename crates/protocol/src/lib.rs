//! Pure state machines of the core protocol: events in, actions out, no I/O and no clocks.
//!
//! The shipped processes, the model checks and the differential tests all drive these same
//! machines.
//!
//! * [`id`]: identities of requests, stages and attempts
//! * [`call`]: the entry's view of one attempt of one stage
//! * [`gate`]: the agent's view of the same attempt
//! * [`stage`]: one stage over all its attempts
//! * [`claim`]: at most once across entries for calls with an idempotency key
//! * [`lease`]: one holder at a time for work that one process must do
//! * [`fence`]: the agent as the fence before engines that check nothing
//! * [`fetch`]: a process that fetches a large version from one of many that have it
//! * [`follower`]: a process that follows the accepted configuration
//! * [`member`]: which VMs may get new work
//! * [`quarantine`]: requests that end the runners that run them
//! * [`reader`]: a process that hears of a table's changes from another one
//! * [`activation`]: a process that shares a bounded number of places with others

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
