//! Recognizes requests that callers send again after this system has refused or failed them.
//!
//! Nothing in a request states that it is a retry: each attempt has an id of its own, and since callers have different
//! time budgets, the time that one states does not tell either. But all attempts of a request have the same content
//! and the same deadline. Each node remembers the attempts that it did not serve, and announces them in its
//! heartbeats, because callers usually retry at another node.

use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::peers::PeerUnserved;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time for which an unserved attempt is remembered. Covers the longest `Retry-After` and the delays of callers.
const RETENTION: TimeSpan = TimeSpan::from_secs(4);
/// Maximum number of attempts in a heartbeat, so that it fits into one packet; the latest ones are announced.
const MAX_ANNOUNCED: usize = 64;
/// Maximum number of attempts that are remembered, which bounds the memory under overload.
const MAX_REMEMBERED: usize = 4096;
/// Maximum difference of the deadlines of two attempts of one request. Each is measured at the attempt's arrival and
/// passed on in a heartbeat, so that delays of the network and of the nodes add up.
const DEADLINE_TOLERANCE: TimeSpan = TimeSpan(100);

/// Hash of the content of a request, which is the same for all its attempts and at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u32);

impl RequestFingerprint {
    /// Computes the fingerprint of a request from the parts that all its attempts share.
    pub fn of(content: &impl Hash) -> Self {
        let mut hasher = DefaultHasher::new();
        content.hash(&mut hasher);
        Self((hasher.finish() >> 32) as u32)
    }
}

#[derive(Clone, Copy, Debug)]
struct UnservedAttempt {
    fingerprint: RequestFingerprint,
    /// Time until which the caller wants a response.
    deadline: Timestamp,
    ended: Timestamp,
}

/// Attempts of callers that this node did not serve.
#[derive(Debug, Default)]
pub struct UnservedRequests {
    /// In order of their end.
    attempts: VecDeque<UnservedAttempt>,
}

impl UnservedRequests {
    /// Records an attempt that was refused, failed or given up by its caller.
    pub fn record(&mut self, fingerprint: RequestFingerprint, deadline: Timestamp, now: Timestamp) {
        while self
            .attempts
            .front()
            .is_some_and(|attempt| now.since(attempt.ended) >= RETENTION)
            || self.attempts.len() >= MAX_REMEMBERED
        {
            self.attempts.pop_front();
        }
        self.attempts.push_back(UnservedAttempt {
            fingerprint,
            deadline,
            ended: now,
        });
    }

    /// Attempts to announce to the peers, latest first. Without those whose deadline has passed.
    pub fn announced(&self, now: Timestamp) -> Vec<PeerUnserved> {
        self.attempts
            .iter()
            .rev()
            .take_while(|attempt| now.since(attempt.ended) < RETENTION)
            .filter(|attempt| attempt.deadline > now)
            .take(MAX_ANNOUNCED)
            .map(|attempt| PeerUnserved {
                fingerprint: attempt.fingerprint.0,
                time_left: attempt.deadline.since(now),
            })
            .collect()
    }

    /// Whether an earlier attempt of the request was not served, at this node or at a peer.
    pub fn is_retry(
        &self,
        fingerprint: RequestFingerprint,
        deadline: Timestamp,
        peers: &PeerTable,
        now: Timestamp,
    ) -> bool {
        let matches = |other: Timestamp| {
            deadline.since(other).max(other.since(deadline)) <= DEADLINE_TOLERANCE
        };
        let is_own = self
            .attempts
            .iter()
            .rev()
            .take_while(|attempt| now.since(attempt.ended) < RETENTION)
            .any(|attempt| attempt.fingerprint == fingerprint && matches(attempt.deadline));
        is_own
            || peers
                .unserved_deadlines(fingerprint.0)
                .iter()
                .any(|other| matches(*other))
    }
}
