//! The daemon: an entry or an agent.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    ctl::daemon::main(&arguments).await
}
