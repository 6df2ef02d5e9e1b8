//! Faults of VMs and connections under a continuous load of requests.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::cluster_state::engine;
use crate::cluster_state::engine_counter;
use crate::cluster_state::member_of_first_group;
use crate::cluster_state::runs;
use crate::cluster_state::wait_repaired;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::load::CallerLoad;
use crate::load::CallerOutcome;
use crate::load::request_completion;

const CALLERS: usize = 6;

/// Guards against a group that keeps serving without a member or is not repaired, and against
/// truncated or mixed-up responses when a member fails: first a follower, then a leader.
#[test]
fn killed_member_is_replaced_under_load() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    let load = CallerLoad::start(&deployment, CALLERS, 40);
    load.wait_complete(&deployment, 50);
    let mut killed = Vec::new();
    for rank in [1, 0] {
        let vm = member_of_first_group(&deployment, rank);
        engine(&deployment, &vm).send_kill();
        load.wait_complete(&deployment, 50);
        // Only the first loss is certain to be repaired: a second loss in the same fabric domain
        // finds no spare VM.
        if rank == 1 {
            wait_repaired(&deployment, &[0, 1, 2], &vm);
        }
        killed.push(vm);
        load.wait_complete(&deployment, 50);
    }
    let report = load.finish();
    println!("killed {killed:?}: {report:?}");
    assert_eq!(report.broken, 0, "{report:?}");
}

/// Guards against sending requests to a group that lacks a member. No spare VM can replace the
/// member, and the leader refuses all requests, so its counters show what it was sent.
#[test]
fn incomplete_group_receives_no_requests() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings {
        vms: 2,
        ..DeploymentSettings::default()
    }));
    let load = CallerLoad::start(&deployment, CALLERS, 20);
    load.wait_complete(&deployment, 50);
    let leader = member_of_first_group(&deployment, 0);
    let lost = member_of_first_group(&deployment, 1);
    engine(&deployment, &lost).send_kill();
    deployment.wait_until("every node has observed the loss", |this| {
        (0..3).all(|node| this.groups_in_state(node, "ready").len() == 2)
    });
    // Requests that were routed before the loss was observed may still arrive.
    thread::sleep(Duration::from_secs(2));
    let sent = || {
        engine_counter(&deployment, &leader, "refused")
            + engine_counter(&deployment, &leader, "started")
    };
    let before = sent();
    load.wait_complete(&deployment, 200);
    assert_eq!(
        sent(),
        before,
        "{leader} received requests although {lost} is lost"
    );
    println!("{leader} without {lost}: {:?}", load.finish());
}

/// Guards against requests that hang or get wrong responses when a member is paused, and against
/// a group that counts the paused VM as present.
#[test]
fn paused_member_is_replaced_and_can_return() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    let load = CallerLoad::start(&deployment, CALLERS, 40);
    load.wait_complete(&deployment, 50);
    let vm = member_of_first_group(&deployment, 0);
    engine(&deployment, &vm).pause();
    thread::sleep(Duration::from_secs(6));
    load.wait_complete(&deployment, 50);
    engine(&deployment, &vm).resume();
    load.wait_complete(&deployment, 100);
    deployment.wait_groups(deployment.settings.groups);
    let report = load.finish();
    println!("paused {vm}: {report:?}");
    assert_eq!(report.broken, 0, "{report:?}");
}

/// Settings with slow token generation, so that a fault can be injected in the middle of a stream.
fn long_stream_settings() -> DeploymentSettings {
    DeploymentSettings {
        token_time: "20ms",
        ..DeploymentSettings::default()
    }
}

/// Sends completion requests, most of them streamed, to all nodes, injects a fault into all engines
/// while they run, and returns the outcomes.
fn stream_outcomes_under_fault(
    deployment: &Arc<Deployment>,
    name: &str,
    fault: &Value,
) -> Vec<CallerOutcome> {
    let threads: Vec<_> = (0..9)
        .map(|caller| {
            let deployment = Arc::clone(deployment);
            let prompt = format!("{name} {caller}");
            thread::spawn(move || {
                request_completion(&deployment, caller % 3, &prompt, 100, caller < 6, &[])
            })
        })
        .collect();
    let started = format!("{name} ");
    deployment.wait_until("all streams are running", |this| {
        let found = runs(this);
        found
            .keys()
            .filter(|prompt| prompt.starts_with(&started))
            .count()
            == 9
    });
    thread::sleep(Duration::from_millis(200));
    for (_, address, _) in deployment.vms() {
        deployment.set_fault(address, fault);
    }
    threads
        .into_iter()
        .map(|thread| thread.join().expect("no caller panics"))
        .collect()
}

/// Guards against streams that hang or are truncated when connections stall or break, or when
/// chunks arrive twice or out of order. The runs continue at the engines, so every response must be
/// complete and no run may start twice.
#[test]
fn streams_complete_despite_connection_faults() {
    let deployment = Arc::new(Deployment::start_ready(long_stream_settings()));
    for name in ["silent", "cut", "duplicate", "reorder"] {
        let outcomes = stream_outcomes_under_fault(&deployment, name, &json!({ "fault": name }));
        for outcome in &outcomes {
            assert_eq!(*outcome, CallerOutcome::Complete, "{name}: {outcomes:?}");
        }
        for (prompt, starts) in runs(&deployment) {
            assert_eq!(starts, 1, "{prompt} did not run exactly once");
        }
        for (_, address, _) in deployment.vms() {
            deployment.set_fault(address, &json!({ "fault": "recover" }));
        }
    }
}

/// Guards against empty responses that count as success, such as an empty quote draft.
#[test]
fn empty_responses_are_errors() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    for (_, address, _) in deployment.vms() {
        deployment.set_fault(address, &json!({ "fault": "empty" }));
    }
    for round in 0..6 {
        for idempotent in ["true", "false"] {
            let prompt = format!("empty {round} {idempotent}");
            let headers = [("Jaysaddle-Idempotent", idempotent)];
            let outcome =
                request_completion(&deployment, round % 3, &prompt, 8, round < 3, &headers);
            let CallerOutcome::Refused(verdict, reason) = &outcome else {
                panic!("an empty response must be an error: {outcome:?}");
            };
            // A group becomes suspect after some failed requests; from then on nothing is sent.
            let starts = runs(&deployment).get(&prompt).copied().unwrap_or(0);
            match (verdict.as_str(), reason.as_str()) {
                ("may_have_run", "backend_failed") => assert!(starts > 0, "{prompt}: {starts}"),
                ("not_run", "no_whole_group") => assert_eq!(starts, 0, "{prompt}"),
                _ => panic!("{prompt}: {outcome:?}"),
            }
            if idempotent == "false" {
                assert!(starts <= 1, "{prompt} ran {starts} times");
            }
        }
    }
    for (_, address, _) in deployment.vms() {
        deployment.set_fault(address, &json!({ "fault": "recover" }));
    }
    deployment.wait_until("responses are complete again", |this| {
        request_completion(this, 0, "after the fault", 8, true, &[]) == CallerOutcome::Complete
    });
}
