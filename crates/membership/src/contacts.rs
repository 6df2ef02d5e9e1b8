//! Addresses worth a message: peers with an open connection, and addresses of lost peers.

use std::collections::VecDeque;
use std::net::SocketAddr;

use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::random::SeededRandom;

/// Peers met in the last seconds, whose connections are still open: two a second for about the
/// time that the transport keeps an idle connection.
const MAX_CONTACTS: usize = 16;

/// Time for which the address of a lost peer is remembered; longer than the hour for which
/// regions lose contact with each other.
const MEMORY: TimeSpan = TimeSpan::from_secs(2 * 3600);

/// Most remembered addresses; more than the nodes of the designed size.
const MAX_REMEMBERED: usize = 512;

/// Peers that exchanged a message with this node lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentContacts {
    keys: VecDeque<NodeKey>,
}

impl RecentContacts {
    pub(crate) fn note(&mut self, key: &NodeKey) {
        if let Some(position) = self.keys.iter().position(|known| known == key) {
            self.keys.remove(position);
        }
        self.keys.push_back(key.clone());
        if self.keys.len() > MAX_CONTACTS {
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
pub(crate) struct AddressMemory {
    entries: VecDeque<RememberedAddress>,
}

#[derive(Clone, Copy, Debug)]
struct RememberedAddress {
    address: SocketAddr,
    until: Timestamp,
}

impl AddressMemory {
    pub(crate) fn note(&mut self, address: SocketAddr, now: Timestamp) {
        self.entries.retain(|entry| entry.address != address);
        let until = now + MEMORY;
        self.entries.push_back(RememberedAddress { address, until });
        if self.entries.len() > MAX_REMEMBERED {
            self.entries.pop_front();
        }
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|entry| entry.until > now);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.iter().map(|entry| entry.address)
    }
}
