//! Terms of the lease, which no two starts of nodes share.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;

/// Number of low bits of a term that identify the node that acquired it. Two nodes that know the same latest term, because
/// the store and the peers have forgotten a later one, do not acquire the same term.
const TERM_NODE_BITS: u32 = 16;

/// Number of bits above them that count the handovers since the last acquisition through the store. A term that is acquired
/// through the store exceeds those of all holders that were handed the lease before, also of one that no peer has heard.
const HANDOVER_BITS: u32 = 4;

/// First term that is not believed. The generation of a group has 44 bits for its term, and a term that leaves none above it
/// would end the order of generations. Terms below it suffice for 8 million acquisitions.
const FIRST_ODD_TERM: LeaseEpoch = LeaseEpoch(1 << 43);

/// Whether a node may have acquired `term`. Others come from objects and entries of other writers.
pub(crate) fn is_credible(term: LeaseEpoch) -> bool {
    term < FIRST_ODD_TERM
}

/// Identifies the start of a node in the terms that it acquires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermNode(pub u16);

impl TermNode {
    /// Computes the number of a node's start.
    pub fn of(node: &NodeId, incarnation: Incarnation) -> Self {
        let mut hasher = DefaultHasher::new();
        (node, incarnation).hash(&mut hasher);
        Self((hasher.finish() >> (64 - TERM_NODE_BITS)) as u16)
    }

    /// The term that this start of a node acquires through the store after `latest`.
    pub fn term_after(self, latest: LeaseEpoch) -> LeaseEpoch {
        let round = (latest.0 >> (HANDOVER_BITS + TERM_NODE_BITS)) + 1;
        self.term_of(round << HANDOVER_BITS)
    }

    /// The term under which this start of a node continues a lease that was handed over under the term `latest`.
    pub fn term_after_handover(self, latest: LeaseEpoch) -> LeaseEpoch {
        self.term_of((latest.0 >> TERM_NODE_BITS) + 1)
    }

    fn term_of(self, count: u64) -> LeaseEpoch {
        LeaseEpoch((count << TERM_NODE_BITS) | u64::from(self.0))
    }
}
