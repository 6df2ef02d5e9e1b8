//! The state that a node on the platform sends its peers, in one datagram, and the documents that peers read
//! from each other while the store turns one of them away.

use prost::Message;

/// State of a node, sent in short intervals.
#[derive(Clone, PartialEq, Message)]
pub struct NodeHeartbeat {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Address for callers.
    #[prost(string, tag = "4")]
    pub caller_address: String,
    /// Address for peers.
    #[prost(string, tag = "5")]
    pub peer_address: String,
    /// 0 starting, 1 serving, 2 stopping.
    #[prost(uint32, tag = "6")]
    pub phase: u32,
    /// Version of the configuration in force; 0 for none.
    #[prost(uint64, tag = "7")]
    pub config_version: u64,
    /// Age of the reading of the backend servers, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub table_age_ms: u64,
    /// The controller's lease, when the node holds it.
    #[prost(message, optional, tag = "9")]
    pub lease: Option<LeaseMessage>,
    /// Numbers of the targets that have requests of this node.
    #[prost(uint32, repeated, tag = "10")]
    pub load_targets: Vec<u32>,
    /// Number of requests, in the order of `load_targets`.
    #[prost(uint32, repeated, tag = "11")]
    pub load_counts: Vec<u32>,
    /// Of these, requests that wait behind those that can still be on time.
    #[prost(uint32, repeated, tag = "15")]
    pub late_counts: Vec<u32>,
    /// Numbers of the targets that send nothing.
    #[prost(uint32, repeated, tag = "12")]
    pub silent_targets: Vec<u32>,
    /// Work of the callers' requests.
    #[prost(message, repeated, tag = "13")]
    pub work: Vec<WorkMessage>,
    /// Counts changes of the targets.
    #[prost(uint64, tag = "16")]
    pub target_changes: u64,
    /// Whether the store does not answer the node.
    #[prost(bool, tag = "17")]
    pub is_store_unreachable: bool,
    /// The controller's lease, when the node stops and has handed it over.
    #[prost(message, optional, tag = "18")]
    pub handover: Option<LeaseHandoverMessage>,
    /// Numbers of the targets that must get no new request.
    #[prost(uint32, repeated, tag = "14")]
    pub closed_targets: Vec<u32>,
}

/// The lease as its holder sees it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LeaseMessage {
    /// Term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Version of the lease object.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Rest of its validity in milliseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
}

/// The lease as a holder that stops passes it on.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseHandoverMessage {
    /// Name of the node that may hold it from now on.
    #[prost(string, tag = "1")]
    pub successor: String,
    /// Term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Version of the lease object.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Groups that were formed in the term.
    #[prost(uint64, tag = "4")]
    pub groups_formed: u64,
}

/// Work of the callers' requests since the node's start.
#[derive(Clone, PartialEq, Message)]
pub struct WorkMessage {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Milliseconds of a fully used group.
    #[prost(uint64, tag = "2")]
    pub work_ms: u64,
}

/// Request for what a peer has read from the store.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SnapshotRequest {
    /// Version of the configuration that the asking node has.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Whether the backend servers are asked for.
    #[prost(bool, tag = "2")]
    pub wants_table: bool,
}

/// Answer to a [`SnapshotRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotReply {
    /// The configuration as read, when it is newer than the asking node's.
    #[prost(bytes = "vec", tag = "1")]
    pub config: Vec<u8>,
    /// Whether `entries` is a whole reading.
    #[prost(bool, tag = "2")]
    pub has_table: bool,
    /// Entries of backend servers.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<SnapshotEntry>,
    /// Age of the reading, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub table_age_ms: u64,
}

/// An entry of a backend server as read from the store.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotEntry {
    /// Name of the entry.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Content.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
}
