//! How single sources of evidence count and how long they are kept.

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::HealthEvent;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::view::VmState;

use crate::support::bench::TrackerBench;
use crate::support::places;
use crate::support::target;
use crate::support::vm_id;

/// A tracker among seven nodes and a VM that it does not probe.
fn bystander() -> (TrackerBench, usize) {
    let mut bench = TrackerBench::new(7, 20);
    let probed = bench.wait(1_000);
    let vm = (0..20).find(|index| !probed.contains(&vm_id(*index)));
    (bench, vm.expect("some VMs are watched by others"))
}

/// Guards against requests being sent to a VM that this node cannot reach, and against its word
/// alone as proof of death.
#[test]
fn own_misses_make_a_vm_suspect_here_though_others_reach_it() {
    let mut bench = TrackerBench::new(3, 3);
    (0..3).for_each(|vm| bench.answer(vm));
    bench.hear(1, 0, ProbeFinding::Answers, false);
    bench.hear(2, 0, ProbeFinding::Answers, false);
    bench.miss(0);
    assert_eq!(bench.state(0), VmState::Live, "one silent connection");
    (0..5).for_each(|_| bench.miss(0));
    assert_eq!(bench.state(0), VmState::Suspect);
}

/// Guards against new work for a VM whose own report, received before a send, says that it leaves.
#[test]
fn a_report_received_outside_a_probe_shows_leaving_for_a_while() {
    let (mut bench, vm) = bystander();
    (1..7).for_each(|node| bench.hear(node, vm, ProbeFinding::Answers, false));
    assert_eq!(bench.state(vm), VmState::Live);
    bench.answer_in(vm, 5, true);
    assert_eq!(bench.state(vm), VmState::Leaving);
    bench.pass(5_200);
    assert_eq!(
        bench.state(vm),
        VmState::Returning,
        "the watchers did not confirm it"
    );
}

/// Guards against a VM without any finding that failed requests take out of use for good.
#[test]
fn failed_requests_expire_without_any_finding() {
    let (mut bench, vm) = bystander();
    for _ in 0..2 {
        bench.step(HealthEvent::Attempted {
            vm: vm_id(vm),
            finding: AttemptFinding::Failed,
        });
    }
    assert_eq!(bench.state(vm), VmState::Suspect);
    bench.pass(5_200);
    assert_eq!(bench.state(vm), VmState::Returning);
    bench.pass(10_200);
    assert_eq!(bench.state(vm), VmState::Live);
}

/// Guards against deaths from misses of the time when the node was cut off, and against a mark that
/// is taken back at the first answer.
#[test]
fn misses_while_cut_off_are_no_proof_of_death_afterwards() {
    let mut bench = TrackerBench::new(3, 3);
    (0..3).for_each(|vm| bench.answer(vm));
    for _ in 0..6 {
        (0..3).for_each(|vm| bench.miss(vm));
    }
    let mut cleared = Vec::new();
    for round in 0..20 {
        assert!(bench.tracker.is_cut_off() || round >= 15, "round {round}");
        bench.wait(200);
        cleared.append(&mut bench.published());
        bench.answer(1);
        bench.answer(2);
    }
    let findings: Vec<_> = cleared.iter().filter(|e| e.vm == vm_id(0)).collect();
    assert_eq!(findings[0].finding, ProbeFinding::Missed, "{findings:?}");
    assert!(!findings[0].cut_off);
    bench.miss(0);
    assert_eq!(bench.published().len(), 0);
    bench.miss(0);
    assert_eq!(bench.published()[0].finding, ProbeFinding::Gone);
}

/// Guards against damping times that end while the node was paused and saw nothing.
#[test]
fn a_pause_does_not_count_as_damping_time() {
    let mut bench = TrackerBench::new(1, 1);
    bench.answer(0);
    (0..4).for_each(|_| bench.miss(0));
    bench.answer(0);
    bench.pass(1_000);
    bench.now += 60_000;
    bench.step(HealthEvent::Tick);
    assert_eq!(bench.state(0), VmState::Returning);
    bench.pass(8_800);
    assert_eq!(bench.state(0), VmState::Returning);
    bench.pass(400);
    assert_eq!(bench.state(0), VmState::Live);
}

/// Guards against findings of an earlier run of a node.
#[test]
fn findings_of_a_restarted_node_are_dropped() {
    let mut bench = TrackerBench::new(3, 1);
    bench.hear(1, 0, ProbeFinding::Answers, false);
    let mut restarted = places(0..3);
    restarted[1].node.incarnation = Incarnation(2);
    bench.step(HealthEvent::WatchersChanged(restarted));
    bench.step(HealthEvent::WatchersChanged(places(0..3)));
    let lines = bench.tracker.explain(&vm_id(0)).join("\n");
    assert!(lines.contains("node-1/1: no finding received"), "{lines}");
}

/// Guards against findings lost when a VM moves from one inventory document to another.
#[test]
fn findings_outlast_a_short_removal_of_the_target() {
    let mut bench = TrackerBench::new(3, 1);
    bench.hear(1, 0, ProbeFinding::Gone, false);
    bench.hear(2, 0, ProbeFinding::Gone, false);
    bench.step(HealthEvent::TargetsChanged(Vec::new()));
    assert_eq!(bench.state(0), VmState::Unknown);
    bench.step(HealthEvent::TargetsChanged(vec![target(0)]));
    assert_eq!(bench.state(0), VmState::Dead);
}

/// Guards against a remote failure domain whose VMs all count as stragglers.
#[test]
fn a_slow_failure_domain_has_no_stragglers() {
    let mut bench = TrackerBench::new(1, 9);
    for _ in 0..20 {
        bench.wait(1_000);
        for vm in 0..9 {
            let millis = if vm % 3 == 2 { 300 } else { 10 };
            bench.answer_in(vm, millis, false);
        }
    }
    assert!((0..9).all(|vm| bench.state(vm) == VmState::Live));
}

/// Guards against one watcher's slow link as proof of a straggler.
#[test]
fn a_straggler_takes_a_majority_of_its_watchers() {
    let mut bench = TrackerBench::new(3, 1);
    bench.answer(0);
    bench.hear(1, 0, ProbeFinding::Slow, false);
    assert_eq!(bench.state(0), VmState::Live);
    bench.hear(2, 0, ProbeFinding::Slow, false);
    assert_eq!(bench.state(0), VmState::Straggler);
}
