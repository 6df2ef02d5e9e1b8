//! Input events and output effects of membership.

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

/// A fact to disseminate; a later fact of the same origin replaces an earlier one in its slot.
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

/// Input to [`crate::MembershipTracker::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// A membership message has arrived.
    Received(PeerMessage),
    /// A connection to a peer could not be opened, or broke.
    SendFailed(SocketAddr),
    /// Disseminate a fact of this node.
    Publish(RumorBody),
    /// This node begins to leave but continues to participate in the protocol.
    Leave,
    /// This node stops now; peers need not wait for it to return.
    Stop,
}

/// Output of [`crate::MembershipTracker::step`], to be executed by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Send a message over the connection to `to`, opening one if there is none.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// Membership message to send.
        message: PeerMessage,
    },
    /// Close the connection to `to`, if any, so that the next message opens a new one.
    Reconnect {
        /// Peer address whose connection is closed.
        to: SocketAddr,
    },
    /// A node run is new or has changed its state.
    NodeChanged {
        /// Run with its addresses.
        record: NodeRecord,
        /// State that the run has entered.
        state: NodeState,
    },
    /// A new fact of another node has arrived.
    RumorReceived {
        /// Node run that published the fact.
        origin: NodeKey,
        /// Fact; replaces an earlier one of the same origin and slot.
        body: RumorBody,
    },
    /// Write a decision record to the log.
    Decision(DecisionRecord),
}
