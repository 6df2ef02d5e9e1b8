//! Events and effects of the controller.

use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::serving::ServingConfig;

use crate::controller::FleetStats;
use crate::table::BackendTable;

/// Work of callers' requests at one node, refused ones included.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeTraffic {
    /// The node and its start.
    pub node: NodeKey,
    /// Work since that start, in milliseconds of a fully used group, by model.
    pub work: Vec<(ModelId, u64)>,
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The report was read.
    Reported {
        /// Accepted orders.
        order_count: u64,
    },
    /// The connection was refused, or the answer was not a report: something lives at the address.
    Refused,
    /// No answer.
    NoAnswer,
}

/// An event of the controller.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Time has passed.
    Tick,
    /// This node took the lease.
    Acquired(LeaseEpoch),
    /// This node took over the lease of a node that stops.
    TakenOver {
        /// Term.
        term: LeaseEpoch,
        /// Groups that were formed in the term.
        groups_formed: u64,
    },
    /// This node lost the lease.
    Lost,
    /// An order ended.
    OrderCompleted {
        /// VM.
        id: VmId,
        /// The order.
        order: BackendOrder,
        /// Result.
        result: OrderResult,
    },
    /// A report was read, or could not be.
    ProbeCompleted {
        /// VM.
        id: VmId,
        /// Result.
        result: ProbeResult,
    },
    /// The store stopped to answer, or answers again. Meanwhile entries are kept up to date from reports.
    StoreLost(bool),
    /// Requests at the leader `id` get no data.
    LeaderSilent {
        /// VM.
        id: VmId,
    },
    /// Requests of callers at all nodes.
    Traffic(Vec<NodeTraffic>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEffect {
    /// Send an order.
    Order {
        /// VM.
        id: VmId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: BackendOrder,
        /// Accepted orders that the order names.
        order_count: Option<u64>,
    },
    /// Read a report.
    Probe {
        /// VM.
        id: VmId,
        /// Its address.
        address: SocketAddr,
    },
    /// A decision, for the log.
    LogDecision(CompactString),
    /// Figures of the fleet, for the log and the metrics.
    ReportStats(FleetStats),
}

/// What the controller reads.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Backend servers.
    pub table: &'a BackendTable,
    /// Configuration.
    pub config: &'a ServingConfig,
    /// Whether the entries show what the backend servers hold. Right after an outage of the store they may be from
    /// before it.
    pub is_table_current: bool,
}
