//! `standin`: runs a stand-in for a platform service or a runner as a separate process.

use crate::command::{Command, Help};
use crate::signal::StopSignals;
use crate::{Common, Error, option, output};
use getopts::{Matches, Options};
use serde::Serialize;
use standin::{Kind, Server};
use std::net::{Ipv4Addr, SocketAddr};

/// Runs a stand-in until SIGTERM or SIGINT arrives.
#[derive(Debug)]
pub struct Standin {
    kind: Kind,
    listen: SocketAddr,
    options: standin::Options,
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
        about: "Serve a stand-in: table, object, weight, vm, engine, pool or plain",
    };

    fn declare(options: &mut Options) {
        options.optopt("", "listen", "where to listen (127.0.0.1:0)", "IP:PORT");
        options.optopt("", "options", "options of the kind", "JSON");
    }

    fn parse(matches: &Matches) -> Result<Self, Error> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let options = matches.opt_str("options").unwrap_or("{}".to_owned());
        Ok(Self {
            kind: kind(matches)?,
            listen: option::parse(matches, "listen")?.unwrap_or(any_port),
            options: serde_json::from_str(&options)
                .map_err(|error| Error::usage(format!("--options: {error}")))?,
        })
    }

    async fn run(self, _common: &Common) -> Result<(), Error> {
        let Self {
            kind,
            listen,
            options,
        } = self;
        let server = standin::start(kind, listen, options).await;
        let server: Server = server.map_err(|error| Error::Failed {
            reason: error.to_string(),
        })?;
        let ready = Ready {
            role: "standin",
            kind: kind.name(),
            listen: server.address(),
        };
        output::json(&ready)?;
        StopSignals::install().wait().await;
        server.stop().await;
        Ok(())
    }
}

fn kind(matches: &Matches) -> Result<Kind, Error> {
    let text = option::single_argument(matches, "KIND")?;
    text.parse()
        .map_err(|error| Error::usage(format!("KIND `{text}`: {error}")))
}
