//! The deployments under `examples/` pass `linnetdrift check`.

#![allow(clippy::unwrap_used, missing_docs)]

use std::path::{Path, PathBuf};
use std::process::Command;

fn check(paths: &[PathBuf]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linnetdrift"));
    let output = command.arg("check").args(paths).output().unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).unwrap()
}

fn deployment(name: &str) -> [PathBuf; 4] {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let root = root.join(name);
    [
        root.join("records"),
        root.join("records/services.jsonc"),
        root.join("settings/entry.jsonc"),
        root.join("settings/agent.jsonc"),
    ]
}

#[test]
fn harness_accepted() {
    assert_eq!(check(&deployment("harness")), "4 checked, nothing found\n");
}

#[test]
fn proofreading_accepted() {
    let text = check(&deployment("proofreading"));
    assert_eq!(text, "4 checked, nothing found\n");
}
