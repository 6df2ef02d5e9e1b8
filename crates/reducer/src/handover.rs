//! Handover of the ledger on a planned stop.
//!
//! The stopping node sends its claims in parts to a single successor, which acknowledges each part.
//! Unacknowledged parts are sent again; receiving a part twice is idempotent. No second successor
//! is tried: if the first one acknowledged too late, both would hold the ledger and could grant the
//! same key. Without a successor, requests with these keys count as may have run.

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

/// Time after which unacknowledged parts are sent again.
const RESEND_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Time within which the successor must acknowledge all parts.
const HANDOVER_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);

/// The stopping node's side of a handover.
#[derive(Clone, Debug)]
pub struct HandoverSender {
    /// Parts that the successor has not acknowledged.
    pending: Vec<LedgerHandoverMessage>,
    successor: Option<(NodeKey, SocketAddr)>,
    started: Timestamp,
    last_sent: Option<Timestamp>,
}

impl HandoverSender {
    /// Starts the handover of `snapshots`: this node's own claims, and those that it received from
    /// other nodes in earlier handovers.
    pub fn new(
        snapshots: Vec<LedgerSnapshot>,
        successor: Option<(NodeKey, SocketAddr)>,
        now: Timestamp,
    ) -> Self {
        Self {
            pending: snapshots
                .into_iter()
                .flat_map(ledger_wire::split_snapshot)
                .collect(),
            successor,
            started: now,
            last_sent: None,
        }
    }

    /// Records the acknowledgement of a part.
    pub fn record_ack(&mut self, ack: &HandoverAckMessage) {
        self.pending
            .retain(|part| part.part != ack.part || part.home != ack.home);
    }

    /// Returns the successor once it has acknowledged every part.
    pub fn successor_if_complete(&self) -> Option<NodeKey> {
        let (successor, _) = self.successor.as_ref()?;
        self.pending.is_empty().then(|| successor.clone())
    }

    /// Returns the messages that are due now, or `None` when there is no successor or when
    /// [`HANDOVER_TIMEOUT`] has passed.
    pub fn due_messages(&mut self, now: Timestamp) -> Option<Vec<(SocketAddr, PeerBody)>> {
        if now.since(self.started) >= HANDOVER_TIMEOUT {
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

/// The successor's side: parts of incomplete handovers.
#[derive(Clone, Debug, Default)]
pub struct HandoverReceiver {
    parts: BTreeMap<(String, u64), BTreeMap<u32, LedgerHandoverMessage>>,
}

/// Maximum number of incomplete handovers retained; a node that fails during its handover leaves an
/// incomplete one behind.
const MAX_INCOMPLETE_HANDOVERS: usize = 16;

impl HandoverReceiver {
    /// Stores a part; returns the complete snapshot when no part is missing any more.
    pub fn receive(&mut self, message: LedgerHandoverMessage) -> Option<LedgerSnapshot> {
        let home: NodeRun = message.home.clone()?;
        let key = (home.id, home.incarnation);
        if !self.parts.contains_key(&key) && self.parts.len() >= MAX_INCOMPLETE_HANDOVERS {
            self.parts.pop_first();
        }
        let total = usize::try_from(message.parts).unwrap_or(usize::MAX);
        let parts = self.parts.entry(key.clone()).or_default();
        parts.insert(message.part, message);
        if parts.len() < total {
            return None;
        }
        let parts = self.parts.remove(&key)?;
        ledger_wire::join_snapshot(parts.into_values().collect())
    }
}
