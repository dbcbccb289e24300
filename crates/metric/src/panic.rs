//! Panics, logged and counted.
//!
//! A panic ends its task alone, and the runtime reports it to the owner of the task's handle, which most tasks
//! do not have.

use crate::Registry;
use prometheus_client::metrics::counter::Counter;
use slog::{Logger, error};
use std::any::Any;
use std::backtrace::{Backtrace, BacktraceStatus};
use std::panic::PanicHookInfo;
use std::sync::LazyLock;

/// Reason of a panic whose payload is not a text.
const NO_REASON: &str = "no text";
/// Name of a thread that has none.
const UNNAMED: &str = "unnamed";

/// Panics of this process.
static PANICS: LazyLock<Counter> = LazyLock::new(Counter::default);

tokio::task_local! {
    static TASK: &'static str;
}

/// Removes the hook of [`install`] when it is dropped. The hook holds a logger, and the last lines of a log are
/// written when its last logger is dropped.
#[derive(Debug)]
#[must_use = "the hook is removed when this is dropped"]
pub struct Hook(());

impl Drop for Hook {
    fn drop(&mut self) {
        // A thread that panics cannot change the hook.
        if !std::thread::panicking() {
            drop(std::panic::take_hook());
        }
    }
}

/// Logs each panic of this process as an error with its place, and counts it, until the result is dropped.
/// Replaces the hook that prints panics to standard error, which may block.
pub fn install(log: Logger) -> Hook {
    std::panic::set_hook(Box::new(move |panic| {
        PANICS.inc();
        report(&log, panic);
    }));
    Hook(())
}

/// Registers the number of panics.
pub fn register(registry: &mut Registry) {
    let help = "Panics, each of which has ended a task or a thread";
    registry.register("panics", help, PANICS.clone());
}

/// Runs a task whose panics are logged with this name.
pub async fn named<T>(task: &'static str, future: impl Future<Output = T>) -> T {
    TASK.scope(task, future).await
}

fn report(log: &Logger, panic: &PanicHookInfo<'_>) {
    let place = panic.location().map(ToString::to_string);
    let thread = std::thread::current();
    let backtrace = Backtrace::capture();
    let is_captured = backtrace.status() == BacktraceStatus::Captured;
    error!(log, "panic"; "reason" => reason(panic.payload()), "place" => place,
        "thread" => thread.name().unwrap_or(UNNAMED), "task" => TASK.try_with(|task| *task).ok(),
        "task_id" => tokio::task::try_id().map(|id| id.to_string()),
        "backtrace" => is_captured.then(|| backtrace.to_string()));
}

/// The text of a panic, which is a `&str` or a `String` if it comes from [`panic!`].
fn reason(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| payload.downcast_ref::<&str>().copied());
    text.unwrap_or(NO_REASON)
}
