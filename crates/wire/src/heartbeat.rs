//! Messages between entry nodes: the heartbeat datagram with a node's state, and the snapshots that
//! nodes read from their peers while the store does not serve them.

use prost::Message;

/// State of a node, sent periodically in one datagram.
#[derive(Clone, PartialEq, Message)]
pub struct NodeHeartbeat {
    /// Name of the sending node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Incarnation of the node; higher for later starts.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Failure domain of the node's VM.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Address that callers connect to.
    #[prost(string, tag = "4")]
    pub caller_address: String,
    /// Address that peers connect to.
    #[prost(string, tag = "5")]
    pub peer_address: String,
    /// 0 starting, 1 serving, 2 stopping, 3 serving but cut off from the backend servers.
    #[prost(uint32, tag = "6")]
    pub phase: u32,
    /// Version of the configuration in force; 0 for none.
    #[prost(uint64, tag = "7")]
    pub config_version: u64,
    /// Age of the node's table of backend servers, in milliseconds; the maximum value before the
    /// first read. A table copied from a peer keeps its age.
    #[prost(uint64, tag = "8")]
    pub table_age_ms: u64,
    /// The controller's lease; set while the node holds it.
    #[prost(message, optional, tag = "9")]
    pub lease: Option<LeaseMessage>,
    /// Numbers of the targets that have requests from this node in flight.
    #[prost(uint32, repeated, tag = "10")]
    pub load_targets: Vec<u32>,
    /// Number of requests in flight, in the order of `load_targets`.
    #[prost(uint32, repeated, tag = "11")]
    pub load_counts: Vec<u32>,
    /// Number of requests in flight that are expected to miss their latency target and queue behind
    /// the others, in the order of `load_targets`.
    #[prost(uint32, repeated, tag = "15")]
    pub late_counts: Vec<u32>,
    /// Numbers of the stalled targets, which send no data although they have requests in flight.
    #[prost(uint32, repeated, tag = "12")]
    pub stalled_targets: Vec<u32>,
    /// Work of callers' requests, by model.
    #[prost(message, repeated, tag = "13")]
    pub work: Vec<WorkMessage>,
    /// Number of changes of the targets. Peers of the lease holder read the backend servers again
    /// when it changes.
    #[prost(uint64, tag = "16")]
    pub target_changes: u64,
    /// Whether the node gets no response from the store.
    #[prost(bool, tag = "17")]
    pub is_store_unreachable: bool,
    /// The controller's lease; set when the node is stopping and has handed it over. Tag 18 was a handover without the
    /// incarnation of its successor, which must not be accepted.
    #[prost(message, optional, tag = "34")]
    pub handover: Option<LeaseHandoverMessage>,
    /// Numbers of the targets that must not receive new requests.
    #[prost(uint32, repeated, tag = "14")]
    pub closed_targets: Vec<u32>,
    /// Fingerprints of recent attempts of callers that the node did not serve.
    #[prost(fixed32, repeated, tag = "19")]
    pub unserved_fingerprints: Vec<u32>,
    /// Time until the callers' deadlines, in milliseconds, in the order of `unserved_fingerprints`.
    #[prost(uint64, repeated, tag = "20")]
    pub unserved_times_left_ms: Vec<u64>,
    /// Request limits of backend servers.
    #[prost(message, repeated, tag = "21")]
    pub limits: Vec<LimitMessage>,
    /// Era of the store in its last response; 0 before the first.
    #[prost(uint64, tag = "22")]
    pub store_era: u64,
    /// Highest term of the controller's lease that the node has seen.
    #[prost(uint64, tag = "23")]
    pub latest_term: u64,
    /// Backend servers that have said in a response that they are leaving.
    #[prost(message, repeated, tag = "24")]
    pub leaving: Vec<LeavingMessage>,
    /// Processor of the node's VM, in thousandths of a core.
    #[prost(uint32, tag = "25")]
    pub processor_permille: u32,
    /// Whether the node relays the state of all nodes.
    #[prost(bool, tag = "26")]
    pub is_relay: bool,
    /// State of all nodes; set by a relay.
    #[prost(message, optional, tag = "27")]
    pub digest: Option<DigestMessage>,
    /// Version of the node's table of backend servers, which counts its changes in this incarnation.
    #[prost(uint64, tag = "28")]
    pub table_version: u64,
    /// Requests and retries of the node, by service.
    #[prost(message, repeated, tag = "29")]
    pub usage: Vec<UsageMessage>,
    /// Observations of content under which backend servers have ended.
    #[prost(message, repeated, tag = "30")]
    pub crash_facts: Vec<CrashFactMessage>,
    /// Decisions on such content.
    #[prost(message, repeated, tag = "31")]
    pub content_blocks: Vec<ContentBlockMessage>,
    /// Evacuated failure domains; unset if the node knows of none.
    #[prost(message, optional, tag = "32")]
    pub evacuations: Option<EvacuationMessage>,
    /// Prompt tokens of the requests in flight whose response has not begun, in the order of `load_targets`. Empty if the
    /// node does not count them.
    #[prost(uint32, repeated, tag = "33")]
    pub unread_tokens: Vec<u32>,
}

