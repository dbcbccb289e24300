//! Approximate index of the prompt prefixes in the targets' caches.
//!
//! Cache events arrive late and with gaps, so the index may be wrong: entries expire, and the hit
//! count of each response corrects the estimates.

use super::{Block, TargetId};
use crate::Map;
use std::time::Duration;

/// Maximum number of targets per block; more would only spread copies of the same prefix.
const MAX_HOLDERS: usize = 4;
/// Maximum number of blocks; the older half is dropped when it is reached.
const MAX_BLOCKS: usize = 1 << 16;
/// Age at which an entry expires.
const ENTRY_TTL: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
struct Holder {
    target: TargetId,
    seen: Duration,
}

type Holders = Vec<Holder>;

/// Index of the prefix blocks that the targets of a pool probably have cached.
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
    recent: Map<Block, Holders>,
    old: Map<Block, Holders>,
}

impl CacheIndex {
    /// Records that the target has these blocks cached.
    pub fn stored(&mut self, target: &TargetId, blocks: &[Block], now: Duration) {
        for &block in blocks {
            self.insert(target, block, now);
        }
    }

    /// Records that the target no longer has the block cached.
    pub fn evicted(&mut self, target: &str, block: Block) {
        for generation in [&mut self.recent, &mut self.old] {
            if let Some(holders) = generation.get_mut(&block) {
                holders.retain(|holder| &*holder.target != target);
            }
        }
    }

    /// Number of leading blocks of the prefix that the target probably has cached.
    #[must_use]
    pub fn overlap(&self, target: &str, prefix: &[Block], now: Duration) -> usize {
        let held = |block: &Block| {
            self.holders(*block)
                .any(|holder| &*holder.target == target && is_fresh(holder, now))
        };
        prefix.partition_point(held)
    }

    /// Targets that probably have the longest known part of the prefix cached.
    pub fn holding<'a>(
        &'a self,
        prefix: &[Block],
        now: Duration,
    ) -> impl Iterator<Item = &'a TargetId> {
        let known = |block: &Block| self.holders(*block).any(|holder| is_fresh(holder, now));
        let length = prefix.partition_point(known);
        let longest = length.checked_sub(1).map(|last| prefix[last]);
        longest
            .into_iter()
            .flat_map(move |block| self.holders(block))
            .filter(move |holder| is_fresh(holder, now))
            .map(|holder| &holder.target)
    }

    fn holders(&self, block: Block) -> impl Iterator<Item = &Holder> {
        let find = |generation: &'_ Map<Block, Holders>| generation.contains_key(&block);
        let generation = if find(&self.recent) {
            &self.recent
        } else {
            &self.old
        };
        generation.get(&block).into_iter().flatten()
    }

    fn insert(&mut self, target: &TargetId, block: Block, now: Duration) {
        self.make_room();
        let old = self.old.remove(&block);
        let holders = self
            .recent
            .entry(block)
            .or_insert_with(|| old.unwrap_or_default());
        if let Some(holder) = holders.iter_mut().find(|holder| holder.target == *target) {
            holder.seen = now;
            return;
        }
        if holders.len() == MAX_HOLDERS {
            let oldest = (0..MAX_HOLDERS).min_by_key(|&index| holders[index].seen);
            holders.swap_remove(oldest.unwrap_or(0));
        }
        holders.push(Holder {
            target: target.clone(),
            seen: now,
        });
    }

    /// Drops the blocks not seen since the previous generation filled up. Otherwise memory would grow
    /// with every new prompt.
    fn make_room(&mut self) {
        if self.recent.len() >= MAX_BLOCKS / 2 {
            self.old = std::mem::take(&mut self.recent);
        }
    }
}

fn is_fresh(holder: &Holder, now: Duration) -> bool {
    now.saturating_sub(holder.seen) < ENTRY_TTL
}
