//! Evidence about VMs and usage of accounts, as spread between nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountId;
use crate::ids::VmId;
use crate::units::SlotCount;

/// What one watcher found out about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeFinding {
    /// Answers in time.
    Answers,
    /// Answers, but much slower than its peers.
    Slow,
    /// Missed probes.
    Missed,
    /// Missed probes for so long that the watcher takes it for dead.
    Gone,
    /// Says that it is leaving.
    Leaving,
}

/// A watcher's finding, spread when it changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEvidence {
    /// The VM.
    pub vm: VmId,
    /// What was found.
    pub finding: ProbeFinding,
    /// Whether the watcher is cut off from more than half of its targets or peers; its reports of
    /// missing VMs do not count for others.
    pub cut_off: bool,
}

/// State of a VM in the platform's list, which lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Its state.
    pub state: ListedState,
}

/// One account's use of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountId,
    /// Requests that run on the node.
    pub in_use: SlotCount,
    /// Requests that run, wait or were refused for lack of a share in the last seconds.
    pub wanted: SlotCount,
}
