//! Node of the simulated cluster, with its view of leases and engines.

use std::collections::BTreeMap;

use jaysaddle_placement::PlannerGroup;
use jaysaddle_placement::ShardController;
use jaysaddle_placement::ShardEffect;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::placement::GroupIntent;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::GroupState;

/// Lease that a node considers valid, possibly after another node has taken it over.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    pub epoch: LeaseEpoch,
    pub unfenced_after: Timestamp,
    pub until: Timestamp,
}

pub struct Node {
    pub controller: ShardController,
    pub held_leases: BTreeMap<FabricDomainId, HeldLease>,
    /// Delay with which the node observes changes of VM states.
    pub observation_delay: TimeSpan,
    pub paused_until: Timestamp,
    /// Effects not sent yet because the node paused after it checked the lease.
    pub unsent: Vec<ShardEffect>,
    pub reports: BTreeMap<VmId, EngineReport>,
    /// Lease epochs as of the last tick, under which the unsent effects were produced.
    pub tick_epochs: BTreeMap<FabricDomainId, LeaseEpoch>,
    /// Object name of each call in flight, and whether the call is a write.
    pub calls: BTreeMap<CallId, (String, bool)>,
    /// Last write with an unknown outcome, per object.
    pub unknown_writes: BTreeMap<String, CallId>,
    /// Last read that completed, per object.
    pub last_read: BTreeMap<String, CallId>,
}

impl Node {
    pub fn record_outcome(&mut self, call: CallId, outcome: &StoreOutcome) {
        match (self.calls.remove(&call), outcome) {
            (Some((name, true)), StoreOutcome::Unknown) => {
                self.unknown_writes.insert(name, call);
            }
            (Some((name, false)), StoreOutcome::Found(_) | StoreOutcome::Missing) => {
                self.last_read.insert(name, call);
            }
            _ => {}
        }
    }

    /// Whether the last write of `name` with an unknown outcome has not been read back since.
    pub fn has_unresolved_write(&self, name: &str) -> bool {
        self.unknown_writes
            .get(name)
            .is_some_and(|write| self.last_read.get(name).is_none_or(|read| read < write))
    }
}

/// State of a group according to the leader's last report.
pub fn group_state(group: &GroupRecord, reports: &BTreeMap<VmId, EngineReport>) -> PlannerGroup {
    let leader = group.members.first().and_then(|leader| reports.get(leader));
    let confirmed =
        leader.is_some_and(|report| report.confirms(&group.id, group.generation, &group.members));
    let state = match group.intent {
        GroupIntent::Drain | GroupIntent::Rebuild => GroupState::Draining,
        GroupIntent::Serve if confirmed => GroupState::Ready,
        GroupIntent::Serve => GroupState::Loading,
    };
    let running = leader.map_or(0, |report| report.running);
    PlannerGroup { state, running }
}
