//! Random sequences of all events for one tracker, including inconsistent ones.

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::HealthEffect;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::ProbeFailure;
use jaysaddle_test_support::env_number;
use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::view::VmState;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::support::DEFAULT_SEED;
use crate::support::TestRng;
use crate::support::harness::TrackerHarness;
use crate::support::node_key;
use crate::support::report;
use crate::support::target;
use crate::support::vm_id;
use crate::support::watcher_nodes;

const NODES: u64 = 5;
const VMS: u64 = 6;
const STEPS: usize = 300;
const FINDINGS: [ProbeFinding; 5] = [
    ProbeFinding::Answers,
    ProbeFinding::Slow,
    ProbeFinding::Missed,
    ProbeFinding::Gone,
    ProbeFinding::Leaving,
];

fn subset(rng: &mut TestRng, count: u64) -> Vec<usize> {
    (0..count as usize).filter(|_| rng.below(3) > 0).collect()
}

fn random_vm(rng: &mut TestRng) -> VmId {
    vm_id(rng.below(VMS) as usize)
}

fn probed(rng: &mut TestRng) -> HealthEvent {
    let vm = random_vm(rng);
    let outcome = match rng.below(5) {
        0 => Ok(report(&random_vm(rng), false)),
        1 => Ok(report(&vm, true)),
        2 => Ok(report(&vm, false)),
        _ => Err(ProbeFailure::Timeout),
    };
    let latency = TimeSpan(rng.below(1_000));
    HealthEvent::Probed {
        vm,
        outcome,
        latency,
    }
}

fn listed(rng: &mut TestRng) -> HealthEvent {
    let mut list = Vec::new();
    for vm in subset(rng, VMS) {
        let state = match rng.below(4) {
            0 => ListedState::Leaving,
            _ => ListedState::Live,
        };
        list.push(ListedVm {
            vm: vm_id(vm),
            state,
        });
    }
    HealthEvent::Listed(list)
}

fn random_event(rng: &mut TestRng) -> HealthEvent {
    match rng.below(20) {
        0 => HealthEvent::TargetsChanged(subset(rng, VMS).into_iter().map(target).collect()),
        1 => HealthEvent::WatchersChanged(watcher_nodes(subset(rng, NODES))),
        2 => HealthEvent::PeersReachable(rng.below(1_001) as u32),
        3 => listed(rng),
        4 => HealthEvent::DrainsChanged(subset(rng, 2).into_iter().map(vm_id).collect()),
        5 | 6 => HealthEvent::Attempted {
            vm: random_vm(rng),
            finding: match rng.below(2) {
                0 => AttemptFinding::Answered,
                _ => AttemptFinding::Failed,
            },
        },
        7..=10 => HealthEvent::PeerFinding {
            node: node_key(rng.below(NODES) as usize),
            evidence: VmEvidence {
                vm: random_vm(rng),
                finding: FINDINGS[rng.below(5) as usize],
                cut_off: rng.below(4) == 0,
            },
        },
        11..=16 => probed(rng),
        _ => HealthEvent::Tick,
    }
}

/// Guards against counter underflow, probes of VMs that are not targets, and
/// unreported state changes.
#[test]
fn random_events_keep_tracker_consistent() {
    fn property(seed: u64) -> TestResult {
        let mut rng = TestRng(seed);
        let mut harness = TrackerHarness::new(3, VMS as usize);
        let mut reported = vec![VmState::Unknown; VMS as usize];
        let mut targets: Vec<VmId> = (0..VMS as usize).map(vm_id).collect();
        for _ in 0..STEPS {
            harness.now += match rng.below(40) {
                0 => 20_000,
                _ => rng.below(300),
            };
            let event = random_event(&mut rng);
            if let HealthEvent::TargetsChanged(changed) = &event {
                targets = changed.iter().map(|target| target.vm.clone()).collect();
                for (index, state) in reported.iter_mut().enumerate() {
                    if !targets.contains(&vm_id(index)) {
                        *state = VmState::Unknown;
                    }
                }
            }
            harness.step(event);
            for effect in &harness.effects {
                match effect {
                    HealthEffect::Probe { vm, .. } if !targets.contains(vm) => {
                        return TestResult::error(format!("{vm} is probed but is not a target"));
                    }
                    HealthEffect::StateChanged { vm, state } => {
                        let index = (0..VMS as usize).find(|index| vm_id(*index) == *vm);
                        reported[index.expect("a VM of this test")] = *state;
                    }
                    _ => {}
                }
            }
            let states: Vec<VmState> = (0..VMS as usize).map(|vm| harness.state(vm)).collect();
            if states != reported {
                return TestResult::error(format!("states {states:?}, reported {reported:?}"));
            }
        }
        harness.step(HealthEvent::TargetsChanged(Vec::new()));
        match harness.tick_for(3_000).first() {
            Some(vm) => TestResult::error(format!("{vm} is probed after its removal")),
            None => TestResult::passed(),
        }
    }
    let seed = env_number("JAYSADDLE_SEED", DEFAULT_SEED);
    let runs = env_number("JAYSADDLE_RUNS", 2_000);
    println!("events: JAYSADDLE_SEED={seed} JAYSADDLE_RUNS={runs}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(runs)
        .max_tests(runs)
        .quickcheck(property as fn(u64) -> TestResult);
}
