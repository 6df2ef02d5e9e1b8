//! Seeded random runs of 3 to 20 trackers with injected faults.

use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::RumorBody;
use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeState;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::network::FakeNetwork;
use crate::network::NetworkSettings;
use crate::network::key;

/// Seed of the generator of runs; a failing run prints its own parameters.
const GENERATOR_SEED: u64 = 20_261_203;

/// Time for views to converge after the last fault: a round over 20 peers, a suspicion timeout,
/// some probes of lost nodes and some anti-entropy exchanges.
const QUIET_MS: u64 = 90_000;

/// A fault, a change or a delay.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition(u64),
    Heal,
    Publish(usize, u64),
    StallConnection(usize, usize),
    Wait(u64),
}

impl Fault {
    fn random(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % 20;
        match u8::arbitrary(g) % 12 {
            0 => Fault::Kill(node),
            1 | 2 => Fault::Restart(node),
            3 => Fault::Pause(node),
            4 => Fault::Resume(node),
            5 => Fault::Partition(u64::arbitrary(g)),
            6 => Fault::Heal,
            7 | 8 => Fault::Publish(node, u64::arbitrary(g)),
            9 => Fault::StallConnection(node, usize::arbitrary(g) % 20),
            _ => Fault::Wait(u64::arbitrary(g) % 20_000),
        }
    }
}

#[derive(Clone, Debug)]
struct FaultRun {
    seed: u64,
    nodes: usize,
    loss_permille: u64,
    longest_delay: u64,
    faults: Vec<Fault>,
}

impl Arbitrary for FaultRun {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = u64::arbitrary(g) % 25;
        Self {
            seed: u64::arbitrary(g),
            nodes: 3 + usize::arbitrary(g) % 18,
            loss_permille: u64::arbitrary(g) % 100,
            longest_delay: 2 + u64::arbitrary(g) % 150,
            faults: (0..count).map(|_| Fault::random(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let run = self.clone();
        let shorter = (0..self.faults.len()).map(move |skipped| {
            let mut run = run.clone();
            run.faults.remove(skipped);
            run
        });
        Box::new(shorter)
    }
}

fn publish(network: &mut FakeNetwork, node: usize, version: u64) {
    let name = DocumentName::new("rules");
    let body = RumorBody::Documents(vec![(name, ObjectVersion(version))]);
    network.step(node, MembershipEvent::Publish(body));
}

fn inject(network: &mut FakeNetwork, fault: &Fault) {
    let count = network.nodes.len();
    match fault {
        Fault::Kill(node) => network.kill(node % count),
        Fault::Restart(node) => {
            network.kill(node % count);
            network.restart(node % count);
        }
        Fault::Pause(node) => network.pause(node % count),
        Fault::Resume(node) => network.resume(node % count),
        Fault::Partition(bits) => network.partition(|node| (bits >> node & 1) as u32),
        Fault::Heal => network.partition(|_| 0),
        Fault::Publish(node, version) => {
            let node = node % count;
            if network.nodes[node].running && !network.nodes[node].paused {
                publish(network, node, *version);
            }
        }
        Fault::StallConnection(from, to) => {
            network.stalled.insert((from % count, to % count));
        }
        Fault::Wait(millis) => network.run(*millis),
    }
}

/// Ends all faults but leaves killed nodes dead, except the seeds: a cluster without seeds
/// cannot be joined.
fn end_faults(network: &mut FakeNetwork) {
    network.partition(|_| 0);
    for node in 0..network.nodes.len() {
        network.resume(node);
    }
    for seed in 0..2 {
        if !network.nodes[seed].running {
            network.restart(seed);
        }
    }
}

fn check_run(run: &FaultRun) -> Result<(), String> {
    let settings = NetworkSettings {
        loss_permille: run.loss_permille,
        delay_ms: (1, run.longest_delay),
        seed: run.seed,
        ..NetworkSettings::default()
    };
    let mut network = FakeNetwork::with_nodes(settings, run.nodes);
    network.run(5000);
    for fault in &run.faults {
        inject(&mut network, fault);
        check_incarnations(&network)?;
    }
    end_faults(&mut network);
    // Loss alone can cause a suspicion at any time, so convergence is checked without it.
    network.settings.loss_permille = 0;
    network.settings.delay_ms = (1, 20);
    network.run(QUIET_MS);
    check_incarnations(&network)?;
    if let Some(disagreement) = network.disagreement() {
        return Err(disagreement);
    }
    check_rumors(&mut network)
}

/// Guards against an old run that becomes live again after a later one has been seen.
fn check_incarnations(network: &FakeNetwork) -> Result<(), String> {
    for observer in network.running() {
        let tracker = &network.nodes[observer].tracker;
        for (record, state) in tracker.nodes() {
            let latest = tracker
                .latest_run(&record.key.id)
                .map(|(record, _)| &record.key);
            if latest != Some(&record.key) && state != NodeState::Dead {
                return Err(format!(
                    "node {observer} considers the old run {record:?} {state:?}"
                ));
            }
        }
    }
    Ok(())
}

/// Publishes two versions in a row at one node and checks that all nodes end with the second one.
fn check_rumors(network: &mut FakeNetwork) -> Result<(), String> {
    let origin = network.running()[0];
    publish(network, origin, u64::MAX - 1);
    publish(network, origin, u64::MAX);
    network.run(15_000);
    let expected = ObjectVersion(u64::MAX);
    for node in network.running().into_iter().filter(|node| *node != origin) {
        let id = key(origin, 0).id;
        let mut received = network.nodes[node].rumors.iter().rev();
        let last = received.find(|(from, _)| from.id == id);
        let is_latest = match last {
            Some((_, RumorBody::Documents(versions))) => versions[0].1 == expected,
            _ => false,
        };
        if !is_latest {
            return Err(format!("node {node} ends with {last:?}"));
        }
    }
    Ok(())
}

/// Guards against views that do not converge after faults, live nodes considered dead permanently,
/// old runs that become live again, and rumors that miss a node or are overwritten by older ones.
#[test]
fn views_converge_after_faults() {
    fn property(run: FaultRun) -> quickcheck::TestResult {
        match check_run(&run) {
            Ok(()) => quickcheck::TestResult::passed(),
            Err(error) => quickcheck::TestResult::error(error),
        }
    }
    println!("generator seed {GENERATOR_SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, GENERATOR_SEED))
        .tests(100)
        .quickcheck(property as fn(FaultRun) -> quickcheck::TestResult);
}

/// Guards against views that do not converge when a partition isolates one node and
/// a connection stalls.
#[test]
fn partition_with_stalled_connection_converges() {
    let run = FaultRun {
        seed: 0,
        nodes: 20,
        loss_permille: 91,
        longest_delay: 18,
        faults: vec![
            Fault::Partition(1),
            Fault::Wait(16_311),
            Fault::StallConnection(0, 2),
        ],
    };
    assert_eq!(check_run(&run), Ok(()));
}
