//! Selection of the nodes that a directory response lists.
//!
//! Callers connect to a random address of the response, cache it, and close connections to nodes that a later response
//! does not list. If all responses were truncated at the same node, the nodes after it would receive no callers; if the
//! selection were random, callers would reconnect after each response. The selection therefore depends on the caller:
//! with rendezvous hashing, a caller gets the same nodes from every directory while they live, and different callers
//! get different ones.

use std::cmp::Reverse;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::IpAddr;
use std::net::SocketAddr;

/// A node that accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingNode {
    /// Whether the node is in the caller's failure domain.
    pub is_same_domain: bool,
    /// Address at which the node accepts callers.
    pub address: SocketAddr,
}

fn node_weight(caller: IpAddr, node: &ServingNode) -> u64 {
    let mut hasher = DefaultHasher::new();
    (caller, node.address).hash(&mut hasher);
    hasher.finish()
}

/// Selects up to `limit` of `nodes` for a caller, and lists those in its failure domain first.
///
/// The selection does not prefer the caller's failure domain, because that would distribute the load by the location
/// of the callers.
pub fn select_addresses(
    mut nodes: Vec<ServingNode>,
    limit: usize,
    caller: IpAddr,
) -> Vec<SocketAddr> {
    nodes.sort_by_cached_key(|node| Reverse(node_weight(caller, node)));
    nodes.truncate(limit);
    nodes.sort_by_key(|node| (!node.is_same_domain, node.address));
    nodes.into_iter().map(|node| node.address).collect()
}
