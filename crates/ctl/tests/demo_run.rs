//! The demonstration, as `scripts/demo` runs it.

#![allow(clippy::unwrap_used, missing_docs)]

use std::path::Path;
use std::process::Command;

/// Any of the processes, messages or counts goes wrong: the demonstration must not end with 0, and
/// a newcomer who runs it first would otherwise be shown a system that only looks sound.
#[test]
fn ends_well() {
    let records = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/harness/records");
    // Both programs must be built and stand in one directory.
    assert!(Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).exists());
    let mut command = Command::new(env!("CARGO_BIN_EXE_linnetdrift"));
    let output = command.arg("demo").arg(records).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{text}\n{errors}");
    assert!(text.ends_with("all counts are right, every process ended with 0\n"));
}
