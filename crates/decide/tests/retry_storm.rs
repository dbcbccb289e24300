//! Retries, hedges and ejection while many calls fail at once.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::retry::eject::EjectionPolicy;
use decide::retry::window::{RetryBound, RetryQuota};
use decide::retry::{Always, BudgetRatios, Budgeted, Failure, Retry};
use decide::route::{Pool, Target};
use std::time::Duration;

fn budgeted(attainment: f64) -> Budgeted {
    Budgeted::new(BudgetRatios::weighted(attainment))
}

/// Sends `calls` calls, one per millisecond, of which only every `success_interval`th attempt
/// succeeds, and returns the mean number of attempts per call.
fn amplification(mut retry: impl Retry, calls: u64, success_interval: u64) -> f64 {
    let mut attempts = 0_u64;
    for number in 0..calls {
        let now = Duration::from_millis(number);
        for attempt in 0.. {
            attempts += 1;
            if attempts % success_interval == 0 {
                retry.succeeded(now, Duration::from_millis(5));
                break;
            }
            if !retry.retry(now, Failure::Ran, attempt) {
                break;
            }
        }
    }
    attempts as f64 / calls as f64
}

/// A bad release makes nine of ten attempts fail. If each failure were retried, the runners would get
/// several times the load of the users, and the attempts that still succeed would fail as well.
#[test]
fn no_amplification() {
    let shipped = amplification(budgeted(0.5), 10_000, 10);
    let naive = amplification(Always, 10_000, 10);
    println!("attempts a call: {shipped:.3}, on every error {naive:.3}");
    assert!(shipped < 1.05);
    assert!(naive > 4.0);
}

/// A fifth of the runners crash at once, with all their calls in flight. Each of those calls must be
/// retried on another runner, although no recent success has added to the budget.
#[test]
fn crashed_runners_covered() {
    let mut retry = budgeted(0.5);
    let now = Duration::from_secs(1);
    let covered = (0..64)
        .filter(|_| retry.retry(now, Failure::Ran, 0))
        .count();
    assert_eq!(covered, 64);
}

/// An attempt that no runner started has cost only time, so it is retried even when the budget is
/// exhausted.
#[test]
fn unstarted_attempt_is_free() {
    let mut retry = budgeted(0.5);
    let now = Duration::ZERO;
    while retry.retry(now, Failure::Ran, 0) {}
    assert!(retry.retry(now, Failure::NotRun, 0));
}

/// Hedges duplicate work. A cost-weighted deployment sends fewer of them, and none exceeds its ratio,
/// even if all calls become slow at once.
#[test]
fn hedges_bounded() {
    let hedges = |attainment| {
        let mut retry = budgeted(attainment);
        let mut sent = 0;
        for number in 0..10_000 {
            let now = Duration::from_millis(number);
            retry.succeeded(now, Duration::from_millis(20));
            sent += u32::from(retry.hedge_after().is_some() && retry.hedge(now));
        }
        sent
    };
    assert_eq!(hedges(0.0), 0);
    assert!(hedges(0.2) < hedges(1.0));
    assert!(hedges(1.0) <= 500);
}

/// A fault that all runners share, such as a bad input from many users, makes each of them look like
/// an outlier. If all were ejected, no request would be served.
#[test]
fn at_most_half_ejected() {
    let mut pool = Pool::new(EjectionPolicy::default());
    for number in 0..10 {
        pool.insert(Target::new(format!("r{number}"), "a", 4));
    }
    for number in 0..10 {
        for _ in 0..9 {
            pool.failed(&format!("r{number}"), Duration::ZERO);
        }
    }
    assert_eq!(pool.live().len(), 5);
    pool.readmit(Duration::from_secs(1));
    assert_eq!(pool.live().len(), 10);
    pool.failed("r0", Duration::from_secs(1));
    assert!(pool.get("r0").unwrap().ejected());
    pool.readmit(Duration::from_secs(2));
    assert!(pool.get("r0").unwrap().ejected());
}

/// The operator lowers the bound during a retry storm. Retries that were just sent must still count:
/// with an empty window, each change of the settings would grant the full bound once more.
#[test]
fn bound_change_keeps_count() {
    let bound = |slack| RetryBound {
        ratio: 0.0,
        slack,
        window: Duration::from_secs(10),
    };
    let mut quota = RetryQuota::new(bound(8.0));
    let granted = |quota: &mut RetryQuota, at| {
        let now = Duration::from_secs(at);
        (0..20).filter(|_| quota.try_retry(now, 1)).count()
    };
    assert_eq!(granted(&mut quota, 1), 8);
    quota.set_bound(Duration::from_secs(2), bound(10.0));
    assert_eq!(granted(&mut quota, 2), 2);
    quota.set_bound(Duration::from_secs(3), bound(4.0));
    assert_eq!(granted(&mut quota, 3), 0);
    assert_eq!(granted(&mut quota, 30), 4, "the window is over");
}
