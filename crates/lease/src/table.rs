//! The sub-reducer that acquires, renews and gives up control leases.

use compact_str::CompactString;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;

use crate::event::LeaseEffect;
use crate::event::LeaseEvent;
use crate::settings::LeaseSettings;

/// Control leases of all shards as this node knows them.
#[derive(Debug)]
pub struct LeaseTable {
    settings: LeaseSettings,
    own: NodeKey,
    seed: u64,
}

impl LeaseTable {
    /// Starts without shards; `seed` determines the jitter of polls.
    pub fn new(settings: LeaseSettings, own: NodeKey, seed: u64) -> Self {
        Self {
            settings,
            own,
            seed,
        }
    }

    /// Applies one event.
    pub fn step(&mut self, event: LeaseEvent, now: Timestamp) -> Vec<LeaseEffect> {
        let _ = (event, now, &self.settings, &self.own, self.seed);
        Vec::new()
    }

    /// The fencing token, if this node holds the shard at `now`.
    pub fn holds(&self, shard: &FabricDomainId, now: Timestamp) -> Option<LeaseEpoch> {
        let _ = (shard, now);
        None
    }

    /// The shards held at `now`, each with its fencing token and the earliest time of orders to
    /// engines that ignore fencing tokens.
    pub fn held(&self, now: Timestamp) -> Vec<(FabricDomainId, LeaseEpoch, Timestamp)> {
        let _ = now;
        Vec::new()
    }

    /// What this node knows of a lease, in plain sentences.
    pub fn explain(&self, shard: &FabricDomainId) -> Vec<CompactString> {
        let _ = shard;
        Vec::new()
    }
}
