//! What the platform tells about backend servers, routes and client accounts, in this project's terms.

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

/// One membership of a group: its name and the generation of its member list.
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

/// Where a member stands in the formation of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberPhase {
    /// The weights are being loaded or connected.
    Joining,
    /// The member holds its part; it does not serve.
    Ready,
    /// The leader serves requests. Only leaders report it.
    Open,
    /// The leader finishes its requests and takes no new one.
    Closing,
    /// The leader has given up because a member is missing.
    Broken,
    /// A phase that this version does not know; the backend server is not used.
    Unknown,
}

/// A backend server's report about its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// The group.
    pub key: GroupKey,
    /// Position in the member list; 0 is the leader.
    pub rank: u32,
    /// Phase of this member.
    pub phase: MemberPhase,
}

/// A registered backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Id under which it registered; the same id may be used by a later start.
    pub id: VmId,
    /// Start of the process, in milliseconds of the backend server's own clock; distinguishes starts and is
    /// compared for equality only. 0 when the entry does not say.
    pub started: u64,
    /// The service that it runs.
    pub service: ServiceId,
    /// Address for requests, reports and orders.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Fabric domain; only VMs of model engines have one.
    pub fabric_domain: Option<FabricDomainId>,
    /// Concurrent requests.
    pub slots: SlotCount,
    /// Whether it announced that it stops.
    pub is_draining: bool,
    /// Model of its present or last group.
    pub model: Option<ModelId>,
    /// Models whose weights are on the host.
    pub staged: Vec<ModelId>,
    /// Present group.
    pub membership: Option<GroupMembership>,
}

/// What a route says about repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the client.
    AtMostOnce,
    /// A stream of events.
    Stream {
        /// Whether the stream may go on at another backend server.
        is_resumable: bool,
        /// Longest pause between events of an answer that is on time.
        pause_target: TimeSpan,
    },
}

impl RequestKind {
    /// Whether the request may be sent again although it may have run.
    pub fn may_repeat(self) -> bool {
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
    /// Host that callers name.
    pub host: CompactString,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting for the end of the answer.
    pub timeout: TimeSpan,
    /// Time within which an answer is on time.
    pub latency_target: TimeSpan,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Services with their weights; a request goes to one of them.
    pub targets: Vec<(ServiceId, u32)>,
    /// Backend servers to which one attempt of a client may be sent.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub is_public: bool,
}

/// A model that a service's engines can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Name that callers use.
    pub id: ModelId,
    /// VMs in a group.
    pub group_size: usize,
    /// Share of the work at the start, from 0 to 1.
    pub work_share: f64,
    /// Time of a load from the weight store.
    pub load_time: TimeSpan,
    /// Time to join with staged weights.
    pub staged_join_time: TimeSpan,
    /// Factor on all times of the engine.
    pub time_factor: f64,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Concurrent requests of a group.
    pub slots: SlotCount,
    /// Models.
    pub models: Vec<ModelProfile>,
    /// Loads that may start in a second.
    pub loads_per_second: f64,
    /// Loads that run side by side at full speed.
    pub concurrent_loads: usize,
    /// Time from the order to open a group until it serves.
    pub open_time: TimeSpan,
    /// Time of a fully used group for one token of a prompt, in milliseconds.
    pub prompt_token_ms: f64,
    /// Time of a fully used group for one token of an answer, in milliseconds.
    pub output_token_ms: f64,
    /// Usual tokens of an answer.
    pub typical_output_tokens: u32,
}

impl EngineProfile {
    /// The model `id`.
    pub fn model(&self, id: &ModelId) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.id == *id)
    }

    /// Work of a request, in milliseconds of a fully used group.
    pub fn work_ms(&self, model: &ModelId, prompt_tokens: u32, answer_tokens: u32) -> f64 {
        let factor = self.model(model).map_or(1.0, |model| model.time_factor);
        let prompt = f64::from(prompt_tokens) * self.prompt_token_ms;
        let answer = f64::from(answer_tokens) * self.output_token_ms;
        factor * (prompt + answer)
    }
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub id: ServiceId,
    /// Connections that one backend server takes from all nodes together.
    pub max_connections: u32,
    /// Set for services of model engines.
    pub engine: Option<EngineProfile>,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Size of the header section, in bytes.
    pub header_bytes: usize,
    /// Size of a body, in bytes.
    pub body_bytes: usize,
    /// Time for sending the header section.
    pub header_time: TimeSpan,
    /// Time for which a connection may be idle.
    pub idle_time: TimeSpan,
}

impl Default for ClientLimits {
    fn default() -> Self {
        // The values that hold until the first configuration is known.
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
    /// Name, told to backend servers.
    pub id: AccountId,
    /// Keys that callers present.
    pub keys: Vec<CompactString>,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
}

/// The whole configuration that operators write.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingConfig {
    /// Version; later ones are higher.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services.
    pub services: Vec<ServiceRule>,
    /// Bounds on clients.
    pub limits: ClientLimits,
    /// Client accounts; `None` when requests carry no keys.
    pub accounts: Option<Vec<AccountEntry>>,
}

impl ServingConfig {
    /// The service `id`.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// The engine profile of the service `id`.
    pub fn engine(&self, id: &ServiceId) -> Option<&EngineProfile> {
        self.service(id)?.engine.as_ref()
    }
}

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendOrder {
    /// Become a member of a group.
    Join {
        /// The group.
        key: GroupKey,
        /// Model to hold.
        model: ModelId,
        /// Members; the first is the leader.
        members: Vec<VmId>,
    },
    /// Start to serve. Sent to the leader.
    Open {
        /// The group.
        key: GroupKey,
    },
    /// Finish the running requests and stop to serve. Sent to the leader.
    Close {
        /// The group.
        key: GroupKey,
    },
    /// Leave the group at once.
    Leave {
        /// The group.
        key: GroupKey,
    },
    /// Copy a model's weights to the host.
    Stage {
        /// The model.
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

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// Begun; the backend server counts it.
    Begun,
    /// Done, or in force already.
    Done,
    /// Refused; nothing has changed.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// No connection could be opened; nothing has changed.
    Unreachable,
    /// No answer; the order may have been accepted, or may be later.
    Unknown,
}
