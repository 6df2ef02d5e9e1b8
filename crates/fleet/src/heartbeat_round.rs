//! Rounds of heartbeats: who gets them, and which of them with a digest.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::digest::PeerDigest;
use crate::peers::PeerHeartbeat;
use crate::peers::PeerPhase;
use crate::peers::PeerTable;
use crate::relays::MAX_DIRECT_PEERS;
use crate::relays::RelayCandidate;

/// Number of peers beside the relays to which a node of a large deployment sends each heartbeat, in turn, so that they
/// learn its addresses even if the relays do not know all nodes.
const ROTATION_PEERS: usize = 2;
/// A relay sends a digest to each node once in this number of rounds.
const DIGEST_ROUNDS: usize = 2;
/// Time for which a node sends its heartbeats to all others, in turn, after it has started or has ceased to be a relay.
const ANNOUNCE_TIME: TimeSpan = TimeSpan::from_secs(10);
/// Minimum time between two rounds in which a relay sends to all nodes because something is urgent.
const URGENT_INTERVAL: TimeSpan = TimeSpan(100);

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedBeat {
    /// Address of the recipient.
    pub recipient: SocketAddr,
    /// Digest to add to the heartbeat.
    pub digest: Option<PeerDigest>,
}

/// Determines the recipients of a node's heartbeats from round to round.
#[derive(Debug)]
pub struct RoundPlanner {
    round: usize,
    /// Relays as this node chooses them; empty in a small deployment.
    relays: Vec<NodeId>,
    is_relay: bool,
    /// Whether this round goes to all nodes, if this node is a relay.
    is_urgent: bool,
    /// Until when the peers have to learn that this node has started, or is no longer a relay.
    announce_until: Timestamp,
    /// When digests were last sent to all nodes.
    last_urgent: Timestamp,
}

impl RoundPlanner {
    /// Creates the planner of a node that starts at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self {
            round: 0,
            relays: Vec::new(),
            is_relay: false,
            is_urgent: false,
            announce_until: now + ANNOUNCE_TIME,
            last_urgent: now,
        }
    }

    /// Begins a round. `is_urgent` says whether the peers should learn of this node's state at once. The holder of the
    /// controller's lease needs the state of all nodes, so it is always a relay. Returns whether this node has become a
    /// relay or ceased to be one.
    pub fn begin(
        &mut self,
        peers: &PeerTable,
        own: RelayCandidate<'_>,
        is_holder: bool,
        is_urgent: bool,
        now: Timestamp,
    ) -> bool {
        self.round += 1;
        self.relays = peers.relays(own, now);
        let is_large = !self.relays.is_empty();
        let was_relay = self.is_relay;
        self.is_relay = is_large && (is_holder || self.relays.contains(own.node));
        let has_changed = self.is_relay != was_relay;
        if has_changed {
            self.announce_until = now + ANNOUNCE_TIME;
        }
        self.is_urgent = is_urgent && now.since(self.last_urgent) >= URGENT_INTERVAL;
        if self.is_urgent {
            self.last_urgent = now;
        }
        has_changed
    }

    /// Whether this node is a relay.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Relays as this node chooses them; empty in a small deployment.
    pub fn relays(&self) -> &[NodeId] {
        &self.relays
    }

    /// The heartbeats of this round. `own` is this node's heartbeat without a digest.
    pub fn beats(
        &self,
        peers: &PeerTable,
        addresses: &BTreeSet<SocketAddr>,
        own: &PeerHeartbeat,
        now: Timestamp,
    ) -> Vec<AddressedBeat> {
        let mut plain = self.rotation(addresses, own.peer_address, now);
        let mut beats = Vec::new();
        let builder = self.is_relay.then(|| peers.digests(own, now));
        for (position, record) in peers.live(now).enumerate() {
            let heartbeat = &record.heartbeat;
            if self.is_relay_peer(heartbeat) {
                plain.insert(heartbeat.peer_address);
                continue;
            }
            let is_turn = (position + self.round).is_multiple_of(DIGEST_ROUNDS);
            let gets_digest = heartbeat.phase != PeerPhase::Stopping && (is_turn || self.is_urgent);
            if let Some(builder) = builder.as_ref().filter(|_| gets_digest) {
                plain.remove(&heartbeat.peer_address);
                beats.push(AddressedBeat {
                    recipient: heartbeat.peer_address,
                    digest: Some(peers.digest_for(builder, &heartbeat.node, now)),
                });
            }
        }
        let plain = plain.into_iter().map(|recipient| AddressedBeat {
            recipient,
            digest: None,
        });
        beats.extend(plain);
        beats
    }

    fn is_relay_peer(&self, heartbeat: &PeerHeartbeat) -> bool {
        !self.relays.is_empty() && (heartbeat.is_relay || self.relays.contains(&heartbeat.node))
    }

    /// Addresses that change from round to round: as many as there are direct peers in a small deployment.
    fn rotation(
        &self,
        addresses: &BTreeSet<SocketAddr>,
        own: SocketAddr,
        now: Timestamp,
    ) -> BTreeSet<SocketAddr> {
        let others: Vec<SocketAddr> = addresses
            .iter()
            .copied()
            .filter(|address| *address != own)
            .collect();
        let is_wide = self.relays.is_empty() || now < self.announce_until;
        let count = if is_wide {
            MAX_DIRECT_PEERS
        } else {
            ROTATION_PEERS
        };
        let count = count.min(others.len());
        (0..count)
            .map(|offset| others[(self.round * count + offset) % others.len()])
            .collect()
    }
}
