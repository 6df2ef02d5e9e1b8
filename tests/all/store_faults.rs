//! Faults of the control plane: paused lease holders, store outages and lost store responses.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::cluster_state::assert_one_group_per_vm;
use crate::cluster_state::engine;
use crate::cluster_state::engine_counter;
use crate::cluster_state::engines_match_store;
use crate::cluster_state::member_of_first_group;
use crate::cluster_state::stored;
use crate::cluster_state::wait_repaired;
use crate::deployment::DOMAINS;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::load::CallerLoad;

/// Pause of a lease holder; a lease lasts 10 s and can be taken over after 12 s.
const HOLDER_PAUSE: Duration = Duration::from_secs(20);

/// Time for which the resumed holder is observed.
const RESUME_WATCH: Duration = Duration::from_secs(4);

/// Duration of the store outage; longer than a lease.
const OUTAGE: Duration = Duration::from_secs(15);

/// The fabric domain of a VM.
fn fabric_domain(deployment: &Deployment, vm: &str) -> &'static str {
    let vms = deployment.vms();
    let found = vms.iter().find(|(name, _, _)| name == vm);
    DOMAINS[found.expect("the VM exists").2].1
}

fn check_resumed_lease_holder(fencing: &'static str) {
    let settings = DeploymentSettings {
        fencing,
        ..DeploymentSettings::default()
    };
    let deployment = Arc::new(Deployment::start_ready(settings));
    let vm = member_of_first_group(&deployment, 1);
    let shard = fabric_domain(&deployment, &vm);
    let (_, lease) = stored(&deployment, "lease", shard).expect("the shard has a lease");
    let holder = lease["holder"]["id"]
        .as_str()
        .expect("the lease has a holder")
        .to_owned();
    let epoch = lease["epoch"].as_u64().expect("the lease has an epoch");
    let number: usize = holder
        .trim_start_matches("entry-")
        .parse()
        .expect("the node id ends in a number");
    let paused = number - 1;
    let others: Vec<usize> = (0..3).filter(|node| *node != paused).collect();

    let load = CallerLoad::start(&deployment, 4, 40);
    load.wait_complete(&deployment, 20);
    load.use_nodes(&others);
    thread::sleep(Duration::from_millis(500));
    // Pause the holder while it repairs the loss, so that it resumes with unfinished work.
    engine(&deployment, &vm).send_kill();
    thread::sleep(Duration::from_millis(1500));
    let started = Instant::now();
    deployment.nodes[paused].pause();
    wait_repaired(&deployment, &others, &vm);
    deployment.wait_until("another node holds the lease", |this| {
        assert_one_group_per_vm(this);
        stored(this, "lease", shard).is_some_and(|(_, lease)| {
            lease["epoch"].as_u64() > Some(epoch) && lease["holder"]["id"] != holder.as_str()
        })
    });
    thread::sleep(HOLDER_PAUSE.saturating_sub(started.elapsed()));
    let (_, before) = stored(&deployment, "placement", shard).expect("a placement is stored");
    deployment.nodes[paused].resume();

    let returned = Instant::now();
    while returned.elapsed() < RESUME_WATCH {
        assert_one_group_per_vm(&deployment);
        let (_, after) = stored(&deployment, "placement", shard).expect("a placement is stored");
        assert!(
            after["epoch"].as_u64() >= before["epoch"].as_u64(),
            "{after}"
        );
        assert!(after["last_generation"].as_u64() >= before["last_generation"].as_u64());
        thread::sleep(Duration::from_millis(100));
    }
    let (_, lease) = stored(&deployment, "lease", shard).expect("the shard has a lease");
    assert!(lease["epoch"].as_u64() > Some(epoch), "{lease}");
    deployment.wait_until(
        "the engines match the stored placement",
        engines_match_store,
    );
    wait_repaired(&deployment, &[0, 1, 2], &vm);
    load.use_nodes(&[0, 1, 2]);
    load.wait_complete(&deployment, 20);
    let stale: u64 = deployment
        .vms()
        .iter()
        .map(|(vm, _, _)| engine_counter(&deployment, vm, "stale_orders"))
        .sum();
    println!(
        "fencing {fencing}, holder {holder}, refused orders {stale}: {:?}",
        load.finish()
    );
}

