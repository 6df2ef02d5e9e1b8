//! Measures the cost of membership per node in an in-memory network.
//!
//! `cargo run --release -p jaysaddle-membership --example measure -- [seed] [nodes ...]`

#[allow(
    dead_code,
    reason = "the tests use more of the network than this program"
)]
#[path = "../tests/all/network.rs"]
mod network;

use std::time::Duration;

use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::RumorBody;
use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::SlotCount;
use network::FakeNetwork;
use network::NetworkSettings;

/// Duration of each measurement.
const MEASURED_MS: u64 = 240_000;

/// Interval between node replacements at the design size.
const REPLACE_MS: u64 = 120_000;

/// Interval between configuration changes, for 6,400 changes a day.
const CHANGE_MS: u64 = 13_500;

/// Interval between findings, for 740 VMs a day, each with 3 watchers that report 3 findings.
const EVIDENCE_MS: u64 = 13_000;

/// Interval between account usage reports of each node.
const USAGE_MS: u64 = 60_000;

/// Number of publications whose dissemination is timed, and the interval between them.
const TIMED: u64 = 10;
const ROUND_MS: u64 = 30_000;

/// Number of kills whose detection is timed.
const TIMED_DEATHS: u64 = 5;

/// Load during a measurement; each variant includes the previous ones.
#[derive(Clone, Copy, PartialEq)]
enum Load {
    Quiet,
    Replacement,
    Rumors,
    RumorsAndUsage,
}

struct Cost {
    sent_per_s: f64,
    most_sent_per_s: f64,
    messages_per_s: f64,
    core_percent: f64,
}

fn documents(version: u64) -> RumorBody {
    let names = ["rules", "drains", "inventory-hall-a", "inventory-hall-b"];
    let entries = names
        .iter()
        .map(|name| (DocumentName::new(*name), ObjectVersion(version)));
    RumorBody::Documents(entries.collect())
}

fn usage(value: u32) -> RumorBody {
    let accounts = (0..10).map(|account| AccountUsage {
        account: AccountId::new(format!("account-{account}")),
        in_use: SlotCount(value),
        wanted: SlotCount(value + account),
    });
    RumorBody::Usage(accounts.collect())
}

fn evidence(vm: u64, finding: ProbeFinding) -> RumorBody {
    RumorBody::Vm(VmEvidence {
        vm: VmId::new(format!("runner-{vm:04}")),
        finding,
        cut_off: false,
    })
}

/// Picks a running node other than the two seeds. The timed rumors come from a seed, which is never
/// replaced and publishes nothing else.
fn any_running(network: &mut FakeNetwork) -> usize {
    let running = network.running();
    running[2 + network.random(running.len() as u64 - 2) as usize]
}

fn apply_load(network: &mut FakeNetwork, load: Load, elapsed: u64) {
    let due = |interval: u64| elapsed % interval < 100;
    if load != Load::Quiet && due(REPLACE_MS) {
        let victim = any_running(network);
        network.kill(victim);
        network.add_node();
    }
    if matches!(load, Load::Rumors | Load::RumorsAndUsage) {
        if due(CHANGE_MS) {
            let node = any_running(network);
            network.step(node, MembershipEvent::Publish(documents(elapsed)));
        }
        if due(EVIDENCE_MS) {
            let node = any_running(network);
            let vm = network.random(30);
            let body = evidence(vm, ProbeFinding::Missed);
            network.step(node, MembershipEvent::Publish(body));
        }
    }
    if load == Load::RumorsAndUsage {
        let ticks = USAGE_MS / 100;
        for node in network.running() {
            if (elapsed / 100 + node as u64).is_multiple_of(ticks) {
                let body = usage((elapsed / 100) as u32);
                network.step(node, MembershipEvent::Publish(body));
            }
        }
    }
}

fn measure(network: &mut FakeNetwork, load: Load) -> Cost {
    let before: Vec<(u64, u64, Duration)> = network
        .nodes
        .iter()
        .map(|fake| (fake.bytes_sent, fake.messages_sent, fake.step_time))
        .collect();
    let mut elapsed = 0;
    while elapsed < MEASURED_MS {
        apply_load(network, load, elapsed);
        network.run(100);
        elapsed += 100;
    }
    let seconds = MEASURED_MS as f64 / 1000.0;
    let mut cost = Cost {
        sent_per_s: 0.0,
        most_sent_per_s: 0.0,
        messages_per_s: 0.0,
        core_percent: 0.0,
    };
    let mut nodes = 0.0;
    // Nodes that were killed or added during the measurement would lower the mean.
    for (fake, (bytes, messages, time)) in network.nodes.iter().zip(before) {
        if !fake.running {
            continue;
        }
        nodes += 1.0;
        let sent = (fake.bytes_sent - bytes) as f64 / seconds;
        cost.sent_per_s += sent;
        cost.most_sent_per_s = cost.most_sent_per_s.max(sent);
        cost.messages_per_s += (fake.messages_sent - messages) as f64 / seconds;
        cost.core_percent += (fake.step_time - time).as_secs_f64() / seconds * 100.0;
    }
    cost.sent_per_s /= nodes;
    cost.messages_per_s /= nodes;
    cost.core_percent /= nodes;
    cost
}

