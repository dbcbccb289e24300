//! News between entries: a change was accepted.
//!
//! News only shortens waits. What it says is also found by reading the head of the change log, so
//! that a lost message costs time and nothing else.

use crate::core::{Core, Platform};
use protocol::Revision;
use slog::{Logger, warn};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use store::Vm;
use tokio::sync::mpsc;
use wire::Key;
use wire::news::{Error, News, Publisher, Subscriber};

/// Peers whose news is listened to. Each passes on what is new to it, so that a change reaches all
/// entries in a few steps, while the connections of one entry do not grow with the fleet.
const FANOUT: usize = 8;

/// Sends and takes in news.
#[derive(Debug)]
pub struct Exchange {
    publisher: Publisher,
    subscriber: Subscriber,
    dialled: Mutex<HashSet<SocketAddr>>,
}

impl Exchange {
    /// Publishes on an address and listens to nobody yet.
    ///
    /// # Errors
    ///
    /// [`Error`] if the address cannot be bound.
    pub fn bind(address: SocketAddr, key: &Key) -> Result<(Self, mpsc::Receiver<News>), Error> {
        let (subscriber, news) = Subscriber::new(key.clone())?;
        let exchange = Self {
            publisher: Publisher::bind(address, key.clone())?,
            subscriber,
            dialled: Mutex::default(),
        };
        Ok((exchange, news))
    }

    /// Where this entry publishes.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.publisher.address()
    }

    /// Tells that a revision is accepted.
    pub fn announce(&self, revision: Revision, log: &Logger) {
        if let Err(error) = self.publisher.publish(News::Head { revision }) {
            warn!(log, "news not sent"; "error" => %error);
        }
    }

    /// Listens to some of the other entries, and to no one who is gone.
    pub fn listen(&self, entries: &[Vm], own: &str) {
        let wanted = successors(entries, own);
        let mut dialled = self.dialled.lock().unwrap_or_else(PoisonError::into_inner);
        for gone in dialled.difference(&wanted) {
            self.subscriber.hang_up(*gone);
        }
        // One that cannot be dialled is tried again with the next list.
        dialled.retain(|address| wanted.contains(address));
        for address in wanted {
            if !dialled.contains(&address) && self.subscriber.dial(address).is_ok() {
                dialled.insert(address);
            }
        }
    }
}

/// The entries that follow this one in the order of names, the first coming after the last: a ring
/// in which each entry's news reaches all others, whichever of them are listed.
fn successors(entries: &[Vm], own: &str) -> HashSet<SocketAddr> {
    let mut others: Vec<&Vm> = entries.iter().filter(|vm| vm.id != own).collect();
    others.sort_by(|one, other| one.id.cmp(&other.id));
    let start = others.partition_point(|vm| vm.id.as_str() < own);
    let ring = others[start..].iter().chain(&others[..start]);
    ring.filter_map(|vm| vm.news).take(FANOUT).collect()
}

/// Takes in news until the entry stops.
pub async fn follow<P: Platform>(core: Arc<Core<P>>, mut news: mpsc::Receiver<News>) {
    while let Some(item) = news.recv().await {
        // Who leaves and what load there is comes over the links, which every sender of work has.
        if let News::Head { revision } = item
            && revision > core.config.latest_known_revision()
        {
            core.config.record_revision(revision);
            core.announce(revision);
        }
    }
}
