//! Backend servers, routes and client accounts as described by the platform, in this project's
//! types.

use std::fmt;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::AccountId;
use crate::ids::FabricDomainId;
use crate::ids::FailureDomainId;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::units::SlotCount;
use crate::units::TimeSpan;

/// Identifies a group in one generation of its member list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey {
    /// Name of the group.
    pub group: GroupId,
    /// Generation under which the members joined.
    pub generation: Generation,
}

impl fmt::Display for GroupKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.group, self.generation)
    }
}

/// Phase of a member in the life cycle of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberPhase {
    /// The member is loading or connecting its weights.
    Joining,
    /// The member has loaded its shard of the model but does not serve.
    Ready,
    /// The leader serves requests. Only leaders report this phase.
    Open,
    /// The leader completes its requests in flight and accepts no new ones.
    Closing,
    /// The leader has stopped serving because a member is missing.
    Broken,
    /// A phase that this version does not recognize; the backend server is not used.
    Unknown,
}

/// A backend server's report about its group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupMembership {
    /// Group and generation that the backend server belongs to.
    pub key: GroupKey,
    /// Position in the member list; 0 is the leader.
    pub rank: u32,
    /// Phase of this member.
    pub phase: MemberPhase,
}

/// A registered backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BackendEntry {
    /// Id under which it registered; a later start may reuse the id.
    pub id: VmId,
    /// Start time of the process, in milliseconds of the backend server's own clock. It
    /// distinguishes starts. A later one under the same id is taken for a later process; an earlier one may also be an old entry.
    /// 0 when the entry does not state it.
    pub started: u64,
    /// The service that it runs.
    pub service: ServiceId,
    /// Address for requests, reports and orders.
    pub address: SocketAddr,
    /// Failure domain of the backend server's VM.
    pub failure_domain: FailureDomainId,
    /// Fabric domain; only VMs of model engines have one.
    pub fabric_domain: Option<FabricDomainId>,
    /// Concurrent requests that the backend server accepts.
    pub slots: SlotCount,
    /// Whether it has announced that it is shutting down.
    pub is_draining: bool,
    /// Model of its current group, or of its last one.
    pub model: Option<ModelId>,
    /// Models whose weights are already on the host.
    pub staged: Vec<ModelId>,
    /// Current group; absent when it belongs to none.
    pub membership: Option<GroupMembership>,
    /// Time from the write of the entry for which the backend server stays cold, so that it bears only few requests; zero
    /// when it is warm or does not state it.
    pub cold_left: TimeSpan,
}

/// Retry semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May be executed more than once.
    Idempotent,
    /// Is executed at most once for each attempt of the client.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether the stream may be continued by another backend server.
        is_resumable: bool,
        /// Longest pause between events for which the response counts as on time.
        pause_target: TimeSpan,
    },
}

impl RequestKind {
    /// Whether the request may be sent again although it may have been executed.
    pub fn may_retry(self) -> bool {
        match self {
            RequestKind::Idempotent => true,
            RequestKind::AtMostOnce => false,
            RequestKind::Stream { is_resumable, .. } => is_resumable,
        }
    }
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: CompactString,
    /// Host name that callers send.
    pub host: CompactString,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// Retry semantics of the route's requests.
    pub kind: RequestKind,
    /// Maximum time that a caller waits for the end of the response.
    pub timeout: TimeSpan,
    /// Time within which a response counts as on time.
    pub latency_target: TimeSpan,
    /// Priority of the route's requests; 0 is the highest.
    pub priority: u32,
    /// Services with their weights; each request goes to one of them.
    pub targets: Vec<(ServiceId, u32)>,
    /// Maximum number of backend servers to which one attempt of a client may be sent.
    pub max_attempts: u32,
    /// Whether callers need no account key.
    pub is_public: bool,
}

/// A model that a service's engines can load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Name that callers use.
    pub id: ModelId,
    /// Number of VMs in a group.
    pub group_size: usize,
    /// Share of the service's work at the start, from 0 to 1.
    pub work_share: f64,
    /// Time to load the weights from the weight store.
    pub load_time: TimeSpan,
    /// Time to join a group with weights that are already on the host.
    pub staged_join_time: TimeSpan,
    /// Multiplier for all processing times of the engine.
    pub time_factor: f64,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Concurrent requests that a group accepts.
    pub slots: SlotCount,
    /// Models that the engines can load.
    pub models: Vec<ModelProfile>,
    /// Maximum number of loads that may start per second.
    pub loads_per_second: f64,
    /// Maximum number of loads that run concurrently at full speed.
    pub concurrent_loads: usize,
    /// Time from the order to open a group until it serves.
    pub open_time: TimeSpan,
    /// Processing time per prompt token in a fully utilized group, in milliseconds.
    pub prompt_token_ms: f64,
    /// Processing time per output token in a fully utilized group, in milliseconds.
    pub output_token_ms: f64,
    /// Output tokens assumed for a request whose output length is unknown.
    pub typical_output_tokens: u32,
    /// Time of a step in which tokens are written, without the part of each request, in milliseconds; 0 if not stated.
    pub step_ms: f64,
    /// Time that each request that is being written adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// Number of steps after which events are sent and prompts are read on.
    pub steps_per_event: u32,
}

