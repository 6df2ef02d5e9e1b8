//! The peer messages.

use prost::Message;
use prost::Oneof;

/// One frame between two daemons.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// Node that sends.
    #[prost(string, tag = "1")]
    pub from_id: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub from_incarnation: u64,
    /// What is sent.
    #[prost(oneof = "PeerBody", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<PeerBody>,
}

/// The kinds of peer messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// Probe of a peer.
    #[prost(message, tag = "3")]
    Ping(PingMessage),
    /// Answer to a probe, direct or relayed.
    #[prost(message, tag = "4")]
    Ack(AckMessage),
    /// Request to probe a third node.
    #[prost(message, tag = "5")]
    PingRequest(PingRequestMessage),
    /// Digest for anti-entropy.
    #[prost(message, tag = "6")]
    SyncRequest(SyncRequestMessage),
    /// Rumors that the digest lacks.
    #[prost(message, tag = "7")]
    SyncReply(SyncReplyMessage),
    /// Request for a configuration document.
    #[prost(message, tag = "8")]
    DocumentRequest(DocumentRequestMessage),
    /// A configuration document.
    #[prost(message, tag = "9")]
    DocumentReply(DocumentReplyMessage),
    /// Question about an idempotency key to its home.
    #[prost(message, tag = "10")]
    LedgerQuery(LedgerQueryMessage),
    /// Answer of the home.
    #[prost(message, tag = "11")]
    LedgerAnswer(LedgerAnswerMessage),
    /// Part of a ledger, handed over by a node that stops.
    #[prost(message, tag = "12")]
    LedgerHandover(LedgerHandoverMessage),
    /// Confirmation of a part of a handover.
    #[prost(message, tag = "13")]
    HandoverAck(HandoverAckMessage),
    /// Keeps an idle connection alive; both ends send it.
    #[prost(message, tag = "14")]
    Heartbeat(HeartbeatMessage),
}

/// A run of a node.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct NodeRun {
    /// The node.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Probe of a peer.
#[derive(Clone, PartialEq, Message)]
pub struct PingMessage {
    /// Matches the answer.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// Node to relay the answer to, for an indirect probe: its peer address.
    #[prost(string, optional, tag = "2")]
    pub relay_to: Option<String>,
    /// Piggybacked rumors.
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<WireRumor>,
}

/// Answer to a probe.
#[derive(Clone, PartialEq, Message)]
pub struct AckMessage {
    /// Nonce of the probe.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// Node that answered; differs from the sender when the answer is relayed.
    #[prost(message, optional, tag = "2")]
    pub responder: Option<NodeRun>,
    /// Piggybacked rumors.
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<WireRumor>,
    /// Node to forward the answer to, copied from the probe: its peer address. The node in the
    /// middle of an indirect probe therefore keeps no state.
    #[prost(string, optional, tag = "4")]
    pub relay_to: Option<String>,
}

/// Request to probe a third node.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequestMessage {
    /// Nonce that the final answer carries.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// Peer address of the node to probe.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Piggybacked rumors.
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<WireRumor>,
}

/// Digest of all rumors that a node knows.
#[derive(Clone, PartialEq, Message)]
pub struct SyncRequestMessage {
    /// Per origin, the highest sequence and a hash of its rumors.
    #[prost(message, repeated, tag = "1")]
    pub origins: Vec<OriginDigest>,
    /// Hash over all origins; equal hashes need no list.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// The sender's own state, for a peer that does not know it yet.
    #[prost(message, repeated, tag = "3")]
    pub rumors: Vec<WireRumor>,
    /// Number of buckets that origins are divided into; 0 when `origins` names single origins that
    /// the sender asks for.
    #[prost(uint32, tag = "4")]
    pub bucket_count: u32,
    /// Buckets whose origins are all listed; the other buckets are equal.
    #[prost(uint32, repeated, tag = "5")]
    pub buckets: Vec<u32>,
}

/// Digest of one origin's rumors.
#[derive(Clone, PartialEq, Message)]
pub struct OriginDigest {
    /// The origin.
    #[prost(message, optional, tag = "1")]
    pub origin: Option<NodeRun>,
    /// Highest sequence known.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Hash of the (slot, sequence) pairs known, node states excluded.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Rank of the node claim known about the origin: four times the revision plus the state; 0 when
    /// the origin is not known.
    #[prost(uint64, tag = "4")]
    pub claim_rank: u64,
}

/// Rumors that the asking node lacks; also sent unasked, to push new rumors.
#[derive(Clone, PartialEq, Message)]
pub struct SyncReplyMessage {
    /// The rumors.
    #[prost(message, repeated, tag = "1")]
    pub rumors: Vec<WireRumor>,
    /// Digest of the answering node, for the reverse direction; absent in the second answer.
    #[prost(message, optional, tag = "2")]
    pub request: Option<SyncRequestMessage>,
    /// Set when the digests differ and the asking node is to send its full list.
    #[prost(bool, tag = "3")]
    pub need_origins: bool,
    /// With `need_origins`: a hash per bucket of origins, so that only differing buckets are listed.
    #[prost(fixed32, repeated, tag = "4")]
    pub buckets: Vec<u32>,
}

/// A versioned fact of one origin. A later sequence replaces an earlier one in the same slot.
#[derive(Clone, PartialEq, Message)]
pub struct WireRumor {
    /// Node run that the fact comes from; absent on a node's state that the node itself claims.
    #[prost(message, optional, tag = "1")]
    pub origin: Option<NodeRun>,
    /// Sequence, counted per origin over all slots.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The fact.
    #[prost(oneof = "WireRumorBody", tags = "3, 4, 5, 6, 7")]
    pub body: Option<WireRumorBody>,
}

