//! Messages that daemons exchange over peer connections.

use prost::Message;
use prost::Oneof;

/// Content of one frame between two daemons.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// Name of the sending node.
    #[prost(string, tag = "1")]
    pub from_id: String,
    /// Incarnation of the sending node.
    #[prost(uint64, tag = "2")]
    pub from_incarnation: u64,
    /// The message itself.
    #[prost(oneof = "PeerBody", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<PeerBody>,
}

/// Kinds of peer messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// Probe of a peer.
    #[prost(message, tag = "3")]
    Ping(PingMessage),
    /// Response to a probe, direct or relayed.
    #[prost(message, tag = "4")]
    Ack(AckMessage),
    /// Request to probe a third node.
    #[prost(message, tag = "5")]
    PingRequest(PingRequestMessage),
    /// Digest for anti-entropy.
    #[prost(message, tag = "6")]
    SyncRequest(SyncRequestMessage),
    /// Rumors that the requesting node lacks.
    #[prost(message, tag = "7")]
    SyncReply(SyncReplyMessage),
    /// Request for a configuration document.
    #[prost(message, tag = "8")]
    DocumentRequest(DocumentRequestMessage),
    /// A configuration document as stored.
    #[prost(message, tag = "9")]
    DocumentReply(DocumentReplyMessage),
    /// Query about an idempotency key, sent to the key's home.
    #[prost(message, tag = "10")]
    LedgerQuery(LedgerQueryMessage),
    /// Response of the key's home to a query.
    #[prost(message, tag = "11")]
    LedgerAnswer(LedgerAnswerMessage),
    /// Part of a request ledger, handed over by a stopping node.
    #[prost(message, tag = "12")]
    LedgerHandover(LedgerHandoverMessage),
    /// Acknowledgement of one part of a handover.
    #[prost(message, tag = "13")]
    HandoverAck(HandoverAckMessage),
    /// Keeps an idle connection alive; sent by both ends.
    #[prost(message, tag = "14")]
    Heartbeat(HeartbeatMessage),
}

/// One run of a node, from a start to the next restart.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct NodeRun {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Incarnation number; higher for later restarts.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Probe of a peer.
#[derive(Clone, PartialEq, Message)]
pub struct PingMessage {
    /// Matches the response to the probe.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// Peer address of the node to relay the response to; set for an indirect probe.
    #[prost(string, optional, tag = "2")]
    pub relay_to: Option<String>,
    /// Rumors piggybacked on the probe.
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<WireRumor>,
}

/// Response to a probe.
#[derive(Clone, PartialEq, Message)]
pub struct AckMessage {
    /// Nonce of the probe.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// Node that responded; differs from the sender when the response is relayed.
    #[prost(message, optional, tag = "2")]
    pub responder: Option<NodeRun>,
    /// Rumors piggybacked on the response.
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<WireRumor>,
    /// Peer address of the node to forward the response to, copied from the probe. The relaying
    /// node of an indirect probe therefore keeps no state.
    #[prost(string, optional, tag = "4")]
    pub relay_to: Option<String>,
}

/// Request to probe a third node.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequestMessage {
    /// Nonce that the final response carries.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// Peer address of the node to probe.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Rumors piggybacked on the request.
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<WireRumor>,
}

/// Digest of all rumors that a node stores.
#[derive(Clone, PartialEq, Message)]
pub struct SyncRequestMessage {
    /// Highest sequence and hash of the rumors of each origin.
    #[prost(message, repeated, tag = "1")]
    pub origins: Vec<OriginDigest>,
    /// Hash over all origins; when the hashes are equal, no list is needed.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// State of the sender itself, for a peer that has not received it yet.
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<WireRumor>,
    /// Number of buckets that origins are divided into; 0 when `origins` names single origins that
    /// the sender requests.
    #[prost(uint32, tag = "4")]
    pub bucket_count: u32,
    /// Buckets whose origins are all listed; the other buckets are equal.
    #[prost(uint32, repeated, tag = "5")]
    pub buckets: Vec<u32>,
}

