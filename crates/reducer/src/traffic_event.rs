//! Events and effects of the data plane.

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

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The complete response arrived.
    Completed {
        /// The response, stored for caller retries of a request with an idempotency key.
        response: StoredResponse,
        /// Time from the dispatch to the first token.
        first_token: TimeSpan,
        /// Prompt tokens that were in the engine's prefix cache.
        cached_tokens: TokenCount,
    },
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The backend server refused the request before running it.
    Refused(EngineRefusal),
    /// No chunk arrived for some time. The streams of the attempt are open and go on being read with
    /// [`TrafficEffect::AwaitAttempt`] or beside a further dispatch.
    Silent {
        /// Number of tokens received in sequence.
        received: u32,
        /// Whether any part of the response was forwarded to the caller.
        delivered: bool,
    },
    /// The stream ended before its end marker, or its chunks were inconsistent.
    Broken {
        /// Number of tokens received in sequence.
        received: u32,
        /// Whether any part of the response was forwarded to the caller.
        delivered: bool,
        /// Whether the stream can be resumed; false for plain services.
        resumable: bool,
    },
    /// The deadline passed; a completion has been cancelled at its engine.
    DeadlineExceeded,
    /// The caller disconnected; a completion has been cancelled at its engine.
    CallerDisconnected,
}

/// Input of the data plane.
#[derive(Clone, Debug)]
pub enum TrafficEvent {
    /// Periodic event that triggers due actions; sent several times a second.
    Tick,
    /// The control plane published a view.
    ViewChanged(Arc<FleetView>),
    /// An authenticated request arrived.
    RequestArrived(RequestSpec),
    /// The report requested by [`TrafficEffect::CheckGroup`] arrived or failed.
    GroupReported {
        /// Request that waits for the report.
        request: RequestId,
        /// The leader's report, or the reason why there is none.
        outcome: Result<EngineReport, ProbeFailure>,
    },
    /// A probe by the control plane returned a report.
    VmReported(EngineReport),
    /// An attempt ended.
    AttemptEnded {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt, as in [`TrafficEffect::Dispatch`].
        attempt: u32,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// The caller disconnected before its request was dispatched.
    CallerDisconnected(RequestId),
    /// A peer's message about the ledger arrived.
    PeerReceived {
        /// Peer address of the sender.
        from: SocketAddr,
        /// Message of the sender.
        message: PeerMessage,
    },
    /// Refuse new requests from now on.
    RefuseNew,
    /// All requests have ended; hand over the ledger.
    HandOverLedger,
}

/// Output of the data plane, carried out by the daemon.
#[derive(Clone, Debug)]
pub enum TrafficEffect {
    /// Request a report from a group's leader before a request is dispatched to it.
    CheckGroup {
        /// Request that waits for the report.
        request: RequestId,
        /// Leader of the group.
        vm: VmId,
        /// Address of the leader.
        address: SocketAddr,
    },
    /// Send a request, or resume its stream.
    Dispatch {
        /// Request to send.
        request: RequestId,
        /// Number of the attempt, starting at 1.
        attempt: u32,
        /// Group or backend server that was chosen.
        target: RouteTarget,
        /// Address to send to.
        address: SocketAddr,
        /// Number of tokens already received; present when a stream is resumed.
        resume_at: Option<u32>,
    },
    /// Go on reading the open streams of a request.
    AwaitAttempt {
        /// Request that waits.
        request: RequestId,
        /// Latest attempt, of which a stream is expected to be open.
        attempt: u32,
    },
    /// Refuse a request, which ends it.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Reason, verdict and retry delay for the caller.
        refusal: RequestRefusal,
    },
    /// Respond to a caller retry with the stored response, which ends the request.
    ReturnStored {
        /// Request to respond to.
        request: RequestId,
        /// Response of the request that was executed with the same key.
        response: StoredResponse,
    },
    /// Send a message to a peer.
    SendPeer {
        /// Address of the peer.
        to: SocketAddr,
        /// Message to send.
        message: PeerMessage,
    },
    /// Report evidence about a VM's health from an attempt to the control plane.
    Attempted {
        /// VM that the request was sent to.
        vm: VmId,
        /// Evidence from the attempt.
        finding: AttemptFinding,
    },
    /// Report this node's usage by account to the control plane.
    UsageMeasured(Vec<AccountUsage>),
    /// Report the ledger's new holder to the control plane.
    LedgerMoved {
        /// Node incarnation that holds the ledger now.
        successor: NodeKey,
    },
    /// The handover completed, or was abandoned because no successor acknowledged it.
    HandoverEnded {
        /// Whether a successor holds the ledger.
        complete: bool,
    },
    /// Log a decision.
    Decision(DecisionRecord),
    /// Report a violated invariant; the unsafe effect was withheld.
    Violation(InvariantViolation),
}
