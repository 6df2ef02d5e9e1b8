//! Fleet views, queries and seeded property checks for the tests.

use std::sync::Arc;

use jaysaddle_routing::RouteQuery;
use jaysaddle_test_support::check_property;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::rules::ModelRule;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TokenCount;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::GroupView;
use jaysaddle_types::view::VmState;
use quickcheck::Testable;

/// Checks a property with a fixed seed, which is printed; `JAYSADDLE_SEED` and `JAYSADDLE_RUNS`
/// override the seed and the number of runs.
pub fn check<P: Testable>(name: &str, size: usize, property: P) {
    check_property(name, size, 2_000, 1, property);
}

pub fn model(name: &str, accounts: &[&str]) -> ModelRule {
    ModelRule {
        name: ModelId::new(name),
        version: "v1".parse().expect("valid version"),
        vms_per_group: 2,
        groups: 4,
        slots_per_group: SlotCount(8),
        accounts: accounts.iter().map(|name| AccountId::new(*name)).collect(),
    }
}

pub fn group(number: usize, model: &str) -> GroupView {
    let members = (0..2)
        .map(|rank| (VmId::new(format!("vm-{number}-{rank}")), VmState::Live))
        .collect();
    GroupView {
        id: GroupId::new(format!("g-{number}")),
        generation: Generation(1),
        model: ModelId::new(model),
        version: "v1".parse().expect("valid version"),
        fabric_domain: FabricDomainId::new("fab-a"),
        failure_domain: FailureDomainId::new("fd-a"),
        members,
        leader: ([127, 0, 0, 1], 9000 + number as u16).into(),
        state: GroupState::Ready,
        slots: SlotCount(8),
        reason: "".into(),
    }
}

pub fn view(groups: Vec<GroupView>, models: Vec<ModelRule>, nodes: usize) -> FleetView {
    FleetView {
        configured: true,
        rules: Arc::new(RulesDocument {
            models,
            ..RulesDocument::default()
        }),
        groups,
        nodes: (0..nodes).map(node).collect(),
        ..FleetView::default()
    }
}

fn node(number: usize) -> (NodeRecord, NodeState) {
    let record = NodeRecord {
        key: NodeKey {
            id: NodeId::new(format!("n-{number}")),
            incarnation: Incarnation(1),
        },
        callers: ([127, 0, 0, 1], 8000).into(),
        peers: ([127, 0, 0, 1], 7000).into(),
        failure_domain: FailureDomainId::new("fd-a"),
        region: RegionId::new("r-a"),
    };
    (record, NodeState::Alive)
}

pub fn query(account: &str, target: RequestTarget, prefix: &[u64]) -> RouteQuery {
    RouteQuery {
        request: RequestId::new("r-1"),
        account: AccountId::new(account),
        target,
        prefix: prefix.into(),
        prompt_tokens: TokenCount(100),
        excluded: Vec::new(),
    }
}

/// Returns the leader's report that confirms `group` as the view shows it.
pub fn report(group: &GroupView, running: u32) -> EngineReport {
    EngineReport {
        vm: group.members[0].0.clone(),
        role: EngineRole::Leader,
        group: Some(group.id.clone()),
        generation: group.generation,
        model: Some(group.model.clone()),
        version: Some(group.version.clone()),
        members: group.members.iter().map(|(vm, _)| vm.clone()).collect(),
        running,
        slots: group.slots.0,
        ..EngineReport::default()
    }
}
