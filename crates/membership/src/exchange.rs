//! Sending and receiving of membership messages.

use std::net::SocketAddr;

use jaysaddle_types::ids::IdError;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::messages::AckMessage;
use jaysaddle_wire::messages::OriginDigest;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;
use jaysaddle_wire::messages::PingMessage;
use jaysaddle_wire::messages::PingRequestMessage;
use jaysaddle_wire::messages::SyncReplyMessage;
use jaysaddle_wire::messages::SyncRequestMessage;
use jaysaddle_wire::messages::WireRumor;
use jaysaddle_wire::messages::WireRumorBody;
use prost::Message;

use crate::convert::claim_to_wire;
use crate::convert::key_from_wire;
use crate::convert::run_to_wire;
use crate::event::MembershipEffect;
use crate::tracker::MembershipTracker;

/// Number of peers that receive each push of new rumors.
const PUSH_FANOUT: usize = 2;

/// Number of times a node transmits one rumor: a multiple of log2 of the number of nodes, and its
/// lower bound. Anti-entropy delivers rumors that miss a node.
const TRANSMISSION_FACTOR: u32 = 2;
const MIN_TRANSMISSIONS: u32 = 4;

/// Size of rumors in one anti-entropy message, in bytes. Larger replies are split so that they do
/// not delay other messages.
const SYNC_CHUNK_BYTES: usize = 32 << 10;

/// Number of rumors in one message above which it counts as a bulk transfer, whose rumors are not
/// relayed. If more than this number are new, the next exchange follows early.
const BULK_RUMORS: usize = 32;

/// Time until the next exchange after a bulk transfer.
const BULK_SYNC_INTERVAL: TimeSpan = TimeSpan::from_secs(2);

impl MembershipTracker {
    pub(crate) fn receive(&mut self, message: &PeerMessage, now: Timestamp) {
        let Ok(from) = sender_of(message) else {
            return;
        };
        // A superseded run may still be running, because it has not received its successor's
        // claim yet; its messages are ignored.
        if from.id == self.own.id || self.peers.is_superseded(&from) {
            return;
        }
        let was_live = self.is_live(&from);
        let revision = self.own_revision();
        self.receive_rumors(message, now);
        for old in self.peers.mark_older_dead(&from, now) {
            self.record_superseded(&old);
        }
        self.recent_peers.insert(&from);
        let refuted = self.own_revision() != revision;
        match &message.body {
            Some(PeerBody::Ping(ping)) => self.receive_ping(&from, ping, refuted, now),
            Some(PeerBody::Ack(ack)) => self.receive_ack(&from, ack, was_live, now),
            Some(PeerBody::PingRequest(request)) => self.receive_ping_request(&from, request, now),
            Some(PeerBody::SyncRequest(request)) => self.receive_sync_request(&from, request, now),
            Some(PeerBody::SyncReply(reply)) => self.receive_sync_reply(&from, reply, now),
            _ => {}
        }
    }

    fn receive_rumors(&mut self, message: &PeerMessage, now: Timestamp) {
        let rumors: &[WireRumor] = match &message.body {
            Some(PeerBody::Ping(ping)) => &ping.rumors,
            Some(PeerBody::Ack(ack)) => &ack.rumors,
            Some(PeerBody::PingRequest(request)) => &request.rumors,
            Some(PeerBody::SyncRequest(request)) => &request.rumors,
            Some(PeerBody::SyncReply(reply)) => &reply.rumors,
            _ => &[],
        };
        let relay = rumors.len() <= BULK_RUMORS;
        let new_rumors = self.apply_rumors(rumors, relay, now);
        if new_rumors > BULK_RUMORS {
            let early_sync = now + BULK_SYNC_INTERVAL;
            self.timers.next_sync = self.timers.next_sync.min(early_sync);
        }
    }

    fn receive_ping(&mut self, from: &NodeKey, ping: &PingMessage, refuted: bool, now: Timestamp) {
        let sender_claimed = ping.rumors.iter().any(|rumor| is_about(rumor, from));
        let rumors = self.rumors_for(Some(from), refuted || sender_claimed, now);
        let ack = AckMessage {
            nonce: ping.nonce,
            responder: Some(run_to_wire(&self.own)),
            rumors,
            relay_to: ping.relay_to.clone(),
        };
        self.send_to(from, PeerBody::Ack(ack));
    }

    fn receive_ack(&mut self, from: &NodeKey, ack: &AckMessage, was_live: bool, now: Timestamp) {
        if let Some(address) = &ack.relay_to {
            self.forward_ack(ack, address, now);
            return;
        }
        if let Ok(responder) = key_from_wire(ack.responder.as_ref())
            && self
                .schedule
                .take_acknowledged(ack.nonce, &responder)
                .is_some()
        {
            self.record_outcome(responder == *from);
        }
        // A response of a node that was considered dead, or was not in the table, connects two
        // partitions of the cluster.
        if !was_live && self.is_live(from) {
            self.start_sync(from, now);
        }
    }

