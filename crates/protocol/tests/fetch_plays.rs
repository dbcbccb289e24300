//! Seeded plays of a fetch in virtual time: sources that fall silent, are lost, answer late or twice, and encode
//! the same version differently, while newer versions come.
#![allow(missing_docs)]

use protocol::fetch::{Fetch, Part, PartAction, PartRequest, Version};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

type Source = usize;

const SOURCES: usize = 6;
const PLAYS: u64 = 2_000;
/// Milliseconds.
const PATIENCE: u64 = 500;
const ROUND_TRIP: u64 = 30;
const WATCH: u64 = 100;
const STORM: u64 = 4_000;
/// Every source that is left is tried, each of them twice, and then sends a whole.
const DEADLINE: u64 = STORM + 2 * SOURCES as u64 * (PATIENCE + WATCH) + 2 * PARTS * ROUND_TRIP;
const PART: u64 = 10;
const PARTS: u64 = 12;

/// A guard that is taken away around the shipped machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Each offer is asked for its copy.
    AskAll,
    /// A silent source is waited for.
    NeverSwitch,
    /// Parts of different encodings are joined.
    JoinAny,
    /// A version that is begun is given up for a newer one.
    GiveUp,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Offer(Source, Version),
    Arrive(Source, Part),
    Lose(Source),
    Watch,
}

struct World {
    mutation: Mutation,
    rng: StdRng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    fetch: Fetch<Source>,
    /// Version at each source that is left; silent ones answer nothing.
    sources: BTreeMap<Source, (Version, bool)>,
    received: Vec<Part>,
    known: Version,
    /// Parts that arrived.
    carried: u64,
    /// Times that another source or version was begun.
    begun: u64,
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
            fetch: Fetch::new(millis(PATIENCE)),
            sources: (0..SOURCES).map(|source| (source, (0, false))).collect(),
            received: Vec::new(),
            known: 0,
            carried: 0,
            begun: 0,
        }
    }

    fn plan(&mut self, at: u64, event: Event) {
        let order = self.events.len() as u64 + (at << 20);
        self.events.insert((at, order), event);
    }

    /// A storm of versions, in which sources are lost and fall silent; one goes on to the end.
    fn draw(&mut self, versions: u64) {
        for version in 1..=versions {
            let at = STORM * version / (versions + 1);
            for source in 0..SOURCES {
                let later = self.rng.random_range(0..200);
                self.plan(at + later, Event::Offer(source, version));
            }
        }
        for source in 1..SOURCES {
            let at = self.rng.random_range(0..STORM + 2_000);
            if self.rng.random_bool(0.3) {
                self.plan(at, Event::Lose(source));
            } else if self.rng.random_bool(0.5)
                && let Some((_, silent)) = self.sources.get_mut(&source)
            {
                *silent = true;
            }
        }
        for tick in 1..=DEADLINE / WATCH {
            self.plan(tick * WATCH, Event::Watch);
        }
    }

    fn digest(source: Source, version: Version) -> u64 {
        version * 10 + source as u64 % 2
    }

    fn ask(&mut self, question: Option<PartRequest<Source>>) {
        let Some(question) = question else { return };
        if question.offset == 0 {
            self.begun += 1;
            self.received.clear();
        }
        let Some(&(version, silent)) = self.sources.get(&question.source) else {
            return;
        };
        if silent {
            return;
        }
        // Versions that are asked for are kept while newer ones come.
        let version = version.min(question.version).max(1);
        let offset = question.offset.min(PART * (PARTS - 1));
        let part = Part {
            version,
            digest: Self::digest(question.source, version),
            offset,
            length: PART,
            total: PART * PARTS,
        };
        let later = self.rng.random_range(1..ROUND_TRIP);
        self.plan(self.now + later, Event::Arrive(question.source, part));
        if self.rng.random_bool(0.05) {
            self.plan(self.now + later + 5, Event::Arrive(question.source, part));
        }
    }

    fn offer(&mut self, source: Source, version: Version) {
        let Some(at) = self.sources.get_mut(&source) else {
            return;
        };
        at.0 = at.0.max(version);
        if self.mutation == Mutation::GiveUp {
            self.fetch = Fetch::new(millis(PATIENCE));
            self.received.clear();
        }
        if self.mutation == Mutation::AskAll {
            let offset = 0;
            for _ in 0..PARTS {
                self.ask(Some(PartRequest {
                    source,
                    version,
                    offset,
                }));
            }
            self.begun = 0;
        }
        let question = self.fetch.offer(source, version, millis(self.now));
        self.ask(question);
    }

    fn arrive(&mut self, source: Source, part: Part) {
        self.carried += 1;
        let shown = match self.received.first() {
            Some(first) if self.mutation == Mutation::JoinAny => Part {
                digest: first.digest,
                version: first.version,
                ..part
            },
            _ => part,
        };
        let question = match self.fetch.part(&source, shown, millis(self.now)) {
            PartAction::Ignore => return,
            PartAction::Reset(question) => {
                self.received.clear();
                return self.ask(Some(question));
            }
            PartAction::Restart(question) => {
                self.received = vec![part];
                question
            }
            PartAction::Append(question) => {
                self.received.push(part);
                question
            }
        };
        if question.is_none() {
            return self.complete();
        }
        self.ask(question);
    }

    fn complete(&mut self) {
        let received = std::mem::take(&mut self.received);
        let first = received[0];
        let offsets: Vec<u64> = received.iter().map(|part| part.offset).collect();
        let whole: Vec<u64> = (0..PARTS).map(|number| number * PART).collect();
        assert_eq!(offsets, whole, "parts are missing, or come twice");
        assert!(
            received.iter().all(|part| part.digest == first.digest),
            "parts of two encodings are joined"
        );
        assert!(first.version > self.known, "an older version comes last");
        self.known = first.version;
        let question = self.fetch.note_known(self.known, millis(self.now));
        self.ask(question);
    }

    fn play(mut self, versions: u64) {
        self.draw(versions);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Offer(source, version) => self.offer(source, version),
                Event::Arrive(source, part) => self.arrive(source, part),
                Event::Lose(source) => {
                    self.sources.remove(&source);
                    let question = self.fetch.lost(&source, millis(self.now));
                    self.ask(question);
                }
                Event::Watch if self.mutation == Mutation::NeverSwitch => {}
                Event::Watch => {
                    let question = self.fetch.tick(millis(self.now));
                    self.ask(question);
                }
            }
        }
        assert_eq!(self.known, versions, "the newest version has not come");
        // A fetch that goes on elsewhere keeps what is there, and answers that come twice are few.
        let most = self.begun * PARTS * 3 / 2 + PARTS;
        assert!(self.carried <= most, "{} parts, {most}", self.carried);
    }
}

fn plays(mutation: Mutation) {
    for seed in 0..PLAYS {
        // One version alone, a few, and more than there is time to fetch.
        World::new(seed, mutation).play([1, 3, 60][seed as usize % 3]);
    }
}

/// Guards against copies that nobody needs, joined encodings, and a newest version that never comes.
#[test]
fn newest_comes() {
    plays(Mutation::None);
}

#[test]
#[should_panic(expected = "parts, ")]
fn ask_all() {
    plays(Mutation::AskAll);
}

#[test]
#[should_panic(expected = "the newest version has not come")]
fn never_switch() {
    plays(Mutation::NeverSwitch);
}

#[test]
#[should_panic(expected = "parts of two encodings are joined")]
fn join_any() {
    plays(Mutation::JoinAny);
}

#[test]
#[should_panic(expected = "the newest version has not come")]
fn give_up() {
    plays(Mutation::GiveUp);
}
