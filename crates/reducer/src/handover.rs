//! Handover of the ledger on a planned stop.
//!
//! The node that stops sends its claims in parts to one successor, which confirms each. A part
//! without a confirmation is sent again, and receiving a part twice is harmless. There is no second
//! candidate: a first one that confirmed too late would hold the ledger as well, and both could grant
//! one key. Without a successor, the keys count as may have run.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jaysaddle_ledger::LedgerSnapshot;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::messages::HandoverAckMessage;
use jaysaddle_wire::messages::LedgerHandoverMessage;
use jaysaddle_wire::messages::NodeRun;
use jaysaddle_wire::messages::PeerBody;

use crate::ledger_wire;

/// Time until a part without a confirmation is sent again.
const RESEND_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Time for which the successor may take to confirm all parts.
const SUCCESSOR_TIME: TimeSpan = TimeSpan::from_secs(10);

/// The sending side.
#[derive(Clone, Debug)]
pub struct HandoverSender {
    /// Parts without a confirmation yet.
    pending: Vec<LedgerHandoverMessage>,
    successor: Option<(NodeKey, SocketAddr)>,
    started: Timestamp,
    last_sent: Option<Timestamp>,
}

impl HandoverSender {
    /// Starts to hand `snapshots` over: this node's claims, and those that it took over itself.
    pub fn new(
        snapshots: Vec<LedgerSnapshot>,
        successor: Option<(NodeKey, SocketAddr)>,
        now: Timestamp,
    ) -> Self {
        Self {
            pending: snapshots
                .into_iter()
                .flat_map(ledger_wire::handover_parts)
                .collect(),
            successor,
            started: now,
            last_sent: None,
        }
    }

    /// Records a confirmation.
    pub fn acknowledged(&mut self, ack: &HandoverAckMessage) {
        self.pending
            .retain(|part| part.part != ack.part || part.home != ack.home);
    }

    /// The successor, once it has confirmed every part.
    pub fn successor_if_complete(&self) -> Option<NodeKey> {
        let (successor, _) = self.successor.as_ref()?;
        self.pending.is_empty().then(|| successor.clone())
    }

    /// Messages that are due now; `None` when there is no successor or it stays silent.
    pub fn due_parts(&mut self, now: Timestamp) -> Option<Vec<(SocketAddr, PeerBody)>> {
        if now.since(self.started) >= SUCCESSOR_TIME {
            return None;
        }
        let to = self.successor.as_ref()?.1;
        let due = self
            .last_sent
            .is_none_or(|sent| now.since(sent) >= RESEND_INTERVAL);
        if !due {
            return Some(Vec::new());
        }
        self.last_sent = Some(now);
        let messages = self
            .pending
            .iter()
            .map(|part| (to, PeerBody::LedgerHandover(part.clone())))
            .collect();
        Some(messages)
    }
}

/// The receiving side: parts of handovers that are not complete yet.
#[derive(Clone, Debug, Default)]
pub struct HandoverReceiver {
    parts: BTreeMap<(String, u64), BTreeMap<u32, LedgerHandoverMessage>>,
}

/// Incomplete handovers kept at most; a node that fails in the middle of one leaves it behind.
const MAX_INCOMPLETE: usize = 16;

impl HandoverReceiver {
    /// Takes a part; returns the whole ledger when this was the last missing one.
    pub fn receive(&mut self, message: LedgerHandoverMessage) -> Option<LedgerSnapshot> {
        let home: NodeRun = message.home.clone()?;
        let key = (home.id, home.incarnation);
        if !self.parts.contains_key(&key) && self.parts.len() >= MAX_INCOMPLETE {
            self.parts.pop_first();
        }
        let total = usize::try_from(message.parts).unwrap_or(usize::MAX);
        let parts = self.parts.entry(key.clone()).or_default();
        parts.insert(message.part, message);
        if parts.len() < total {
            return None;
        }
        let parts = self.parts.remove(&key)?;
        ledger_wire::snapshot_from(parts.into_values().collect())
    }
}
