//! Tests of a single controller with a store that responds immediately.

use std::collections::BTreeMap;
use std::sync::Arc;

use jaysaddle_placement::PlacementSettings;
use jaysaddle_placement::PlannerGroup;
use jaysaddle_placement::PlannerInput;
use jaysaddle_placement::PlannerVm;
use jaysaddle_placement::ShardController;
use jaysaddle_placement::ShardEffect;
use jaysaddle_placement::ShardEvent;
use jaysaddle_placement::Violation;
use jaysaddle_placement::check_documents;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ModelVersion;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::ids::WriteId;
use jaysaddle_types::inventory::FencingSupport;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::placement::GroupIntent;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::rules::WeightStoreRule;
use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::VmState;

use crate::fleet::model;
use crate::fleet::vms;
use crate::store::FakeStore;

struct SingleNode {
    controller: ShardController,
    store: FakeStore,
    input: PlannerInput,
    held: Vec<(FabricDomainId, LeaseEpoch, Timestamp)>,
    now: Timestamp,
    orders: Vec<(VmId, EngineOrder)>,
    decisions: Vec<String>,
}

impl SingleNode {
    fn new(vms: Vec<PlannerVm>, rules: RulesDocument) -> Self {
        let own = NodeKey {
            id: NodeId::new("n0"),
            incarnation: Incarnation(1),
        };
        Self {
            controller: ShardController::new(PlacementSettings::default(), own, 1),
            store: FakeStore::default(),
            input: PlannerInput {
                rules: Arc::new(rules),
                vms,
                ..PlannerInput::default()
            },
            held: vec![(FabricDomainId::new("fab-a"), LeaseEpoch(1), Timestamp(0))],
            now: Timestamp(0),
            orders: Vec::new(),
            decisions: Vec::new(),
        }
    }

    fn step(&mut self, event: ShardEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.controller.step(event, self.now) {
                match effect {
                    ShardEffect::Call { call, request } => {
                        let outcome = self.store.apply(&request);
                        events.push(ShardEvent::CallCompleted { call, outcome });
                    }
                    ShardEffect::Order { vm, order, .. } => self.orders.push((vm, order)),
                    ShardEffect::Decision(record) => self.decisions.push(record.to_string()),
                }
            }
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = Timestamp(self.now.0 + 100);
            let input = Arc::new(self.input.clone());
            let held = self.held.clone();
            self.step(ShardEvent::Tick { input, held });
        }
    }

    fn report_idle(&mut self) {
        for vm in self.input.vms.clone() {
            let report = EngineReport {
                vm: vm.vm,
                ..EngineReport::default()
            };
            self.step(ShardEvent::Reported(report));
        }
    }

    fn join_count(&self) -> usize {
        let joins = self
            .orders
            .iter()
            .filter(|(_, order)| matches!(order.action, OrderAction::Join { .. }));
        joins.count()
    }

    fn decision_count(&self, choice: &str) -> usize {
        let text = format!("choice={choice} ");
        self.decisions
            .iter()
            .filter(|line| line.contains(&text))
            .count()
    }
}

fn chat_rules(size: u32, groups: u32) -> RulesDocument {
    RulesDocument {
        models: vec![model("chat", size, groups)],
        ..RulesDocument::default()
    }
}

fn four_vms() -> Vec<PlannerVm> {
    vms("hall-a", "fab-a", 4, &["chat"])
}

/// Guards against store calls, orders or decisions for shards that another node holds.
#[test]
fn nothing_is_done_for_shards_that_are_not_held() {
    let mut node = SingleNode::new(four_vms(), chat_rules(2, 2));
    node.held.clear();
    node.run(3000);
    node.report_idle();
    node.run(3000);
    assert_eq!(
        (node.store.writes, node.orders.len(), node.decisions.len()),
        (0, 0, 0)
    );
}

