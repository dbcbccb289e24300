//! The bound on repeats over a whole fleet, while processes are lost and come back and traffic changes.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::lumps::lumps;
use common::repeats::{Guard, Seen, Terms, play};
use common::rule::Rule;
use common::shipped::Shipped;
use common::twin::{Trailing, Twin, Way, way};

/// Plays in CI; `REPEAT_PLAYS` asks for more.
const PLAYS: u64 = 100;
/// Plays of each way that is weighed.
const WEIGHED: u64 = 2;
/// Plays in lumps.
const LUMPS: u64 = 1_000;
/// Part of the requests that may be refused more than without a bound that holds.
const REFUSED_MORE: f64 = 0.01;

/// The plays of a run: `REPEAT_PLAYS` seeds from 0 on, with the terms that `REPEAT_TERMS` names.
fn plays(usual: u64) -> u64 {
    let plays = std::env::var("REPEAT_PLAYS").ok();
    plays.map_or(usual, |plays| plays.parse().unwrap())
}

fn terms() -> Terms {
    let terms = std::env::var("REPEAT_TERMS").ok();
    terms.map_or(Terms::ALL, |names| Terms::of(&names))
}

/// Plays that break the rule, and by how much.
#[derive(Debug, Default)]
struct Verdict {
    broken: Vec<(u64, f64)>,
    requests: usize,
    repeats: usize,
    refused: usize,
}

impl Verdict {
    fn of(plays: impl Iterator<Item = (u64, Seen)>) -> Self {
        let mut verdict = Self::default();
        for (seed, seen) in plays {
            let excess = Rule::new(&seen).excess();
            if excess > 1e-9 {
                verdict.broken.push((seed, excess));
            }
            verdict.requests += seen.firsts.len();
            verdict.repeats += seen.arrivals.len();
            verdict.refused += seen.refused;
        }
        verdict
    }

    fn drawn<G: Guard>(terms: Terms, plays: u64) -> Self {
        Self::of((0..plays).map(|seed| (seed, play::<G>(seed, terms))))
    }

    fn lumps<G: Guard>() -> Self {
        Self::of((0..plays(LUMPS)).map(|seed| (seed, lumps::<G>(seed))))
    }

    fn worst(&self) -> f64 {
        self.broken.iter().map(|(_, by)| *by).fold(0.0, f64::max)
    }

    fn print(&self, what: &str) {
        let first = self.broken.first().map(|(seed, _)| *seed);
        println!(
            "{what:10} {:4} broken, first {first:?}, worst {:.1}%; {} requests, {} repeats, {} refused",
            self.broken.len(),
            100.0 * self.worst(),
            self.requests,
            self.repeats,
            self.refused
        );
    }
}

/// Guards against more repeats at a service than the bound of the whole fleet, in any window.
#[test]
fn bound_kept() {
    let verdict = Verdict::drawn::<Shipped>(terms(), plays(PLAYS));
    verdict.print("shipped");
    assert!(verdict.broken.is_empty(), "{:?}", verdict.broken);
}

/// The same where requests come in lumps and processes repeat all that they may.
#[test]
fn lumps_kept() {
    let verdict = Verdict::lumps::<Shipped>();
    verdict.print("shipped");
    assert!(verdict.broken.is_empty(), "{:?}", verdict.broken);
}

/// Guards against a guard that keeps the bound by refusing far more, on plays in which no process is lost.
#[test]
fn few_refused() {
    let terms = Terms::of("swings,uneven,late,transit");
    let shipped = Verdict::drawn::<Shipped>(terms, plays(PLAYS));
    let trailing = Verdict::drawn::<Trailing>(terms, plays(PLAYS));
    shipped.print("shipped");
    trailing.print("trailing");
    let more = shipped.refused as f64 / shipped.requests as f64
        - trailing.refused as f64 / trailing.requests as f64;
    assert!(more <= REFUSED_MORE, "{more:.4} of the requests");
}