/// Evacuated failure domains as of a revision of the store.
#[derive(Clone, PartialEq, Message)]
pub struct EvacuationMessage {
    /// Era of the store in which they were read.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Revision of the store as of which the list is complete.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Names of the failure domains.
    #[prost(string, repeated, tag = "3")]
    pub domains: Vec<String>,
}

/// Observation of a request with a piece of content at a process of a backend server.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CrashFactMessage {
    /// Key of the piece.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Key of the model or service.
    #[prost(fixed32, tag = "2")]
    pub class: u32,
    /// Number of the backend server's process, which is the same at all nodes.
    #[prost(fixed32, tag = "3")]
    pub server: u32,
    /// Tells independent requests apart.
    #[prost(fixed32, tag = "4")]
    pub source: u32,
    /// Whether the process has gone on; otherwise it has ended.
    #[prost(bool, tag = "5")]
    pub has_survived: bool,
    /// Time since the observation, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// Whether the piece is a whole request, rather than a part that requests share.
    #[prost(bool, tag = "7")]
    pub is_whole: bool,
    /// Whether the request was over before the process ended: answered as a whole, or withdrawn before any data.
    #[prost(bool, tag = "8")]
    pub was_over: bool,
    /// Whether the piece is the path, client account and body of a request. Nodes that do not know this field weigh it like a
    /// part.
    #[prost(bool, tag = "9")]
    pub is_path: bool,
}

/// Decision on a piece of content.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ContentBlockMessage {
    /// Key of the piece.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Orders the decisions on the piece.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Whether requests with the piece are refused.
    #[prost(bool, tag = "3")]
    pub is_blocked: bool,
    /// Number of processes that have ended under it; 0 for a decision of an operator.
    #[prost(uint32, tag = "4")]
    pub ends: u32,
    /// Time since the decision, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// Requests and retries for a service in the window over which retries are limited.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct UsageMessage {
    /// Number of the service, which is the same at all nodes.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Number of requests of callers.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Number of retries.
    #[prost(uint32, tag = "3")]
    pub retries: u32,
}

/// What a relay has heard from all nodes, without the part of the node that receives it.
#[derive(Clone, PartialEq, Message)]
pub struct DigestMessage {
    /// Mean age of the heartbeats from which the loads were taken, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// Numbers of the live nodes that accept requests.
    #[prost(fixed32, repeated, tag = "2")]
    pub serving: Vec<u32>,
    /// Numbers of the live nodes that are starting.
    #[prost(fixed32, repeated, tag = "3")]
    pub starting: Vec<u32>,
    /// Numbers of the live nodes that are stopping.
    #[prost(fixed32, repeated, tag = "4")]
    pub stopping: Vec<u32>,
    /// Numbers of the targets that have requests in flight.
    #[prost(fixed32, repeated, tag = "5")]
    pub load_targets: Vec<u32>,
    /// Number of requests in flight, in the order of `load_targets`.
    #[prost(uint32, repeated, tag = "6")]
    pub load_counts: Vec<u32>,
    /// Number of late requests in flight, in the order of `load_targets`.
    #[prost(uint32, repeated, tag = "7")]
    pub late_counts: Vec<u32>,
    /// Numbers of the stalled targets.
    #[prost(fixed32, repeated, tag = "8")]
    pub stalled_targets: Vec<u32>,
    /// Numbers of the targets that must not receive new requests.
    #[prost(fixed32, repeated, tag = "9")]
    pub closed_targets: Vec<u32>,
    /// Fingerprints of recent attempts of callers that were not served.
    #[prost(fixed32, repeated, tag = "10")]
    pub unserved_fingerprints: Vec<u32>,
    /// Time until the callers' deadlines, in milliseconds, in the order of `unserved_fingerprints`.
    #[prost(uint64, repeated, tag = "11")]
    pub unserved_times_left_ms: Vec<u64>,
    /// Numbers of the backend servers with a request limit to which requests were sent.
    #[prost(fixed32, repeated, tag = "12")]
    pub sent_servers: Vec<u32>,
    /// Number of requests lately, in the order of `sent_servers`.
    #[prost(uint32, repeated, tag = "13")]
    pub sent_counts: Vec<u32>,
    /// Requests and retries of all nodes, by service.
    #[prost(message, repeated, tag = "14")]
    pub usage: Vec<UsageMessage>,
    /// Numbers of the live nodes that reach no backend server.
    #[prost(fixed32, repeated, tag = "15")]
    pub cut_off: Vec<u32>,
    /// Prompt tokens of the requests in flight whose response has not begun, in the order of `load_targets`; may be empty.
    #[prost(uint32, repeated, tag = "16")]
    pub unread_tokens: Vec<u32>,
}

/// Process of a backend server that has said in a response that it is leaving.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingMessage {
    /// Id under which the backend server is registered.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of the process.
    #[prost(uint64, tag = "2")]
    pub started: u64,
}

