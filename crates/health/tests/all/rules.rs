//! Individual rules of the tracker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::HealthSettings;
use jaysaddle_health::HealthTracker;
use jaysaddle_test_support::env_number;
use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::view::VmState;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::support::DEFAULT_SEED;
use crate::support::DOMAINS;
use crate::support::TestRng;
use crate::support::domain_of;
use crate::support::harness::TrackerHarness;
use crate::support::node_key;
use crate::support::report;
use crate::support::target;
use crate::support::vm_id;
use crate::support::watcher_nodes;

const MINUTE_MS: u64 = 60_000;

fn listed(state: ListedState) -> HealthEvent {
    let vm = vm_id(0);
    HealthEvent::Listed(vec![ListedVm { vm, state }])
}

fn attempted(finding: AttemptFinding) -> HealthEvent {
    let vm = vm_id(0);
    HealthEvent::Attempted { vm, finding }
}

/// Returns the VMs that each of `nodes` nodes probes.
fn probed_by(nodes: usize, vms: usize) -> Vec<BTreeSet<VmId>> {
    let probed = |own| {
        let settings = HealthSettings::default();
        let key = node_key(own);
        let mut harness = TrackerHarness::new(nodes, 0);
        harness.tracker = HealthTracker::new(settings, key, domain_of(own));
        harness.step(HealthEvent::WatchersChanged(watcher_nodes(
            (0..nodes).rev(),
        )));
        harness.step(HealthEvent::TargetsChanged((0..vms).map(target).collect()));
        harness.tick_for(1200).into_iter().collect()
    };
    (0..nodes).map(probed).collect()
}

/// Guards against VMs without watchers, against watchers that share a failure domain, and against
/// an assignment that depends on the order of the node list.
#[test]
fn each_vm_is_probed_by_three_nodes_of_different_failure_domains() {
    let probed = probed_by(7, 60);
    for vm in (0..60).map(vm_id) {
        let watchers: Vec<usize> = (0..7).filter(|&node| probed[node].contains(&vm)).collect();
        let domains: BTreeSet<_> = watchers.iter().map(|&node| domain_of(node)).collect();
        assert_eq!(watchers.len(), 3, "{vm}: {watchers:?}");
        assert_eq!(domains.len(), DOMAINS, "{vm}: {watchers:?}");
    }
    // With fewer nodes than watchers, every node watches every VM.
    let probed = probed_by(2, 10);
    assert!(probed.iter().all(|vms| vms.len() == 10));
}

/// Guards against a change of the node list that moves most VMs to other watchers.
#[test]
fn new_node_is_assigned_few_vms() {
    let before = probed_by(7, 60);
    let after = probed_by(8, 60);
    let kept: usize = (0..7)
        .map(|n| before[n].intersection(&after[n]).count())
        .sum();
    assert!(kept >= 140, "{kept} of 180 assignments kept");
}

/// Guards against bursts: 900 probes a second are spread over the interval, also after a pause.
#[test]
fn probes_are_spread_over_the_interval() {
    let mut harness = TrackerHarness::new(3, 900);
    for pause in [0, 10_000] {
        harness.now += pause;
        harness.tick_for(200);
        for _ in 0..10 {
            let count = harness.tick_for(200).len();
            assert!((120..=240).contains(&count), "{count} probes in 200 ms");
        }
    }
}

/// Guards against declaring a VM dead based on one watcher's finding, and against hiding that
/// the watchers disagree.
#[test]
fn death_requires_majority_and_disagreement_is_explained() {
    let mut harness = TrackerHarness::new(3, 1);
    harness.respond(0);
    assert_eq!(harness.state(0), VmState::Live);
    harness.receive_finding(1, 0, ProbeFinding::Gone, false);
    assert_eq!(harness.state(0), VmState::Live, "one of three");
    let lines = harness.tracker.explain(&vm_id(0)).join("\n");
    assert!(lines.contains("Its watchers disagree."), "{lines}");
    assert!(lines.contains("Watcher node-1/1: gone"), "{lines}");
    harness.receive_finding(2, 0, ProbeFinding::Missed, false);
    assert_eq!(
        harness.state(0),
        VmState::Suspect,
        "two cannot reach it, one considers it dead"
    );
    harness.receive_finding(2, 0, ProbeFinding::Gone, false);
    assert_eq!(harness.state(0), VmState::Dead, "two of three");
}

