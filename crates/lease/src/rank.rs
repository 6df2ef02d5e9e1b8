//! Rank of this node among the candidates of a shard.
//!
//! Every node computes the same ranks from the same list. The standard library's hasher may change
//! between compiler versions, so the hash is fixed here.

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;

use crate::event::LeaseCandidate;
use crate::event::ShardLocation;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a hash of an identifier.
pub(crate) fn hash_id(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Finalizer of SplitMix64.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Nodes that rank before `own` for the shard; absent when `own` is no candidate. Nodes in the
/// shard's region rank before all others, because they reach its VMs when regions are separated.
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
    let before = |entry: &&(LeaseCandidate, u64)| (key(entry), &entry.0.node) < own_key;
    Some(candidates.iter().filter(before).count())
}

/// Pseudo-random jitter from a seed that is passed in.
#[derive(Clone, Debug)]
pub(crate) struct JitterSource(pub(crate) u64);

impl JitterSource {
    /// A span from zero to below `bound`.
    pub(crate) fn below(&mut self, bound: TimeSpan) -> TimeSpan {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        TimeSpan(mix(self.0) % bound.0.max(1))
    }

    /// A span from half of `middle` to one and a half of it.
    pub(crate) fn around(&mut self, middle: TimeSpan) -> TimeSpan {
        TimeSpan(middle.0 / 2 + self.below(middle).0)
    }
}
