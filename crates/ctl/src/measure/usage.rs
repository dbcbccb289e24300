//! Processor time and memory of a process, as reported by the operating system.

use serde::Serialize;
use std::time::Duration;

/// Clock tick of the operating system, the unit of processor time in `/proc`.
const TICK: Duration = Duration::from_millis(10);
/// Index of the user time among the fields of `/proc/PID/stat` after the program's name.
const USER_TIME: usize = 11;
/// Index of the system time among these fields.
const SYSTEM_TIME: usize = 12;

/// The resources that a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time since it started.
    #[serde(skip)]
    pub processor: Duration,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Reads the resources that a process has used; they are zero for a process that has exited.
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

/// Parses the processor time. The program's name may contain spaces and ends with the last
/// parenthesis.
fn processor(stat: &str) -> Duration {
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| -> u32 {
        let field = fields.get(index).copied().unwrap_or_default();
        field.parse().unwrap_or_default()
    };
    TICK * (ticks(USER_TIME) + ticks(SYSTEM_TIME))
}

fn line(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}

/// Returns the processor time per unit of work, for `count` units, in microseconds.
#[must_use]
pub fn each(before: Usage, after: Usage, count: u64) -> f64 {
    let spent = after.processor.saturating_sub(before.processor);
    spent.as_secs_f64() * 1e6 / count.max(1) as f64
}
