//! Signals that reach a relay as it starts or stops.

#![allow(clippy::unwrap_used, missing_docs)]

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longer than any step takes, even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two signals, a part of the grace period.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(40);
/// Processes that are started in each test.
const ROUNDS: u32 = 24;

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Writes the settings of a relay whose table service cannot be reached, and returns their path.
fn settings(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("relay_signals");
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join(format!("{name}.json"));
    let text = format!(
        r#"{{"id": "relay-1", "place": {{"region": "r", "domain": "a"}}, "listen": "127.0.0.1:0",
        "ready": "127.0.0.1:0", "metrics": "127.0.0.1:0", "peers": "127.0.0.1:0", "key": "k",
        "store": "{}", "grace_s": 0.8}}"#,
        free_address()
    );
    std::fs::write(&path, text).unwrap();
    path
}

/// A relay whose first line of output, which says that it starts, has a shell send it a signal.
struct Relay {
    child: Child,
    shell: Child,
    output: BufReader<ChildStdout>,
    /// Lines that have been read.
    lines: String,
}

impl Relay {
    fn start(name: &str, signal: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_linnetdriftd"))
            .args(["relay".as_ref(), settings(name).as_os_str()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let script = "read -r line; kill -$1 $0; echo \"$line\"; cat";
        let mut shell = Command::new("sh")
            .args(["-c", script, &child.id().to_string(), signal])
            .stdin(child.stdout.take().unwrap())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(shell.stdout.take().unwrap());
        let lines = String::new();
        Self {
            child,
            shell,
            output,
            lines,
        }
    }

    /// Returns whether the process has started, or else has ended.
    fn wait_until_started(&mut self) -> bool {
        while !self.lines.contains("\"started\"") {
            if self.output.read_line(&mut self.lines).unwrap() == 0 {
                return false;
            }
        }
        true
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let script = format!("kill -{signal} \"$0\"");
        let sent = Command::new("sh").args(["-c", &script, &id]).status();
        assert!(sent.unwrap().success());
    }

    /// Waits until the process has exited, and returns how, with its output.
    fn end(mut self) -> (ExitStatus, String) {
        let end = Instant::now() + TIMEOUT;
        let status = loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                break status;
            }
            assert!(Instant::now() < end, "it does not end");
            sleep(Duration::from_millis(5));
        };
        self.output.read_to_string(&mut self.lines).unwrap();
        (status, std::mem::take(&mut self.lines))
    }
}

/// Ends the processes of a test that fails.
impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = self.shell.wait();
    }
}

/// Guards against a process that dies of SIGTERM while it starts, with connections that it has accepted and a row
/// that it has written.
#[test]
fn stop_while_starting() {
    let mut killed = Vec::new();
    for _ in 0..ROUNDS {
        let (status, output) = Relay::start("term", "TERM").end();
        if !(status.success() && output.contains("\"stopped\"")) {
            killed.push((status, output));
        }
    }
    let count = killed.len();
    assert!(killed.is_empty(), "{count} of {ROUNDS}: {:?}", killed[0]);
}

/// Guards against a process that dies of SIGHUP while it starts, since the operator changes the settings just
/// then.
#[test]
fn reload_while_starting() {
    let mut killed = Vec::new();
    for _ in 0..ROUNDS {
        let mut relay = Relay::start("hup", "HUP");
        if relay.wait_until_started() {
            relay.signal("TERM");
        }
        let (status, output) = relay.end();
        if !status.success() {
            killed.push((status, output));
        }
    }
    let count = killed.len();
    assert!(killed.is_empty(), "{count} of {ROUNDS}: {:?}", killed[0]);
}

/// Guards against a process that dies of a second SIGTERM, or of a SIGHUP, while it stops.
#[test]
fn signals_while_stopping() {
    // Signal 0 does nothing.
    let mut relay = Relay::start("both", "0");
    assert!(relay.wait_until_started(), "it ends");
    for signal in ["TERM", "TERM", "HUP", "INT", "HUP"] {
        relay.signal(signal);
        sleep(BETWEEN_SIGNALS);
    }
    let (status, output) = relay.end();
    assert!(status.success(), "{status}: {output}");
    assert!(output.contains("\"stopped\""), "{output}");
}