/// Guards against a store outage that is logged repeatedly or changes the placement.
#[test]
fn store_outage_is_logged_once_and_changes_nothing() {
    let mut node = SingleNode::new(vms("hall-a", "fab-a", 5, &["chat"]), chat_rules(2, 2));
    node.run(2000);
    let stored = node.controller.placements().clone();
    node.store.down = true;
    node.input.vms[0].state = VmState::Dead;
    node.run(20_000);
    assert_eq!(*node.controller.placements(), stored);
    assert_eq!(node.decision_count("hold"), 1);
    node.store.down = false;
    node.run(5000);
    assert_eq!(node.decision_count("resume"), 1);
    assert_ne!(*node.controller.placements(), stored);
}

/// Guards against a lost order that is never sent again, and against one that is sent
/// at every tick.
#[test]
fn order_without_effect_is_resent_after_timeout() {
    let mut node = SingleNode::new(four_vms(), chat_rules(4, 1));
    node.run(1000);
    node.report_idle();
    node.run(1000);
    assert_eq!(node.join_count(), 4);
    node.run(1500);
    assert_eq!(node.join_count(), 8);
}

/// Guards against orders to engines that ignore fencing tokens while an order of an earlier holder
/// can still arrive.
#[test]
fn engines_without_fencing_get_orders_only_after_unfenced_time() {
    let mut node = SingleNode::new(four_vms(), chat_rules(2, 2));
    node.input.vms[0].fencing = FencingSupport::Enforced;
    node.held[0].2 = Timestamp(10_000);
    node.run(1000);
    node.report_idle();
    node.run(5000);
    let ordered = |node: &SingleNode| {
        let mut vms: Vec<String> = node.orders.iter().map(|(vm, _)| vm.to_string()).collect();
        vms.sort();
        vms.dedup();
        vms
    };
    assert_eq!(ordered(&node), ["fab-a-00"]);
    node.run(5000);
    assert_eq!(
        ordered(&node),
        ["fab-a-00"],
        "the reports are older than the given time"
    );
    node.report_idle();
    node.run(1000);
    assert_eq!(ordered(&node).len(), 4);
}

/// Guards against more concurrent loads, or a higher start rate, than the weight store allows.
#[test]
fn loads_start_under_the_weight_stores_limits() {
    let mut rules = chat_rules(1, 4);
    rules.weight_store = WeightStoreRule {
        concurrent_loads: 2,
        load_rate: RequestRate(1),
    };
    let mut node = SingleNode::new(four_vms(), rules);
    node.run(1000);
    node.report_idle();
    node.run(500);
    assert_eq!(node.join_count(), 1, "one load a second");
    node.run(1000);
    let mut groups: Vec<GroupId> = node
        .orders
        .iter()
        .map(|(_, order)| order.group.clone())
        .collect();
    groups.sort();
    groups.dedup();
    assert_eq!(groups.len(), 2);
    node.run(10_000);
    let started: std::collections::BTreeSet<&GroupId> =
        node.orders.iter().map(|(_, order)| &order.group).collect();
    assert_eq!(started.len(), 2, "two loads at once");
}

/// Guards against an engine that remains in a group which is not stored.
#[test]
fn engine_in_unknown_group_is_released() {
    let mut node = SingleNode::new(four_vms(), chat_rules(4, 0));
    node.run(1000);
    let report = EngineReport {
        vm: VmId::new("fab-a-02"),
        group: Some(GroupId::new("g9.fab-a")),
        generation: Generation(9),
        ..EngineReport::default()
    };
    node.step(ShardEvent::Reported(report));
    node.run(500);
    let (vm, order) = &node.orders[0];
    assert_eq!(
        (vm.as_str(), order.generation, &order.action),
        ("fab-a-02", Generation(9), &OrderAction::Release)
    );
}

/// Guards against a rejected order that is missing from the log or from the explanations.
#[test]
fn rejected_order_is_logged_once_and_explained() {
    let mut node = SingleNode::new(four_vms(), chat_rules(4, 1));
    node.run(1000);
    node.report_idle();
    node.run(1000);
    let (vm, order) = node.orders[0].clone();
    for _ in 0..2 {
        let outcome = Some(OrderOutcome::Rejected {
            reason: "out of memory".into(),
        });
        let (vm, order) = (vm.clone(), order.clone());
        node.step(ShardEvent::OrderCompleted { vm, order, outcome });
    }
    assert_eq!(node.decision_count("rejected"), 1);
    let lines = node.controller.explain_vm(&vm).join("\n");
    assert!(
        lines.contains("out of memory") && lines.contains("g1.fab-a"),
        "{lines}"
    );
    let lines = node.controller.explain_group(&order.group).join("\n");
    assert!(
        lines.contains("generation 1") && lines.contains("last change"),
        "{lines}"
    );
}

