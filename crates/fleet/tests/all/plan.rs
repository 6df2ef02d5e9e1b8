//! Tests of the planners for groups, exchanges and staging.

use jaysaddle_fleet::plan::DonorGroup;
use jaysaddle_fleet::plan::FreeVm;
use jaysaddle_fleet::plan::LoadBudget;
use jaysaddle_fleet::plan::ModelNeed;
use jaysaddle_fleet::plan::plan_exchange;
use jaysaddle_fleet::plan::plan_groups;
use jaysaddle_fleet::staging_plan::DomainMembers;
use jaysaddle_fleet::staging_plan::plan_staging;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::units::TimeSpan;

use crate::fake::LARGE;
use crate::fake::SMALL;
use crate::fake::model;
use crate::fake::vm;

const NO_MEMBERS: DomainMembers = DomainMembers::new();

const UNLIMITED_LOADS: LoadBudget = LoadBudget {
    available: usize::MAX,
    weight: 0.0,
};

fn free_vm(id: usize, domain: &str, last: Option<&str>) -> FreeVm {
    FreeVm {
        id: vm(&format!("vm{id}")),
        domain: FabricDomainId::new(domain),
        last_model: last.map(model),
        staged: Vec::new(),
    }
}

fn need(name: &str, group_size: usize, capacity: f64, demand: f64) -> ModelNeed {
    ModelNeed {
        id: model(name),
        group_size,
        capacity,
        demand,
        memory_join_time: TimeSpan(200),
        host_join_time: TimeSpan(1500),
        load_time: TimeSpan(14_000),
    }
}

/// Guards against groups that span fabric domains, which would be slow.
#[test]
fn group_does_not_span_fabric_domains() {
    let free = vec![free_vm(0, "d0", None), free_vm(1, "d1", None)];
    let mut needs = [need(SMALL, 2, 0.0, 3.0)];
    assert!(plan_groups(free, &mut needs, UNLIMITED_LOADS).is_empty());
}

#[test]
fn vms_with_model_in_memory_come_first() {
    let free = vec![
        free_vm(0, "d0", None),
        free_vm(1, "d0", Some(SMALL)),
        free_vm(2, "d0", Some(SMALL)),
    ];
    let mut needs = [need(SMALL, 2, 0.0, 3.0)];
    let groups = plan_groups(free, &mut needs, UNLIMITED_LOADS);
    assert_eq!(groups[0].members, vec![vm("vm1"), vm("vm2")]);
    assert_eq!(groups[0].loading.len(), 0);
}

#[test]
fn planned_loads_stay_within_budget() {
    let free = (0..8).map(|id| free_vm(id, "d0", None)).collect();
    let mut needs = [need(SMALL, 2, 0.0, 3.0)];
    let budget = LoadBudget {
        available: 5,
        weight: 1.0,
    };
    let groups = plan_groups(free, &mut needs, budget);
    assert_eq!(groups.len(), 2);
}

/// Guards against loading for two new VMs while a single load would complete a group with a VM that has the weights.
#[test]
fn group_with_fewer_loads_comes_first() {
    let free = vec![
        free_vm(0, "d0", None),
        free_vm(1, "d0", None),
        free_vm(2, "d1", None),
        free_vm(3, "d1", Some(SMALL)),
    ];
    let mut needs = [need(SMALL, 2, 0.0, 3.0)];
    let budget = LoadBudget {
        available: 2,
        weight: 1.0,
    };
    let groups = plan_groups(free, &mut needs, budget);
    assert_eq!(groups[0].loading, vec![vm("vm2")]);
    assert_eq!(groups.len(), 1);
}

/// Guards against starving one model in favor of another: the capacity of both must follow their demand.
#[test]
fn capacity_follows_demand() {
    let free = (0..60)
        .map(|id| free_vm(id, &format!("d{}", id / 10), None))
        .collect();
    let mut needs = [need(LARGE, 4, 0.0, 4.0), need(SMALL, 2, 0.0, 8.0)];
    let groups = plan_groups(free, &mut needs, UNLIMITED_LOADS);
    let large = groups
        .iter()
        .filter(|group| group.model == model(LARGE))
        .count();
    let small = groups.len() - large;
    assert!((7..=8).contains(&large), "{large} large, {small} small");
    assert_eq!(large * 4 + small * 2, 60);
}

fn donor(number: u64, first: usize) -> DonorGroup {
    let mut members = vec![
        free_vm(first, "d0", Some(SMALL)),
        free_vm(first + 1, "d0", Some(SMALL)),
    ];
    for member in &mut members {
        member.staged = vec![model(LARGE)];
    }
    DonorGroup {
        key: GroupKey {
            group: GroupId::new(format!("g{number}")),
            generation: Generation(number),
        },
        model: model(SMALL),
        domain: FabricDomainId::new("d0"),
        members,
    }
}

/// Guards against free VMs of a lost large group staying idle although the VMs of one small group would complete them.
#[test]
fn exchange_closes_one_small_group_for_large_one() {
    let free: Vec<FreeVm> = (0..3).map(|id| free_vm(id, "d0", Some(LARGE))).collect();
    let donors = vec![donor(1, 10), donor(2, 20)];
    let needs = [need(LARGE, 4, 4.0, 4.0), need(SMALL, 2, 16.0, 8.0)];
    let domain = FabricDomainId::new("d0");
    let exchange = plan_exchange(&domain, &free, &donors, &needs).expect("an exchange");
    assert_eq!(exchange.donors.len(), 1);
    assert_eq!(exchange.model, model(LARGE));
}

