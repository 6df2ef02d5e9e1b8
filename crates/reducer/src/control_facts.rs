//! Facts that reach the control lane from the store and from peers.

use std::net::SocketAddr;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::WatcherNode;
use jaysaddle_lease::LeaseCandidate;
use jaysaddle_lease::LeaseEvent;
use jaysaddle_lease::ShardLocation;
use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::RumorBody;
use jaysaddle_placement::ShardEvent;
use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::messages::DocumentReplyMessage;
use jaysaddle_wire::messages::DocumentRequestMessage;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;

use crate::config::OfferOutcome;
use crate::control::ControlState;
use crate::control_event::ControlEffect;
use crate::fleet::FleetIndex;

impl ControlState {
    pub(crate) fn offer_document(
        &mut self,
        name: &str,
        version: ObjectVersion,
        value: &str,
        source: &str,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        let outcome = self.config.offer(name, version, value);
        let (choice, reason) = match outcome {
            OfferOutcome::Older => return,
            OfferOutcome::Applied => ("applied", format_compact!("learned from {source}")),
            OfferOutcome::Invalid(message) => ("rejected", message),
        };
        effects.push(ControlEffect::Decision(DecisionRecord {
            kind: DecisionKind::Config,
            subject: name.into(),
            inputs: format_compact!("version={version}"),
            choice: choice.into(),
            reason,
        }));
        if choice == "applied" {
            self.config_changed(now, effects);
        }
    }

    pub(crate) fn config_changed(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        self.fleet = FleetIndex::from_inventories(self.config.inventories());
        self.view_urgent = true;
        for (vm, reason) in &self.fleet.conflicts {
            effects.push(ControlEffect::Decision(DecisionRecord {
                kind: DecisionKind::Config,
                subject: format_compact!("{vm}"),
                inputs: CompactString::default(),
                choice: "excluded".into(),
                reason: reason.clone(),
            }));
        }
        // Watchers come before targets: a node that knows no other watcher would probe every VM.
        self.nodes_changed(now, effects);
        let targets = HealthEvent::TargetsChanged(self.fleet.health_targets());
        self.health_step(targets, now, effects);
        let drains = HealthEvent::DrainsChanged(self.config.drains());
        self.health_step(drains, now, effects);
        self.shards_changed(now, effects);
    }

    /// Tells the leases which shards there are. A fabric domain without VMs still needs a holder
    /// while it has stored groups, or VMs that moved away would never be released there.
    fn shards_changed(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        let mut shards = self.fleet.shards();
        for (domain, (_, document)) in self.shards.placements() {
            let known = shards.iter().any(|place| place.shard == *domain);
            if !known && !document.groups.is_empty() {
                shards.push(ShardLocation {
                    shard: domain.clone(),
                    region: self.own.region.clone(),
                });
            }
        }
        self.lease_step(LeaseEvent::ShardsChanged(shards), now, effects);
    }

    pub(crate) fn nodes_changed(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        self.view_urgent = true;
        let nodes: Vec<NodeRecord> = self
            .membership
            .nodes()
            .filter(|(record, state)| match state {
                NodeState::Alive | NodeState::Suspect => true,
                NodeState::Leaving => record.key == self.own.key && !self.stopping,
                NodeState::Dead => false,
            })
            .map(|(record, _)| record.clone())
            .collect();
        let watchers = nodes
            .iter()
            .map(|record| WatcherNode {
                node: record.key.clone(),
                failure_domain: record.failure_domain.clone(),
            })
            .collect();
        let candidates = nodes
            .iter()
            .map(|record| LeaseCandidate {
                node: record.key.clone(),
                region: record.region.clone(),
            })
            .collect();
        self.documents
            .retain_nodes(|key| nodes.iter().any(|record| record.key == *key));
        self.peer_usage
            .retain(|key, _| nodes.iter().any(|record| record.key == *key));
        self.health_step(HealthEvent::WatchersChanged(watchers), now, effects);
        self.lease_step(LeaseEvent::CandidatesChanged(candidates), now, effects);
    }

    pub(crate) fn peer_received(
        &mut self,
        message: PeerMessage,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        match &message.body {
            Some(PeerBody::DocumentRequest(request)) => {
                let request = request.clone();
                self.reply_document(&message, &request, effects);
            }
            Some(PeerBody::DocumentReply(reply)) => {
                let reply = reply.clone();
                self.offer_document(
                    &reply.name,
                    ObjectVersion(reply.version),
                    &reply.value,
                    &message.from_id,
                    now,
                    effects,
                );
            }
            _ => self.membership_step(MembershipEvent::Received(message), now, effects),
        }
    }

    pub(crate) fn peer_address(&self, id: &str) -> Option<SocketAddr> {
        let id: NodeId = id.parse().ok()?;
        self.membership.by_id(&id).map(|(record, _)| record.peers)
    }

    pub(crate) fn own_message(&self, body: PeerBody) -> PeerMessage {
        PeerMessage {
            from_id: self.own.key.id.as_str().to_owned(),
            from_incarnation: self.own.key.incarnation.0,
            body: Some(body),
        }
    }

