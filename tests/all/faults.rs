//! Faults of VMs, streams and daemons while requests run all the time.

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

/// Guards against a group that goes on serving without a member, that is not repaired, or answers
/// that are cut or mixed up when a member fails: once a follower, once a leader.
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
        // The second loss leaves a fabric domain without a spare when it hits the first one's.
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

/// Guards against requests that are sent to a group that lacks a member. No spare can replace it,
/// and the leader refuses what it gets, so what it refuses shows what it was sent.
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
    deployment.wait_until("every node knows of the loss", |this| {
        (0..3).all(|node| this.groups_in_state(node, "ready").len() == 2)
    });
    // Requests that were routed before may still arrive.
    thread::sleep(Duration::from_secs(2));
    let sent = || {
        engine_counter(&deployment, &leader, "refused")
            + engine_counter(&deployment, &leader, "started")
    };
    let before = sent();
    load.wait_complete(&deployment, 200);
    assert_eq!(sent(), before, "{leader} without {lost} was sent requests");
    println!("{leader} without {lost}: {:?}", load.finish());
}

/// Guards against requests that hang or are answered wrongly when a member pauses, and against a
/// group that counts the paused VM as present.
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

/// Streams long enough for a fault in their middle.
fn long_stream_settings() -> DeploymentSettings {
    DeploymentSettings {
        token_time: "20ms",
        ..DeploymentSettings::default()
    }
}

/// Asks for streams at all nodes and applies a fault to all engines while they run.
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
    deployment.wait_until("all streams run", |this| {
        let found = runs(this);
        found
            .keys()
            .filter(|prompt| prompt.starts_with(&started))
            .count()
            == 9
    });
    thread::sleep(Duration::from_millis(200));
    for (_, address, _) in deployment.vms() {
        deployment.fault(address, fault);
    }
    threads
        .into_iter()
        .map(|thread| thread.join().expect("a caller ends"))
        .collect()
}

/// Guards against streams that hang or end without their whole answer when connections go silent
/// or break, or when pieces come twice or out of order. The runs go on at the engines, so every
/// answer must be whole, and no run may start twice.
#[test]
fn streams_complete_despite_connection_faults() {
    let deployment = Arc::new(Deployment::start_ready(long_stream_settings()));
    for name in ["silent", "cut", "duplicate", "reorder"] {
        let outcomes = stream_outcomes_under_fault(&deployment, name, &json!({ "fault": name }));
        for outcome in &outcomes {
            assert_eq!(*outcome, CallerOutcome::Complete, "{name}: {outcomes:?}");
        }
        for (prompt, starts) in runs(&deployment) {
            assert_eq!(starts, 1, "{prompt} ran once");
        }
        for (_, address, _) in deployment.vms() {
            deployment.fault(address, &json!({ "fault": "recover" }));
        }
    }
}

/// Guards against empty answers that count as success: a quote draft once came back empty.
#[test]
fn empty_responses_are_errors() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    for (_, address, _) in deployment.vms() {
        deployment.fault(address, &json!({ "fault": "empty" }));
    }
    for round in 0..6 {
        for idempotent in ["true", "false"] {
            let prompt = format!("empty {round} {idempotent}");
            let headers = [("Jaysaddle-Idempotent", idempotent)];
            let outcome =
                request_completion(&deployment, round % 3, &prompt, 8, round < 3, &headers);
            let CallerOutcome::Refused(verdict, reason) = &outcome else {
                panic!("an empty answer must be an error: {outcome:?}");
            };
            // Groups whose requests fail are suspected after a while; then nothing is sent.
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
        deployment.fault(address, &json!({ "fault": "recover" }));
    }
    deployment.wait_until("answers are whole again", |this| {
        request_completion(this, 0, "after the fault", 8, true, &[]) == CallerOutcome::Complete
    });
}