/// Guards against a write that violates an invariant: the inventory lists a VM twice, so the
/// planned document contains it twice, and the write must be withheld.
#[test]
fn violating_write_is_withheld() {
    let mut all = four_vms();
    all[1] = all[0].clone();
    let mut node = SingleNode::new(all, chat_rules(2, 2));
    node.run(5000);
    assert_eq!(node.decision_count("withheld"), 1);
    assert_eq!(node.store.writes, 1, "only the claim");
}

fn record(id: &str, generation: u64, members: &[&str]) -> GroupRecord {
    GroupRecord {
        id: GroupId::new(id),
        generation: Generation(generation),
        model: ModelId::new("chat"),
        version: ModelVersion::new("v1"),
        members: members.iter().map(|vm| VmId::new(*vm)).collect(),
        intent: GroupIntent::Serve,
    }
}

/// Guards against a kind of violation that the check does not find.
#[test]
fn check_finds_each_violation() {
    let groups = vec![
        record("g1", 1, &["fab-a-00", "fab-a-01"]),
        record("g1", 1, &["fab-a-01", "fab-b-00"]),
        record("g3", 9, &["fab-a-02"]),
    ];
    let document = PlacementDocument {
        fabric_domain: FabricDomainId::new("fab-a"),
        epoch: LeaseEpoch(1),
        write_id: WriteId::new("w"),
        last_generation: Generation(8),
        groups,
    };
    let documents = BTreeMap::from([(document.fabric_domain.clone(), document)]);
    let mut all = four_vms();
    all.extend(vms("hall-b", "fab-b", 1, &["chat"]));
    let found = check_documents(&documents, &all, &chat_rules(2, 2));
    let kinds: Vec<bool> = [
        found
            .iter()
            .any(|v| matches!(v, Violation::VmInTwoGroups { .. })),
        found
            .iter()
            .any(|v| matches!(v, Violation::ForeignMember { .. })),
        found
            .iter()
            .any(|v| matches!(v, Violation::SharedGeneration { .. })),
        found
            .iter()
            .any(|v| matches!(v, Violation::UnissuedGeneration { .. })),
        found
            .iter()
            .any(|v| matches!(v, Violation::WrongSize { .. })),
        found
            .iter()
            .any(|v| matches!(v, Violation::SharedGroupId(_))),
    ]
    .to_vec();
    assert_eq!((kinds, found.len()), (vec![true; 6], 6));
}

/// Guards against requests that are cut because the leader of a draining group is silent, so that no report counts them.
#[test]
fn drain_does_not_end_while_the_leader_is_silent() {
    let mut node = SingleNode::new(four_vms(), chat_rules(2, 1));
    node.run(2000);
    let stored = |node: &SingleNode| {
        let documents = node.controller.placements().values();
        documents
            .flat_map(|(_, document)| document.groups.clone())
            .next()
    };
    let group = stored(&node).expect("a group is stored");
    let observed = |running| PlannerGroup {
        state: GroupState::Ready,
        running,
    };
    let report = |running| {
        ShardEvent::Reported(EngineReport {
            vm: group.members[0].clone(),
            running,
            ..EngineReport::default()
        })
    };
    node.step(report(2));
    node.input.groups.insert(group.id.clone(), observed(2));
    node.input.rules = Arc::new(chat_rules(2, 0));
    node.run(1000);
    assert_eq!(
        stored(&node).map(|group| group.intent),
        Some(GroupIntent::Drain)
    );
    node.input.groups.insert(group.id.clone(), observed(0));
    node.run(10_000);
    assert!(stored(&node).is_some(), "dissolved without a report");
    node.step(report(0));
    node.run(2000);
    assert_eq!(stored(&node), None);
}
