//! Times of log lines.

use metric::log::logger_to;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, SystemTime};

/// Output that waits before it takes each line.
struct Gate {
    open: Receiver<()>,
    lines: Sender<String>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Once the test has dropped its end, nothing waits.
        let _ = self.open.recv();
        let _ = self.lines.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that bear the time at which they are written, which can be long after the event.
#[test]
fn event_time() {
    let (open, gate) = channel();
    let (sender, lines) = channel();
    let output = Gate {
        open: gate,
        lines: sender,
    };
    let log = logger_to(output, "relay", "a");
    slog::info!(log, "event");
    let logged = SystemTime::now();
    std::thread::sleep(Duration::from_millis(50));
    drop(open);
    drop(log);
    let text: String = lines.iter().collect();
    let time = text
        .split("\"ts\":\"")
        .nth(1)
        .and_then(|rest| rest.split('"').next());
    let time = time::OffsetDateTime::parse(
        time.expect("a time"),
        &time::format_description::well_known::Rfc3339,
    );
    assert!(SystemTime::from(time.expect("valid")) <= logged, "{text}");
}
