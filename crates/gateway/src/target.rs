//! Request targets: leaders of complete groups, and backend servers of plain services (services without a model
//! engine).

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use jaysaddle_fleet::groups::reported_groups;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Identifies a target in heartbeats between nodes.
///
/// It is a hash of the backend server, its start and its group, so all nodes compute the same number. A restart or a
/// new group generation gives a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetNumber(pub u32);

/// Identifies one run of a backend server's process in heartbeats between nodes, whichever group it is in.
///
/// It is a hash of the backend server and its start, so all nodes compute the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerNumber(pub u32);

impl ServerNumber {
    /// Computes the number of a backend server's process that started at `started`.
    pub fn of(backend: &VmId, started: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        (backend, started).hash(&mut hasher);
        Self((hasher.finish() >> 32) as u32)
    }
}

/// Identifies one run of a backend server's process at its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServerProcess {
    /// The backend server.
    pub id: VmId,
    /// Start of the process; differs after a restart. 0 if the backend server does not state it.
    pub started: u64,
    /// Address on which the process accepts connections.
    pub address: SocketAddr,
}

impl ServerProcess {
    /// Number of the process in heartbeats between nodes.
    pub fn number(&self) -> ServerNumber {
        ServerNumber::of(&self.id, self.started)
    }
}

/// Endpoint that requests can be sent to: the leader of a group or a backend server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// Number under which nodes report load and stalls of this target.
    pub number: TargetNumber,
    /// Number under which nodes report the request limit of the backend server.
    pub server: ServerNumber,
    /// Backend server that receives the requests; for a group, its leader.
    pub backend: VmId,
    /// Start of the backend server's process; differs after a restart.
    pub started: u64,
    /// Address on which the backend server accepts requests.
    pub address: SocketAddr,
    /// Service whose requests the target handles.
    pub service: ServiceId,
    /// Model that the group serves; `None` for plain services.
    pub model: Option<ModelId>,
    /// Name and generation of the group; `None` for plain services.
    pub group: Option<GroupKey>,
    /// Failure domain of the backend server.
    pub failure_domain: FailureDomainId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
}

impl RequestTarget {
    /// Process of the backend server.
    pub fn process(&self) -> ServerProcess {
        ServerProcess {
            id: self.backend.clone(),
            started: self.started,
            address: self.address,
        }
    }
}

fn target_number(entry: &BackendEntry, group: Option<&GroupKey>) -> TargetNumber {
    let mut hasher = DefaultHasher::new();
    entry.id.hash(&mut hasher);
    entry.started.hash(&mut hasher);
    group.hash(&mut hasher);
    TargetNumber((hasher.finish() >> 32) as u32)
}

fn new_target(
    entry: &BackendEntry,
    model: Option<ModelId>,
    group: Option<GroupKey>,
    slots: u32,
) -> RequestTarget {
    RequestTarget {
        number: target_number(entry, group.as_ref()),
        server: ServerNumber::of(&entry.id, entry.started),
        backend: entry.id.clone(),
        started: entry.started,
        address: entry.address,
        service: entry.service.clone(),
        model,
        group,
        failure_domain: entry.failure_domain.clone(),
        slots,
    }
}

/// Returns all targets that may receive new requests: leaders of serving groups, and backend servers of plain services
/// that are not draining.
pub fn current_targets(table: &BackendTable, config: &ServingConfig) -> Vec<RequestTarget> {
    let mut targets = Vec::new();
    for group in reported_groups(table, config).into_values() {
        if !group.accepts_requests() {
            continue;
        }
        let Some(row) = group.leader().and_then(|leader| table.get(leader)) else {
            continue;
        };
        let slots = config
            .engine(&group.service)
            .map_or(row.entry.slots.0, |engine| engine.slots.0);
        targets.push(new_target(
            &row.entry,
            Some(group.model),
            Some(group.key),
            // As for plain services.
            slots.max(1),
        ));
    }
    for row in table.rows() {
        let entry = &row.entry;
        let is_plain = config
            .service(&entry.service)
            .is_some_and(|service| service.engine.is_none());
        if is_plain && !entry.is_draining {
            targets.push(new_target(entry, None, None, entry.slots.0.max(1)));
        }
    }
    targets
}

/// Load and health of a target, as observed by this node.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    /// Number of this node's requests in flight at the target.
    pub in_flight: u32,
    /// Late requests among `in_flight` whose response has not begun. They yield to requests that can still meet
    /// their latency target.
    pub waiting_late: u32,
    /// Requests among `in_flight` whose response has begun.
    pub streaming: u32,
    /// Prompt tokens of the requests among `in_flight` whose response has not begun.
    pub unread: u32,
    /// When data was last received, or when a request was sent to the idle target, whichever is later.
    pub last_data: Timestamp,
    /// Time until which this node prefers other targets.
    pub avoid_until: Timestamp,
    /// Time until which this node tells its peers that the target may have failed. A target that refuses requests, for want
    /// of a free slot, has not.
    pub suspect_until: Timestamp,
    /// Moving average of the fraction of requests that failed, 0 to 1.
    pub failure_rate: f64,
    /// Moving average of the time between two chunks of a response, in milliseconds; 0 before the first sample.
    pub pause_ms: f64,
}

/// Weight of a target's failure rate in its slowdown: a target that fails an eighth of its requests counts as twice as
/// slow.
const FAILURE_RATE_WEIGHT: f64 = 8.0;

/// Weight of a failed request in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// Weight of a new sample in the moving averages, so that about the last dozen samples dominate.
const EWMA_WEIGHT: f64 = 0.15;

/// Adds a sample to an exponentially weighted moving average. An average of 0 means that there is no sample yet.
pub fn update_average(average: &mut f64, value: f64) {
    if *average == 0.0 {
        *average = value;
    } else {
        *average += (value - *average) * EWMA_WEIGHT;
    }
}

impl TargetHealth {
    /// Factor by which the target is slower than the fastest one, whose average pause is `min_pause`. Failures count as
    /// slowness.
    pub fn slowdown(&self, min_pause: f64) -> f64 {
        let pause = if self.pause_ms > 0.0 && min_pause.is_finite() {
            (self.pause_ms / min_pause).max(1.0)
        } else {
            1.0
        };
        pause * (1.0 + FAILURE_RATE_WEIGHT * self.failure_rate)
    }

    /// Counts a request that failed.
    pub fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
    }

    /// Time since the last data from the target; `None` if it has no request in flight.
    pub fn stall_time(&self, now: Timestamp) -> Option<TimeSpan> {
        (self.in_flight > 0).then(|| now.since(self.last_data))
    }
}
