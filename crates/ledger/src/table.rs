//! Bounded table of claims.

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

/// Memory of one claim without the text of its key: entry, shared key and the orders of eviction,
/// with the free space that hash maps and trees keep. Measured by examples/measure.rs.
const ENTRY_BYTES: usize = 512;

/// The claims.
///
/// # Invariants
///
/// - At most `settings.max_claims` claims and `settings.max_response_bytes` of answers are kept.
/// - A running claim is never evicted, and evicting a claim moves the coverage forward.
/// - Evicting an answer keeps its claim closed.
#[derive(Clone, Debug)]
pub(crate) struct ClaimTable {
    entries: HashMap<Arc<ClaimKey>, ClaimEntry>,
    /// Ended claims, the earliest first.
    ended: BTreeMap<u64, (Arc<ClaimKey>, Timestamp)>,
    /// Positions of the ended claims that hold an answer.
    answers: BTreeMap<u64, Arc<ClaimKey>>,
    answer_bytes: usize,
    text_bytes: usize,
    next_position: u64,
    pub(crate) coverage: LedgerCoverage,
}

impl ClaimTable {
    pub(crate) fn new(coverage: LedgerCoverage) -> Self {
        Self {
            entries: HashMap::new(),
            ended: BTreeMap::new(),
            answers: BTreeMap::new(),
            answer_bytes: 0,
            text_bytes: 0,
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

    /// Makes room for one claim; false when every claim is in use.
    pub(crate) fn make_room(&mut self, settings: &LedgerSettings) -> bool {
        while self.entries.len() >= settings.max_claims {
            let Some((_, (key, ended))) = self.ended.pop_first() else {
                return false;
            };
            self.evict(&key, ended);
        }
        true
    }

    /// Inserts a claim that is in use. The caller has made room.
    pub(crate) fn insert(&mut self, key: Arc<ClaimKey>, entry: ClaimEntry) {
        self.text_bytes += text_bytes(&key);
        self.entries.insert(key, entry);
    }

    /// Removes a claim that was never granted or is known not to have run.
    pub(crate) fn remove(&mut self, key: &ClaimKey) -> Option<ClaimEntry> {
        self.reopen(key);
        let entry = self.entries.remove(key)?;
        self.text_bytes -= text_bytes(key);
        Some(entry)
    }

    /// Takes a claim out of the order of eviction, because it is in use again.
    pub(crate) fn reopen(&mut self, key: &ClaimKey) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let Some(position) = entry.ended.take() else {
            return;
        };
        self.ended.remove(&position);
        if self.answers.remove(&position).is_some()
            && let ClaimState::Stored(answer) = &entry.state
        {
            self.answer_bytes -= answer_bytes(answer);
        }
    }

    /// Sets the state of a claim that is no longer in use and starts its retention.
    pub(crate) fn end(&mut self, key: &Arc<ClaimKey>, state: ClaimState, now: Timestamp) {
        self.reopen(key);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let position = self.next_position;
        self.next_position += 1;
        entry.ended = Some(position);
        self.ended.insert(position, (key.clone(), now));
        if let ClaimState::Stored(answer) = &state {
            self.answer_bytes += answer_bytes(answer);
            self.answers.insert(position, key.clone());
        }
        entry.state = state;
    }

    /// Drops the oldest answers beyond the bound; their claims stay closed.
    pub(crate) fn bound_answers(&mut self, settings: &LedgerSettings) {
        while self.answer_bytes as u64 > settings.max_response_bytes.0 {
            let Some((_, key)) = self.answers.pop_first() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if let ClaimState::Stored(answer) = &entry.state {
                self.answer_bytes -= answer_bytes(answer);
                entry.state = ClaimState::Closed;
                entry.verdict = Verdict::Ran;
            }
        }
    }

    /// Forgets claims that ended before `before`.
    pub(crate) fn forget_before(&mut self, before: Timestamp) {
        while let Some(first) = self.ended.first_entry() {
            if first.get().1 >= before {
                return;
            }
            let (key, ended) = first.remove();
            self.evict(&key, ended);
        }
    }

    /// Estimated memory in use.
    pub(crate) fn bytes(&self) -> usize {
        self.entries.len() * ENTRY_BYTES + self.text_bytes + self.answer_bytes
    }

    /// Removes a claim that is no longer in the order of eviction.
    fn evict(&mut self, key: &Arc<ClaimKey>, ended: Timestamp) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.text_bytes -= text_bytes(key);
        if let Some(position) = entry.ended
            && self.answers.remove(&position).is_some()
            && let ClaimState::Stored(answer) = &entry.state
        {
            self.answer_bytes -= answer_bytes(answer);
        }
        self.coverage.forget(key, ended);
    }
}

fn text_bytes(key: &ClaimKey) -> usize {
    key.home.id.as_str().len() + key.account.as_str().len() + key.key.as_str().len()
}

fn answer_bytes(answer: &StoredResponse) -> usize {
    answer.body.len() + answer.content_type.len()
}
