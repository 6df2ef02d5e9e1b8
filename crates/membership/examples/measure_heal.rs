//! Measures how long a cluster takes to converge after a partition into two halves.
//!
//! `cargo run --release -p jaysaddle-membership --example measure_heal -- [seed] [nodes] [seconds]`

#[allow(
    dead_code,
    reason = "the tests use more of the network than this program"
)]
#[path = "../tests/all/network.rs"]
mod network;

use jaysaddle_types::node::NodeState;
use network::FakeNetwork;
use network::NetworkSettings;
use network::key;

/// Timeout for the views to converge.
const LIMIT_MS: u64 = 300_000;

fn bytes_sent(network: &FakeNetwork) -> Vec<u64> {
    network.nodes.iter().map(|fake| fake.bytes_sent).collect()
}

/// Counts how often a node considered a live node of its own half dead since `start`.
fn deaths_in_own_half(network: &FakeNetwork, start: u64) -> usize {
    let mut deaths = 0;
    for (observer, fake) in network.nodes.iter().enumerate() {
        for (subject, state, time) in &fake.changes {
            let same_half = (0..network.nodes.len())
                .filter(|node| node % 2 == observer % 2)
                .any(|node| key(node, 1) == *subject);
            deaths += usize::from(*time >= start && same_half && *state == NodeState::Dead);
        }
    }
    deaths
}

fn main() {
    let mut numbers = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok());
    let seed: u64 = numbers.next().unwrap_or(1);
    let nodes = numbers.next().unwrap_or(128) as usize;
    let seconds: u64 = numbers.next().unwrap_or(600);
    let settings = NetworkSettings {
        seed,
        ..NetworkSettings::default()
    };
    let mut network = FakeNetwork::with_nodes(settings, nodes);
    network.run(60_000);
    println!("seed {seed}, {nodes} nodes, partition of {seconds} s");
    network.partition(|node| u32::from(node % 2 == 1));
    network.run(seconds * 1000);
    let start = network.now;
    let before = bytes_sent(&network);
    network.partition(|_| 0);
    let healed = network.run_until(LIMIT_MS, |network| network.disagreement().is_none());
    let elapsed = (network.now - start) as f64 / 1000.0;
    let sent: Vec<u64> = bytes_sent(&network)
        .iter()
        .zip(before)
        .map(|(after, before)| after - before)
        .collect();
    let total: u64 = sent.iter().sum();
    let most = sent.iter().copied().max().unwrap_or(0);
    println!("views converge {healed:?} ms after the end of the partition");
    println!(
        "deaths in own half: {}",
        deaths_in_own_half(&network, start)
    );
    println!(
        "sent per node until then: {:.0} B/s, max. {:.0} B/s",
        total as f64 / nodes as f64 / elapsed,
        most as f64 / elapsed
    );
}
