//! Table of node runs and the rules for merging claims into it.

use std::collections::BTreeMap;

use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::claim::ClaimRank;
use crate::claim::NodeClaim;

/// Remaining retention below which a dead node is not added. Otherwise, two nodes that remove it at
/// slightly different times would send it back to each other.
const RETENTION_MARGIN: TimeSpan = TimeSpan::from_secs(30);

/// Time after a death during which claims of life are assumed to predate it.
const STALE_CLAIM_WINDOW: TimeSpan = TimeSpan::from_secs(10);

/// State of one node run as seen by this node.
#[derive(Clone, Debug)]
pub(crate) struct PeerEntry {
    pub(crate) record: NodeRecord,
    pub(crate) revision: u64,
    pub(crate) state: NodeState,
    pub(crate) reporter: Option<NodeKey>,
    /// When the state was entered; for a dead node, the time of death.
    pub(crate) since: Timestamp,
}

impl PeerEntry {
    fn from_claim(claim: &NodeClaim, now: Timestamp) -> Self {
        Self {
            record: claim.record.clone(),
            revision: claim.revision,
            state: claim.state,
            reporter: claim.reporter.clone(),
            since: now - claim.dead_for,
        }
    }

    pub(crate) fn rank(&self) -> ClaimRank {
        ClaimRank::new(self.revision, self.state)
    }

    pub(crate) fn claim(&self, now: Timestamp) -> NodeClaim {
        let dead_for = match self.state {
            NodeState::Dead => now.since(self.since),
            _ => TimeSpan(0),
        };
        NodeClaim {
            record: self.record.clone(),
            revision: self.revision,
            state: self.state,
            reporter: self.reporter.clone(),
            dead_for,
        }
    }

    /// Returns whether the run is dead without a leave notice or a later run, so that it may
    /// only be unreachable.
    pub(crate) fn may_rejoin(&self) -> bool {
        self.state == NodeState::Dead && self.reporter.is_some()
    }

    pub(crate) fn is_live(&self) -> bool {
        self.state != NodeState::Dead
    }
}

/// Result of merging a claim into the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The claim did not change the table, usually because it is older than the entry.
    Unchanged,
    /// The claim was stored.
    Adopted {
        /// State before the claim; absent for a new run.
        before: Option<NodeState>,
        /// Older runs of the node that the claim made dead.
        superseded: Vec<NodeKey>,
    },
    /// The claim and the table disagree, at the same revision, on whether the node is dead. Only a
    /// probe can resolve this, because it makes a live node refute the claim.
    Disputed,
}

/// All node runs that this node has received claims about, and its own run.
///
/// # Invariants
///
/// Of all runs of one node id, only the one with the highest incarnation may be live.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    entries: BTreeMap<NodeKey, PeerEntry>,
    retention: TimeSpan,
}

impl PeerTable {
    pub(crate) fn new(retention: TimeSpan) -> Self {
        Self {
            entries: BTreeMap::new(),
            retention,
        }
    }

