//! Recently contacted peers, and addresses of lost peers.

use std::collections::VecDeque;
use std::net::SocketAddr;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::random::SeededRandom;

/// Number of peers contacted within the last seconds, whose connections are still open: two a
/// second for about the idle timeout of the transport's connections.
const MAX_RECENT_PEERS: usize = 16;

/// Time for which the address of a lost peer is kept; longer than the longest expected partition
/// between regions, one hour.
const LOST_ADDRESS_RETENTION: TimeSpan = TimeSpan::from_secs(2 * 3600);

/// Maximum number of kept addresses; exceeds the number of nodes at the design size.
const MAX_LOST_ADDRESSES: usize = 512;

/// Peers that recently exchanged a message with this node, the latest last.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentPeers {
    keys: VecDeque<NodeKey>,
}

impl RecentPeers {
    pub(crate) fn insert(&mut self, key: &NodeKey) {
        if let Some(position) = self.keys.iter().position(|recent| recent == key) {
            self.keys.remove(position);
        }
        self.keys.push_back(key.clone());
        if self.keys.len() > MAX_RECENT_PEERS {
            self.keys.pop_front();
        }
    }

    /// Picks up to `count` peers in random order.
    pub(crate) fn pick(&self, count: usize, random: &mut SeededRandom) -> Vec<NodeKey> {
        let mut picked: Vec<NodeKey> = self.keys.iter().cloned().collect();
        random.shuffle(&mut picked);
        picked.truncate(count);
        picked
    }
}

/// Addresses of peers whose records were removed although they may only have been unreachable.
#[derive(Clone, Debug, Default)]
pub(crate) struct LostAddresses {
    entries: VecDeque<LostAddress>,
}

#[derive(Clone, Copy, Debug)]
struct LostAddress {
    address: SocketAddr,
    expires_at: Timestamp,
}

impl LostAddresses {
    pub(crate) fn insert(&mut self, address: SocketAddr, now: Timestamp) {
        self.entries.retain(|entry| entry.address != address);
        let expires_at = now + LOST_ADDRESS_RETENTION;
        self.entries.push_back(LostAddress {
            address,
            expires_at,
        });
        if self.entries.len() > MAX_LOST_ADDRESSES {
            self.entries.pop_front();
        }
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|entry| entry.expires_at > now);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.iter().map(|entry| entry.address)
    }
}
