//! Signals that request a shutdown or a reload of the settings.

use std::convert::Infallible;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// If the handler of a signal cannot be installed, its default action still terminates the process,
/// and the function keeps waiting for the other signal.
pub async fn wait_for_stop() {
    tokio::select! {
        () = wait_for_signal(SignalKind::terminate()) => {}
        () = wait_for_signal(SignalKind::interrupt()) => {}
    }
}

/// Calls `reload` on each SIGHUP; never returns.
pub async fn on_reload(reload: impl Fn()) -> Infallible {
    if let Ok(mut signals) = signal(SignalKind::hangup()) {
        while signals.recv().await.is_some() {
            reload();
        }
    }
    std::future::pending().await
}

async fn wait_for_signal(kind: SignalKind) {
    match signal(kind) {
        Ok(mut signals) => {
            signals.recv().await;
        }
        Err(_) => std::future::pending().await,
    }
}
