//! A call that may not be repeated starts only after a grant, so that an entry that has given up can
//! truthfully report *not run*: `cargo run -p protocol --example grant`.

use protocol::{Call, Gate, call, gate};

fn main() {
    let mut call = Call::offer(false, 0);
    let mut gate = Gate::new(true);
    println!(
        "a slot is free:    agent {:?}",
        gate.on(gate::Event::SlotFree)
    );
    println!("grant requested:   entry {:?}", call.on(call::Event::Ask));
    println!("granted:           agent {:?}", gate.on(gate::Event::Grant));

    // The agent is suspended with the offer, and the entry gives up.
    let mut call = Call::offer(false, 0);
    let mut gate = Gate::new(true);
    println!(
        "given up:          entry {:?}",
        call.on(call::Event::GiveUp)
    );
    println!(
        "the agent resumes: agent {:?}",
        gate.on(gate::Event::SlotFree)
    );
    println!("late request:      entry {:?}", call.on(call::Event::Ask));
    println!("denied:            agent {:?}", gate.on(gate::Event::Deny));
    println!("final state:       {:?}", call.state());
}
