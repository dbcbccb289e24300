//! `standin`: a small stand-in of the platform or of a runner, as its own process.

use crate::command::{Command, Help};
use crate::{Common, Error, option, output, signal};
use getopts::{Matches, Options};
use serde::Serialize;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

/// Serves a stand-in until it is told to stop.
#[derive(Debug)]
pub struct Standin {
    kind: String,
    listen: SocketAddr,
    options: Value,
}

#[derive(Serialize)]
struct Ready<'a> {
    role: &'static str,
    kind: &'a str,
    listen: SocketAddr,
}

impl Command for Standin {
    const HELP: Help = Help {
        name: "standin",
        arguments: "KIND",
        about: "Serve a stand-in: table, objects, weights, vms, engine, pool or plain",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "listen", "where to listen (127.0.0.1:0)", "IP:PORT");
        options.optopt("", "options", "options of the kind", "JSON");
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let options = matches.opt_str("options").unwrap_or("{}".to_owned());
        Ok(Self {
            kind: option::single(matches, "KIND")?,
            listen: option::parse(matches, "listen")?.unwrap_or(free),
            options: serde_json::from_str(&options)
                .map_err(|error| Error::usage(format!("--options is not JSON: {error}")))?,
        })
    }

    async fn run(self, _common: &Common) -> Result<(), Error> {
        let listen = start(&self.kind, self.listen, self.options)?;
        let ready = Ready {
            role: "standin",
            kind: &self.kind,
            listen,
        };
        output::print(crate::Format::Json, "", &ready)?;
        signal::stop().await;
        Ok(())
    }
}

fn start(kind: &str, _listen: SocketAddr, _options: Value) -> Result<SocketAddr, Error> {
    Err(Error::usage(format!("there is no stand-in `{kind}`")))
}
