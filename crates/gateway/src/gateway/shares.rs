//! This node's shares of what backend servers grant to all nodes together: requests and connections.

use std::collections::HashSet;

use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use super::RequestGateway;
use crate::target::RequestTarget;
use crate::target::ServerNumber;

/// Interval at which the shares are computed.
const UPDATE_INTERVAL: TimeSpan = TimeSpan(100);
impl RequestGateway {
    /// Computes the shares of this node, if that was not done lately.
    pub(super) fn update_shares(&mut self, peers: &PeerTable, now: Timestamp) {
        let is_recent = self
            .shares_updated
            .is_some_and(|updated| now.since(updated) < UPDATE_INTERVAL);
        if is_recent {
            return;
        }
        self.shares_updated = Some(now);
        let members: Vec<_> = peers.recently_serving(now).collect();
        self.ranks.set_members(members.iter().copied());
        let nodes = self.ranks.nodes();
        let part = nodes as f64 / peers.sharing_nodes().max(nodes) as f64;
        self.shares
            .update(self.limits.iter(), &mut self.ranks, part, now);
        self.unconnected = self.unconnected_servers();
    }

    /// Maximum number of connections of all nodes to a backend server of a service.
    fn max_connections(&self, service: &ServiceId) -> u32 {
        self.index
            .as_ref()
            .and_then(|index| index.config().service(service))
            .map_or(u32::MAX, |rule| rule.max_connections)
    }

    /// Backend servers to which this node opens no connections, because they accept fewer than there are nodes.
    fn unconnected_servers(&mut self) -> HashSet<ServerNumber> {
        let mut unconnected = HashSet::new();
        for ((service, _), targets) in &self.targets {
            let total = self.max_connections(service);
            if total >= self.node_count {
                continue;
            }
            let ranks = &mut self.ranks;
            let servers = targets.iter().map(|target| target.server);
            unconnected.extend(servers.filter(|server| ranks.rank(*server) >= total as usize));
        }
        unconnected
    }

    /// Maximum number of connections that this node opens to a backend server; 0 if they belong to other nodes.
    pub fn connection_limit(&self, target: &RequestTarget) -> u32 {
        if self.unconnected.contains(&target.server) {
            return 0;
        }
        let total = self.max_connections(&target.service);
        (total / self.node_count).max(1)
    }
}
