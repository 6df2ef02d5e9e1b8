//! Idempotent requests whose group leader fails after it has sent part of the response.

use jaysaddle_standins::expected_text;
use jaysaddle_types::ids::ModelId;
use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;

/// Tokens of a response that takes over a second.
const LONG_RESPONSE_TOKENS: u32 = 600;
/// Factor by which engines are slowed until the kill. The response then takes 12 s, so that the kill happens in the middle
/// of it also on a busy machine.
const SLOWDOWN: f64 = 10.0;

/// VMs that started the request with `prompt`, each with its number of starts.
fn starts(deployment: &Deployment, prompt: &str) -> Vec<(String, u64)> {
    let mut found = Vec::new();
    for (vm, _, _) in deployment.vms() {
        let url = format!("http://{}/control/runs", deployment.control_address(&vm));
        let response = minreq::get(url)
            .with_timeout(5)
            .send()
            .expect("the control address responds");
        let list: Value =
            serde_json::from_slice(response.as_bytes()).expect("the list of runs is JSON");
        let runs = list["runs"]
            .as_array()
            .expect("the response has a list of runs");
        let matching = runs.iter().filter(|run| run["prompt"] == prompt);
        found.extend(matching.map(|run| (vm.clone(), run["starts"].as_u64().unwrap_or(0))));
    }
    found
}

/// Number of runs that ended because the VM was killed or a member was missing.
fn aborted_runs(deployment: &Deployment, vm: &str) -> u64 {
    let url = format!("http://{}/control/stats", deployment.control_address(vm));
    let response = minreq::get(url).with_timeout(5).send();
    let response = response.expect("the control address responds");
    let stats: Value =
        serde_json::from_slice(response.as_bytes()).expect("the statistics are JSON");
    stats[vm]["aborted"].as_u64().expect("a count")
}

/// Sends a long request, kills its group leader while it runs, and returns the status and body of
/// the response.
fn kill_leader_mid_response(deployment: &Deployment, prompt: &str, stream: bool) -> (u16, String) {
    let body = json!({
        "model": "reminder",
        "prompt": prompt,
        "max_tokens": LONG_RESPONSE_TOKENS,
        "stream": stream,
    });
    let set_fault = |vm: &str, fault: &str| {
        let fault = json!({ "vm": vm, "fault": fault, "value": SLOWDOWN });
        deployment.set_fault(deployment.control_address(vm), &fault);
    };
    let vms: Vec<String> = deployment.vms().into_iter().map(|(vm, _, _)| vm).collect();
    vms.iter().for_each(|vm| set_fault(vm, "slow"));
    std::thread::scope(|scope| {
        let headers = [("Authorization", "Bearer lender-a-key")];
        let call =
            scope.spawn(move || deployment.post(0, "/v1/completions", &headers, &body.to_string()));
        deployment.wait_until("the request runs", |this| !starts(this, prompt).is_empty());
        // Some tokens must have been sent before the leader fails.
        std::thread::sleep(std::time::Duration::from_millis(300));
        let (leader, _) = starts(deployment, prompt).remove(0);
        set_fault(&leader, "kill");
        assert_eq!(aborted_runs(deployment, &leader), 1, "killed in the run");
        let others = vms.iter().filter(|vm| **vm != leader);
        others.for_each(|vm| set_fault(vm, "recover"));
        let response = call
            .join()
            .expect("the caller does not panic")
            .expect("the node responds");
        (response.status, response.text)
    })
}

/// Guards against refusing a request that another group could serve, although the node has not
/// sent the caller any token yet.
#[test]
fn unstreamed_request_is_retried_at_another_group() {
    let deployment = Deployment::start_ready(DeploymentSettings::default());
    let prompt = "quote order 41";
    let (status, text) = kill_leader_mid_response(&deployment, prompt, false);
    assert_eq!(status, 200, "{text}");
    let response: Value = serde_json::from_str(&text).expect("the response is JSON");
    assert_eq!(
        response["choices"][0]["text"],
        expected_text(&ModelId::new("reminder"), prompt, LONG_RESPONSE_TOKENS)
    );
    let starts = starts(&deployment, prompt);
    assert_eq!(starts.len(), 2, "{starts:?}");
}

/// Guards against a request that ends its backend servers and is sent to one group after the other until none is left.
#[test]
fn request_that_ends_its_servers_is_not_sent_a_third_time() {
    let deployment = Deployment::start_ready(DeploymentSettings::default());
    let prompt = "quote order 43";
    let body = json!({
        "model": "reminder",
        "prompt": prompt,
        "max_tokens": LONG_RESPONSE_TOKENS,
        "stream": false,
    });
    let response = std::thread::scope(|scope| {
        let deployment = &deployment;
        let headers = [("Authorization", "Bearer lender-a-key")];
        let call =
            scope.spawn(move || deployment.post(0, "/v1/completions", &headers, &body.to_string()));
        let mut killed = Vec::new();
        while !call.is_finished() {
            for (vm, _) in starts(deployment, prompt) {
                if !killed.contains(&vm) {
                    let control = deployment.control_address(&vm);
                    deployment.set_fault(control, &json!({ "vm": vm, "fault": "kill" }));
                    killed.push(vm);
                }
            }
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
        call.join()
            .expect("the caller does not panic")
            .expect("the node responds")
    });
    assert_eq!(response.status, 502, "{}", response.text);
    assert!(response.text.contains("may_have_run"), "{}", response.text);
    let starts = starts(&deployment, prompt);
    assert_eq!(starts.len(), 2, "{starts:?}");
}

/// Guards against running a streamed request again at another group after tokens have reached the
/// caller.
#[test]
fn streamed_request_ends_without_a_second_run() {
    let deployment = Deployment::start_ready(DeploymentSettings::default());
    let prompt = "quote order 42";
    let (status, text) = kill_leader_mid_response(&deployment, prompt, true);
    assert_eq!(status, 200, "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(text.contains("\"verdict\":\"may_have_run\""), "{text}");
    let starts = starts(&deployment, prompt);
    assert_eq!(starts.iter().map(|(_, count)| count).sum::<u64>(), 1);
}
