//! Input and output types of the controller.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetStats;
use crate::table::BackendTable;

/// Cumulative work of the requests that arrived at one node, including refused ones.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeTraffic {
    /// The node and its incarnation.
    pub node: NodeKey,
    /// Work since the node's start, by model, in milliseconds of a fully utilized group.
    pub work: Vec<(ModelId, u64)>,
}

/// Group of a VM and the number of its orders at one moment.
///
/// # Invariants
///
/// Both come from the same report or response. An order to join that names the number then takes effect only as long as
/// the VM is in this group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmState {
    /// Number of orders that the VM has accepted since its start.
    pub order_count: u64,
    /// Group that the VM belongs to.
    pub group: Option<GroupKey>,
    /// Whether the VM leads that group and serves.
    pub is_serving: bool,
}

/// Result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The VM's report was received.
    Reported(VmState),
    /// The host refused the connection, or another process answered at the address: the process is gone or leaving.
    Refused,
    /// No connection could be opened in time.
    Unreachable,
    /// A connection was opened, but no valid report arrived: the process may still be working.
    Silent,
    /// The probe says nothing about the VM, because this process did not run or could not send it.
    Void,
}

/// Input of [`FleetController::step`](crate::controller::FleetController::step).
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Periodic tick, which advances all groups and plans new ones.
    Tick,
    /// This node has acquired the lease, or accepted it from a node that shuts down, for a new term.
    Acquired(LeaseEpoch),
    /// This node no longer holds the lease.
    Lost,
    /// An order completed or failed.
    OrderDone {
        /// VM to which the order was sent.
        id: VmId,
        /// The order as it was sent.
        order: BackendOrder,
        /// The VM's response, or the kind of failure.
        result: OrderResult,
    },
    /// A probe completed or failed.
    ProbeDone {
        /// VM that was probed.
        id: VmId,
        /// The VM's response, or the kind of failure.
        result: ProbeResult,
    },
    /// Whether the store is unreachable for this node. While it is, entries are updated from reports.
    StoreUnreachable(bool),
    /// Requests in flight at the leader `id` receive no data.
    LeaderStalled {
        /// VM of the leader.
        id: VmId,
    },
    /// Work counters of all live nodes.
    Traffic(Vec<NodeTraffic>),
    /// Leaders whose backend servers have named a request limit, with the part of their slots that the limit allows to
    /// use, 0 to 1. Replaces the previous ones.
    Limited(Vec<(VmId, f64)>),
    /// VMs that want nothing from this node for now, with the time until which they do. Replaces the previous ones.
    Paused(Vec<(VmId, Timestamp)>),
    /// Evacuated failure domains, whose VMs get nothing. Replaces the previous ones.
    Evacuated(BTreeSet<FailureDomainId>),
}

/// Output of [`FleetController::step`](crate::controller::FleetController::step), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEffect {
    /// Send an order to a VM.
    Order {
        /// VM that receives the order.
        id: VmId,
        /// Address of the VM's backend server.
        address: SocketAddr,
        /// The order to send.
        order: BackendOrder,
        /// Number of accepted orders that the VM must have for the order to take effect; set for joins.
        order_count: Option<u64>,
    },
    /// Read the report of a VM.
    Probe {
        /// VM to probe.
        id: VmId,
        /// Address of the VM's backend server.
        address: SocketAddr,
        /// Whether the previous probe has failed, so that a connection which was open before it must not be used.
        is_repeated: bool,
    },
    /// Log a decision, given as key=value fields.
    LogDecision(CompactString),
    /// Log and publish the fleet's statistics.
    ReportStats(FleetStats),
}

/// State outside the controller that a step reads.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Registered backend servers.
    pub table: &'a BackendTable,
    /// Services, their models and group sizes.
    pub config: &'a ServingConfig,
    /// Whether the entries reflect the state of the backend servers. Right after an outage of the store, they may
    /// still show the state from before it; the controller then gives no orders.
    pub is_table_current: bool,
}
