//! Queue of rumors that remain to be transmitted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::messages::WireRumor;
use prost::Message;

use crate::budget::ByteBudget;
use crate::facts::FactSlot;

/// Encoded size of tag and length of a rumor inside a message.
const RUMOR_OVERHEAD_BYTES: usize = 3;

/// Maximum time in the queue. When there are more rumors than the byte budget can
/// carry, anti-entropy delivers the rest with fewer bytes, because it sends only what
/// the other node lacks.
const MAX_QUEUE_TIME: TimeSpan = TimeSpan::from_secs(10);

/// Rate of rumor bytes per second, and the burst size. Half of the budget of 5 KB/s is for sending,
/// of which probes, anti-entropy and heartbeats need about 1 KB/s.
const URGENT_RATE: ByteCount = ByteCount(1000);
const URGENT_BURST: ByteCount = ByteCount(16 << 10);

/// Rate and burst size for account usage, which every node publishes and which remains
/// useful when delayed.
const ROUTINE_RATE: ByteCount = ByteCount(500);
const ROUTINE_BURST: ByteCount = ByteCount(4 << 10);

/// Remaining bytes in a message below which no routine rumor is added.
const MIN_ROUTINE_BYTES: usize = 256;

/// Subject of a rumor; a newer rumor replaces a queued one with the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RumorSlot {
    /// The state of a node run.
    Node(NodeKey),
    /// A fact, by origin and slot.
    Fact(NodeKey, FactSlot),
}

#[derive(Clone, Debug)]
struct QueuedRumor {
    wire: WireRumor,
    bytes: usize,
    order: RumorOrder,
    queued: Timestamp,
}

/// Transmission order: rumors with the fewest transmissions first, and the newest
/// first among those.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RumorOrder {
    transmissions: u32,
    /// Decreases with every queued rumor, so that newer rumors sort first.
    recency: u64,
}

/// Queued rumors. Account usage has its own queue and budget, so that it never delays other rumors.
#[derive(Clone, Debug)]
pub(crate) struct RumorOutbox {
    urgent: RumorQueue,
    routine: RumorQueue,
}

impl Default for RumorOutbox {
    fn default() -> Self {
        Self {
            urgent: RumorQueue::new(ByteBudget::new(URGENT_RATE, URGENT_BURST)),
            routine: RumorQueue::new(ByteBudget::new(ROUTINE_RATE, ROUTINE_BURST)),
        }
    }
}

impl RumorOutbox {
    /// Returns whether a queued rumor may be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.urgent.is_ready() || self.routine.is_ready()
    }

    pub(crate) fn push(&mut self, slot: RumorSlot, wire: WireRumor, now: Timestamp) {
        match slot {
            RumorSlot::Fact(_, FactSlot::Usage) => self.routine.push(slot, wire, now),
            _ => self.urgent.push(slot, wire, now),
        }
    }

    /// Refills the budgets and drops rumors that have been queued for too long.
    pub(crate) fn refresh(&mut self, now: Timestamp) {
        self.urgent.refresh(now);
        self.routine.refresh(now);
    }

    /// Takes rumors of at most `limit` bytes for one message and counts them as transmitted. A
    /// rumor larger than the limit is sent alone. A rumor is dropped after `max_transmissions`.
    pub(crate) fn pack(&mut self, limit: usize, max_transmissions: u32) -> Vec<WireRumor> {
        let mut wires = self.urgent.pack(limit, max_transmissions);
        let used: usize = wires.iter().map(|wire| wire.encoded_len()).sum();
        let remaining = limit.saturating_sub(used);
        if wires.is_empty() || remaining >= MIN_ROUTINE_BYTES {
            wires.extend(self.routine.pack(remaining, max_transmissions));
        }
        wires
    }
}

/// One queue of rumors with its budget.
///
/// # Invariants
///
/// `order` holds exactly the slots of `rumors`, each with its current order.
#[derive(Clone, Debug)]
struct RumorQueue {
    rumors: BTreeMap<RumorSlot, QueuedRumor>,
    order: BTreeSet<(RumorOrder, RumorSlot)>,
    next_recency: u64,
    budget: ByteBudget,
}

impl RumorQueue {
    fn new(budget: ByteBudget) -> Self {
        Self {
            rumors: BTreeMap::new(),
            order: BTreeSet::new(),
            next_recency: u64::MAX,
            budget,
        }
    }

    fn is_ready(&self) -> bool {
        !self.rumors.is_empty() && self.budget.has_credit()
    }

    fn push(&mut self, slot: RumorSlot, wire: WireRumor, now: Timestamp) {
        self.remove(&slot);
        let order = RumorOrder {
            transmissions: 0,
            recency: self.next_recency,
        };
        self.next_recency -= 1;
        let bytes = wire.encoded_len() + RUMOR_OVERHEAD_BYTES;
        self.order.insert((order, slot.clone()));
        let rumor = QueuedRumor {
            wire,
            bytes,
            order,
            queued: now,
        };
        self.rumors.insert(slot, rumor);
    }

    fn remove(&mut self, slot: &RumorSlot) {
        if let Some(old) = self.rumors.remove(slot) {
            self.order.remove(&(old.order, slot.clone()));
        }
    }

    fn refresh(&mut self, now: Timestamp) {
        self.budget.refill(now);
        let order = &mut self.order;
        self.rumors.retain(|slot, rumor| {
            let within_limit = now.since(rumor.queued) <= MAX_QUEUE_TIME;
            if !within_limit {
                order.remove(&(rumor.order, slot.clone()));
            }
            within_limit
        });
    }

    fn pack(&mut self, limit: usize, max_transmissions: u32) -> Vec<WireRumor> {
        if !self.is_ready() {
            return Vec::new();
        }
        let chosen = self.choose(limit);
        let mut wires = Vec::with_capacity(chosen.len());
        for (order, slot) in chosen {
            self.order.remove(&(order, slot.clone()));
            let Some(queued) = self.rumors.get_mut(&slot) else {
                continue;
            };
            self.budget.spend(queued.bytes);
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
        let mut remaining = limit;
        let mut chosen = Vec::new();
        for entry in &self.order {
            let bytes = self.rumors.get(&entry.1).map_or(0, |queued| queued.bytes);
            if bytes > remaining && !chosen.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(bytes);
            chosen.push(entry.clone());
        }
        chosen
    }
}
