//! Which targets are believed to have which prompt prefixes in cache.
//!
//! Cache events come late and with gaps, so that none of this is knowledge: a belief ends with
//! its time, and each answer's own hit count corrects it.

use super::{Block, TargetId};
use crate::Map;
use std::time::Duration;

/// Targets remembered for one block; more would only spread copies of the same prefix.
const HOLDERS: usize = 4;
/// Blocks remembered before the older half is forgotten.
const BLOCKS: usize = 1 << 16;
/// Age at which a belief is given up.
const LIFE: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct Holder {
    target: TargetId,
    seen: Duration,
}

type Holders = Vec<Holder>;

/// Beliefs about all targets of a pool.
///
/// # Examples
///
/// ```
/// use decide::route::prefix::CacheIndex;
/// use std::time::Duration;
///
/// let mut cache_index = CacheIndex::default();
/// cache_index.stored(&"gen-1".into(), &[11, 12], Duration::ZERO);
/// assert_eq!(cache_index.overlap("gen-1", &[11, 12, 13], Duration::ZERO), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    young: Map<Block, Holders>,
    old: Map<Block, Holders>,
}

impl CacheIndex {
    /// The target has just been seen to hold these blocks.
    pub fn stored(&mut self, target: &TargetId, blocks: &[Block], now: Duration) {
        for &block in blocks {
            self.store(target, block, now);
        }
    }

    /// The target no longer holds the block.
    pub fn evicted(&mut self, target: &str, block: Block) {
        for half in [&mut self.young, &mut self.old] {
            if let Some(holders) = half.get_mut(&block) {
                holders.retain(|holder| &*holder.target != target);
            }
        }
    }

    /// How many leading blocks of the prefix the target is believed to hold.
    #[must_use]
    pub fn overlap(&self, target: &str, prefix: &[Block], now: Duration) -> usize {
        let held = |block: &Block| {
            self.holders(*block)
                .any(|holder| &*holder.target == target && believed(holder, now))
        };
        prefix.partition_point(held)
    }

    /// Targets believed to hold the longest known part of the prefix.
    pub fn holding<'a>(
        &'a self,
        prefix: &[Block],
        now: Duration,
    ) -> impl Iterator<Item = &'a TargetId> {
        let known = |block: &Block| self.holders(*block).any(|holder| believed(holder, now));
        let length = prefix.partition_point(known);
        let longest = length.checked_sub(1).map(|last| prefix[last]);
        longest
            .into_iter()
            .flat_map(move |block| self.holders(block))
            .filter(move |holder| believed(holder, now))
            .map(|holder| &holder.target)
    }

    fn holders(&self, block: Block) -> impl Iterator<Item = &Holder> {
        let find = |half: &'_ Map<Block, Holders>| half.contains_key(&block);
        let half = if find(&self.young) {
            &self.young
        } else {
            &self.old
        };
        half.get(&block).into_iter().flatten()
    }

    fn store(&mut self, target: &TargetId, block: Block, now: Duration) {
        self.make_room();
        let old = self.old.remove(&block);
        let holders = self
            .young
            .entry(block)
            .or_insert_with(|| old.unwrap_or_default());
        if let Some(holder) = holders.iter_mut().find(|holder| holder.target == *target) {
            holder.seen = now;
            return;
        }
        if holders.len() == HOLDERS {
            let oldest = (0..HOLDERS).min_by_key(|&index| holders[index].seen);
            holders.swap_remove(oldest.unwrap_or(0));
        }
        holders.push(Holder {
            target: target.clone(),
            seen: now,
        });
    }

    /// Forgets the blocks not seen since the last half filled up; memory would grow with every
    /// prompt ever seen otherwise.
    fn make_room(&mut self) {
        if self.young.len() >= BLOCKS / 2 {
            self.old = std::mem::take(&mut self.young);
        }
    }
}

fn believed(holder: &Holder, now: Duration) -> bool {
    now.saturating_sub(holder.seen) < LIFE
}
