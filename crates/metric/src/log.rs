//! The structured logger: JSON lines on standard error, written by a thread of its own.

use slog::{Drain, Logger, o};

/// Lines that wait for the writer; further ones are dropped and counted in the log itself.
const QUEUE: usize = 4096;

/// A logger whose lines bear the process's role and identity.
pub fn logger(role: &'static str, id: &str) -> Logger {
    let lines = slog_json::Json::new(std::io::stderr())
        .add_default_keys()
        .set_newlines(true)
        .build()
        .fuse();
    let drain = slog_async::Async::new(lines)
        .chan_size(QUEUE)
        .build()
        .fuse();
    Logger::root(drain, o!("role" => role, "id" => id.to_owned()))
}

/// A logger that drops everything, for tests and examples.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
