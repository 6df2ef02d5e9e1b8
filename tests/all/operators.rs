//! Configuration changes by operators: concurrent changes, propagation time, restarts, store
//! outages and drains.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::cluster_state::engine_counter;
use crate::cluster_state::member_of_first_group;
use crate::cluster_state::wait_repaired;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::load::CallerLoad;
use crate::load::CallerOutcome;
use crate::load::request_completion;

/// Required limit on the time until an accepted change has taken effect at every node.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(17);

fn version(deployment: &Deployment, node: usize) -> Option<u64> {
    let response = deployment.operator_get(node, "/v1/config/rules")?;
    response.json["version"].as_u64()
}

/// Guards against accepting two concurrent changes of the same version, and against changes that
/// reach some nodes late or never.
#[test]
fn concurrent_changes_get_one_success_and_one_conflict() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    for expected in 1..=4 {
        let writers: Vec<_> = [0, 2]
            .into_iter()
            .map(|node| {
                let deployment = Arc::clone(&deployment);
                let mut rules = deployment.rules();
                rules["objective"]["stranded"] = json!(node + 1);
                thread::spawn(move || deployment.apply(node, "rules", expected, &rules))
            })
            .collect();
        let mut responses: Vec<_> = writers
            .into_iter()
            .map(|writer| writer.join().expect("no operator panics"))
            .collect();
        let accepted = Instant::now();
        responses.sort_by_key(|response| response.status);
        let statuses: Vec<_> = responses.iter().map(|response| response.status).collect();
        assert_eq!(statuses, [200, 409], "{responses:?}");
        assert_eq!(responses[0].json["version"], expected + 1, "{responses:?}");
        assert_eq!(responses[1].json["version"], expected + 1, "{responses:?}");
        let mut documents = Vec::new();
        for node in 0..3 {
            while version(&deployment, node) != Some(expected + 1) {
                assert!(
                    accepted.elapsed() < PROPAGATION_LIMIT,
                    "the change did not take effect at node {node} in time"
                );
                thread::sleep(Duration::from_millis(20));
            }
            let response = deployment.operator_get(node, "/v1/config/rules");
            documents.push(response.expect("the node responds").json["document"].clone());
        }
        println!(
            "version {} in effect after {:?}",
            expected + 1,
            accepted.elapsed()
        );
        assert!(documents.iter().all(|document| *document == documents[0]));
    }
}

/// Guards against a node that reverts to an older configuration when it or its peers restart, and
/// against a node that cannot start while the store is down although its peers have the
/// configuration.
#[test]
fn versions_are_monotonic_across_restarts_and_outages() {
    let mut deployment = Deployment::start_ready(DeploymentSettings::default());
    let mut expected = 1;
    for node in [2, 1, 0] {
        let response = deployment.apply((node + 1) % 3, "rules", expected, &deployment.rules());
        assert_eq!(response.status, 200, "{}", response.text);
        expected += 1;
        deployment.nodes[node].kill();
        deployment.nodes[node] = deployment.start_node(node);
        let mut seen = [0; 3];
        let started = Instant::now();
        while seen != [expected; 3] {
            assert!(
                started.elapsed() < PROPAGATION_LIMIT,
                "{seen:?}, expected {expected}"
            );
            for (other, highest) in seen.iter_mut().enumerate() {
                if let Some(found) = version(&deployment, other) {
                    assert!(
                        found >= *highest,
                        "node {other} reverted to version {found}"
                    );
                    *highest = found;
                }
            }
        }
    }
    deployment.set_fault(
        deployment.platform_address(),
        &json!({ "outage": "closed" }),
    );
    deployment.nodes[2].kill();
    deployment.nodes[2] = deployment.start_node(2);
    deployment.wait_until(
        "a node that starts during the outage has the version of its peers",
        |this| version(this, 2) == Some(expected),
    );
    // The documents arrive one by one; the node accepts callers once it has all of them.
    deployment.wait_until("the node has the complete configuration", |this| {
        this.operator_get(2, "/readyz")
            .is_some_and(|response| response.json["configured"] == true)
    });
    // Peers replicate the configuration but not the placement, which is only in the store. Until
    // the store is back, the node may refuse requests with the verdict `not_run`.
    let outcome = request_completion(&deployment, 2, "during the outage", 8, false, &[]);
    let refused = CallerOutcome::Refused("not_run".into(), "no_whole_group".into());
    assert!(
        outcome == CallerOutcome::Complete || outcome == refused,
        "{outcome:?}"
    );
    for node in [0, 1] {
        let outcome = request_completion(&deployment, node, "during the outage", 8, false, &[]);
        assert_eq!(
            outcome,
            CallerOutcome::Complete,
            "node {node} has the placement"
        );
    }
    deployment.set_fault(deployment.platform_address(), &json!({ "outage": "off" }));
    deployment.wait_until("node 2 serves callers after the outage", |this| {
        request_completion(this, 2, "after the outage", 8, false, &[]) == CallerOutcome::Complete
    });
    for node in 0..3 {
        assert_eq!(version(&deployment, node), Some(expected));
    }
}

