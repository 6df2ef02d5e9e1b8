//! Simulation of nodes whose callers send one request on and on that ends the servers of a plain service, at light and at heavy
//! traffic, beside losses of servers, pauses, cuts and restarts of nodes.

use jaysaddle_test_support::seeds;

use crate::repeat_simulation_world::CRASHING_FROM_MS;
use crate::repeat_simulation_world::END_MS;
use crate::repeat_simulation_world::KNOWN_AFTER;
use crate::repeat_simulation_world::MAX_LATE;
use crate::repeat_simulation_world::Traffic;
use crate::repeat_simulation_world::World;
use crate::simulation_steps::CONTACT_MS;
use crate::simulation_steps::MAX_BYTES_PER_SECOND;

fn simulate(traffic: Traffic, first_seed: u64, runs: u64) {
    for seed in seeds(first_seed, runs) {
        let mut world = World::new(traffic, seed);
        world.run();
        let last = world.ends.get(KNOWN_AFTER - 1).or(world.ends.last());
        let last = last.copied().unwrap_or(CRASHING_FROM_MS);
        let before = world.served_percent(0, 3000);
        let after = world.served_percent(last + 2 * CONTACT_MS, END_MS - 1000);
        let rate = world.bytes / traffic.nodes / (END_MS as usize / 1000);
        let (ends, late) = (world.ends.len(), world.late);
        println!(
            "{traffic:?}, seed {seed}: {ends} ends, {late} late, served {before} % before, {after} % after, {rate} B/s a node"
        );
        assert!(late <= MAX_LATE, "seed {seed}: {late} late requests");
        assert!(after * 2 >= before, "seed {seed}: {after} % served");
        let wrong = world.blocked_sound();
        assert!(
            wrong.is_empty(),
            "seed {seed}: sound requests are blocked: {wrong:?}"
        );
        assert!(rate <= MAX_BYTES_PER_SECOND, "seed {seed}: {rate} B/s");
    }
}

/// Guards against a repeated request that ends the few servers of a plain service for ever, at seven nodes.
#[test]
fn repeated_request_is_stopped_by_seven_nodes() {
    for (servers, sound_gap, crashing_gap) in [(3, 400, 2500), (1, 400, 1500), (6, 40, 900)] {
        for keeps_id in [false, true] {
            let traffic = Traffic {
                nodes: 7,
                servers,
                sound_gap,
                crashing_gap,
                keeps_id,
                has_crashing: true,
                ..Traffic::default()
            };
            simulate(traffic, 500 + servers as u64 * 10, 6);
        }
    }
}

/// The same failure at 82 nodes, where relays decide and two attempts rarely come to one node.
#[test]
fn repeated_request_is_stopped_by_82_nodes() {
    for (servers, sound_gap) in [(3, 400), (6, 10)] {
        let traffic = Traffic {
            nodes: 82,
            servers,
            sound_gap,
            crashing_gap: 1500,
            keeps_id: false,
            has_crashing: true,
            ..Traffic::default()
        };
        simulate(traffic, 600 + servers as u64 * 10, 4);
    }
}

/// The same failure at 320 nodes.
#[test]
fn repeated_request_is_stopped_by_320_nodes() {
    for (servers, sound_gap) in [(3, 400), (6, 10)] {
        let traffic = Traffic {
            nodes: 320,
            servers,
            sound_gap,
            crashing_gap: 1500,
            keeps_id: false,
            has_crashing: true,
            ..Traffic::default()
        };
        simulate(traffic, 700 + servers as u64 * 10, 2);
    }
}

/// Guards against sound requests that are blocked because servers and whole failure domains are lost while they come again.
#[test]
fn losses_without_a_crashing_request_block_nothing() {
    for (nodes, sound_gap) in [(7, 400), (7, 10), (82, 10)] {
        let traffic = Traffic {
            nodes,
            servers: 6,
            sound_gap,
            crashing_gap: 1000,
            keeps_id: false,
            has_crashing: false,
            ..Traffic::default()
        };
        simulate(traffic, 800 + sound_gap, 8);
    }
}

/// Guards against a repeated request that is taken for a new one each time, because its repetitions differ in what is not their
/// path, client account or body.
#[test]
fn repetitions_that_differ_are_stopped() {
    for (nodes, servers, sound_gap) in [(7, 3, 400), (7, 1, 400), (82, 6, 10), (320, 3, 400)] {
        let traffic = Traffic {
            nodes,
            servers,
            sound_gap,
            differs: true,
            ..Traffic::default()
        };
        simulate(traffic, 900 + nodes as u64, 4);
    }
}

/// Guards against sound requests that are blocked because they have the path, client account and body of a crashing one, as all
/// requests to a model without a body.
#[test]
fn requests_that_share_their_path_are_told_apart() {
    for (nodes, servers, sound_gap) in [(7, 3, 400), (7, 6, 40), (82, 6, 10), (320, 6, 10)] {
        let traffic = Traffic {
            nodes,
            servers,
            sound_gap,
            shares_path: true,
            ..Traffic::default()
        };
        simulate(traffic, 950 + nodes as u64, 4);
    }
}

/// Guards against a path that is blocked because servers and whole failure domains are lost while all requests have it.
#[test]
fn losses_block_no_shared_path() {
    for (nodes, servers, sound_gap) in [(7, 6, 2000), (7, 6, 400), (7, 3, 40), (82, 6, 400)] {
        let traffic = Traffic {
            nodes,
            servers,
            sound_gap,
            has_crashing: false,
            shares_path: true,
            ..Traffic::default()
        };
        simulate(traffic, 980 + nodes as u64, 4);
    }
}