way!(Whole);
way!(Bucket, PARTS: [f64; 3] = [1.0, 0.0, 0.0]);
way!(Middle, PARTS: [f64; 3] = [0.0, 1.0, 0.0]);
way!(Before, PARTS: [f64; 3] = [0.0, 0.0, 1.0]);
way!(Thirds, PARTS: [f64; 3] = [0.33, 0.34, 0.33]);
way!(Mixed, PARTS: [f64; 3] = [0.25, 0.5, 0.25]);
way!(Coarse, STEPS: i64 = 20);

/// What other ways of counting would refuse.
#[test]
fn ways_weighed() {
    let (terms, plays) = (terms(), plays(WEIGHED));
    let ways = [
        ("trailing", Verdict::drawn::<Trailing>(terms, plays)),
        ("shipped", Verdict::drawn::<Shipped>(terms, plays)),
        ("bucket", Verdict::drawn::<Twin<Bucket>>(terms, plays)),
        ("middle", Verdict::drawn::<Twin<Middle>>(terms, plays)),
        ("before", Verdict::drawn::<Twin<Before>>(terms, plays)),
        ("thirds", Verdict::drawn::<Twin<Thirds>>(terms, plays)),
        ("mixed", Verdict::drawn::<Twin<Mixed>>(terms, plays)),
        ("whole", Verdict::drawn::<Twin<Whole>>(terms, plays)),
        ("coarse", Verdict::drawn::<Twin<Coarse>>(terms, plays)),
    ];
    for (name, verdict) in &ways {
        verdict.print(name);
    }
    let [trailing, kept @ ..] = &ways;
    assert!(!trailing.1.broken.is_empty());
    assert!(kept.iter().all(|(_, verdict)| verdict.broken.is_empty()));
}

way!(Best, BEST: bool = true);
way!(Outside, INSIDE: bool = false);
way!(Last, EVERY: bool = false);
way!(Counted, ARRIVED: bool = false);
way!(Granted, TRANSIT: bool = false);
way!(Fresh, HOLD: bool = false, JOIN: bool = false, LISTED: bool = false);
way!(Now, MOST: bool = false);
way!(Sudden, LESSER: bool = false);
way!(Bare, INSIDE: bool = false, EVERY: bool = false, ARRIVED: bool = false, TRANSIT: bool = false,
    HOLD: bool = false, JOIN: bool = false, LISTED: bool = false, MOST: bool = false,
    LESSER: bool = false, PARTS: [f64; 3] = [1.0, 0.0, 0.0]);
way!(Held, INSIDE: bool = false, EVERY: bool = false, ARRIVED: bool = false, TRANSIT: bool = false,
    MOST: bool = false, LESSER: bool = false, PARTS: [f64; 3] = [1.0, 0.0, 0.0]);

/// What each part is worth on drawn plays, taken out by itself.
#[test]
fn parts_weighed() {
    let (terms, plays) = (terms(), plays(WEIGHED));
    let whole = Verdict::drawn::<Twin<Whole>>(terms, plays);
    whole.print("whole");
    Verdict::drawn::<Twin<Best>>(terms, plays).print("best");
    Verdict::drawn::<Twin<Outside>>(terms, plays).print("outside");
    Verdict::drawn::<Twin<Last>>(terms, plays).print("last");
    Verdict::drawn::<Twin<Counted>>(terms, plays).print("counted");
    Verdict::drawn::<Twin<Granted>>(terms, plays).print("granted");
    Verdict::drawn::<Twin<Fresh>>(terms, plays).print("fresh");
    Verdict::drawn::<Twin<Now>>(terms, plays).print("now");
    Verdict::drawn::<Twin<Sudden>>(terms, plays).print("sudden");
    Verdict::drawn::<Twin<Bare>>(terms, plays).print("bare");
    Verdict::drawn::<Twin<Held>>(terms, plays).print("bare, held");
    assert!(whole.broken.is_empty());
}
