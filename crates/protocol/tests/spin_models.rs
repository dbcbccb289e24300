//! Model checks of the specifications in `spec/` with Spin.
//!
//! Each specification must hold within the search bounds, and each of its guards must be needed:
//! with the guard removed, Spin must find a counterexample. Run
//! `cargo test -p protocol --test spin_models -- --nocapture` to see state counts and bounds.
#![allow(clippy::unwrap_used, missing_docs)]

use std::path::{Path, PathBuf};
use std::process::Command;

/// Maximum depth of the search; a longer path fails the test.
const MAX_DEPTH: u32 = 200_000;
/// Memory limit of the search; a search that needs more fails the test.
const MAX_MEMORY_MB: u32 = 2_000;

/// Result of a search.
struct Search {
    errors: u32,
    states: String,
    depth: String,
    message: String,
}

/// A specification: its file, the defines that select the checked part, and its guards.
struct Model {
    file: &'static str,
    defines: &'static [&'static str],
    guards: &'static [&'static str],
}

impl Model {
    fn check(&self) {
        let intact = self.search(&[]);
        self.print("intact", &intact);
        assert_eq!(intact.errors, 0, "{}: {}", self.file, intact.message);
        self.guards.iter().for_each(|guard| {
            let mutant = self.search(&[&format!("-D{guard}")]);
            self.print(guard, &mutant);
            assert!(mutant.errors > 0, "{}: {guard} is not needed", self.file);
        });
    }

    fn print(&self, name: &str, search: &Search) {
        println!(
            "{} {} {name}: errors {}, states {}, depth {} of {MAX_DEPTH} {}",
            self.file,
            self.defines.join(" "),
            search.errors,
            search.states,
            search.depth,
            search.message
        );
    }

    fn search(&self, mutation: &[&str]) -> Search {
        let spec = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../spec");
        let spec = spec.join(self.file).canonicalize().unwrap();
        let flags: Vec<&str> = self.defines.iter().chain(mutation).copied().collect();
        let dir = work_directory(self.file, &flags);
        run(&dir, Command::new("spin").arg("-a").args(&flags).arg(spec));
        let memory = format!("-DMEMLIM={MAX_MEMORY_MB}");
        let compile = ["-O1", "-w", "-DSAFETY", "-DCOLLAPSE", &memory];
        let files = ["-o", "pan", "pan.c"];
        run(&dir, Command::new("cc").args(compile).args(files));
        let depth = format!("-m{MAX_DEPTH}");
        let output = run(&dir, Command::new(dir.join("pan")).args(["-E", &depth]));
        ["search depth too small", "reached -DMEMLIM", "self-loop"]
            .iter()
            .for_each(|reason| assert!(!output.contains(reason), "search truncated: {output}"));
        parse(&output)
    }
}

fn work_directory(file: &str, flags: &[&str]) -> PathBuf {
    let name = format!("{file}{}", flags.concat());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Runs a command, which must succeed, and returns its output; `pan` succeeds even if it finds errors.
fn run(dir: &Path, command: &mut Command) -> String {
    let name = command.get_program().to_owned();
    let output = command.current_dir(dir).output();
    let output = output.unwrap_or_else(|error| panic!("{}: {error}", name.to_string_lossy()));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.success(),
        "{}: {text}{errors}",
        name.to_string_lossy()
    );
    text
}

fn parse(output: &str) -> Search {
    let before = |mark: &str| {
        let (head, _) = output.split_once(mark).unwrap();
        head.split_whitespace().last().unwrap().to_owned()
    };
    let after = |mark: &str| {
        let (_, tail) = output.split_once(mark).unwrap();
        let digits = tail.trim_start().split(|c: char| !c.is_ascii_digit());
        digits.into_iter().next().unwrap().to_owned()
    };
    let message = output.lines().find(|line| line.starts_with("pan:1:"));
    Search {
        errors: after("errors:").parse().unwrap(),
        states: before(" states, stored"),
        depth: after("depth reached"),
        message: message.unwrap_or_default().to_owned(),
    }
}

