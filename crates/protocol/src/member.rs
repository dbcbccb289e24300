//! Which VMs may get new work, from the platform's list (which lags), messages from the VMs
//! themselves, missed heartbeats and operators' drain records.

use crate::id::Incarnation;
use foldhash::fast::RandomState;
use std::collections::{HashMap, HashSet};

/// Whether a VM accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// May get new work.
    Live,
    /// Finishes the work it has; gets no new work.
    Leaving,
    /// Not present.
    Gone,
}

/// Update about one incarnation of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// Incarnation that the update is about.
    pub incarnation: Incarnation,
    /// Whether the VM is leaving.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Contact {
    Unknown,
    Responsive,
    Unresponsive,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Member {
    update: MemberUpdate,
    listed: bool,
    contact: Contact,
}

/// All VMs that one entry knows.
///
/// A VM that has gone stays known, so that an outdated list cannot bring it back without its
/// `leaving` mark.
///
/// # Examples
///
/// ```
/// use protocol::member::{Members, MemberUpdate, State};
///
/// let mut members = Members::new();
/// members.observe("t1", MemberUpdate { incarnation: 2, leaving: true });
/// members.set_listed([("t1", MemberUpdate { incarnation: 2, leaving: false })]);
/// assert_eq!(members.state("t1"), State::Leaving);
/// members.observe("t1", MemberUpdate { incarnation: 3, leaving: false });
/// assert_eq!(members.state("t1"), State::Live);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: HashMap<String, Member, RandomState>,
    drained: HashSet<String, RandomState>,
}

impl Members {
    /// Creates an empty set of VMs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the platform's list; a VM that is missing from it is no longer listed.
    pub fn set_listed<'a>(&mut self, vms: impl IntoIterator<Item = (&'a str, MemberUpdate)>) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for (id, update) in vms {
            self.merge(id, update).listed = true;
        }
    }

    /// Records an update from the VM itself: a response, a heartbeat or its notice of leaving.
    pub fn observe(&mut self, id: &str, update: MemberUpdate) {
        let member = self.merge(id, update);
        if member.update.incarnation == update.incarnation {
            member.contact = Contact::Responsive;
        }
    }

    /// Records that this incarnation of the VM has sent nothing for the heartbeat timeout.
    pub fn mark_unresponsive(&mut self, id: &str, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(id)
            && member.update.incarnation == incarnation
        {
            member.contact = Contact::Unresponsive;
        }
    }

    /// Records whether an operator's drain record names the VM; it applies to all its incarnations.
    pub fn set_drained(&mut self, id: &str, drained: bool) {
        if drained {
            self.drained.insert(id.to_owned());
        } else {
            self.drained.remove(id);
        }
    }

    /// Whether the VM may get new work; an unknown VM is [`State::Gone`].
    #[must_use]
    pub fn state(&self, id: &str) -> State {
        match self.members.get(id) {
            None => State::Gone,
            Some(member) if !member.is_present() => State::Gone,
            Some(member) if member.update.leaving || self.drained.contains(id) => State::Leaving,
            Some(_) => State::Live,
        }
    }

    /// Latest known incarnation of the VM.
    #[must_use]
    pub fn incarnation(&self, id: &str) -> Option<Incarnation> {
        self.members.get(id).map(|member| member.update.incarnation)
    }

    /// Ids of the VMs that may get new work, in no particular order.
    pub fn live(&self) -> impl Iterator<Item = &str> {
        self.members
            .keys()
            .map(String::as_str)
            .filter(|id| self.state(id) == State::Live)
    }

    /// Merges an update into what is known.
    ///
    /// The list lags: it shows a VM as live after the VM itself has reported that it is leaving.
    /// Within one incarnation the `leaving` mark therefore stays, and updates about earlier
    /// incarnations are ignored; otherwise new work would go to a target that is about to stop.
    fn merge(&mut self, id: &str, update: MemberUpdate) -> &mut Member {
        let member = self
            .members
            .entry(id.to_owned())
            .or_insert_with(|| Member::new(update));
        member.merge(update);
        member
    }
}

impl Member {
    fn new(update: MemberUpdate) -> Self {
        Self {
            update,
            listed: false,
            contact: Contact::Unknown,
        }
    }

    fn merge(&mut self, update: MemberUpdate) {
        if update.incarnation > self.update.incarnation {
            *self = Self {
                listed: self.listed,
                ..Self::new(update)
            };
        } else if update.incarnation == self.update.incarnation {
            self.update.leaving |= update.leaving;
        }
    }

    fn is_present(&self) -> bool {
        match self.contact {
            Contact::Responsive => true,
            Contact::Unknown => self.listed,
            Contact::Unresponsive => false,
        }
    }
}
