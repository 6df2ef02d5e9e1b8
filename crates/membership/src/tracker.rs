//! The membership tracker: state, merging of rumors and queries.

use std::net::SocketAddr;

use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_wire::messages::WireRumor;

use crate::claim::NodeClaim;
use crate::convert::DecodedRumor;
use crate::convert::claim_to_wire;
use crate::convert::fact_to_wire;
use crate::convert::rumor_from_wire;
use crate::event::MembershipEffect;
use crate::event::MembershipEvent;
use crate::event::RumorBody;
use crate::facts::FactRumor;
use crate::facts::FactSlot;
use crate::facts::FactTable;
use crate::outbox::RumorOutbox;
use crate::outbox::RumorSlot;
use crate::peers::MergeOutcome;
use crate::peers::PeerTable;
use crate::probe::ProbeSchedule;
use crate::random::SeededRandom;
use crate::recent_peers::LostAddresses;
use crate::recent_peers::RecentPeers;
use crate::settings::MembershipSettings;
use crate::sync::SyncView;
use crate::timers::TimerTable;

/// Revision of a run's first claim. Revision 0 would be indistinguishable from an unknown
/// origin in digests.
const FIRST_REVISION: u64 = 1;

/// Added to all times, so that the death of a node can predate the start of this machine's clock.
const CLOCK_OFFSET: TimeSpan = TimeSpan::from_secs(24 * 3600);

/// Tracks the nodes of the cluster and disseminates rumors between them.
///
/// # Invariants
///
/// `peers` holds this node's own run, and every origin in `facts` is in `peers`.
#[derive(Clone, Debug)]
pub struct MembershipTracker {
    pub(crate) settings: MembershipSettings,
    pub(crate) own: NodeKey,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) random: SeededRandom,
    pub(crate) peers: PeerTable,
    pub(crate) facts: FactTable,
    pub(crate) outbox: RumorOutbox,
    pub(crate) schedule: ProbeSchedule,
    pub(crate) recent_peers: RecentPeers,
    pub(crate) lost_addresses: LostAddresses,
    pub(crate) timers: TimerTable,
    pub(crate) effects: Vec<MembershipEffect>,
    /// Sequence number of the last published fact.
    sequence: u64,
    /// Whether this node has sent its leave notice or was superseded; it ignores
    /// all further events.
    pub(crate) stopped: bool,
}

impl MembershipTracker {
    /// Creates a tracker whose table holds only its own node; it discovers peers through
    /// the seed addresses.
    pub fn new(
        settings: MembershipSettings,
        own: NodeRecord,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        let mut peers = PeerTable::new(settings.dead_retention);
        let claim = NodeClaim {
            record: own.clone(),
            revision: FIRST_REVISION,
            state: NodeState::Alive,
            reporter: None,
            dead_for: TimeSpan(0),
        };
        peers.insert(&claim, Timestamp(0));
        Self {
            settings,
            own: own.key,
            seeds,
            random: SeededRandom::new(seed),
            peers,
            facts: FactTable::default(),
            outbox: RumorOutbox::default(),
            schedule: ProbeSchedule::default(),
            recent_peers: RecentPeers::default(),
            lost_addresses: LostAddresses::default(),
            timers: TimerTable::default(),
            effects: Vec::new(),
            sequence: 0,
            stopped: false,
        }
    }

