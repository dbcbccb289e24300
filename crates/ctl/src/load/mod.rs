//! `load`: generates open-loop load on a deployment.
//!
//! Requests are sent at times drawn in advance, whether or not earlier requests have finished. Each
//! latency is measured from the scheduled time, so that a stall of the system counts for all requests
//! that were due during the stall.
//!
//! * [`arrival`]: the schedule of requests
//! * [`caller`]: sends one request and returns its outcome
//! * [`drive`]: sends all requests at their scheduled times
//! * [`tally`]: counts and histograms

pub mod arrival;
pub mod caller;
pub mod drive;
pub mod tally;

use crate::command::{Command, Help};
use crate::{Common, Error, Format, option, output};
use arrival::{Source, Work};
use caller::Caller;
use getopts::{Matches, Options};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of requests in one run.
const MAX_REQUESTS: f64 = 1e6;

/// Sends requests to a pipeline at a steady mean rate.
#[derive(Debug)]
pub struct Load {
    work: Work,
    workspace: String,
    rate: f64,
    span: Duration,
    seed: u64,
}

impl Command for Load {
    const HELP: Help = Help {
        name: "load",
        arguments: "PIPELINE",
        about: "Send requests at a steady mean rate and print their outcomes",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "workspace", "workspace of the callers (load)", "NAME");
        options.optopt("", "rate", "requests a second (10)", "N");
        options.optopt("", "seconds", "how long requests are sent (10)", "N");
        options.optopt("", "deadline", "deadline in milliseconds (1000)", "MS");
        options.optopt("", "tokens", "tokens of each answer (16)", "N");
        options.optopt("", "seed", "seed of the arrival times (1)", "N");
        options.optflag("", "stream", "request streams");
        options.optflag("", "once", "send an idempotency key with each request");
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        let deadline = option::parse(matches, "deadline")?.unwrap_or(1_000);
        let load = Self {
            work: Work {
                pipeline: option::single_argument(matches, "PIPELINE")?,
                operations: Vec::new(),
                stream: matches.opt_present("stream"),
                once: matches.opt_present("once"),
                deadline: Duration::from_millis(deadline),
                tokens: option::parse(matches, "tokens")?.unwrap_or(16),
                prefixes: 0,
            },
            workspace: matches.opt_str("workspace").unwrap_or("load".to_owned()),
            rate: option::parse(matches, "rate")?.unwrap_or(10.0),
            span: Duration::from_secs(option::parse(matches, "seconds")?.unwrap_or(10)),
            seed: option::parse(matches, "seed")?.unwrap_or(1),
        };
        if !(load.rate > 0.0 && load.rate * load.span.as_secs_f64() <= MAX_REQUESTS) {
            return Err(Error::usage("--rate times --seconds must be from 0 to 1e6"));
        }
        Ok(load)
    }

    async fn run(self, common: &Common) -> Result<(), Error> {
        let entries = common.entries.iter().map(|entry| entry.authority.parse());
        let entries: Vec<SocketAddr> = entries
            .collect::<Result<_, _>>()
            .map_err(|_| Error::usage("--entry must be IP:PORT, in plain text"))?;
        if entries.is_empty() {
            return Err(Error::usage("--entry is missing"));
        }
        let (rate, span) = (self.rate, self.span);
        let source = Source::steady(self.work, &self.workspace, rate, span);
        let arrivals = arrival::draw(&[source], self.seed);
        let caller = Caller::new(&entries, false);
        let tally = drive::run(&caller, arrivals, Duration::ZERO).await;
        let counts = tally.summary();
        let text = serde_json::to_string_pretty(&counts).unwrap_or_default();
        match common.format {
            Format::Text => output::line(text),
            Format::Json => output::print(Format::Json, "", &counts),
        }
    }
}
