//! Events and effects of the traffic lane.

use std::net::SocketAddr;
use std::sync::Arc;

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::ProbeFailure;
use jaysaddle_ledger::StoredResponse;
use jaysaddle_routing::RouteTarget;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::engine::EngineRefusal;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::RequestSpec;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::TokenCount;
use jaysaddle_types::verdict::RequestRefusal;
use jaysaddle_types::view::FleetView;
use jaysaddle_wire::messages::PeerMessage;

use crate::invariant::InvariantViolation;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Completed {
        /// The answer, kept for repeats of a keyed request.
        answer: StoredResponse,
        /// Time from the send to the first token.
        first_token: TimeSpan,
        /// Prompt tokens that the engine's prefix cache held.
        cached_tokens: TokenCount,
    },
    /// No connection could be opened; no byte left.
    NotSent,
    /// The backend server refused the request before running it.
    Refused(EngineRefusal),
    /// The stream ended or went silent without an end marker, or its pieces did not fit together.
    Broken {
        /// Tokens received in order.
        received: u32,
        /// Whether bytes of the answer were passed to the caller.
        delivered: bool,
        /// Whether the stream may be resumed; false for plain services.
        resumable: bool,
    },
    /// The deadline passed; the backend server was told to cancel.
    DeadlineExceeded,
    /// The caller hung up; the backend server was told to cancel.
    CallerGone,
}

/// What happens to the traffic lane.
#[derive(Clone, Debug)]
pub enum TrafficEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// The control lane published a view.
    ViewChanged(Arc<FleetView>),
    /// A request arrived and was authenticated.
    RequestArrived(RequestSpec),
    /// The leader asked for `request` answered, or not.
    GroupReported {
        /// The request.
        request: RequestId,
        /// The leader's report, or why there is none.
        outcome: Result<EngineReport, ProbeFailure>,
    },
    /// The control lane's probe of a VM brought a report.
    VmReported(EngineReport),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The caller hung up before its request was sent.
    CallerGone(RequestId),
    /// A peer's message about the ledger arrived.
    PeerReceived {
        /// Peer address of the sender.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// New requests are refused from now on.
    RefuseNew,
    /// All requests have ended; the ledger is to be handed over.
    HandOverLedger,
}

/// What the traffic lane wants done.
#[derive(Clone, Debug)]
pub enum TrafficEffect {
    /// Ask a leader for its report on behalf of a request.
    CheckGroup {
        /// The request.
        request: RequestId,
        /// The leader.
        vm: VmId,
        /// Address of the leader.
        address: SocketAddr,
    },
    /// Send a request, or resume its stream.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Where it goes.
        target: RouteTarget,
        /// Address to send to.
        address: SocketAddr,
        /// Tokens already received, when a stream is resumed.
        resume_at: Option<u32>,
    },
    /// Refuse a request; it has ended.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: RequestRefusal,
    },
    /// Answer a repeated request; it has ended.
    ReturnStored {
        /// The request.
        request: RequestId,
        /// The answer of the first run.
        answer: StoredResponse,
    },
    /// Send a message to a peer.
    SendPeer {
        /// Peer address.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// An attempt showed something of a VM; for the control lane.
    Attempted {
        /// The VM.
        vm: VmId,
        /// What it showed.
        finding: AttemptFinding,
    },
    /// This node's use by account; for the control lane.
    UsageMeasured(Vec<AccountUsage>),
    /// The ledger was handed over; for the control lane.
    LedgerMoved {
        /// Node run that holds it now.
        successor: NodeKey,
    },
    /// The handover has ended: done, or given up because no node took the ledger.
    HandoverEnded {
        /// Whether a successor holds the ledger.
        complete: bool,
    },
    /// Log line.
    Decision(DecisionRecord),
    /// An invariant would have been broken; the effect was withheld.
    Violation(InvariantViolation),
}
