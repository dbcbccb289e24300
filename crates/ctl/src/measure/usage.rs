//! Processor time and memory of a process, as the operating system counts them.

use serde::Serialize;
use std::time::Duration;

/// Length of the operating system's clock tick, which `/proc` counts processor time in.
const TICK: Duration = Duration::from_millis(10);
/// Fields of `/proc/PID/stat` behind the program's name: user time.
const USER: usize = 11;
/// The same: system time.
const SYSTEM: usize = 12;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time since it started.
    #[serde(skip)]
    pub processor: Duration,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
    /// Threads.
    pub threads: u64,
}

/// Reads what a process has used; zero for one that is gone.
#[must_use]
pub fn of(process: u32) -> Usage {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}"));
    let stat = read("stat").unwrap_or_default();
    let status = read("status").unwrap_or_default();
    Usage {
        processor: processor(&stat),
        resident_kb: line(&status, "VmRSS:"),
        threads: line(&status, "Threads:"),
    }
}

/// The program's name may hold spaces; it ends with the last parenthesis.
fn processor(stat: &str) -> Duration {
    let behind = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = behind.split_whitespace().collect();
    let ticks = |index: usize| -> u32 {
        let field = fields.get(index).copied().unwrap_or_default();
        field.parse().unwrap_or_default()
    };
    TICK * (ticks(USER) + ticks(SYSTEM))
}

fn line(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}

/// Processor time of each of `count` pieces of work, in microseconds.
#[must_use]
pub fn each(before: Usage, after: Usage, count: u64) -> f64 {
    let spent = after.processor.saturating_sub(before.processor);
    spent.as_secs_f64() * 1e6 / count.max(1) as f64
}
