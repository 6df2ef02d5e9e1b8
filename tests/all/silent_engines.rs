//! Engines and nodes that are silent without having failed, with an inventory.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::cluster_state::runs;
use crate::deployment::Deployment;
use crate::deployment::DeploymentSettings;
use crate::load::CallerOutcome;
use crate::load::request_completion;

/// Time for which streams run before something is paused.
const RUN_TIME: Duration = Duration::from_millis(500);

/// Pause that exceeds the time after which a node asks a silent engine for a report, and the timeout of the report.
const LONG_PAUSE: Duration = Duration::from_millis(3500);

/// Limit from the failure of an engine to the response of another one: 2 s without a token, 1 s for the report, 3 s for the run, and a margin.
const FAIL_OVER_TIME: Duration = Duration::from_secs(7);

/// Limit for the failure of a stream whose engine has failed without a sign; well below the deadline.
const FAILURE_TIME: Duration = Duration::from_secs(15);

type PendingCall = JoinHandle<(CallerOutcome, Instant)>;

/// Sends completion requests to the first node, of which each second one is streamed, and waits until they run.
fn start_calls(deployment: &Arc<Deployment>, count: usize, tokens: u32) -> Vec<PendingCall> {
    let calls = (0..count)
        .map(|number| {
            let deployment = Arc::clone(deployment);
            thread::spawn(move || {
                let prompt = format!("silent {number}");
                let is_streamed = number % 2 == 0;
                let outcome = request_completion(&deployment, 0, &prompt, tokens, is_streamed, &[]);
                (outcome, Instant::now())
            })
        })
        .collect();
    deployment.wait_until("all requests run", |this| runs(this).len() == count);
    thread::sleep(RUN_TIME);
    calls
}

fn finish_calls(calls: Vec<PendingCall>) -> Vec<(CallerOutcome, Instant)> {
    calls
        .into_iter()
        .map(|call| call.join().expect("no caller panics"))
        .collect()
}

/// Asserts that every request has a complete response, and that those with streamed responses ran once.
fn assert_all_complete(deployment: &Deployment, calls: Vec<PendingCall>) {
    let outcomes = finish_calls(calls);
    println!("{outcomes:?}");
    let log = deployment.node_log(0);
    let is_complete = |(outcome, _): &(CallerOutcome, Instant)| *outcome == CallerOutcome::Complete;
    assert!(outcomes.iter().all(is_complete), "{outcomes:#?}\n{log}");
    let runs = runs(deployment);
    let repeated = (0..outcomes.len())
        .step_by(2)
        .any(|number| runs.get(&format!("silent {number}")) != Some(&1));
    assert!(!repeated, "{runs:?}\n{log}");
}

/// Guards against requests that are given up because their sound engine is slow, after some tokens that each took longer than the time after
/// which a stream is resumed.
#[test]
fn completions_of_slow_engines_are_whole() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings {
        nodes: 1,
        token_time: "2300ms",
        ..DeploymentSettings::default()
    }));
    let calls = start_calls(&deployment, 4, 7);
    assert_all_complete(&deployment, calls);
}

/// Guards against streams that are cut because all engines are paused for longer than a node waits for the report of one.
#[test]
fn completions_are_whole_after_a_pause_of_all_engines() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings {
        nodes: 1,
        vms_per_group: 1,
        token_time: "20ms",
        ..DeploymentSettings::default()
    }));
    let calls = start_calls(&deployment, 4, 300);
    for (_, engine) in &deployment.engines {
        engine.pause();
    }
    thread::sleep(LONG_PAUSE);
    for (_, engine) in &deployment.engines {
        engine.resume();
    }
    assert_all_complete(&deployment, calls);
}

/// Guards against a node that takes its own pauses for the silence of its engines.
#[test]
fn completions_are_whole_after_pauses_of_the_node() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings {
        nodes: 1,
        token_time: "40ms",
        ..DeploymentSettings::default()
    }));
    let calls = start_calls(&deployment, 4, 300);
    for _ in 0..5 {
        deployment.nodes[0].pause();
        thread::sleep(Duration::from_millis(2200));
        deployment.nodes[0].resume();
        thread::sleep(Duration::from_millis(100));
    }
    assert_all_complete(&deployment, calls);
}

/// Guards against requests that wait until their deadline for engines that have failed without a sign.
#[test]
fn completions_of_engines_that_fail_without_a_sign_end_in_time() {
    let deployment = Arc::new(Deployment::start_ready(DeploymentSettings {
        token_time: "20ms",
        ..DeploymentSettings::default()
    }));
    let calls = start_calls(&deployment, 4, 150);
    let groups = deployment.groups_in_state(0, "ready");
    let leader = groups[0]["leader"].as_str().unwrap_or_default();
    let vms = deployment.vms();
    let failed = vms
        .iter()
        .find(|(_, address, _)| address.to_string() == leader);
    let (failed, _, _) = failed.expect("the leader is a VM");
    for (name, engine) in &deployment.engines {
        if name == failed {
            engine.pause();
        }
    }
    let paused = Instant::now();
    let outcomes = finish_calls(calls);
    let log = deployment.node_log(0);
    for (number, (outcome, ended)) in outcomes.iter().enumerate() {
        let took = ended.saturating_duration_since(paused);
        println!("{number} after the failure of {failed}: {outcome:?} in {took:?}");
        let verdict = match outcome {
            CallerOutcome::Refused(verdict, _) => verdict.as_str(),
            _ => "",
        };
        let is_cut = number % 2 == 0 && verdict == "may_have_run";
        let limit = if is_cut { FAILURE_TIME } else { FAIL_OVER_TIME };
        let is_right = is_cut || *outcome == CallerOutcome::Complete;
        assert!(is_right && took < limit, "{outcome:?} in {took:?}\n{log}");
    }
}
