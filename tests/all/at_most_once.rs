//! Requests that must not run twice, and VMs that take no new work, under faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::fleet::engine_count;
use crate::fleet::engine_report;
use crate::fleet::members;
use crate::fleet::runs;
use crate::load::CallerLoad;
use crate::load::CallerOutcome;
use crate::load::ask;

/// Longest time after which a leaving VM takes no new work, by the requirements.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Time for the news to reach all nodes, on top of the bound.
const DELIVERY: Duration = Duration::from_secs(2);

/// Sends one keyed request and repeats it at other nodes until it has an answer.
fn ask_keyed(
    deployment: &Deployment,
    first: usize,
    prompt: &str,
    repeat_always: bool,
) -> Option<CallerOutcome> {
    let discovery = deployment.discover(first)?;
    let home = discovery.json["home"].as_str()?.to_owned();
    let headers = [
        ("Idempotency-Key", prompt),
        ("Jaysaddle-Home", home.as_str()),
        ("Jaysaddle-Idempotent", "false"),
    ];
    let mut outcome = ask(deployment, first, prompt, 30, false, &headers);
    for attempt in 1..20 {
        let again = match &outcome {
            CallerOutcome::Broken => true,
            CallerOutcome::Refused(_, reason) => reason == "still_running",
            _ => repeat_always && attempt < 3,
        };
        if !again {
            break;
        }
        // Node 0 is killed; the others stay.
        let node = 1 + (first + attempt) % 2;
        let next = ask(deployment, node, prompt, 30, false, &headers);
        // After a whole answer, the home may be gone; that may not turn into a second run.
        if outcome != CallerOutcome::Whole {
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
fn killed_daemon_makes_no_keyed_request_run_twice() {
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
                    let outcome = ask_keyed(&deployment, caller % 3, &prompt, round % 3 == 0);
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
    deployment.nodes[0].fail();
    let so_far = outcomes.lock().expect("no caller panicked").len();
    done(so_far + 200);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("a caller ends");
    }
    let starts = runs(&deployment);
    let outcomes = outcomes.lock().expect("no caller panicked");
    let (mut whole, mut unsure, mut not_run) = (0, 0, 0);
    for (prompt, outcome) in outcomes.iter() {
        let count = starts.get(prompt).copied().unwrap_or(0);
        assert!(count <= 1, "{prompt} ran {count} times: {outcome:?}");
        match outcome {
            Some(CallerOutcome::Whole) => {
                assert_eq!(count, 1, "{prompt}");
                whole += 1;
            }
            Some(CallerOutcome::Refused(verdict, _)) if verdict == "not_run" => {
                assert_eq!(count, 0, "{prompt}: {outcome:?}");
                not_run += 1;
            }
            Some(CallerOutcome::Wrong(text)) => panic!("{text}"),
            Some(CallerOutcome::Refused(..)) => unsure += 1,
            Some(CallerOutcome::Broken) | None => {}
        }
    }
    println!("keyed: {whole} whole, {unsure} may have run, {not_run} not run");
    assert!(whole >= 200, "{whole}");
}

/// Guards against new work for a VM that says that it is leaving. No spare can replace it, so its
/// group must take nothing more.
#[test]
fn leaving_member_gets_no_new_run() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings {
        vms: 2,
        ..DeploymentSettings::default()
    }));
    let load = CallerLoad::start(&deployment, 6, 20);
    load.wait_whole(&deployment, 50);
    let group = deployment.groups_in_state(0, "ready")[0].clone();
    let names = members(&group);
    let (leader, leaving) = (&names[0], &names[1]);
    let address = deployment.vm_address(leaving);
    deployment.fault(address, &json!({ "vm": leaving, "fault": "leave" }));
    thread::sleep(LEAVING_BOUND + DELIVERY);
    let before = engine_count(&deployment, leader, "started");
    load.wait_whole(&deployment, 200);
    let after = engine_count(&deployment, leader, "started");
    let report = engine_report(&deployment, leader).expect("the leader answers");
    assert_eq!(
        after, before,
        "{leader} with {leaving} got new work: {report}"
    );
    let report = load.finish();
    println!("{leaving} leaves the group of {leader}: {report:?}");
    assert_eq!(report.broken, 0, "{report:?}");
}
