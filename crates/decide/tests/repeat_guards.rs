//! Each part of the bound on retries: with it the bound holds, without it it does not.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::bound::BoundCheck;
use common::policy::{Policy, Shipped, Start};
use common::reference::{Reference, Trailing, Variant, variant};
use common::repeats::TRANSIT;
use common::script::{Event, Script, WINDOW};
use decide::retry::window::RetryBound;
use std::time::Duration;

variant!(Whole);
variant!(BestWindow, BEST_WINDOW: bool = true);
variant!(PartBuckets, WHOLE_BUCKETS: bool = false);
variant!(LastWindow, ALL_WINDOWS: bool = false);
variant!(FromLastStage, FROM_ARRIVAL: bool = false);
variant!(FromGrant, IN_TRANSIT: bool = false);
variant!(ShareAfterRestart, HELD_AFTER_RESTART: bool = false);
variant!(ShareAfterJoin, HELD_AFTER_JOIN: bool = false);
variant!(ShareWithoutList, NEEDS_LIST: bool = false);
variant!(CurrentCount, HIGHEST_COUNT: bool = false);
variant!(BoundAtOnce, LESSER_BOUND: bool = false);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn bound(ratio: f64, slack: f64) -> RetryBound {
    RetryBound {
        ratio,
        slack,
        window: WINDOW,
    }
}

/// A script under construction; times are in milliseconds.
struct Scene {
    initial: RetryBound,
    events: Vec<(Duration, Event)>,
    changed: Option<(Duration, RetryBound)>,
}

impl Scene {
    /// Processes that have long known each other.
    fn new(initial: RetryBound, processes: usize) -> Self {
        let scene = Self {
            initial,
            events: Vec::new(),
            changed: None,
        };
        (0..processes).fold(scene, |scene, process| {
            let start = Start::First;
            let scene = scene.at(0, Event::Start { process, start });
            scene.list(0, process, processes)
        })
    }

    fn at(mut self, millis: u64, event: Event) -> Self {
        self.events.push((ms(millis), event));
        self
    }

    fn list(self, millis: u64, process: usize, count: usize) -> Self {
        self.at(millis, Event::List { process, count })
    }

    fn start(self, millis: u64, process: usize, start: Start) -> Self {
        self.at(millis, Event::Start { process, start })
    }

    fn kill(self, millis: u64, process: usize) -> Self {
        self.at(millis, Event::Kill { process })
    }

    /// First attempts that are counted as soon as their requests are sent.
    fn requests(self, millis: u64, process: usize, count: u32) -> Self {
        let sent = ms(millis);
        let event = Event::FirstAttempts {
            process,
            count,
            sent,
        };
        self.at(millis, event)
    }

    fn retries(self, millis: u64, process: usize) -> Self {
        let transit = Duration::ZERO;
        self.at(millis, Event::Retries { process, transit })
    }

    fn slow_retries(self, millis: u64, process: usize) -> Self {
        let transit = TRANSIT;
        self.at(millis, Event::Retries { process, transit })
    }

    fn set_bound(mut self, millis: u64, processes: usize, bound: RetryBound) -> Self {
        self.changed = Some((ms(millis), bound));
        (0..processes).fold(self, |scene, process| {
            scene.at(millis, Event::SetBound { process, bound })
        })
    }

    fn exceeds_bound<P: Policy>(&self) -> bool {
        let until = self.changed.map_or(Duration::MAX, |(at, _)| at + TRANSIT);
        let mut bounds = vec![(self.initial, Duration::ZERO, until)];
        bounds.extend(self.changed.map(|(at, bound)| (bound, at, Duration::MAX)));
        let script = Script {
            initial: self.initial,
            events: self.events.clone(),
            bounds,
        };
        BoundCheck::new(&script.run::<P>()).worst_excess() > 1e-9
    }

