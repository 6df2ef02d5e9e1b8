//! Single rules of the tracker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::HealthSettings;
use jaysaddle_health::HealthTracker;
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
use crate::support::NoiseSource;
use crate::support::bench::TrackerBench;
use crate::support::domain_of;
use crate::support::env_number;
use crate::support::node_key;
use crate::support::places;
use crate::support::report;
use crate::support::target;
use crate::support::vm_id;

const MINUTE_MS: u64 = 60_000;

fn listed(state: ListedState) -> HealthEvent {
    let vm = vm_id(0);
    HealthEvent::Listed(vec![ListedVm { vm, state }])
}

fn attempted(finding: AttemptFinding) -> HealthEvent {
    let vm = vm_id(0);
    HealthEvent::Attempted { vm, finding }
}

/// VMs that each of `nodes` nodes probes.
fn probed_by(nodes: usize, vms: usize) -> Vec<BTreeSet<VmId>> {
    let probed = |own| {
        let settings = HealthSettings::default();
        let key = node_key(own);
        let mut bench = TrackerBench::new(nodes, 0);
        bench.tracker = HealthTracker::new(settings, key, domain_of(own));
        bench.step(HealthEvent::WatchersChanged(places((0..nodes).rev())));
        bench.step(HealthEvent::TargetsChanged((0..vms).map(target).collect()));
        bench.wait(1200).into_iter().collect()
    };
    (0..nodes).map(probed).collect()
}

/// Guards against VMs without watchers, watchers that fail together, and lists in another order
/// giving other watchers.
#[test]
fn each_vm_is_probed_by_three_nodes_of_different_failure_domains() {
    let probed = probed_by(7, 60);
    for vm in (0..60).map(vm_id) {
        let watchers: Vec<usize> = (0..7).filter(|&node| probed[node].contains(&vm)).collect();
        let domains: BTreeSet<_> = watchers.iter().map(|&node| domain_of(node)).collect();
        assert_eq!(watchers.len(), 3, "{vm}: {watchers:?}");
        assert_eq!(domains.len(), DOMAINS, "{vm}: {watchers:?}");
    }
    // One failure domain only: still two or three watchers.
    let probed = probed_by(2, 10);
    assert!(probed.iter().all(|vms| vms.len() == 10));
}

/// Guards against a change of nodes that moves most VMs to other watchers.
#[test]
fn a_new_node_takes_over_few_vms() {
    let before = probed_by(7, 60);
    let after = probed_by(8, 60);
    let kept: usize = (0..7)
        .map(|n| before[n].intersection(&after[n]).count())
        .sum();
    assert!(kept >= 140, "{kept} of 180 watches kept");
}

/// Guards against bursts: 900 probes a second are spread over the interval, also after a pause.
#[test]
fn probes_are_spread_over_the_interval() {
    let mut bench = TrackerBench::new(3, 900);
    for pause in [0, 10_000] {
        bench.now += pause;
        bench.wait(200);
        for _ in 0..10 {
            let count = bench.wait(200).len();
            assert!((120..=240).contains(&count), "{count} probes in 200 ms");
        }
    }
}

/// Guards against one watcher's word as proof of death, and against hidden disagreement.
#[test]
fn death_takes_a_majority_and_disagreement_is_explained() {
    let mut bench = TrackerBench::new(3, 1);
    bench.answer(0);
    assert_eq!(bench.state(0), VmState::Live);
    bench.hear(1, 0, ProbeFinding::Gone, false);
    assert_eq!(bench.state(0), VmState::Live, "one of three");
    let lines = bench.tracker.explain(&vm_id(0)).join("\n");
    assert!(lines.contains("Its watchers disagree."), "{lines}");
    assert!(lines.contains("Watcher node-1/1: gone"), "{lines}");
    bench.hear(2, 0, ProbeFinding::Missed, false);
    assert_eq!(
        bench.state(0),
        VmState::Suspect,
        "two miss it, one takes it for dead"
    );
    bench.hear(2, 0, ProbeFinding::Gone, false);
    assert_eq!(bench.state(0), VmState::Dead, "two of three");
}

/// Guards against findings of a cut-off watcher and of a node that is gone.
#[test]
fn findings_of_cut_off_and_gone_watchers_do_not_count() {
    let mut bench = TrackerBench::new(3, 1);
    bench.answer(0);
    bench.hear(1, 0, ProbeFinding::Gone, true);
    bench.hear(2, 0, ProbeFinding::Gone, true);
    assert_eq!(bench.state(0), VmState::Live, "both are cut off");
    bench.hear(1, 0, ProbeFinding::Gone, false);
    assert_eq!(bench.state(0), VmState::Suspect, "one of two that count");
    bench.step(HealthEvent::WatchersChanged(places([0, 2])));
    assert_eq!(
        bench.state(0),
        VmState::Returning,
        "the node that missed it is gone"
    );
}

