//! Guards of repeats: one each part of which can be taken out, and the one that went before it.
#![allow(unused_macros, unused_imports)]

use super::repeats::{ARRIVAL, CONFIGURED, Guard, KNOWN, Start, TRANSIT};
use decide::retry::window::Bound;
use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::time::Duration;

/// What a twin does.
pub trait Way {
    /// Parts of the window, the one half a window before it and the one before it for which requests are
    /// counted.
    const PARTS: [f64; 3] = [0.5, 0.0, 0.5];
    /// Whether the best of the three counts for each process by itself.
    const BEST: bool = false;
    /// Steps that a window is counted in.
    const STEPS: i64 = 200;
    /// Whether a request counts only where its whole step lies in the window.
    const INSIDE: bool = true;
    /// Whether all windows are looked at that the repeat falls into, or only the one that ends now.
    const EVERY: bool = true;
    /// Whether requests count from when they came.
    const ARRIVED: bool = true;
    /// Whether repeats count that are on their way.
    const TRANSIT: bool = true;
    /// Whether a process that starts again gets nothing of the slack for a while.
    const HOLD: bool = true;
    /// Whether one that is new to the others waits for longer.
    const JOIN: bool = true;
    /// Whether a process that knows of no others gets nothing of the slack.
    const LISTED: bool = true;
    /// Whether the most processes count that were there within a window.
    const MOST: bool = true;
    /// Whether the lesser of each term holds while the bound changes.
    const LESSER: bool = true;
}

/// Declares a way that differs from the whole in some terms.
macro_rules! way {
    ($name:ident $(, $term:ident : $kind:ty = $value:expr)*) => {
        struct $name;
        impl Way for $name {
            $(const $term: $kind = $value;)*
        }
    };
}
pub(crate) use way;

/// One that does what a way says.
pub struct Twin<W> {
    bound: Bound,
    later: Option<(Duration, Bound)>,
    firsts: BTreeMap<i64, u32>,
    repeats: BTreeMap<i64, u32>,
    counts: Vec<(Duration, usize)>,
    earns: Duration,
    way: PhantomData<W>,
}

/// Counts of steps, added up from the oldest on.
struct Sums {
    oldest: i64,
    sums: Vec<u32>,
}

impl Sums {
    fn new(steps: &BTreeMap<i64, u32>, oldest: i64, newest: i64) -> Self {
        let mut sum = 0;
        let count = |step: i64| {
            sum += steps.get(&step).copied().unwrap_or(0);
            sum
        };
        Self {
            oldest,
            sums: (oldest..=newest).map(count).collect(),
        }
    }

    fn before(&self, step: i64) -> u32 {
        let last = step.min(self.oldest + self.sums.len() as i64) - self.oldest - 1;
        usize::try_from(last).map_or(0, |last| self.sums[last])
    }

    fn total(&self, from: i64, until: i64) -> f64 {
        f64::from(self.before(until.max(from)) - self.before(from))
    }
}

impl<W: Way> Twin<W> {
    fn step(&self, at: Duration) -> i64 {
        (at.as_nanos() / (self.bound.window.as_nanos() / W::STEPS as u128)) as i64
    }

    /// Steps that hold this much time.
    fn steps(&self, time: Duration) -> i64 {
        let length = self.bound.window.as_nanos() / W::STEPS as u128;
        time.as_nanos().div_ceil(length) as i64
    }

    /// Requests that count for the window that begins in a step.
    fn requests(&self, firsts: &Sums, step: i64) -> f64 {
        let lost = if W::INSIDE {
            1 + self.steps(ARRIVAL)
        } else {
            0
        };
        let earlier = [0, W::STEPS / 2, W::STEPS];
        let counted = earlier.map(|earlier| {
            let from = step - earlier;
            // The ends of windows that follow one another.
            let lost = if W::BEST || earlier == W::STEPS {
                lost
            } else {
                0
            };
            firsts.total(from + lost, from + W::STEPS)
        });
        if W::BEST {
            return counted.into_iter().fold(0.0, f64::max);
        }
        let parts = W::PARTS.iter().zip(counted);
        parts.map(|(part, counted)| part * counted).sum()
    }

    fn part(&mut self, now: Duration) -> f64 {
        if now < self.earns {
            return 0.0;
        }
        let Some((_, last)) = self.counts.last() else {
            let part = self.bound.slack / CONFIGURED as f64;
            return if W::LISTED { 0.0 } else { part };
        };
        let reach = self.bound.reach();
        let over = self.counts.partition_point(|(at, _)| *at + reach <= now);
        let counts = self.counts[over.saturating_sub(1)..].iter();
        let most = counts.map(|(_, count)| *count).max().filter(|_| W::MOST);
        self.bound.slack / most.unwrap_or(*last) as f64
    }
}

