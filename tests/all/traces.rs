//! Replays of the recorded traces of two users with `jaysaddle replay`.

use std::path::Path;
use std::process::Command;

use crate::deployment::ACCOUNT_KEYS;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::deployment::SERVICE_VM;

/// Replays a trace and prints the tool's report; returns whether all expected outcomes occurred.
fn replay(deployment: &Deployment, trace: &str) -> bool {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jaysaddle"));
    command.arg("replay");
    for node in 0..deployment.nodes.len() {
        command.args(["--node", &deployment.caller_address(node).to_string()]);
    }
    let vms = deployment.vms().into_iter().map(|(name, _, _)| name);
    for vm in vms.chain([SERVICE_VM.to_owned()]) {
        let address = deployment.control_address(&vm);
        command.args(["--standin", &format!("{vm}={address}")]);
    }
    let platform = deployment.platform_address();
    command.args(["--standin", &format!("platform={platform}")]);
    for (account, key, _) in ACCOUNT_KEYS {
        command.args(["--account", &format!("{account}={key}")]);
    }
    command.arg(
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("traces")
            .join(trace),
    );
    let output = command.output().expect("the tool can be run");
    println!("{}", String::from_utf8_lossy(&output.stdout));
    println!("{}", String::from_utf8_lossy(&output.stderr));
    output.status.success()
}

/// Ready groups that have `vm` as a member, as `id@generation`.
fn groups_of(deployment: &Deployment, vm: &str) -> Vec<String> {
    let groups = deployment.groups_in_state(0, "ready");
    groups
        .iter()
        .filter(|group| group["members"].to_string().contains(vm))
        .map(|group| format!("{}@{}", group["id"], group["generation"]))
        .collect()
}

fn start() -> Deployment {
    let deployment = Deployment::start_ready(DeploymentSettings {
        service: true,
        ..DeploymentSettings::default()
    });
    deployment.wait_until("every node lists all its peers", |this| {
        (0..this.nodes.len()).all(|node| {
            let response = this.discover(node);
            response.is_some_and(|response| {
                response.json["addresses"]
                    .as_array()
                    .is_some_and(|addresses| addresses.len() == this.nodes.len())
            })
        })
    });
    deployment
}

/// Guards against reminders that run twice and refusals with a wrong verdict while a member VM
/// fails and the store is unavailable, and against a group that is not repaired afterwards.
#[test]
fn ebiere_morning_trace_has_expected_outcomes() {
    let deployment = start();
    assert_eq!(groups_of(&deployment, "vm-phc-a-2").len(), 1);
    assert!(replay(&deployment, "ebiere-morning.trace"));
    deployment.wait_groups(deployment.settings.groups);
    assert!(groups_of(&deployment, "vm-phc-a-2").is_empty());
}

/// Guards against reservations that are confirmed twice, and quotes that are empty or missing, while
/// the service is slow and a failure domain is down.
#[test]
fn medjerda_night_trace_has_expected_outcomes() {
    let deployment = start();
    let domain_vms = ["vm-yen-a-1", "vm-yen-a-2", "vm-yen-a-3"];
    assert!(
        domain_vms
            .iter()
            .any(|vm| !groups_of(&deployment, vm).is_empty())
    );
    assert!(replay(&deployment, "medjerda-night.trace"));
}
