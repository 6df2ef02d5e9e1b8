//! Order in which peers are probed, and probes that await a response.

use std::collections::VecDeque;
use std::net::SocketAddr;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::peers::PeerTable;
use crate::random::SeededRandom;

/// Maximum number of disputed nodes that wait for a probe.
const MAX_DISPUTED: usize = 512;

/// Lower and upper limit of the number of recent probe results used to compute the share
/// of reachable peers.
const MIN_OUTCOMES: usize = 4;
const MAX_OUTCOMES: usize = 16;

/// Phase of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbePhase {
    /// Sent over the existing connection.
    Direct,
    /// Sent again over a new connection, and indirectly through other nodes.
    Retried,
}

/// A probe that awaits its response.
#[derive(Clone, Debug)]
pub(crate) struct PendingProbe {
    pub(crate) nonce: u64,
    pub(crate) target: NodeKey,
    pub(crate) address: SocketAddr,
    pub(crate) phase: ProbePhase,
    pub(crate) deadline: Timestamp,
}

/// Round robin over a shuffled list of peers, and the pending probes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeSchedule {
    round: Vec<NodeKey>,
    disputed: VecDeque<NodeKey>,
    pending: Vec<PendingProbe>,
    outcomes: VecDeque<bool>,
}

impl ProbeSchedule {
    /// Returns the next peer to probe: a disputed node first, then the round robin.
    pub(crate) fn next(
        &mut self,
        peers: &PeerTable,
        own: &NodeKey,
        random: &mut SeededRandom,
    ) -> Option<NodeKey> {
        if let Some(key) = self.next_disputed(peers) {
            return Some(key);
        }
        for attempt in 0..2 {
            while let Some(key) = self.round.pop() {
                if peers.get(&key).is_some_and(|entry| entry.is_live()) {
                    return Some(key);
                }
            }
            if attempt == 0 {
                self.fill_round(peers, own, random);
            }
        }
        None
    }

    fn next_disputed(&mut self, peers: &PeerTable) -> Option<NodeKey> {
        loop {
            let key = self.disputed.pop_front()?;
            let probeable = peers
                .get(&key)
                .is_some_and(|entry| entry.is_live() || entry.may_rejoin());
            if probeable {
                return Some(key);
            }
        }
    }

    fn fill_round(&mut self, peers: &PeerTable, own: &NodeKey, random: &mut SeededRandom) {
        self.round = peers
            .iter()
            .filter(|(key, entry)| *key != own && entry.is_live())
            .map(|(key, _)| key.clone())
            .collect();
        random.shuffle(&mut self.round);
    }

    /// Inserts a new peer at a random position of the current round, so that it need not wait for
    /// the next one.
    pub(crate) fn add_peer(&mut self, key: NodeKey, random: &mut SeededRandom) {
        let position = random.next_below(self.round.len() + 1);
        self.round.insert(position, key);
    }

    /// Queues a node whose state is disputed for an early probe.
    pub(crate) fn queue_disputed(&mut self, key: NodeKey, random: &mut SeededRandom) {
        if self.disputed.len() >= MAX_DISPUTED || self.disputed.contains(&key) {
            return;
        }
        // A random position keeps nodes that receive the same list from probing in the same order.
        let position = random.next_below(self.disputed.len() + 1);
        self.disputed.insert(position, key);
    }

    pub(crate) fn start(&mut self, probe: PendingProbe) {
        self.pending.push(probe);
    }

    /// Removes and returns the probes whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<PendingProbe> {
        let is_expired = |probe: &mut PendingProbe| probe.deadline <= now;
        self.pending.extract_if(.., is_expired).collect()
    }

    /// Removes and returns the probe that a response belongs to.
    pub(crate) fn take_acknowledged(
        &mut self,
        nonce: u64,
        responder: &NodeKey,
    ) -> Option<PendingProbe> {
        let position = self
            .pending
            .iter()
            .position(|probe| probe.nonce == nonce && probe.target == *responder)?;
        Some(self.pending.swap_remove(position))
    }

    /// Expires the direct phase of probes to an address that cannot be reached.
    pub(crate) fn fail_direct(&mut self, address: SocketAddr, now: Timestamp) {
        for probe in &mut self.pending {
            if probe.address == address && probe.phase == ProbePhase::Direct {
                probe.deadline = now;
            }
        }
    }

    /// Extends all deadlines by the length of a pause of this node.
    pub(crate) fn extend_deadlines(&mut self, span: TimeSpan) {
        for probe in &mut self.pending {
            probe.deadline = probe.deadline + span;
        }
    }

    /// Records whether a probed peer answered this node directly.
    pub(crate) fn record_outcome(&mut self, answered: bool, peers: usize) {
        self.outcomes.push_back(answered);
        let kept = peers.clamp(MIN_OUTCOMES, MAX_OUTCOMES);
        while self.outcomes.len() > kept {
            self.outcomes.pop_front();
        }
    }

    /// Returns how many of the latest probes were answered, and how many there were.
    pub(crate) fn outcomes(&self) -> (usize, usize) {
        let answered = self.outcomes.iter().filter(|answered| **answered).count();
        (answered, self.outcomes.len())
    }
}