/// Guards against counting findings of an isolated watcher or of a removed node.
#[test]
fn findings_of_isolated_and_removed_watchers_are_ignored() {
    let mut harness = TrackerHarness::new(3, 1);
    harness.respond(0);
    harness.receive_finding(1, 0, ProbeFinding::Gone, true);
    harness.receive_finding(2, 0, ProbeFinding::Gone, true);
    assert_eq!(harness.state(0), VmState::Live, "both are isolated");
    harness.receive_finding(1, 0, ProbeFinding::Gone, false);
    assert_eq!(harness.state(0), VmState::Suspect, "one of two voters");
    harness.step(HealthEvent::WatchersChanged(watcher_nodes([0, 2])));
    assert_eq!(
        harness.state(0),
        VmState::Returning,
        "the node that did not reach it is removed"
    );
}

/// Guards against declaring a VM dead because the lagging list omits it, and against ignoring
/// its leaving entries.
#[test]
fn vm_list_proves_leaving_but_not_death() {
    let mut harness = TrackerHarness::new(3, 1);
    harness.respond(0);
    harness.step(HealthEvent::Listed(Vec::new()));
    assert_eq!(harness.state(0), VmState::Live, "absent");
    harness.step(listed(ListedState::Leaving));
    assert_eq!(harness.state(0), VmState::Leaving, "at once");
    harness.step(listed(ListedState::Live));
    assert_eq!(harness.state(0), VmState::Returning, "damped");
}

/// Guards against a drain that takes effect late, or whose removal damps a healthy VM.
#[test]
fn drain_is_immediate_and_its_removal_is_not_damped() {
    let mut harness = TrackerHarness::new(3, 1);
    harness.respond(0);
    harness.step(HealthEvent::DrainsChanged(vec![vm_id(0)]));
    assert_eq!(harness.state(0), VmState::Leaving);
    harness.respond(0);
    assert_eq!(harness.state(0), VmState::Leaving);
    harness.step(HealthEvent::DrainsChanged(Vec::new()));
    assert_eq!(harness.state(0), VmState::Live);
    // A VM that was damped before the drain is damped after it.
    harness.step(listed(ListedState::Leaving));
    harness.step(HealthEvent::DrainsChanged(vec![vm_id(0)]));
    harness.step(listed(ListedState::Live));
    assert_eq!(harness.state(0), VmState::Leaving);
    harness.step(HealthEvent::DrainsChanged(Vec::new()));
    assert_eq!(harness.state(0), VmState::Returning);
}

/// Guards against ignoring failed requests of this node, and against a single failed request that
/// takes a VM out of use.
#[test]
fn consecutive_request_failures_make_vm_suspect_temporarily() {
    let mut harness = TrackerHarness::new(3, 1);
    harness.respond(0);
    harness.step(attempted(AttemptFinding::Failed));
    harness.step(attempted(AttemptFinding::Answered));
    harness.step(attempted(AttemptFinding::Failed));
    assert_eq!(harness.state(0), VmState::Live);
    harness.step(attempted(AttemptFinding::Failed));
    assert_eq!(harness.state(0), VmState::Suspect);
    harness.run_responsive(5_200);
    assert_eq!(harness.state(0), VmState::Returning);
    harness.run_responsive(10_000);
    assert_eq!(harness.state(0), VmState::Live);
}

