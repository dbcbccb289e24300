//! The lease on the right to give orders, between entries that share a table service.
#![allow(clippy::unwrap_used, missing_docs)]

use entry::placement::lease::Lease;
use std::time::Duration;
use store::Memory;
use tokio::time::{Instant, sleep};

const DURATION: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(50);

/// Lets entries live on until a condition holds, and checks that no two may act at once.
async fn until(memory: &Memory, living: &[&Lease], all: &[&Lease], holds: impl Fn() -> bool) {
    while !holds() {
        for lease in living {
            lease.step(memory).await;
        }
        let acting = all.iter().filter(|lease| lease.may_act().is_some());
        assert!(acting.count() < 2, "two holders at once");
        sleep(STEP).await;
    }
}

/// The holder is frozen and renews no more. Without another holder no engine would get orders; the
/// next one must have a higher number, and the first must see by its clock that its time is over
/// before the other begins.
#[tokio::test(start_paused = true)]
async fn frozen_holder() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    until(&memory, &[&first], &all, || first.may_act() == Some(1)).await;
    until(&memory, &[&second], &all, || second.may_act() == Some(2)).await;
    until(&memory, &all, &all, || first.may_act().is_none()).await;
    first.step(&memory).await;
    assert_eq!((first.may_act(), second.may_act()), (None, Some(2)));
}

/// The table service goes away under a holder. It cannot renew, so it must stop well before anyone
/// could take the lease over; afterwards one of the two has it again.
#[tokio::test(start_paused = true)]
async fn store_down() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    until(&memory, &[&first], &all, || first.may_act().is_some()).await;
    second.step(&memory).await;
    memory.set_outage(true);
    let down = Instant::now();
    until(&memory, &all, &all, || first.may_act().is_none()).await;
    assert!(down.elapsed() < DURATION);
    memory.set_outage(false);
    let held = || all.iter().any(|lease| lease.may_act().is_some());
    until(&memory, &all, &all, held).await;
}

/// A new holder's write takes effect and its answer is lost. It must read the row back and find
/// itself there; otherwise everybody would wait for a holder that does not know that it is one.
#[tokio::test(start_paused = true)]
async fn answer_lost() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    until(&memory, &[&first], &all, || first.may_act().is_some()).await;
    memory.lose_answers(1);
    until(&memory, &[&second], &all, || second.may_act() == Some(2)).await;
}

/// The answer to a takeover is lost and the write takes effect only after another entry has the
/// lease. It must do nothing then, since the row has changed.
#[tokio::test(start_paused = true)]
async fn write_late() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    memory.delay_writes(1);
    until(&memory, &[&first, &second], &all, || {
        second.may_act() == Some(1)
    })
    .await;
    assert_eq!(memory.release_writes(), 0);
    until(&memory, &[&second], &all, || second.may_act() == Some(1)).await;
    first.step(&memory).await;
    assert_eq!(first.may_act(), None);
}

/// An entry is stopped as planned while it has the lease. The next one need not wait until it
/// lapses.
#[tokio::test(start_paused = true)]
async fn resigned_holder() {
    let (memory, first, second) = (
        Memory::default(),
        Lease::new(DURATION),
        Lease::new(DURATION),
    );
    let all = [&first, &second];
    until(&memory, &[&first], &all, || first.may_act().is_some()).await;
    first.resign();
    assert_eq!(first.may_act(), None);
    let stopped = Instant::now();
    until(&memory, &all, &all, || second.may_act() == Some(2)).await;
    assert!(stopped.elapsed() < DURATION / 2);
}
