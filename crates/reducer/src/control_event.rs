//! Events and effects of the control plane.

use std::net::SocketAddr;
use std::sync::Arc;

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::ProbeFailure;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::view::FleetView;
use jaysaddle_wire::messages::PeerMessage;

use crate::invariant::InvariantViolation;
use crate::operator::OperatorOutcome;
use crate::operator::OperatorTicket;

/// Component that issued a store call and receives its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreCaller {
    /// The lease table.
    Lease,
    /// The shard controller, which writes placements.
    Placement,
    /// Configuration changes by operators.
    Operator,
}

/// Input of the control plane.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Periodic event that triggers due actions; sent several times a second.
    Tick,
    /// A peer's message arrived. Messages of the ledger go to the data plane instead.
    PeerReceived(PeerMessage),
    /// A connection to the peer at this address failed.
    PeerFailed(SocketAddr),
    /// A watch delivered objects.
    ObjectsChanged {
        /// Kind of all delivered objects.
        kind: ObjectKind,
        /// New versions of the changed objects.
        objects: Vec<StoredObject>,
    },
    /// A watch succeeded or failed, which shows whether the store is reachable.
    StoreReachable(bool),
    /// A store call completed.
    CallCompleted {
        /// Component that issued the call.
        caller: StoreCaller,
        /// Identifies the call within its component.
        call: CallId,
        /// Result of the call.
        outcome: StoreOutcome,
    },
    /// The platform's list of VMs arrived.
    VmsListed(Vec<ListedVm>),
    /// A probe completed.
    VmReported {
        /// VM that was probed.
        vm: VmId,
        /// The VM's report, or the reason why there is none.
        outcome: Result<EngineReport, ProbeFailure>,
        /// Duration of the probe.
        latency: TimeSpan,
    },
    /// An order completed or failed.
    OrderCompleted {
        /// VM that the order was sent to.
        vm: VmId,
        /// Order that was sent.
        order: EngineOrder,
        /// The engine's response; absent when there was none.
        outcome: Option<OrderOutcome>,
    },
    /// The outcome of a request attempt provided evidence about a VM's health.
    Attempted {
        /// VM that the request was sent to.
        vm: VmId,
        /// Evidence from the attempt.
        finding: AttemptFinding,
    },
    /// The data plane measured this node's usage by account.
    UsageMeasured(Vec<AccountUsage>),
    /// The data plane has handed over its ledger.
    LedgerMoved {
        /// Node incarnation that holds the ledger now.
        successor: NodeKey,
    },
    /// An operator applies a configuration document.
    ApplyRequested {
        /// Correlates the outcome with this request.
        ticket: OperatorTicket,
        /// Name of the document.
        name: String,
        /// Version that the change replaces; the change conflicts with any other.
        expected: ObjectVersion,
        /// The document as JSON text.
        value: String,
    },
    /// An operator drains or undrains a VM.
    DrainRequested {
        /// Correlates the outcome with this request.
        ticket: OperatorTicket,
        /// VM to drain or undrain.
        vm: VmId,
        /// True to drain the VM, false to undrain it.
        drained: bool,
    },
    /// This node begins its planned stop: it announces the stop to its peers and
    /// releases its leases.
    StopRequested,
    /// This node is about to exit.
    Stopped,
}

/// Output of the control plane, carried out by the daemon.
#[derive(Clone, Debug)]
pub enum ControlEffect {
    /// Send a message to a peer.
    SendPeer {
        /// Address of the peer.
        to: SocketAddr,
        /// Message to send.
        message: PeerMessage,
    },
    /// Replace the connection to a peer.
    Reconnect {
        /// Address of the peer.
        to: SocketAddr,
    },
    /// Call the store.
    CallStore {
        /// Component that issues the call.
        caller: StoreCaller,
        /// Identifies the call within its component.
        call: CallId,
        /// Read or conditional write to perform.
        request: StoreRequest,
    },
    /// Probe a VM over a new connection.
    ProbeVm {
        /// VM to probe.
        vm: VmId,
        /// Address of the VM's engine or service.
        address: SocketAddr,
        /// Time after which the probe fails.
        timeout: TimeSpan,
    },
    /// Send an order to an engine, if this node still holds the shard's lease.
    OrderEngine {
        /// Shard whose lease authorizes the order.
        shard: FabricDomainId,
        /// VM that receives the order.
        vm: VmId,
        /// Address of the VM's engine.
        address: SocketAddr,
        /// Order to send.
        order: EngineOrder,
    },
    /// Pass a new view to the data plane.
    PublishView(Arc<FleetView>),
    /// Complete an operator's request.
    CompleteOperation {
        /// Ticket of the request.
        ticket: OperatorTicket,
        /// Result of the change.
        outcome: OperatorOutcome,
    },
    /// A later incarnation of this node has joined the cluster, so this process
    /// must exit immediately.
    Superseded,
    /// Log a decision.
    Decision(DecisionRecord),
    /// Report a violated invariant; the unsafe effect was withheld.
    Violation(InvariantViolation),
}