/// Digest of one origin's rumors.
#[derive(Clone, PartialEq, Message)]
pub struct OriginDigest {
    /// Node run that the rumors originate from.
    #[prost(message, optional, tag = "1")]
    pub origin: Option<NodeRun>,
    /// Highest sequence that the sender has received from the origin.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Hash of the sender's (slot, sequence) pairs of the origin, excluding node states.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Rank of the sender's claim about the origin's state: four times the revision plus the
    /// state's order of precedence; 0 when the sender has no claim.
    #[prost(uint64, tag = "4")]
    pub claim_rank: u64,
}

/// Rumors that the receiving node lacks. Also sent without a request, to push new rumors.
#[derive(Clone, PartialEq, Message)]
pub struct SyncReplyMessage {
    /// Rumors that the receiver lacks.
    #[prost(message, repeated, tag = "1")]
    pub rumors: Vec<WireRumor>,
    /// Digest of the responding node, for the reverse direction; absent in the second response.
    #[prost(message, optional, tag = "2")]
    pub request: Option<SyncRequestMessage>,
    /// Set when the digests differ and the requesting node is to send its full list.
    #[prost(bool, tag = "3")]
    pub need_origins: bool,
    /// With `need_origins`: one hash per bucket of origins. Only the origins of differing buckets
    /// are then listed.
    #[prost(fixed32, repeated, tag = "4")]
    pub buckets: Vec<u32>,
}

/// A versioned fact of one origin. A later sequence replaces an earlier one in the same slot.
#[derive(Clone, PartialEq, Message)]
pub struct WireRumor {
    /// Node run that the fact originates from; absent when a node states its own state.
    #[prost(message, optional, tag = "1")]
    pub origin: Option<NodeRun>,
    /// Sequence number, counted per origin across all slots.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The fact with its kind.
    #[prost(oneof = "WireRumorBody", tags = "3, 4, 5, 6, 7")]
    pub body: Option<WireRumorBody>,
}

/// Kinds of rumors.
#[derive(Clone, PartialEq, Oneof)]
pub enum WireRumorBody {
    /// State of a node according to the origin; one slot per node described.
    #[prost(message, tag = "3")]
    Node(NodeRumor),
    /// Evidence about a VM; one slot per VM.
    #[prost(message, tag = "4")]
    Vm(VmRumor),
    /// Versions of the configuration documents in force at the origin; a single slot.
    #[prost(message, tag = "5")]
    Documents(DocumentsRumor),
    /// Account usage at the origin; a single slot.
    #[prost(message, tag = "6")]
    Usage(UsageRumor),
    /// The origin's request ledger was handed over; a single slot.
    #[prost(message, tag = "7")]
    Handover(HandoverRumor),
}

/// State of a node, with the addresses and location that it announces.
#[derive(Clone, PartialEq, Message)]
pub struct NodeRumor {
    /// Node run that the rumor describes.
    #[prost(message, optional, tag = "1")]
    pub node: Option<NodeRun>,
    /// Revision of the described node's own claim. The node refutes a suspicion with a higher one.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// 0 alive, 1 suspect, 2 leaving, 3 dead.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// Address that callers connect to.
    #[prost(string, tag = "4")]
    pub callers: String,
    /// Address that peers connect to.
    #[prost(string, tag = "5")]
    pub peers: String,
    /// Failure domain of the node's VM.
    #[prost(string, tag = "6")]
    pub failure_domain: String,
    /// Region of the node's VM.
    #[prost(string, tag = "7")]
    pub region: String,
    /// Milliseconds since the death of a dead node, so that all nodes remove it at the same time.
    #[prost(uint64, tag = "8")]
    pub dead_ms: u64,
}

/// Evidence about a VM, as found by the origin's probes.
#[derive(Clone, PartialEq, Message)]
pub struct VmRumor {
    /// VM that was probed.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// 0 answers, 1 slow, 2 missed, 3 gone, 4 leaving.
    #[prost(uint32, tag = "2")]
    pub finding: u32,
    /// Whether the origin is isolated from its targets or peers.
    #[prost(bool, tag = "3")]
    pub cut_off: bool,
}

/// Versions of the configuration documents in force at the origin.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentsRumor {
    /// One entry per document.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<DocumentVersion>,
}