    pub(crate) fn reply_document(
        &self,
        message: &PeerMessage,
        request: &DocumentRequestMessage,
        effects: &mut Vec<ControlEffect>,
    ) {
        let Some(to) = self.peer_address(&message.from_id) else {
            return;
        };
        let Ok(kind) = request.name.parse() else {
            return;
        };
        let Some(entry) = self.config.entry(&kind) else {
            return;
        };
        if entry.version.0 < request.version {
            return;
        }
        let body = PeerBody::DocumentReply(DocumentReplyMessage {
            name: request.name.clone(),
            version: entry.version.0,
            value: entry.value.clone(),
        });
        effects.push(ControlEffect::SendPeer {
            to,
            message: self.own_message(body),
        });
    }

    pub(crate) fn rumor_received(
        &mut self,
        origin: NodeKey,
        body: RumorBody,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        match body {
            RumorBody::Vm(evidence) => {
                let event = HealthEvent::PeerFinding {
                    node: origin,
                    evidence,
                };
                self.health_step(event, now, effects);
            }
            RumorBody::Documents(versions) => self.documents.heard(origin, versions),
            RumorBody::Usage(usage) => {
                self.peer_usage.insert(origin, usage);
                self.view_changed = true;
            }
            RumorBody::Handover(_) => self.view_urgent = true,
        }
    }

    /// Announces documents that no peer announces, and asks for those that a peer has in a higher
    /// version.
    pub(crate) fn exchange_documents(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        if let Some(versions) = self.documents.due_announcement(&self.config, now) {
            let event = MembershipEvent::Publish(RumorBody::Documents(versions));
            self.membership_step(event, now, effects);
        }
        for request in self.documents.due_requests(&self.config, now) {
            let Some(to) = self.peer_address(request.source.id.as_str()) else {
                continue;
            };
            let body = PeerBody::DocumentRequest(DocumentRequestMessage {
                name: request.name.as_str().to_owned(),
                version: request.version.0,
            });
            effects.push(ControlEffect::SendPeer {
                to,
                message: self.own_message(body),
            });
        }
    }

    pub(crate) fn usage_measured(
        &mut self,
        usage: Vec<AccountUsage>,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        if usage != self.usage {
            self.usage = usage;
            self.view_changed = true;
        }
        let (spread_at, spread) = &self.usage_spread;
        let factor = self.live_nodes().div_ceil(USAGE_NODES);
        let interval = USAGE_INTERVAL.as_millis() * u64::try_from(factor).unwrap_or(1);
        let due = now.since(*spread_at).as_millis() >= interval;
        if due && differs_noticeably(spread, &self.usage) {
            self.usage_spread = (now, self.usage.clone());
            let event = MembershipEvent::Publish(RumorBody::Usage(self.usage.clone()));
            self.membership_step(event, now, effects);
        }
    }

    pub(crate) fn objects_changed(
        &mut self,
        kind: ObjectKind,
        objects: Vec<StoredObject>,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.store_answered(true, now, effects);
        for object in objects {
            match kind {
                ObjectKind::Config => self.offer_document(
                    &object.name,
                    object.version,
                    &object.value,
                    "watch",
                    now,
                    effects,
                ),
                ObjectKind::Placement => self.placement_changed(&object, now, effects),
                ObjectKind::Lease => {}
            }
        }
    }

    pub(crate) fn placement_changed(
        &mut self,
        object: &StoredObject,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        match serde_json::from_str::<PlacementDocument>(&object.value) {
            Ok(document) => {
                let event = ShardEvent::PlacementChanged {
                    version: object.version,
                    document,
                };
                self.shard_step(event, now, effects);
                self.shards_changed(now, effects);
                self.view_urgent = true;
            }
            Err(error) => effects.push(ControlEffect::Decision(DecisionRecord {
                kind: DecisionKind::Place,
                subject: object.name.clone(),
                inputs: format_compact!("version={}", object.version),
                choice: "ignored".into(),
                reason: format_compact!("the stored placement cannot be parsed: {error}"),
            })),
        }
    }
}

/// Time between rumors of account usage in a fleet of [`USAGE_NODES`] nodes. In larger fleets each
/// node spreads its usage less often, so that the bytes per node stay the same.
const USAGE_INTERVAL: TimeSpan = TimeSpan::from_secs(2);

/// Number of nodes up to which usage is spread every [`USAGE_INTERVAL`].
const USAGE_NODES: usize = 7;

/// Whether some account's demand differs by more than an eighth and at least two requests.
fn differs_noticeably(before: &[AccountUsage], after: &[AccountUsage]) -> bool {
    let wanted = |usage: &[AccountUsage], account: &AccountId| {
        usage
            .iter()
            .find(|entry| entry.account == *account)
            .map_or(0, |entry| entry.wanted.0)
    };
    before.iter().chain(after).any(|entry| {
        let old = wanted(before, &entry.account);
        let new = wanted(after, &entry.account);
        let change = old.abs_diff(new);
        change >= 2 && change > old.max(new) / 8
    })
}
