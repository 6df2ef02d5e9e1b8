//! In-memory journal of the latest decisions, for `explain` and `/v1/decisions`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use jaysaddle_types::decision::DecisionRecord;
use serde::Serialize;

use crate::logging::DECISION_TARGET;

/// Maximum number of decisions in the journal; each takes about 300 bytes.
const MAX_JOURNAL_ENTRIES: usize = 4096;

/// Decision with its sequence number.
#[derive(Clone, Debug, Serialize)]
pub struct JournalEntry {
    /// Sequence number, starting at 1 at the start of the daemon.
    pub sequence: u64,
    /// Decision as made by the reducer.
    #[serde(flatten)]
    pub record: DecisionRecord,
}

#[derive(Debug, Default)]
struct JournalState {
    last: u64,
    entries: VecDeque<JournalEntry>,
}

/// Ring buffer of the latest decisions.
#[derive(Debug, Default)]
pub struct DecisionJournal {
    state: Mutex<JournalState>,
}

impl DecisionJournal {
    /// Logs, counts and stores a decision. `elapsed` is the duration of the reducer step
    /// that made it.
    pub fn record(&self, record: DecisionRecord, elapsed: Duration) {
        log::info!(target: DECISION_TARGET, "{record} took_us={}", elapsed.as_micros());
        metrics::counter!("jaysaddle_decisions_total", "kind" => record.kind.as_str()).increment(1);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.last += 1;
        let sequence = state.last;
        if state.entries.len() >= MAX_JOURNAL_ENTRIES {
            state.entries.pop_front();
        }
        state.entries.push_back(JournalEntry { sequence, record });
    }

    /// Returns up to `limit` decisions with sequence numbers above `after`, oldest first.
    pub fn after(&self, after: u64, limit: usize) -> Vec<JournalEntry> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .entries
            .iter()
            .filter(|entry| entry.sequence > after)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Returns all decisions about `subject`, oldest first.
    pub fn about_subject(&self, subject: &str) -> Vec<JournalEntry> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .entries
            .iter()
            .filter(|entry| entry.record.subject == subject)
            .cloned()
            .collect()
    }
}
