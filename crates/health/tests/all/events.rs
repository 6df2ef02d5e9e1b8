//! Random sequences of all events for one tracker, also those that make no sense together.

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::HealthEffect;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::ProbeFailure;
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
use crate::support::NoiseSource;
use crate::support::bench::TrackerBench;
use crate::support::env_number;
use crate::support::node_key;
use crate::support::places;
use crate::support::report;
use crate::support::target;
use crate::support::vm_id;

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

fn subset(noise: &mut NoiseSource, count: u64) -> Vec<usize> {
    (0..count as usize).filter(|_| noise.below(3) > 0).collect()
}

fn random_vm(noise: &mut NoiseSource) -> VmId {
    vm_id(noise.below(VMS) as usize)
}

fn probed(noise: &mut NoiseSource) -> HealthEvent {
    let vm = random_vm(noise);
    let outcome = match noise.below(5) {
        0 => Ok(report(&random_vm(noise), false)),
        1 => Ok(report(&vm, true)),
        2 => Ok(report(&vm, false)),
        _ => Err(ProbeFailure::Timeout),
    };
    let latency = TimeSpan(noise.below(1_000));
    HealthEvent::Probed {
        vm,
        outcome,
        latency,
    }
}

fn listed(noise: &mut NoiseSource) -> HealthEvent {
    let mut list = Vec::new();
    for vm in subset(noise, VMS) {
        let state = match noise.below(4) {
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

fn random_event(noise: &mut NoiseSource) -> HealthEvent {
    match noise.below(20) {
        0 => HealthEvent::TargetsChanged(subset(noise, VMS).into_iter().map(target).collect()),
        1 => HealthEvent::WatchersChanged(places(subset(noise, NODES))),
        2 => HealthEvent::PeersReachable(noise.below(1_001) as u32),
        3 => listed(noise),
        4 => HealthEvent::DrainsChanged(subset(noise, 2).into_iter().map(vm_id).collect()),
        5 | 6 => HealthEvent::Attempted {
            vm: random_vm(noise),
            finding: match noise.below(2) {
                0 => AttemptFinding::Answered,
                _ => AttemptFinding::Failed,
            },
        },
        7..=10 => HealthEvent::PeerFinding {
            node: node_key(noise.below(NODES) as usize),
            evidence: VmEvidence {
                vm: random_vm(noise),
                finding: FINDINGS[noise.below(5) as usize],
                cut_off: noise.below(4) == 0,
            },
        },
        11..=16 => probed(noise),
        _ => HealthEvent::Tick,
    }
}

/// Guards against counters that underflow, probes of VMs that are no targets, and state changes that
/// are not reported.
#[test]
fn any_sequence_of_events_keeps_the_tracker_consistent() {
    fn property(seed: u64) -> TestResult {
        let mut noise = NoiseSource(seed);
        let mut bench = TrackerBench::new(3, VMS as usize);
        let mut told = vec![VmState::Unknown; VMS as usize];
        let mut targets: Vec<VmId> = (0..VMS as usize).map(vm_id).collect();
        for _ in 0..STEPS {
            bench.now += match noise.below(40) {
                0 => 20_000,
                _ => noise.below(300),
            };
            let event = random_event(&mut noise);
            if let HealthEvent::TargetsChanged(changed) = &event {
                targets = changed.iter().map(|target| target.vm.clone()).collect();
                for (index, state) in told.iter_mut().enumerate() {
                    if !targets.contains(&vm_id(index)) {
                        *state = VmState::Unknown;
                    }
                }
            }
            bench.step(event);
            for effect in &bench.effects {
                match effect {
                    HealthEffect::Probe { vm, .. } if !targets.contains(vm) => {
                        return TestResult::error(format!("{vm} is probed but no target"));
                    }
                    HealthEffect::StateChanged { vm, state } => {
                        let index = (0..VMS as usize).find(|index| vm_id(*index) == *vm);
                        told[index.expect("a VM of this test")] = *state;
                    }
                    _ => {}
                }
            }
            let states: Vec<VmState> = (0..VMS as usize).map(|vm| bench.state(vm)).collect();
            if states != told {
                return TestResult::error(format!("states {states:?}, reported {told:?}"));
            }
        }
        bench.step(HealthEvent::TargetsChanged(Vec::new()));
        match bench.wait(3_000).first() {
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
