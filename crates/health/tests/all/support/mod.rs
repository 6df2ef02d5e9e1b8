//! Ids, reports and random numbers shared by the tests.

pub mod fleet;
pub mod harness;

use std::net::SocketAddr;

use jaysaddle_health::HealthTarget;
use jaysaddle_health::WatcherNode;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;

/// Seed of the random runs unless `JAYSADDLE_SEED` sets another.
pub const DEFAULT_SEED: u64 = 20_261_203;
/// Number of failure domains in the tests.
pub const DOMAINS: usize = 3;

/// Returns the key of the node with this index.
pub fn node_key(index: usize) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("node-{index}")),
        incarnation: Incarnation(1),
    }
}

/// Returns the failure domain of the node or VM with this index.
pub fn domain_of(index: usize) -> FailureDomainId {
    FailureDomainId::new(format!("domain-{}", index % DOMAINS))
}

/// Returns the id of the VM with this index.
pub fn vm_id(index: usize) -> VmId {
    VmId::new(format!("vm-{index}"))
}

/// Returns the target for the VM with this index.
pub fn target(index: usize) -> HealthTarget {
    HealthTarget {
        vm: vm_id(index),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        failure_domain: domain_of(index),
    }
}

/// Returns the nodes with these indexes as possible watchers.
pub fn watcher_nodes(nodes: impl IntoIterator<Item = usize>) -> Vec<WatcherNode> {
    let watcher = |index| WatcherNode {
        node: node_key(index),
        failure_domain: domain_of(index),
    };
    nodes.into_iter().map(watcher).collect()
}

/// Creates an engine report of a VM.
pub fn report(vm: &VmId, leaving: bool) -> EngineReport {
    EngineReport {
        vm: vm.clone(),
        leaving,
        ..EngineReport::default()
    }
}

/// Random numbers of the simulation (SplitMix64).
#[derive(Clone, Debug)]
pub struct TestRng(pub u64);

impl TestRng {
    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}