/// Guards against a node that accepts callers without any configuration.
#[test]
fn unconfigured_node_refuses_callers() {
    let mut deployment = Deployment::start_ready(DeploymentSettings {
        nodes: 1,
        vms: 2,
        groups: 1,
        ..DeploymentSettings::default()
    });
    deployment.set_fault(
        deployment.platform_address(),
        &json!({ "outage": "closed" }),
    );
    deployment.nodes[0].kill();
    deployment.nodes[0] = deployment.start_node(0);
    deployment.wait_until("the node responds to operators", |this| {
        this.operator_get(0, "/healthz").is_some()
    });
    for _ in 0..10 {
        let ready = deployment
            .operator_get(0, "/readyz")
            .expect("the node responds");
        assert_eq!(ready.status, 503, "{}", ready.text);
        let discovery = deployment.discover(0).expect("the node responds");
        assert_eq!(discovery.status, 503, "{}", discovery.text);
        assert_eq!(discovery.reason(), "not_configured");
        assert_eq!(discovery.retry_after.as_deref(), Some("1"));
        let outcome = request_completion(&deployment, 0, "no configuration", 8, false, &[]);
        let refused = CallerOutcome::Refused("not_run".into(), "not_configured".into());
        assert_eq!(outcome, refused);
        thread::sleep(Duration::from_millis(200));
    }
    deployment.set_fault(deployment.platform_address(), &json!({ "outage": "off" }));
    deployment.wait_until("the node serves once the store is back", |this| {
        request_completion(this, 0, "configured", 8, false, &[]) == CallerOutcome::Complete
    });
}

/// Guards against a drain that interrupts requests, leaves work at the VM or cannot be undone.
#[test]
fn drained_vm_is_replaced_and_returns_after_undrain() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    let load = CallerLoad::start(&deployment, 4, 20);
    load.wait_complete(&deployment, 20);
    let vm = member_of_first_group(&deployment, 0);
    let response = deployment.operator_post(1, &format!("/v1/drain/{vm}"));
    assert_eq!(response.status, 200, "{}", response.text);
    wait_repaired(&deployment, &[0, 1, 2], &vm);
    let before = engine_counter(&deployment, &vm, "started");
    load.wait_complete(&deployment, 100);
    assert_eq!(
        engine_counter(&deployment, &vm, "started"),
        before,
        "a drained VM started new runs"
    );
    let response = deployment.operator_post(2, &format!("/v1/undrain/{vm}"));
    assert_eq!(response.status, 200, "{}", response.text);
    deployment.wait_until("the VM is live again at every node", |this| {
        (0..3).all(|node| {
            let vms = this.operator_get(node, "/v1/vms");
            let vms = vms
                .map(|response| response.json["vms"].clone())
                .unwrap_or_default();
            let mut rows = vms.as_array().into_iter().flatten();
            rows.any(|row| row.to_string().contains(&vm) && row["state"] == "live")
        })
    });
    load.wait_complete(&deployment, 20);
    let report = load.finish();
    println!("drained {vm}: {report:?}");
    assert_eq!((report.broken, report.refused.len()), (0, 0), "{report:?}");
}
