//! Random schedules of faults.

use quickcheck::Arbitrary;
use quickcheck::Gen;

/// A fault; indices are taken modulo the number of nodes, VMs or domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node crashes and restarts without its state after `down_ms`.
    KillNode { node: usize, down_ms: u64 },
    /// A node is suspended while its clock continues.
    PauseNode { node: usize, ms: u64 },
    /// A node performs a planned stop and restarts after `down_ms`.
    StopNode { node: usize, down_ms: u64 },
    /// A node is partitioned from the other nodes.
    PartitionNode { node: usize, ms: u64 },
    /// A VM crashes and restarts without its state after `down_ms`.
    KillVm { vm: usize, down_ms: u64 },
    /// A VM does not respond for `ms`.
    FreezeVm { vm: usize, ms: u64 },
    /// All VMs of a fabric domain crash at the same time.
    KillDomain { domain: usize, down_ms: u64 },
    /// A VM reports that it is leaving, for `ms`.
    LeaveVm { vm: usize, ms: u64 },
    /// The store is unavailable.
    StoreDown { ms: u64 },
    /// Responses of the store are lost after the call took effect.
    LoseResponses { ms: u64 },
    /// Messages between nodes are lost with a probability of `permille` thousandths.
    LoseMessages { permille: u64, ms: u64 },
    /// Two operators apply different rules concurrently with the same expected version.
    ConcurrentApplies,
}

/// A scheduled fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedFault {
    /// Time from the start of the run.
    pub at_ms: u64,
    /// Fault to inject.
    pub fault: Fault,
}

/// Parameters of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunPlan {
    /// Seed of all random decisions during the run.
    pub seed: u64,
    /// Whether the engines reject stale fencing tokens.
    pub fencing: bool,
    /// Faults in the order of their start times.
    pub faults: Vec<TimedFault>,
}

/// Length of the period in which faults start.
pub const FAULT_PERIOD_MS: u64 = 20_000;

fn random_below(gen_: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(gen_) % limit
}

fn random_index(gen_: &mut Gen) -> usize {
    usize::arbitrary(gen_) % 64
}

impl Arbitrary for Fault {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let long = 500 + random_below(gen_, 15_000);
        let short = 200 + random_below(gen_, 6_000);
        match random_below(gen_, 12) {
            0 => Fault::KillNode {
                node: random_index(gen_),
                down_ms: short,
            },
            1 => Fault::PauseNode {
                node: random_index(gen_),
                ms: long,
            },
            2 => Fault::StopNode {
                node: random_index(gen_),
                down_ms: short,
            },
            3 => Fault::PartitionNode {
                node: random_index(gen_),
                ms: long,
            },
            4 => Fault::KillVm {
                vm: random_index(gen_),
                down_ms: short,
            },
            5 => Fault::FreezeVm {
                vm: random_index(gen_),
                ms: long,
            },
            6 => Fault::KillDomain {
                domain: random_index(gen_),
                down_ms: long,
            },
            7 => Fault::LeaveVm {
                vm: random_index(gen_),
                ms: long,
            },
            8 => Fault::StoreDown { ms: long },
            9 => Fault::LoseResponses { ms: short },
            10 => Fault::LoseMessages {
                permille: 50 + random_below(gen_, 500),
                ms: short,
            },
            _ => Fault::ConcurrentApplies,
        }
    }
}

impl Arbitrary for RunPlan {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let count = 1 + random_below(gen_, 8);
        let mut faults: Vec<TimedFault> = (0..count)
            .map(|_| TimedFault {
                at_ms: 3_000 + random_below(gen_, FAULT_PERIOD_MS),
                fault: Fault::arbitrary(gen_),
            })
            .collect();
        faults.sort_by_key(|fault| fault.at_ms);
        Self {
            seed: u64::arbitrary(gen_),
            fencing: bool::arbitrary(gen_),
            faults,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        Box::new((0..self.faults.len()).map(move |left_out| {
            let mut smaller = plan.clone();
            smaller.faults.remove(left_out);
            smaller
        }))
    }
}
