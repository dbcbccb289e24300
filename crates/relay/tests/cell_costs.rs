//! Processor time of the cells of a large service. These tests measure and are not run by default:
//! `cargo test --release -p relay --test cell_costs -- --ignored --nocapture`.

mod common;

use common::{Fake, ready};
use relay::Runner;
use relay::batch::{Cell, ReleaseKind};
use relay::downstream::Handle;
use relay::runner::Change;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RUNNERS: usize = 1_000;
const ROUNDS: u32 = 50;
/// Longest time that a change of the list of runners may take. A small VM has a tenth of a core, so that
/// all its requests wait for ten times as long.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(2);
/// Longest time of a release: at 2,000 per second, 1% of a core.
const MAX_RELEASE_TIME: Duration = Duration::from_micros(5);

fn stage_runner(number: usize) -> Runner {
    Runner {
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 80)),
        domain: ["a", "b", "c"][number % 3].into(),
        ..common::runner(&format!("stage-{number}"), "stage")
    }
}

/// Guards against changes of the list that block a process with little processor time.
#[test]
#[ignore = "measures time"]
fn change_cost() {
    let runners: Vec<Arc<Runner>> = (0..RUNNERS).map(stage_runner).map(Arc::new).collect();
    let started = Instant::now();
    for _ in 0..ROUNDS {
        assert_eq!(Cell::all(&"stage".into(), &runners).len(), RUNNERS / 8);
    }
    let elapsed = started.elapsed() / ROUNDS;
    println!("{elapsed:?} per change");
    assert!(elapsed < MAX_CHANGE_TIME, "{elapsed:?}");
}

/// Guards against releases whose cost grows with the number of runners or of stored results.
#[tokio::test]
#[ignore = "measures time"]
async fn release_cost() {
    let relay = ready(Fake::default());
    relay.update((0..RUNNERS).map(stage_runner).map(Change::Listed).collect());
    let addresses: Vec<SocketAddr> = (0..RUNNERS).map(|one| stage_runner(one).address).collect();
    let cell = Cell::first(&"stage".into());
    let handle = |number: usize| -> Handle {
        format!("{}/result-{number}", addresses[number % RUNNERS]).into()
    };
    let handles: Vec<Handle> = (0..RUNNERS * 40).map(handle).collect();
    relay.peers.record_results(&relay, &cell, &handles, 100);
    let started = Instant::now();
    for handle in &handles {
        let one = std::slice::from_ref(handle);
        relay.peers.release(&relay, one, ReleaseKind::Over);
    }
    let elapsed = started.elapsed() / u32::try_from(handles.len()).expect("few");
    println!("{elapsed:?} per release");
    assert!(elapsed < MAX_RELEASE_TIME, "{elapsed:?}");
}
