//! Fleet views and engine reports for the measurements.

use std::sync::Arc;

use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ModelVersion;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::rules::ModelRule;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::GroupView;
use jaysaddle_types::view::VmState;

pub fn model() -> ModelId {
    ModelId::new("chat")
}

/// Returns a view with one model on `groups` groups of `members` VMs.
pub fn view(groups: usize, members: usize, slots: u32, nodes: usize) -> FleetView {
    let version: ModelVersion = ModelVersion::new("v1");
    let rule = ModelRule {
        name: model(),
        version: version.clone(),
        vms_per_group: members as u32,
        groups: groups as u32,
        slots_per_group: SlotCount(slots),
        accounts: Vec::new(),
    };
    let group = |number: usize| GroupView {
        id: GroupId::new(format!("fabric-{}/chat-{number}", number % 9)),
        generation: Generation(1),
        model: model(),
        version: version.clone(),
        fabric_domain: FabricDomainId::new(format!("fabric-{}", number % 9)),
        failure_domain: FailureDomainId::new("phc-a"),
        members: (0..members)
            .map(|rank| (VmId::new(format!("vm-{number}-{rank}")), VmState::Live))
            .collect(),
        leader: ([127, 0, 0, 1], 9000).into(),
        state: GroupState::Ready,
        slots: SlotCount(slots),
        reason: "".into(),
    };
    let node = |number: usize| NodeRecord {
        key: NodeKey {
            id: NodeId::new(format!("n-{number}")),
            incarnation: Incarnation(1),
        },
        callers: ([127, 0, 0, 1], 8000).into(),
        peers: ([127, 0, 0, 1], 7000).into(),
        failure_domain: FailureDomainId::new("phc-a"),
        region: RegionId::new("ng-south"),
    };
    FleetView {
        configured: true,
        rules: Arc::new(RulesDocument {
            models: vec![rule],
            ..RulesDocument::default()
        }),
        groups: (0..groups).map(group).collect(),
        nodes: (0..nodes)
            .map(|number| (node(number), NodeState::Alive))
            .collect(),
        capacity_permille: 1000 / nodes as u32,
        ..FleetView::default()
    }
}

/// Returns the report of the leader of `group`.
pub fn report(group: &GroupView, running: usize, queued: usize) -> EngineReport {
    EngineReport {
        vm: group.members[0].0.clone(),
        role: EngineRole::Leader,
        group: Some(group.id.clone()),
        generation: group.generation,
        model: Some(group.model.clone()),
        version: Some(group.version.clone()),
        members: group.members.iter().map(|(vm, _)| vm.clone()).collect(),
        running: running as u32,
        queued: queued as u32,
        slots: group.slots.0,
        ..EngineReport::default()
    }
}
