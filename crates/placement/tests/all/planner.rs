//! Tests of individual planner decisions.

use jaysaddle_placement::PlacementPlan;
use jaysaddle_placement::PlacementPlanner;
use jaysaddle_placement::PlacementSettings;
use jaysaddle_placement::PlannerVm;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::ModelVersion;
use jaysaddle_types::placement::GroupIntent;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::rules::ObjectiveWeights;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::VmState;

use crate::fleet::FleetModel;
use crate::fleet::account;
use crate::fleet::model;
use crate::fleet::vms;
use crate::random::SeededRng;

fn plan(fleet: &FleetModel) -> PlacementPlan {
    PlacementPlanner::new(PlacementSettings::default()).plan(&fleet.input)
}

/// Alternates plans and simulated time, and checks that the last plan changes nothing.
fn run_until_stable(fleet: &mut FleetModel) {
    let mut rng = SeededRng::new(1);
    for _ in 0..60 {
        let next = plan(fleet);
        fleet.apply(&next);
        fleet.advance(&mut rng);
    }
    assert!(
        plan(fleet).documents.is_empty(),
        "the plan does not converge"
    );
}

fn one_domain(count: usize, size: u32, groups: u32) -> FleetModel {
    let mut fleet = FleetModel::new(
        vms("hall-a", "fab-a", count, &["chat"]),
        vec![model("chat", size, groups)],
        Vec::new(),
    );
    run_until_stable(&mut fleet);
    fleet
}

fn group_of<'a>(fleet: &'a FleetModel, vm: &str) -> Option<&'a GroupRecord> {
    fleet
        .groups()
        .find(|group| group.members.iter().any(|member| member.as_str() == vm))
}

fn subjects(plan: &PlacementPlan) -> Vec<&str> {
    plan.blocked
        .iter()
        .map(|item| item.subject.as_str())
        .collect()
}

/// Guards against a repair that replaces the entire group: only the lost member may change, and the
/// others must keep their ranks.
#[test]
fn lost_member_is_replaced_by_free_vm() {
    let mut fleet = one_domain(9, 4, 2);
    let before = group_of(&fleet, "fab-a-01").expect("placed").clone();
    fleet.set_state("fab-a-01", VmState::Dead);
    let next = plan(&fleet);
    fleet.apply(&next);
    let after = fleet
        .groups()
        .find(|group| group.id == before.id)
        .expect("kept");
    assert!(after.generation > before.generation);
    let changed: Vec<_> = before
        .members
        .iter()
        .zip(&after.members)
        .filter(|(a, b)| a != b)
        .collect();
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].1.as_str(), "fab-a-08");
    assert!(next.reasons[&before.id].contains("fab-a-01"));
}

/// Guards against replacing a member that only paused: nothing changes within the grace time.
#[test]
fn suspect_member_is_replaced_only_after_grace_time() {
    let mut fleet = one_domain(5, 4, 1);
    let vm = fleet.groups().next().expect("formed").members[2].clone();
    fleet.set_state(vm.as_str(), VmState::Suspect);
    assert!(plan(&fleet).documents.is_empty());
    fleet.input.expired_suspects.insert(vm);
    assert!(!plan(&fleet).documents.is_empty());
}

/// Guards against a shortage that is not reported: the blocked items must name the VM, the model
/// and the VMs to add.
#[test]
fn loss_without_free_vm_is_reported() {
    let mut fleet = one_domain(4, 4, 1);
    fleet.set_state("fab-a-02", VmState::Dead);
    let next = plan(&fleet);
    assert!(next.documents.is_empty(), "the group waits for its VM");
    assert_eq!(subjects(&next), ["VM fab-a-02", "model chat"]);
    assert!(next.blocked[0].remedy.contains("add 1 VMs"));
    assert_eq!((next.stranded, next.stranded_bound), (3, 3));
}

/// Guards against idle live VMs: two groups that each lost a member must become one complete group.
#[test]
fn incomplete_groups_are_merged() {
    let mut fleet = one_domain(8, 4, 2);
    fleet.set_state("fab-a-00", VmState::Dead);
    fleet.set_state("fab-a-07", VmState::Dead);
    let next = plan(&fleet);
    fleet.apply(&next);
    assert_eq!(fleet.groups().count(), 1);
    assert!(fleet.groups().all(|group| fleet.is_complete(group)));
    assert_eq!((next.stranded, next.stranded_bound), (2, 2));
}

/// Returns a fleet with two models in one domain, where the large group has lost a member and no
/// VM is free.
fn contended(weights: ObjectiveWeights) -> FleetModel {
    let mut fleet = FleetModel::new(
        vms("hall-a", "fab-a", 6, &["chat", "draft"]),
        vec![model("chat", 4, 1), model("draft", 1, 2)],
        Vec::new(),
    );
    fleet.change_rules(|rules| rules.objective = weights);
    run_until_stable(&mut fleet);
    let member = fleet
        .groups()
        .find(|group| group.members.len() == 4)
        .expect("the large group is formed")
        .members[1]
        .clone();
    fleet.set_state(member.as_str(), VmState::Dead);
    fleet
}

