//! Cold backend servers and evacuated failure domains in the gateway.

use std::collections::BTreeSet;

use jaysaddle_fleet::evacuation::EvacuationState;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use super::RequestGateway;
use crate::cold_servers::ColdBound;
use crate::target::ServerNumber;

/// A backend server that was found to be cold, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdNotice {
    /// The backend server.
    pub backend: VmId,
    /// Time until which it counts as cold.
    pub until: Timestamp,
}

impl RequestGateway {
    /// Sets the bound on the requests to cold backend servers; without one, they are served like others.
    pub fn set_cold_bound(&mut self, bound: Option<ColdBound>) {
        self.cold_bound = bound;
    }

    /// Requests that a cold backend server of a service may get in one second, and the time for which it is cold after a
    /// start; `None` if there is no bound.
    fn cold_requests(&self, service: &ServiceId) -> Option<(f64, TimeSpan)> {
        let bound = self.cold_bound?;
        let rule = self.index.as_ref()?.config().service(service)?;
        (rule.cold_rate > 0.0).then(|| (bound.requests(rule.cold_rate), rule.cold_time))
    }

    fn record_cold(
        &mut self,
        server: ServerNumber,
        backend: &VmId,
        until: Timestamp,
        bound: f64,
    ) -> Option<ColdNotice> {
        let last_sent = self.limits.last_sent(server);
        let is_new = self.cold.record(server, until, bound, last_sent);
        is_new.then(|| ColdNotice {
            backend: backend.clone(),
            until,
        })
    }

    /// Records what the entries of the table state about cold backend servers. Returns those that were not known.
    pub fn record_cold_entries(&mut self, table: &BackendTable, now: Timestamp) -> Vec<ColdNotice> {
        let mut notices = Vec::new();
        if self.cold_bound.is_none() {
            return notices;
        }
        let rows = table.rows();
        for row in rows.filter(|row| row.entry.cold_left > TimeSpan(0)) {
            let entry = &row.entry;
            let until = row.last_write + entry.cold_left;
            if until <= now {
                continue;
            }
            if let Some((bound, _)) = self.cold_requests(&entry.service) {
                let server = ServerNumber::of(&entry.id, entry.started);
                notices.extend(self.record_cold(server, &entry.id, until, bound));
            }
        }
        notices
    }

    /// Records that a response states a backend server to be cold for `left`. Returns a notice if that was not known.
    pub fn record_cold_response(
        &mut self,
        server: ServerNumber,
        backend: &VmId,
        service: &ServiceId,
        left: TimeSpan,
        now: Timestamp,
    ) -> Option<ColdNotice> {
        let (bound, _) = self.cold_requests(service)?;
        self.record_cold(server, backend, now + left, bound)
    }

    /// Takes over the evacuated failure domains. The backend servers of a failure domain may have become cold before its
    /// evacuation has ended, and their entries may not show it yet, so they count as cold at first.
    pub fn set_evacuations(&mut self, state: &EvacuationState, now: Timestamp) -> Vec<ColdNotice> {
        self.evacuated = state.domains().cloned().collect();
        let mut returned = Vec::new();
        for target in self.targets.values().flatten() {
            let lifted = state.lifted_at(&target.failure_domain);
            if let (Some(lifted), Some((bound, cold_time))) =
                (lifted, self.cold_requests(&target.service))
            {
                let until = lifted + cold_time + self.cold.notice_time();
                if now < until {
                    returned.push((target.clone(), until, bound));
                }
            }
        }
        let mut notices = Vec::new();
        for (target, until, bound) in returned {
            notices.extend(self.record_cold(target.server, &target.backend, until, bound));
        }
        notices
    }

    /// Computes this node's shares of the requests to cold backend servers.
    pub fn update_cold_shares(&mut self, peers: &PeerTable, now: Timestamp) {
        if self.cold_bound.is_none() {
            return;
        }
        let members: BTreeSet<_> = peers.sharing().cloned().collect();
        self.cold_ranks.set_members(members.iter());
        let live = peers.live(now).count() + 1;
        self.cold.update(&mut self.cold_ranks, live, now);
    }

    /// Number of requests and calls that this node has sent to cold backend servers.
    pub fn cold_sends(&self) -> u64 {
        self.cold_sends
    }

    /// Number of backend servers that count as cold.
    pub fn cold_servers(&self) -> usize {
        self.cold.count()
    }
}
