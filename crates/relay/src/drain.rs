//! Failure domains that the operator drains: their runners get no new work until that is taken back.

use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::runner::DomainId;
use serde::{Deserialize, Serialize};
use slog::info;
use std::collections::BTreeSet;
use store::RowRevision;

/// The failure domains that are drained, as of one revision of the operator's table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    /// Revision up to which the operator's changes are known.
    pub revision: RowRevision,
    /// How often domains that had been kept drained beside what the table says were let go.
    pub settled: u64,
    /// The failure domains.
    pub domains: BTreeSet<DomainId>,
}

impl<D: Downstream> Relay<D> {
    /// The failure domains that are drained, as far as is known.
    #[must_use]
    pub fn drains(&self) -> Drains {
        lock(&self.drains).clone()
    }

    /// Takes in which failure domains are drained, unless something newer is known; `origin` is who
    /// told.
    ///
    /// Each relay hears of a change from the table service or, where that turns it away, from its
    /// peers, in any order. Revisions are the table's own, so that an older word never undoes a newer
    /// one.
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
                info!(self.log, "drained failure domains"; "domains" => names(drains),
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
