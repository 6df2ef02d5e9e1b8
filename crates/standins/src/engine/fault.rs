//! Fault injection for engines and services.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use jaysaddle_types::ids::VmId;
use serde::Deserialize;
use serde::Serialize;

/// Slowdown factor of a `slow` fault without a value.
const DEFAULT_SLOWDOWN: f64 = 10.0;

/// Upper limit of the slowdown factor. A token takes minutes at this factor.
const MAX_SLOWDOWN: f64 = 100_000.0;

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Simulates a crash: connections are refused and the state of the VM is lost.
    Kill,
    /// Connections are accepted, but nothing is answered or generated until `recover`.
    Freeze,
    /// Tokens and responses take `value` times as long.
    Slow,
    /// Established streams stop without being closed; new connections work.
    Silent,
    /// Established streams are closed before their end; their runs continue.
    Cut,
    /// The VM reports that it is leaving and refuses new requests.
    Leave,
    /// Each event of a stream is sent twice; value 0 disables the fault.
    Duplicate,
    /// Adjacent events of a stream are swapped in pairs; value 0 disables the fault.
    Reorder,
    /// New runs have an empty output; value 0 disables the fault.
    Empty,
    /// Clears all faults. A killed VM accepts connections again, in the state after a restart.
    Recover,
}

/// Body of `POST /control/fault` of an engine or service process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmFault {
    /// Target VM; absent means all VMs of the process.
    #[serde(default)]
    pub vm: Option<VmId>,
    /// Fault to inject, or `recover` to clear all faults.
    pub fault: FaultKind,
    /// Parameter of the fault: the factor of `slow`, or 0 to disable `duplicate`, `reorder` or
    /// `empty`.
    #[serde(default)]
    pub value: Option<f64>,
}

impl VmFault {
    /// Whether the fault is enabled rather than disabled.
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

/// Effect of the active faults on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// The stream continues.
    None,
    /// The stream waits until the fault is cleared.
    Frozen,
    /// The connection is closed.
    Cut,
    /// The connection stays open and nothing more is sent.
    Silent,
}

/// Counts of the cut and silent faults at the start of a stream. A stream is affected by a fault
/// whose count has changed since then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamEpoch {
    cut: u64,
    silent: u64,
}

/// Active faults of one VM. They are atomics because streams read them for each token.
#[derive(Debug)]
pub(crate) struct ActiveFaults {
    killed: AtomicBool,
    frozen: AtomicBool,
    duplicate: AtomicBool,
    reorder: AtomicBool,
    empty: AtomicBool,
    /// Slowdown factor as the bits of an `f64`.
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
    /// Enables or disables a fault. The caller changes the leaving state and the listener.
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

    pub(crate) fn is_killed(&self) -> bool {
        self.killed.load(Ordering::SeqCst)
    }

    pub(crate) fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::SeqCst)
    }

    pub(crate) fn duplicates_events(&self) -> bool {
        self.duplicate.load(Ordering::SeqCst)
    }

    pub(crate) fn reorders_events(&self) -> bool {
        self.reorder.load(Ordering::SeqCst)
    }

    pub(crate) fn empties_output(&self) -> bool {
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

    /// Returns the effect of the active faults on a stream that started at `since`.
    pub(crate) fn stream_fault(&self, since: StreamEpoch) -> StreamFault {
        let now = self.epoch();
        if now.cut != since.cut {
            StreamFault::Cut
        } else if now.silent != since.silent {
            StreamFault::Silent
        } else if self.is_frozen() {
            StreamFault::Frozen
        } else {
            StreamFault::None
        }
    }
}