/// Guards against weights without effect: taking a VM from a small group leaves one group down
/// either way, but puts three idle accelerators to use.
#[test]
fn weight_on_stranded_accelerators_takes_vms_from_a_small_group() {
    let weights = |downtime, stranded| ObjectiveWeights { downtime, stranded };
    let mut fleet = contended(weights(1.0, 3.0));
    run_until_stable(&mut fleet);
    let large = fleet
        .groups()
        .find(|group| group.members.len() == 4)
        .expect("kept");
    assert!(fleet.is_complete(large));
    assert_eq!(plan(&fleet).stranded, 0);
    // Without weight on stranded accelerators, the preemption gains nothing.
    let mut fleet = contended(weights(1.0, 0.0));
    run_until_stable(&mut fleet);
    assert_eq!(plan(&fleet).stranded, 3);
}

/// Guards against a reserve that remains uncovered while another model has more than
/// its own reserve.
#[test]
fn reserve_takes_vms_from_model_above_its_reserve() {
    let mut chat = model("chat", 2, 2);
    chat.accounts = vec![account("ebiere", 0).name];
    let mut draft = model("draft", 2, 2);
    draft.accounts = vec![account("medjerda", 0).name];
    let mut fleet = FleetModel::new(
        vms("hall-a", "fab-a", 8, &["chat", "draft"]),
        vec![chat, draft],
        vec![account("medjerda", 16)],
    );
    run_until_stable(&mut fleet);
    for vm in ["fab-a-00", "fab-a-02", "fab-a-04", "fab-a-06"] {
        fleet.set_state(vm, VmState::Dead);
    }
    run_until_stable(&mut fleet);
    let served: Vec<&str> = fleet
        .groups()
        .filter(|group| fleet.is_complete(group))
        .map(|group| group.model.as_str())
        .collect();
    assert_eq!(served, ["draft", "draft"]);
}

/// Guards against lost capacity in a rollout with free VMs: the new group must serve before the old
/// one is retired.
#[test]
fn rollout_with_free_vms_starts_new_group_first() {
    let mut fleet = one_domain(12, 4, 2);
    fleet.change_rules(|rules| rules.models[0].version = ModelVersion::new("v2"));
    let mut rng = SeededRng::new(3);
    for _ in 0..40 {
        let next = plan(&fleet);
        fleet.apply(&next);
        let serving = fleet.groups().filter(|group| {
            group.intent == GroupIntent::Serve
                && fleet.input.groups[&group.id].state == GroupState::Ready
        });
        assert!(
            serving.count() >= 2,
            "a group was retired before its replacement was ready"
        );
        fleet.advance(&mut rng);
    }
    assert!(fleet.groups().all(|group| group.version.as_str() == "v2"));
    assert_eq!(fleet.groups().count(), 2);
}

/// Guards against a rollout without free VMs that takes down several groups at a time.
#[test]
fn rollout_without_free_vms_replaces_one_group_at_a_time() {
    let mut fleet = one_domain(12, 4, 3);
    fleet.change_rules(|rules| {
        rules.models[0].version = ModelVersion::new("v2");
        rules.accounts = vec![account("ebiere", 24)];
    });
    assert!(subjects(&plan(&fleet)).contains(&"model chat"));
    let mut rng = SeededRng::new(3);
    for _ in 0..60 {
        let next = plan(&fleet);
        fleet.apply(&next);
        let serving = fleet.groups().filter(|group| {
            group.intent == GroupIntent::Serve
                && fleet.input.groups[&group.id].state == GroupState::Ready
        });
        assert!(serving.count() >= 2, "two groups were down together");
        fleet.advance(&mut rng);
    }
    assert!(fleet.groups().all(|group| group.version.as_str() == "v2"));
}

/// Guards against a straggler that is never replaced, and against interrupted requests.
#[test]
fn straggler_is_replaced_after_drain_when_a_vm_is_free() {
    let mut fleet = one_domain(5, 4, 1);
    let group = fleet.groups().next().expect("formed").clone();
    fleet
        .input
        .groups
        .get_mut(&group.id)
        .expect("observed")
        .running = 2;
    fleet.set_state(group.members[0].as_str(), VmState::Straggler);
    let next = plan(&fleet);
    fleet.apply(&next);
    let drained = fleet.groups().next().expect("kept");
    assert_eq!(
        (drained.intent, drained.generation),
        (GroupIntent::Rebuild, group.generation)
    );
    run_until_stable(&mut fleet);
    let repaired = fleet.groups().next().expect("kept");
    assert!(!repaired.members.contains(&group.members[0]));
    assert_eq!(repaired.intent, GroupIntent::Serve);
}

/// Guards against requests that are cut because a member of their group answers again after it was silent.
#[test]
fn group_that_executes_requests_drains_when_a_member_returns() {
    let mut fleet = one_domain(5, 4, 1);
    let group = fleet.groups().next().expect("formed").clone();
    fleet.input.executing.insert(group.id.clone());
    fleet.set_state(group.members[0].as_str(), VmState::Returning);
    let next = plan(&fleet);
    fleet.apply(&next);
    let drained = fleet.groups().next().expect("kept");
    assert_eq!(
        (drained.intent, drained.generation),
        (GroupIntent::Rebuild, group.generation)
    );
}

