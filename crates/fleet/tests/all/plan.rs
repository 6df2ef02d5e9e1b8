//! Which groups are formed from free VMs.

use jaysaddle_fleet::plan::DonorGroup;
use jaysaddle_fleet::plan::FreeVm;
use jaysaddle_fleet::plan::LoadBudget;
use jaysaddle_fleet::plan::ModelNeed;
use jaysaddle_fleet::plan::plan_exchange;
use jaysaddle_fleet::plan::plan_groups;
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

const FREE_LOADS: LoadBudget = LoadBudget {
    available: usize::MAX,
    weight: 0.0,
};

fn free(id: usize, domain: &str, last: Option<&str>) -> FreeVm {
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

/// Guards against groups across fabric domains, which would be slow.
#[test]
fn a_group_stays_in_one_domain() {
    let free = vec![free(0, "d0", None), free(1, "d1", None)];
    let mut needs = [need(SMALL, 2, 0.0, 3.0)];
    assert!(plan_groups(free, &mut needs, FREE_LOADS).is_empty());
}

#[test]
fn vms_that_hold_the_model_come_first() {
    let free = vec![
        free(0, "d0", None),
        free(1, "d0", Some(SMALL)),
        free(2, "d0", Some(SMALL)),
    ];
    let mut needs = [need(SMALL, 2, 0.0, 3.0)];
    let groups = plan_groups(free, &mut needs, FREE_LOADS);
    assert_eq!(groups[0].members, vec![vm("vm1"), vm("vm2")]);
    assert_eq!(groups[0].loading.len(), 0);
}

#[test]
fn no_load_beyond_the_limit_is_planned() {
    let free = (0..8).map(|id| free(id, "d0", None)).collect();
    let mut needs = [need(SMALL, 2, 0.0, 3.0)];
    let five = LoadBudget {
        available: 5,
        weight: 1.0,
    };
    let groups = plan_groups(free, &mut needs, five);
    assert_eq!(groups.len(), 2);
}

/// Guards against loads for groups of new VMs while one of them could complete a VM that holds the model.
#[test]
fn a_group_with_fewer_loads_goes_first() {
    let free = vec![
        free(0, "d0", None),
        free(1, "d0", None),
        free(2, "d1", None),
        free(3, "d1", Some(SMALL)),
    ];
    let mut needs = [need(SMALL, 2, 0.0, 3.0)];
    let two = LoadBudget {
        available: 2,
        weight: 1.0,
    };
    let groups = plan_groups(free, &mut needs, two);
    assert_eq!(groups[0].loading, vec![vm("vm2")]);
    assert_eq!(groups.len(), 1);
}

/// Guards against a fleet that serves one model well and starves the other: both follow their demand.
#[test]
fn capacity_follows_demand() {
    let free = (0..60)
        .map(|id| free(id, &format!("d{}", id / 10), None))
        .collect();
    let mut needs = [need(LARGE, 4, 0.0, 4.0), need(SMALL, 2, 0.0, 8.0)];
    let groups = plan_groups(free, &mut needs, FREE_LOADS);
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
        free(first, "d0", Some(SMALL)),
        free(first + 1, "d0", Some(SMALL)),
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

/// Guards against free VMs of a lost large group that wait although one small group could complete them.
#[test]
fn one_small_group_completes_a_large_one() {
    let free: Vec<FreeVm> = (0..3).map(|id| free(id, "d0", Some(LARGE))).collect();
    let donors = vec![donor(1, 10), donor(2, 20)];
    let needs = [need(LARGE, 4, 4.0, 4.0), need(SMALL, 2, 16.0, 8.0)];
    let domain = FabricDomainId::new("d0");
    let exchange = plan_exchange(&domain, &free, &donors, &needs).expect("an exchange");
    assert_eq!(exchange.donors.len(), 1);
    assert_eq!(exchange.model, model(LARGE));
}

/// Guards against groups that change their model back and forth under balanced load.
#[test]
fn balanced_models_are_left_alone() {
    let donors = vec![donor(1, 10), donor(2, 20)];
    let needs = [need(LARGE, 4, 7.0, 4.0), need(SMALL, 2, 15.0, 8.0)];
    let domain = FabricDomainId::new("d0");
    assert!(plan_exchange(&domain, &[], &donors, &needs).is_none());
}

/// Guards against members that hold their weights and wait for one that loads: the new VM gets the model that its
/// neighbours lack one VM for.
#[test]
fn a_new_vm_gets_the_model_that_its_neighbours_need() {
    let pool = vec![
        free(0, "d0", Some(LARGE)),
        free(1, "d0", Some(LARGE)),
        free(2, "d0", Some(LARGE)),
        free(3, "d0", None),
        free(4, "d1", None),
    ];
    let needs = [need(LARGE, 4, 4.0, 4.0), need(SMALL, 2, 8.0, 8.0)];
    let planned = plan_staging(&pool[3..], &pool, &needs, 7);
    assert_eq!(planned[0].vm, vm("vm3"));
    assert_eq!(planned[0].model, model(LARGE));
    assert_eq!(planned[1].model, model(SMALL));
}

/// Guards against loads that complete nothing: four new VMs in a domain that lacks one VM for a large group were all
/// given the large model, and waited.
#[test]
fn a_load_under_way_counts_for_the_next_ones() {
    let mut pool = vec![
        free(0, "d0", Some(LARGE)),
        free(1, "d0", Some(LARGE)),
        free(2, "d0", Some(LARGE)),
    ];
    pool.extend((3..7).map(|id| free(id, "d0", None)));
    let needs = [need(LARGE, 4, 3.0, 4.0), need(SMALL, 2, 8.0, 8.0)];
    let models: Vec<_> = plan_staging(&pool[3..], &pool, &needs, 3)
        .into_iter()
        .map(|planned| planned.model)
        .collect();
    assert_eq!(models, [model(LARGE), model(SMALL), model(SMALL)]);
    pool[3].staged.push(model(LARGE));
    let next = plan_staging(&pool[4..], &pool, &needs, 1);
    assert_eq!(next[0].model, model(SMALL));
}

/// Guards against VMs that hold a model nobody near them holds and wait for three new neighbours, while one load
/// would make a small group of two of them.
#[test]
fn a_vm_without_partners_gets_the_model_of_a_new_neighbour() {
    let pool = vec![free(0, "d0", Some(LARGE)), free(1, "d0", None)];
    let needs = [need(LARGE, 4, 4.0, 4.0), need(SMALL, 2, 4.0, 8.0)];
    let planned = plan_staging(&pool, &pool, &needs, 2);
    assert_eq!(
        (&planned[0].vm, &planned[0].model),
        (&vm("vm1"), &model(SMALL))
    );
    assert_eq!(
        (&planned[1].vm, &planned[1].model),
        (&vm("vm0"), &model(SMALL))
    );
}
