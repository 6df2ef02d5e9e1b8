//! Graceful stop of a daemon.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cluster_state::runs;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::load::CallerLoad;
use crate::load::CallerOutcome;
use crate::load::request_completion;

/// Guards against a graceful stop that cuts streams, loses the responses of keyed requests, or
/// leaves the stopping node in the discovery response.
#[test]
fn graceful_stop_completes_streams_and_hands_over_ledger() {
    let mut deployment = Deployment::start_ready(DeploymentSettings {
        token_time: "20ms",
        ..DeploymentSettings::default()
    });
    // Waiting for the exit needs exclusive access, while the callers share the deployment.
    let mut stopping = deployment.nodes.remove(0);
    let deployment = Arc::new(deployment);
    let home = deployment.home_token(0);
    let keyed = |node: usize, number: usize| {
        let key = format!("keyed-{number}");
        let headers = [
            ("Idempotency-Key", key.as_str()),
            ("Jaysaddle-Home", home.as_str()),
            ("Jaysaddle-Idempotent", "false"),
        ];
        request_completion(&deployment, node, &key, 8, false, &headers)
    };
    for number in 0..10 {
        assert_eq!(keyed(0, number), CallerOutcome::Complete);
    }
    let load = CallerLoad::start(&deployment, 4, 30);
    load.use_nodes(&[0, 1, 2]);
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let deployment = Arc::clone(&deployment);
            let prompt = format!("long {number}");
            thread::spawn(move || request_completion(&deployment, 0, &prompt, 150, true, &[]))
        })
        .collect();
    deployment.wait_until("the long streams are running", |this| {
        let found = runs(this);
        found
            .keys()
            .filter(|prompt| prompt.starts_with("long "))
            .count()
            == 6
    });
    stopping.terminate();
    deployment.wait_until("discovery no longer lists the node", |this| {
        let mut responses = (1..3).filter_map(|node| this.discover(node));
        responses.all(|response| !response.text.contains("\"entry-1\""))
    });
    load.use_nodes(&[1, 2]);
    let stopped = stopping.wait_exit();
    for (number, stream) in streams.into_iter().enumerate() {
        let outcome = stream.join().expect("no caller panics");
        assert_eq!(outcome, CallerOutcome::Complete, "stream {number}");
    }
    assert_eq!(stopped, Some(0), "{}", deployment.node_log(0));
    for number in 0..10 {
        for node in [1, 2] {
            assert_eq!(
                keyed(node, number),
                CallerOutcome::Complete,
                "key {number} at {node}"
            );
        }
    }
    thread::sleep(Duration::from_millis(500));
    for (prompt, starts) in runs(&deployment) {
        assert_eq!(starts, 1, "{prompt} did not run exactly once");
    }
    let report = load.finish();
    println!("graceful stop: {report:?}");
    assert_eq!(report.broken, 0, "{report:?}");
}
