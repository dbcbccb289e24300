//! The prefix cache and its events.

use crate::options::Options;
use foldhash::fast::RandomState;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of events that are retained; the oldest are dropped.
const MAX_EVENTS: usize = 65_536;

/// An LRU cache of prefix blocks.
pub(super) struct Cache {
    limit: usize,
    tick: u64,
    last_used: HashMap<u64, u64, RandomState>,
    by_last_use: BTreeMap<u64, u64>,
    events: VecDeque<(Instant, Event)>,
    sequence: u64,
    lag: Duration,
    loss: f64,
    rng: SmallRng,
}

/// Change of a block.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum EventKind {
    Stored,
    Evicted,
}

#[derive(Clone, Debug, Serialize)]
struct Event {
    sequence: u64,
    kind: EventKind,
    block: String,
}

/// Published events.
#[derive(Debug, Serialize)]
pub(super) struct EventPage {
    events: Vec<Event>,
    next: u64,
}

impl Cache {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            limit: options.cache_blocks,
            tick: 0,
            last_used: HashMap::default(),
            by_last_use: BTreeMap::new(),
            events: VecDeque::new(),
            sequence: 0,
            lag: options.lag(),
            loss: options.event_loss.clamp(0.0, 1.0),
            rng: SmallRng::seed_from_u64(options.seed),
        }
    }

    pub(super) fn contains(&self, block: u64) -> bool {
        self.last_used.contains_key(&block)
    }

    /// Uses the blocks of a prompt and returns how many of the leading blocks were in the cache.
    pub(super) fn touch(&mut self, blocks: &[u64]) -> usize {
        let hits = blocks
            .iter()
            .take_while(|block| self.contains(**block))
            .count();
        for block in blocks {
            self.use_block(*block);
        }
        while self.last_used.len() > self.limit {
            self.evict();
        }
        hits
    }

    /// Visible events whose number is greater than `after`.
    pub(super) fn events(&self, after: u64) -> EventPage {
        let seen = self
            .events
            .iter()
            .take_while(|(time, _)| time.elapsed() >= self.lag);
        let events: Vec<_> = seen
            .map(|(_, event)| event)
            .filter(|event| event.sequence > after)
            .cloned()
            .collect();
        let next = events.last().map_or(after, |event| event.sequence);
        EventPage { events, next }
    }

    fn use_block(&mut self, block: u64) {
        self.tick += 1;
        self.by_last_use.insert(self.tick, block);
        match self.last_used.insert(block, self.tick) {
            Some(before) => {
                self.by_last_use.remove(&before);
            }
            None => self.publish(EventKind::Stored, block),
        }
    }

    fn evict(&mut self) {
        if let Some((_, block)) = self.by_last_use.pop_first() {
            self.last_used.remove(&block);
            self.publish(EventKind::Evicted, block);
        }
    }

    /// Publishes an event. A lost event still takes a sequence number, so that readers can detect
    /// the gap.
    fn publish(&mut self, kind: EventKind, block: u64) {
        self.sequence += 1;
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let event = Event {
            sequence: self.sequence,
            kind,
            block: format!("{block:016x}"),
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
