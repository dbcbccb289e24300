//! A lease is taken over, and the fence rejects the former holder's order: `cargo run -p protocol
//! --example takeover`.

use protocol::Lease;
use protocol::fence::Fence;
use protocol::lease::{Action, Event, StoredRow, Timing};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn main() {
    let timing = Timing {
        duration: SECOND * 10,
        margin: SECOND * 3,
        period: SECOND * 2,
    };
    let (mut first, mut second) = (Lease::new(1, timing), Lease::new(2, timing));

    first.tick(SECOND);
    first.on(Event::Found(None), SECOND);
    let Some(Action::Write { row, .. }) = first.tick(SECOND) else {
        return;
    };
    first.on(Event::Written(1), SECOND);
    println!("the first acts under token {:?}", first.may_act(SECOND));

    // The first process is paused; the second one sees the row unchanged for the whole duration and
    // takes over.
    let stored = StoredRow { row, revision: 1 };
    for now in (1..=13).map(|seconds| SECOND * seconds) {
        match second.tick(now) {
            Some(Action::Read) => second.on(Event::Found(Some(stored)), now),
            Some(Action::Write { .. }) => second.on(Event::Written(2), now),
            None => {}
        }
    }
    let now = SECOND * 13;
    println!(
        "at 13 s the second acts under token {:?}",
        second.may_act(now)
    );
    println!(
        "at 13 s the first acts under token {:?}",
        first.may_act(now)
    );

    // The agent has restarted, and reads the table before it lets an order pass.
    let mut fence = Fence::new();
    println!("before the table is read: {:?}", fence.admit(1));
    fence.learn(2);
    println!("order with token 2: {:?}", fence.admit(2));
    println!("late order with token 1: {:?}", fence.admit(1));
}
