//! Seeded random runs of several trackers under loss, delay, pauses and partitions.
//!
//! `JAYSADDLE_SEED` and `JAYSADDLE_RUNS` choose another seed and number of runs.

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::HealthSettings;
use jaysaddle_test_support::env_number;
use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::view::VmState;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::support::DEFAULT_SEED;
use crate::support::fleet::FakeFleet;
use crate::support::fleet::NODES;
use crate::support::fleet::PARTITION_BOUNDARY;
use crate::support::fleet::VMS;
use crate::support::vm_id;
use crate::support::watcher_nodes;

/// VM on which the property is checked; no `VmDown` or `RequestFails` fault targets it.
const SUBJECT: usize = 0;
/// Number of nodes that the faults of a plan may affect; the others stay healthy.
const FAULTY_NODES: usize = 2;
const WARM_UP_MS: u64 = 6_000;
const RUN_MS: u64 = 30_000;
const LEAVING_BOUND_MS: u64 = 3_000;
const DEAD_BOUND_MS: u64 = 9_000;

/// A fault, its start time after the warm-up and its duration, both in milliseconds.
#[derive(Clone, Debug)]
struct Fault {
    at: u64,
    kind: FaultKind,
    length: u64,
}

#[derive(Clone, Copy, Debug)]
enum FaultKind {
    /// The node's process is paused.
    Pause(usize),
    /// The node reaches its peers but no VM.
    VmsUnreachable(usize),
    /// The node reaches neither VMs nor peers.
    Isolate(usize),
    /// The node does not reach the subject. Only the first of the faulty nodes, because two would
    /// be a majority of the subject's watchers.
    SubjectUnreachable(usize),
    /// The VM does not respond.
    VmDown(usize),
    /// A request to the VM fails at the node although the VM responds to probes.
    RequestFails(usize, usize),
    /// The platform's list contains no VM.
    EmptyList,
}

/// Faults, and the seed of the random delays and losses.
#[derive(Clone, Debug)]
struct FaultPlan {
    seed: u64,
    loss: u64,
    faults: Vec<Fault>,
}

