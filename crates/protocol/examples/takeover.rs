//! A lease changes hands, and the fence stops the former holder's order: `cargo run -p protocol
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
    println!("the first acts under {:?}", first.may_act(SECOND));

    // It is paused; the second sees the row unchanged for the whole duration and takes over.
    let kept = StoredRow { row, revision: 1 };
    for now in (1..=13).map(|seconds| SECOND * seconds) {
        match second.tick(now) {
            Some(Action::Read) => second.on(Event::Found(Some(kept)), now),
            Some(Action::Write { .. }) => second.on(Event::Written(2), now),
            None => {}
        }
    }
    let now = SECOND * 13;
    println!("at 13 s the second acts under {:?}", second.may_act(now));
    println!("by then the first acts under {:?}", first.may_act(now));

    // The agent has started anew; it reads the table before it lets an order pass.
    let mut fence = Fence::new();
    println!("before the table is read: {:?}", fence.admit(1));
    fence.learn(2);
    println!("order under 2: {:?}", fence.admit(2));
    println!("late order under 1: {:?}", fence.admit(1));
}