/// Guards against a VM in two documents: a VM that moved may join a new group only after its old
/// document has been stored without it.
#[test]
fn moved_vm_is_released_before_it_is_claimed() {
    let mut all = vms("hall-a", "fab-a", 4, &["chat"]);
    all.extend(vms("hall-b", "fab-b", 3, &["chat"]));
    let mut fleet = FleetModel::new(all, vec![model("chat", 4, 2)], Vec::new());
    run_until_stable(&mut fleet);
    let moved = |vm: &mut PlannerVm| {
        vm.fabric_domain = FabricDomainId::new("fab-b");
        vm.failure_domain = "hall-b".parse().expect("valid");
    };
    moved(&mut fleet.input.vms[0]);
    fleet.input.drained.extend(
        fleet
            .input
            .placements
            .values()
            .flat_map(|d| d.groups.iter().map(|g| g.id.clone())),
    );
    let first = plan(&fleet);
    let changed: Vec<&str> = first.documents.keys().map(|id| id.as_str()).collect();
    assert_eq!(changed, ["fab-a"], "only the release");
    fleet.apply(&first);
    let second = plan(&fleet);
    assert!(second.documents.contains_key(&FabricDomainId::new("fab-b")));
}

/// Guards against a group whose orders an engine refuses forever. Each document issues its own
/// tokens, so a new group's token must exceed those that its engines have seen.
#[test]
fn generations_exceed_what_the_engines_have_seen() {
    let mut fleet = FleetModel::new(
        vms("hall-a", "fab-a", 2, &["chat"]),
        vec![model("chat", 2, 1)],
        Vec::new(),
    );
    let vm = fleet.input.vms[1].vm.clone();
    fleet
        .input
        .seen_generations
        .insert(vm.clone(), Generation(70));
    run_until_stable(&mut fleet);
    assert_eq!(
        group_of(&fleet, "fab-a-01").expect("placed").generation,
        Generation(71)
    );
    fleet.input.seen_generations.insert(vm, Generation(90));
    run_until_stable(&mut fleet);
    assert_eq!(
        group_of(&fleet, "fab-a-01").expect("placed").generation,
        Generation(91)
    );
}

/// Guards against needless downtime: a model that can use free VMs now must not wait for VMs that
/// become free elsewhere after a drain.
#[test]
fn model_does_not_wait_for_drains_when_free_vms_suffice() {
    let mut all = vms("hall-a", "fab-a", 4, &["chat", "draft"]);
    all.extend(vms("hall-b", "fab-b", 4, &["chat"]));
    let mut fleet = FleetModel::new(
        all,
        vec![model("chat", 4, 0), model("draft", 4, 1)],
        Vec::new(),
    );
    run_until_stable(&mut fleet);
    fleet.change_rules(|rules| {
        rules.models[0].groups = 1;
        rules.models[1].groups = 0;
    });
    let next = plan(&fleet);
    fleet.apply(&next);
    let drained = group_of(&fleet, "fab-a-00").expect("the old group drains");
    assert_eq!(drained.intent, GroupIntent::Drain);
    let formed = group_of(&fleet, "fab-b-00").expect("the new group is formed at once");
    assert_eq!(formed.model.as_str(), "chat");
}

/// Guards against placing all groups of a model in one failure domain.
#[test]
fn groups_are_spread_over_failure_domains() {
    let mut all = vms("phc-a", "fab-a", 8, &["chat"]);
    all.extend(vms("phc-b", "fab-b", 8, &["chat"]));
    all.extend(vms("yen-a", "fab-c", 8, &["chat"]));
    let mut fleet = FleetModel::new(all, vec![model("chat", 4, 3)], Vec::new());
    run_until_stable(&mut fleet);
    let counts: Vec<usize> = fleet
        .input
        .placements
        .values()
        .map(|document| document.groups.len())
        .collect();
    assert_eq!(counts, [1, 1, 1]);
}

/// Guards against surplus groups, which two holders with different inputs may have formed: every
/// planner must retire the same ones.
#[test]
fn surplus_groups_are_chosen_deterministically() {
    let mut fleet = one_domain(16, 4, 4);
    fleet.change_rules(|rules| rules.models[0].groups = 2);
    let first = plan(&fleet);
    assert_eq!(first, plan(&fleet.clone()));
    run_until_stable(&mut fleet);
    assert_eq!(fleet.groups().count(), 2);
}

/// Guards against rules that cannot be met and are not reported.
#[test]
fn rules_that_cannot_be_met_are_reported() {
    let mut fleet = FleetModel::new(
        vms("hall-a", "fab-a", 4, &["chat"]),
        vec![model("draft", 2, 1), model("zero", 0, 1)],
        vec![account("ebiere", 10)],
    );
    run_until_stable(&mut fleet);
    let next = plan(&fleet);
    assert_eq!(
        subjects(&next),
        [
            "VM fab-a-00",
            "account ebiere",
            "model draft",
            "rule of model zero"
        ]
    );
}
