//! Processes of a whole deployment on one machine, for demonstrations and tests.
//!
//! The rule that a process of the system starts no other binds the daemon; this is the test tool.

use crate::Error;
use serde::Deserialize;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

/// Name of the program that serves stand-ins.
const DESK: &str = "linnetdrift";
/// Name of the program that serves entries, agents and relays.
const DAEMON: &str = "linnetdriftd";

/// Line that a process prints once it serves.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Ready {
    /// Where it serves.
    pub listen: SocketAddr,
    /// Where it publishes news, if it does.
    #[serde(default)]
    pub news: Option<SocketAddr>,
    /// Where it is asked whether it takes callers, if it is.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Where it serves metrics, if it does.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// A process that serves.
#[derive(Debug)]
pub struct Process {
    /// Name in messages and of its log file.
    pub name: String,
    /// Its addresses.
    pub ready: Ready,
    child: Child,
}

/// A signal to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends it at once, with nothing said to anyone.
    Kill,
    /// Freezes it.
    Stop,
    /// Lets a frozen one go on.
    Continue,
    /// Asks it to stop gracefully.
    Terminate,
    /// Asks it to read its settings again.
    Reload,
}

impl Signal {
    /// Name that the `kill` command takes.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
            Self::Terminate => "TERM",
            Self::Reload => "HUP",
        }
    }
}

/// Processes that stop together.
#[derive(Debug)]
pub struct Fleet {
    programs: PathBuf,
    directory: PathBuf,
    processes: Vec<Process>,
}

impl Fleet {
    /// A fleet of the programs beside the one that runs; settings and logs go into a new directory.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if the directory cannot be made.
    pub fn new(directory: impl Into<PathBuf>) -> Result<Self, Error> {
        let program = std::env::current_exe().map_err(failed("own path"))?;
        Self::with_programs(directory, program.parent().unwrap_or(Path::new(".")))
    }

    /// A fleet of the programs in a directory; settings and logs go into a new directory.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if the directory for settings and logs cannot be made.
    pub fn with_programs(
        directory: impl Into<PathBuf>,
        programs: impl Into<PathBuf>,
    ) -> Result<Self, Error> {
        let directory = directory.into();
        std::fs::create_dir_all(&directory).map_err(failed("directory"))?;
        Ok(Self {
            programs: programs.into(),
            directory,
            processes: Vec::new(),
        })
    }

    /// Path of one of the programs.
    #[must_use]
    pub fn program(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    /// Number of the process of that name.
    #[must_use]
    pub fn process_id(&self, name: &str) -> Option<u32> {
        let process = self.processes.iter().find(|process| process.name == name)?;
        Some(process.child.id())
    }

    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub fn standin(
        &mut self,
        name: &str,
        kind: standin::Kind,
        options: &standin::Options,
    ) -> Result<SocketAddr, Error> {
        let options = serde_json::to_string(options).map_err(failed(name))?;
        let arguments = ["standin", kind.name(), "--options", &options];
        self.start(name, DESK, &arguments).map(|ready| ready.listen)
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub fn entry(&mut self, settings: &setting::Entry) -> Result<Ready, Error> {
        self.daemon("entry", &settings.id, settings)
    }

    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub fn agent(&mut self, settings: &setting::Agent) -> Result<Ready, Error> {
        self.daemon("agent", &settings.id, settings)
    }

    /// Starts a relay.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub fn relay(&mut self, settings: &setting::Relay) -> Result<Ready, Error> {
        self.daemon("relay", &settings.id, settings)
    }

    /// File with what a process has written.
    #[must_use]
    pub fn log(&self, name: &str) -> PathBuf {
        self.directory.join(format!("{name}.log"))
    }

    /// Writes the settings of a process anew; it hears of them by a signal or at its next start.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if they cannot be written.
    pub fn configure(&self, id: &str, settings: &impl serde::Serialize) -> Result<PathBuf, Error> {
        let path = self.directory.join(format!("{id}.json"));
        let text = serde_json::to_string_pretty(settings).map_err(failed(id))?;
        std::fs::write(&path, text).map_err(failed(id))?;
        Ok(path)
    }

    /// Ends a process at once, as a machine that fails does.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no process of that name or it cannot be ended.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        let place = self.processes.iter().position(|one| one.name == name);
        let place = place.ok_or_else(|| failed(name)("no such process"))?;
        let mut process = self.processes.remove(place);
        process.child.kill().map_err(failed(name))?;
        process.child.wait().map_err(failed(name))?;
        Ok(())
    }