    fn forward_ack(&mut self, ack: &AckMessage, address: &str, now: Timestamp) {
        let Ok(to) = address.parse::<SocketAddr>() else {
            return;
        };
        let forwarded = AckMessage {
            nonce: ack.nonce,
            responder: ack.responder.clone(),
            rumors: self.rumors_for(None, false, now),
            relay_to: None,
        };
        self.send(to, PeerBody::Ack(forwarded));
    }

    fn receive_ping_request(
        &mut self,
        from: &NodeKey,
        request: &PingRequestMessage,
        now: Timestamp,
    ) {
        let Ok(target) = request.target.parse::<SocketAddr>() else {
            return;
        };
        let Some(requester) = self.address_of(from) else {
            return;
        };
        let ping = PingMessage {
            nonce: request.nonce,
            relay_to: Some(requester.to_string()),
            rumors: self.rumors_for(None, true, now),
        };
        self.send(target, PeerBody::Ping(ping));
    }

    fn receive_sync_request(
        &mut self,
        from: &NodeKey,
        request: &SyncRequestMessage,
        now: Timestamp,
    ) {
        let view = self.sync_view(now);
        if request.bucket_count > 0 {
            let count = request.bucket_count as usize;
            let difference = view.compare(count, &request.buckets, &request.origins);
            self.send_difference(from, difference.rumors, difference.requested);
        } else if !request.origins.is_empty() {
            let rumors = view.rumors_for(&request.origins);
            self.send_difference(from, rumors, Vec::new());
        } else if view.digest() != request.digest {
            let reply = SyncReplyMessage {
                need_origins: true,
                buckets: view.bucket_hashes(view.bucket_count()),
                rumors: self.own_claim(now),
                request: None,
            };
            self.send_to(from, PeerBody::SyncReply(reply));
        }
    }

    fn receive_sync_reply(&mut self, from: &NodeKey, reply: &SyncReplyMessage, now: Timestamp) {
        let view = self.sync_view(now);
        if let Some(request) = &reply.request {
            let rumors = view.rumors_for(&request.origins);
            self.send_difference(from, rumors, Vec::new());
            return;
        }
        let buckets = view.differing_buckets(&reply.buckets);
        if !reply.need_origins || buckets.is_empty() {
            return;
        }
        let count = reply.buckets.len();
        let request = SyncRequestMessage {
            origins: view.origin_digests(count, &buckets),
            digest: 0,
            rumors: Vec::new(),
            bucket_count: count as u32,
            buckets,
        };
        self.send_to(from, PeerBody::SyncRequest(request));
    }

    /// Sends rumors in messages of bounded size; the last one carries the request.
    fn send_difference(
        &mut self,
        to: &NodeKey,
        rumors: Vec<WireRumor>,
        requested: Vec<OriginDigest>,
    ) {
        let mut chunk = SyncReplyMessage::default();
        let mut bytes = 0;
        for rumor in rumors {
            bytes += rumor.encoded_len();
            chunk.rumors.push(rumor);
            if bytes >= SYNC_CHUNK_BYTES {
                bytes = 0;
                let full = std::mem::take(&mut chunk);
                self.send_to(to, PeerBody::SyncReply(full));
            }
        }
        if !requested.is_empty() {
            chunk.request = Some(SyncRequestMessage {
                origins: requested,
                ..SyncRequestMessage::default()
            });
        }
        if !chunk.rumors.is_empty() || chunk.request.is_some() {
            self.send_to(to, PeerBody::SyncReply(chunk));
        }
    }

    pub(crate) fn start_sync(&mut self, to: &NodeKey, now: Timestamp) {
        self.timers.next_sync = now + self.sync_interval(now);
        let request = SyncRequestMessage {
            digest: self.sync_view(now).digest(),
            rumors: self.own_claim(now),
            ..SyncRequestMessage::default()
        };
        self.send_to(to, PeerBody::SyncRequest(request));
    }

    pub(crate) fn send_ping(
        &mut self,
        to: &NodeKey,
        nonce: u64,
        include_own_claim: bool,
        now: Timestamp,
    ) {
        let ping = PingMessage {
            nonce,
            relay_to: None,
            rumors: self.rumors_for(Some(to), include_own_claim, now),
        };
        self.send_to(to, PeerBody::Ping(ping));
    }

    pub(crate) fn send_ping_request(&mut self, to: &NodeKey, target: SocketAddr, nonce: u64) {
        let limit = self.settings.rumor_bytes.0 as usize;
        let request = PingRequestMessage {
            nonce,
            target: target.to_string(),
            rumors: self.take_rumors(limit),
        };
        self.send_to(to, PeerBody::PingRequest(request));
    }

    /// Pings an address outside the schedule. The ping carries this node's claim and the stored
    /// claim about `subject`, the last node that used the address.
    pub(crate) fn send_unscheduled_ping(
        &mut self,
        to: SocketAddr,
        subject: Option<&NodeKey>,
        now: Timestamp,
    ) {
        let ping = PingMessage {
            nonce: self.random.next_u64(),
            relay_to: None,
            rumors: self.rumors_for(subject, true, now),
        };
        self.send(to, PeerBody::Ping(ping));
    }

