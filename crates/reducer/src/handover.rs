//! Handover of the ledger on a planned stop.
//!
//! The node that stops sends its claims in parts to a successor, which confirms each. A part
//! without a confirmation is sent again; a successor that stays silent is given up for the next
//! candidate. Receiving a part twice is harmless.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jaysaddle_ledger::LedgerSnapshot;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::messages::LedgerHandoverMessage;
use jaysaddle_wire::messages::NodeRun;
use jaysaddle_wire::messages::PeerBody;

use crate::ledger_wire;

/// Time until a part without a confirmation is sent again.
const RESEND_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// Time for which one candidate may take to confirm all parts.
const CANDIDATE_TIME: TimeSpan = TimeSpan::from_secs(5);

/// The sending side.
#[derive(Clone, Debug)]
pub struct HandoverSender {
    parts: Vec<LedgerHandoverMessage>,
    confirmed: Vec<bool>,
    candidates: Vec<(NodeKey, SocketAddr)>,
    started: Timestamp,
    last_sent: Option<Timestamp>,
}

impl HandoverSender {
    /// Starts to hand `snapshot` over to the first of `candidates`.
    pub fn new(
        snapshot: LedgerSnapshot,
        candidates: Vec<(NodeKey, SocketAddr)>,
        now: Timestamp,
    ) -> Self {
        let parts = ledger_wire::handover_parts(snapshot);
        Self {
            confirmed: vec![false; parts.len()],
            parts,
            candidates,
            started: now,
            last_sent: None,
        }
    }

    /// Records a confirmation.
    pub fn acknowledged(&mut self, part: u32) {
        let index = usize::try_from(part).unwrap_or(usize::MAX);
        if let Some(confirmed) = self.confirmed.get_mut(index) {
            *confirmed = true;
        }
    }

    /// The successor, once it has confirmed every part.
    pub fn successor_if_complete(&self) -> Option<NodeKey> {
        let (successor, _) = self.candidates.first()?;
        self.confirmed
            .iter()
            .all(|confirmed| *confirmed)
            .then(|| successor.clone())
    }

    /// Messages that are due now; `None` when no candidate is left.
    pub fn due_parts(&mut self, now: Timestamp) -> Option<Vec<(SocketAddr, PeerBody)>> {
        if now.since(self.started) >= CANDIDATE_TIME && !self.candidates.is_empty() {
            self.candidates.remove(0);
            self.confirmed.fill(false);
            self.started = now;
            self.last_sent = None;
        }
        let (_, to) = self.candidates.first()?;
        let due = self
            .last_sent
            .is_none_or(|sent| now.since(sent) >= RESEND_INTERVAL);
        if !due {
            return Some(Vec::new());
        }
        self.last_sent = Some(now);
        let messages = self
            .parts
            .iter()
            .zip(&self.confirmed)
            .filter(|(_, confirmed)| !**confirmed)
            .map(|(part, _)| (*to, PeerBody::LedgerHandover(part.clone())))
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
