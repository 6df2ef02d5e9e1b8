//! Input and output of the planner.

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

/// VM of the inventory, with its current state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannerVm {
    /// Id of the VM; unique in the inventory.
    pub vm: VmId,
    /// Fabric domain of the VM; all members of a group are in the same one.
    pub fabric_domain: FabricDomainId,
    /// Failure domain of the VM; groups of a model are spread over failure domains.
    pub failure_domain: FailureDomainId,
    /// Models that the VM may host, from the inventory.
    pub can_host: Vec<ModelId>,
    /// Number of accelerators attached to the VM.
    pub accelerators: u32,
    /// Health state that the failure detection has assigned to the VM.
    pub state: VmState,
    /// Whether the VM's engine refuses orders with an outdated fencing token.
    pub fencing: FencingSupport,
}

/// Observed state of a stored group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerGroup {
    /// Whether the group is loading, ready, draining or incomplete.
    pub state: GroupState,
    /// Number of running requests, as last reported by the leader.
    pub running: u32,
}

/// State of the fleet that a plan is computed from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerInput {
    /// Rules in force.
    pub rules: Arc<RulesDocument>,
    /// VMs of the inventory, sorted by id, without those excluded because of a conflict.
    pub vms: Vec<PlannerVm>,
    /// Stored placement document of each fabric domain; absent where none is stored.
    pub placements: BTreeMap<FabricDomainId, PlacementDocument>,
    /// Observed state of each stored group.
    pub groups: BTreeMap<GroupId, PlannerGroup>,
    /// Groups whose leader reports now that they are complete and execute requests. These go on even if evidence calls a member failed.
    pub executing: BTreeSet<GroupId>,
    /// Slots in use by each client account.
    pub usage: BTreeMap<AccountId, SlotCount>,
    /// VMs that have been suspect for longer than `suspect_grace`; filled by the controller.
    pub expired_suspects: BTreeSet<VmId>,
    /// Draining groups that may be changed now, because their requests have completed or the drain
    /// has timed out; filled by the controller.
    pub drained: BTreeSet<GroupId>,
    /// Highest fencing token that each engine has reported; filled by the controller. Each document
    /// issues its own tokens, so the engine of a VM that moved to another fabric domain may have
    /// seen a higher token than its new document has issued.
    pub seen_generations: BTreeMap<VmId, Generation>,
}

/// Part of the demand that cannot be met, with the reason and a remedy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockedItem {
    /// VM, model, account or rule concerned.
    pub subject: CompactString,
    /// Reason why the demand cannot be met.
    pub reason: CompactString,
    /// Change by an operator that would resolve the item.
    pub remedy: CompactString,
}

/// Result of the planner: the placement documents to store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementPlan {
    /// Documents of the fabric domains whose placement changes. Changed groups already have
    /// their new generation.
    pub documents: BTreeMap<FabricDomainId, PlacementDocument>,
    /// Reason for each changed or dissolved group.
    pub reasons: BTreeMap<GroupId, CompactString>,
    /// Order in which loading groups are admitted to the weight store.
    pub load_order: Vec<GroupId>,
    /// Demand that the plan cannot meet, sorted and without duplicates.
    pub blocked: Vec<BlockedItem>,
    /// Number of accelerators of live VMs that are in no complete group under this plan.
    pub stranded: u32,
    /// Lower bound for `stranded` that the inventory and the rules allow.
    pub stranded_bound: u32,
}
