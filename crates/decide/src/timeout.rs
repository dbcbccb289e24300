//! The usual timeout of the requests of a route.

use std::collections::BTreeMap;
use std::time::Duration;

/// One `SHARE_DIVISOR`th of the recent requests must state the usual timeout or a longer one. A caller that
/// is refused waits for a third of its time; after six refusals it has less than a tenth left. So at least
/// a seventh of all requests are first attempts, even if all are refused.
const SHARE_DIVISOR: u64 = 10;
/// Time for which requests are counted together. The last two periods count, and with them the first attempts
/// of nearly all callers that come back.
const PERIOD: Duration = Duration::from_secs(60);
/// Ranges of timeouts for each doubling. Timeouts in one range differ by 4%, much less than a refusal takes.
const RANGES_PER_DOUBLING: f64 = 16.0;

/// Learns the usual timeout of the requests of a route: the longest that at least a tenth of those of the last
/// one or two minutes state, or a longer one.
///
/// # Examples
///
/// ```
/// use decide::timeout::UsualTimeout;
/// use std::time::Duration;
///
/// let mut usual = UsualTimeout::default();
/// let (now, common) = (Duration::ZERO, Duration::from_secs(6));
/// for _ in 0..20 {
///     assert_eq!(usual.record(now, common), common);
/// }
/// assert_eq!(usual.record(now, Duration::from_secs(600)), common);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsualTimeout {
    /// Requests by range of their timeouts.
    ranges: BTreeMap<u32, Range>,
    /// Number of the current period.
    period: u64,
}

/// Requests whose timeouts are in one range, by period.
#[derive(Clone, Copy, Debug, Default)]
struct Range {
    current: Tally,
    last: Tally,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u64,
    longest: Duration,
}

impl UsualTimeout {
    /// Adds a request, and returns the usual timeout.
    pub fn record(&mut self, now: Duration, timeout: Duration) -> Duration {
        self.forget(now);
        let tally = &mut self.ranges.entry(range(timeout)).or_default().current;
        tally.requests += 1;
        tally.longest = tally.longest.max(timeout);
        self.usual()
    }

    /// Drops the requests of earlier periods than the last one.
    fn forget(&mut self, now: Duration) {
        let period = now.as_secs() / PERIOD.as_secs();
        let ended = period.saturating_sub(self.period);
        self.period = self.period.max(period);
        for _ in 0..ended.min(2) {
            self.ranges.retain(|_, range| {
                range.last = std::mem::take(&mut range.current);
                range.last.requests > 0
            });
        }
    }

    fn usual(&self) -> Duration {
        let requests: u64 = self.ranges.values().map(Range::requests).sum();
        let needed = requests.div_ceil(SHARE_DIVISOR);
        let mut counted = 0;
        let mut longest_first = self.ranges.values().rev();
        let usual = longest_first.find(|range| {
            counted += range.requests();
            counted >= needed
        });
        usual.map_or(Duration::ZERO, Range::longest)
    }
}

impl Range {
    fn requests(&self) -> u64 {
        self.current.requests + self.last.requests
    }

    fn longest(&self) -> Duration {
        self.current.longest.max(self.last.longest)
    }
}

/// The range of a timeout, on a logarithmic scale.
fn range(timeout: Duration) -> u32 {
    let micros = timeout.as_micros().max(1) as f64;
    (micros.log2() * RANGES_PER_DOUBLING) as u32
}
