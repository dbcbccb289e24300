//! The structured logger, which writes JSON lines on a separate thread.

use slog::{Drain, Logger, o};

/// Capacity of the writer's queue; further lines are dropped and counted in the log itself.
const QUEUE_LINES: usize = 4096;

/// Creates a logger to standard error whose lines contain the process's role and name.
pub fn logger(role: &'static str, id: &str) -> Logger {
    logger_to(std::io::stderr(), role, id)
}

/// Creates a logger to a writer. Logging never blocks: while the writer is slow, lines wait in a
/// bounded queue, and further ones are dropped and counted.
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
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    Logger::root(drain, o!("role" => role, "id" => id.to_owned()))
}

/// Creates a logger that discards everything, for tests and examples.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
