//! `load`: open-loop load on a deployment.
//!
//! Requests are sent at times that were drawn beforehand, whatever has become of the earlier ones,
//! and each latency counts from the intended time: a system that stalls is charged for everything
//! that should have been sent meanwhile.
//!
//! * [`arrival`]: when which request is to be sent
//! * [`caller`]: sends one request and says what became of it
//! * [`drive`]: sends all of them at their times
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

/// Most requests that one run sends.
const MOST_REQUESTS: f64 = 1e6;

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
        about: "Send requests at a steady mean rate and print what became of them",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "workspace", "workspace of the callers (load)", "NAME");
        options.optopt("", "rate", "requests a second (10)", "N");
        options.optopt("", "seconds", "how long requests are sent (10)", "N");
        options.optopt("", "deadline", "deadline in milliseconds (1000)", "MS");
        options.optopt("", "tokens", "tokens of each answer (16)", "N");
        options.optopt("", "seed", "seed of the arrival times (1)", "N");
        options.optflag("", "stream", "ask for streams");
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
        if !(load.rate > 0.0 && load.rate * load.span.as_secs_f64() <= MOST_REQUESTS) {
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
