//! At-most-once execution of keyed requests, and groups that must not start new runs, under faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::cluster_state::engine_counter;
use crate::cluster_state::engine_report;
use crate::cluster_state::members;
use crate::cluster_state::runs;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::load::CallerLoad;
use crate::load::CallerOutcome;
use crate::load::request_completion;

/// Required limit on the time until a leaving VM gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Additional time for the state change to reach all nodes.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Sends one keyed request and repeats it at other nodes until it has a final outcome.
fn request_keyed_completion(
    deployment: &Deployment,
    first: usize,
    prompt: &str,
    always_repeat: bool,
) -> Option<CallerOutcome> {
    let discovery = deployment.discover(first)?;
    let home = discovery.json["home"].as_str()?.to_owned();
    let headers = [
        ("Idempotency-Key", prompt),
        ("Jaysaddle-Home", home.as_str()),
        ("Jaysaddle-Idempotent", "false"),
    ];
    let mut outcome = request_completion(deployment, first, prompt, 30, false, &headers);
    for attempt in 1..20 {
        let retry = match &outcome {
            CallerOutcome::Broken => true,
            CallerOutcome::Refused(_, reason) => reason == "still_running",
            _ => always_repeat && attempt < 3,
        };
        if !retry {
            break;
        }
        // Node 0 is killed during the test; the other nodes keep running.
        let node = 1 + (first + attempt) % 2;
        let next = request_completion(deployment, node, prompt, 30, false, &headers);
        // After a complete response the home node may have failed. A retry may then be refused, but
        // must neither run again nor claim that nothing ran.
        if outcome != CallerOutcome::Complete {
            outcome = next;
        } else if let CallerOutcome::Refused(verdict, _) = &next {
            assert_eq!(verdict, "may_have_run", "{prompt} had already completed");
        }
        thread::sleep(Duration::from_millis(50));
    }
    Some(outcome)
}

/// Guards against duplicate runs when a caller repeats its request at another node after its own
/// node was killed, and against refusals that wrongly state that nothing ran.
#[test]
fn killed_daemon_does_not_duplicate_keyed_runs() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = (0..9)
        .map(|caller| {
            let deployment = Arc::clone(&deployment);
            let stop = Arc::clone(&stop);
            let outcomes = Arc::clone(&outcomes);
            thread::spawn(move || {
                for round in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let prompt = format!("keyed-{caller}-{round}");
                    let outcome =
                        request_keyed_completion(&deployment, caller % 3, &prompt, round % 3 == 0);
                    let mut list = outcomes.lock().expect("no caller panicked");
                    list.push((prompt, outcome));
                    drop(list);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    let wait_outcomes = |count: usize| {
        deployment.wait_until(&format!("{count} keyed requests ended"), |_| {
            outcomes.lock().map_or(true, |list| list.len() >= count)
        });
    };
    wait_outcomes(200);
    deployment.nodes[0].send_kill();
    let ended_before_kill = outcomes.lock().expect("no caller panicked").len();
    wait_outcomes(ended_before_kill + 200);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("no caller panics");
    }
    let starts = runs(&deployment);
    let outcomes = outcomes.lock().expect("no caller panicked");
    let (mut complete, mut may_have_run, mut not_run) = (0, 0, 0);
    for (prompt, outcome) in outcomes.iter() {
        let count = starts.get(prompt).copied().unwrap_or(0);
        assert!(count <= 1, "{prompt} ran {count} times: {outcome:?}");
        match outcome {
            Some(CallerOutcome::Complete) => {
                assert_eq!(count, 1, "{prompt}");
                complete += 1;
            }
            Some(CallerOutcome::Refused(verdict, _)) if verdict == "not_run" => {
                assert_eq!(count, 0, "{prompt}: {outcome:?}");
                not_run += 1;
            }
            Some(CallerOutcome::Wrong(text)) => panic!("{text}"),
            Some(CallerOutcome::Refused(..)) => may_have_run += 1,
            Some(CallerOutcome::Broken) | None => {}
        }
    }
    println!("keyed: {complete} complete, {may_have_run} may have run, {not_run} not run");
    assert!(complete >= 200, "{complete}");
}

/// Guards against new work for a VM that has announced that it is leaving. No spare VM can replace
/// it, so its group must not start any more runs.
#[test]
fn group_with_leaving_member_starts_no_new_runs() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings {
        vms: 2,
        ..DeploymentSettings::default()
    }));
    let load = CallerLoad::start(&deployment, 6, 20);
    load.wait_complete(&deployment, 50);
    let group = deployment.groups_in_state(0, "ready")[0].clone();
    let names = members(&group);
    let (leader, leaving) = (&names[0], &names[1]);
    let address = deployment.vm_address(leaving);
    deployment.set_fault(address, &json!({ "vm": leaving, "fault": "leave" }));
    thread::sleep(LEAVING_BOUND + PROPAGATION_TIME);
    let before = engine_counter(&deployment, leader, "started");
    load.wait_complete(&deployment, 200);
    let after = engine_counter(&deployment, leader, "started");
    let report = engine_report(&deployment, leader).expect("the leader responds");
    assert_eq!(
        after, before,
        "{leader} started new runs although {leaving} is leaving: {report}"
    );
    let report = load.finish();
    println!("{leaving} leaves the group of {leader}: {report:?}");
    assert_eq!(report.broken, 0, "{report:?}");
}
