//! Memory of which groups were sent which prompt prefixes.

use std::collections::HashMap;

/// Groups remembered per prefix block; a block shared by more groups needs no affinity.
const HOLDERS: usize = 4;

/// Marks an unused holder.
const NO_HOLDER: u32 = u32::MAX;

type Holders = [u32; HOLDERS];

/// Bounded memory of prefix blocks.
///
/// Two maps stand in for an exact least-recently-used order: when the newer one is full, it
/// replaces the older one. Blocks in use are copied to the newer map at each send.
///
/// # Invariants
///
/// Neither map holds more than half of the allowed entries.
#[derive(Clone, Debug)]
pub(crate) struct AffinityTable {
    newer: HashMap<u64, Holders>,
    older: HashMap<u64, Holders>,
    half: usize,
}

impl AffinityTable {
    pub(crate) fn new(entries: usize) -> Self {
        Self {
            newer: HashMap::new(),
            older: HashMap::new(),
            half: (entries / 2).max(1),
        }
    }

    /// The group instances that were last sent `block`, the latest first.
    pub(crate) fn holders(&self, block: u64) -> impl Iterator<Item = u32> + '_ {
        self.find(block)
            .into_iter()
            .flatten()
            .filter(|holder| *holder != NO_HOLDER)
    }

    /// Records that `instance` was sent `block`.
    pub(crate) fn insert(&mut self, block: u64, instance: u32) {
        let mut holders = self.find(block).unwrap_or([NO_HOLDER; HOLDERS]);
        let position = holders
            .iter()
            .position(|holder| *holder == instance)
            .unwrap_or(HOLDERS - 1);
        holders[..=position].rotate_right(1);
        holders[0] = instance;
        if self.newer.len() >= self.half && !self.newer.contains_key(&block) {
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