/// Guards against the lagging list as proof of death, and against missing its leaving entries.
#[test]
fn the_list_shows_leaving_but_never_death() {
    let mut bench = TrackerBench::new(3, 1);
    bench.answer(0);
    bench.step(HealthEvent::Listed(Vec::new()));
    assert_eq!(bench.state(0), VmState::Live, "absent");
    bench.step(listed(ListedState::Leaving));
    assert_eq!(bench.state(0), VmState::Leaving, "at once");
    bench.step(listed(ListedState::Live));
    assert_eq!(bench.state(0), VmState::Returning, "damped");
}

/// Guards against a drain that takes effect late, or that damps a healthy VM when it is taken back.
#[test]
fn a_drain_takes_effect_at_once_and_is_taken_back_without_damping() {
    let mut bench = TrackerBench::new(3, 1);
    bench.answer(0);
    bench.step(HealthEvent::DrainsChanged(vec![vm_id(0)]));
    assert_eq!(bench.state(0), VmState::Leaving);
    bench.answer(0);
    assert_eq!(bench.state(0), VmState::Leaving);
    bench.step(HealthEvent::DrainsChanged(Vec::new()));
    assert_eq!(bench.state(0), VmState::Live);
    // A VM that was damped before the drain is damped after it.
    bench.step(listed(ListedState::Leaving));
    bench.step(HealthEvent::DrainsChanged(vec![vm_id(0)]));
    bench.step(listed(ListedState::Live));
    assert_eq!(bench.state(0), VmState::Leaving);
    bench.step(HealthEvent::DrainsChanged(Vec::new()));
    assert_eq!(bench.state(0), VmState::Returning);
}

/// Guards against ignoring what this node's own requests show, and against one bad request that
/// takes VMs out of use.
#[test]
fn requests_that_fail_in_a_row_make_a_vm_suspect_for_a_while() {
    let mut bench = TrackerBench::new(3, 1);
    bench.answer(0);
    bench.step(attempted(AttemptFinding::Failed));
    bench.step(attempted(AttemptFinding::Answered));
    bench.step(attempted(AttemptFinding::Failed));
    assert_eq!(bench.state(0), VmState::Live);
    bench.step(attempted(AttemptFinding::Failed));
    assert_eq!(bench.state(0), VmState::Suspect);
    bench.pass(5_200);
    assert_eq!(bench.state(0), VmState::Returning);
    bench.pass(10_000);
    assert_eq!(bench.state(0), VmState::Live);
}

/// Guards against a finding that is published without a change, and one that is not published.
#[test]
fn findings_are_published_when_they_change() {
    let mut bench = TrackerBench::new(3, 4);
    bench.answer(0);
    assert_eq!(bench.published().len(), 1);
    bench.answer(0);
    assert_eq!(bench.published().len(), 0);
    bench.miss(0);
    assert_eq!(bench.published().len(), 0, "one silent connection");
    bench.miss(0);
    assert_eq!(bench.published()[0].finding, ProbeFinding::Missed);
    bench.miss(0);
    bench.miss(0);
    assert_eq!(bench.published()[0].finding, ProbeFinding::Gone);
    bench.answer_in(0, 5, true);
    assert_eq!(bench.published()[0].finding, ProbeFinding::Leaving);
}

/// Guards against a cut-off node whose findings count for others or for itself.
#[test]
fn a_cut_off_node_marks_itself_and_publishes_its_findings_again() {
    let mut bench = TrackerBench::new(3, 3);
    (0..3).for_each(|vm| bench.answer(vm));
    bench.miss(0);
    assert!(!bench.tracker.is_cut_off());
    bench.miss(1);
    assert!(
        bench.tracker.is_cut_off(),
        "two of three targets are silent"
    );
    let marks = bench.published();
    assert_eq!(marks.len(), 3);
    assert!(marks.iter().all(|evidence| evidence.cut_off));
    for _ in 0..5 {
        (0..3).for_each(|vm| bench.miss(vm));
    }
    assert_eq!(bench.state(0), VmState::Live, "its own misses show nothing");
    (0..3).for_each(|vm| bench.answer(vm));
    bench.pass(3_400);
    assert!(!bench.tracker.is_cut_off());
    bench.step(HealthEvent::PeersReachable(499));
    assert!(bench.tracker.is_cut_off(), "most peers do not answer");
}

/// Guards against removed targets that are still counted as contact or probed twice on their return.
#[test]
fn removed_targets_leave_no_count_and_no_probe_behind() {
    let mut bench = TrackerBench::new(3, 6);
    let set = |bench: &mut TrackerBench, count: usize| {
        bench.step(HealthEvent::TargetsChanged(
            (0..count).map(target).collect(),
        ));
    };
    (0..4).for_each(|_| bench.miss(5));
    (0..3).for_each(|_| (set(&mut bench, 0), set(&mut bench, 6)).1);
    assert_eq!(
        bench.wait(1_000).len(),
        6,
        "each is probed once in the interval"
    );
    set(&mut bench, 3);
    bench.miss(0);
    assert!(!bench.tracker.is_cut_off(), "one of three is silent");
    bench.miss(1);
    assert!(bench.tracker.is_cut_off(), "two of three are silent");
}

