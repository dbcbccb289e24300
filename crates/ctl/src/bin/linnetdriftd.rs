//! The daemon: an entry, an agent or a relay.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    ctl::daemon::main(&arguments)
}
