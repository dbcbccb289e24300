//! Model checks of the specifications under `spec/` by spin.
//!
//! Each specification must hold as it stands, within the search bounds, and each of its guards
//! must be needed: with the guard removed spin has to find a counterexample. Run with
//! `cargo test -p protocol --test spin_models -- --nocapture` to see counts and bounds.
#![allow(clippy::unwrap_used, missing_docs)]

use std::path::{Path, PathBuf};
use std::process::Command;

/// Longest path that the search follows; a longer one fails the test.
const DEPTH: u32 = 200_000;
/// Memory for the search in MB; a search that needs more fails the test.
const MEMORY: u32 = 2_000;

/// What a search found.
struct Search {
    errors: u32,
    states: String,
    depth: String,
    message: String,
}

/// Where a specification is searched: its file, the part that is checked, and its guards.
struct Model {
    file: &'static str,
    part: &'static [&'static str],
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
            "{} {} {name}: errors {}, states {}, depth {} of {DEPTH} {}",
            self.file,
            self.part.join(" "),
            search.errors,
            search.states,
            search.depth,
            search.message
        );
    }

    fn search(&self, mutation: &[&str]) -> Search {
        let spec = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../spec");
        let spec = spec.join(self.file).canonicalize().unwrap();
        let flags: Vec<&str> = self.part.iter().chain(mutation).copied().collect();
        let dir = directory(self.file, &flags);
        run(&dir, Command::new("spin").arg("-a").args(&flags).arg(spec));
        let memory = format!("-DMEMLIM={MEMORY}");
        let compile = ["-O1", "-w", "-DSAFETY", "-DCOLLAPSE", &memory];
        let files = ["-o", "pan", "pan.c"];
        run(&dir, Command::new("cc").args(compile).args(files));
        let depth = format!("-m{DEPTH}");
        let output = run(&dir, Command::new(dir.join("pan")).args(["-E", &depth]));
        ["search depth too small", "reached -DMEMLIM", "self-loop"]
            .iter()
            .for_each(|cut| assert!(!output.contains(cut), "search cut short: {output}"));
        read(&output)
    }
}

fn directory(file: &str, flags: &[&str]) -> PathBuf {
    let name = format!("{file}{}", flags.concat());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Output of a command, which must succeed; `pan` succeeds whether or not it finds errors.
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

fn read(output: &str) -> Search {
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

/// An agent freezes, crashes or is cut off with a label print, and the entry gives up. A missing
/// guard prints the label twice, or prints it after the fitter was told that nothing ran.
#[test]
fn permit_call() {
    Model {
        file: "permit.pml",
        part: &["-DCLAIMS=1"],
        guards: &[
            "NO_GUARD_PERMIT",
            "NO_GUARD_DENY",
            "NO_GUARD_WORD",
            "NO_GUARD_FORGET",
            "NO_GUARD_LINK",
            "NO_GUARD_OFFER",
        ],
    }
    .check();
}

/// A call is offered again after its permit by mistake. The second permit would run it twice.
#[test]
fn permit_once() {
    Model {
        file: "permit.pml",
        part: &["-DCLAIMS=1", "-DSTAYS", "-DNO_GUARD_OFFER"],
        guards: &["NO_GUARD_ONCE"],
    }
    .check();
}

/// Two entries get the same payout while the table loses answers. A missing guard pays twice, or
/// leaves a key that can never be used.
#[test]
fn permit_claim() {
    Model {
        file: "permit.pml",
        part: &["-DCLAIMS=2", "-DSHORT_CALL"],
        guards: &[
            "NO_GUARD_CLAIM",
            "NO_GUARD_CHECK",
            "NO_GUARD_UNSURE",
            "NO_GUARD_TAKEOVER",
            "NO_GUARD_CLEANUP",
            "NO_GUARD_MOVED",
        ],
    }
    .check();
}

/// A lease's holder and a contender disagree on how much time has passed. A missing guard lets
/// both act at once.
#[test]
fn lease_clock() {
    Model {
        file: "lease.pml",
        part: &[],
        guards: &[
            "NO_GUARD_MARGIN",
            "NO_GUARD_SENT",
            "NO_GUARD_WATCH",
            "NO_GUARD_CHECK",
        ],
    }
    .check();
}

/// A frozen holder wakes and sends an order to an engine that checks nothing. A missing guard
/// undoes what the next holder has done.
#[test]
fn lease_agent() {
    Model {
        file: "lease.pml",
        part: &["-DORDERS"],
        guards: &[
            "NO_GUARD_FENCE",
            "NO_GUARD_READ",
            "NO_GUARD_GROW",
            "NO_GUARD_CHECK",
        ],
    }
    .check();
}

/// The same frozen holder before an engine that compares the numbers itself.
#[test]
fn lease_engine() {
    Model {
        file: "lease.pml",
        part: &["-DORDERS", "-DCHECKED"],
        guards: &["NO_GUARD_FENCE", "NO_GUARD_GROW"],
    }
    .check();
}

/// Two operators change one record while answers are lost. A missing guard undoes an accepted
/// change, or tells an operator that a change was not made which then is.
#[test]
fn config_operators() {
    Model {
        file: "config.pml",
        part: &["-DOPERATORS"],
        guards: &["NO_GUARD_BASE", "NO_GUARD_UNSURE", "NO_GUARD_READ"],
    }
    .check();
}

/// Processes start afresh while news of the configuration comes late and out of order. A missing
/// guard serves requests by a configuration that was replaced before.
#[test]
fn config_followers() {
    Model {
        file: "config.pml",
        part: &["-DFOLLOWERS"],
        guards: &[
            "NO_GUARD_GAP",
            "NO_GUARD_OLDER",
            "NO_GUARD_SNAPSHOT",
            "NO_GUARD_PUSH",
            "NO_GUARD_DOWN",
            "NO_GUARD_READY",
        ],
    }
    .check();
}

/// A target says that it leaves, and the platform's list still shows it as live. A missing guard
/// sends it new work, or cuts off what runs there.
#[test]
fn drain_target() {
    Model {
        file: "drain.pml",
        part: &[],
        guards: &[
            "NO_GUARD_STICKY",
            "NO_GUARD_LIFE",
            "NO_GUARD_OLDER",
            "NO_GUARD_DRAIN",
            "NO_GUARD_REFUSE",
            "NO_GUARD_FINISH",
        ],
    }
    .check();
}
