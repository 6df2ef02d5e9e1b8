//! Random runs of four ledgers over a fake network.

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

/// Guards against a second run of a non-idempotent key, a refusal that falsely says not run,
/// another request's answer, and a caller left without an answer; under loss, duplication, delay,
/// reordering, partitions, restarts, handovers, retries at any node and forgotten claims.
#[test]
fn no_key_runs_twice() {
    check("no_key_runs_twice", 400, run as fn(u64, Vec<u64>) -> bool);
}