    /// Sends a signal to a process that was started here and has not been seen to end.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such process or the signal cannot be sent.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<(), Error> {
        let process = self.processes.iter().find(|process| process.name == name);
        let process = process.ok_or_else(|| unknown(name))?;
        process.signal(signal).map_err(failed(name))
    }

    /// Addresses of a process that was started here and has not been seen to end.
    #[must_use]
    pub fn ready(&self, name: &str) -> Option<Ready> {
        let process = self.processes.iter().find(|process| process.name == name)?;
        Some(process.ready)
    }

    /// Whether a process was started here and has not been seen to end.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.processes.iter().any(|process| process.name == name)
    }

    /// How a process ended, if it has; it then no longer belongs to the fleet.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such process.
    pub fn try_wait(&mut self, name: &str) -> Result<Option<ExitStatus>, Error> {
        let mut processes = self.processes.iter_mut();
        let index = processes.position(|process| process.name == name);
        let index = index.ok_or_else(|| unknown(name))?;
        let status = self.processes[index].child.try_wait();
        let status = status.map_err(failed(name))?;
        if status.is_some() {
            self.processes.remove(index);
        }
        Ok(status)
    }

    /// Asks all processes to stop, the last started first, and waits for each.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] naming the processes that did not end with 0.
    pub fn stop(&mut self) -> Result<(), Error> {
        let mut failures = Vec::new();
        while let Some(mut process) = self.processes.pop() {
            match process.stop() {
                Ok(status) if status.success() => {}
                Ok(status) => failures.push(format!("{}: {status}", process.name)),
                Err(error) => failures.push(format!("{}: {error}", process.name)),
            }
        }
        match failures.is_empty() {
            true => Ok(()),
            false => Err(Error::Failed {
                reason: failures.join(", "),
            }),
        }
    }

    fn daemon(
        &mut self,
        role: &str,
        id: &str,
        settings: &impl serde::Serialize,
    ) -> Result<Ready, Error> {
        let path = self.configure(id, settings)?.display().to_string();
        self.start(id, DAEMON, &[role, &path])
    }

    fn start(&mut self, name: &str, program: &str, arguments: &[&str]) -> Result<Ready, Error> {
        let mut log = File::create(self.log(name)).map_err(failed(name))?;
        let mut child = Command::new(self.program(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone().map_err(failed(name))?)
            .spawn()
            .map_err(failed(name))?;
        let output = child.stdout.take().map(BufReader::new);
        let Some(ready) = output.and_then(|output| until_ready(output, &mut log)) else {
            let status = child.wait().map_err(failed(name))?;
            return Err(Error::Failed {
                reason: format!("{name} ended with {status} before it served"),
            });
        };
        self.processes.push(Process {
            name: name.to_owned(),
            ready,
            child,
        });
        Ok(ready)
    }
}

impl Process {
    /// Asks the process to stop and waits until it has.
    fn stop(&mut self) -> std::io::Result<ExitStatus> {
        if let Some(status) = self.child.try_wait()? {
            return Ok(status);
        }
        self.signal(Signal::Terminate)?;
        self.child.wait()
    }

    /// The standard library only has SIGKILL. The process has not been waited for, so that its id
    /// cannot have passed to another one.
    fn signal(&self, signal: Signal) -> std::io::Result<()> {
        let id = self.child.id().to_string();
        let script = format!("kill -{} \"$0\"", signal.name());
        let status = Command::new("sh").args(["-c", &script, &id]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(std::io::Error::other(format!("kill ended with {status}"))),
        }
    }
}

/// A failed demonstration must leave no processes behind, which would keep their ports and go on
/// taking processor time unseen.
impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

/// Waits for the line that tells the addresses. A relay logs to the same output: all lines go to its
/// log.
fn until_ready(mut output: BufReader<ChildStdout>, log: &mut File) -> Option<Ready> {
    let mut line = String::new();
    while output.read_line(&mut line).ok()? > 0 {
        log.write_all(line.as_bytes()).ok()?;
        if let Ok(ready) = serde_json::from_str(&line) {
            let mut log = log.try_clone().ok()?;
            // Ends with the process, whose output ends then.
            std::thread::spawn(move || std::io::copy(&mut output, &mut log));
            return Some(ready);
        }
        line.clear();
    }
    None
}

fn unknown(name: &str) -> Error {
    Error::Failed {
        reason: format!("there is no process {name}"),
    }
}

fn failed<E: std::fmt::Display>(what: &str) -> impl FnOnce(E) -> Error {
    let what = what.to_owned();
    move |error| Error::Failed {
        reason: format!("{what}: {error}"),
    }
}
