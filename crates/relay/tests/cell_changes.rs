//! How many runners change their cell when one runner joins or leaves.
//!
//! A runner that changes its cell also changes its owner, which knows nothing of its calls and results.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use relay::Runner;
use relay::batch::{Cell, CellRunners};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const MAX_CELL_RUNNERS: usize = 8;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const EVENTS: usize = 400;

/// The runners of each cell.
type Partition = Vec<Vec<Arc<Runner>>>;

fn runner(number: usize) -> Arc<Runner> {
    Arc::new(Runner {
        id: format!("stage-{number}").into(),
        started: None,
        service: "stage".into(),
        address: std::net::SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 80)),
        domain: DOMAINS[number % DOMAINS.len()].into(),
        slots: 1,
        leaving: false,
        cold: Duration::ZERO,
    })
}

fn shipped(runners: &[Arc<Runner>]) -> Partition {
    let cells = Cell::all(&"stage".into(), runners).into_iter();
    cells.map(|CellRunners { runners, .. }| runners).collect()
}

/// Equal parts of the sorted list, for comparison.
fn contiguous(runners: &[Arc<Runner>]) -> Partition {
    let mut sorted = runners.to_vec();
    sorted.sort_by(|one, other| (&one.domain, &one.id).cmp(&(&other.domain, &other.id)));
    let cells = sorted.len().div_ceil(MAX_CELL_RUNNERS).max(1);
    let start = |index: usize| sorted.len() * index / cells;
    (0..cells)
        .map(|index| sorted[start(index)..start(index + 1)].to_vec())
        .collect()
}

fn cell_of(cells: &[Vec<Arc<Runner>>]) -> BTreeMap<String, usize> {
    let indexed = cells.iter().enumerate();
    indexed
        .flat_map(|(index, cell)| cell.iter().map(move |one| (one.id.to_string(), index)))
        .collect()
}

/// Number of failure domains of all cells together.
fn domains(cells: &[Vec<Arc<Runner>>]) -> usize {
    let domains = cells.iter().map(|cell| {
        let domains: BTreeSet<_> = cell.iter().map(|one| one.domain.clone()).collect();
        domains.len()
    });
    domains.sum()
}

/// Mean number of runners that change their cell when another joins or leaves, of a service whose
/// runners mostly number between two thirds of `all` and `all`; and the mean number of failure domains of all
/// cells together.
fn play(all: usize, form: fn(&[Arc<Runner>]) -> Partition) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let runners: Vec<_> = (0..all).map(runner).collect();
    let mut listed = vec![true; all];
    let mut before = form(&runners);
    let (mut moved, mut split) = (0, 0);
    for _ in 0..EVENTS {
        let count = listed.iter().filter(|listed| **listed).count();
        let joins = count * 3 <= all * 2 || count < all && rng.random_bool(0.5);
        let candidates: Vec<usize> = (0..all).filter(|&one| listed[one] != joins).collect();
        listed[candidates[rng.random_range(0..candidates.len())]] = joins;
        let now: Vec<_> = (0..all)
            .filter(|&one| listed[one])
            .map(|one| runners[one].clone())
            .collect();
        let after = form(&now);
        let old = cell_of(&before);
        let new = cell_of(&after);
        moved += new
            .iter()
            .filter(|(id, cell)| old.get(*id).is_some_and(|old| old != *cell))
            .count();
        split += domains(&after);
        before = after;
    }
    (moved as f64 / EVENTS as f64, split as f64 / EVENTS as f64)
}

/// Fewer runners change their cell than if cells were equal parts of the sorted list, and failure
/// domains are hardly divided more.
#[test]
fn few_move() {
    for all in [10, 15, 18, 19, 48, 200] {
        let (moved, split) = play(all, shipped);
        let (moved_contiguous, split_contiguous) = play(all, contiguous);
        println!(
            "{all} runners: moved {moved:.2}, contiguous {moved_contiguous:.2}; domains {split:.2}, contiguous {split_contiguous:.2}"
        );
        assert!(
            moved <= moved_contiguous * 0.75,
            "{all} runners: {moved} moved, contiguous {moved_contiguous}"
        );
        assert!(
            split <= split_contiguous * 1.2,
            "{all} runners: {split} domains, contiguous {split_contiguous}"
        );
    }
}

/// Small cells batch badly, so there are as few as possible, of about the same size.
#[test]
fn few_cells() {
    for all in 0..300 {
        let runners: Vec<_> = (0..all).map(runner).collect();
        let cells = shipped(&runners);
        assert_eq!(cells.len(), contiguous(&runners).len(), "{all} runners");
        assert_eq!(cells.iter().map(Vec::len).sum::<usize>(), all);
        let sizes: Vec<usize> = cells.iter().map(Vec::len).collect();
        assert!(
            sizes.iter().all(|size| *size <= MAX_CELL_RUNNERS),
            "{sizes:?}"
        );
        let mean = all / cells.len();
        assert!(
            sizes.iter().all(|size| *size >= mean / 2),
            "{all}: {sizes:?}"
        );
    }
}

/// All processes form the same cells, whatever the order in which they learn of the runners.
#[test]
fn order_ignored() {
    let mut runners: Vec<_> = (0..50).map(runner).collect();
    let cells = cell_of(&shipped(&runners));
    runners.reverse();
    runners.rotate_left(17);
    assert_eq!(cell_of(&shipped(&runners)), cells);
}
