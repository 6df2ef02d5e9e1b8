//! Queries for the state of groups, engines and stored objects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde_json::Value;

use crate::deployment::DOMAINS;
use crate::deployment::Deployment;
use crate::process::TestProcess;

/// Names of a group's members.
pub fn members(group: &Value) -> Vec<String> {
    let pairs = group["members"].as_array().cloned().unwrap_or_default();
    pairs
        .iter()
        .filter_map(|pair| pair[0].as_str().map(str::to_owned))
        .collect()
}

/// Waits until these nodes see every wanted group complete again, without `vm`.
pub fn wait_repaired(deployment: &Deployment, nodes: &[usize], vm: &str) {
    deployment.wait_until(&format!("the groups are complete without {vm}"), |this| {
        nodes.iter().all(|node| {
            let groups = this.groups_in_state(*node, "ready");
            groups.len() == this.settings.groups
                && groups.iter().all(|group| {
                    this.is_confirmed(group) && !members(group).iter().any(|m| m == vm)
                })
        })
    });
}

/// Number of starts of each prompt, summed over all engines.
pub fn runs(deployment: &Deployment) -> BTreeMap<String, u64> {
    let mut starts = BTreeMap::new();
    for (vm, address, _) in deployment.vms() {
        let response = minreq::get(format!("http://{address}/control/runs"))
            .with_timeout(10)
            .send()
            .unwrap_or_else(|error| panic!("{vm} does not respond: {error}"));
        let list: Value =
            serde_json::from_slice(response.as_bytes()).expect("the response is a list of runs");
        assert_eq!(list["dropped"], 0, "{vm} did not record every run");
        for run in list["runs"].as_array().into_iter().flatten() {
            let prompt = run["prompt"].as_str().unwrap_or_default().to_owned();
            *starts.entry(prompt).or_default() += run["starts"].as_u64().unwrap_or(0);
        }
    }
    starts
}

/// The member with index `rank` of the first group that is ready at node 0; the leader has rank 0.
pub fn member_of_first_group(deployment: &Deployment, rank: usize) -> String {
    let groups = deployment.groups_in_state(0, "ready");
    members(&groups[0])[rank].clone()
}

/// The engine process of a VM.
pub fn engine<'a>(deployment: &'a Deployment, vm: &str) -> &'a TestProcess {
    let found = deployment.engines.iter().find(|(name, _)| name == vm);
    &found.expect("the VM has an engine").1
}

/// An engine's status report; `None` when the engine does not respond.
pub fn engine_report(deployment: &Deployment, vm: &str) -> Option<Value> {
    let address = deployment.vm_address(vm);
    let response = minreq::get(format!("http://{address}/engine/status"))
        .with_timeout(2)
        .send()
        .ok()?;
    serde_json::from_slice(response.as_bytes()).ok()
}

/// The counter `name` of an engine; 0 when the engine does not respond.
pub fn engine_counter(deployment: &Deployment, vm: &str, name: &str) -> u64 {
    let address = deployment.vm_address(vm);
    let response = minreq::get(format!("http://{address}/control/stats"))
        .with_timeout(2)
        .send();
    let Ok(response) = response else {
        return 0;
    };
    let stats: Value = serde_json::from_slice(response.as_bytes()).unwrap_or(Value::Null);
    stats[vm][name].as_u64().unwrap_or(0)
}

/// An object's version and value in the platform's store; `None` when the store does not respond
/// or lacks the object.
pub fn stored(deployment: &Deployment, kind: &str, name: &str) -> Option<(u64, Value)> {
    let address = deployment.platform_address();
    let response = minreq::get(format!("http://{address}/objects/{kind}/{name}"))
        .with_timeout(5)
        .send()
        .ok()?;
    let object: Value = serde_json::from_slice(response.as_bytes()).ok()?;
    let value = serde_json::from_str(object["value"].as_str()?).ok()?;
    Some((object["version"].as_u64()?, value))
}

/// Groups of all stored placements.
pub fn stored_groups(deployment: &Deployment) -> Vec<Value> {
    DOMAINS
        .iter()
        .filter_map(|(_, fabric_domain)| stored(deployment, "placement", fabric_domain))
        .flat_map(|(_, placement)| placement["groups"].as_array().cloned().unwrap_or_default())
        .collect()
}

/// Asserts that no VM is a member of two stored groups.
pub fn assert_one_group_per_vm(deployment: &Deployment) {
    let groups = stored_groups(deployment);
    let mut seen = BTreeSet::new();
    for group in &groups {
        for vm in group["members"].as_array().into_iter().flatten() {
            assert!(
                seen.insert(vm.to_string()),
                "{vm} is in two groups: {groups:?}"
            );
        }
    }
}

/// Whether every engine that responds matches the stored placement: each member reports its stored
/// group and generation, and no other VM reports a group.
pub fn engines_match_store(deployment: &Deployment) -> bool {
    let mut wanted = BTreeMap::new();
    for group in stored_groups(deployment) {
        for vm in group["members"].as_array().into_iter().flatten() {
            let name = vm.as_str().unwrap_or_default().to_owned();
            wanted.insert(name, (group["id"].clone(), group["generation"].clone()));
        }
    }
    deployment.vms().iter().all(|(vm, _, _)| {
        let Some(report) = engine_report(deployment, vm) else {
            return true;
        };
        match wanted.get(vm) {
            Some((group, generation)) => {
                report["group"] == *group && report["generation"] == *generation
            }
            None => report["group"].is_null(),
        }
    })
}
