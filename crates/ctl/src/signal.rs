//! Signals that request a shutdown or a reload of the settings.

use std::convert::Infallible;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Option<Signal>,
    interrupt: Option<Signal>,
}

impl StopSignals {
    /// Installs the handlers. Until then, and if a handler cannot be installed, the default action
    /// of its signal ends the process at once.
    #[must_use]
    pub fn install() -> Self {
        Self {
            terminate: signal(SignalKind::terminate()).ok(),
            interrupt: signal(SignalKind::interrupt()).ok(),
        }
    }

    /// Waits for one of the signals, which may have arrived since the handlers were installed.
    pub async fn wait(mut self) {
        tokio::select! {
            () = receive(self.terminate.as_mut()) => {}
            () = receive(self.interrupt.as_mut()) => {}
        }
    }
}

/// Handler of SIGHUP.
#[derive(Debug)]
pub struct ReloadSignals(Option<Signal>);

impl ReloadSignals {
    /// Installs the handler. Until then, and if it cannot be installed, the signal ends the process.
    #[must_use]
    pub fn install() -> Self {
        Self(signal(SignalKind::hangup()).ok())
    }

    /// Calls `reload` after each signal, also after one that arrived since the handler was installed.
    pub async fn run(mut self, reload: impl Fn()) -> Infallible {
        loop {
            receive(self.0.as_mut()).await;
            reload();
        }
    }
}

/// Waits for a signal; never returns without a handler.
async fn receive(signals: Option<&mut Signal>) {
    let received = match signals {
        Some(signals) => signals.recv().await,
        None => None,
    };
    if received.is_none() {
        std::future::pending::<()>().await;
    }
}
