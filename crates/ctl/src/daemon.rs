//! Roles of `linnetdriftd`.

use crate::error::FileSnafu;
use crate::{Error, command, output, signal};
use getopts::Options;
use serde::Serialize;
use slog::{Logger, info, warn};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

/// First lines of the help.
const USAGE: &str = "\
Usage: linnetdriftd entry|agent|relay [SETTINGS] [OPTIONS]

Serves one role with the settings of a file until SIGTERM or SIGINT asks it to stop; it then
finishes what runs and exits with 0. Bad settings are all reported and end it with 2. Once it
serves, it prints one line of JSON with its addresses. Logs go to standard error, those of a
relay to standard output, where `started` has the addresses. Without SETTINGS the variable
LINNETDRIFT_CONFIG names the file.";

/// Roles that the first argument names.
const ROLES: [&str; 3] = ["entry", "agent", "relay"];
/// Variable that names the file of settings where no argument does.
const CONFIG: &str = "LINNETDRIFT_CONFIG";

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
    Relay {
        settings: Box<setting::Relay>,
        path: String,
    },
}

/// Runs the daemon and gives the exit code.
pub fn main(arguments: &[String]) -> ExitCode {
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnetdriftd: {error}");
            error.exit().into()
        }
    }
}

fn run(arguments: &[String]) -> Result<(), Error> {
    match request(arguments)? {
        Request::Print(text) => output::line(text),
        Request::Entry(settings) => {
            let log = metric::log::logger("entry", &settings.id);
            many_threads()?.block_on(logged(log.clone(), run_entry(*settings, log)))
        }
        Request::Agent(settings) => {
            let log = metric::log::logger("agent", &settings.id);
            many_threads()?.block_on(logged(log.clone(), run_agent(*settings, log)))
        }
        Request::Relay { settings, path } => {
            let log = metric::log::logger_to(std::io::stdout(), "relay", &settings.id);
            one_thread()?.block_on(logged(log.clone(), run_relay(*settings, path, log)))
        }
    }
}

fn many_threads() -> Result<Runtime, Error> {
    built(Builder::new_multi_thread().enable_all().build())
}

/// A relay runs on VMs with a part of one core, where more threads only take turns.
fn one_thread() -> Result<Runtime, Error> {
    built(Builder::new_current_thread().enable_all().build())
}

fn built(runtime: std::io::Result<Runtime>) -> Result<Runtime, Error> {
    runtime.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
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
    let (role, path) = match matches.free.as_slice() {
        [role, path] => (role, path.clone()),
        [role] => (
            role,
            configured().ok_or_else(|| wrong_arguments(&matches.free))?,
        ),
        _ => return Err(wrong_arguments(&matches.free)),
    };
    let found = |findings| Error::Invalid { findings };
    match role.as_str() {
        "entry" => {
            let settings = setting::entry::parse(&read(&path)?, &path).map_err(found)?;
            Ok(Request::Entry(Box::new(settings)))
        }
        "agent" => {
            let settings = setting::agent::parse(&read(&path)?, &path).map_err(found)?;
            Ok(Request::Agent(Box::new(settings)))
        }
        "relay" => {
            let settings = setting::relay::parse(&read(&path)?, &path).map_err(found)?;
            let settings = Box::new(settings);
            Ok(Request::Relay { settings, path })
        }
        _ => Err(no_role(role)),
    }
}

fn wrong_arguments(arguments: &[String]) -> Error {
    match arguments {
        [] => Error::usage("the role is missing: entry, agent or relay"),
        [role] if !ROLES.contains(&role.as_str()) => no_role(role),
        [_] => Error::usage("SETTINGS is missing"),
        _ => Error::usage(format!("unexpected argument `{}`", arguments[2])),
    }
}

fn no_role(role: &str) -> Error {
    Error::usage(format!("there is no role `{role}`: entry, agent or relay"))
}

/// The file of settings that the environment names.
fn configured() -> Option<String> {
    std::env::var(CONFIG).ok().filter(|path| !path.is_empty())
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

async fn run_relay(settings: setting::Relay, path: String, log: Logger) -> Result<(), Error> {
    // Its log goes to the same output and has the addresses: a line from here could end up in the
    // middle of one from the thread that writes the log, and neither could be read.
    let ready = |_: platform::Ready| {};
    let (newest, settings) = watch::channel(settings);
    let reloading = signal::reload(|| reload(&path, &newest, &log));
    let running = platform::run(settings, log.clone(), ready, signal::stop());
    let result = tokio::select! {
        result = running => result,
        never = reloading => match never {},
    };
    result.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
}

/// Reads the settings again after they may have changed. A file with findings is reported, and those
/// in force stay.
fn reload(path: &str, newest: &watch::Sender<setting::Relay>, log: &Logger) {
    let read = std::fs::read_to_string(path);
    let parsed = read.map(|text| setting::relay::parse(&text, path));
    match parsed {
        Ok(Ok(settings)) => drop(newest.send_replace(settings)),
        Ok(Err(findings)) => warn!(log, "reload"; "settings" => path, "findings" => %findings),
        Err(error) => warn!(log, "reload"; "settings" => path, "error" => %error),
    }
}

/// Nobody may read the line; a process that serves goes on without it.
fn announce(ready: &Ready) {
    let _ = output::json(ready);
}
