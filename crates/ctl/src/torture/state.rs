//! State that the parts of a soak share: addresses of the entries and the history of faults.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Microseconds since the Unix epoch, as in the logs of the stand-ins.
pub type Micros = u64;

/// A process of an entry.
#[derive(Clone, Debug)]
pub struct EntryProcess {
    /// Name of its VM.
    pub id: String,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// Since when no fault has hit it; none during a fault.
    pub healthy_since: Option<Instant>,
    /// Whether it was killed, which breaks its connections.
    pub killed: bool,
}

/// A time interval that concerns one subject: a VM or a stand-in of the platform.
#[derive(Clone, Debug)]
pub struct Interval {
    /// The subject.
    pub subject: String,
    /// Start.
    pub from: Micros,
    /// End; none while it lasts.
    pub until: Option<Micros>,
}

impl Interval {
    /// Whether the interval overlaps the one between two times.
    #[must_use]
    pub fn overlaps(&self, from: Micros, until: Micros) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

#[derive(Debug, Default)]
struct Inner {
    processes: Vec<EntryProcess>,
    table_healthy_since: Option<Instant>,
    faults: Vec<Interval>,
    leaving: Vec<Interval>,
}

impl Inner {
    fn had_fault(&self, subject: &str, from: Micros, until: Micros) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|interval| interval.subject == subject && interval.overlaps(from, until))
    }
}

/// Shared state of a soak.
#[derive(Debug)]
pub struct SoakState {
    state: Mutex<Inner>,
}

impl Default for SoakState {
    fn default() -> Self {
        let state = Inner {
            table_healthy_since: Some(Instant::now()),
            ..Inner::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl SoakState {
    /// Adds a new process of an entry.
    pub fn add_process(&self, id: &str, address: SocketAddr) {
        let mut state = self.lock();
        state.processes.push(EntryProcess {
            id: id.to_owned(),
            address,
            healthy_since: Some(Instant::now()),
            killed: false,
        });
    }

    /// Latest address of each entry; callers may still be sent to an entry that has stopped.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let latest = self.latest_processes().into_iter();
        latest.map(|process| process.address).collect()
    }

    /// The latest process of each entry.
    #[must_use]
    pub fn latest_processes(&self) -> Vec<EntryProcess> {
        let state = self.lock();
        let mut latest: Vec<EntryProcess> = Vec::new();
        for process in state.processes.iter().rev() {
            if latest.iter().all(|other| other.id != process.id) {
                latest.push(process.clone());
            }
        }
        latest
    }

    /// Whether an entry's process at this address was killed.
    #[must_use]
    pub fn was_killed(&self, address: SocketAddr) -> bool {
        let state = self.lock();
        let mut at = state
            .processes
            .iter()
            .filter(|process| process.address == address);
        at.any(|process| process.killed)
    }

    /// Marks the latest process of an entry as killed.
    pub fn mark_killed(&self, id: &str) {
        let mut state = self.lock();
        let mut processes = state.processes.iter_mut().rev();
        if let Some(process) = processes.find(|process| process.id == id) {
            process.killed = true;
            process.healthy_since = None;
        }
    }

    /// Records the start of a fault at a subject.
    pub fn begin_fault(&self, subject: &str) {
        let mut state = self.lock();
        state.faults.push(Interval {
            subject: subject.to_owned(),
            from: now(),
            until: None,
        });
        if subject == TABLE {
            state.table_healthy_since = None;
        }
        let mut processes = state.processes.iter_mut().rev();
        if let Some(process) = processes.find(|process| process.id == subject) {
            process.healthy_since = None;
        }
    }

    /// Records the end of the latest fault at a subject.
    pub fn end_fault(&self, subject: &str) {
        let mut state = self.lock();
        end_interval(&mut state.faults, subject);
        if subject == TABLE {
            state.table_healthy_since = Some(Instant::now());
        }
        let mut processes = state.processes.iter_mut().rev();
        if let Some(process) = processes.find(|process| process.id == subject)
            && !process.killed
        {
            process.healthy_since = Some(Instant::now());
        }
    }

    /// Since when the table service has had no fault; none during a fault.
    #[must_use]
    pub fn table_healthy_since(&self) -> Option<Instant> {
        self.lock().table_healthy_since
    }

    /// Records that a target starts to leave.
    pub fn begin_leaving(&self, vm: &str) {
        let interval = Interval {
            subject: vm.to_owned(),
            from: now(),
            until: None,
        };
        self.lock().leaving.push(interval);
    }

    /// Records that a target may get work again.
    pub fn end_leaving(&self, vm: &str) {
        end_interval(&mut self.lock().leaving, vm);
    }

    /// All intervals in which targets were leaving.
    #[must_use]
    pub fn leaving_intervals(&self) -> Vec<Interval> {
        self.lock().leaving.clone()
    }

    /// Whether a fault between two times may have kept the entries from learning that a target leaves,
    /// or delayed work that the target had been given before.
    #[must_use]
    pub fn had_relevant_fault(&self, vm: &str, from: Micros, until: Micros) -> bool {
        let state = self.lock();
        let is_relevant = |interval: &Interval| {
            let shared = interval.subject == TABLE || interval.subject == VMS;
            let entry = state
                .processes
                .iter()
                .any(|process| process.id == interval.subject);
            shared || entry || interval.subject == vm
        };
        let mut faults = state.faults.iter();
        faults.any(|interval| is_relevant(interval) && interval.overlaps(from, until))
    }

    /// Whether a fault hit the process that served at an address between two times.
    #[must_use]
    pub fn had_fault_at(&self, address: SocketAddr, from: Micros, until: Micros) -> bool {
        let state = self.lock();
        let at = state
            .processes
            .iter()
            .find(|process| process.address == address);
        at.is_some_and(|process| state.had_fault(&process.id, from, until))
    }

    /// Whether a fault hit a subject between two times.
    #[must_use]
    pub fn had_fault(&self, subject: &str, from: Micros, until: Micros) -> bool {
        self.lock().had_fault(subject, from, until)
    }

    /// Whether any fault overlapped the interval between two times.
    #[must_use]
    pub fn had_any_fault(&self, from: Micros, until: Micros) -> bool {
        let state = self.lock();
        let mut faults = state.faults.iter();
        faults.any(|interval| interval.overlaps(from, until))
    }

    /// Whether a fault between two times may have kept updates of the table service from the process
    /// that served at an address.
    #[must_use]
    pub fn may_have_missed_updates(
        &self,
        address: SocketAddr,
        from: Micros,
        until: Micros,
    ) -> bool {
        self.had_fault(TABLE, from, until) || self.had_fault_at(address, from, until)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Subject of faults of the table service.
pub const TABLE: &str = "table";
/// Subject of faults of the object store.
pub const OBJECTS: &str = "objects";
/// Subject of faults of the VM list.
pub const VMS: &str = "vms";

fn end_interval(spans: &mut [Interval], subject: &str) {
    let mut open = spans.iter_mut().rev();
    if let Some(interval) =
        open.find(|interval| interval.subject == subject && interval.until.is_none())
    {
        interval.until = Some(now());
    }
}

/// Microseconds since the Unix epoch.
#[must_use]
pub fn now() -> Micros {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_micros()).unwrap_or(u64::MAX))
}
