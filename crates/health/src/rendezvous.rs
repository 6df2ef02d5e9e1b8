//! Rendezvous hashing: every node derives the same watchers of a VM from the same list of nodes.
//!
//! The hash function is fixed here because nodes of two versions run side by side during an
//! upgrade, and the standard library's hasher may change between compiler versions.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a hash of an identifier.
pub(crate) fn hash_id(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// SplitMix64 finalizer; spreads the bits of ids that differ in one digit only.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rendezvous score of a node for a VM; the highest scores win.
pub(crate) fn pair_score(vm_hash: u64, node_hash: u64) -> u64 {
    mix(vm_hash ^ mix(node_hash))
}

/// A node as a candidate for watching a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatcherCandidate {
    /// Hash of the node id, without the incarnation.
    pub(crate) hash: u64,
    /// Index of the node's failure domain.
    pub(crate) domain: usize,
}

/// Returns the indexes of the `count` watchers of a VM: the best candidate of each failure domain
/// first, then the best of the remaining ones if there are too few failure domains.
pub(crate) fn pick_watchers(
    vm_hash: u64,
    candidates: &[WatcherCandidate],
    domain_count: usize,
    count: usize,
) -> Vec<u16> {
    let mut best: Vec<Option<(u64, u16)>> = vec![None; domain_count];
    for (index, candidate) in candidates.iter().enumerate() {
        let score = (pair_score(vm_hash, candidate.hash), index as u16);
        let best_in_domain = &mut best[candidate.domain];
        *best_in_domain = (*best_in_domain).max(Some(score));
    }
    let mut picked: Vec<(u64, u16)> = best.into_iter().flatten().collect();
    picked.sort_unstable_by(|a, b| b.cmp(a));
    picked.truncate(count);
    if picked.len() < count {
        fill_remaining(&mut picked, vm_hash, candidates, count);
    }
    picked.into_iter().map(|(_, index)| index).collect()
}

fn fill_remaining(
    picked: &mut Vec<(u64, u16)>,
    vm_hash: u64,
    candidates: &[WatcherCandidate],
    count: usize,
) {
    let mut rest: Vec<(u64, u16)> = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| (pair_score(vm_hash, candidate.hash), index as u16))
        .filter(|entry| !picked.contains(entry))
        .collect();
    rest.sort_unstable_by(|a, b| b.cmp(a));
    rest.truncate(count - picked.len());
    picked.extend(rest);
}
