//! Faults of the platform.

use serde::Deserialize;
use serde::Serialize;

/// How an outage shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// No outage.
    #[default]
    Off,
    /// Connections are closed without an answer.
    Closed,
    /// Calls are answered with status 503.
    Unavailable,
}

/// Body of `POST /control/fault`; absent fields stay as they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFault {
    /// Outage.
    pub outage: Option<OutageMode>,
    /// Time added before each call takes effect, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of writes from now on whose answer is lost after they took effect.
    pub lose_writes: Option<u32>,
    /// Whether calls are accepted and never answered.
    pub silent: Option<bool>,
    /// Lag of the list of VMs, in milliseconds.
    pub list_lag_ms: Option<u64>,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultState {
    pub(crate) outage: OutageMode,
    pub(crate) delay_ms: u64,
    pub(crate) lose_writes: u32,
    pub(crate) silent: bool,
}

impl FaultState {
    /// Takes over the fields that are present.
    pub(crate) fn apply(&mut self, fault: &PlatformFault) {
        self.outage = fault.outage.unwrap_or(self.outage);
        self.delay_ms = fault.delay_ms.unwrap_or(self.delay_ms);
        self.lose_writes = fault.lose_writes.unwrap_or(self.lose_writes);
        self.silent = fault.silent.unwrap_or(self.silent);
    }

    /// Whether the answer of the write that took effect now is lost.
    pub(crate) fn take_lost_write(&mut self) -> bool {
        let lost = self.lose_writes > 0;
        self.lose_writes = self.lose_writes.saturating_sub(1);
        lost
    }
}
