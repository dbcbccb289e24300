//! Which VMs may get new work: the lagging list, news from the VM itself, silence and operators'
//! drain records.

use crate::id::Incarnation;
use foldhash::fast::RandomState;
use std::collections::{HashMap, HashSet};

/// What is known of a VM's willingness to work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// May get new work.
    Live,
    /// Finishes what it has; gets no new work.
    Leaving,
    /// Not there.
    Gone,
}

/// A word about one life of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberUpdate {
    /// Life of the process that the word is about.
    pub incarnation: Incarnation,
    /// Whether it leaves.
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

/// All VMs that one entry knows of.
///
/// A VM that has gone stays known, so that an old list cannot bring it back without its leaving
/// mark.
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
    /// No VM is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the platform's whole list; a VM that it leaves out is no longer listed.
    pub fn set_listed<'a>(&mut self, vms: impl IntoIterator<Item = (&'a str, MemberUpdate)>) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for (id, update) in vms {
            self.merge(id, update).listed = true;
        }
    }

    /// Takes in what the VM itself says: an answer, a heartbeat or its leaving word.
    pub fn observe(&mut self, id: &str, update: MemberUpdate) {
        let member = self.merge(id, update);
        if member.update.incarnation == update.incarnation {
            member.contact = Contact::Responsive;
        }
    }

    /// Takes in that this life of the VM has not been heard for the heartbeat's limit.
    pub fn mark_unresponsive(&mut self, id: &str, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(id)
            && member.update.incarnation == incarnation
        {
            member.contact = Contact::Unresponsive;
        }
    }

    /// Takes in whether an operator's drain record names the VM; it holds for every life of it.
    pub fn set_drained(&mut self, id: &str, drained: bool) {
        if drained {
            self.drained.insert(id.to_owned());
        } else {
            self.drained.remove(id);
        }
    }

    /// Whether the VM may get new work; one that is not known is [`State::Gone`].
    #[must_use]
    pub fn state(&self, id: &str) -> State {
        match self.members.get(id) {
            None => State::Gone,
            Some(member) if !member.is_present() => State::Gone,
            Some(member) if member.update.leaving || self.drained.contains(id) => State::Leaving,
            Some(_) => State::Live,
        }
    }

    /// Life of the VM that was last heard of.
    #[must_use]
    pub fn incarnation(&self, id: &str) -> Option<Incarnation> {
        self.members.get(id).map(|member| member.update.incarnation)
    }

    /// Ids of the VMs that may get new work, in no order.
    pub fn live(&self) -> impl Iterator<Item = &str> {
        self.members
            .keys()
            .map(String::as_str)
            .filter(|id| self.state(id) == State::Live)
    }

    /// Merges a word into what is known.
    ///
    /// The list lags: it shows a VM as live after the VM itself has said that it leaves. Within
    /// one life the leaving mark therefore stays, and a word about an earlier life is ignored;
    /// otherwise new work would go to a target that is about to stop.
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
