//! Reload of the settings of a running relay.

#![allow(clippy::unwrap_used, missing_docs)]

use ctl::fleet::{Fleet, Signal};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longer than any step takes, even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn settings() -> setting::Relay {
    let text = format!(
        r#"{{"id": "relay-1", "place": {{"region": "r", "domain": "a"}}, "listen": "127.0.0.1:0",
        "ready": "127.0.0.1:0", "metrics": "127.0.0.1:0", "peers": "127.0.0.1:0", "key": "k",
        "store": "{}", "grace_s": 1.5}}"#,
        free_address()
    );
    setting::relay::parse(&text, "test").unwrap()
}

/// Waits until a log contains a line with all of these parts, and returns the line.
fn wait_for_line(log: &Path, parts: &[&str]) -> String {
    let end = Instant::now() + TIMEOUT;
    loop {
        let text = std::fs::read_to_string(log).unwrap();
        let matches = |line: &&str| parts.iter().all(|part| line.contains(part));
        if let Some(found) = text.lines().find(matches) {
            return found.to_owned();
        }
        assert!(Instant::now() < end, "no line with {parts:?} in {text}");
        sleep(Duration::from_millis(10));
    }
}

/// The operator changes the retry bound and sends SIGHUP, then writes an invalid file and sends
/// SIGHUP again. The process applies and logs the first file, reports the second one and keeps the
/// current settings; it must not exit in either case. A changed listen address is logged as taking
/// effect only at the next start.
#[test]
fn reload_on_sighup() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("relay_reload");
    let programs = Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).parent();
    let mut fleet = Fleet::with_programs(directory, programs.unwrap()).unwrap();
    let mut settings = settings();
    fleet.relay(&settings).unwrap();
    let log = fleet.log("relay-1");
    wait_for_line(&log, &["\"started\""]);

    settings.repeats.ratio = 0.375;
    fleet.configure("relay-1", &settings).unwrap();
    fleet.signal("relay-1", Signal::Reload).unwrap();
    wait_for_line(&log, &["\"reload\"", "0.375", "\"rest_needs_start\":false"]);

    let path = fleet.configure("relay-1", &"rubbish").unwrap();
    fleet.signal("relay-1", Signal::Reload).unwrap();
    let found = wait_for_line(&log, &["\"reload\"", "findings"]);
    assert!(found.contains(path.to_str().unwrap()), "{found}");

    settings.listen = free_address();
    fleet.configure("relay-1", &settings).unwrap();
    fleet.signal("relay-1", Signal::Reload).unwrap();
    wait_for_line(&log, &["\"reload\"", "\"rest_needs_start\":true"]);
    fleet.stop().unwrap();
    wait_for_line(&log, &["\"stopped\"", "\"clean\":true"]);
}
