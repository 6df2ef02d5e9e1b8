//! Pieces of content whose requests are refused, because they end backend servers.
//!
//! The record of a piece has a version that rises with each decision on it, so that a node that has missed one cannot bring the
//! earlier state back. Records are announced in heartbeats and kept in the store.

use std::collections::BTreeMap;

use jaysaddle_fleet::crash_report::PeerBlock;
use jaysaddle_types::content::ContentKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::crash_evidence::PieceHistory;

/// Time after which the first block on few ends of backend servers ends, so that sound content is not kept out for long. Each
/// further block lasts [`BLOCK_TIME_FACTOR`] times as long.
const FIRST_BLOCK_TIME: TimeSpan = TimeSpan::from_secs(600);
const BLOCK_TIME_FACTOR: u64 = 10;
/// Longest time of a block, and that of a block on [`MANY_ENDS`] or more. A block by an operator has no end.
const MAX_BLOCK_TIME: TimeSpan = TimeSpan::from_secs(24 * 3600);
/// Number of ends that leave no doubt.
const MANY_ENDS: u32 = 5;
/// Time for which a record of content that is not blocked is remembered.
const RELEASE_RETENTION: TimeSpan = TimeSpan::from_secs(24 * 3600);
/// Time for which a release is announced, and again after a peer has announced an earlier decision.
const RELEASE_ANNOUNCE_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Maximum number of records.
const MAX_RECORDS: usize = 256;
/// Maximum number of records in a heartbeat; further ones take turns.
const MAX_ANNOUNCED: usize = 16;
/// Time after which the next records are announced if there are more; the interval of heartbeats.
const ANNOUNCE_INTERVAL: TimeSpan = TimeSpan(200);

/// Highest version that is believed. A decision after one without a successor would not be later than it.
pub const MAX_VERSION: u64 = 1 << 48;

/// State of a piece of content.
///
/// # Invariants
///
/// The version rises with each decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockRecord {
    /// Orders the decisions.
    pub version: u64,
    /// Whether requests with the piece are refused.
    pub is_blocked: bool,
    /// Number of processes that have ended under the piece, earlier blocks included; 0 for a decision of an operator, and for
    /// a piece that is sound.
    pub ends: u32,
    /// When it was decided.
    pub decided: Timestamp,
    /// Until when a record of content that is not blocked is announced.
    pub announce_until: Timestamp,
    /// Whether this node has decided.
    pub is_own: bool,
    /// Whether the store is known to hold this version, or a later one.
    pub is_stored: bool,
}

impl BlockRecord {
    /// Time after which the block ends; `None` if it has no end.
    fn block_time(&self) -> Option<TimeSpan> {
        if self.ends == 0 {
            return None;
        }
        if self.ends >= MANY_ENDS {
            return Some(MAX_BLOCK_TIME);
        }
        // Each block and its end raise the version.
        let earlier = u32::try_from(self.version.saturating_sub(1) / 2).unwrap_or(u32::MAX);
        let factor = BLOCK_TIME_FACTOR.saturating_pow(earlier);
        Some(TimeSpan(FIRST_BLOCK_TIME.0.saturating_mul(factor)).min(MAX_BLOCK_TIME))
    }
}

/// Pieces of content that are blocked, or were.
#[derive(Debug, Default)]
pub struct ContentBlocks {
    records: BTreeMap<ContentKey, BlockRecord>,
}

impl ContentBlocks {
    /// Whether requests with a piece are refused.
    pub fn is_blocked(&self, key: ContentKey) -> bool {
        self.records
            .get(&key)
            .is_some_and(|record| record.is_blocked)
    }

    /// What was decided on a piece.
    pub fn history(&self, key: ContentKey) -> PieceHistory {
        match self.records.get(&key) {
            Some(record) if record.is_blocked => PieceHistory::Blocked,
            Some(record) if record.ends > 0 => PieceHistory::FormerlyBlocked,
            _ => PieceHistory::Unknown,
        }
    }

