//! Faults of engines and services.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use jaysaddle_types::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Factor of a `slow` fault without a value.
const DEFAULT_SLOWNESS: f64 = 10.0;

/// Highest accepted factor; a token then takes minutes.
const MAX_SLOWNESS: f64 = 100_000.0;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The VM is gone: connections are refused and its state is lost.
    Kill,
    /// Connections are accepted and nothing is answered or generated until `recover`.
    Freeze,
    /// Tokens and answers take `value` times as long.
    Slow,
    /// Established streams stop without closing; new connections work.
    Silent,
    /// Established streams are closed in the middle; their runs go on.
    Cut,
    /// The VM reports that it is leaving and refuses new requests.
    Leave,
    /// Each piece of a stream is sent twice; value 0 ends it.
    Duplicate,
    /// Pieces of a stream are swapped pairwise; value 0 ends it.
    Reorder,
    /// New runs have an empty answer; value 0 ends it.
    Empty,
    /// All faults end. A killed VM comes back as after a restart.
    Recover,
}

/// Body of `POST /control/fault` of an engine or service process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmFault {
    /// The VM; absent means all VMs of the process.
    #[serde(default)]
    pub vm: Option<VmId>,
    /// What goes wrong.
    pub fault: FaultKind,
    /// Parameter of the fault.
    #[serde(default)]
    pub value: Option<f64>,
}

impl VmFault {
    /// Whether the fault is switched on rather than off.
    fn on(&self) -> bool {
        self.value != Some(0.0)
    }

    fn slowness(&self) -> f64 {
        let factor = self.value.unwrap_or(DEFAULT_SLOWNESS);
        if factor.is_finite() {
            factor.clamp(0.001, MAX_SLOWNESS)
        } else {
            DEFAULT_SLOWNESS
        }
    }
}

/// What a stream has to do because of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// Go on.
    None,
    /// Wait.
    Frozen,
    /// Close the connection.
    Cut,
    /// Keep the connection and send nothing more.
    Silent,
}

/// Position of a stream in the sequence of faults that hit established streams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamEpoch {
    cut: u64,
    silent: u64,
}

/// Faults in force at one VM. Streams read them for each token, so they take no lock.
#[derive(Debug)]
pub(crate) struct FaultSwitches {
    killed: AtomicBool,
    frozen: AtomicBool,
    duplicate: AtomicBool,
    reorder: AtomicBool,
    empty: AtomicBool,
    /// Bits of an `f64`.
    slowness: AtomicU64,
    cuts: AtomicU64,
    silences: AtomicU64,
}

impl Default for FaultSwitches {
    fn default() -> Self {
        Self {
            killed: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
            duplicate: AtomicBool::new(false),
            reorder: AtomicBool::new(false),
            empty: AtomicBool::new(false),
            slowness: AtomicU64::new(1.0f64.to_bits()),
            cuts: AtomicU64::new(0),
            silences: AtomicU64::new(0),
        }
    }
}

impl FaultSwitches {
    /// Switches a fault. Leaving and the listener are for the caller to change.
    pub(crate) fn apply(&self, fault: &VmFault) {
        match fault.fault {
            FaultKind::Kill => {
                self.killed.store(true, Ordering::SeqCst);
                self.cuts.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Freeze => self.frozen.store(true, Ordering::SeqCst),
            FaultKind::Slow => self
                .slowness
                .store(fault.slowness().to_bits(), Ordering::SeqCst),
            FaultKind::Silent => {
                self.silences.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Cut => {
                self.cuts.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Leave => {}
            FaultKind::Duplicate => self.duplicate.store(fault.on(), Ordering::SeqCst),
            FaultKind::Reorder => self.reorder.store(fault.on(), Ordering::SeqCst),
            FaultKind::Empty => self.empty.store(fault.on(), Ordering::SeqCst),
            FaultKind::Recover => self.clear(),
        }
    }

    fn clear(&self) {
        for switch in [
            &self.killed,
            &self.frozen,
            &self.duplicate,
            &self.reorder,
            &self.empty,
        ] {
            switch.store(false, Ordering::SeqCst);
        }
        self.slowness.store(1.0f64.to_bits(), Ordering::SeqCst);
    }

    pub(crate) fn killed(&self) -> bool {
        self.killed.load(Ordering::SeqCst)
    }

    pub(crate) fn frozen(&self) -> bool {
        self.frozen.load(Ordering::SeqCst)
    }

    pub(crate) fn duplicate(&self) -> bool {
        self.duplicate.load(Ordering::SeqCst)
    }

    pub(crate) fn reorder(&self) -> bool {
        self.reorder.load(Ordering::SeqCst)
    }

    pub(crate) fn empty(&self) -> bool {
        self.empty.load(Ordering::SeqCst)
    }

    pub(crate) fn slowness(&self) -> f64 {
        f64::from_bits(self.slowness.load(Ordering::SeqCst))
    }

    pub(crate) fn epoch(&self) -> StreamEpoch {
        StreamEpoch {
            cut: self.cuts.load(Ordering::SeqCst),
            silent: self.silences.load(Ordering::SeqCst),
        }
    }

    /// What happened to a stream that started at `since`.
    pub(crate) fn hits(&self, since: StreamEpoch) -> StreamFault {
        let now = self.epoch();
        if now.cut != since.cut {
            StreamFault::Cut
        } else if now.silent != since.silent {
            StreamFault::Silent
        } else if self.frozen() {
            StreamFault::Frozen
        } else {
            StreamFault::None
        }
    }
}