impl EngineProfile {
    /// Returns the profile of the model `id`.
    pub fn model(&self, id: &ModelId) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.id == *id)
    }

    /// Estimates the work of a request, in milliseconds of a fully utilized group.
    pub fn work_ms(&self, model: &ModelId, prompt_tokens: u32, output_tokens: u32) -> f64 {
        let factor = self.model(model).map_or(1.0, |model| model.time_factor);
        let prompt = f64::from(prompt_tokens) * self.prompt_token_ms;
        let output = f64::from(output_tokens) * self.output_token_ms;
        factor * (prompt + output)
    }
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service; routes refer to it.
    pub id: ServiceId,
    /// Maximum number of connections that one backend server accepts from all nodes together.
    pub max_connections: u32,
    /// Requests a second that a cold backend server bears from all nodes together; 0 if there is no limit.
    pub cold_rate: f64,
    /// Time for which a backend server is cold after its start.
    pub cold_time: TimeSpan,
    /// Properties of the engines; set only for services of model engines.
    pub engine: Option<EngineProfile>,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of the header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Time limit for sending the header section.
    pub header_time: TimeSpan,
    /// Time after which an idle connection is closed.
    pub idle_time: TimeSpan,
}

impl Default for ClientLimits {
    fn default() -> Self {
        // These values apply until the first configuration has been read.
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: TimeSpan::from_secs(3),
            idle_time: TimeSpan::from_secs(15),
        }
    }
}

/// A client account and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountEntry {
    /// Name of the account, sent to backend servers with each request.
    pub id: AccountId,
    /// Keys that identify the account's callers.
    pub keys: Vec<CompactString>,
    /// Priority that overrides the route's; absent when the route's applies.
    pub priority: Option<u32>,
}

/// The complete configuration, as written by operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingConfig {
    /// Version of the configuration; later versions are higher.
    pub version: u64,
    /// Routes that callers' requests are matched against.
    pub routes: Vec<RouteRule>,
    /// Services that routes send requests to.
    pub services: Vec<ServiceRule>,
    /// Limits on what clients may send.
    pub limits: ClientLimits,
    /// Client accounts; `None` when requests carry no keys.
    pub accounts: Option<Vec<AccountEntry>>,
}

impl ServingConfig {
    /// Returns the service `id`.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Returns the engine profile of the service `id`.
    pub fn engine(&self, id: &ServiceId) -> Option<&EngineProfile> {
        self.service(id)?.engine.as_ref()
    }
}

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendOrder {
    /// Become a member of a group.
    Join {
        /// Group to join and its generation.
        key: GroupKey,
        /// Model to load.
        model: ModelId,
        /// Members in rank order; the first is the leader.
        members: Vec<VmId>,
    },
    /// Start serving. Sent to the leader.
    Open {
        /// Group to open and its generation.
        key: GroupKey,
    },
    /// Complete the requests in flight and stop serving. Sent to the leader.
    Close {
        /// Group to close and its generation.
        key: GroupKey,
    },
    /// Leave the group immediately.
    Leave {
        /// Group to leave and its generation.
        key: GroupKey,
    },
    /// Copy a model's weights to the host.
    Stage {
        /// Model whose weights are copied.
        model: ModelId,
    },
}

impl fmt::Display for BackendOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BackendOrder::Join { key, model, .. } => write!(f, "join {key} model={model}"),
            BackendOrder::Open { key } => write!(f, "open {key}"),
            BackendOrder::Close { key } => write!(f, "close {key}"),
            BackendOrder::Leave { key } => write!(f, "leave {key}"),
            BackendOrder::Stage { model } => write!(f, "stage model={model}"),
        }
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The backend server has started to carry out the order and includes it in its order count.
    Begun,
    /// The order is completed, or was already in effect.
    Done,
    /// The backend server refused the order; nothing has changed.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// No connection could be established; nothing has changed.
    Unreachable,
    /// No response arrived; the order may have been accepted or may still be accepted later.
    Unknown,
}