    pub(crate) fn get(&self, key: &NodeKey) -> Option<&PeerEntry> {
        self.entries.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &NodeKey) -> Option<&mut PeerEntry> {
        self.entries.get_mut(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&NodeKey, &PeerEntry)> {
        self.entries.iter()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut PeerEntry> {
        self.entries.values_mut()
    }

    pub(crate) fn remove(&mut self, key: &NodeKey) -> Option<PeerEntry> {
        self.entries.remove(key)
    }

    /// Returns the run of a node with the highest incarnation.
    pub(crate) fn latest_run(&self, id: &NodeId) -> Option<&PeerEntry> {
        let first = NodeKey {
            id: id.clone(),
            incarnation: Incarnation(0),
        };
        let last = NodeKey {
            id: id.clone(),
            incarnation: Incarnation(u64::MAX),
        };
        self.entries
            .range(first..=last)
            .next_back()
            .map(|(_, entry)| entry)
    }

    /// Returns whether the table holds a later run of the same node.
    pub(crate) fn is_superseded(&self, key: &NodeKey) -> bool {
        self.latest_run(&key.id)
            .is_some_and(|entry| entry.record.key.incarnation > key.incarnation)
    }

    /// Stores an entry regardless of its rank.
    pub(crate) fn insert(&mut self, claim: &NodeClaim, now: Timestamp) {
        let entry = PeerEntry::from_claim(claim, now);
        self.entries.insert(claim.record.key.clone(), entry);
    }

    /// Merges a claim about another node.
    pub(crate) fn merge(&mut self, claim: &NodeClaim, now: Timestamp) -> MergeOutcome {
        let key = &claim.record.key;
        if self.is_superseded(key) && claim.state != NodeState::Dead {
            return MergeOutcome::Unchanged;
        }
        match self.entries.get(key) {
            None => self.merge_new(claim, now),
            Some(entry) => {
                let decision = decide_merge(entry, claim, now);
                self.apply_decision(claim, decision, now)
            }
        }
    }

    fn merge_new(&mut self, claim: &NodeClaim, now: Timestamp) -> MergeOutcome {
        let retained = claim.dead_for.0.saturating_add(RETENTION_MARGIN.0) < self.retention.0;
        if claim.state == NodeState::Dead && !retained {
            return MergeOutcome::Unchanged;
        }
        self.insert(claim, now);
        MergeOutcome::Adopted {
            before: None,
            superseded: self.mark_older_dead(&claim.record.key, now),
        }
    }

    fn apply_decision(
        &mut self,
        claim: &NodeClaim,
        decision: MergeDecision,
        now: Timestamp,
    ) -> MergeOutcome {
        let state = match decision {
            MergeDecision::Keep => return MergeOutcome::Unchanged,
            MergeDecision::Dispute => return MergeOutcome::Disputed,
            MergeDecision::Adopt(state) => state,
        };
        let key = &claim.record.key;
        let superseded = self.is_superseded(key);
        let claim = NodeClaim {
            state,
            reporter: claim.reporter.clone().filter(|_| !superseded),
            dead_for: if state == NodeState::Dead {
                claim.dead_for
            } else {
                TimeSpan(0)
            },
            ..claim.clone()
        };
        let before = self.entries.get(&claim.record.key).map(|entry| entry.state);
        self.insert(&claim, now);
        MergeOutcome::Adopted {
            before,
            superseded: Vec::new(),
        }
    }

    /// Marks the runs of the same node with a lower incarnation as dead; returns those
    /// that were live.
    pub(crate) fn mark_older_dead(&mut self, key: &NodeKey, now: Timestamp) -> Vec<NodeKey> {
        let first = NodeKey {
            id: key.id.clone(),
            incarnation: Incarnation(0),
        };
        let mut superseded = Vec::new();
        for (old, entry) in self.entries.range_mut(first..key.clone()) {
            if entry.is_live() {
                entry.state = NodeState::Dead;
                entry.since = now;
                superseded.push(old.clone());
            }
            // A superseded run never returns, so no node needs to probe its address.
            entry.reporter = None;
        }
        superseded
    }
}

enum MergeDecision {
    Keep,
    Adopt(NodeState),
    Dispute,
}

fn decide_merge(entry: &PeerEntry, claim: &NodeClaim, now: Timestamp) -> MergeDecision {
    let reported_dead = claim.state == NodeState::Dead && claim.reporter.is_some();
    let known_healthy = matches!(entry.state, NodeState::Alive | NodeState::Leaving);
    if claim.rank() > entry.rank() {
        // When a partition heals, each side receives claims of the other side that all of
        // its nodes are dead. Adopting these claims would make live nodes dead until
        // their refutations arrive.
        return match (
            reported_dead && known_healthy,
            claim.revision > entry.revision,
        ) {
            (false, _) => MergeDecision::Adopt(claim.state),
            (true, true) => MergeDecision::Adopt(NodeState::Suspect),
            (true, false) => MergeDecision::Dispute,
        };
    }
    let claims_alive = claim.state != NodeState::Dead && claim.revision == entry.revision;
    let past_stale_window = now.since(entry.since) > STALE_CLAIM_WINDOW;
    if entry.may_rejoin() && claims_alive && past_stale_window {
        return MergeDecision::Dispute;
    }
    MergeDecision::Keep
}
