//! What the parts of a soak share: where the entries are, and what disturbed whom and when.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Microseconds since the Unix epoch, as in the logs of the stand-ins.
pub type Micros = u64;

/// An entry's process.
#[derive(Clone, Debug)]
pub struct Life {
    /// Name of its VM.
    pub id: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Since when nothing has been done to it; none while something is.
    pub sound: Option<Instant>,
    /// Whether it was killed, so that its connections broke.
    pub killed: bool,
}

/// A span of time about one subject: a VM, or a stand-in of the platform.
#[derive(Clone, Debug)]
pub struct Span {
    /// The subject.
    pub subject: String,
    /// Start.
    pub from: Micros,
    /// End; none while it lasts.
    pub until: Option<Micros>,
}

impl Span {
    /// Whether any moment of the span lies between two others.
    #[must_use]
    pub fn meets(&self, from: Micros, until: Micros) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

#[derive(Debug, Default)]
struct State {
    lives: Vec<Life>,
    table_sound: Option<Instant>,
    faults: Vec<Span>,
    leaving: Vec<Span>,
}

impl State {
    fn hit(&self, subject: &str, from: Micros, until: Micros) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|span| span.subject == subject && span.meets(from, until))
    }
}

/// Shared state of a soak.
#[derive(Debug)]
pub struct World {
    state: Mutex<State>,
}

impl Default for World {
    fn default() -> Self {
        let state = State {
            table_sound: Some(Instant::now()),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl World {
    /// Takes in a new process of an entry.
    pub fn born(&self, id: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.lives.push(Life {
            id: id.to_owned(),
            address,
            sound: Some(Instant::now()),
            killed: false,
        });
    }

    /// Where the entries serve, or served last: callers may still be sent to one that is gone.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let latest = self.latest().into_iter();
        latest.map(|life| life.address).collect()
    }

    /// The latest process of each entry.
    #[must_use]
    pub fn latest(&self) -> Vec<Life> {
        let state = self.lock();
        let mut latest: Vec<Life> = Vec::new();
        for life in state.lives.iter().rev() {
            if latest.iter().all(|other| other.id != life.id) {
                latest.push(life.clone());
            }
        }
        latest
    }

    /// Whether an entry's process at this address was killed.
    #[must_use]
    pub fn was_killed(&self, address: SocketAddr) -> bool {
        let state = self.lock();
        let mut at = state.lives.iter().filter(|life| life.address == address);
        at.any(|life| life.killed)
    }

    /// Marks the latest process of an entry as killed.
    pub fn killed(&self, id: &str) {
        let mut state = self.lock();
        let mut lives = state.lives.iter_mut().rev();
        if let Some(life) = lives.find(|life| life.id == id) {
            life.killed = true;
            life.sound = None;
        }
    }

    /// Notes that something is being done to a subject.
    pub fn disturb(&self, subject: &str) {
        let mut state = self.lock();
        state.faults.push(Span {
            subject: subject.to_owned(),
            from: now(),
            until: None,
        });
        if subject == TABLE {
            state.table_sound = None;
        }
        let mut lives = state.lives.iter_mut().rev();
        if let Some(life) = lives.find(|life| life.id == subject) {
            life.sound = None;
        }
    }

    /// Notes that nothing is being done to a subject any more.
    pub fn settle(&self, subject: &str) {
        let mut state = self.lock();
        close(&mut state.faults, subject);
        if subject == TABLE {
            state.table_sound = Some(Instant::now());
        }
        let mut lives = state.lives.iter_mut().rev();
        if let Some(life) = lives.find(|life| life.id == subject)
            && !life.killed
        {
            life.sound = Some(Instant::now());
        }
    }

    /// Since when the table service is sound.
    #[must_use]
    pub fn table_sound(&self) -> Option<Instant> {
        self.lock().table_sound
    }

    /// Notes that a target leaves.
    pub fn leave(&self, vm: &str) {
        let span = Span {
            subject: vm.to_owned(),
            from: now(),
            until: None,
        };
        self.lock().leaving.push(span);
    }

    /// Notes that a target may get work again.
    pub fn stay(&self, vm: &str) {
        close(&mut self.lock().leaving, vm);
    }

    /// All times at which targets were leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<Span> {
        self.lock().leaving.clone()
    }

    /// Whether something was done, between two moments, that keeps word of a leaving target from
    /// its entries, or holds up work that was given to it before.
    #[must_use]
    pub fn disturbed(&self, vm: &str, from: Micros, until: Micros) -> bool {
        let state = self.lock();
        let concerns = |span: &Span| {
            let shared = span.subject == TABLE || span.subject == VMS;
            let entry = state.lives.iter().any(|life| life.id == span.subject);
            shared || entry || span.subject == vm
        };
        let mut faults = state.faults.iter();
        faults.any(|span| concerns(span) && span.meets(from, until))
    }

    /// Whether something was done to the process that served at an address.
    #[must_use]
    pub fn disturbed_at(&self, address: SocketAddr, from: Micros, until: Micros) -> bool {
        let state = self.lock();
        let at = state.lives.iter().find(|life| life.address == address);
        at.is_some_and(|life| state.hit(&life.id, from, until))
    }

    /// Whether something was done to a subject.
    #[must_use]
    pub fn hit(&self, subject: &str, from: Micros, until: Micros) -> bool {
        self.lock().hit(subject, from, until)
    }

    /// Whether something kept news of the table service from the process that served at an address.
    #[must_use]
    pub fn unheard(&self, address: SocketAddr, from: Micros, until: Micros) -> bool {
        self.hit(TABLE, from, until) || self.disturbed_at(address, from, until)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Subject of the table service's faults.
pub const TABLE: &str = "table";
/// Subject of the object store's faults.
pub const OBJECTS: &str = "objects";
/// Subject of the list of VMs' faults.
pub const VMS: &str = "vms";

fn close(spans: &mut [Span], subject: &str) {
    let mut open = spans.iter_mut().rev();
    if let Some(span) = open.find(|span| span.subject == subject && span.until.is_none()) {
        span.until = Some(now());
    }
}

/// Microseconds since the Unix epoch.
#[must_use]
pub fn now() -> Micros {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_micros()).unwrap_or(u64::MAX))
}
