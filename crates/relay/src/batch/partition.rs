//! Partition of the runners of a service into cells.

use super::MAX_CELL_RUNNERS;
use crate::runner::Runner;
use decide::subset::RendezvousKey;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::sync::Arc;

/// Number of runners by which the largest cell may exceed the mean. With none, a runner that joins or
/// leaves displaces more of the others where cells are few: of 10 runners, 1.01 instead of 0.82 then changed
/// their cell on average.
const SIZE_TOLERANCE: usize = 1;

/// The cells, each with its runners, sorted by failure domain and name.
///
/// The failure domains get equal sections of a line of cells. Sections in proportion to the numbers of
/// runners would change with each of them: of 15 runners in three domains, 0.56 instead of 0.05 then
/// changed their cell on average when another one joined or left.
///
/// Each runner ranks the cells of its section by rendezvous hashing, weighted by their overlap with it,
/// then the cells beside the section by distance. Full cells keep the runners that rank highest for them
/// (deferred acceptance). The result depends only on the set of runners, and a runner that joins or
/// leaves displaces few others.
pub(super) fn partition(runners: &[Arc<Runner>]) -> Vec<Vec<Arc<Runner>>> {
    let mut sorted = runners.to_vec();
    sorted.sort_by(|one, other| (&one.domain, &one.id).cmp(&(&other.domain, &other.id)));
    let cells = sorted.len().div_ceil(MAX_CELL_RUNNERS).max(1);
    let max_size = (sorted.len().div_ceil(cells) + SIZE_TOLERANCE).min(MAX_CELL_RUNNERS);
    let mut accepted: Vec<BinaryHeap<(Rank, usize)>> = vec![BinaryHeap::new(); cells];
    let sections = sections(&sorted, cells);
    let domains = sorted.chunk_by(|one, other| one.domain == other.domain);
    let line = Line::new(cells, domains.count().max(1));
    let choice = |key: RendezvousKey, section: &Range<usize>, position: usize| {
        Reverse((line.rank(key, section, position), position))
    };
    let mut choices: Vec<BinaryHeap<Reverse<(Rank, usize)>>> = (0..sorted.len())
        .map(|runner| {
            // A runner rarely gets none of these; then all others are added.
            let (key, section) = (RendezvousKey::new(&sorted[runner].id), &sections[runner]);
            let near = line.near(section);
            near.map(|position| choice(key, section, position))
                .collect()
        })
        .collect();
    let mut is_complete = vec![false; sorted.len()];
    let mut unplaced: Vec<usize> = (0..sorted.len()).rev().collect();
    while let Some(runner) = unplaced.pop() {
        if choices[runner].is_empty() {
            if std::mem::replace(&mut is_complete[runner], true) {
                continue;
            }
            let (key, section) = (RendezvousKey::new(&sorted[runner].id), &sections[runner]);
            let near = line.near(section);
            let others = (0..cells).filter(|position| !near.contains(position));
            choices[runner] = others
                .map(|position| choice(key, section, position))
                .collect();
        }
        let Some(Reverse((rank, position))) = choices[runner].pop() else {
            continue;
        };
        accepted[position].push((rank, runner));
        if accepted[position].len() > max_size {
            unplaced.extend(accepted[position].pop().map(|(_, rejected)| rejected));
        }
    }
    let mut partition = vec![Vec::new(); cells];
    for (position, accepted) in accepted.into_iter().enumerate() {
        let mut members: Vec<usize> = accepted.into_iter().map(|(_, runner)| runner).collect();
        members.sort_unstable();
        let members = members.into_iter().map(|runner| sorted[runner].clone());
        partition[line.index(position)] = members.collect();
    }
    partition
}

/// Cells side by side. A cell is as long as there are failure domains, which makes all sections whole
/// numbers.
struct Line {
    cells: usize,
    cell_length: usize,
    /// Names of the cells by position, which are hashed.
    names: Vec<String>,
}

/// The section of the line that belongs to the failure domain of each runner.
fn sections(sorted: &[Arc<Runner>], cells: usize) -> Vec<Range<usize>> {
    let mut sections = Vec::with_capacity(sorted.len());
    let domains = sorted.chunk_by(|one, other| one.domain == other.domain);
    for (position, domain) in domains.enumerate() {
        let section = position * cells..(position + 1) * cells;
        sections.extend(std::iter::repeat_n(section, domain.len()));
    }
    sections
}

/// How a runner and a cell rank each other; less is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Number of cells between the section of the runner's domain and the cell.
    distance: usize,
    /// Bits of a positive number, which order as the number does.
    cost: u64,
}

impl Line {
    fn new(cells: usize, cell_length: usize) -> Self {
        let mut line = Self {
            cells,
            cell_length,
            names: Vec::new(),
        };
        line.names = (0..cells)
            .map(|position| line.index(position).to_string())
            .collect();
        line
    }

    /// Cells that overlap a section.
    fn near(&self, section: &Range<usize>) -> Range<usize> {
        section.start / self.cell_length..section.end.div_ceil(self.cell_length)
    }

    fn rank(&self, key: RendezvousKey, section: &Range<usize>, position: usize) -> Rank {
        let near = self.near(section);
        let before = (position + 1).saturating_sub(near.end);
        let distance = near.start.saturating_sub(position).max(before);
        let start = section.start.max(position * self.cell_length);
        let end = section.end.min((position + 1) * self.cell_length);
        let weight = end.saturating_sub(start).max(1) as f64;
        let hash = key.hash(&self.names[position]);
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let cost = (-uniform.ln() / weight).to_bits();
        Rank { distance, cost }
    }

    /// Index of the cell at a position. Where the number of cells changes, one is added or removed in the
    /// middle, so that those near both ends keep their runners.
    fn index(&self, position: usize) -> usize {
        match position < self.cells.div_ceil(2) {
            true => position * 2,
            false => (self.cells - 1 - position) * 2 + 1,
        }
    }
}