/// Guards against publishing an unchanged finding, and against not publishing a changed one.
#[test]
fn findings_are_published_only_on_change() {
    let mut harness = TrackerHarness::new(3, 4);
    harness.respond(0);
    assert_eq!(harness.published().len(), 1);
    harness.respond(0);
    assert_eq!(harness.published().len(), 0);
    harness.fail_probe(0);
    assert_eq!(harness.published().len(), 0, "a single failed probe");
    harness.fail_probe(0);
    assert_eq!(harness.published()[0].finding, ProbeFinding::Missed);
    harness.fail_probe(0);
    harness.fail_probe(0);
    assert_eq!(harness.published()[0].finding, ProbeFinding::Gone);
    harness.respond_after(0, 5, true);
    assert_eq!(harness.published()[0].finding, ProbeFinding::Leaving);
}

/// Guards against counting the findings of an isolated node, on other nodes or on the node itself.
#[test]
fn isolated_node_republishes_findings_with_cut_off_flag() {
    let mut harness = TrackerHarness::new(3, 3);
    (0..3).for_each(|vm| harness.respond(vm));
    harness.fail_probe(0);
    assert!(!harness.tracker.is_isolated());
    harness.fail_probe(1);
    assert!(harness.tracker.is_isolated(), "two of three targets fail");
    let published = harness.published();
    assert_eq!(published.len(), 3);
    assert!(published.iter().all(|evidence| evidence.cut_off));
    for _ in 0..5 {
        (0..3).for_each(|vm| harness.fail_probe(vm));
    }
    assert_eq!(
        harness.state(0),
        VmState::Live,
        "its own failed probes are ignored"
    );
    (0..3).for_each(|vm| harness.respond(vm));
    harness.run_responsive(3_400);
    assert!(!harness.tracker.is_isolated());
    harness.step(HealthEvent::PeersReachable(499));
    assert!(harness.tracker.is_isolated(), "most peers do not respond");
}

/// Guards against removed targets that still count in the isolation check or are probed twice
/// when added again.
#[test]
fn removed_targets_are_not_counted_or_probed() {
    let mut harness = TrackerHarness::new(3, 6);
    let set = |harness: &mut TrackerHarness, count: usize| {
        harness.step(HealthEvent::TargetsChanged(
            (0..count).map(target).collect(),
        ));
    };
    (0..4).for_each(|_| harness.fail_probe(5));
    (0..3).for_each(|_| (set(&mut harness, 0), set(&mut harness, 6)).1);
    assert_eq!(
        harness.tick_for(1_000).len(),
        6,
        "each is probed once per interval"
    );
    set(&mut harness, 3);
    harness.fail_probe(0);
    assert!(!harness.tracker.is_isolated(), "one of three fails");
    harness.fail_probe(1);
    assert!(harness.tracker.is_isolated(), "two of three fail");
}

/// Guards against a node that attributes its own pauses to VMs: every probe times out because the
/// process stops for 1.2 s in each 1.3 s.
#[test]
fn paused_node_reports_no_missed_probes() {
    let mut harness = TrackerHarness::new(3, 2);
    (0..2).for_each(|vm| harness.respond(vm));
    for _ in 0..20 {
        harness.tick_for(100);
        harness.now += 1_200;
        for vm in 0..2 {
            harness.fail_probe(vm);
            assert!(harness.published().is_empty());
        }
    }
    assert_eq!(harness.state(0), VmState::Live);
}

/// Guards against undetected stragglers, against single slow responses that count, and against a VM
/// near the threshold that changes state repeatedly.
#[test]
fn stragglers_are_detected_against_median_with_hysteresis() {
    let mut harness = TrackerHarness::new(1, 5);
    let round = |harness: &mut TrackerHarness, slow: u64| {
        harness.tick_for(1_000);
        (0..4).for_each(|vm| harness.respond_after(vm, 30, false));
        harness.respond_after(4, slow, false);
    };
    (0..8).for_each(|_| round(&mut harness, 30));
    (0..2).for_each(|_| round(&mut harness, 900));
    assert_eq!(harness.state(4), VmState::Live, "two slow responses");
    (0..8).for_each(|_| round(&mut harness, 300));
    assert_eq!(harness.state(4), VmState::Straggler, "ten times the median");
    (0..20).for_each(|_| round(&mut harness, 200));
    assert_eq!(
        harness.state(4),
        VmState::Straggler,
        "between the thresholds"
    );
    (0..10).for_each(|_| round(&mut harness, 30));
    assert_eq!(
        harness.state(4),
        VmState::Straggler,
        "damped, and may still serve"
    );
    (0..12).for_each(|_| round(&mut harness, 30));
    assert_eq!(harness.state(4), VmState::Live);
    assert!((0..4).all(|vm| harness.state(vm) == VmState::Live));
}

