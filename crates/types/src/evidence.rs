//! Observations about VMs and account usage that nodes exchange.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountId;
use crate::ids::VmId;
use crate::units::SlotCount;

/// Result of a node's probes of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeFinding {
    /// Probes are answered in time.
    Answers,
    /// Probes are answered, but much later than by comparable VMs.
    Slow,
    /// Recent probes were not answered.
    Missed,
    /// Probes have failed for so long that the probing node considers the VM dead.
    Gone,
    /// The VM reports that it is leaving.
    Leaving,
}

/// A node's finding about a VM; disseminated when it changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEvidence {
    /// VM that was probed.
    pub vm: VmId,
    /// Result of the probes.
    pub finding: ProbeFinding,
    /// Whether the probing node is isolated, that is, has lost contact with more than half of its
    /// targets or peers. Other nodes ignore the findings of an isolated node.
    pub cut_off: bool,
}

/// State of a VM in the platform's VM list, which lags behind the actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// VM that the entry describes.
    pub vm: VmId,
    /// State according to the list.
    pub state: ListedState,
}

/// Usage of one node by one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Account that the usage is attributed to.
    pub account: AccountId,
    /// Requests being executed through the node.
    pub in_use: SlotCount,
    /// Demand: requests of the last few seconds that are running, are queued or were refused
    /// because the account's share was used up.
    pub wanted: SlotCount,
}
