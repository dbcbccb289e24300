//! Runs the demonstration as `scripts/demo` does.

#![allow(clippy::unwrap_used, missing_docs)]

use std::path::Path;
use std::process::Command;

/// Guards against a demonstration that exits with 0 although a process, a message or a count is
/// wrong, so that a broken system looks sound to a new user.
#[test]
fn demo_succeeds() {
    let records = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/harness/records");
    // Both programs must be built and be in the same directory.
    assert!(Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).exists());
    let mut command = Command::new(env!("CARGO_BIN_EXE_linnetdrift"));
    let output = command.arg("demo").arg(records).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{text}\n{errors}");
    assert!(text.ends_with("all counts are right, every process ended with 0\n"));
}
