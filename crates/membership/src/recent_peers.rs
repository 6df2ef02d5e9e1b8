//! Addresses worth a message: peers with an open connection, and addresses of lost peers.

use std::collections::VecDeque;
use std::net::SocketAddr;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::random::SeededRandom;

/// Peers met in the last seconds, whose connections are still open: two a second for about the
/// time that the transport keeps an idle connection.
const MAX_RECENT_PEERS: usize = 16;

/// Time for which the address of a lost peer is remembered; longer than the hour for which
/// regions lose contact with each other.
const LOST_ADDRESS_RETENTION: TimeSpan = TimeSpan::from_secs(2 * 3600);

/// Most remembered addresses; more than the nodes of the designed size.
const MAX_LOST_ADDRESSES: usize = 512;

/// Peers that exchanged a message with this node lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentPeers {
    keys: VecDeque<NodeKey>,
}

impl RecentPeers {
    pub(crate) fn insert(&mut self, key: &NodeKey) {
        if let Some(position) = self.keys.iter().position(|known| known == key) {
            self.keys.remove(position);
        }
        self.keys.push_back(key.clone());
        if self.keys.len() > MAX_RECENT_PEERS {
            self.keys.pop_front();
        }
    }

    /// Up to `count` contacts in random order.
    pub(crate) fn pick(&self, count: usize, random: &mut SeededRandom) -> Vec<NodeKey> {
        let mut picked: Vec<NodeKey> = self.keys.iter().cloned().collect();
        random.shuffle(&mut picked);
        picked.truncate(count);
        picked
    }
}

/// Addresses of peers whose records are gone but that may only have been cut off.
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