/// Guards against a paused lease holder that resumes and reverts its successor's changes, with
/// engines that check fencing tokens.
#[test]
fn resumed_lease_holder_cannot_revert_successor_with_fencing() {
    check_resumed_lease_holder("enforced");
}

/// Guards against a paused lease holder that resumes and reverts its successor's changes, with
/// engines that ignore fencing tokens.
#[test]
fn resumed_lease_holder_cannot_revert_successor_without_fencing() {
    check_resumed_lease_holder("ignored");
}

/// Guards against requests that fail, and placement changes that are made, while the store is
/// unavailable.
#[test]
fn store_outage_stops_placement_but_not_requests() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    let platform = deployment.platform_address();
    let load = CallerLoad::start(&deployment, 4, 40);
    load.wait_complete(&deployment, 20);
    let vm = member_of_first_group(&deployment, 1);
    let shard = fabric_domain(&deployment, &vm);
    let (version, _) = stored(&deployment, "placement", shard).expect("a placement is stored");
    let survivors: Vec<_> = deployment
        .vms()
        .into_iter()
        .map(|(name, _, _)| name)
        .filter(|name| *name != vm)
        .collect();
    let orders = || -> u64 {
        survivors
            .iter()
            .map(|vm| engine_counter(&deployment, vm, "orders"))
            .sum()
    };
    let orders_before = orders();
    deployment.set_fault(platform, &json!({ "outage": "closed" }));
    let started = Instant::now();
    thread::sleep(OUTAGE / 3);
    engine(&deployment, &vm).send_kill();
    let response = deployment.apply(1, "rules", 1, &deployment.rules());
    assert!(matches!(response.status, 503 | 504), "{}", response.text);
    deployment.wait_until("readiness reports the outage", |this| {
        this.operator_get(0, "/readyz")
            .is_some_and(|response| response.json["store_reachable"] == false)
    });
    while started.elapsed() < OUTAGE {
        load.wait_complete(&deployment, 20);
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(
        orders(),
        orders_before,
        "orders were sent without a stored intent"
    );
    deployment.set_fault(platform, &json!({ "outage": "off" }));
    wait_repaired(&deployment, &[0, 1, 2], &vm);
    let (after, _) = stored(&deployment, "placement", shard).expect("a placement is stored");
    assert!(after > version);
    assert_one_group_per_vm(&deployment);
    load.wait_complete(&deployment, 20);
    let report = load.finish();
    println!("outage with {vm} lost: {report:?}");
    assert_eq!(report.broken, 0, "{report:?}");
}

/// Guards against writes that are applied twice, or reported as failed, because the store's response
/// was lost.
#[test]
fn lost_store_responses_apply_each_write_once() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    let platform = deployment.platform_address();
    let load = CallerLoad::start(&deployment, 4, 40);
    for version in 1..=5 {
        deployment.set_fault(platform, &json!({ "lose_writes": 1 }));
        let node = usize::try_from(version % 3).expect("the node index fits in usize");
        let response = deployment.apply(node, "rules", version, &deployment.rules());
        assert_eq!(response.status, 200, "{}", response.text);
        let (stored, _) = stored(&deployment, "config", "rules").expect("the rules are stored");
        assert_eq!(
            stored,
            version + 1,
            "each change increments the version once"
        );
    }
    let vm = member_of_first_group(&deployment, 1);
    deployment.set_fault(platform, &json!({ "lose_writes": 20 }));
    engine(&deployment, &vm).send_kill();
    wait_repaired(&deployment, &[0, 1, 2], &vm);
    assert_one_group_per_vm(&deployment);
    deployment.wait_until(
        "the engines match the stored placement",
        engines_match_store,
    );
    load.wait_complete(&deployment, 20);
    println!("lost store responses: {:?}", load.finish());
}