/// Kinds of rumors.
#[derive(Clone, PartialEq, Oneof)]
pub enum WireRumorBody {
    /// State of a node as claimed by the origin; slot: the subject node.
    #[prost(message, tag = "3")]
    Node(NodeRumor),
    /// Evidence about a VM; slot: the VM.
    #[prost(message, tag = "4")]
    Vm(VmRumor),
    /// Versions of the configuration documents in force at the origin; one slot.
    #[prost(message, tag = "5")]
    Documents(DocumentsRumor),
    /// Account usage at the origin; one slot.
    #[prost(message, tag = "6")]
    Usage(UsageRumor),
    /// The origin's ledger has moved; one slot.
    #[prost(message, tag = "7")]
    Handover(HandoverRumor),
}

/// State of a node.
#[derive(Clone, PartialEq, Message)]
pub struct NodeRumor {
    /// The subject.
    #[prost(message, optional, tag = "1")]
    pub node: Option<NodeRun>,
    /// Revision of the subject's own claim; a subject refutes suspicion with a higher one.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// 0 alive, 1 suspect, 2 leaving, 3 dead.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// Address for callers.
    #[prost(string, tag = "4")]
    pub callers: String,
    /// Address for peers.
    #[prost(string, tag = "5")]
    pub peers: String,
    /// Failure domain.
    #[prost(string, tag = "6")]
    pub failure_domain: String,
    /// Region.
    #[prost(string, tag = "7")]
    pub region: String,
    /// For a dead node, the milliseconds since its death, so that all nodes forget it together.
    #[prost(uint64, tag = "8")]
    pub dead_ms: u64,
}

/// Evidence about a VM.
#[derive(Clone, PartialEq, Message)]
pub struct VmRumor {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// 0 answers, 1 slow, 2 missed, 3 gone, 4 leaving.
    #[prost(uint32, tag = "2")]
    pub finding: u32,
    /// Whether the origin is cut off.
    #[prost(bool, tag = "3")]
    pub cut_off: bool,
}

/// Versions of configuration documents.
#[derive(Clone, PartialEq, Message)]
pub struct DocumentsRumor {
    /// The versions.
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
    /// Usage by account.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<UsageEntry>,
}

/// Usage of one account.
#[derive(Clone, PartialEq, Message)]
pub struct UsageEntry {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Requests that run.
    #[prost(uint32, tag = "2")]
    pub in_use: u32,
    /// Requests that run, wait or were refused for lack of a share.
    #[prost(uint32, tag = "3")]
    pub wanted: u32,
}

/// A ledger has moved from the rumor's origin.
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
    /// Version wanted, or a later one.
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

/// Question about a key to its home.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerQueryMessage {
    /// Matches the answer; unique per asking node run.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// SHA-256 of target and body.
    #[prost(bytes = "vec", tag = "4")]
    pub fingerprint: Vec<u8>,
    /// Home named by the caller; another run when a handover moved the ledger.
    #[prost(message, optional, tag = "5")]
    pub home: Option<NodeRun>,
    /// Issue time of the home token, on the home's clock.
    #[prost(uint64, tag = "6")]
    pub issued: u64,
}

/// Answer of the home.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerAnswerMessage {
    /// Call of the question.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// 0 granted, 1 stored answer, 2 still running, 3 may have run, 4 expired, 5 conflict.
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// Stored answer, for kind 1: HTTP status.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Stored answer, for kind 1: body.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Stored answer, for kind 1: content type.
    #[prost(string, tag = "5")]
    pub content_type: String,
}

/// Part of a ledger.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerHandoverMessage {
    /// Node run whose ledger moves.
    #[prost(message, optional, tag = "1")]
    pub home: Option<NodeRun>,
    /// Number of the part, from 0.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// Issue times before this, on the home's clock, are no longer covered.
    #[prost(uint64, tag = "4")]
    pub covered_from: u64,
    /// Time on the home's clock when the part was sent.
    #[prost(uint64, tag = "5")]
    pub home_now: u64,
    /// Entries.
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<LedgerEntryMessage>,
}

/// One claim of a ledger.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerEntryMessage {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// SHA-256 of target and body.
    #[prost(bytes = "vec", tag = "3")]
    pub fingerprint: Vec<u8>,
    /// 1 stored answer, 3 may have run, 6 granted to another node.
    #[prost(uint32, tag = "4")]
    pub kind: u32,
    /// Stored answer: HTTP status.
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// Stored answer: body.
    #[prost(bytes = "vec", tag = "6")]
    pub body: Vec<u8>,
    /// Stored answer: content type.
    #[prost(string, tag = "7")]
    pub content_type: String,
    /// Node run that the key was granted to, for kind 6.
    #[prost(message, optional, tag = "8")]
    pub granted_to: Option<NodeRun>,
}

/// Confirmation of a part of a handover.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverAckMessage {
    /// Node run whose ledger moves.
    #[prost(message, optional, tag = "1")]
    pub home: Option<NodeRun>,
    /// Part that arrived.
    #[prost(uint32, tag = "2")]
    pub part: u32,
}

/// Keeps an idle connection alive.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMessage {
    /// Address that the sender listens on; set in the first frame on a connection that it opened,
    /// so that answers can use the same connection.
    #[prost(string, optional, tag = "1")]
    pub listen: Option<String>,
}
