//! Facts by origin, one per slot.

use std::collections::BTreeMap;

use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;

use crate::digest::item_hash;
use crate::event::RumorBody;

/// Maximum number of slots per origin. A node watches about 30 VMs at the design size; the limit
/// keeps a faulty peer from exhausting memory.
const MAX_SLOTS_PER_ORIGIN: usize = 4096;

/// A fact with its origin and sequence number.
#[derive(Clone, Debug, PartialEq)]
pub struct FactRumor {
    /// Node run that published the fact.
    pub origin: NodeKey,
    /// Sequence number, counted per origin over all slots.
    pub sequence: u64,
    /// Content of the fact; determines its slot.
    pub body: RumorBody,
}

/// Slot of a fact; a later fact of the same origin and slot replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactSlot {
    /// Evidence about one VM.
    Vm(VmId),
    /// Versions of the documents in force.
    Documents,
    /// Usage of the origin by all accounts.
    Usage,
    /// Node run to which the origin's ledger was handed over.
    Handover,
}

impl FactSlot {
    /// Returns the slot that a fact belongs to.
    pub fn of(body: &RumorBody) -> Self {
        match body {
            RumorBody::Vm(evidence) => FactSlot::Vm(evidence.vm.clone()),
            RumorBody::Documents(_) => FactSlot::Documents,
            RumorBody::Usage(_) => FactSlot::Usage,
            RumorBody::Handover(_) => FactSlot::Handover,
        }
    }

    fn hash(&self, sequence: u64) -> u64 {
        match self {
            FactSlot::Vm(vm) => item_hash(1, vm.as_str(), sequence),
            FactSlot::Documents => item_hash(2, "", sequence),
            FactSlot::Usage => item_hash(3, "", sequence),
            FactSlot::Handover => item_hash(4, "", sequence),
        }
    }
}

/// The latest fact of a slot.
#[derive(Clone, Debug)]
pub(crate) struct FactEntry {
    pub(crate) sequence: u64,
    pub(crate) body: RumorBody,
}

/// Facts of one origin.
#[derive(Clone, Debug, Default)]
pub(crate) struct OriginFacts {
    slots: BTreeMap<FactSlot, FactEntry>,
    /// Highest sequence number in any slot.
    highest: u64,
    /// XOR of the hashes of all (slot, sequence) pairs.
    digest: u64,
}

impl OriginFacts {
    pub(crate) fn highest_sequence(&self) -> u64 {
        self.highest
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn newer_than(&self, sequence: u64) -> impl Iterator<Item = &FactEntry> {
        self.slots
            .values()
            .filter(move |entry| entry.sequence > sequence)
    }

    fn accept(&mut self, sequence: u64, body: &RumorBody) -> bool {
        let slot = FactSlot::of(body);
        let old = self.slots.get(&slot).map(|entry| entry.sequence);
        let newer = old.is_none_or(|old| sequence > old);
        let fits = old.is_some() || self.slots.len() < MAX_SLOTS_PER_ORIGIN;
        if !newer || !fits {
            return false;
        }
        self.digest ^= old.map_or(0, |old| slot.hash(old)) ^ slot.hash(sequence);
        self.highest = self.highest.max(sequence);
        let body = body.clone();
        self.slots.insert(slot, FactEntry { sequence, body });
        true
    }
}

/// Facts of all origins.
#[derive(Clone, Debug, Default)]
pub(crate) struct FactTable {
    origins: BTreeMap<NodeKey, OriginFacts>,
}

impl FactTable {
    /// Stores the fact if it is newer than the one in its slot; returns whether it was stored.
    pub(crate) fn accept(&mut self, fact: &FactRumor) -> bool {
        self.origins
            .entry(fact.origin.clone())
            .or_default()
            .accept(fact.sequence, &fact.body)
    }

    pub(crate) fn origin(&self, origin: &NodeKey) -> Option<&OriginFacts> {
        self.origins.get(origin)
    }

    pub(crate) fn body(&self, origin: &NodeKey, slot: &FactSlot) -> Option<&RumorBody> {
        let entry = self.origins.get(origin)?.slots.get(slot)?;
        Some(&entry.body)
    }

    pub(crate) fn remove(&mut self, origin: &NodeKey) {
        self.origins.remove(origin);
    }
}
