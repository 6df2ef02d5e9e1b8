//! Fault injection for the platform.

use serde::Deserialize;
use serde::Serialize;

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// There is no outage.
    #[default]
    Off,
    /// Connections are closed without a response.
    Closed,
    /// Calls are answered with status 503.
    Unavailable,
}

/// Body of `POST /control/fault`; settings of absent fields do not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFault {
    /// Outage to simulate; `off` ends it.
    pub outage: Option<OutageMode>,
    /// Delay before each call is processed, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of subsequent writes that take effect but whose response is lost.
    pub lose_writes: Option<u32>,
    /// Whether calls are accepted but never answered.
    pub silent: Option<bool>,
    /// Lag of the list of VMs, in milliseconds.
    pub list_lag_ms: Option<u64>,
}

/// Active faults of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultState {
    pub(crate) outage: OutageMode,
    pub(crate) delay_ms: u64,
    pub(crate) lose_writes: u32,
    pub(crate) silent: bool,
}

impl FaultState {
    /// Applies the fields that are present.
    pub(crate) fn apply(&mut self, fault: &PlatformFault) {
        self.outage = fault.outage.unwrap_or(self.outage);
        self.delay_ms = fault.delay_ms.unwrap_or(self.delay_ms);
        self.lose_writes = fault.lose_writes.unwrap_or(self.lose_writes);
        self.silent = fault.silent.unwrap_or(self.silent);
    }

    /// Whether the response of the write that has just taken effect is lost; counts it if so.
    pub(crate) fn take_lost_write(&mut self) -> bool {
        let lost = self.lose_writes > 0;
        self.lose_writes = self.lose_writes.saturating_sub(1);
        lost
    }
}
