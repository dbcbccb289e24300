//! The structured logger, which writes JSON lines on a separate thread.

use slog::{Drain, FnValue, Logger, OwnedKVList, PushFnValue, Record, RecordStatic, b, o};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Capacity of the writer's queue; further lines are dropped and counted in the log itself.
const QUEUE_LINES: usize = 4096;

/// Creates a logger to standard error whose lines contain the process's role and name.
pub fn logger(role: &'static str, id: &str) -> Logger {
    logger_to(std::io::stderr(), role, id)
}

/// Creates a logger to a writer. Logging never blocks: while the writer is slow, lines wait in a
/// bounded queue, and further ones are dropped and counted. Lines that cannot be written are dropped as well: the
/// process serves on when its output is closed.
pub fn logger_to(
    writer: impl std::io::Write + Send + 'static,
    role: &'static str,
    id: &str,
) -> Logger {
    let lines = slog_json::Json::new(writer)
        .add_key_value(o!(
            "level" => FnValue(|record: &Record| record.level().as_short_str()),
            "msg" => PushFnValue(|record: &Record, serializer| serializer.emit(record.msg())),
        ))
        .set_newlines(true)
        .build()
        .ignore_res();
    let drain = slog_async::Async::new(lines)
        .chan_size(QUEUE_LINES)
        .build()
        .ignore_res();
    Logger::root(Stamp(drain), o!("role" => role, "id" => id.to_owned()))
}

/// Adds the time of each event to its record. The drain behind it writes the record later, on a thread that
/// may have to wait for the processor.
struct Stamp<D>(D);

impl<D: Drain> Drain for Stamp<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let time = OffsetDateTime::now_utc().format(&Rfc3339).ok();
        let parts = RecordStatic {
            location: record.location(),
            tag: record.tag(),
            level: record.level(),
        };
        let kv = record.kv();
        self.0.log(
            &Record::new(&parts, record.msg(), b!("ts" => time, kv)),
            values,
        )
    }
}

/// Creates a logger that discards everything, for tests and examples.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