/// Guards against a damping time that does not grow, grows without limit or is never reset.
#[test]
fn damping_doubles_per_flap_and_resets_after_stable_time() {
    let mut harness = TrackerHarness::new(1, 1);
    harness.respond(0);
    let mut damping_of_flap = |stable_ms: u64| {
        (0..4).for_each(|_| harness.fail_probe(0));
        assert_eq!(harness.state(0), VmState::Dead);
        harness.respond(0);
        assert_eq!(harness.state(0), VmState::Returning);
        let start = harness.now;
        while harness.state(0) == VmState::Returning {
            harness.run_responsive(1_000);
        }
        let damping = (harness.now - start) / 1_000;
        harness.run_responsive(stable_ms);
        damping
    };
    let dampings: Vec<u64> = (0..7).map(|_| damping_of_flap(1_000)).collect();
    assert_eq!(dampings, [10, 20, 40, 80, 160, 300, 300]);
    damping_of_flap(11 * MINUTE_MS);
    assert_eq!(damping_of_flap(0), 10);
}

/// Guards against accepting reports of another VM, and against dropping findings that arrive
/// before the inventory.
#[test]
fn reports_of_other_vms_are_invalid_and_early_findings_are_kept() {
    let mut harness = TrackerHarness::new(3, 1);
    harness.respond(0);
    let outcome = Ok(report(&vm_id(7), false));
    let latency = TimeSpan(5);
    let vm = vm_id(0);
    harness.step(HealthEvent::Probed {
        vm,
        outcome,
        latency,
    });
    let lines = harness.tracker.explain(&vm_id(0)).join("\n");
    assert!(lines.contains("last failure (Invalid)"), "{lines}");
    harness.receive_finding(1, 5, ProbeFinding::Gone, false);
    harness.receive_finding(2, 5, ProbeFinding::Gone, false);
    assert_eq!(harness.state(5), VmState::Unknown, "not in the inventory");
    harness.step(HealthEvent::TargetsChanged((0..6).map(target).collect()));
    assert_eq!(harness.state(5), VmState::Dead);
}

/// Guards against a flapping VM that is reused without limit: in an hour it is used again at most
/// 17 times (10 + 20 + 40 + 80 + 160 s, then every 300 s, and the first time).
#[test]
fn reuse_of_flapping_vm_is_bounded() {
    fn property(seed: u64) -> TestResult {
        let mut rng = TestRng(seed);
        let mut harness = TrackerHarness::new(1, 1);
        let mut uses = 0;
        let mut was_live = false;
        let mut flips: BTreeMap<bool, u64> = BTreeMap::new();
        let mut up = true;
        let mut next = 0;
        let end = harness.now + 60 * MINUTE_MS;
        while harness.now < end {
            if harness.now >= next {
                up = !up;
                *flips.entry(up).or_default() += 1;
                next = harness.now + 3_000 + rng.below(60_000);
            }
            harness.now += 500;
            harness.step(HealthEvent::Tick);
            if up {
                harness.respond(0);
            } else {
                harness.fail_probe(0);
            }
            let live = harness.state(0) == VmState::Live;
            uses += u64::from(live && !was_live);
            was_live = live;
        }
        if uses > 17 {
            return TestResult::error(format!("used again {uses} times, flips {flips:?}"));
        }
        TestResult::passed()
    }
    let seed = env_number("JAYSADDLE_SEED", DEFAULT_SEED);
    let runs = env_number("JAYSADDLE_RUNS", 300);
    println!("flapping: JAYSADDLE_SEED={seed} JAYSADDLE_RUNS={runs}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(runs)
        .max_tests(runs)
        .quickcheck(property as fn(u64) -> TestResult);
}
