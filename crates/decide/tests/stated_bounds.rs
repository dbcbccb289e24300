//! Decisions on times, sizes and counts of any magnitude.
//!
//! `LINNETDRIFT_DECODE_CASES` sets the number of cases of each test, and `LINNETDRIFT_DECODE_SEED` their seed.

use decide::batch::{BatchQueue, FreeRunner, Group, RequiredGroup, Shape, SlackQueue};
use decide::bound;
use decide::retry::window::{RetryBound, RetryQuota};
use decide::warmup::{RateLimit, RateShare};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

/// Cases of each test unless the environment says otherwise.
const CASES: u32 = 256;
const SEED: u64 = 20_261_204;
/// Largest peak memory of the test process, in megabytes.
const MAX_PEAK_MB: u64 = 500;

/// Peak memory of the process.
fn peak_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}

fn environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn config() -> ProptestConfig {
    let cases = environment("LINNETDRIFT_DECODE_CASES").and_then(|cases| cases.try_into().ok());
    let seed = environment("LINNETDRIFT_DECODE_SEED").unwrap_or(SEED);
    ProptestConfig {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Times from none to the longest that there is.
fn time() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        Just(Duration::MAX),
        any::<u64>().prop_map(Duration::from_nanos),
        any::<u64>().prop_map(Duration::from_secs),
        (0..64_u32).prop_map(|bit| Duration::from_nanos(1 << bit)),
    ]
}

fn group(group_id: u64) -> impl Strategy<Value = Group> {
    let sizes = (any::<u32>(), any::<u64>(), any::<u8>());
    (sizes, [time(), time(), time(), time()]).prop_map(move |(sizes, times)| Group {
        group_id,
        pieces: sizes.0,
        result_bytes: sizes.1,
        due: times[0],
        expires_at: times[1],
        rank: sizes.2,
        domain: (sizes.0 % 2 == 0).then(|| "a".into()),
        arrived_at: times[2],
        max_domain_wait: times[3],
    })
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic, or a bucket for each nanosecond, with a window of retries that is very short or
    /// very long. Each request of the service would end with it.
    #[test]
    fn retry_windows(window in time(), now in time(), slack in 0.0..1e300_f64, count in any::<u32>()) {
        let bound = RetryBound { ratio: 0.2, slack, window };
        let mut quota = RetryQuota::new(bound);
        quota.record_first_attempts(now, count);
        quota.record_first_attempts(now, count);
        quota.try_retry(now, 3);
        quota.set_bound(now, RetryBound { ratio: 0.1, slack: slack / 2.0 + 1.0, window });
        quota.set_bound(now, RetryBound { ratio: 0.3, slack: slack / 3.0, window });
        let usage = quota.usage(now, 3);
        prop_assert!(usage.retries <= usage.first_attempts || slack > 0.0);
        prop_assert!(peak_mb() < MAX_PEAK_MB, "{} MB", peak_mb());
    }

    /// Guards against a panic of every request to a service whose runners are cold.
    #[test]
    fn cold_rates(exponent in -320..300_i32, max_per_second in any::<u32>(), processes in any::<usize>()) {
        let rate = 10_f64.powi(exponent);
        if let Some(share) = RateShare::new(&RateLimit { rate, max_per_second }, processes) {
            prop_assert!(!share.interval.is_zero());
        }
    }

    /// Guards against a panic of the task that forms the calls of a cell.
    #[test]
    fn batch_shapes(
        shape in (any::<u32>(), time(), time()),
        groups in (group(0), group(1), group(2)),
        now in time(),
        piece in time(),
        room in any::<u64>(),
    ) {
        let shape = Shape { size: shape.0, call: shape.1, piece: shape.2 };
        let mut queue = SlackQueue::new(shape);
        for group in [groups.0, groups.1, groups.2] {
            queue.push(group);
        }
        queue.pieces_ahead(now, 5);
        queue.next_wakeup(now);
        queue.waiting_pieces();
        let runner = FreeRunner { domain: "a", room, free_times: &[], required: RequiredGroup::Any };
        queue.take(now, &runner);
        queue.expire(now, piece);
    }

    /// Guards against a time or a size out of bounds that counts as a sensible one.
    #[test]
    fn numbers_bounded(number in prop_oneof![any::<f64>(), -1e20..1e20_f64]) {
        if let Some(time) = bound::seconds(number) {
            prop_assert!(time <= bound::MAX_TIME && number >= 0.0);
        }
        if let Some(bytes) = bound::bytes(number) {
            prop_assert!(bytes <= bound::MAX_BYTES && number >= 0.0);
        }
    }
}
