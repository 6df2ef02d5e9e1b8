//! How individual sources of evidence count, and how long they are kept.

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::HealthEvent;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::view::VmState;

use crate::support::harness::TrackerHarness;
use crate::support::target;
use crate::support::vm_id;
use crate::support::watcher_nodes;

/// Returns a tracker among seven nodes and a VM that it does not probe.
fn harness_with_unprobed_vm() -> (TrackerHarness, usize) {
    let mut harness = TrackerHarness::new(7, 20);
    let probed = harness.tick_for(1_000);
    let vm = (0..20).find(|index| !probed.contains(&vm_id(*index)));
    (harness, vm.expect("some VMs are watched by others"))
}

/// Guards against sending requests to a VM that this node cannot reach, and against declaring a VM
/// dead based on this node's probes alone.
#[test]
fn own_probe_failures_make_vm_suspect_locally() {
    let mut harness = TrackerHarness::new(3, 3);
    (0..3).for_each(|vm| harness.respond(vm));
    harness.receive_finding(1, 0, ProbeFinding::Answers, false);
    harness.receive_finding(2, 0, ProbeFinding::Answers, false);
    harness.fail_probe(0);
    assert_eq!(harness.state(0), VmState::Live, "a single failed probe");
    (0..5).for_each(|_| harness.fail_probe(0));
    assert_eq!(harness.state(0), VmState::Suspect);
}

/// Guards against new work for a VM that reports, in a check before a request is sent, that
/// it is leaving.
#[test]
fn leaving_report_outside_probe_expires() {
    let (mut harness, vm) = harness_with_unprobed_vm();
    (1..7).for_each(|node| harness.receive_finding(node, vm, ProbeFinding::Answers, false));
    assert_eq!(harness.state(vm), VmState::Live);
    harness.respond_after(vm, 5, true);
    assert_eq!(harness.state(vm), VmState::Leaving);
    harness.run_responsive(5_200);
    assert_eq!(
        harness.state(vm),
        VmState::Returning,
        "the watchers did not confirm it"
    );
}

/// Guards against failed requests that permanently exclude a VM without any finding.
#[test]
fn failed_requests_expire_without_any_finding() {
    let (mut harness, vm) = harness_with_unprobed_vm();
    for _ in 0..2 {
        harness.step(HealthEvent::Attempted {
            vm: vm_id(vm),
            finding: AttemptFinding::Failed,
        });
    }
    assert_eq!(harness.state(vm), VmState::Suspect);
    harness.run_responsive(5_200);
    assert_eq!(harness.state(vm), VmState::Returning);
    harness.run_responsive(10_200);
    assert_eq!(harness.state(vm), VmState::Live);
}

/// Guards against declaring VMs dead based on probes that failed while the node was isolated, and
/// against ending the isolation at the first response.
#[test]
fn probe_failures_during_isolation_do_not_prove_death() {
    let mut harness = TrackerHarness::new(3, 3);
    (0..3).for_each(|vm| harness.respond(vm));
    for _ in 0..6 {
        (0..3).for_each(|vm| harness.fail_probe(vm));
    }
    let mut cleared = Vec::new();
    for round in 0..20 {
        assert!(
            harness.tracker.is_isolated() || round >= 15,
            "round {round}"
        );
        harness.tick_for(200);
        cleared.append(&mut harness.published());
        harness.respond(1);
        harness.respond(2);
    }
    let findings: Vec<_> = cleared.iter().filter(|e| e.vm == vm_id(0)).collect();
    assert_eq!(findings[0].finding, ProbeFinding::Missed, "{findings:?}");
    assert!(!findings[0].cut_off);
    harness.fail_probe(0);
    assert_eq!(harness.published().len(), 0);
    harness.fail_probe(0);
    assert_eq!(harness.published()[0].finding, ProbeFinding::Gone);
}

/// Guards against damping times that end while the node is paused and observes nothing.
#[test]
fn pause_does_not_count_as_damping_time() {
    let mut harness = TrackerHarness::new(1, 1);
    harness.respond(0);
    (0..4).for_each(|_| harness.fail_probe(0));
    harness.respond(0);
    harness.run_responsive(1_000);
    harness.now += 60_000;
    harness.step(HealthEvent::Tick);
    assert_eq!(harness.state(0), VmState::Returning);
    harness.run_responsive(8_800);
    assert_eq!(harness.state(0), VmState::Returning);
    harness.run_responsive(400);
    assert_eq!(harness.state(0), VmState::Live);
}

/// Guards against using findings of an earlier run of a node.
#[test]
fn findings_of_a_restarted_node_are_dropped() {
    let mut harness = TrackerHarness::new(3, 1);
    harness.receive_finding(1, 0, ProbeFinding::Answers, false);
    let mut restarted = watcher_nodes(0..3);
    restarted[1].node.incarnation = Incarnation(2);
    harness.step(HealthEvent::WatchersChanged(restarted));
    harness.step(HealthEvent::WatchersChanged(watcher_nodes(0..3)));
    let lines = harness.tracker.explain(&vm_id(0)).join("\n");
    assert!(lines.contains("node-1/1: no finding received"), "{lines}");
}

/// Guards against losing findings when a VM moves from one inventory document to another.
#[test]
fn findings_survive_target_removal() {
    let mut harness = TrackerHarness::new(3, 1);
    harness.receive_finding(1, 0, ProbeFinding::Gone, false);
    harness.receive_finding(2, 0, ProbeFinding::Gone, false);
    harness.step(HealthEvent::TargetsChanged(Vec::new()));
    assert_eq!(harness.state(0), VmState::Unknown);
    harness.step(HealthEvent::TargetsChanged(vec![target(0)]));
    assert_eq!(harness.state(0), VmState::Dead);
}

/// Guards against treating all VMs of a remote failure domain as stragglers.
#[test]
fn slow_failure_domain_has_no_stragglers() {
    let mut harness = TrackerHarness::new(1, 9);
    for _ in 0..20 {
        harness.tick_for(1_000);
        for vm in 0..9 {
            let millis = if vm % 3 == 2 { 300 } else { 10 };
            harness.respond_after(vm, millis, false);
        }
    }
    assert!((0..9).all(|vm| harness.state(vm) == VmState::Live));
}

/// Guards against declaring a straggler based on one watcher's slow link.
#[test]
fn straggler_state_requires_majority_of_watchers() {
    let mut harness = TrackerHarness::new(3, 1);
    harness.respond(0);
    harness.receive_finding(1, 0, ProbeFinding::Slow, false);
    assert_eq!(harness.state(0), VmState::Live);
    harness.receive_finding(2, 0, ProbeFinding::Slow, false);
    assert_eq!(harness.state(0), VmState::Straggler);
}
