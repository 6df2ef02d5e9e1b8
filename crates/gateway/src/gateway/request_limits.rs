//! Request limits and pauses of backend servers in the gateway: what responses and peers state, and whether a request
//! may be sent.

use jaysaddle_fleet::peers::PeerLimit;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::Timestamp;

use super::RequestGateway;
use crate::choice::LimitInputs;
use crate::cold_servers::ColdAdmission;
use crate::limit_shares::LimitAdmission;
use crate::server_limits::LimitChange;
use crate::target::RequestTarget;
use crate::target::ServerNumber;

/// Number of requests of `duration` milliseconds that a limit keeps in flight, by Little's law.
pub(super) fn limited_requests(limit: RequestLimit, duration: f64) -> f64 {
    limit.per_second() * duration / 1000.0
}

impl RequestGateway {
    pub(super) fn limit_admission(
        &self,
        server: ServerNumber,
        peers: &PeerTable,
        now: Timestamp,
    ) -> LimitAdmission {
        if let Some(wait) = self.pauses.remaining(server, now) {
            return LimitAdmission::Held { wait };
        }
        if let ColdAdmission::Held { wait } = self.cold.admission(server, now) {
            return LimitAdmission::Held { wait };
        }
        let in_force = self
            .limits
            .get(server)
            .and_then(|record| Some((record.limit?, record.stated)));
        let Some((limit, stated)) = in_force else {
            return LimitAdmission::Admitted { is_recheck: false };
        };
        let sent = self.limits.sent_to(server, now) + peers.sent_to(server.0);
        self.shares.admission(server, limit, stated, sent, now)
    }

    pub(super) fn limit_inputs(
        &self,
        target: &RequestTarget,
        peers: &PeerTable,
        now: Timestamp,
    ) -> Option<LimitInputs> {
        let record = self.limits.get(target.server)?;
        Some(LimitInputs {
            limit: record.limit?,
            source: record.source,
            age: now.since(record.stated),
            own_sent: self.limits.sent_to(target.server, now),
            peer_sent: peers.sent_to(target.server.0),
        })
    }

    /// Leaders of groups whose backend servers have named a request limit, with the part of their slots that the limit
    /// allows to use, 0 to 1.
    pub fn limited_leaders(&self) -> Vec<(VmId, f64)> {
        let mut leaders = Vec::new();
        for (class, targets) in &self.targets {
            for target in targets.iter().filter(|target| target.group.is_some()) {
                let record = self.limits.get(target.server);
                if let Some(limit) = record.and_then(|record| record.limit) {
                    let requests = limited_requests(limit, self.duration(class));
                    let part = (requests / f64::from(target.slots)).min(1.0);
                    leaders.push((target.backend.clone(), part));
                }
            }
        }
        leaders
    }

    /// Records what a response to a request sent at `sent` states about the request limit of its backend server; `None`
    /// if it states that there is none. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        server: ServerNumber,
        limit: Option<RequestLimit>,
        sent: Timestamp,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let change = self.limits.record_response(server, limit, sent, now);
        if change.is_some() {
            self.shares_updated = None;
        }
        change
    }

    /// Records that a request or a call of the controller is sent to a backend server.
    pub fn record_send(&mut self, server: ServerNumber, now: Timestamp) {
        self.cold_sends += u64::from(self.cold.record_send(server, now));
        self.limits.record_send(server, now);
        self.shares.record_send(server, now);
    }

    /// Gives up this node's shares of all request limits, because it stops.
    pub fn release_limits(&mut self) {
        self.shares.release();
    }

    /// Merges the request limits that a peer announces. Returns those that changed.
    pub fn merge_limits(
        &mut self,
        limits: &[PeerLimit],
        now: Timestamp,
    ) -> Vec<(ServerNumber, LimitChange)> {
        let changes = self.limits.merge(limits, now);
        if !changes.is_empty() {
            self.shares_updated = None;
        }
        changes
    }

    /// Request limits and recent requests to these backend servers, for heartbeats to peers.
    pub fn announced_limits(&self, now: Timestamp) -> Vec<PeerLimit> {
        self.limits.announced(now)
    }

    /// Records that a backend server wants nothing from this node until `until`.
    pub fn record_pause(&mut self, server: ServerNumber, backend: &VmId, until: Timestamp) {
        self.pauses.record(server, backend, until);
    }

    /// Backend servers that want nothing from this node for now, with the time until which they do.
    pub fn paused_servers(&self, now: Timestamp) -> Vec<(VmId, Timestamp)> {
        self.pauses.paused(now)
    }

    /// Removes pauses that have ended, and the request limits of backend servers that are gone.
    pub fn expire_limits(&mut self, now: Timestamp) {
        self.pauses.expire(now);
        let servers = self.targets.values().flatten().map(|target| target.server);
        self.limits.retain(&servers.collect(), now);
    }

    /// Number of request limits in force.
    pub fn limits_in_force(&self) -> usize {
        self.limits.in_force()
    }

    /// Backend server whose process has a number; `None` if it leads no target of this node.
    pub fn backend_of_server(&self, server: ServerNumber) -> Option<&VmId> {
        self.targets
            .values()
            .flatten()
            .find(|target| target.server == server)
            .map(|target| &target.backend)
    }
}
