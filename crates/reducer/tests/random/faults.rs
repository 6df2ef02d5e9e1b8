//! Schedules of faults.

use quickcheck::Arbitrary;
use quickcheck::Gen;

/// A fault; numbers are taken modulo what there is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node ends at once and starts again after some time with nothing kept.
    KillNode { node: usize, down_ms: u64 },
    /// A node stands still; its clock goes on.
    PauseNode { node: usize, ms: u64 },
    /// A node makes a planned stop and starts again later.
    StopNode { node: usize, down_ms: u64 },
    /// A node is cut off from the other nodes.
    CutNode { node: usize, ms: u64 },
    /// A VM ends at once and starts again after some time with nothing kept.
    KillVm { vm: usize, down_ms: u64 },
    /// A VM answers nothing for some time.
    FreezeVm { vm: usize, ms: u64 },
    /// All VMs of a fabric domain end at once.
    KillDomain { domain: usize, down_ms: u64 },
    /// A VM starts to leave.
    LeaveVm { vm: usize, ms: u64 },
    /// The store refuses every call.
    StoreDown { ms: u64 },
    /// The store's answers are lost after the call took effect.
    LoseAnswers { ms: u64 },
    /// Messages between nodes are lost with this probability.
    LoseMessages { permille: u64, ms: u64 },
    /// Two operators apply different rules with the same expected version.
    RaceOperators,
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedFault {
    /// Time from the start of the run.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// A run: its seed, its fencing and its faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunPlan {
    /// Seed of delays and choices.
    pub seed: u64,
    /// Whether the engines refuse old fencing tokens.
    pub fencing: bool,
    /// Faults.
    pub faults: Vec<TimedFault>,
}

/// Time within which faults begin.
pub const FAULT_WINDOW_MS: u64 = 20_000;

fn below(gen_: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(gen_) % limit
}

fn number(gen_: &mut Gen) -> usize {
    usize::arbitrary(gen_) % 64
}

impl Arbitrary for Fault {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let long = 500 + below(gen_, 15_000);
        let short = 200 + below(gen_, 6_000);
        match below(gen_, 12) {
            0 => Fault::KillNode {
                node: number(gen_),
                down_ms: short,
            },
            1 => Fault::PauseNode {
                node: number(gen_),
                ms: long,
            },
            2 => Fault::StopNode {
                node: number(gen_),
                down_ms: short,
            },
            3 => Fault::CutNode {
                node: number(gen_),
                ms: long,
            },
            4 => Fault::KillVm {
                vm: number(gen_),
                down_ms: short,
            },
            5 => Fault::FreezeVm {
                vm: number(gen_),
                ms: long,
            },
            6 => Fault::KillDomain {
                domain: number(gen_),
                down_ms: long,
            },
            7 => Fault::LeaveVm {
                vm: number(gen_),
                ms: long,
            },
            8 => Fault::StoreDown { ms: long },
            9 => Fault::LoseAnswers { ms: short },
            10 => Fault::LoseMessages {
                permille: 50 + below(gen_, 500),
                ms: short,
            },
            _ => Fault::RaceOperators,
        }
    }
}

impl Arbitrary for RunPlan {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let count = 1 + below(gen_, 8);
        let mut faults: Vec<TimedFault> = (0..count)
            .map(|_| TimedFault {
                at_ms: 3_000 + below(gen_, FAULT_WINDOW_MS),
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