    /// Processes one event and returns the resulting effects.
    pub fn step(&mut self, event: MembershipEvent, now: Timestamp) -> Vec<MembershipEffect> {
        if self.stopped {
            return Vec::new();
        }
        let now = now + CLOCK_OFFSET;
        match event {
            MembershipEvent::Tick => self.tick(now),
            MembershipEvent::Received(message) => self.receive(&message, now),
            MembershipEvent::SendFailed(address) => self.schedule.fail_direct(address, now),
            MembershipEvent::Publish(body) => self.publish(body, now),
            MembershipEvent::Leave => self.leave(now),
            MembershipEvent::Stop => self.stop(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns all node runs in the table, including this node's own.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeRecord, NodeState)> {
        self.peers
            .iter()
            .map(|(_, entry)| (&entry.record, entry.state))
    }

    /// Returns the record and state of one node run.
    pub fn record(&self, key: &NodeKey) -> Option<(&NodeRecord, NodeState)> {
        let entry = self.peers.get(key)?;
        Some((&entry.record, entry.state))
    }

    /// Returns the record and state of the latest run of a node.
    pub fn latest_run(&self, id: &NodeId) -> Option<(&NodeRecord, NodeState)> {
        let entry = self.peers.latest_run(id)?;
        Some((&entry.record, entry.state))
    }

    /// Returns the share of peers that answer this node, in permille; 1000 if there are none.
    ///
    /// Peers that died without a leave notice count as unreachable until their records are removed.
    /// The reachable share of live peers is estimated from the latest probes, because a round over
    /// all peers takes minutes in a large cluster.
    pub fn reachable_permille(&self, now: Timestamp) -> u32 {
        self.reachable(now + CLOCK_OFFSET)
    }

    /// As [`Self::reachable_permille`], for a time that includes the clock offset.
    pub(crate) fn reachable(&self, now: Timestamp) -> u32 {
        let recent = |since| now.since(since) < self.settings.dead_retention;
        let mut live = 0;
        let mut lost = 0;
        for (key, entry) in self.peers.iter() {
            if *key != self.own && entry.is_live() {
                live += 1;
            } else if entry.may_rejoin() && recent(entry.since) {
                lost += 1;
            }
        }
        let (answered, probed) = self.schedule.outcomes();
        let (answered, probed) = if probed == 0 {
            (1, 1)
        } else {
            (answered, probed)
        };
        let permille = (1000 * live * answered).checked_div((live + lost) * probed);
        permille.map_or(1000, |permille| permille as u32)
    }

    /// Returns the node run to which the ledger of `key` was handed over.
    pub fn ledger_successor(&self, key: &NodeKey) -> Option<&NodeKey> {
        match self.facts.body(key, &FactSlot::Handover)? {
            RumorBody::Handover(successor) => Some(successor),
            _ => None,
        }
    }

    pub(crate) fn sync_view(&self, now: Timestamp) -> SyncView<'_> {
        SyncView {
            peers: &self.peers,
            facts: &self.facts,
            now,
        }
    }

    fn publish(&mut self, body: RumorBody, now: Timestamp) {
        let slot = FactSlot::of(&body);
        // An unchanged fact is not sent again.
        if self.facts.body(&self.own, &slot) == Some(&body) {
            return;
        }
        self.sequence += 1;
        let fact = FactRumor {
            origin: self.own.clone(),
            sequence: self.sequence,
            body,
        };
        if self.facts.accept(&fact) {
            self.queue_fact(&fact, now);
        }
    }

    fn leave(&mut self, now: Timestamp) {
        let leaving = self
            .peers
            .get(&self.own)
            .is_some_and(|entry| entry.state == NodeState::Leaving);
        if !leaving {
            self.raise_own_claim(NodeState::Leaving, 0, now);
        }
    }

    fn stop(&mut self, now: Timestamp) {
        self.raise_own_claim(NodeState::Dead, 0, now);
        self.send_leave_notice(now);
        self.stopped = true;
    }

    /// Raises this node's revision above `observed_revision` and disseminates its state.
    fn raise_own_claim(&mut self, state: NodeState, observed_revision: u64, now: Timestamp) {
        let own = self.own.clone();
        let Some(entry) = self.peers.get_mut(&own) else {
            return;
        };
        entry.revision = entry.revision.max(observed_revision).saturating_add(1);
        entry.state = state;
        entry.since = now;
        self.queue_claim(&own, now);
    }

    /// Merges rumors and returns how many were new; malformed ones are skipped. Bulk transfers are
    /// not relayed, since other nodes have their contents already.
    pub(crate) fn apply_rumors(
        &mut self,
        rumors: &[WireRumor],
        relay: bool,
        now: Timestamp,
    ) -> usize {
        let mut new_rumors = 0;
        for rumor in rumors {
            let new = match rumor_from_wire(rumor) {
                Ok(DecodedRumor::Node(claim)) => self.apply_claim(&claim, relay, now),
                Ok(DecodedRumor::Fact(fact)) => self.apply_fact(fact, relay, now),
                Err(error) => {
                    let reason = format!("skipped a malformed rumor: {error}");
                    self.log_decision(self.own.clone(), "skip", &reason);
                    false
                }
            };
            new_rumors += usize::from(new);
        }
        new_rumors
    }

    fn apply_claim(&mut self, claim: &NodeClaim, relay: bool, now: Timestamp) -> bool {
        let key = &claim.record.key;
        if *key == self.own {
            self.refute_claim(claim, now);
            return false;
        }
        match self.peers.merge(claim, now) {
            MergeOutcome::Unchanged => false,
            MergeOutcome::Disputed => {
                self.schedule.queue_disputed(key.clone(), &mut self.random);
                false
            }
            MergeOutcome::Adopted { before, superseded } => {
                self.record_adopted(key, before);
                for old in superseded {
                    self.record_superseded(&old);
                }
                if relay {
                    self.queue_claim(key, now);
                }
                true
            }
        }
    }

    /// Refutes a claim that this run is suspect or dead, or any other claim that it has not made.
    fn refute_claim(&mut self, claim: &NodeClaim, now: Timestamp) {
        let Some(own) = self.peers.get(&self.own) else {
            return;
        };
        if claim.rank() > own.rank() {
            let state = own.state;
            self.raise_own_claim(state, claim.revision, now);
        }
    }

    fn record_adopted(&mut self, key: &NodeKey, before: Option<NodeState>) {
        let Some(entry) = self.peers.get(key) else {
            return;
        };
        let state = entry.state;
        let was_live = before.is_some_and(|state| state != NodeState::Dead);
        if entry.is_live() && !was_live {
            self.schedule.add_peer(key.clone(), &mut self.random);
        }
        if before != Some(state) {
            let reason = match (state, entry.reporter.as_ref()) {
                (NodeState::Dead, None) => "the node has stopped".to_owned(),
                (_, None) => "claimed by the node itself".to_owned(),
                (_, Some(peer)) => format!("claimed by {}/{}", peer.id, peer.incarnation),
            };
            self.report_state(key, &reason);
        }
    }

    pub(crate) fn record_superseded(&mut self, key: &NodeKey) {
        self.report_state(key, "superseded by a later run of the node");
        if *key == self.own {
            self.stopped = true;
        }
    }

    fn apply_fact(&mut self, fact: FactRumor, relay: bool, now: Timestamp) -> bool {
        let has_origin = self.peers.get(&fact.origin).is_some();
        // A fact that arrives before its origin's first claim is delivered later by anti-entropy.
        if fact.origin == self.own || !has_origin || !self.facts.accept(&fact) {
            return false;
        }
        if relay {
            self.queue_fact(&fact, now);
        }
        self.effects.push(MembershipEffect::RumorReceived {
            origin: fact.origin,
            body: fact.body,
        });
        true
    }

    pub(crate) fn queue_claim(&mut self, key: &NodeKey, now: Timestamp) {
        if let Some(entry) = self.peers.get(key) {
            let wire = claim_to_wire(&entry.claim(now));
            self.outbox.push(RumorSlot::Node(key.clone()), wire, now);
        }
    }

    fn queue_fact(&mut self, fact: &FactRumor, now: Timestamp) {
        let slot = RumorSlot::Fact(fact.origin.clone(), FactSlot::of(&fact.body));
        let wire = fact_to_wire(&fact.origin, fact.sequence, &fact.body);
        self.outbox.push(slot, wire, now);
    }

    /// Sets the state of a peer based on this node's own evidence and disseminates it.
    pub(crate) fn declare_state(
        &mut self,
        key: &NodeKey,
        state: NodeState,
        reason: &str,
        now: Timestamp,
    ) {
        let reporter = self.own.clone();
        let Some(entry) = self.peers.get_mut(key) else {
            return;
        };
        entry.state = state;
        entry.since = now;
        entry.reporter = Some(reporter);
        self.queue_claim(key, now);
        self.report_state(key, reason);
    }

    /// Reports the state of a node as an effect and in the log.
    fn report_state(&mut self, key: &NodeKey, reason: &str) {
        let Some(entry) = self.peers.get(key) else {
            return;
        };
        let state = entry.state;
        let record = entry.record.clone();
        self.effects
            .push(MembershipEffect::NodeChanged { record, state });
        let choice = match state {
            NodeState::Alive => "alive",
            NodeState::Suspect => "suspect",
            NodeState::Leaving => "leaving",
            NodeState::Dead => "dead",
        };
        self.log_decision(key.clone(), choice, reason);
    }

    fn log_decision(&mut self, subject: NodeKey, choice: &str, reason: &str) {
        let revision = self.peers.get(&subject).map_or(0, |entry| entry.revision);
        self.effects
            .push(MembershipEffect::Decision(DecisionRecord {
                kind: DecisionKind::Member,
                subject: format!("{}/{}", subject.id, subject.incarnation).into(),
                inputs: format!("revision={revision}").into(),
                choice: choice.into(),
                reason: reason.into(),
            }));
    }
}
