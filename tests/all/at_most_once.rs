//! Requests that must not run twice, and VMs that take no new work, under faults.

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

/// Longest time after which a leaving VM takes no new work, by the requirements.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Time for the news to reach all nodes, on top of the bound.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Sends one keyed request and repeats it at other nodes until it has an answer.
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
        // Node 0 is killed; the others stay.
        let node = 1 + (first + attempt) % 2;
        let next = request_completion(deployment, node, prompt, 30, false, &headers);
        // After a whole answer, the home may be gone; that may not turn into a second run.
        if outcome != CallerOutcome::Complete {
            outcome = next;
        } else if let CallerOutcome::Refused(verdict, _) = &next {
            assert_eq!(verdict, "may_have_run", "{prompt} had been answered");
        }
        thread::sleep(Duration::from_millis(50));
    }
    Some(outcome)
}

/// Guards against reservations that are made twice because a caller repeats its request at another
/// node after its own node was killed, and against refusals that say falsely that nothing ran.
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
    let done = |count: usize| {
        deployment.wait_until(&format!("{count} keyed requests ended"), |_| {
            outcomes.lock().map_or(true, |list| list.len() >= count)
        });
    };
    done(200);
    deployment.nodes[0].send_kill();
    let ended_before_kill = outcomes.lock().expect("no caller panicked").len();
    done(ended_before_kill + 200);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("a caller ends");
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
    println!("keyed: {complete} whole, {may_have_run} may have run, {not_run} not run");
    assert!(complete >= 200, "{complete}");
}

/// Guards against new work for a VM that says that it is leaving. No spare can replace it, so its
/// group must take nothing more.
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
    deployment.fault(address, &json!({ "vm": leaving, "fault": "leave" }));
    thread::sleep(LEAVING_BOUND + PROPAGATION_TIME);
    let before = engine_counter(&deployment, leader, "started");
    load.wait_complete(&deployment, 200);
    let after = engine_counter(&deployment, leader, "started");
    let report = engine_report(&deployment, leader).expect("the leader answers");
    assert_eq!(
        after, before,
        "{leader} with {leaving} got new work: {report}"
    );
    let report = load.finish();
    println!("{leaving} leaves the group of {leader}: {report:?}");
    assert_eq!(report.broken, 0, "{report:?}");
}