/// Guards against exchanges back and forth under balanced load.
#[test]
fn no_exchange_under_balanced_load() {
    let donors = vec![donor(1, 10), donor(2, 20)];
    let needs = [need(LARGE, 4, 7.0, 4.0), need(SMALL, 2, 15.0, 8.0)];
    let domain = FabricDomainId::new("d0");
    assert!(plan_exchange(&domain, &[], &donors, &needs).is_none());
}

/// Guards against idle VMs that have the weights of a model but are one VM short of a group: a new VM in their fabric
/// domain must get that model.
#[test]
fn new_vm_gets_model_that_completes_a_group() {
    let pool = vec![
        free_vm(0, "d0", Some(LARGE)),
        free_vm(1, "d0", Some(LARGE)),
        free_vm(2, "d0", Some(LARGE)),
        free_vm(3, "d0", None),
        free_vm(4, "d1", None),
    ];
    let needs = [need(LARGE, 4, 4.0, 4.0), need(SMALL, 2, 8.0, 8.0)];
    let planned = plan_staging(&pool[3..], &pool, &needs, &NO_MEMBERS, 7);
    assert_eq!(planned[0].vm, vm("vm3"));
    assert_eq!(planned[0].model, model(LARGE));
    assert_eq!(planned[1].model, model(SMALL));
}

/// Guards against loads that complete no group: in a domain one VM short of a large group, all four new VMs got the
/// large model, and three of them stayed idle.
#[test]
fn staging_accounts_for_loads_in_progress() {
    let mut pool = vec![
        free_vm(0, "d0", Some(LARGE)),
        free_vm(1, "d0", Some(LARGE)),
        free_vm(2, "d0", Some(LARGE)),
    ];
    pool.extend((3..7).map(|id| free_vm(id, "d0", None)));
    let needs = [need(LARGE, 4, 3.0, 4.0), need(SMALL, 2, 8.0, 8.0)];
    let models: Vec<_> = plan_staging(&pool[3..], &pool, &needs, &NO_MEMBERS, 3)
        .into_iter()
        .map(|planned| planned.model)
        .collect();
    assert_eq!(models, [model(LARGE), model(SMALL), model(SMALL)]);
    pool[3].staged.push(model(LARGE));
    let next = plan_staging(&pool[4..], &pool, &needs, &NO_MEMBERS, 1);
    assert_eq!(next[0].model, model(SMALL));
}

/// Guards against a VM that waits for three more VMs with its large model, while one load in its fabric domain would
/// complete a small group.
#[test]
fn vm_without_partners_gets_model_of_new_vm() {
    let pool = vec![free_vm(0, "d0", Some(LARGE)), free_vm(1, "d0", None)];
    let needs = [need(LARGE, 4, 4.0, 4.0), need(SMALL, 2, 4.0, 8.0)];
    let planned = plan_staging(&pool, &pool, &needs, &NO_MEMBERS, 2);
    assert_eq!(
        (&planned[0].vm, &planned[0].model),
        (&vm("vm1"), &model(SMALL))
    );
    assert_eq!(
        (&planned[1].vm, &planned[1].model),
        (&vm("vm0"), &model(SMALL))
    );
}

/// Guards against idle VMs that have the weights of a model of which they can neither form nor repair a group, while the
/// groups in their fabric domain wait for a load after each loss.
#[test]
fn idle_vms_get_models_of_groups_that_they_can_repair() {
    let pool: Vec<FreeVm> = (0..3).map(|id| free_vm(id, "d0", None)).collect();
    let needs = [need(LARGE, 8, 40.0, 24.0), need(SMALL, 4, 80.0, 48.0)];
    let models = |members: Vec<usize>| {
        let members = DomainMembers::from([(FabricDomainId::new("d0"), members)]);
        let planned = plan_staging(&pool, &pool, &needs, &members, 3);
        let large = planned
            .iter()
            .filter(|planned| planned.model == model(LARGE));
        (large.count(), planned.len())
    };
    assert_eq!(models(vec![16, 0]).0, 3);
    assert_eq!(models(vec![8, 8]).0, 2);
    assert_eq!(models(vec![0, 16]).0, 0);
}

/// Guards against an exchange that is left out because it seems to cost a group of the other model, although the rest of
/// the VMs forms that group again.
#[test]
fn exchange_costs_nothing_if_the_donors_form_again() {
    let mut free: Vec<FreeVm> = (0..7).map(|id| free_vm(id, "d0", Some(LARGE))).collect();
    free.extend((7..10).map(|id| free_vm(id, "d0", Some(SMALL))));
    let mut members: Vec<FreeVm> = (10..14).map(|id| free_vm(id, "d0", Some(SMALL))).collect();
    for member in &mut members {
        member.staged = vec![model(LARGE)];
    }
    let donors = vec![DonorGroup {
        members,
        ..donor(1, 10)
    }];
    let needs = [need(LARGE, 8, 30.0, 24.0), need(SMALL, 4, 60.0, 48.0)];
    let domain = FabricDomainId::new("d0");
    let exchange = plan_exchange(&domain, &free, &donors, &needs).expect("an exchange");
    assert_eq!(exchange.model, model(LARGE));
}
