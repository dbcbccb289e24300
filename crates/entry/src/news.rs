//! Notifications between entries about accepted changes.
//!
//! Notifications only shorten waits. Their content is also found by reading the head of the change
//! log, so a lost message only causes a delay.

use crate::core::{Core, Platform};
use protocol::Revision;
use slog::{Logger, warn};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use store::Vm;
use tokio::sync::mpsc;
use wire::Key;
use wire::pubsub::{Error, Notification, Publisher, Subscriber};

/// Number of peers to subscribe to. Each one forwards notifications that are new to it, so a change
/// reaches all entries in a few steps, while the number of connections of an entry does not grow
/// with the deployment.
const FANOUT: usize = 8;

/// Publishes and receives notifications.
#[derive(Debug)]
pub struct Exchange {
    publisher: Publisher,
    subscriber: Subscriber,
    dialled: Mutex<HashSet<SocketAddr>>,
}

impl Exchange {
    /// Publishes on an address, without any subscription yet.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        key: &Key,
    ) -> Result<(Self, mpsc::Receiver<Notification>), Error> {
        let (subscriber, notifications) = Subscriber::new(key.clone())?;
        let exchange = Self {
            publisher: Publisher::bind(address, key.clone())?,
            subscriber,
            dialled: Mutex::default(),
        };
        Ok((exchange, notifications))
    }

    /// Returns the address on which this entry publishes.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.publisher.address()
    }

    /// Publishes that a revision was accepted.
    pub fn announce(&self, revision: Revision, log: &Logger) {
        if let Err(error) = self.publisher.publish(Notification::Head { revision }) {
            warn!(log, "notification not sent"; "error" => %error);
        }
    }

    /// Subscribes to some of the other entries, and unsubscribes from those no longer listed.
    pub fn subscribe(&self, entries: &[Vm], own: &str) {
        let wanted = successors(entries, own);
        let mut dialled = self.dialled.lock().unwrap_or_else(PoisonError::into_inner);
        for unlisted in dialled.difference(&wanted) {
            self.subscriber.disconnect(*unlisted);
        }
        // An address that cannot be dialled is tried again with the next list.
        dialled.retain(|address| wanted.contains(address));
        for address in wanted {
            if !dialled.contains(&address) && self.subscriber.dial(address).is_ok() {
                dialled.insert(address);
            }
        }
    }
}

/// Returns the entries that follow this one in the cyclic order of ids. They form a ring in which
/// the notifications of each entry reach all others, whichever of them are listed.
fn successors(entries: &[Vm], own: &str) -> HashSet<SocketAddr> {
    let mut others: Vec<&Vm> = entries.iter().filter(|vm| vm.id != own).collect();
    others.sort_by(|one, other| one.id.cmp(&other.id));
    let start = others.partition_point(|vm| vm.id.as_str() < own);
    let ring = others[start..].iter().chain(&others[..start]);
    ring.filter_map(|vm| vm.news).take(FANOUT).collect()
}

/// Processes notifications until the entry stops.
pub async fn follow<P: Platform>(
    core: Arc<Core<P>>,
    mut notifications: mpsc::Receiver<Notification>,
) {
    while let Some(notification) = notifications.recv().await {
        // Other notifications are ignored: leaving agents and their load are reported over the
        // links, which every entry that sends work has.
        if let Notification::Head { revision } = notification
            && revision > core.config.latest_known_revision()
        {
            core.config.record_revision(revision);
            core.announce(revision);
        }
    }
}
