//! Targets that are ejected while all others go.
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

/// Guards against a service that refuses everybody since its last target went while another one, which
/// lives, was ejected: no call is sent any more that would end the ejection.
#[test]
fn last_one_goes() {
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

/// Guards against calls that wait for ever for the one target which has their model, since it was
/// ejected and nothing is sent to the others meanwhile.
#[test]
fn quiet_service() {
    let mut pool = one_ejected();
    let over = EjectionPolicy::default().first;
    assert_eq!(pick(&mut pool, over / 2, &["other"]), None);
    assert_eq!(
        pick(&mut pool, over, &["other"]).as_deref(),
        Some("ejected")
    );
}
