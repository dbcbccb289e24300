//! Process control for a complete deployment on one machine, for demonstrations and tests.
//!
//! The rule that processes of the system start no other processes applies to the daemon, not to
//! this test tool.

use crate::Error;
use serde::Deserialize;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

/// Name of the program that runs stand-ins.
const CLIENT: &str = "linnetdrift";
/// Name of the program that runs entries, agents and relays.
const DAEMON: &str = "linnetdriftd";

/// Line that a process prints once it accepts connections.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Ready {
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Address at which it publishes notifications, if it does.
    #[serde(default)]
    pub news: Option<SocketAddr>,
    /// Address of its readiness check, if it has one.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Address of its metrics, if it serves any.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    /// Name, used in error messages and for the log file.
    pub name: String,
    /// Addresses that it listens on.
    pub ready: Ready,
    child: Child,
}

/// A signal that can be sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Kills the process immediately, without a graceful shutdown.
    Kill,
    /// Suspends the process.
    Stop,
    /// Resumes a suspended process.
    Continue,
    /// Requests a graceful shutdown.
    Terminate,
    /// Requests a reload of the settings.
    Reload,
}

impl Signal {
    /// Returns the name of the signal as the `kill` command expects it.
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

/// Processes that are started and stopped together.
#[derive(Debug)]
pub struct Fleet {
    programs: PathBuf,
    directory: PathBuf,
    processes: Vec<Process>,
}

impl Fleet {
    /// Creates a fleet that runs the programs in the directory of the current program. Settings and
    /// logs are written to `directory`.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if the directory cannot be created.
    pub fn new(directory: impl Into<PathBuf>) -> Result<Self, Error> {
        let program = std::env::current_exe().map_err(failed("path of the running program"))?;
        Self::with_programs(directory, program.parent().unwrap_or(Path::new(".")))
    }

    /// Creates a fleet that runs the programs in the directory `programs`. Settings and logs are
    /// written to `directory`.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if the directory for settings and logs cannot be created.
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

    /// Returns the path of a program.
    #[must_use]
    pub fn program(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    /// Returns the process id of a running process.
    #[must_use]
    pub fn process_id(&self, name: &str) -> Option<u32> {
        let process = self.processes.iter().find(|process| process.name == name)?;
        Some(process.child.id())
    }

    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not become ready.
    pub fn standin(
        &mut self,
        name: &str,
        kind: standin::Kind,
        options: &standin::Options,
    ) -> Result<SocketAddr, Error> {
        let options = serde_json::to_string(options).map_err(failed(name))?;
        let arguments = ["standin", kind.name(), "--options", &options];
        self.start(name, CLIENT, &arguments)
            .map(|ready| ready.listen)
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not become ready.
    pub fn entry(&mut self, settings: &setting::Entry) -> Result<Ready, Error> {
        self.daemon("entry", &settings.id, settings)
    }

    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not become ready.
    pub fn agent(&mut self, settings: &setting::Agent) -> Result<Ready, Error> {
        self.daemon("agent", &settings.id, settings)
    }

    /// Starts a relay.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not become ready.
    pub fn relay(&mut self, settings: &setting::Relay) -> Result<Ready, Error> {
        self.daemon("relay", &settings.id, settings)
    }

    /// Returns the path of a process's log file.
    #[must_use]
    pub fn log(&self, name: &str) -> PathBuf {
        self.directory.join(format!("{name}.log"))
    }

    /// Overwrites the settings of a process, which reads them at its next start or on
    /// [`Signal::Reload`].
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

    /// Kills a process, to simulate the failure of its machine.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no process of that name or it cannot be killed.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        let index = self.processes.iter().position(|one| one.name == name);
        let index = index.ok_or_else(|| failed(name)("no such process"))?;
        let mut process = self.processes.remove(index);
        process.child.kill().map_err(failed(name))?;
        process.child.wait().map_err(failed(name))?;
        Ok(())
    }

    /// Sends a signal to a running process.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such process or the signal cannot be sent.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<(), Error> {
        let process = self.processes.iter().find(|process| process.name == name);
        let process = process.ok_or_else(|| unknown_process(name))?;
        process.signal(signal).map_err(failed(name))
    }

    /// Returns the addresses of a running process.
    #[must_use]
    pub fn ready(&self, name: &str) -> Option<Ready> {
        let process = self.processes.iter().find(|process| process.name == name)?;
        Some(process.ready)
    }

    /// Returns whether a process was started and its exit has not been observed.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.processes.iter().any(|process| process.name == name)
    }

    /// Returns the exit status of a process if it has exited, and then removes it from the fleet.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such process.
    pub fn try_wait(&mut self, name: &str) -> Result<Option<ExitStatus>, Error> {
        let mut processes = self.processes.iter_mut();
        let index = processes.position(|process| process.name == name);
        let index = index.ok_or_else(|| unknown_process(name))?;
        let status = self.processes[index].child.try_wait();
        let status = status.map_err(failed(name))?;
        if status.is_some() {
            self.processes.remove(index);
        }
        Ok(status)
    }

    /// Stops all processes gracefully in reverse order of their start, and waits for each.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] naming the processes that did not exit with 0.
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
        let Some(ready) = output.and_then(|output| read_until_ready(output, &mut log)) else {
            let status = child.wait().map_err(failed(name))?;
            return Err(Error::Failed {
                reason: format!("{name} exited with {status} before it was ready"),
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
    /// Sends SIGTERM and waits until the process has exited.
    fn stop(&mut self) -> std::io::Result<ExitStatus> {
        if let Some(status) = self.child.try_wait()? {
            return Ok(status);
        }
        self.signal(Signal::Terminate)?;
        self.child.wait()
    }

    /// Sends a signal with the `kill` command, as the standard library supports SIGKILL only. The
    /// process has not been waited for, so its id cannot have been reused.
    fn signal(&self, signal: Signal) -> std::io::Result<()> {
        let id = self.child.id().to_string();
        let script = format!("kill -{} \"$0\"", signal.name());
        let status = Command::new("sh").args(["-c", &script, &id]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(std::io::Error::other(format!("kill exited with {status}"))),
        }
    }
}

/// Kills all processes, so that a failed run leaves none behind that would keep ports in use and
/// consume processor time.
impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

/// Waits for the line with the addresses. A relay logs to the same output, so all lines are copied
/// to the log file.
fn read_until_ready(mut output: BufReader<ChildStdout>, log: &mut File) -> Option<Ready> {
    let mut line = String::new();
    while output.read_line(&mut line).ok()? > 0 {
        log.write_all(line.as_bytes()).ok()?;
        if let Ok(ready) = serde_json::from_str(&line) {
            let mut log = log.try_clone().ok()?;
            // The thread ends when the process exits, which closes its output.
            std::thread::spawn(move || std::io::copy(&mut output, &mut log));
            return Some(ready);
        }
        line.clear();
    }
    None
}

fn unknown_process(name: &str) -> Error {
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
