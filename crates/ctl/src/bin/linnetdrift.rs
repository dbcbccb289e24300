//! The command-line interface for operators and developers.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    ctl::command::main(&arguments).await
}
