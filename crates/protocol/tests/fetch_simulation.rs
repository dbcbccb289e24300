//! Seeded simulation of a fetch in virtual time, with sources that stop responding, are lost, respond
//! late or twice, and encode the same version differently, while newer versions are offered.
#![allow(missing_docs)]

use protocol::fetch::{Fetch, Part, PartAction, PartRequest, Version};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

type Source = usize;

const SOURCES: usize = 6;
const SEEDS: u64 = 2_000;
/// Timeout of the fetch.
const TIMEOUT_MS: u64 = 500;
const ROUND_TRIP_MS: u64 = 30;
const TICK_MS: u64 = 100;
const OFFERS_MS: u64 = 4_000;
/// Time in which every remaining source is tried twice and one then sends the whole version.
const DEADLINE_MS: u64 =
    OFFERS_MS + 2 * SOURCES as u64 * (TIMEOUT_MS + TICK_MS) + 2 * PARTS * ROUND_TRIP_MS;
const PART_BYTES: u64 = 10;
const PARTS: u64 = 12;

/// A guard that is removed around the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// A copy is requested from every source that offers one.
    FetchAll,
    /// The fetch keeps waiting for an unresponsive source.
    KeepSource,
    /// Parts of different encodings are combined.
    IgnoreDigest,
    /// A transfer in progress is abandoned for a newer version.
    RestartOnOffer,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Offer(Source, Version),
    Arrive(Source, Part),
    Lose(Source),
    Tick,
}

