//! Signals that ask a process to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// Where a signal cannot be listened for, its default action still ends the process; waiting on
/// the other one goes on.
pub async fn stop() {
    tokio::select! {
        () = received(SignalKind::terminate()) => {}
        () = received(SignalKind::interrupt()) => {}
    }
}

async fn received(kind: SignalKind) {
    match signal(kind) {
        Ok(mut signals) => {
            signals.recv().await;
        }
        Err(_) => std::future::pending().await,
    }
}
