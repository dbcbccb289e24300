//! Compares ways to learn the usual timeout of a route, by how many requests are mistaken: `cargo run -p decide
//! --example usual_timeout`.

use decide::timeout::UsualTimeout;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// Fraction of the usual timeout below which a request counts as coming back.
const FIRST_ATTEMPT: f64 = 5.0 / 6.0;
/// Timeout of an odd caller.
const ODD: Duration = Duration::from_secs(600);
/// Length of a day.
const DAY: Duration = Duration::from_secs(600);
/// Requests that the way by recent requests remembers.
const RECENT: usize = 64;

/// Load of a day.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    /// First attempts a second, and in a burst of 5 s in each minute.
    rate: f64,
    burst: f64,
    /// Share of odd callers.
    odd: f64,
    /// Factor on the timeouts of the second half of the day.
    later: f64,
    /// Refusals of each request that arrives in a burst.
    refusals: u32,
}

/// Requests that were mistaken.
#[derive(Default)]
struct Mistakes {
    first: u32,
    first_mistaken: u32,
    returns: u32,
    returns_missed: u32,
}

fn main() {
    let quiet = Load {
        name: "one odd caller in 200",
        rate: 20.0,
        burst: 20.0,
        odd: 0.005,
        later: 1.0,
        refusals: 0,
    };
    let loads = [
        quiet,
        Load {
            name: "one odd caller in 20",
            odd: 0.05,
            ..quiet
        },
        Load {
            name: "timeouts halved at noon",
            odd: 0.0,
            later: 0.5,
            ..quiet
        },
        Load {
            name: "bursts, five refusals",
            rate: 2.0,
            burst: 100.0,
            odd: 0.0,
            refusals: 5,
            ..quiet
        },
        Load {
            name: "bursts, odd callers",
            rate: 2.0,
            burst: 100.0,
            odd: 0.02,
            refusals: 5,
            ..quiet
        },
    ];
    for load in loads {
        println!("{}", load.name);
        let mut longest = Duration::ZERO;
        report("longest ever", load, |_, timeout| {
            longest = longest.max(timeout);
            longest
        });
        report("longest of 2 min", load, longest_lately());
        report("tenth of 64 requests", load, of_recent(10));
        report("half of 64 requests", load, of_recent(2));
        let mut usual = UsualTimeout::default();
        report("tenth of 2 min", load, |now, timeout| {
            usual.record(now, timeout)
        });
    }
}

fn longest_lately() -> impl FnMut(Duration, Duration) -> Duration {
    let mut recent: VecDeque<(Duration, Duration)> = VecDeque::new();
    move |now, timeout| {
        recent.push_back((now, timeout));
        recent.retain(|(at, _)| now - *at < Duration::from_secs(120));
        let timeouts = recent.iter().map(|(_, timeout)| *timeout);
        timeouts.max().unwrap_or_default()
    }
}

fn of_recent(divisor: usize) -> impl FnMut(Duration, Duration) -> Duration {
    let mut recent = VecDeque::new();
    move |_, timeout| {
        recent.push_back(timeout);
        if recent.len() > RECENT {
            recent.pop_front();
        }
        let mut sorted: Vec<Duration> = recent.iter().copied().collect();
        sorted.sort_unstable_by_key(|timeout| Reverse(*timeout));
        sorted[sorted.len().div_ceil(divisor) - 1]
    }
}

fn report(way: &str, load: Load, learn: impl FnMut(Duration, Duration) -> Duration) {
    let mistakes = play(load, learn);
    let percent = |part: u32, whole: u32| 100.0 * f64::from(part) / f64::from(whole.max(1));
    println!(
        "  {way:<22} first attempts mistaken {:5.1}% of {}, returns missed {:5.1}% of {}",
        percent(mistakes.first_mistaken, mistakes.first),
        mistakes.first,
        percent(mistakes.returns_missed, mistakes.returns),
        mistakes.returns,
    );
}

/// Plays a day. Requests are ordered by time; each is a moment, a timeout, and what is left of its refusals.
fn play(load: Load, mut learn: impl FnMut(Duration, Duration) -> Duration) -> Mistakes {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut requests = BinaryHeap::new();
    let mut now = Duration::ZERO;
    while now < DAY {
        let is_burst = now.as_secs() % 60 >= 55;
        let rate = if is_burst { load.burst } else { load.rate };
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        let factor = if now < DAY / 2 { 1.0 } else { load.later };
        let timeout = match rng.random_bool(load.odd) {
            true => ODD,
            false => Duration::from_secs_f64(rng.random_range(5.1..6.0) * factor),
        };
        let refusals = if is_burst { load.refusals } else { 0 };
        requests.push(Reverse((now, timeout, refusals, true)));
    }
    let mut mistakes = Mistakes::default();
    while let Some(Reverse((now, timeout, refusals, is_first))) = requests.pop() {
        let is_return = timeout < learn(now, timeout).mul_f64(FIRST_ATTEMPT);
        if is_first {
            mistakes.first += 1;
            mistakes.first_mistaken += u32::from(is_return);
        } else {
            mistakes.returns += 1;
            mistakes.returns_missed += u32::from(!is_return);
        }
        if refusals > 0 {
            let wait = timeout / 3;
            requests.push(Reverse((now + wait, timeout - wait, refusals - 1, false)));
        }
    }
    mistakes
}
