//! Serves requests whose bodies it does not read: routes them to runners that have no agent, runs
//! the stages before them and passes answers and streams through.
//!
//! * [`configuration`]: the configuration in force; [`runner`]: the runners that take new work
//! * [`request`]: requests, answers and refusals
//! * [`downstream`]: calls to runners, as an adapter carries them out
//! * [`drain`]: failure domains whose runners get no new work
//! * [`follow`]: keeps plan and runners as the platform has them
//! * [`core`]: what the parts share
//! * [`serve`]: one request from its arrival to its answer
//! * `home`: requests that may run in some regions only
//! * [`graph`]: the stages of one request; [`batch`]: the calls that carry their pieces
//! * [`limit`]: runners that ask for fewer requests
//! * [`member`]: the processes of the system; [`peer`]: what they say to one another
//! * [`attempt`]: a request and the runners it is sent to; [`splice`]: streams over several runners
//! * [`memory`]: what bodies of requests and answers may take up
//! * [`event`]: where the events of a stream begin and end
//! * [`pause`]: what is done after the process did not run for a while
//! * [`warmup`]: runners that have just started and bear few requests
//! * `outage`: runners that have ended and are not back
//! * [`quarantine`]: requests that end the runners that run them
//! * [`telemetry`]: counters and histograms

pub mod attempt;
pub mod batch;
pub mod configuration;
pub mod core;
pub mod downstream;
pub mod drain;
pub mod event;
pub mod follow;
pub mod graph;
mod home;
pub mod limit;
pub mod member;
pub mod memory;
mod outage;
pub mod pause;
pub mod peer;
pub mod quarantine;
pub mod request;
pub mod runner;
pub mod serve;
pub mod splice;
pub mod telemetry;
pub mod warmup;

pub use configuration::Configuration;
pub use core::{Options, Relay};
pub use downstream::Downstream;
pub use request::{Answer, Body, Request};
pub use runner::Runner;
