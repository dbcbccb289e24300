//! A call that may not be repeated starts only under a grant, so that an entry that has given up can
//! say *not run* in truth: `cargo run -p protocol --example permit`.

use protocol::{Call, Gate, call, gate};

fn main() {
    let mut call = Call::offer(false, 0);
    let mut gate = Gate::new(true);
    println!(
        "a slot is free:    agent {:?}",
        gate.on(gate::Event::SlotFree)
    );
    println!("the agent asks:    entry {:?}", call.on(call::Event::Ask));
    println!("granted:           agent {:?}", gate.on(gate::Event::Grant));

    // The agent was frozen with the offer; the entry has given up meanwhile.
    let mut call = Call::offer(false, 0);
    let mut gate = Gate::new(true);
    println!(
        "given up:          entry {:?}",
        call.on(call::Event::GiveUp)
    );
    println!(
        "the agent wakes:   agent {:?}",
        gate.on(gate::Event::SlotFree)
    );
    println!("it asks too late:  entry {:?}", call.on(call::Event::Ask));
    println!("denied:            agent {:?}", gate.on(gate::Event::Deny));
    println!("told to the caller: {:?}", call.state());
}
