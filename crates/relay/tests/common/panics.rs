//! Panics in calls to runners, and in the log.

use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A call of [`relay::Downstream`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Site {
    Batch,
    HasExited,
    Holder,
    Release,
}

/// Calls that are to panic. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Panics(Arc<Mutex<Vec<Site>>>);

impl Panics {
    /// Makes the next call of this kind panic.
    pub(crate) fn expect(&self, site: Site) {
        self.0.lock().expect("no holder panics").push(site);
    }

    /// Whether a call that was to panic has not been made.
    pub(crate) fn is_pending(&self) -> bool {
        !self.0.lock().expect("no holder panics").is_empty()
    }

    /// Panics if the next call of this kind is to panic.
    pub(crate) fn reach(&self, site: Site) {
        let mut sites = self.0.lock().expect("no holder panics");
        let found = sites.iter().position(|expected| *expected == site);
        if let Some(found) = found {
            sites.remove(found);
            drop(sites);
            panic!("{site:?} panics as the test asks");
        }
    }
}

/// A log that panics once at a line with this message. Clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct LogPanic {
    message: &'static str,
    is_armed: Arc<AtomicBool>,
}

impl LogPanic {
    pub(crate) fn new(message: &'static str) -> Self {
        Self {
            message,
            is_armed: Arc::default(),
        }
    }

    /// Makes the next such line panic.
    pub(crate) fn arm(&self) {
        self.is_armed.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_armed(&self) -> bool {
        self.is_armed.load(Ordering::SeqCst)
    }

    pub(crate) fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }
}

impl Drain for LogPanic {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let is_reached = record.msg().to_string() == self.message;
        if is_reached && self.is_armed.swap(false, Ordering::SeqCst) {
            panic!("{} panics as the test asks", self.message);
        }
        Ok(())
    }
}