/// Version of one document.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentVersion {
    /// Name of the document.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Version in force.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Account usage of a node.
#[derive(Clone, PartialEq, Message)]
pub struct UsageRumor {
    /// One entry per account.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<UsageEntry>,
}

/// Usage of one account.
#[derive(Clone, PartialEq, Message)]
pub struct UsageEntry {
    /// Account that the usage is attributed to.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Requests being executed.
    #[prost(uint32, tag = "2")]
    pub in_use: u32,
    /// Demand: requests that are running, are queued or were refused because the account's share
    /// was used up.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
}

/// Announces that the origin's request ledger was handed over.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverRumor {
    /// Node run that now holds the ledger.
    #[prost(message, optional, tag = "1")]
    pub successor: Option<NodeRun>,
}

/// Request for a configuration document.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentRequestMessage {
    /// Name of the document.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Minimum version requested.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// A configuration document.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentReplyMessage {
    /// Name of the document.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Version in the store.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Stored value, JSON text.
    #[prost(string, tag = "3")]
    pub value: String,
}

/// Query about an idempotency key, sent to the key's home.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerQueryMessage {
    /// Matches the response; unique per requesting node run.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Client account that the key belongs to.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Idempotency key, scoped by the account.
    #[prost(string, tag = "3")]
    pub key: String,
    /// SHA-256 of the request's target and body.
    #[prost(bytes = "vec", tag = "4")]
    pub fingerprint: Vec<u8>,
    /// Home stated by the caller; differs from the receiving run when a handover moved the ledger.
    #[prost(message, optional, tag = "5")]
    pub home: Option<NodeRun>,
    /// Issue time of the home token, on the home's clock.
    #[prost(uint64, tag = "6")]
    pub issued: u64,
}

/// Response of the key's home to a query.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerAnswerMessage {
    /// Call id of the query.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// 0 granted, 1 stored response, 2 still running, 3 may have run, 4 expired, 5 conflict.
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// Stored response, for kind 1: HTTP status.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Stored response, for kind 1: body.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Stored response, for kind 1: content type.
    #[prost(string, tag = "5")]
    pub content_type: String,
}

/// Part of a request ledger that is handed over.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerHandoverMessage {
    /// Node run whose ledger is handed over.
    #[prost(message, optional, tag = "1")]
    pub home: Option<NodeRun>,
    /// Number of the part, from 0.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Total number of parts.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// Earliest issue time, on the home's clock, that the ledger still covers.
    #[prost(uint64, tag = "4")]
    pub covered_from: u64,
    /// Time on the home's clock when the part was sent.
    #[prost(uint64, tag = "5")]
    pub home_now: u64,
    /// Claims contained in the part.
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<LedgerEntryMessage>,
}

/// One claim of a ledger.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerEntryMessage {
    /// Client account that the key belongs to.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Idempotency key, scoped by the account.
    #[prost(string, tag = "2")]
    pub key: String,
    /// SHA-256 of the request's target and body.
    #[prost(bytes = "vec", tag = "3")]
    pub fingerprint: Vec<u8>,
    /// 1 stored response, 3 may have run, 6 granted to another node.
    #[prost(uint32, tag = "4")]
    pub kind: u32,
    /// Stored response: HTTP status.
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// Stored response: body.
    #[prost(bytes = "vec", tag = "6")]
    pub body: Vec<u8>,
    /// Stored response: content type.
    #[prost(string, tag = "7")]
    pub content_type: String,
    /// Node run that the key was granted to, for kind 6.
    #[prost(message, optional, tag = "8")]
    pub granted_to: Option<NodeRun>,
}

/// Acknowledgement of one part of a handover.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverAckMessage {
    /// Node run whose ledger is handed over.
    #[prost(message, optional, tag = "1")]
    pub home: Option<NodeRun>,
    /// Number of the part that arrived.
    #[prost(uint32, tag = "2")]
    pub part: u32,
}

/// Keeps an idle connection alive.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMessage {
    /// Address that the sender listens on. Set in the first frame on a connection that the sender
    /// opened, so that responses can use the same connection.
    #[prost(string, optional, tag = "1")]
    pub listen: Option<String>,
}