impl<W: Way> Guard for Twin<W> {
    fn start(bound: Bound, now: Duration, start: Start) -> Self {
        let earns = match start {
            Start::New if W::JOIN => now + bound.reach() + KNOWN,
            Start::Again | Start::New if W::HOLD => now + bound.reach(),
            _ => now,
        };
        Self {
            bound,
            later: None,
            firsts: BTreeMap::new(),
            repeats: BTreeMap::new(),
            counts: Vec::new(),
            earns,
            way: PhantomData,
        }
    }

    fn listed(&mut self, now: Duration, processes: usize) {
        let last = self.counts.last();
        if last.is_none_or(|(_, count)| *count != processes) {
            self.counts.push((now, processes));
        }
    }

    fn first(&mut self, now: Duration, arrived: Duration) {
        let step = self.step(if W::ARRIVED { arrived } else { now });
        *self.firsts.entry(step).or_default() += 1;
    }

    fn repeat(&mut self, now: Duration) -> bool {
        if let Some((_, bound)) = self.later.take_if(|(at, _)| *at <= now) {
            self.bound = bound;
        }
        let part = self.part(now);
        let behind = if W::TRANSIT { self.steps(TRANSIT) } else { 0 };
        let step = self.step(now);
        let oldest = step - W::STEPS - 1;
        let newest = if W::EVERY { step + behind } else { oldest };
        self.firsts = self.firsts.split_off(&(step - 3 * W::STEPS));
        self.repeats = self.repeats.split_off(&(step - 2 * W::STEPS));
        let (begin, end) = (step - 3 * W::STEPS, step + behind);
        let firsts = Sums::new(&self.firsts, begin, end);
        let repeats = Sums::new(&self.repeats, begin, end);
        let is_full = (oldest..=newest).any(|from| {
            let repeats = repeats.total(from - behind, i64::MAX);
            repeats + 1.0 > self.bound.ratio * self.requests(&firsts, from) + part
        });
        if !is_full {
            *self.repeats.entry(step).or_default() += 1;
        }
        !is_full
    }

    fn rebind(&mut self, now: Duration, bound: Bound) {
        let old = self.bound;
        let ratio = bound.ratio.min(old.ratio);
        let slack = bound.slack.min(old.slack);
        self.bound = bound;
        let is_ordered = [bound, old]
            .iter()
            .any(|one| (one.ratio, one.slack) == (ratio, slack));
        if W::LESSER && !is_ordered {
            self.bound = Bound {
                ratio,
                slack,
                ..bound
            };
            self.later = Some((now + bound.reach(), bound));
        }
    }
}

/// The one that went before: requests and repeats of the window that ends now, parts by belief.
pub struct Trailing {
    bound: Bound,
    steps: BTreeMap<u128, [u32; 2]>,
    processes: usize,
}

impl Trailing {
    fn step(&mut self, now: Duration) -> &mut [u32; 2] {
        let number = now.as_nanos() / (self.bound.window / 20).as_nanos();
        self.steps = self.steps.split_off(&number.saturating_sub(20));
        self.steps.entry(number).or_default()
    }
}

impl Guard for Trailing {
    fn start(bound: Bound, _now: Duration, _start: Start) -> Self {
        Self {
            bound,
            steps: BTreeMap::new(),
            processes: CONFIGURED,
        }
    }

    fn listed(&mut self, _now: Duration, processes: usize) {
        self.processes = processes;
    }

    fn first(&mut self, now: Duration, _arrived: Duration) {
        self.step(now)[0] += 1;
    }

    fn repeat(&mut self, now: Duration) -> bool {
        self.step(now);
        let sum = |kind: usize| self.steps.values().map(|step| step[kind]).sum::<u32>();
        let part = self.bound.slack / self.processes as f64;
        let allowed = self.bound.ratio * f64::from(sum(0)) + part;
        let may = f64::from(sum(1) + 1) <= allowed;
        self.step(now)[1] += u32::from(may);
        may
    }

    fn rebind(&mut self, now: Duration, bound: Bound) {
        let repeats = self.steps.values().map(|step| step[1]).sum();
        self.steps.clear();
        self.bound = bound;
        *self.step(now) = [0, repeats];
    }
}
