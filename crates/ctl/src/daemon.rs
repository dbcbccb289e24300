//! Roles of `linnetdriftd`.

use crate::error::FileSnafu;
use crate::{Error, command, output, signal};
use getopts::Options;
use serde::Serialize;
use slog::{Logger, info};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::process::ExitCode;

/// First lines of the help.
const USAGE: &str = "\
Usage: linnetdriftd entry|agent SETTINGS [OPTIONS]

Serves one role with the settings of a file until SIGTERM or SIGINT asks it to stop; it then
finishes what runs and exits with 0. Bad settings are all reported and end it with 2. Once it
serves, it prints one line of JSON with its addresses. Logs go to standard error.";

/// Roles that the first argument names.
const ROLES: [&str; 2] = ["entry", "agent"];

/// Where a process serves, printed once it does.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Ready {
    /// Role of the process.
    pub role: &'static str,
    /// Name of its VM.
    pub id: String,
    /// Where it serves.
    pub listen: SocketAddr,
    /// Where it publishes news, if it does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub news: Option<SocketAddr>,
    /// Where it serves metrics.
    pub metrics: SocketAddr,
}

/// What the arguments ask for.
enum Request {
    Print(String),
    Entry(Box<setting::Entry>),
    Agent(Box<setting::Agent>),
}

/// Runs the daemon and gives the exit code.
pub async fn main(arguments: &[String]) -> ExitCode {
    match run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnetdriftd: {error}");
            error.exit().into()
        }
    }
}

async fn run(arguments: &[String]) -> Result<(), Error> {
    match request(arguments)? {
        Request::Print(text) => output::line(text),
        Request::Entry(settings) => {
            let log = metric::log::logger("entry", &settings.id);
            logged(log.clone(), run_entry(*settings, log)).await
        }
        Request::Agent(settings) => {
            let log = metric::log::logger("agent", &settings.id);
            logged(log.clone(), run_agent(*settings, log)).await
        }
    }
}

async fn logged(log: Logger, role: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    info!(log, "starting"; "version" => env!("CARGO_PKG_VERSION"));
    let result = role.await;
    info!(log, "stopped"; "clean" => result.is_ok());
    result
}

fn request(arguments: &[String]) -> Result<Request, Error> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("", "version", "print the version");
    let matches = options
        .parse(arguments)
        .map_err(|error| Error::usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Request::Print(options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        return Ok(Request::Print(command::version("linnetdriftd")));
    }
    let [role, path] = matches.free.as_slice() else {
        return Err(wrong_arguments(&matches.free));
    };
    let found = |findings| Error::Found { findings };
    match role.as_str() {
        "entry" => {
            let settings = setting::entry::parse(&read(path)?, path).map_err(found)?;
            Ok(Request::Entry(Box::new(settings)))
        }
        "agent" => {
            let settings = setting::agent::parse(&read(path)?, path).map_err(found)?;
            Ok(Request::Agent(Box::new(settings)))
        }
        _ => Err(no_role(role)),
    }
}

fn wrong_arguments(arguments: &[String]) -> Error {
    match arguments {
        [] => Error::usage("the role is missing: entry or agent"),
        [role] if !ROLES.contains(&role.as_str()) => no_role(role),
        [_] => Error::usage("SETTINGS is missing"),
        _ => Error::usage(format!("unexpected argument `{}`", arguments[2])),
    }
}

fn no_role(role: &str) -> Error {
    Error::usage(format!("there is no role `{role}`: entry or agent"))
}

fn read(path: &str) -> Result<String, Error> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

async fn run_entry(settings: setting::Entry, log: Logger) -> Result<(), Error> {
    let id = settings.id.clone();
    let ready = |ready: entry::Ready| {
        announce(&Ready {
            role: "entry",
            id,
            listen: ready.listen,
            news: ready.news,
            metrics: ready.metrics,
        });
    };
    let result = entry::run(settings, log, ready, signal::stop()).await;
    result.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
}

async fn run_agent(settings: setting::Agent, log: Logger) -> Result<(), Error> {
    let id = settings.id.clone();
    let ready = |ready: agent::Ready| {
        announce(&Ready {
            role: "agent",
            id,
            listen: ready.listen,
            news: ready.news,
            metrics: ready.metrics,
        });
    };
    let result = agent::run(settings, log, ready, signal::stop()).await;
    result.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
}

/// Nobody may read the line; a process that serves goes on without it.
fn announce(ready: &Ready) {
    let _ = output::json(ready);
}
