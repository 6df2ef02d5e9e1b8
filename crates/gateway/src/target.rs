//! Places that requests can be sent to: leaders of whole groups, and backend servers of plain services.

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

/// Number of a target, the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetNumber(pub u32);

/// A place that requests can be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// Number.
    pub number: TargetNumber,
    /// Backend server; the leader when it is a group.
    pub backend: VmId,
    /// Start of the backend server.
    pub started: u64,
    /// Address.
    pub address: SocketAddr,
    /// Service.
    pub service: ServiceId,
    /// Model, when it is a group.
    pub model: Option<ModelId>,
    /// Group.
    pub group: Option<GroupKey>,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Concurrent requests.
    pub slots: u32,
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

/// All targets that may take new requests.
pub fn current_targets(table: &BackendTable, config: &ServingConfig) -> Vec<RequestTarget> {
    let mut targets = Vec::new();
    for group in reported_groups(table, config).into_values() {
        if !group.may_serve() {
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
            slots,
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

/// What this node has seen of a target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    /// Requests in flight.
    pub in_flight: u32,
    /// Of these, requests that wait behind those that can still be on time.
    pub waiting_late: u32,
    /// Of these, requests whose answer has begun.
    pub streaming: u32,
    /// When data came last, or when the first request of a busy spell was sent.
    pub last_data: Timestamp,
    /// Until when other targets are preferred.
    pub avoid_until: Timestamp,
    /// Average part of requests that failed lately, 0 to 1.
    pub failure_rate: f64,
    /// Average pause between two pieces of data in milliseconds; 0 before the first.
    pub pause_ms: f64,
}

/// Weight of the newest value in the averages; the last dozen requests decide.
const EWMA_WEIGHT: f64 = 0.15;

/// Moves an average towards a new value.
pub fn update_average(average: &mut f64, value: f64) {
    if *average == 0.0 {
        *average = value;
    } else {
        *average += (value - *average) * EWMA_WEIGHT;
    }
}

impl TargetHealth {
    /// Time for which a busy target has sent nothing; `None` while it is idle.
    pub fn stall_time(&self, now: Timestamp) -> Option<TimeSpan> {
        (self.in_flight > 0).then(|| now.since(self.last_data))
    }
}
