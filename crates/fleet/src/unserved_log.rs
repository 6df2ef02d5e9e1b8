//! Attempts of callers that peers did not serve, as learned from heartbeats and digests.

use std::collections::HashMap;
use std::collections::VecDeque;

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::peers::PeerUnserved;

/// Time for which an attempt is remembered. Covers the longest `Retry-After` and the delays of callers.
const RETENTION: TimeSpan = TimeSpan::from_secs(4);
/// Difference of the deadlines of two announcements up to which they tell of the same attempt.
const SAME_DEADLINE: TimeSpan = TimeSpan(100);
/// Maximum number of attempts that are remembered, which bounds the memory under overload.
const MAX_REMEMBERED: usize = 16_384;
/// Maximum number of attempts in a digest, so that it stays within a few packets.
const MAX_RELAYED: usize = 256;

#[derive(Clone, Copy, Debug)]
struct LoggedAttempt {
    fingerprint: u32,
    deadline: Timestamp,
    learned: Timestamp,
}

/// Attempts of callers that peers did not serve.
///
/// # Invariants
///
/// `deadlines` holds the deadline of each attempt in `attempts`, by fingerprint, and nothing else.
#[derive(Debug, Default)]
pub struct UnservedLog {
    /// In the order in which they were learned.
    attempts: VecDeque<LoggedAttempt>,
    deadlines: HashMap<u32, Vec<Timestamp>>,
}

impl UnservedLog {
    /// Records what a peer announces. Announcements of the same attempt are recorded once.
    pub fn record(&mut self, unserved: PeerUnserved, now: Timestamp) {
        let deadline = now + unserved.time_left;
        let deadlines = self.deadlines.entry(unserved.fingerprint).or_default();
        let is_known = deadlines
            .iter()
            .any(|other| deadline.since(*other).max(other.since(deadline)) <= SAME_DEADLINE);
        if is_known {
            return;
        }
        deadlines.push(deadline);
        self.attempts.push_back(LoggedAttempt {
            fingerprint: unserved.fingerprint,
            deadline,
            learned: now,
        });
        if self.attempts.len() > MAX_REMEMBERED {
            self.remove_first();
        }
    }

    /// Removes the attempts that are no longer remembered.
    pub fn expire(&mut self, now: Timestamp) {
        while self
            .attempts
            .front()
            .is_some_and(|attempt| now.since(attempt.learned) >= RETENTION)
        {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some(attempt) = self.attempts.pop_front() else {
            return;
        };
        if let Some(deadlines) = self.deadlines.get_mut(&attempt.fingerprint) {
            deadlines.retain(|deadline| *deadline != attempt.deadline);
            if deadlines.is_empty() {
                self.deadlines.remove(&attempt.fingerprint);
            }
        }
    }

    /// Deadlines of the attempts with this fingerprint.
    pub fn deadlines(&self, fingerprint: u32) -> &[Timestamp] {
        self.deadlines.get(&fingerprint).map_or(&[], Vec::as_slice)
    }

    /// Attempts that were learned less than `age` ago, latest first, for a digest.
    pub fn learned_within(&self, age: TimeSpan, now: Timestamp) -> Vec<PeerUnserved> {
        self.attempts
            .iter()
            .rev()
            .take_while(|attempt| now.since(attempt.learned) < age)
            .filter(|attempt| attempt.deadline > now)
            .take(MAX_RELAYED)
            .map(|attempt| PeerUnserved {
                fingerprint: attempt.fingerprint,
                time_left: attempt.deadline.since(now),
            })
            .collect()
    }
}
