//! Requests that share one part of their prompts and crash each engine that begins to answer them.

use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_test_support::TestRandom;
use jaysaddle_test_support::seeds;

use crate::crash_world::CrashTraffic;
use crate::crash_world::Disruptions;
use crate::crash_world::arm_crashing_part;
use crate::crash_world::refuses_part;
use crate::crash_world::run_traffic;
use crate::platform_nodes::PlatformNodes;

/// Seed of the run in CI.
const FIRST_SEED: u64 = 3501;
/// Number of nodes and engines of the soak.
const NODES: u8 = 4;
const ENGINES: u16 = 24;
/// Longest time between two events of the soak, in milliseconds.
const MAX_EVENT_GAP_MS: u64 = 1500;
/// Longest pause of a node or of the store, and longest time until a killed node is started again, in milliseconds.
const MAX_FAULT_MS: u64 = 1500;
/// Time for which a lost engine is gone.
const ABSENCE: Duration = Duration::from_secs(3);

/// Guards against a request that crashes engines and is sent on and on, with new ids and at all nodes, until no group is left for
/// the requests that share its caller and its other parts. In an incident of December 2026, 64 engines ended so.
#[test]
fn requests_with_a_crashing_part_are_stopped_and_sound_ones_served() {
    let nodes = PlatformNodes::start(3, 20);
    nodes.wait_serving(10);
    arm_crashing_part(&nodes);
    let traffic = CrashTraffic {
        interval: Duration::from_millis(150),
        calm: Duration::from_secs(2),
        duration: Duration::from_secs(13),
    };
    let run = run_traffic(&nodes.addresses, traffic, || {});
    let faults = run.faults(&nodes, &Disruptions::new());
    assert!(faults.is_empty(), "{faults:?}");
}

/// Guards against a node that is started anew and sends requests whose part is blocked, because it has not learned so.
#[test]
fn nodes_that_are_all_started_again_still_refuse_the_part() {
    let mut nodes = PlatformNodes::start(2, 12);
    nodes.wait_serving(6);
    arm_crashing_part(&nodes);
    let traffic = CrashTraffic {
        interval: Duration::from_millis(150),
        calm: Duration::from_secs(2),
        duration: Duration::from_secs(4),
    };
    run_traffic(&nodes.addresses.clone(), traffic, || {});
    nodes.wait("the decision is stored", |nodes| {
        nodes.log(0).contains("content_block_stored")
            || nodes.log(1).contains("content_block_stored")
    });
    let before = nodes.standin.crash_counts().arrivals.len();
    for node in 0..2 {
        nodes.kill(node);
    }
    for node in 0..2 {
        nodes.restart(node);
    }
    nodes.wait("the nodes serve again", |nodes| {
        (0..2).all(|node| nodes.is_ready(node))
    });
    run_traffic(&nodes.addresses.clone(), traffic, || {});
    let after = nodes.standin.crash_counts().arrivals.len();
    assert_eq!(after, before, "requests with the part reached engines");
}

/// Losses, pauses, kills, stops and outages of the store beside the requests.
fn disrupt(nodes: &mut PlatformNodes, random: &mut TestRandom, until: Instant) -> Disruptions {
    let mut disruptions = Disruptions::new();
    let mut has_stopped = false;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(100 + random.below(MAX_EVENT_GAP_MS)));
        let node = random.below(u64::from(NODES)) as usize;
        let time = Duration::from_millis(100 + random.below(MAX_FAULT_MS));
        let from = Instant::now();
        match random.below(8) {
            0..4 => {
                let engines = nodes.standin.engines();
                for _ in 0..=random.below(3) {
                    let engine = random.below(engines.len() as u64) as usize;
                    nodes.standin.crash(&engines[engine], ABSENCE);
                }
                continue;
            }
            4 => {
                nodes.nodes[node].pause();
                thread::sleep(time);
                nodes.nodes[node].resume();
            }
            5 => {
                nodes.kill(node);
                thread::sleep(time);
                nodes.restart(node);
            }
            6 if !has_stopped => {
                has_stopped = true;
                nodes.nodes[node].terminate();
                disruptions.push((node, from, until));
                continue;
            }
            _ => {
                nodes.standin.set_store_down(true);
                thread::sleep(time);
                nodes.standin.set_store_down(false);
                let all = (0..usize::from(NODES)).map(|node| (node, from, Instant::now()));
                disruptions.extend(all);
                continue;
            }
        }
        disruptions.push((node, from, Instant::now()));
    }
    disruptions
}

/// Guards against the same failure beside ordinary losses of engines, which put sound parts at the scene of many ends, and
/// beside nodes that are paused, killed or stopped, and a store that is down.
#[test]
fn crashing_parts_are_stopped_under_random_events() {
    for seed in seeds(FIRST_SEED, 1) {
        println!("seed {seed}");
        let mut random = TestRandom::new(seed);
        let mut nodes = PlatformNodes::start(NODES, ENGINES);
        nodes.wait_serving(usize::from(ENGINES) / 2);
        arm_crashing_part(&nodes);
        let traffic = CrashTraffic {
            interval: Duration::from_millis(100 + random.below(400)),
            calm: Duration::from_secs(2),
            duration: Duration::from_secs(14),
        };
        let addresses = nodes.addresses.clone();
        let until = Instant::now() + traffic.calm + traffic.duration;
        let mut disruptions = Disruptions::new();
        let run = run_traffic(&addresses, traffic, || {
            disruptions = disrupt(&mut nodes, &mut random, until);
        });
        let faults = run.faults(&nodes, &disruptions);
        assert!(faults.is_empty(), "seed {seed}: {faults:?}");
    }
}

/// Guards against a block that operators can neither see nor end, and against one of theirs that does not reach the nodes.
#[test]
fn operators_add_and_release_blocks() {
    let nodes = PlatformNodes::start(2, 4);
    nodes.wait_serving(2);
    let store = nodes.standin.store_address.to_string();
    let blocks = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jaysaddle"));
        command.args(["blocks", "--store", &store]).args(arguments);
        let output = command.output().expect("the command runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code(), text)
    };
    let is_refused = |nodes: &PlatformNodes| (0..2).all(|node| refuses_part(nodes, node));
    assert_eq!(blocks(&["release", "bad0c0de"]).0, Some(6));
    assert_eq!(blocks(&["add", "bad0c0de"]).0, Some(0));
    assert!(blocks(&["list"]).1.contains("blocked"));
    nodes.wait("both nodes refuse the part", is_refused);
    assert_eq!(blocks(&["release", "bad0c0de"]).0, Some(0));
    nodes.wait("both nodes accept the part", |nodes| {
        (0..2).all(|node| !refuses_part(nodes, node))
    });
    assert!(blocks(&["list"]).1.contains("released"));
    assert_eq!(blocks(&["add", "--key", "x"]).0, Some(2));
}
