//! Signals that ask a process to stop or to read its settings again.

use std::convert::Infallible;
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

/// Calls `reload` at each SIGHUP; never ends.
pub async fn reload(reload: impl Fn()) -> Infallible {
    if let Ok(mut signals) = signal(SignalKind::hangup()) {
        while signals.recv().await.is_some() {
            reload();
        }
    }
    std::future::pending().await
}

async fn received(kind: SignalKind) {
    match signal(kind) {
        Ok(mut signals) => {
            signals.recv().await;
        }
        Err(_) => std::future::pending().await,
    }
}