    /// Pushes new rumors to peers with open connections, within the byte budget.
    pub(crate) fn push_rumors(&mut self) {
        let limit = self.settings.rumor_bytes.0 as usize;
        let mut targets = self.recent_peers.pick(PUSH_FANOUT, &mut self.random);
        if targets.is_empty() {
            targets = self.pick_live(PUSH_FANOUT, None);
        }
        targets.retain(|key| self.is_live(key));
        for target in targets {
            let rumors = self.take_rumors(limit);
            self.send_rumors(&target, rumors);
        }
    }

    /// Announces the end of this node to several peers.
    pub(crate) fn send_leave_notice(&mut self, now: Timestamp) {
        let count = self.transmissions() as usize;
        for target in self.pick_live(count, None) {
            let rumors = self.own_claim(now);
            self.send_rumors(&target, rumors);
        }
    }

    fn send_rumors(&mut self, to: &NodeKey, rumors: Vec<WireRumor>) {
        if rumors.is_empty() {
            return;
        }
        let push = SyncReplyMessage {
            rumors,
            ..SyncReplyMessage::default()
        };
        self.send_to(to, PeerBody::SyncReply(push));
    }

    /// Selects the rumors for a message to `to`: this node's claim if `to` may lack it, a claim
    /// that `to` is suspect or dead so that it can refute it, and queued rumors.
    fn rumors_for(
        &mut self,
        to: Option<&NodeKey>,
        include_own_claim: bool,
        now: Timestamp,
    ) -> Vec<WireRumor> {
        let mut rumors = Vec::new();
        if include_own_claim {
            rumors.extend(self.own_claim(now));
        }
        let suspected = to
            .and_then(|key| self.peers.get(key))
            .filter(|entry| matches!(entry.state, NodeState::Suspect | NodeState::Dead));
        if let Some(entry) = suspected {
            rumors.push(claim_to_wire(&entry.claim(now)));
        }
        let limit = self.settings.rumor_bytes.0 as usize;
        rumors.extend(self.take_rumors(limit));
        rumors
    }

    /// Takes queued rumors for one message, within its size limit and the byte budgets.
    fn take_rumors(&mut self, limit: usize) -> Vec<WireRumor> {
        let transmissions = self.transmissions();
        self.outbox.pack(limit, transmissions)
    }

    fn transmissions(&self) -> u32 {
        let nodes = self.peers.iter().filter(|(_, entry)| entry.is_live());
        let nodes = nodes.count() as u32;
        let log2 = u32::BITS - nodes.leading_zeros();
        (TRANSMISSION_FACTOR * log2).max(MIN_TRANSMISSIONS)
    }

    fn own_claim(&self, now: Timestamp) -> Vec<WireRumor> {
        let entry = self.peers.get(&self.own);
        entry
            .map(|entry| claim_to_wire(&entry.claim(now)))
            .into_iter()
            .collect()
    }

    fn own_revision(&self) -> u64 {
        self.peers.get(&self.own).map_or(0, |entry| entry.revision)
    }

    fn is_live(&self, key: &NodeKey) -> bool {
        self.peers.get(key).is_some_and(|entry| entry.is_live())
    }

    pub(crate) fn address_of(&self, key: &NodeKey) -> Option<SocketAddr> {
        self.peers.get(key).map(|entry| entry.record.peers)
    }

    /// Picks up to `count` random live peers other than `except` and this node.
    pub(crate) fn pick_live(&mut self, count: usize, except: Option<&NodeKey>) -> Vec<NodeKey> {
        let mut keys: Vec<NodeKey> = self
            .peers
            .iter()
            .filter(|(key, entry)| entry.is_live() && **key != self.own && Some(*key) != except)
            .map(|(key, _)| key.clone())
            .collect();
        self.random.shuffle(&mut keys);
        keys.truncate(count);
        keys
    }

    fn send_to(&mut self, to: &NodeKey, body: PeerBody) {
        if let Some(address) = self.address_of(to) {
            self.send(address, body);
        }
    }

    fn send(&mut self, to: SocketAddr, body: PeerBody) {
        let message = PeerMessage {
            from_id: self.own.id.as_str().to_owned(),
            from_incarnation: self.own.incarnation.0,
            body: Some(body),
        };
        self.effects.push(MembershipEffect::Send { to, message });
    }
}

fn sender_of(message: &PeerMessage) -> Result<NodeKey, IdError> {
    Ok(NodeKey {
        id: message.from_id.parse()?,
        incarnation: Incarnation(message.from_incarnation),
    })
}

/// Returns whether a rumor is a claim about `key`.
fn is_about(rumor: &WireRumor, key: &NodeKey) -> bool {
    match &rumor.body {
        Some(WireRumorBody::Node(node)) => key_from_wire(node.node.as_ref()).as_ref() == Ok(key),
        _ => false,
    }
}