impl Arbitrary for FaultPlan {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 7;
        let offset = usize::arbitrary(g);
        Self {
            seed: u64::arbitrary(g),
            loss: u64::arbitrary(g) % 6,
            faults: (0..count).map(|_| arbitrary_fault(g, offset)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        Box::new((0..self.faults.len()).map(move |index| {
            let mut smaller = plan.clone();
            smaller.faults.remove(index);
            smaller
        }))
    }
}

fn arbitrary_fault(g: &mut Gen, offset: usize) -> Fault {
    let node = (usize::arbitrary(g) % FAULTY_NODES + offset % NODES) % NODES;
    let vm = 1 + usize::arbitrary(g) % (VMS - 1);
    let kind = match u8::arbitrary(g) % 8 {
        0 => FaultKind::Pause(node),
        1 | 2 => FaultKind::VmsUnreachable(node),
        3 => FaultKind::Isolate(node),
        4 => FaultKind::VmDown(vm),
        5 => FaultKind::RequestFails(node, vm),
        6 => FaultKind::SubjectUnreachable(offset % NODES),
        _ => FaultKind::EmptyList,
    };
    Fault {
        at: u64::arbitrary(g) % RUN_MS,
        kind,
        length: 200 + u64::arbitrary(g) % 15_000,
    }
}

fn inject(fleet: &mut FakeFleet, fault: &Fault) {
    let until = fleet.now + fault.length;
    match fault.kind {
        FaultKind::Pause(node) => fleet.nodes[node].paused_until = until,
        FaultKind::VmsUnreachable(node) => fleet.nodes[node].vms_unreachable_until = until,
        FaultKind::Isolate(node) => fleet.nodes[node].isolated_until = until,
        FaultKind::SubjectUnreachable(node) => fleet.nodes[node].unreachable_vm = (SUBJECT, until),
        FaultKind::VmDown(vm) => fleet.vms[vm].down_until = until,
        FaultKind::RequestFails(node, vm) => {
            let event = HealthEvent::Attempted {
                vm: vm_id(vm),
                finding: AttemptFinding::Failed,
            };
            fleet.send(node, event);
        }
        FaultKind::EmptyList => {
            for node in 0..NODES {
                fleet.send(node, HealthEvent::Listed(Vec::new()));
            }
        }
    }
}

/// Runs the plan; `midway` is called once at a random time between the faults.
fn run_plan(plan: &FaultPlan, mut midway: impl FnMut(&mut FakeFleet)) -> FakeFleet {
    let mut fleet = FakeFleet::new(plan.seed, &HealthSettings::default());
    fleet.run_until(WARM_UP_MS);
    fleet.loss = plan.loss;
    let mut faults = plan.faults.clone();
    faults.sort_by_key(|fault| fault.at);
    let middle = plan.seed % RUN_MS;
    let mut pending = true;
    for fault in &faults {
        if pending && fault.at >= middle {
            fleet.run_until(WARM_UP_MS + middle);
            midway(&mut fleet);
            pending = false;
        }
        let at = (WARM_UP_MS + fault.at).max(fleet.now);
        fleet.run_until(at);
        inject(&mut fleet, fault);
    }
    if pending {
        let at = (WARM_UP_MS + middle).max(fleet.now);
        fleet.run_until(at);
        midway(&mut fleet);
    }
    let end = (WARM_UP_MS + RUN_MS).max(fleet.now);
    fleet.run_until(end);
    fleet
}

fn check(name: &str, default_runs: u64, property: fn(FaultPlan) -> TestResult) {
    let seed = env_number("JAYSADDLE_SEED", DEFAULT_SEED);
    let runs = env_number("JAYSADDLE_RUNS", default_runs);
    println!("{name}: JAYSADDLE_SEED={seed} JAYSADDLE_RUNS={runs}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(runs)
        .max_tests(runs)
        .quickcheck(property);
}

/// Guards against declaring a VM dead because of an isolated watcher's findings, a pause of the
/// node, lost probes or the platform's list: the subject responds all the time.
#[test]
fn responsive_vm_is_never_dead() {
    fn property(plan: FaultPlan) -> TestResult {
        let fleet = run_plan(&plan, |_| {});
        let subject = vm_id(SUBJECT);
        let death = fleet
            .changes
            .iter()
            .find(|(_, _, vm, state)| *vm == subject && *state == VmState::Dead);
        match death {
            None => TestResult::passed(),
            Some((time, node, vm, _)) => {
                TestResult::error(format!("node {node} considered {vm} dead at {time} ms"))
            }
        }
    }
    check("never_dead", 1000, property);
}

/// Guards against new work for a leaving VM later than 3 s after any source reports that
/// it is leaving.
#[test]
fn leaving_vm_is_leaving_on_all_nodes_within_3_s() {
    fn property(mut plan: FaultPlan) -> TestResult {
        plan.loss = 0;
        let source = plan.seed % 3;
        let mut verdict = TestResult::passed();
        run_plan(&plan, |fleet| {
            let start = fleet.now;
            announce_leaving(fleet, source);
            fleet.run_until(start + LEAVING_BOUND_MS);
            for node in 0..NODES {
                let state = fleet.state(node, SUBJECT);
                if fleet.is_healthy_since(node, start) && state != VmState::Leaving {
                    verdict = TestResult::error(format!(
                        "node {node} sees {state:?} 3 s after {start} ms, source {source}"
                    ));
                }
            }
        });
        verdict
    }
    check("leaving", 1000, property);
}

fn announce_leaving(fleet: &mut FakeFleet, source: u64) {
    match source {
        0 => fleet.vms[SUBJECT].leaving = true,
        1 => {
            for node in 0..NODES {
                let entry = ListedVm {
                    vm: vm_id(SUBJECT),
                    state: ListedState::Leaving,
                };
                fleet.send(node, HealthEvent::Listed(vec![entry]));
            }
        }
        _ => {
            for node in 0..NODES {
                fleet.send(node, HealthEvent::DrainsChanged(vec![vm_id(SUBJECT)]));
            }
        }
    }
}

/// Guards against a failed VM that stays in use: healthy nodes consider it dead within 9 s (four
/// probes of 1 s with their timeout, the delay of the rumor and one probe interval for a lost
/// response).
#[test]
fn failed_vm_is_dead_on_healthy_nodes_within_9_s() {
    fn property(mut plan: FaultPlan) -> TestResult {
        plan.loss = 0;
        let mut verdict = TestResult::passed();
        run_plan(&plan, |fleet| {
            let start = fleet.now;
            let healthy: Vec<usize> = (0..NODES)
                .filter(|&node| fleet.is_healthy_since(node, start))
                .collect();
            // A majority of the watchers needs working links; later faults are injected
            // after the check.
            if healthy.len() < NODES {
                return;
            }
            fleet.vms[SUBJECT].down_until = u64::MAX;
            fleet.run_until(start + DEAD_BOUND_MS);
            for node in healthy {
                let state = fleet.state(node, SUBJECT);
                if state != VmState::Dead {
                    verdict = TestResult::error(format!(
                        "node {node} sees {state:?} 9 s after {start} ms"
                    ));
                }
            }
        });
        verdict
    }
    check("dead", 500, property);
}

/// Guards against a VM that stays out of use: after the faults have ended, it is live on all nodes
/// within the longest damping time that the faults can have caused.
#[test]
fn responsive_vm_recovers_after_faults() {
    fn property(plan: FaultPlan) -> TestResult {
        let mut fleet = run_plan(&plan, |_| {});
        fleet.loss = 0;
        let end = fleet.now + 15_000 + 300_000 + 10_000;
        fleet.run_until(end);
        for node in 0..NODES {
            for vm in 0..VMS {
                let state = fleet.state(node, vm);
                if state != VmState::Live {
                    return TestResult::error(format!("node {node} sees vm-{vm} as {state:?}"));
                }
            }
        }
        TestResult::passed()
    }
    check("live_again", 60, property);
}

/// Guards against VMs that stay out of use after a partition: each side removes the other's nodes,
/// and watchers that saw no change do not resend their findings.
#[test]
fn all_vms_are_live_after_partition() {
    for seed in 0..100 {
        let mut fleet = FakeFleet::new(seed, &HealthSettings::default());
        fleet.run_until(WARM_UP_MS + seed * 10);
        let start = fleet.now;
        fleet.partitioned_until = start + 60_000;
        fleet.run_until(start + 5_000);
        for node in 0..NODES {
            let side: Vec<usize> = (0..NODES)
                .filter(|other| (*other < PARTITION_BOUNDARY) == (node < PARTITION_BOUNDARY))
                .collect();
            fleet.send(node, HealthEvent::WatchersChanged(watcher_nodes(side)));
        }
        fleet.run_until(start + 60_000);
        let across = (fleet.state(0, 3), fleet.state(NODES - 1, 0));
        let dead = (VmState::Dead, VmState::Dead);
        assert_eq!(across, dead, "seed {seed}: unreachable");
        fleet.run_until(start + 61_000);
        for node in 0..NODES {
            fleet.send(node, HealthEvent::WatchersChanged(watcher_nodes(0..NODES)));
        }
        fleet.run_until(start + 61_000 + 30_000);
        for node in 0..NODES {
            for vm in 0..VMS {
                let state = fleet.state(node, vm);
                assert_eq!(state, VmState::Live, "seed {seed}: node {node}, vm-{vm}");
            }
        }
    }
}
