//! Ejected targets while no other target is usable.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::retry::eject::EjectionPolicy;
use decide::route::{Call, Pool, RoundRobin, Router, Target};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Two targets, of which the first has been ejected.
fn one_ejected() -> Pool {
    let mut pool = Pool::new(EjectionPolicy::default());
    for id in ["ejected", "other"] {
        pool.insert(Target::new(id, "a", 4));
    }
    for _ in 0..EjectionPolicy::default().failures {
        pool.failed("ejected", Duration::ZERO);
    }
    assert!(pool.get("ejected").unwrap().ejected());
    pool
}

fn pick(pool: &mut Pool, now: Duration, tried: &[&str]) -> Option<String> {
    let tried: Vec<_> = tried.iter().map(|id| (*id).into()).collect();
    let call = Call {
        now,
        domain: "a",
        prefix: &[],
        tried: &tried,
        slack: Duration::from_secs(1),
    };
    pool.readmit(now);
    let picked = RoundRobin::default().pick(pool, &call, &mut SmallRng::seed_from_u64(1));
    picked.map(|id| id.to_string())
}

/// Guards against a service that refuses all calls after its last live target left while another
/// target, which works, was ejected: no call would be sent that ends the ejection.
#[test]
fn readmitted_without_other_targets() {
    let mut pool = one_ejected();
    pool.remove("other");
    assert_eq!(
        pick(&mut pool, Duration::ZERO, &[]).as_deref(),
        Some("ejected")
    );
    let mut pool = one_ejected();
    pool.leave("other");
    assert_eq!(
        pick(&mut pool, Duration::ZERO, &[]).as_deref(),
        Some("ejected")
    );
}

/// Guards against calls that wait forever for the only target with their model, which was ejected while
/// nothing is sent to the other targets.
#[test]
fn readmitted_without_traffic() {
    let mut pool = one_ejected();
    let expiry = EjectionPolicy::default().first;
    assert_eq!(pick(&mut pool, expiry / 2, &["other"]), None);
    assert_eq!(
        pick(&mut pool, expiry, &["other"]).as_deref(),
        Some("ejected")
    );
}