/// Guards against a node that takes its own pauses for failures of VMs: every probe times out,
/// because the process stops for 1.2 s in each 1.3 s.
#[test]
fn a_paused_node_reports_no_vm_as_missing() {
    let mut bench = TrackerBench::new(3, 2);
    (0..2).for_each(|vm| bench.answer(vm));
    for _ in 0..20 {
        bench.wait(100);
        bench.now += 1_200;
        for vm in 0..2 {
            bench.miss(vm);
            assert!(bench.published().is_empty());
        }
    }
    assert_eq!(bench.state(0), VmState::Live);
}

/// Guards against stragglers that go unnoticed, single slow answers that count, and a VM near the
/// threshold that changes state all the time.
#[test]
fn stragglers_are_found_against_the_median_with_hysteresis() {
    let mut bench = TrackerBench::new(1, 5);
    let round = |bench: &mut TrackerBench, slow: u64| {
        bench.wait(1_000);
        (0..4).for_each(|vm| bench.answer_in(vm, 30, false));
        bench.answer_in(4, slow, false);
    };
    (0..8).for_each(|_| round(&mut bench, 30));
    (0..2).for_each(|_| round(&mut bench, 900));
    assert_eq!(bench.state(4), VmState::Live, "two slow answers");
    (0..8).for_each(|_| round(&mut bench, 300));
    assert_eq!(bench.state(4), VmState::Straggler, "ten times the median");
    (0..20).for_each(|_| round(&mut bench, 200));
    assert_eq!(bench.state(4), VmState::Straggler, "between the thresholds");
    (0..10).for_each(|_| round(&mut bench, 30));
    assert_eq!(
        bench.state(4),
        VmState::Straggler,
        "damped, and may still serve"
    );
    (0..12).for_each(|_| round(&mut bench, 30));
    assert_eq!(bench.state(4), VmState::Live);
    assert!((0..4).all(|vm| bench.state(vm) == VmState::Live));
}

/// Guards against a damping time that does not grow, grows without bound or never shrinks.
#[test]
fn damping_doubles_with_each_flap_and_is_forgotten_after_a_long_good_time() {
    let mut bench = TrackerBench::new(1, 1);
    bench.answer(0);
    let mut damping_of_flap = |good_ms: u64| {
        (0..4).for_each(|_| bench.miss(0));
        assert_eq!(bench.state(0), VmState::Dead);
        bench.answer(0);
        assert_eq!(bench.state(0), VmState::Returning);
        let start = bench.now;
        while bench.state(0) == VmState::Returning {
            bench.pass(1_000);
        }
        let damping = (bench.now - start) / 1_000;
        bench.pass(good_ms);
        damping
    };
    let dampings: Vec<u64> = (0..7).map(|_| damping_of_flap(1_000)).collect();
    assert_eq!(dampings, [10, 20, 40, 80, 160, 300, 300]);
    damping_of_flap(11 * MINUTE_MS);
    assert_eq!(damping_of_flap(0), 10);
}

/// Guards against reports of another VM and evidence that arrives before the inventory.
#[test]
fn foreign_reports_are_invalid_and_early_findings_are_kept() {
    let mut bench = TrackerBench::new(3, 1);
    bench.answer(0);
    let outcome = Ok(report(&vm_id(7), false));
    let latency = TimeSpan(5);
    let vm = vm_id(0);
    bench.step(HealthEvent::Probed {
        vm,
        outcome,
        latency,
    });
    let lines = bench.tracker.explain(&vm_id(0)).join("\n");
    assert!(lines.contains("last failure (Invalid)"), "{lines}");
    bench.hear(1, 5, ProbeFinding::Gone, false);
    bench.hear(2, 5, ProbeFinding::Gone, false);
    assert_eq!(bench.state(5), VmState::Unknown, "not in the inventory");
    bench.step(HealthEvent::TargetsChanged((0..6).map(target).collect()));
    assert_eq!(bench.state(5), VmState::Dead);
}

/// Guards against a flapping VM that changes the fleet without end: in an hour it is used again at
/// most 17 times (10 + 20 + 40 + 80 + 160 s, then every 300 s, and the first time).
#[test]
fn flapping_is_bounded() {
    fn property(seed: u64) -> TestResult {
        let mut noise = NoiseSource(seed);
        let mut bench = TrackerBench::new(1, 1);
        let mut uses = 0;
        let mut was_live = false;
        let mut flips: BTreeMap<bool, u64> = BTreeMap::new();
        let mut up = true;
        let mut next = 0;
        let end = bench.now + 60 * MINUTE_MS;
        while bench.now < end {
            if bench.now >= next {
                up = !up;
                *flips.entry(up).or_default() += 1;
                next = bench.now + 3_000 + noise.below(60_000);
            }
            bench.now += 500;
            bench.step(HealthEvent::Tick);
            if up {
                bench.answer(0);
            } else {
                bench.miss(0);
            }
            let live = bench.state(0) == VmState::Live;
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
