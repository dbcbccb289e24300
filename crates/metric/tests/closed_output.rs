//! Output that cannot be written.

use metric::log::logger_to;
use std::io::{Error, ErrorKind, Write};
use std::sync::mpsc::{Sender, channel};

/// Output whose reader has closed it.
struct Closed(Sender<()>);

impl Write for Closed {
    fn write(&mut self, _bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(());
        Err(Error::from(ErrorKind::BrokenPipe))
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Err(Error::from(ErrorKind::BrokenPipe))
    }
}

/// Guards against a panic of every task that logs once the standard output is closed: the thread that writes
/// had ended, and each later line was an error to its caller.
#[test]
fn lines_dropped() {
    let (sender, written) = channel();
    let log = logger_to(Closed(sender), "relay", "a");
    for _ in 0..3 {
        slog::info!(log, "event");
        written.recv().expect("the thread writes on");
    }
}
