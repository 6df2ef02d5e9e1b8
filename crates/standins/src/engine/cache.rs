//! Simulated prefix cache and its event log.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Number of events retained for readers; older ones are lost.
const MAX_EVENTS: usize = 10_000;

/// Type of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted to make room.
    Evicted,
}

/// A change of the cache contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the event log. A gap in the numbers shows that an event was lost.
    pub sequence: u64,
    /// Whether the block was stored or evicted.
    pub change: CacheChange,
    /// Hash of the block and all blocks before it.
    pub hash: u64,
}

/// Body of a response of `GET /engine/cache-events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventBatch {
    /// Sequence number to pass as `after` in the next read.
    pub last: u64,
    /// Events after the requested position.
    pub events: Vec<CacheEvent>,
}

/// LRU cache of prompt blocks. It stores block hashes only.
///
/// # Invariants
///
/// `by_last_use` and `last_use` hold the same blocks.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Returns the number of leading blocks that were cached, and adds all blocks of the prefix.
    pub(crate) fn insert_prefix(&mut self, prefix: &[u64], now: Instant) -> usize {
        let cached = prefix
            .iter()
            .take_while(|hash| self.last_use.contains_key(hash))
            .count();
        // The last block is touched first and so evicted first: it is shared with the
        // fewest other prompts.
        for hash in prefix.iter().rev() {
            self.touch(*hash, now);
        }
        while self.last_use.len() > self.capacity {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_use.remove(&hash);
            self.record(CacheChange::Evicted, hash, now);
        }
        cached
    }

    fn touch(&mut self, hash: u64, now: Instant) {
        self.clock += 1;
        match self.last_use.insert(hash, self.clock) {
            Some(previous) => {
                self.by_last_use.remove(&previous);
            }
            None => self.record(CacheChange::Stored, hash, now),
        }
        self.by_last_use.insert(self.clock, hash);
    }

    fn record(&mut self, change: CacheChange, hash: u64, now: Instant) {
        self.sequence += 1;
        let event = CacheEvent {
            sequence: self.sequence,
            change,
            hash,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after `after` that are at least `lag` old. One of each `loss_interval`
    /// events is left out; zero leaves out none.
    pub(crate) fn events_after(
        &self,
        after: u64,
        now: Instant,
        lag: Duration,
        loss_interval: u32,
    ) -> CacheEventBatch {
        let visible = self
            .events
            .iter()
            .filter(|(at, event)| event.sequence > after && now.duration_since(*at) >= lag)
            .map(|(_, event)| *event);
        let mut batch = CacheEventBatch {
            last: after,
            events: Vec::new(),
        };
        for event in visible {
            batch.last = event.sequence;
            if loss_interval == 0 || !event.sequence.is_multiple_of(u64::from(loss_interval)) {
                batch.events.push(event);
            }
        }
        batch
    }
}
