//! Pure state machines of the core protocol: events in, actions out, no I/O and no clocks.
//!
//! The shipped processes, the model checks and the differential tests all drive these same
//! machines.
//!
//! * [`id`]: identities of requests, stages and attempts
//! * [`call`]: the entry's view of one attempt of one stage
//! * [`gate`]: the agent's view of the same attempt

pub mod call;
pub mod gate;
pub mod id;

pub use call::Call;
pub use gate::Gate;
pub use id::{Attempt, CallId, Fence, Incarnation, RequestId, Revision, Sequence, StageIndex};