/// What a node knows of the request limit of a backend server.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LimitMessage {
    /// Number of the backend server's process, which is the same at all nodes.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Orders the statements of the backend server; higher for later ones.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Limit on the requests of all nodes together, in requests in a thousand seconds; absent if it was withdrawn.
    #[prost(uint64, optional, tag = "3")]
    pub per_kilosecond: Option<u64>,
    /// Time since a response last stated the limit, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Number of requests that the node has sent to the backend server lately.
    #[prost(uint32, tag = "5")]
    pub sent: u32,
}

/// The controller's lease as seen by its holder.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaseMessage {
    /// Term of the lease; raised with every change of holder.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Version of the lease object in the store.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Remaining validity, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
}

/// The controller's lease as handed over by a stopping holder.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseHandoverMessage {
    /// Name of the node that may hold the lease from now on.
    #[prost(string, tag = "1")]
    pub successor: String,
    /// Incarnation of that node. A later process of the node must not accept the handover.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The lease as the stopping node held it, with the validity that is left.
    #[prost(message, optional, tag = "3")]
    pub lease: Option<LeaseMessage>,
}

/// Work of callers' requests for one model since the node's start.
#[derive(Clone, PartialEq, Message)]
pub struct WorkMessage {
    /// Model that the requests name.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Work in milliseconds of a fully utilized group.
    #[prost(uint64, tag = "2")]
    pub work_ms: u64,
}

/// Request for the state that a peer has read from the store. A connection carries any number of them.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {
    /// Version of the configuration that the requesting node has.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Whether the entries of the backend servers are requested.
    #[prost(bool, tag = "2")]
    pub wants_table: bool,
    /// Incarnation of the peer from which the table was last copied; 0 if it was another peer.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Version of that peer's table at the last copy.
    #[prost(uint64, tag = "4")]
    pub table_version: u64,
    /// Hashes of the entries that the requesting node has, in the order of their names; empty with an incarnation.
    #[prost(fixed64, repeated, tag = "5")]
    pub known: Vec<u64>,
}

/// Response to a [`SnapshotRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotReply {
    /// The configuration as read from the store; empty unless it is newer than the requesting
    /// node's.
    #[prost(bytes = "vec", tag = "1")]
    pub config: Vec<u8>,
    /// Whether the difference to a complete read of the table is included.
    #[prost(bool, tag = "2")]
    pub has_table: bool,
    /// Entries that the requesting node does not have, or has with another content.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<SnapshotEntry>,
    /// Age of the table, in milliseconds, as in [`NodeHeartbeat::table_age_ms`].
    #[prost(uint64, tag = "4")]
    pub table_age_ms: u64,
    /// Incarnation of the responding node.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Version of the responding node's table.
    #[prost(uint64, tag = "6")]
    pub table_version: u64,
    /// Names of entries that have gone since the requested version.
    #[prost(string, repeated, tag = "7")]
    pub gone: Vec<String>,
    /// Positions in [`SnapshotRequest::known`] of entries that the responding node does not have with that content.
    #[prost(uint32, repeated, tag = "8")]
    pub unknown: Vec<u32>,
    /// Revision of the store up to which the table includes all changes.
    #[prost(uint64, tag = "9")]
    pub store_revision: u64,
    /// Era of the store to which the revision belongs.
    #[prost(uint64, tag = "10")]
    pub store_era: u64,
}

/// A backend server's entry as read from the store.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotEntry {
    /// Name of the entry in the store, which is the id of the backend server.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of writes of the entry.
    #[prost(uint64, tag = "2")]
    pub write_count: u64,
    /// Start of the backend server's process.
    #[prost(uint64, tag = "3")]
    pub started: u64,
    /// Service that it runs.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Address for requests.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Failure domain of its VM.
    #[prost(string, tag = "6")]
    pub failure_domain: String,
    /// Fabric domain of its VM; empty without one.
    #[prost(string, tag = "7")]
    pub fabric_domain: String,
    /// Requests that it runs concurrently.
    #[prost(uint32, tag = "8")]
    pub slots: u32,
    /// Whether it is shutting down.
    #[prost(bool, tag = "9")]
    pub is_draining: bool,
    /// Model of its current or last group; empty without one.
    #[prost(string, tag = "10")]
    pub model: String,
    /// Models whose weights are on its host.
    #[prost(string, repeated, tag = "11")]
    pub staged: Vec<String>,
    /// Group that it belongs to; empty without one.
    #[prost(string, tag = "12")]
    pub group: String,
    /// Generation of the group.
    #[prost(uint64, tag = "13")]
    pub generation: u64,
    /// Position in the group; 0 is the leader.
    #[prost(uint32, tag = "14")]
    pub rank: u32,
    /// 0 unknown, 1 joining, 2 ready, 3 open, 4 closing, 5 broken.
    #[prost(uint32, tag = "15")]
    pub phase: u32,
    /// Time from the write of the entry for which it stays cold, in milliseconds.
    #[prost(uint64, tag = "16")]
    pub cold_left_ms: u64,
}
