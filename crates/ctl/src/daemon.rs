//! Roles of `linnetdriftd`.

use crate::error::FileSnafu;
use crate::signal::{ReloadSignals, StopSignals};
use crate::{Error, command, output};
use getopts::Options;
use serde::Serialize;
use slog::{Logger, info, warn};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

/// First lines of the help text.
const USAGE: &str = "\
Usage: linnetdriftd entry|agent|relay [SETTINGS] [OPTIONS]

Serves one role with the settings of a file until SIGTERM or SIGINT asks it to stop; it then
finishes what runs and exits with 0. Bad settings are all reported and end it with 2. Once it
serves, it prints one line of JSON with its addresses. Logs go to standard error, those of a
relay to standard output, where `started` has the addresses. Without SETTINGS the variable
LINNETDRIFT_CONFIG names the file.";

/// Valid values of the first argument.
const ROLES: [&str; 3] = ["entry", "agent", "relay"];
/// Environment variable with the path of the settings file, used if no argument gives one.
const CONFIG_VARIABLE: &str = "LINNETDRIFT_CONFIG";

/// Addresses of a process, printed once it accepts connections.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Ready {
    /// Role of the process.
    pub role: &'static str,
    /// Name of its VM.
    pub id: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Address at which it publishes notifications, if it does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub news: Option<SocketAddr>,
    /// Address of its metrics.
    pub metrics: SocketAddr,
}

/// A parsed command line.
enum Invocation {
    Print(String),
    Entry(Box<setting::Entry>),
    Agent(Box<setting::Agent>),
    Relay {
        settings: Box<setting::Relay>,
        path: String,
    },
}

/// Runs the daemon and returns the exit code.
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
    match parse_arguments(arguments)? {
        Invocation::Print(text) => output::line(text),
        Invocation::Entry(settings) => {
            let log = metric::log::logger("entry", &settings.id);
            let _hook = metric::panic::install(log.clone());
            multi_thread_runtime()?.block_on(async {
                let signals = (StopSignals::install(), ReloadSignals::install());
                log_lifecycle(log.clone(), run_entry(*settings, log, signals)).await
            })
        }
        Invocation::Agent(settings) => {
            let log = metric::log::logger("agent", &settings.id);
            let _hook = metric::panic::install(log.clone());
            multi_thread_runtime()?.block_on(async {
                let signals = (StopSignals::install(), ReloadSignals::install());
                log_lifecycle(log.clone(), run_agent(*settings, log, signals)).await
            })
        }
        Invocation::Relay { settings, path } => {
            let log = metric::log::logger_to(std::io::stdout(), "relay", &settings.id);
            let _hook = metric::panic::install(log.clone());
            single_thread_runtime()?.block_on(async {
                let signals = (StopSignals::install(), ReloadSignals::install());
                log_lifecycle(log.clone(), run_relay(*settings, path, log, signals)).await
            })
        }
    }
}

fn multi_thread_runtime() -> Result<Runtime, Error> {
    map_build_error(Builder::new_multi_thread().enable_all().build())
}

/// Builds a single-threaded runtime: a relay runs on VMs with a fraction of one core, where more
/// threads would only compete for it.
fn single_thread_runtime() -> Result<Runtime, Error> {
    map_build_error(Builder::new_current_thread().enable_all().build())
}

fn map_build_error(runtime: std::io::Result<Runtime>) -> Result<Runtime, Error> {
    runtime.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
}

async fn log_lifecycle(
    log: Logger,
    role: impl Future<Output = Result<(), Error>>,
) -> Result<(), Error> {
    info!(log, "starting"; "version" => env!("CARGO_PKG_VERSION"));
    let result = role.await;
    info!(log, "stopped"; "clean" => result.is_ok());
    result
}

fn parse_arguments(arguments: &[String]) -> Result<Invocation, Error> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("", "version", "print the version");
    let matches = options
        .parse(arguments)
        .map_err(|error| Error::usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Invocation::Print(options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Print(command::version("linnetdriftd")));
    }
    let (role, path) = match matches.free.as_slice() {
        [role, path] => (role, path.clone()),
        [role] => (
            role,
            settings_path_from_env().ok_or_else(|| wrong_arguments(&matches.free))?,
        ),
        _ => return Err(wrong_arguments(&matches.free)),
    };
    let invalid = |findings| Error::Invalid { findings };
    match role.as_str() {
        "entry" => {
            let settings = setting::entry::parse(&read(&path)?, &path).map_err(invalid)?;
            Ok(Invocation::Entry(Box::new(settings)))
        }
        "agent" => {
            let settings = setting::agent::parse(&read(&path)?, &path).map_err(invalid)?;
            Ok(Invocation::Agent(Box::new(settings)))
        }
        "relay" => {
            let settings = setting::relay::parse(&read(&path)?, &path).map_err(invalid)?;
            let settings = Box::new(settings);
            Ok(Invocation::Relay { settings, path })
        }
        _ => Err(unknown_role(role)),
    }
}