    /// Number of blocked pieces.
    pub fn count(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_blocked).count()
    }

    /// Record of a piece.
    pub fn get(&self, key: ContentKey) -> Option<&BlockRecord> {
        self.records.get(&key)
    }

    /// Records of all pieces.
    pub fn iter(&self) -> impl Iterator<Item = (&ContentKey, &BlockRecord)> {
        self.records.iter()
    }

    /// Blocks a piece under which processes have ended, as many as `ends` since its last block.
    pub fn block(&mut self, key: ContentKey, ends: u32, now: Timestamp) {
        let earlier = self.records.get(&key).map_or(0, |record| record.ends);
        self.decide(key, true, earlier.saturating_add(ends), now);
    }

    /// Releases a piece that is sound.
    pub fn release(&mut self, key: ContentKey, now: Timestamp) {
        self.decide(key, false, 0, now);
    }

    fn decide(&mut self, key: ContentKey, is_blocked: bool, ends: u32, now: Timestamp) {
        let version = self.records.get(&key).map_or(0, |record| record.version) + 1;
        let record = BlockRecord {
            version,
            is_blocked,
            ends,
            decided: now,
            announce_until: now + RELEASE_ANNOUNCE_TIME,
            is_own: true,
            is_stored: false,
        };
        self.insert(key, record);
    }

    /// Takes over a decision of a peer or of the store, if it is later than the known one. Returns whether that changes
    /// whether requests are refused. One with a version above [`MAX_VERSION`] is ignored.
    pub fn merge(&mut self, block: &PeerBlock, is_stored: bool, now: Timestamp) -> bool {
        if block.version > MAX_VERSION {
            return false;
        }
        let known = self.records.get_mut(&block.key);
        if let Some(record) = known
            && record.version >= block.version
        {
            record.is_stored |= is_stored && record.version == block.version;
            if record.version > block.version {
                record.announce_until = now + RELEASE_ANNOUNCE_TIME;
            }
            return false;
        }
        let was_blocked = self.is_blocked(block.key);
        let record = BlockRecord {
            version: block.version,
            is_blocked: block.is_blocked,
            ends: block.ends,
            decided: now - block.age,
            announce_until: now + RELEASE_ANNOUNCE_TIME,
            is_own: false,
            is_stored,
        };
        self.insert(block.key, record);
        was_blocked != block.is_blocked
    }

    fn insert(&mut self, key: ContentKey, record: BlockRecord) {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&key) {
            let records = self.records.iter();
            let oldest = records.min_by_key(|(_, record)| (record.is_blocked, record.decided));
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.records.remove(&key);
            }
        }
        self.records.insert(key, record);
    }

    /// Records that the store may have lost what it held.
    pub fn record_restore(&mut self) {
        for record in self.records.values_mut() {
            record.is_stored = false;
        }
    }

    /// Records that the store holds a version of a piece.
    pub fn record_stored(&mut self, key: ContentKey, version: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.is_stored |= record.version <= version;
        }
    }

    /// Ends blocks whose time has passed, and forgets releases. Returns the pieces that are no longer blocked.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ContentKey> {
        let records = self.records.iter();
        let ended: Vec<(ContentKey, u32)> = records
            .filter(|(_, record)| {
                let time = record.block_time();
                record.is_blocked && time.is_some_and(|time| now.since(record.decided) >= time)
            })
            .map(|(key, record)| (*key, record.ends))
            .collect();
        for (key, ends) in &ended {
            self.decide(*key, false, *ends, now);
        }
        self.records.retain(|_, record| {
            record.is_blocked || !record.is_stored || now.since(record.decided) < RELEASE_RETENTION
        });
        ended.into_iter().map(|(key, _)| key).collect()
    }

    /// Records for the peers.
    pub fn announced(&self, now: Timestamp) -> Vec<PeerBlock> {
        let records: Vec<(&ContentKey, &BlockRecord)> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_blocked || now < record.announce_until)
            .collect();
        let count = records.len();
        let turn = (now.0 / ANNOUNCE_INTERVAL.0) as usize;
        let first = turn.wrapping_mul(MAX_ANNOUNCED) % count.max(1);
        records
            .into_iter()
            .cycle()
            .skip(if count > MAX_ANNOUNCED { first } else { 0 })
            .take(count.min(MAX_ANNOUNCED))
            .map(|(key, record)| PeerBlock {
                key: *key,
                version: record.version,
                is_blocked: record.is_blocked,
                ends: record.ends,
                age: now.since(record.decided),
            })
            .collect()
    }
}
