//! Random simulations of four ledgers over a simulated network.

use crate::network::Network;
use crate::support::check;

fn run(seed: u64, words: Vec<u64>) -> bool {
    let mut network = Network::new(seed);
    for word in words {
        network.step(word);
    }
    network.finish();
    true
}

/// Guards against a second execution of a non-idempotent key, a refusal that wrongly states
/// `NotRun`, the response of another request, and a request that is never resolved. The simulation
/// loses, duplicates, delays and reorders messages, partitions and restarts nodes, hands ledgers
/// over, retries at any node and evicts claims.
#[test]
fn no_key_runs_twice() {
    check("no_key_runs_twice", 400, run as fn(u64, Vec<u64>) -> bool);
}
