//! Calls of plain services, which the system must not run twice.

use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;

const SERVICE_PATH: &str = "/v1/services/promises/record";

/// Starts a deployment whose plain service can be called through every node.
fn start_with_service() -> Deployment {
    let deployment = Deployment::start_ready(DeploymentSettings {
        service: true,
        ..DeploymentSettings::default()
    });
    deployment.wait_until("every node can call the service", |this| {
        (0..this.nodes.len()).all(|node| {
            let headers = [
                ("Authorization", "Bearer lender-a-key"),
                ("Jaysaddle-Idempotent", "true"),
            ];
            this.post(node, SERVICE_PATH, &headers, "probe")
                .is_ok_and(|response| response.status == 200)
        })
    });
    deployment
}

/// Number of times that the service started a call with `body`, by its own record.
fn start_count(deployment: &Deployment, body: &str) -> u64 {
    let url = format!("http://{}/control/runs", deployment.service_address());
    let response = minreq::get(url)
        .with_timeout(5)
        .send()
        .expect("the service responds");
    let list: Value =
        serde_json::from_slice(response.as_bytes()).expect("the list of runs is JSON");
    assert_eq!(list["dropped"], 0);
    let runs = list["runs"]
        .as_array()
        .expect("the response has a list of runs");
    runs.iter()
        .filter(|run| run["body"] == body)
        .filter_map(|run| run["starts"].as_u64())
        .sum()
}

/// Guards against a keyed call that runs again, or gets a different response, when the caller
/// repeats it at another node.
#[test]
fn keyed_call_repeated_at_another_node_runs_once() {
    let deployment = start_with_service();
    let home = deployment.home_token(0);
    let headers = [
        ("Authorization", "Bearer lender-a-key"),
        ("Idempotency-Key", "promise-17"),
        ("Jaysaddle-Home", home.as_str()),
        ("Jaysaddle-Idempotent", "false"),
    ];
    let body = json!({ "loan": 17, "promise": "friday" }).to_string();
    let first = deployment
        .post(0, SERVICE_PATH, &headers, &body)
        .expect("the node responds");
    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(first.json["request"], body.as_str(), "{}", first.text);
    for node in [1, 2, 0] {
        let repeat = deployment
            .post(node, SERVICE_PATH, &headers, &body)
            .expect("the node responds");
        assert_eq!(repeat.status, 200, "node {node}: {}", repeat.text);
        assert_eq!(repeat.text, first.text, "node {node}");
    }
    assert_eq!(start_count(&deployment, &body), 1);
}

/// Guards against a keyed non-idempotent call that runs without a home token: a caller retry at
/// another node could not find the record of the first run.
#[test]
fn keyed_call_without_home_token_is_refused() {
    let deployment = start_with_service();
    let headers = [
        ("Authorization", "Bearer lender-a-key"),
        ("Idempotency-Key", "promise-18"),
        ("Jaysaddle-Idempotent", "false"),
    ];
    let response = deployment
        .post(1, SERVICE_PATH, &headers, "promise 18")
        .expect("the node responds");
    assert_eq!(response.status, 400, "{}", response.text);
    assert_eq!(response.verdict(), "not_run");
    assert_eq!(response.reason(), "home_token_required");
    assert_eq!(start_count(&deployment, "promise 18"), 0);
}
