//! Hashes for anti-entropy, equal on all nodes for equal contents.

use jaysaddle_types::node::NodeKey;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// SplitMix64 finalizer; every input bit affects all output bits.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes a kind, a text and a number. The hashes of a set are combined by XOR, so that the order
/// of arrival does not matter and an element can be replaced.
pub(crate) fn item_hash(kind: u8, text: &str, number: u64) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in text.bytes().chain([kind]) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    mix(hash ^ mix(number))
}

/// Hash of a node run; selects its bucket.
pub(crate) fn key_hash(key: &NodeKey) -> u64 {
    item_hash(0, key.id.as_str(), key.incarnation.0)
}

/// Hash of an origin's node claim and facts.
pub(crate) fn origin_hash(key: &NodeKey, claim_rank: u64, facts: u64) -> u64 {
    mix(key_hash(key) ^ mix(claim_rank.wrapping_add(1)) ^ facts)
}
