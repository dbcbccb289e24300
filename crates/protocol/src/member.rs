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
pub struct News {
    /// Life of the process that the word is about.
    pub incarnation: Incarnation,
    /// Whether it leaves.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Contact {
    Never,
    Heard,
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Member {
    news: News,
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
/// use protocol::member::{Members, News, State};
///
/// let mut members = Members::new();
/// members.hear("t1", News { incarnation: 2, leaving: true });
/// members.list([("t1", News { incarnation: 2, leaving: false })]);
/// assert_eq!(members.state("t1"), State::Leaving);
/// members.hear("t1", News { incarnation: 3, leaving: false });
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
    pub fn list<'a>(&mut self, vms: impl IntoIterator<Item = (&'a str, News)>) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for (id, news) in vms {
            self.merge(id, news).listed = true;
        }
    }

    /// Takes in what the VM itself says: an answer, a heartbeat or its leaving word.
    pub fn hear(&mut self, id: &str, news: News) {
        let member = self.merge(id, news);
        if member.news.incarnation == news.incarnation {
            member.contact = Contact::Heard;
        }
    }

    /// Takes in that this life of the VM has not been heard for the heartbeat's limit.
    pub fn silence(&mut self, id: &str, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(id)
            && member.news.incarnation == incarnation
        {
            member.contact = Contact::Silent;
        }
    }

    /// Takes in whether an operator's drain record names the VM; it holds for every life of it.
    pub fn drain(&mut self, id: &str, drained: bool) {
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
            Some(member) if !member.is_there() => State::Gone,
            Some(member) if member.news.leaving || self.drained.contains(id) => State::Leaving,
            Some(_) => State::Live,
        }
    }

    /// Life of the VM that was last heard of.
    #[must_use]
    pub fn incarnation(&self, id: &str) -> Option<Incarnation> {
        self.members.get(id).map(|member| member.news.incarnation)
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
    fn merge(&mut self, id: &str, news: News) -> &mut Member {
        let member = self
            .members
            .entry(id.to_owned())
            .or_insert_with(|| Member::new(news));
        member.merge(news);
        member
    }
}

impl Member {
    fn new(news: News) -> Self {
        Self {
            news,
            listed: false,
            contact: Contact::Never,
        }
    }

    fn merge(&mut self, news: News) {
        if news.incarnation > self.news.incarnation {
            *self = Self {
                listed: self.listed,
                ..Self::new(news)
            };
        } else if news.incarnation == self.news.incarnation {
            self.news.leaving |= news.leaving;
        }
    }

    fn is_there(&self) -> bool {
        match self.contact {
            Contact::Heard => true,
            Contact::Never => self.listed,
            Contact::Silent => false,
        }
    }
}