/// Returns the sorted times in milliseconds until a Documents rumor reaches all nodes under a load.
fn time_rumors(network: &mut FakeNetwork, load: Load) -> Vec<u64> {
    let mut times = Vec::new();
    let mut elapsed = 0;
    for _ in 0..TIMED {
        let origin = 0;
        // Differs from every body published before, also under another load.
        let body = documents(1_000_000_000 + network.now);
        network.step(origin, MembershipEvent::Publish(body.clone()));
        let started = network.now;
        let mut arrived = None;
        for _ in 0..ROUND_MS / 100 {
            apply_load(network, load, elapsed);
            network.run(100);
            elapsed += 100;
            if arrived.is_none() && has_reached_all(network, origin, &body) {
                arrived = Some(network.now - started);
            }
        }
        times.push(arrived.unwrap_or(u64::MAX));
    }
    times.sort_unstable();
    times
}

fn has_reached_all(network: &FakeNetwork, origin: usize, body: &RumorBody) -> bool {
    let mut others = network.running().into_iter().filter(|node| *node != origin);
    others.all(|node| {
        let rumors = &network.nodes[node].rumors;
        rumors.iter().any(|(_, received)| received == body)
    })
}

fn print_times(nodes: usize, name: &str, times: &[u64]) {
    println!(
        "{nodes} nodes, {name}: Documents rumor on all nodes after {} ms (median), {} ms (longest of {TIMED})",
        times[times.len() / 2],
        times[times.len() - 1]
    );
}

/// Returns the sorted times in milliseconds until a killed node is dead on all other nodes.
fn time_deaths(network: &mut FakeNetwork) -> Vec<u64> {
    let mut times = Vec::new();
    for _ in 0..TIMED_DEATHS {
        let victim = any_running(network);
        network.kill(victim);
        let is_dead_everywhere = |network: &FakeNetwork| {
            let mut others = network.running().into_iter();
            others.all(|node| network.observed_state(node, victim) == Some(NodeState::Dead))
        };
        times.push(
            network
                .run_until(120_000, is_dead_everywhere)
                .unwrap_or(u64::MAX),
        );
        network.restart(victim);
        network.run(30_000);
    }
    times.sort_unstable();
    times
}

fn print_cost(nodes: usize, name: &str, cost: &Cost) {
    println!(
        "| {nodes} | {name} | {:.0} | {:.0} | {:.1} | {:.3} |",
        cost.sent_per_s, cost.most_sent_per_s, cost.messages_per_s, cost.core_percent
    );
}

fn main() {
    let mut numbers = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok());
    let seed: u64 = numbers.next().unwrap_or(1);
    let mut sizes: Vec<usize> = numbers.map(|size| size as usize).collect();
    if sizes.is_empty() {
        sizes = vec![8, 32, 128, 320];
    }
    println!(
        "seed {seed}, {} s per row, delay 1 to 5 ms, no loss",
        MEASURED_MS / 1000
    );
    println!("| nodes | load | B/s sent | max. B/s sent | messages/s | % of a core |");
    println!("|---|---|---|---|---|---|");
    for nodes in sizes {
        let settings = NetworkSettings {
            seed,
            ..NetworkSettings::default()
        };
        let mut network = FakeNetwork::with_nodes(settings, nodes);
        let joined = network.run_until(600_000, |network| network.disagreement().is_none());
        println!("{nodes} nodes: views converge {joined:?} ms after a simultaneous start");
        network.run(60_000);
        let deaths = time_deaths(&mut network);
        println!("{nodes} nodes: killed nodes are dead on all nodes after {deaths:?} ms");
        let loads = [
            ("quiet", Load::Quiet),
            ("one node replaced every 120 s", Load::Replacement),
            ("also 6,400 changes and 6,660 findings a day", Load::Rumors),
            (
                "also usage of 10 accounts per node every 60 s",
                Load::RumorsAndUsage,
            ),
        ];
        for (name, load) in loads {
            let cost = measure(&mut network, load);
            print_cost(nodes, name, &cost);
            let times = time_rumors(&mut network, load);
            print_times(nodes, name, &times);
            network.run(60_000);
        }
    }
}