    /// Asserts that the bound holds, but not in the variant `V`.
    fn needs<V: Variant>(&self) {
        assert!(!self.exceeds_bound::<Shipped>(), "shipped");
        assert!(!self.exceeds_bound::<Reference<Whole>>(), "reference");
        assert!(self.exceeds_bound::<Reference<V>>(), "variant");
    }
}

/// Guards against processes that each count first attempts in another window.
#[test]
fn same_windows() {
    let scene = Scene::new(bound(1.0, 0.0), 2)
        .requests(14_000, 0, 100)
        .retries(20_100, 0)
        .requests(26_000, 1, 100)
        .retries(26_500, 1);
    scene.needs::<BestWindow>();
    assert!(scene.exceeds_bound::<Trailing>());
}

/// Guards against first attempts that count although they were sent just before a window.
#[test]
fn whole_buckets() {
    let scene = Scene::new(bound(1.0, 0.0), 1).requests(20_301, 0, 100);
    scene.slow_retries(30_049, 0).needs::<PartBuckets>();
}

/// Guards against a check of only the window that ends now.
#[test]
fn all_windows() {
    let scene = Scene::new(bound(1.0, 0.0), 1).requests(12_000, 0, 100);
    scene.retries(31_900, 0).needs::<LastWindow>();
}

/// Guards against first attempts that count from when the last stage of their request begins.
#[test]
fn late_stages() {
    let event = Event::FirstAttempts {
        process: 0,
        count: 100,
        sent: ms(20_000),
    };
    let scene = Scene::new(bound(1.0, 0.0), 1).at(21_500, event);
    scene.retries(31_000, 0).needs::<FromLastStage>();
}

/// Guards against retries that arrive in a later window than they were granted in.
#[test]
fn retries_in_transit() {
    let scene = Scene::new(bound(1.0, 0.0), 1).requests(20_200, 0, 100);
    scene.slow_retries(30_100, 0).needs::<FromGrant>();
}

/// Guards against slack that is spent by a process and again by its next start.
#[test]
fn spent_before_restart() {
    let scene = Scene::new(bound(0.1, 40.0), 1)
        .retries(20_000, 0)
        .kill(20_100, 0)
        .start(20_500, 0, Start::Restart)
        .list(20_600, 0, 1);
    scene.retries(21_000, 0).needs::<ShareAfterRestart>();
}

/// Guards against a share for a process that the others did not know when they spent theirs.
#[test]
fn just_joined() {
    let scene = Scene::new(bound(0.1, 40.0), 1)
        .start(20_000, 1, Start::Join)
        .list(20_500, 1, 2)
        .retries(24_300, 0)
        .list(24_400, 0, 2);
    scene.retries(30_500, 1).needs::<ShareAfterJoin>();
}

/// Guards against a share by an assumed number of processes.
#[test]
fn without_list() {
    let scene = (0..8).fold(Scene::new(bound(0.1, 720.0), 8), |scene, process| {
        scene.list(0, process, 9).retries(20_000, process)
    });
    let scene = scene.start(0, 8, Start::Restart);
    scene.retries(20_000, 8).needs::<ShareWithoutList>();
}

/// Guards against the share of a process that has left, spent by itself and by those that remain.
#[test]
fn just_left() {
    let scene = Scene::new(bound(0.1, 40.0), 2)
        .retries(20_000, 1)
        .kill(20_100, 1)
        .list(22_000, 0, 1);
    scene.retries(22_100, 0).needs::<CurrentCount>();
}

/// Guards against processes that apply different terms of two bounds within one window.
#[test]
fn bound_changed() {
    let scene = Scene::new(bound(1.0, 0.0), 2)
        .requests(14_000, 0, 100)
        .retries(20_100, 0)
        .requests(26_000, 0, 100)
        .retries(26_500, 0)
        .set_bound(27_000, 2, bound(0.0, 80.0));
    scene.retries(28_000, 1).needs::<BoundAtOnce>();
}
