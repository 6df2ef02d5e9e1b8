//! Events and effects of the control lane.

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
use crate::operator::OperatorAnswer;
use crate::operator::OperatorTicket;

/// The part that a call to the store belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreCaller {
    /// Control leases.
    Lease,
    /// Placement.
    Placement,
    /// Changes of the configuration by operators.
    Operator,
}

/// What happens to the control lane.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// A peer's message arrived; messages of the ledger go to the traffic lane.
    PeerReceived(PeerMessage),
    /// A connection to a peer failed.
    PeerFailed(SocketAddr),
    /// A watch delivered objects.
    ObjectsChanged {
        /// Kind of the objects.
        kind: ObjectKind,
        /// The objects.
        objects: Vec<StoredObject>,
    },
    /// A watch succeeded or failed; shows whether the store is up.
    StoreReachable(bool),
    /// A call to the store ended.
    CallAnswered {
        /// Part that made the call.
        caller: StoreCaller,
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// The platform's list arrived.
    VmsListed(Vec<ListedVm>),
    /// A probe ended.
    VmReported {
        /// The VM.
        vm: VmId,
        /// Its report, or why there is none.
        outcome: Result<EngineReport, ProbeFailure>,
        /// Time that the probe took.
        latency: TimeSpan,
    },
    /// An order was answered, or not.
    OrderAnswered {
        /// The VM.
        vm: VmId,
        /// The order.
        order: EngineOrder,
        /// The answer; absent when none came.
        outcome: Option<OrderOutcome>,
    },
    /// A request attempt showed something of a VM.
    Attempted {
        /// The VM.
        vm: VmId,
        /// What it showed.
        finding: AttemptFinding,
    },
    /// The traffic lane measured this node's use by account.
    UsageMeasured(Vec<AccountUsage>),
    /// The traffic lane has handed its ledger over.
    LedgerMoved {
        /// Node run that holds it now.
        successor: NodeKey,
    },
    /// An operator applies a configuration document.
    ApplyRequested {
        /// Matches the answer.
        ticket: OperatorTicket,
        /// Name of the document.
        name: String,
        /// Version that must be in force.
        expected: ObjectVersion,
        /// The document as JSON text.
        value: String,
    },
    /// An operator drains or undrains a VM.
    DrainRequested {
        /// Matches the answer.
        ticket: OperatorTicket,
        /// The VM.
        vm: VmId,
        /// Whether the VM is to take no more work.
        drained: bool,
    },
    /// This node begins its planned stop: peers and callers are told, leases are released.
    StopRequested,
    /// This node ends now.
    Stopped,
}

/// What the control lane wants done.
#[derive(Clone, Debug)]
pub enum ControlEffect {
    /// Send a message to a peer.
    SendPeer {
        /// Peer address.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Replace the connection to a peer.
    Reconnect {
        /// Peer address.
        to: SocketAddr,
    },
    /// Make a call to the store.
    CallStore {
        /// Part that makes the call.
        caller: StoreCaller,
        /// Matches the answer.
        call: CallId,
        /// The call.
        request: StoreRequest,
    },
    /// Probe a VM on a new connection.
    ProbeVm {
        /// The VM.
        vm: VmId,
        /// Its address.
        address: SocketAddr,
        /// Time allowed.
        timeout: TimeSpan,
    },
    /// Send an order, if this node still holds the shard's lease.
    OrderEngine {
        /// Shard that the order belongs to.
        shard: FabricDomainId,
        /// The VM.
        vm: VmId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
    },
    /// Hand a new view to the traffic lane.
    PublishView(Arc<FleetView>),
    /// Answer an operator.
    AnswerOperator {
        /// The operator's request.
        ticket: OperatorTicket,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// A later run of this node is known to the peers; this run has to end at once.
    Superseded,
    /// Log line.
    Decision(DecisionRecord),
    /// An invariant would have been broken; the effect was withheld.
    Violation(InvariantViolation),
}
