//! The latest decisions, kept in memory for `explain` and `/v1/decisions`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use jaysaddle_types::decision::DecisionRecord;
use serde::Serialize;

use crate::logging::DECISION_TARGET;

/// Decisions kept; about 300 bytes each.
const MAX_DECISIONS: usize = 4096;

/// A decision with its position.
#[derive(Clone, Debug, Serialize)]
pub struct JournalEntry {
    /// Position, counted from 1 since the start of the daemon.
    pub sequence: u64,
    /// The decision.
    #[serde(flatten)]
    pub record: DecisionRecord,
}

#[derive(Debug, Default)]
struct JournalState {
    last: u64,
    entries: VecDeque<JournalEntry>,
}

/// The latest decisions.
#[derive(Debug, Default)]
pub struct DecisionJournal {
    state: Mutex<JournalState>,
}

impl DecisionJournal {
    /// Logs, counts and keeps a decision; `elapsed` is the time that the lane's step needed for it.
    pub fn record(&self, record: DecisionRecord, elapsed: Duration) {
        log::info!(target: DECISION_TARGET, "{record} took_us={}", elapsed.as_micros());
        metrics::counter!("jaysaddle_decisions_total", "kind" => record.kind.as_str()).increment(1);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.last += 1;
        let sequence = state.last;
        if state.entries.len() >= MAX_DECISIONS {
            state.entries.pop_front();
        }
        state.entries.push_back(JournalEntry { sequence, record });
    }

    /// Decisions after position `after`, oldest first.
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

    /// Decisions about `subject`, oldest first.
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
