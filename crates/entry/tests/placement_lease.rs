//! The placement lease between entries that share a table service.
#![allow(clippy::unwrap_used, missing_docs)]

use entry::placement::lease::Lease;
use std::time::Duration;
use store::Memory;
use tokio::time::{Instant, sleep};

const DURATION: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(50);

/// Steps the `living` leases until a condition holds, and checks that no two may act at once.
async fn step_until(memory: &Memory, living: &[&Lease], all: &[&Lease], holds: impl Fn() -> bool) {
    while !holds() {
        for lease in living {
            lease.step(memory).await;
        }
        let acting = all.iter().filter(|lease| lease.may_act().is_some());
        assert!(acting.count() < 2, "two holders at once");
        sleep(STEP).await;
    }
}

/// The holder is suspended and does not renew the lease. Another entry must win it, or no engine
/// would receive orders. The new holder must get a higher fencing token, and the old one must find
/// by its own clock that its lease has ended before the new one starts to act.
#[tokio::test(start_paused = true)]
async fn frozen_holder() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    step_until(&memory, &[&first], &all, || first.may_act() == Some(1)).await;
    step_until(&memory, &[&second], &all, || second.may_act() == Some(2)).await;
    step_until(&memory, &all, &all, || first.may_act().is_none()).await;
    first.step(&memory).await;
    assert_eq!((first.may_act(), second.may_act()), (None, Some(2)));
}

/// The table service becomes unavailable to a holder. The holder cannot renew the lease, so it must
/// stop acting well before another entry could take over; once the service is back, one of the two
/// must hold the lease.
#[tokio::test(start_paused = true)]
async fn store_down() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    step_until(&memory, &[&first], &all, || first.may_act().is_some()).await;
    second.step(&memory).await;
    memory.set_outage(true);
    let down = Instant::now();
    step_until(&memory, &all, &all, || first.may_act().is_none()).await;
    assert!(down.elapsed() < DURATION);
    memory.set_outage(false);
    let held = || all.iter().any(|lease| lease.may_act().is_some());
    step_until(&memory, &all, &all, held).await;
}

/// A new holder's write takes effect but its answer is lost. The holder must read the row back and
/// recognize itself; otherwise all entries would wait for a holder that does not know that it holds
/// the lease.
#[tokio::test(start_paused = true)]
async fn answer_lost() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    step_until(&memory, &[&first], &all, || first.may_act().is_some()).await;
    memory.lose_answers(1);
    step_until(&memory, &[&second], &all, || second.may_act() == Some(2)).await;
}

/// The answer to a takeover is lost, and the write arrives only after another entry has won the
/// lease. It must have no effect, since the row has changed.
#[tokio::test(start_paused = true)]
async fn write_late() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    memory.delay_writes(1);
    step_until(&memory, &[&first, &second], &all, || {
        second.may_act() == Some(1)
    })
    .await;
    assert_eq!(memory.release_writes(), 0);
    step_until(&memory, &[&second], &all, || second.may_act() == Some(1)).await;
    first.step(&memory).await;
    assert_eq!(first.may_act(), None);
}

/// The holder is stopped as planned. The next entry must not have to wait until the lease expires.
#[tokio::test(start_paused = true)]
async fn resigned_holder() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    step_until(&memory, &[&first], &all, || first.may_act().is_some()).await;
    first.resign();
    assert_eq!(first.may_act(), None);
    let stopped = Instant::now();
    step_until(&memory, &all, &all, || second.may_act() == Some(2)).await;
    assert!(stopped.elapsed() < DURATION / 2);
}
