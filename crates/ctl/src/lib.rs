//! The command line `linnetdrift` and the daemon `linnetdriftd`.
//!
//! * [`command`], [`option`]: commands of `linnetdrift` and their common options
//! * [`daemon`]: roles of `linnetdriftd`
//! * [`client`], [`operator`]: clients for the HTTP interfaces of entries
//! * [`demo`], [`deployment`], [`fleet`], [`listing`]: a complete deployment on one machine
//! * [`load`], [`experiment`], [`measure`], [`report`]: load generation, measurements and charts
//! * [`rig`]: a small deployment for failure tests and soaks; [`torture`]: the soaks
//! * [`error`]: errors and exit codes

pub mod apply;
pub mod call;
pub mod check;
pub mod client;
pub mod command;
pub mod daemon;
pub mod demo;
pub mod deployment;
pub mod drain;
pub mod error;
pub mod event;
pub mod experiment;
pub mod fleet;
pub mod get;
pub mod history;
pub mod listing;
pub mod load;
pub mod measure;
pub mod operator;
pub mod option;
pub mod output;
pub mod plan;
pub mod report;
pub mod rig;
pub mod signal;
pub mod standin;
pub mod status;
pub mod stream;
pub mod torture;

pub use client::Client;
pub use error::Error;
pub use operator::OperatorClient;
pub use option::{Common, Format};
