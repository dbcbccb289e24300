//! The structured logger: JSON lines, written by a thread of its own.

use slog::{Drain, Logger, o};

/// Lines that wait for the writer; further ones are dropped and counted in the log itself.
const QUEUE: usize = 4096;

/// A logger to standard error whose lines bear the process's role and identity.
pub fn logger(role: &'static str, id: &str) -> Logger {
    logger_to(std::io::stderr(), role, id)
}

/// The same to any writer. Whoever logs never waits for it: while it is slow, lines wait in a queue
/// of bounded length, and further ones are dropped and counted.
pub fn logger_to(
    writer: impl std::io::Write + Send + 'static,
    role: &'static str,
    id: &str,
) -> Logger {
    let lines = slog_json::Json::new(writer)
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
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
