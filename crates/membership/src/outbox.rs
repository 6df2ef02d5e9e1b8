//! Rumors that are still to be passed on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_types::node::NodeKey;
use jaysaddle_wire::messages::WireRumor;
use prost::Message;

use crate::facts::FactSlot;

/// Bytes of tag and length around a rumor inside a message.
const RUMOR_OVERHEAD_BYTES: usize = 3;

/// What a rumor is about; a newer rumor replaces a queued one with the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RumorSlot {
    /// The state of a node run.
    Node(NodeKey),
    /// A fact of an origin.
    Fact(NodeKey, FactSlot),
}

#[derive(Clone, Debug)]
struct QueuedRumor {
    wire: WireRumor,
    bytes: usize,
    order: RumorOrder,
}

/// Rumors sent least often go first, among them the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RumorOrder {
    transmissions: u32,
    /// Falls with every queued rumor.
    age: u64,
}

/// The queue of rumors to pass on.
///
/// # Invariants
///
/// `order` holds exactly the slots of `rumors`, each under its order.
#[derive(Clone, Debug)]
pub(crate) struct RumorOutbox {
    rumors: BTreeMap<RumorSlot, QueuedRumor>,
    order: BTreeSet<(RumorOrder, RumorSlot)>,
    next_age: u64,
}

impl Default for RumorOutbox {
    fn default() -> Self {
        Self {
            rumors: BTreeMap::new(),
            order: BTreeSet::new(),
            next_age: u64::MAX,
        }
    }
}

impl RumorOutbox {
    pub(crate) fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }

    pub(crate) fn push(&mut self, slot: RumorSlot, wire: WireRumor) {
        self.remove(&slot);
        let order = RumorOrder {
            transmissions: 0,
            age: self.next_age,
        };
        self.next_age -= 1;
        let bytes = wire.encoded_len() + RUMOR_OVERHEAD_BYTES;
        self.order.insert((order, slot.clone()));
        self.rumors.insert(slot, QueuedRumor { wire, bytes, order });
    }

    pub(crate) fn remove(&mut self, slot: &RumorSlot) {
        if let Some(old) = self.rumors.remove(slot) {
            self.order.remove(&(old.order, slot.clone()));
        }
    }

    /// Takes rumors of at most `limit` bytes for one message and counts them as sent. A rumor that
    /// is larger than the limit goes alone. A rumor is dropped after `max_transmissions`.
    pub(crate) fn pack(&mut self, limit: usize, max_transmissions: u32) -> Vec<WireRumor> {
        let chosen = self.choose(limit);
        let mut wires = Vec::with_capacity(chosen.len());
        for (order, slot) in chosen {
            self.order.remove(&(order, slot.clone()));
            let Some(queued) = self.rumors.get_mut(&slot) else {
                continue;
            };
            wires.push(queued.wire.clone());
            queued.order.transmissions += 1;
            if queued.order.transmissions >= max_transmissions {
                self.rumors.remove(&slot);
            } else {
                self.order.insert((queued.order, slot));
            }
        }
        wires
    }

    fn choose(&self, limit: usize) -> Vec<(RumorOrder, RumorSlot)> {
        let mut room = limit;
        let mut chosen = Vec::new();
        for entry in &self.order {
            let bytes = self.rumors.get(&entry.1).map_or(0, |queued| queued.bytes);
            if bytes > room && !chosen.is_empty() {
                break;
            }
            room = room.saturating_sub(bytes);
            chosen.push(entry.clone());
        }
        chosen
    }
}
