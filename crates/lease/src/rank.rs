//! Rank of this node among the candidates for a lease.
//!
//! Every node computes the same ranks from the same list of candidates. The hash is defined here
//! because the standard library's hasher may change between compiler versions.

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;

use crate::event::LeaseCandidate;
use crate::event::ShardLocation;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes an identifier with 64-bit FNV-1a.
pub(crate) fn hash_id(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Mixes the bits of a value with the finalizer of SplitMix64.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the number of candidates that rank before `own` for the shard, or `None` when `own` is
/// not a candidate. Nodes in the shard's region rank before all others, because they still reach
/// its VMs when regions are partitioned from each other.
pub(crate) fn own_rank(
    shard: &ShardLocation,
    candidates: &[(LeaseCandidate, u64)],
    own: &NodeKey,
) -> Option<usize> {
    let shard_hash = hash_id(shard.shard.as_str());
    let key = |entry: &(LeaseCandidate, u64)| {
        let remote = entry.0.region != shard.region;
        (remote, u64::MAX - mix(shard_hash ^ mix(entry.1)))
    };
    let own_entry = candidates.iter().find(|entry| entry.0.node == *own)?;
    let own_key = (key(own_entry), own);
    let ranks_before = |entry: &&(LeaseCandidate, u64)| (key(entry), &entry.0.node) < own_key;
    Some(candidates.iter().filter(ranks_before).count())
}

/// Deterministic source of jitter (SplitMix64); the value is its state, initially the seed.
#[derive(Clone, Debug)]
pub(crate) struct JitterSource(pub(crate) u64);

impl JitterSource {
    /// Returns a time span in `0..bound`.
    pub(crate) fn below(&mut self, bound: TimeSpan) -> TimeSpan {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        TimeSpan(mix(self.0) % bound.0.max(1))
    }

    /// Returns a time span between 0.5 and 1.5 times `middle`.
    pub(crate) fn around(&mut self, middle: TimeSpan) -> TimeSpan {
        TimeSpan(middle.0 / 2 + self.below(middle).0)
    }
}
