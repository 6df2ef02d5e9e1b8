//! Which entries of the table have changed, so that a peer with an earlier version gets only the difference.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use compact_str::CompactString;

/// Number of changes that are remembered. A peer that has missed more gets the difference by content.
const MAX_CHANGES: usize = 8192;

/// Versions of this node's table and the names of the entries that changed in each.
#[derive(Debug, Default)]
pub struct TableLog {
    version: u64,
    /// Names of changed entries, oldest first, with the version that the change led to.
    changes: VecDeque<(u64, CompactString)>,
}

impl TableLog {
    /// Version of the table; 0 before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that an entry has appeared, changed or gone.
    pub fn record(&mut self, name: CompactString) {
        self.version += 1;
        self.changes.push_back((self.version, name));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Names of the entries that have changed since a version; `None` if that is no longer known.
    pub fn changed_since(&self, version: u64) -> Option<BTreeSet<&CompactString>> {
        if version > self.version {
            return None;
        }
        let first = self
            .changes
            .front()
            .map_or(self.version + 1, |(first, _)| *first);
        if version + 1 < first {
            return None;
        }
        let later = self.changes.iter().rev();
        let later = later.take_while(|(changed, _)| *changed > version);
        Some(later.map(|(_, name)| name).collect())
    }
}
