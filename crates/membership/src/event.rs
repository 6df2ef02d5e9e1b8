//! Events and effects of membership.

use std::net::SocketAddr;

use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::node::NodeState;
use jaysaddle_wire::messages::PeerMessage;

/// A fact to spread; a later one of the same origin replaces an earlier one in its slot.
#[derive(Clone, Debug, PartialEq)]
pub enum RumorBody {
    /// Evidence about a VM; one slot per VM.
    Vm(VmEvidence),
    /// Versions of the documents in force; one slot.
    Documents(Vec<(DocumentName, ObjectVersion)>),
    /// Account usage; one slot.
    Usage(Vec<AccountUsage>),
    /// The origin's ledger has moved to another node run; one slot.
    Handover(NodeKey),
}

/// What happens to membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// A membership message arrived.
    Received(PeerMessage),
    /// A connection to a peer could not be opened, or broke.
    SendFailed(SocketAddr),
    /// Spread a fact of this node.
    Publish(RumorBody),
    /// This node starts to leave.
    Leave,
    /// This node stops now; peers may forget it at once.
    Stop,
}

/// What membership wants done or known.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Send a message over the connection to `to`, opening one if there is none.
    Send {
        /// Peer address.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Close the connection to `to`, if any, so that the next message opens a new one.
    Reconnect {
        /// Peer address.
        to: SocketAddr,
    },
    /// A node is new or has changed its state.
    NodeChanged {
        /// The node.
        record: NodeRecord,
        /// Its state.
        state: NodeState,
    },
    /// A peer's fact is new.
    RumorReceived {
        /// Where it comes from.
        origin: NodeKey,
        /// The fact.
        body: RumorBody,
    },
    /// Log line.
    Decision(DecisionRecord),
}
