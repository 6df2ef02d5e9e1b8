//! Anti-entropy: two nodes compare hashes and exchange only what differs.
//!
//! The requester sends one hash. If it differs, the responder replies with a hash per bucket of
//! origins, and the requester lists the origins of the differing buckets. The responder then sends
//! what the list lacks and requests what it lacks itself.

use std::collections::BTreeMap;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::messages::OriginDigest;
use jaysaddle_wire::messages::WireRumor;

use crate::convert::claim_to_wire;
use crate::convert::fact_to_wire;
use crate::convert::key_from_wire;
use crate::convert::run_to_wire;
use crate::digest::key_hash;
use crate::digest::origin_hash;
use crate::facts::FactTable;
use crate::peers::PeerTable;

/// Lower and upper limit of the number of buckets; about one bucket per origin keeps
/// the lists short.
const MIN_BUCKETS: usize = 8;
const MAX_BUCKETS: usize = 512;

/// What two nodes compare about one origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OriginSummary {
    /// Rank of the node claim; 0 if the origin is unknown.
    claim_rank: u64,
    highest_sequence: u64,
    fact_digest: u64,
}

/// Reply to a list of origins.
#[derive(Debug, Default)]
pub(crate) struct SyncDifference {
    /// Rumors that the remote node lacks.
    pub(crate) rumors: Vec<WireRumor>,
    /// Origins about which the remote node has newer claims or facts.
    pub(crate) requested: Vec<OriginDigest>,
}

/// The tables that anti-entropy reconciles.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SyncView<'a> {
    pub(crate) peers: &'a PeerTable,
    pub(crate) facts: &'a FactTable,
    pub(crate) now: Timestamp,
}

