//! Input of the control plane from the store and from peers.

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
            OfferOutcome::Applied => ("applied", format_compact!("received from {source}")),
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
            self.apply_config(now, effects);
        }
    }

    pub(crate) fn apply_config(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
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
        // Update the watchers before the targets: a node without other watchers in its list would
        // probe every VM itself.
        self.update_nodes(now, effects);
        let targets = HealthEvent::TargetsChanged(self.fleet.health_targets());
        self.step_health(targets, now, effects);
        let drains = HealthEvent::DrainsChanged(self.config.drains());
        self.step_health(drains, now, effects);
        self.update_shards(now, effects);
    }

    /// Passes the current shards to the lease table. A fabric domain without VMs keeps its shard
    /// while it has stored groups, since otherwise VMs that moved to another domain would never be
    /// released from them.
    fn update_shards(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        let mut shards = self.fleet.shards();
        for (domain, (_, document)) in self.shards.placements() {
            let is_listed = shards.iter().any(|location| location.shard == *domain);
            if !is_listed && !document.groups.is_empty() {
                shards.push(ShardLocation {
                    shard: domain.clone(),
                    region: self.own.region.clone(),
                });
            }
        }
        self.step_leases(LeaseEvent::ShardsChanged(shards), now, effects);
    }

    pub(crate) fn update_nodes(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
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
        self.step_health(HealthEvent::WatchersChanged(watchers), now, effects);
        self.step_leases(LeaseEvent::CandidatesChanged(candidates), now, effects);
    }

    pub(crate) fn handle_message(
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
            _ => self.step_membership(MembershipEvent::Received(message), now, effects),
        }
    }

    pub(crate) fn peer_address(&self, id: &str) -> Option<SocketAddr> {
        let id: NodeId = id.parse().ok()?;
        self.membership
            .latest_run(&id)
            .map(|(record, _)| record.peers)
    }

    pub(crate) fn message_from_self(&self, body: PeerBody) -> PeerMessage {
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
            message: self.message_from_self(body),
        });
    }

    pub(crate) fn handle_rumor(
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
                self.step_health(event, now, effects);
            }
            RumorBody::Documents(versions) => self.documents.record_announcement(origin, versions),
            RumorBody::Usage(usage) => {
                self.peer_usage.insert(origin, usage);
                self.view_changed = true;
            }
            RumorBody::Handover(_) => self.view_urgent = true,
        }
    }

    /// Announces documents that no peer has announced, and requests documents that a peer has in a
    /// higher version than this node.
    pub(crate) fn exchange_documents(&mut self, now: Timestamp, effects: &mut Vec<ControlEffect>) {
        if let Some(versions) = self.documents.due_announcement(&self.config, now) {
            let event = MembershipEvent::Publish(RumorBody::Documents(versions));
            self.step_membership(event, now, effects);
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
                message: self.message_from_self(body),
            });
        }
    }

    pub(crate) fn handle_usage(
        &mut self,
        usage: Vec<AccountUsage>,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        if usage != self.usage {
            self.usage = usage;
            self.view_changed = true;
        }
        let (published_at, published) = &self.published_usage;
        let factor = self.live_nodes().div_ceil(USAGE_NODES);
        let interval = USAGE_INTERVAL.as_millis() * u64::try_from(factor).unwrap_or(1);
        let due = now.since(*published_at).as_millis() >= interval;
        if due && differs_significantly(published, &self.usage) {
            self.published_usage = (now, self.usage.clone());
            let event = MembershipEvent::Publish(RumorBody::Usage(self.usage.clone()));
            self.step_membership(event, now, effects);
        }
    }

    pub(crate) fn handle_objects(
        &mut self,
        kind: ObjectKind,
        objects: Vec<StoredObject>,
        now: Timestamp,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.update_store_reachability(true, now, effects);
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
                ObjectKind::Placement => self.handle_placement(&object, now, effects),
                ObjectKind::Lease => {}
            }
        }
    }

    pub(crate) fn handle_placement(
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
                self.step_shards(event, now, effects);
                self.update_shards(now, effects);
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

/// Interval between rumors of account usage in a cluster of up to [`USAGE_NODES`] nodes. In larger
/// clusters, each node publishes its usage less often, so that the traffic per node stays constant.
const USAGE_INTERVAL: TimeSpan = TimeSpan::from_secs(2);

/// Number of nodes up to which usage is published every [`USAGE_INTERVAL`].
const USAGE_NODES: usize = 7;

/// Returns whether the demand of an account differs by more than an eighth and at
/// least two requests.
fn differs_significantly(before: &[AccountUsage], after: &[AccountUsage]) -> bool {
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
