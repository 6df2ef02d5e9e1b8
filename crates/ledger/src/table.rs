//! Bounded table of claims with eviction.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;

use crate::claims::ClaimEntry;
use crate::claims::ClaimKey;
use crate::claims::ClaimState;
use crate::coverage::LedgerCoverage;
use crate::query::StoredResponse;
use crate::settings::LedgerSettings;

/// Estimated memory of one claim without the text of its key: entry, shared key and eviction
/// orders, including the unused capacity of hash maps and trees. examples/measure.rs compares it
/// with the resident memory.
const ENTRY_BYTES: usize = 512;

/// Claims by key, and the order in which they are evicted.
///
/// # Invariants
///
/// - At most `settings.max_claims` claims and `settings.max_response_bytes` of responses are kept.
/// - A claim whose request is being executed is never evicted.
/// - Evicting a claim moves the coverage forward.
/// - Evicting a response leaves its claim closed.
#[derive(Clone, Debug)]
pub(crate) struct ClaimTable {
    entries: HashMap<Arc<ClaimKey>, ClaimEntry>,
    /// Claims that are not in use, by position, with the time at which each ended.
    eviction_order: BTreeMap<u64, (Arc<ClaimKey>, Timestamp)>,
    /// The claims in `eviction_order` that store a response, by position.
    responses: BTreeMap<u64, Arc<ClaimKey>>,
    response_bytes: usize,
    key_bytes: usize,
    next_position: u64,
    pub(crate) coverage: LedgerCoverage,
}

impl ClaimTable {
    pub(crate) fn new(coverage: LedgerCoverage) -> Self {
        Self {
            entries: HashMap::new(),
            eviction_order: BTreeMap::new(),
            responses: BTreeMap::new(),
            response_bytes: 0,
            key_bytes: 0,
            next_position: 0,
            coverage,
        }
    }

    pub(crate) fn get(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        self.entries.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &ClaimKey) -> Option<&mut ClaimEntry> {
        self.entries.get_mut(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<ClaimKey>, &ClaimEntry)> {
        self.entries.iter()
    }

    /// Evicts claims until one more fits. Returns false when every claim is in use.
    pub(crate) fn ensure_room(&mut self, settings: &LedgerSettings) -> bool {
        while self.entries.len() >= settings.max_claims {
            let Some((_, (key, ended))) = self.eviction_order.pop_first() else {
                return false;
            };
            self.evict(&key, ended);
        }
        true
    }

    /// Inserts a claim that is in use, after a successful [`ClaimTable::ensure_room`].
    pub(crate) fn insert(&mut self, key: Arc<ClaimKey>, entry: ClaimEntry) {
        self.key_bytes += key_bytes(&key);
        self.entries.insert(key, entry);
    }

    /// Removes a claim that was never granted or whose request was not executed, without
    /// moving the coverage.
    pub(crate) fn remove(&mut self, key: &ClaimKey) -> Option<ClaimEntry> {
        self.mark_in_use(key);
        let entry = self.entries.remove(key)?;
        self.key_bytes -= key_bytes(key);
        Some(entry)
    }

    /// Removes a claim from the eviction order, because it is in use again.
    pub(crate) fn mark_in_use(&mut self, key: &ClaimKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let Some(position) = entry.eviction_position.take() else {
            return;
        };
        self.eviction_order.remove(&position);
        if self.responses.remove(&position).is_some()
            && let ClaimState::Stored(response) = &entry.state
        {
            self.response_bytes -= response_bytes(response);
        }
    }

    /// Sets the state of a claim that is no longer in use and starts its retention.
    pub(crate) fn set_ended(&mut self, key: &Arc<ClaimKey>, state: ClaimState, now: Timestamp) {
        self.mark_in_use(key);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let position = self.next_position;
        self.next_position += 1;
        entry.eviction_position = Some(position);
        self.eviction_order.insert(position, (key.clone(), now));
        if let ClaimState::Stored(response) = &state {
            self.response_bytes += response_bytes(response);
            self.responses.insert(position, key.clone());
        }
        entry.state = state;
    }

    /// Evicts the oldest responses while their total size exceeds the maximum.
    pub(crate) fn evict_responses(&mut self, settings: &LedgerSettings) {
        while self.response_bytes as u64 > settings.max_response_bytes.0 {
            let Some((_, key)) = self.responses.pop_first() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if let ClaimState::Stored(response) = &entry.state {
                self.response_bytes -= response_bytes(response);
                entry.state = ClaimState::Closed;
                entry.verdict = Verdict::Ran;
            }
        }
    }

    /// Evicts claims that ended before `before`.
    pub(crate) fn evict_ended_before(&mut self, before: Timestamp) {
        while let Some(first) = self.eviction_order.first_entry() {
            if first.get().1 >= before {
                return;
            }
            let (key, ended) = first.remove();
            self.evict(&key, ended);
        }
    }

    /// Returns an estimate of the memory in use.
    pub(crate) fn estimated_bytes(&self) -> usize {
        self.entries.len() * ENTRY_BYTES + self.key_bytes + self.response_bytes
    }

    /// Evicts a claim that has already been removed from the eviction order.
    fn evict(&mut self, key: &Arc<ClaimKey>, ended: Timestamp) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.key_bytes -= key_bytes(key);
        if let Some(position) = entry.eviction_position
            && self.responses.remove(&position).is_some()
            && let ClaimState::Stored(response) = &entry.state
        {
            self.response_bytes -= response_bytes(response);
        }
        self.coverage.advance_past(key, ended);
    }
}

fn key_bytes(key: &ClaimKey) -> usize {
    key.home.id.as_str().len() + key.account.as_str().len() + key.key.as_str().len()
}

fn response_bytes(response: &StoredResponse) -> usize {
    response.body.len() + response.content_type.len()
}
