//! Requests served end to end without faults.

use jaysaddle_standins::expected_text;
use jaysaddle_types::ids::ModelId;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;

/// Guards against any break in the path between caller and engine.
#[test]
fn completion_is_answered_at_every_node() {
    let deployment = Deployment::start_ready(DeploymentSettings::default());
    for node in 0..deployment.nodes.len() {
        let prompt = format!("remind borrower {node}");
        let response = deployment
            .post_completion(node, &prompt, 12, &[])
            .expect("the node responds");
        assert_eq!(response.status, 200, "{}", response.text);
        assert_eq!(
            response.completion_text(),
            expected_text(&ModelId::new("reminder"), &prompt, 12)
        );
        assert_eq!(response.json["usage"]["completion_tokens"], 12);
    }
}

/// Guards against streams that end without the end marker, or whose events do not add up to the
/// expected text.
#[test]
fn stream_delivers_complete_response() {
    let deployment = Deployment::start_ready(DeploymentSettings::default());
    let body = json!({
        "model": "reminder",
        "prompt": "summarise the call",
        "max_tokens": 20,
        "stream": true,
    });
    let headers = [("Authorization", "Bearer lender-a-key")];
    let response = deployment
        .post(1, "/v1/completions", &headers, &body.to_string())
        .expect("the node responds");
    assert_eq!(response.status, 200, "{}", response.text);
    let events: Vec<&str> = response
        .text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    assert_eq!(events.last(), Some(&"[DONE]"));
    let text: String = events
        .iter()
        .filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(
        text,
        expected_text(&ModelId::new("reminder"), "summarise the call", 20)
    );
}
