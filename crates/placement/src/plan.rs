//! Input and result of the planner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use compact_str::CompactString;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::inventory::FencingSupport;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::VmState;

/// A VM as the planner sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannerVm {
    /// The VM.
    pub vm: VmId,
    /// Fabric domain.
    pub fabric_domain: FabricDomainId,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Models that it may host.
    pub can_host: Vec<ModelId>,
    /// Accelerators.
    pub accelerators: u32,
    /// Judged state.
    pub state: VmState,
    /// Whether its engine refuses orders with an old fencing token.
    pub fencing: FencingSupport,
}

/// Readiness and use of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerGroup {
    /// Readiness.
    pub state: GroupState,
    /// Requests that run, as last reported.
    pub running: u32,
}

/// Everything the planner looks at.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerInput {
    /// Rules in force.
    pub rules: Arc<RulesDocument>,
    /// VMs of the inventory, sorted by id, without those excluded by a conflict.
    pub vms: Vec<PlannerVm>,
    /// Stored placements.
    pub placements: BTreeMap<FabricDomainId, PlacementDocument>,
    /// Readiness by group.
    pub groups: BTreeMap<GroupId, PlannerGroup>,
    /// Use of the fleet by account.
    pub usage: BTreeMap<AccountId, SlotCount>,
    /// VMs that have been suspect for longer than `suspect_grace`; filled by the controller.
    pub expired_suspects: BTreeSet<VmId>,
    /// Draining groups that may be changed now: their requests have ended or their drain has timed
    /// out; filled by the controller.
    pub drained: BTreeSet<GroupId>,
    /// Highest fencing token that each engine has reported; filled by the controller. Tokens of
    /// different fabric domains are not comparable, so a VM that moved may have seen a higher one
    /// than its new document has given out.
    pub seen_generations: BTreeMap<VmId, Generation>,
}

/// Something that cannot be done, and what would make it possible.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockedItem {
    /// The VM, model, account or rule concerned.
    pub subject: CompactString,
    /// Why it cannot be done.
    pub reason: CompactString,
    /// What would make it possible.
    pub remedy: CompactString,
}

/// The planner's result: the placement to store, as changed documents.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementPlan {
    /// Groups of each fabric domain whose placement is to change. Generations of changed groups are
    /// already raised.
    pub documents: BTreeMap<FabricDomainId, PlacementDocument>,
    /// One reason per changed group.
    pub reasons: BTreeMap<GroupId, CompactString>,
    /// Order in which groups that load are to be admitted to the weight store, first to last.
    pub load_order: Vec<GroupId>,
    /// What cannot be done.
    pub blocked: Vec<BlockedItem>,
    /// Accelerators that are healthy but in no whole group under this plan.
    pub stranded: u32,
    /// Least number of stranded accelerators that the inventory allows.
    pub stranded_bound: u32,
}
