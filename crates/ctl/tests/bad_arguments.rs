//! Invalid arguments of both programs lead to a clear message and exit code 2.

#![allow(clippy::unwrap_used, missing_docs)]

use std::fmt::Write;
use std::process::{Command, Output};

const CLIENT: &str = env!("CARGO_BIN_EXE_linnetdrift");
const DAEMON: &str = env!("CARGO_BIN_EXE_linnetdriftd");

fn run(program: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(program);
    command.args(arguments).env_remove("LINNETDRIFT_TOKEN");
    command.output().unwrap()
}

/// Returns the exit code and the first line of the message of each command line.
fn transcript(program: &str, lines: &[&[&str]]) -> String {
    let mut text = String::new();
    for line in lines {
        let output = run(program, line);
        let message = String::from_utf8(output.stderr).unwrap();
        let first = message.lines().next().unwrap_or_default();
        let code = output.status.code().unwrap();
        writeln!(text, "{}\n  {code}: {first}", line.join(" ")).unwrap();
        assert!(output.stdout.is_empty(), "{line:?}");
    }
    text
}

/// Guards against a script that passes an option renamed in a newer version and silently gets
/// defaults.
#[test]
fn client_arguments() {
    let entry = "--entry=127.0.0.1:1";
    insta::assert_snapshot!(transcript(
        CLIENT,
        &[
            &[],
            &["aply"],
            &["get", "--entri", "x"],
            &["get", "a", "b", entry],
            &["get", "a b", entry],
            &["get"],
            &["get", "--entry", "localhost"],
            &["get", "--entry", "ftp://127.0.0.1:1"],
            &["get", "--entry", "https://127.0.0.1:1"],
            &["get", entry, "--ca", "missing.pem"],
            &["get", entry, "--format", "xml"],
            &["get", entry, "--token", "a\nb"],
            &["check"],
            &["check", "missing.jsonc"],
            &["plan", entry],
            &["apply", "missing", entry],
            &["drain", entry],
            &["history", "--after", "x", entry],
            &["status", "extra", entry],
            &["call", entry],
            &["call", "review", "--version", "x", entry],
            &["call", "review", "--deadline", "-1", entry],
            &["call", "review", "--input", "{", entry],
            &["call", "review", "--input", "@missing.json", entry],
            &["call", "review", "--workspace", "a\nb", entry],
            &["standin"],
            &["standin", "tabel"],
            &["standin", "table", "--listen", "x"],
            &["standin", "table", "--options", "{"],
        ]
    ));
}

#[test]
fn daemon_arguments() {
    insta::assert_snapshot!(transcript(
        DAEMON,
        &[
            &[],
            &["entri"],
            &["entry"],
            &["entri", "settings.jsonc"],
            &["entry", "missing.jsonc"],
            &["agent", "settings.jsonc", "extra"],
            &["--verbose"],
        ]
    ));
}

/// Guards against plain text on standard error when `--format json` is given, which a script could
/// not parse.
#[test]
fn json_errors() {
    let output = run(
        CLIENT,
        &["get", "a b", "--entry", "127.0.0.1:1", "--format", "json"],
    );
    let error: serde_json::Value = serde_json::from_slice(&output.stderr).unwrap();
    assert_eq!(error["exit"], 2);
    assert_eq!(output.status.code(), Some(2));
}

/// If no entry can be reached, nothing was sent and no change was made, so the exit code means
/// failed rather than unknown.
#[test]
fn unreachable_entry() {
    // No process can listen on port 0.
    let output = run(CLIENT, &["get", "--entry", "127.0.0.1:0"]);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn help_and_version() {
    for program in [CLIENT, DAEMON] {
        for flag in ["--help", "--version"] {
            let output = run(program, &[flag]);
            assert_eq!(output.status.code(), Some(0));
            assert!(output.stderr.is_empty());
        }
    }
    let help = run(CLIENT, &["--help"]);
    insta::assert_snapshot!(String::from_utf8(help.stdout).unwrap());
}

/// The daemon does not start with an invalid settings file, and reports all faults at once, so that
/// a single correction is enough.
#[test]
fn bad_settings() {
    let path = std::env::temp_dir().join(format!("linnetdrift-bad-{}.jsonc", std::process::id()));
    std::fs::write(&path, "{\"id\": \"vm 1\",\n \"listen\": 80}").unwrap();
    let output = run(DAEMON, &["agent", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    let errors = String::from_utf8(output.stderr).unwrap();
    insta::assert_snapshot!(errors.replace(path.to_str().unwrap(), "agent.jsonc"));
}