impl SyncView<'_> {
    /// Returns a hash of the complete contents.
    pub(crate) fn digest(&self) -> u64 {
        self.hashes().fold(0, |sum, (_, hash)| sum ^ hash)
    }

    /// Returns one hash per bucket.
    pub(crate) fn bucket_hashes(&self, count: usize) -> Vec<u32> {
        let mut buckets = vec![0; count];
        for (key, hash) in self.hashes() {
            // Both halves of a mixed hash are equally well distributed.
            buckets[bucket_of(key, count)] ^= (hash >> 32) as u32;
        }
        buckets
    }

    /// Returns the number of buckets to use for the current number of origins.
    pub(crate) fn bucket_count(&self) -> usize {
        let origins = self.peers.iter().count();
        origins.next_power_of_two().clamp(MIN_BUCKETS, MAX_BUCKETS)
    }

    /// Returns the indexes of the buckets that differ from `remote`; none if the count is
    /// out of range.
    pub(crate) fn differing_buckets(&self, remote: &[u32]) -> Vec<u32> {
        if remote.is_empty() || remote.len() > MAX_BUCKETS {
            return Vec::new();
        }
        let own = self.bucket_hashes(remote.len());
        let pairs = (0..).zip(own.iter().zip(remote));
        pairs
            .filter(|(_, (own, remote))| own != remote)
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the digests of all origins in the given buckets.
    pub(crate) fn origin_digests(&self, count: usize, buckets: &[u32]) -> Vec<OriginDigest> {
        self.peers
            .iter()
            .filter(|(key, _)| buckets.contains(&(bucket_of(key, count) as u32)))
            .map(|(key, _)| summary_to_wire(key, self.summary(key)))
            .collect()
    }

    /// Compares the digests of complete buckets with this node's tables.
    pub(crate) fn compare(
        &self,
        count: usize,
        buckets: &[u32],
        listed: &[OriginDigest],
    ) -> SyncDifference {
        let mut difference = SyncDifference::default();
        if count == 0 || count > MAX_BUCKETS {
            return difference;
        }
        let mut remote = summaries_from_wire(listed);
        for own in self.origin_digests(count, buckets) {
            if let Ok(key) = key_from_wire(own.origin.as_ref()) {
                let summary = remote.remove(&key).unwrap_or_default();
                self.compare_origin(&key, summary, &mut difference);
            }
        }
        for (key, summary) in remote {
            self.compare_origin(&key, summary, &mut difference);
        }
        difference
    }

    /// Returns the rumors that a node lacks about the given origins.
    pub(crate) fn rumors_for(&self, origins: &[OriginDigest]) -> Vec<WireRumor> {
        let mut difference = SyncDifference::default();
        for (key, summary) in summaries_from_wire(origins) {
            self.compare_origin(&key, summary, &mut difference);
        }
        difference.rumors
    }

    fn compare_origin(
        &self,
        key: &NodeKey,
        remote: OriginSummary,
        difference: &mut SyncDifference,
    ) {
        let own = self.summary(key);
        if own == remote {
            return;
        }
        if own.claim_rank != remote.claim_rank && own.claim_rank > 0 {
            // Sent even if its rank is lower: if the other node considers the origin dead, it
            // then disputes the death and probes the origin.
            self.push_claim(key, difference);
        }
        if own.fact_digest != remote.fact_digest {
            // Equal sequence numbers with different hashes mean that one node missed
            // an earlier fact.
            let from = if own.highest_sequence > remote.highest_sequence {
                remote.highest_sequence
            } else {
                0
            };
            if own.highest_sequence >= remote.highest_sequence {
                self.push_facts(key, from, difference);
            }
        }
        let lacks_facts = own.fact_digest != remote.fact_digest
            && own.highest_sequence <= remote.highest_sequence;
        if own.claim_rank < remote.claim_rank || lacks_facts {
            difference.requested.push(summary_to_wire(key, own));
        }
    }

    fn push_claim(&self, key: &NodeKey, difference: &mut SyncDifference) {
        if let Some(entry) = self.peers.get(key) {
            let claim = entry.claim(self.now);
            difference.rumors.push(claim_to_wire(&claim));
        }
    }

    fn push_facts(&self, key: &NodeKey, after: u64, difference: &mut SyncDifference) {
        let Some(facts) = self.facts.origin(key) else {
            return;
        };
        for entry in facts.newer_than(after) {
            let wire = fact_to_wire(key, entry.sequence, &entry.body);
            difference.rumors.push(wire);
        }
    }

    fn summary(&self, key: &NodeKey) -> OriginSummary {
        let Some(entry) = self.peers.get(key) else {
            return OriginSummary::default();
        };
        let facts = self.facts.origin(key);
        OriginSummary {
            // Revisions start at 1, so that no origin in the table has rank 0.
            claim_rank: entry.rank().0,
            highest_sequence: facts.map_or(0, |facts| facts.highest_sequence()),
            fact_digest: facts.map_or(0, |facts| facts.digest()),
        }
    }

    fn hashes(&self) -> impl Iterator<Item = (&NodeKey, u64)> {
        self.peers.iter().map(|(key, _)| {
            let summary = self.summary(key);
            (
                key,
                origin_hash(key, summary.claim_rank, summary.fact_digest),
            )
        })
    }
}

fn bucket_of(key: &NodeKey, count: usize) -> usize {
    (key_hash(key) % count as u64) as usize
}

fn summary_to_wire(key: &NodeKey, summary: OriginSummary) -> OriginDigest {
    OriginDigest {
        origin: Some(run_to_wire(key)),
        sequence: summary.highest_sequence,
        digest: summary.fact_digest,
        claim_rank: summary.claim_rank,
    }
}

fn summaries_from_wire(listed: &[OriginDigest]) -> BTreeMap<NodeKey, OriginSummary> {
    let mut summaries = BTreeMap::new();
    for origin in listed {
        // An undecodable origin is skipped and thus treated as one that the peer lacks.
        if let Ok(key) = key_from_wire(origin.origin.as_ref()) {
            let summary = OriginSummary {
                claim_rank: origin.claim_rank,
                highest_sequence: origin.sequence,
                fact_digest: origin.digest,
            };
            summaries.insert(key, summary);
        }
    }
    summaries
}
