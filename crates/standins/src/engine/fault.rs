//! Faults of engines and services.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use jaysaddle_types::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Factor of a `slow` fault without a value.
const DEFAULT_SLOWDOWN: f64 = 10.0;

/// Highest accepted factor; a token then takes minutes.
const MAX_SLOWDOWN: f64 = 100_000.0;

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
    fn is_enabled(&self) -> bool {
        self.value != Some(0.0)
    }

    fn slowdown(&self) -> f64 {
        let factor = self.value.unwrap_or(DEFAULT_SLOWDOWN);
        if factor.is_finite() {
            factor.clamp(0.001, MAX_SLOWDOWN)
        } else {
            DEFAULT_SLOWDOWN
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
pub(crate) struct ActiveFaults {
    killed: AtomicBool,
    frozen: AtomicBool,
    duplicate: AtomicBool,
    reorder: AtomicBool,
    empty: AtomicBool,
    /// Bits of an `f64`.
    slowdown: AtomicU64,
    cut_count: AtomicU64,
    silent_count: AtomicU64,
}

impl Default for ActiveFaults {
    fn default() -> Self {
        Self {
            killed: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
            duplicate: AtomicBool::new(false),
            reorder: AtomicBool::new(false),
            empty: AtomicBool::new(false),
            slowdown: AtomicU64::new(1.0f64.to_bits()),
            cut_count: AtomicU64::new(0),
            silent_count: AtomicU64::new(0),
        }
    }
}

impl ActiveFaults {
    /// Switches a fault. Leaving and the listener are for the caller to change.
    pub(crate) fn apply(&self, fault: &VmFault) {
        match fault.fault {
            FaultKind::Kill => {
                self.killed.store(true, Ordering::SeqCst);
                self.cut_count.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Freeze => self.frozen.store(true, Ordering::SeqCst),
            FaultKind::Slow => self
                .slowdown
                .store(fault.slowdown().to_bits(), Ordering::SeqCst),
            FaultKind::Silent => {
                self.silent_count.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Cut => {
                self.cut_count.fetch_add(1, Ordering::SeqCst);
            }
            FaultKind::Leave => {}
            FaultKind::Duplicate => self.duplicate.store(fault.is_enabled(), Ordering::SeqCst),
            FaultKind::Reorder => self.reorder.store(fault.is_enabled(), Ordering::SeqCst),
            FaultKind::Empty => self.empty.store(fault.is_enabled(), Ordering::SeqCst),
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
        self.slowdown.store(1.0f64.to_bits(), Ordering::SeqCst);
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

    pub(crate) fn slowdown(&self) -> f64 {
        f64::from_bits(self.slowdown.load(Ordering::SeqCst))
    }

    pub(crate) fn epoch(&self) -> StreamEpoch {
        StreamEpoch {
            cut: self.cut_count.load(Ordering::SeqCst),
            silent: self.silent_count.load(Ordering::SeqCst),
        }
    }

    /// What happened to a stream that started at `since`.
    pub(crate) fn stream_fault(&self, since: StreamEpoch) -> StreamFault {
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