/// An agent is suspended, crashes or is cut off with a call, and the entry gives up. Without one of
/// the guards, the call runs twice, or runs after *not run* was reported.
#[test]
fn grant_for_one_call() {
    Model {
        file: "grant.pml",
        defines: &["-DCLAIMS=1"],
        guards: &[
            "NO_GUARD_GRANT",
            "NO_GUARD_DENY",
            "NO_GUARD_UNKNOWN",
            "NO_GUARD_FORGOTTEN",
            "NO_GUARD_LINK_RESET",
            "NO_GUARD_SINGLE_OFFER",
        ],
    }
    .check();
}

/// A call is offered again after its grant by mistake. A second grant would run it twice.
#[test]
fn grant_only_once() {
    Model {
        file: "grant.pml",
        defines: &["-DCLAIMS=1", "-DNEVER_LEAVES", "-DNO_GUARD_SINGLE_OFFER"],
        guards: &["NO_GUARD_SINGLE_GRANT"],
    }
    .check();
}

/// Two entries get the same call while the table loses responses. Without one of the guards, the call
/// runs twice, or its key can never be used again.
#[test]
fn claim_for_one_key() {
    Model {
        file: "grant.pml",
        defines: &["-DCLAIMS=2", "-DSHORT_CALL"],
        guards: &[
            "NO_GUARD_CLAIM",
            "NO_GUARD_CHECK",
            "NO_GUARD_UNSURE",
            "NO_GUARD_TAKEOVER",
            "NO_GUARD_CLEANUP",
            "NO_GUARD_REVISION_MOVED",
        ],
    }
    .check();
}

/// The holder of a lease and a contender disagree on how much time has passed. Without one of the
/// guards, both act at once.
#[test]
fn lease_clocks() {
    Model {
        file: "lease.pml",
        defines: &[],
        guards: &[
            "NO_GUARD_MARGIN",
            "NO_GUARD_SENT",
            "NO_GUARD_UNCHANGED",
            "NO_GUARD_CHECK",
        ],
    }
    .check();
}

/// A suspended holder resumes and sends an order to an engine that does not check fencing tokens.
/// Without one of the guards, the order undoes what the next holder has done.
#[test]
fn lease_fenced_by_agent() {
    Model {
        file: "lease.pml",
        defines: &["-DORDERS"],
        guards: &[
            "NO_GUARD_FENCE",
            "NO_GUARD_READ",
            "NO_GUARD_INCREASE",
            "NO_GUARD_CHECK",
        ],
    }
    .check();
}

/// The same suspended holder, with an engine that compares the fencing tokens itself.
#[test]
fn lease_fenced_by_engine() {
    Model {
        file: "lease.pml",
        defines: &["-DORDERS", "-DCHECKED"],
        guards: &["NO_GUARD_FENCE", "NO_GUARD_INCREASE"],
    }
    .check();
}

/// Two operators change one record while responses are lost. Without one of the guards, an accepted
/// change is undone, or a change is reported as not made and then takes effect.
#[test]
fn config_operators() {
    Model {
        file: "config.pml",
        defines: &["-DOPERATORS"],
        guards: &["NO_GUARD_BASE", "NO_GUARD_UNSURE", "NO_GUARD_READ"],
    }
    .check();
}

/// Processes restart while messages about the configuration arrive late and out of order. Without
/// one of the guards, requests are served by a configuration that was replaced before.
#[test]
fn config_followers() {
    Model {
        file: "config.pml",
        defines: &["-DFOLLOWERS"],
        guards: &[
            "NO_GUARD_GAP",
            "NO_GUARD_OUTDATED",
            "NO_GUARD_SNAPSHOT",
            "NO_GUARD_PUSH",
            "NO_GUARD_DOWN",
            "NO_GUARD_READY",
        ],
    }
    .check();
}

/// A target reports that it is leaving, and the platform's list still shows it as live. Without one
/// of the guards, it gets new work, or its running work is interrupted.
#[test]
fn leaving_target() {
    Model {
        file: "drain.pml",
        defines: &[],
        guards: &[
            "NO_GUARD_STICKY",
            "NO_GUARD_INCARNATION",
            "NO_GUARD_OUTDATED",
            "NO_GUARD_DRAIN",
            "NO_GUARD_REFUSE",
            "NO_GUARD_FINISH",
        ],
    }
    .check();
}