fn wrong_arguments(arguments: &[String]) -> Error {
    match arguments {
        [] => Error::usage("the role is missing: entry, agent or relay"),
        [role] if !ROLES.contains(&role.as_str()) => unknown_role(role),
        [_] => Error::usage("SETTINGS is missing"),
        _ => Error::usage(format!("unexpected argument `{}`", arguments[2])),
    }
}

fn unknown_role(role: &str) -> Error {
    Error::usage(format!("there is no role `{role}`: entry, agent or relay"))
}

/// Returns the path of the settings file from the environment.
fn settings_path_from_env() -> Option<String> {
    std::env::var(CONFIG_VARIABLE)
        .ok()
        .filter(|path| !path.is_empty())
}

fn read(path: &str) -> Result<String, Error> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

async fn run_entry(
    settings: setting::Entry,
    log: Logger,
    (stop, reloads): (StopSignals, ReloadSignals),
) -> Result<(), Error> {
    let id = settings.id.clone();
    let ready = |ready: entry::Ready| {
        print_ready(&Ready {
            role: "entry",
            id,
            listen: ready.listen,
            news: ready.news,
            metrics: ready.metrics,
        });
    };
    let running = entry::run(settings, log.clone(), ready, stop.wait());
    let result = ignore_reloads(reloads, &log, running).await;
    result.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
}

async fn run_agent(
    settings: setting::Agent,
    log: Logger,
    (stop, reloads): (StopSignals, ReloadSignals),
) -> Result<(), Error> {
    let id = settings.id.clone();
    let ready = |ready: agent::Ready| {
        print_ready(&Ready {
            role: "agent",
            id,
            listen: ready.listen,
            news: ready.news,
            metrics: ready.metrics,
        });
    };
    let running = agent::run(settings, log.clone(), ready, stop.wait());
    let result = ignore_reloads(reloads, &log, running).await;
    result.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
}

/// Serves a role that reads its settings only when it starts. Without a handler, a signal to reload them would end
/// the process.
async fn ignore_reloads<T>(
    reloads: ReloadSignals,
    log: &Logger,
    role: impl Future<Output = T>,
) -> T {
    let ignoring = reloads.run(|| {
        warn!(log, "reload ignored"; "reason" => "this role reads its settings only when it starts");
    });
    tokio::select! {
        result = role => result,
        never = ignoring => match never {},
    }
}

async fn run_relay(
    settings: setting::Relay,
    path: String,
    log: Logger,
    (stop, reloads): (StopSignals, ReloadSignals),
) -> Result<(), Error> {
    // The log is written to the same output and contains the addresses. A line printed here could
    // be interleaved with one from the logging thread, which would make both unreadable.
    let ready = |_: platform::Ready| {};
    let (settings_sender, settings) = watch::channel(settings);
    let reloading = reloads.run(|| reload(&path, &settings_sender, &log));
    let running = platform::run(settings, log.clone(), ready, stop.wait());
    let result = tokio::select! {
        result = running => result,
        never = reloading => match never {},
    };
    result.map_err(|error| Error::Failed {
        reason: error.to_string(),
    })
}

/// Reloads the settings. If the file cannot be read or is invalid, a warning is logged and the
/// current settings stay in force.
fn reload(path: &str, settings_sender: &watch::Sender<setting::Relay>, log: &Logger) {
    let read = std::fs::read_to_string(path);
    let parsed = read.map(|text| setting::relay::parse(&text, path));
    match parsed {
        Ok(Ok(settings)) => drop(settings_sender.send_replace(settings)),
        Ok(Err(findings)) => warn!(log, "reload"; "settings" => path, "findings" => %findings),
        Err(error) => warn!(log, "reload"; "settings" => path, "error" => %error),
    }
}

/// Prints the addresses. Errors are ignored: the process keeps serving if its output is closed.
fn print_ready(ready: &Ready) {
    let _ = output::json(ready);
}
