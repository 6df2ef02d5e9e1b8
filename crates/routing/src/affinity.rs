//! Records which groups were sent which prompt prefixes.

use std::collections::HashMap;

/// Groups recorded per prefix block; a block in the caches of more groups needs no affinity.
const MAX_HOLDERS: usize = 4;

/// Marks an unused element of [`Holders`].
const NO_HOLDER: u32 = u32::MAX;

/// Group instances that were sent a block, most recent first.
type Holders = [u32; MAX_HOLDERS];

/// Bounded table of prefix blocks and their holders.
///
/// Two maps approximate least-recently-used eviction: when the newer map is full, it replaces the
/// older one. Each send copies the blocks it uses to the newer map.
///
/// # Invariants
///
/// Neither map has more than half of the table's capacity in entries.
#[derive(Clone, Debug)]
pub(crate) struct AffinityTable {
    newer: HashMap<u64, Holders>,
    older: HashMap<u64, Holders>,
    map_capacity: usize,
}

impl AffinityTable {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            newer: HashMap::new(),
            older: HashMap::new(),
            map_capacity: (capacity / 2).max(1),
        }
    }

    /// Returns the group instances that were sent `block`, most recent first.
    pub(crate) fn holders(&self, block: u64) -> impl Iterator<Item = u32> + '_ {
        self.find(block)
            .into_iter()
            .flatten()
            .filter(|holder| *holder != NO_HOLDER)
    }

    /// Records that `instance` was sent `block`.
    pub(crate) fn insert(&mut self, block: u64, instance: u32) {
        let mut holders = self.find(block).unwrap_or([NO_HOLDER; MAX_HOLDERS]);
        let position = holders
            .iter()
            .position(|holder| *holder == instance)
            .unwrap_or(MAX_HOLDERS - 1);
        holders[..=position].rotate_right(1);
        holders[0] = instance;
        if self.newer.len() >= self.map_capacity && !self.newer.contains_key(&block) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(block, holders);
    }

    fn find(&self, block: u64) -> Option<Holders> {
        self.newer
            .get(&block)
            .or_else(|| self.older.get(&block))
            .copied()
    }
}
