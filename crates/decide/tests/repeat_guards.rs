//! Each part of what keeps the bound on repeats: with it the bound holds, without it it does not.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::lumps::{Event, run};
use common::repeats::{Guard, Start, TRANSIT};
use common::rule::Rule;
use common::shipped::Shipped;
use common::twin::{Trailing, Twin, Way, way};
use decide::retry::window::Bound;
use std::time::Duration;

way!(Whole);
way!(Best, BEST: bool = true);
way!(Outside, INSIDE: bool = false);
way!(Last, EVERY: bool = false);
way!(Counted, ARRIVED: bool = false);
way!(Granted, TRANSIT: bool = false);
way!(Fresh, HOLD: bool = false);
way!(Unknown, JOIN: bool = false);
way!(Unlisted, LISTED: bool = false);
way!(Now, MOST: bool = false);
way!(Sudden, LESSER: bool = false);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn bound(ratio: f64, slack: f64) -> Bound {
    Bound {
        ratio,
        slack,
        window: ms(10_000),
    }
}

/// What happens in one play, times in milliseconds.
struct Scene {
    first: Bound,
    events: Vec<(Duration, Event)>,
    changed: Option<(Duration, Bound)>,
}

impl Scene {
    /// Processes that have long known of one another.
    fn new(first: Bound, processes: usize) -> Self {
        let mut scene = Self {
            first,
            events: Vec::new(),
            changed: None,
        };
        for process in 0..processes {
            scene = scene.at(0, Event::Start(process, Start::First));
            scene = scene.at(0, Event::List(process, processes));
        }
        scene
    }

    fn at(mut self, millis: u64, event: Event) -> Self {
        self.events.push((ms(millis), event));
        self
    }

    /// Requests that are counted at once.
    fn lump(self, millis: u64, process: usize, count: u32) -> Self {
        self.at(millis, Event::Lump(process, count, ms(millis)))
    }

    fn greedy(self, millis: u64, process: usize) -> Self {
        self.at(millis, Event::Greedy(process, Duration::ZERO))
    }

    fn rebind(mut self, millis: u64, processes: usize, bound: Bound) -> Self {
        self.changed = Some((ms(millis), bound));
        for process in 0..processes {
            self = self.at(millis, Event::Rebind(process, bound));
        }
        self
    }

    fn breaks<G: Guard>(&self) -> bool {
        let until = self.changed.map_or(Duration::MAX, |(at, _)| at + TRANSIT);
        let mut bounds = vec![(self.first, Duration::ZERO, until)];
        bounds.extend(self.changed.map(|(at, bound)| (bound, at, Duration::MAX)));
        let seen = run::<G>(self.first, self.events.clone(), bounds);
        Rule::new(&seen).excess() > 1e-9
    }

    fn needs<W: Way>(&self) {
        assert!(!self.breaks::<Shipped>(), "shipped");
        assert!(!self.breaks::<Twin<Whole>>(), "whole");
        assert!(self.breaks::<Twin<W>>(), "without it");
    }
}

/// Requests of two processes in two windows that follow one another, each repeated whole.
fn two_windows() -> Scene {
    Scene::new(bound(1.0, 0.0), 2)
        .lump(14_000, 0, 100)
        .greedy(20_100, 0)
        .lump(26_000, 1, 100)
        .greedy(26_500, 1)
}

/// Guards against processes that each count requests in another window.
#[test]
fn same_windows() {
    two_windows().needs::<Best>();
    assert!(two_windows().breaks::<Trailing>());
}

/// Guards against requests that count although they lie just outside a window.
#[test]
fn whole_steps() {
    let scene = Scene::new(bound(1.0, 0.0), 1).lump(20_301, 0, 100);
    scene
        .at(30_049, Event::Greedy(0, TRANSIT))
        .needs::<Outside>();
}

/// Guards against a look at the window that ends now only.
#[test]
fn every_window() {
    let scene = Scene::new(bound(1.0, 0.0), 1).lump(12_000, 0, 100);
    scene.greedy(31_900, 0).needs::<Last>();
}

/// Guards against requests that count from when their last stage begins.
#[test]
fn late_stages() {
    let scene = Scene::new(bound(1.0, 0.0), 1);
    let scene = scene.at(21_500, Event::Lump(0, 100, ms(20_000)));
    scene.greedy(31_000, 0).needs::<Counted>();
}

/// Guards against repeats that arrive in a later window than they were granted in.
#[test]
fn on_the_way() {
    let scene = Scene::new(bound(1.0, 0.0), 1).lump(20_200, 0, 100);
    scene
        .at(30_100, Event::Greedy(0, TRANSIT))
        .needs::<Granted>();
}

/// Guards against a slack that is spent by a process and once more by its next start.
#[test]
fn started_again() {
    let scene = Scene::new(bound(0.1, 40.0), 1)
        .greedy(20_000, 0)
        .at(20_100, Event::Kill(0))
        .at(20_500, Event::Start(0, Start::Again))
        .at(20_600, Event::List(0, 1));
    scene.greedy(21_000, 0).needs::<Fresh>();
}

/// Guards against a part for a process that others did not know of when they spent theirs.
#[test]
fn just_joined() {
    let scene = Scene::new(bound(0.1, 40.0), 1)
        .at(20_000, Event::Start(1, Start::New))
        .at(20_500, Event::List(1, 2))
        .greedy(24_300, 0)
        .at(24_400, Event::List(0, 2));
    scene.greedy(30_500, 1).needs::<Unknown>();
}

/// Guards against a part by a number of processes that only the settings tell.
#[test]
fn not_listed() {
    let mut scene = Scene::new(bound(0.1, 720.0), 8);
    for process in 0..8 {
        scene = scene.at(0, Event::List(process, 9)).greedy(20_000, process);
    }
    let scene = scene.at(0, Event::Start(8, Start::Again));
    scene.greedy(20_000, 8).needs::<Unlisted>();
}

/// Guards against the part of a process that has left, spent by itself and by those that stay.
#[test]
fn just_left() {
    let scene = Scene::new(bound(0.1, 40.0), 2)
        .greedy(20_000, 1)
        .at(20_100, Event::Kill(1))
        .at(22_000, Event::List(0, 1));
    scene.greedy(22_100, 0).needs::<Now>();
}

/// Guards against processes that go by different terms of two bounds within one window.
#[test]
fn bound_turned() {
    let scene = Scene::new(bound(1.0, 0.0), 2)
        .lump(14_000, 0, 100)
        .greedy(20_100, 0)
        .lump(26_000, 0, 100)
        .greedy(26_500, 0)
        .rebind(27_000, 2, bound(0.0, 80.0));
    scene.greedy(28_000, 1).needs::<Sudden>();
}