struct World {
    mutation: Mutation,
    rng: StdRng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    fetch: Fetch<Source>,
    /// Version of each remaining source, and whether it is unresponsive.
    sources: BTreeMap<Source, (Version, bool)>,
    received: Vec<Part>,
    known: Version,
    /// Number of parts that arrived.
    parts_received: u64,
    /// Number of transfers that were started from the beginning.
    transfers_started: u64,
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

impl World {
    fn new(seed: u64, mutation: Mutation) -> Self {
        Self {
            mutation,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            events: BTreeMap::new(),
            fetch: Fetch::new(millis(TIMEOUT_MS)),
            sources: (0..SOURCES).map(|source| (source, (0, false))).collect(),
            received: Vec::new(),
            known: 0,
            parts_received: 0,
            transfers_started: 0,
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        let order = self.events.len() as u64 + (at << 20);
        self.events.insert((at, order), event);
    }

    /// Schedules offers of many versions while sources are lost or stop responding; one source keeps
    /// responding.
    fn schedule_events(&mut self, versions: u64) {
        for version in 1..=versions {
            let at = OFFERS_MS * version / (versions + 1);
            for source in 0..SOURCES {
                let delay = self.rng.random_range(0..200);
                self.schedule(at + delay, Event::Offer(source, version));
            }
        }
        for source in 1..SOURCES {
            let at = self.rng.random_range(0..OFFERS_MS + 2_000);
            if self.rng.random_bool(0.3) {
                self.schedule(at, Event::Lose(source));
            } else if self.rng.random_bool(0.5)
                && let Some((_, silent)) = self.sources.get_mut(&source)
            {
                *silent = true;
            }
        }
        for tick in 1..=DEADLINE_MS / TICK_MS {
            self.schedule(tick * TICK_MS, Event::Tick);
        }
    }

    fn digest(source: Source, version: Version) -> u64 {
        version * 10 + source as u64 % 2
    }

    fn send_request(&mut self, request: Option<PartRequest<Source>>) {
        let Some(request) = request else { return };
        if request.offset == 0 {
            self.transfers_started += 1;
            self.received.clear();
        }
        let Some(&(version, silent)) = self.sources.get(&request.source) else {
            return;
        };
        if silent {
            return;
        }
        // Sources keep a requested version while newer ones are offered.
        let version = version.min(request.version).max(1);
        let offset = request.offset.min(PART_BYTES * (PARTS - 1));
        let part = Part {
            version,
            digest: Self::digest(request.source, version),
            offset,
            length: PART_BYTES,
            total: PART_BYTES * PARTS,
        };
        let delay = self.rng.random_range(1..ROUND_TRIP_MS);
        self.schedule(self.now + delay, Event::Arrive(request.source, part));
        if self.rng.random_bool(0.05) {
            self.schedule(self.now + delay + 5, Event::Arrive(request.source, part));
        }
    }

    fn offer(&mut self, source: Source, version: Version) {
        let Some(at) = self.sources.get_mut(&source) else {
            return;
        };
        at.0 = at.0.max(version);
        if self.mutation == Mutation::RestartOnOffer {
            self.fetch = Fetch::new(millis(TIMEOUT_MS));
            self.received.clear();
        }
        if self.mutation == Mutation::FetchAll {
            let offset = 0;
            for _ in 0..PARTS {
                self.send_request(Some(PartRequest {
                    source,
                    version,
                    offset,
                }));
            }
            self.transfers_started = 0;
        }
        let request = self.fetch.offer(source, version, millis(self.now));
        self.send_request(request);
    }

    fn arrive(&mut self, source: Source, part: Part) {
        self.parts_received += 1;
        let presented = match self.received.first() {
            Some(first) if self.mutation == Mutation::IgnoreDigest => Part {
                digest: first.digest,
                version: first.version,
                ..part
            },
            _ => part,
        };
        let request = match self.fetch.part(&source, presented, millis(self.now)) {
            PartAction::Ignore => return,
            PartAction::Reset(request) => {
                self.received.clear();
                return self.send_request(Some(request));
            }
            PartAction::Restart(request) => {
                self.received = vec![part];
                request
            }
            PartAction::Append(request) => {
                self.received.push(part);
                request
            }
        };
        if request.is_none() {
            return self.complete();
        }
        self.send_request(request);
    }

    fn complete(&mut self) {
        let received = std::mem::take(&mut self.received);
        let first = received[0];
        let offsets: Vec<u64> = received.iter().map(|part| part.offset).collect();
        let whole: Vec<u64> = (0..PARTS).map(|number| number * PART_BYTES).collect();
        assert_eq!(offsets, whole, "parts are missing or duplicated");
        assert!(
            received.iter().all(|part| part.digest == first.digest),
            "parts of two encodings are combined"
        );
        assert!(
            first.version > self.known,
            "an older version was completed after a newer one"
        );
        self.known = first.version;
        let request = self.fetch.note_known(self.known, millis(self.now));
        self.send_request(request);
    }

    fn run(mut self, versions: u64) {
        self.schedule_events(versions);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Offer(source, version) => self.offer(source, version),
                Event::Arrive(source, part) => self.arrive(source, part),
                Event::Lose(source) => {
                    self.sources.remove(&source);
                    let request = self.fetch.lost(&source, millis(self.now));
                    self.send_request(request);
                }
                Event::Tick if self.mutation == Mutation::KeepSource => {}
                Event::Tick => {
                    let request = self.fetch.tick(millis(self.now));
                    self.send_request(request);
                }
            }
        }
        assert_eq!(self.known, versions, "the newest version was not completed");
        // A fetch that switches sources keeps what it has received, and few responses arrive twice.
        let max_parts = self.transfers_started * PARTS * 3 / 2 + PARTS;
        assert!(
            self.parts_received <= max_parts,
            "{} parts, at most {max_parts} expected",
            self.parts_received
        );
    }
}

fn run_all(mutation: Mutation) {
    for seed in 0..SEEDS {
        // A single version, a few, and more than can be fetched in time.
        World::new(seed, mutation).run([1, 3, 60][seed as usize % 3]);
    }
}

/// Guards against unnecessary copies, mixed encodings, and a newest version that is never completed.
#[test]
fn newest_version_completes() {
    run_all(Mutation::None);
}

#[test]
#[should_panic(expected = "parts, at most ")]
fn fetching_all_wastes_parts() {
    run_all(Mutation::FetchAll);
}

#[test]
#[should_panic(expected = "the newest version was not completed")]
fn silent_source_stalls() {
    run_all(Mutation::KeepSource);
}

#[test]
#[should_panic(expected = "parts of two encodings are combined")]
fn encodings_are_mixed() {
    run_all(Mutation::IgnoreDigest);
}

#[test]
#[should_panic(expected = "the newest version was not completed")]
fn restarting_never_completes() {
    run_all(Mutation::RestartOnOffer);
}
