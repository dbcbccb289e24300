//! Failure domains that the operator drains: their runners get no new work until the drain is lifted.

use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::runner::DomainId;
use serde::{Deserialize, Serialize};
use slog::info;
use std::collections::BTreeSet;
use store::RowRevision;

/// The drained failure domains, as of one revision of the operator's table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    /// Revision up to which the operator's changes are included.
    pub revision: RowRevision,
    /// Number of times that domains were released which had been kept drained although the table no longer
    /// lists them.
    pub settled: u64,
    /// The drained failure domains.
    pub domains: BTreeSet<DomainId>,
}

impl<D: Downstream> Relay<D> {
    /// The failure domains that are known to be drained.
    #[must_use]
    pub fn drains(&self) -> Drains {
        lock(&self.drains).clone()
    }

    /// Applies a set of drained failure domains unless a newer one is known. `origin` names its source for
    /// the log.
    ///
    /// A relay learns of a change from the table service, or from its peers if the service rejects its
    /// requests, in any order. Sets are ordered by the table's own revisions, so that an older one never
    /// replaces a newer one.
    pub fn drain(&self, drains: &Drains, origin: &str) {
        let changed = {
            let mut known = lock(&self.drains);
            let order = |drains: &Drains| (drains.revision, drains.settled);
            if order(drains) <= order(&known) {
                return;
            }
            let changed = drains.domains != known.domains;
            let before = std::mem::replace(&mut *known, drains.clone());
            if changed {
                let names = |drains: &Drains| join(&drains.domains);
                info!(self.log, "drained failure domains changed"; "domains" => names(drains),
                    "before" => names(&before), "revision" => drains.revision, "from" => origin);
            }
            changed
        };
        if changed {
            self.telemetry.drained(drains.domains.len());
            self.drain_runners();
            self.peers.announce_drains(drains);
        }
    }
}

fn join(domains: &BTreeSet<DomainId>) -> String {
    let names: Vec<&str> = domains.iter().map(|domain| &**domain).collect();
    names.join(",")
}
