//! Rules of the lease table, tested one by one on a simulated cluster.

use std::collections::BTreeSet;

use jaysaddle_lease::LeaseEvent;

use crate::cluster::DEFAULT_SEED;
use crate::cluster::SimulatedCluster;
use crate::cluster::candidates;
use crate::cluster::node_key;
use crate::cluster::region_of;
use crate::cluster::shard_id;

/// Guards against leases that are held outside the region of their VMs, and against polls
/// by every node.
#[test]
fn shards_are_held_in_their_region_and_polled_by_few_nodes() {
    let (nodes, shards) = (20, 10);
    let mut cluster = SimulatedCluster::new(DEFAULT_SEED, nodes, shards);
    cluster.run_until(10_000);
    for shard in 0..shards {
        let holders = cluster.holders(&shard_id(shard));
        assert_eq!(holders.len(), 1, "shard {shard}: {holders:?}");
        assert_eq!(region_of(holders[0]), region_of(shard));
    }
    cluster.calls.clear();
    cluster.run_until(70_000);
    let writes = cluster.calls.iter().filter(|call| call.1).count();
    let reads = cluster.calls.len() - writes;
    // Per shard and minute: 60 / 2.6 renewals, and reads by two nodes that poll about every 3 s.
    assert!((20 * shards..=28 * shards).contains(&writes), "{writes}");
    assert!((36 * shards..=46 * shards).contains(&reads), "{reads}");
}

/// Guards against a planned stop that leaves shards without a holder until the lease expires.
#[test]
fn planned_release_hands_over_immediately() {
    let nodes = 6;
    for seed in 0..50 {
        let mut cluster = SimulatedCluster::new(seed, nodes, 4);
        cluster.run_until(20_000);
        let stopping_node = cluster.holders(&shard_id(0))[0];
        cluster.send(stopping_node, LeaseEvent::Release);
        cluster.run_until(20_100);
        assert!(!cluster.holders(&shard_id(0)).contains(&stopping_node));
        let others: Vec<usize> = (0..nodes).filter(|&node| node != stopping_node).collect();
        for &node in &others {
            let locations = candidates(others.clone());
            cluster.send(node, LeaseEvent::CandidatesChanged(locations));
        }
        cluster.run_until(22_500);
        for shard in 0..4 {
            let holders = cluster.holders(&shard_id(shard));
            assert_eq!(holders.len(), 1, "seed {seed} shard {shard}: {holders:?}");
        }
        assert_eq!(cluster.violation, None);
    }
}

/// Guards against a release that is lost because a renewal was in flight or the store was faulty.
#[test]
fn release_completes_despite_store_faults() {
    for seed in 0..200 {
        let mut cluster = SimulatedCluster::new(seed, 3, 1);
        cluster.run_until(20_000 + seed * 17);
        let shard = shard_id(0);
        let stopping_node = cluster.holders(&shard)[0];
        cluster.faults.slow_until = cluster.now + 2_000;
        cluster.faults.lossy_until = cluster.now + 3_000;
        cluster.run_until(cluster.now + seed * 7);
        cluster.send(stopping_node, LeaseEvent::Release);
        cluster.run_until(cluster.now + 20_000);
        let stored = cluster.stored(&shard).expect("the lease exists");
        assert_ne!(stored.holder, Some(node_key(stopping_node)), "seed {seed}");
        assert!(
            !cluster.holders(&shard).contains(&stopping_node),
            "seed {seed}"
        );
        assert_eq!(cluster.violation, None, "seed {seed}");
    }
}

/// Guards against a burst of calls from all nodes when the store recovers, and against shards that
/// stay without a holder for long after the recovery.
#[test]
fn store_calls_are_spread_after_an_outage() {
    let mut cluster = SimulatedCluster::new(DEFAULT_SEED, 20, 50);
    cluster.run_until(20_000);
    cluster.faults.down_until = 80_000;
    cluster.run_until(80_000);
    cluster.calls.clear();
    cluster.run_until(86_000);
    let is_held = |shard: &usize| cluster.holders(&shard_id(*shard)).len() == 1;
    assert_eq!(
        (0..50).filter(is_held).count(),
        50,
        "shards held 6 s after the recovery"
    );
    cluster.run_until(90_000);
    let calls_in_slot = |slot: u64| {
        let range = 80_000 + slot * 250..80_250 + slot * 250;
        cluster
            .calls
            .iter()
            .filter(|call| range.contains(&call.0))
            .count()
    };
    let counts: Vec<usize> = (0..40).map(calls_in_slot).collect();
    // 50 shards with 3 candidates each that call every 3 s make 12.5 calls in 250 ms.
    assert!(counts.iter().all(|count| *count <= 40), "{counts:?}");
}

/// Guards against overwriting a lease object that cannot be decoded, which could
/// decrease the epoch.
#[test]
fn undecodable_lease_is_reported_and_not_overwritten() {
    let mut cluster = SimulatedCluster::new(DEFAULT_SEED, 3, 1);
    cluster.run_until(10_000);
    let shard = shard_id(0);
    cluster.overwrite(&shard, "{\"holder\":");
    cluster.run_until(60_000);
    assert_eq!(cluster.holders(&shard), [] as [usize; 0]);
    assert_eq!(cluster.stored(&shard), None);
    let explained: BTreeSet<bool> = cluster
        .nodes
        .iter()
        .map(|node| {
            node.table
                .explain(&shard)
                .join(" ")
                .contains("is not a lease")
        })
        .collect();
    assert_eq!(explained, BTreeSet::from([true]));
}

/// Guards against explanations that lack the holder, the remaining time or the role of this node.
#[test]
fn explanations_contain_holder_time_and_role() {
    let mut cluster = SimulatedCluster::new(DEFAULT_SEED, 3, 1);
    cluster.run_until(10_000);
    let shard = shard_id(0);
    let holder = cluster.holders(&shard)[0];
    let text = |node: usize| cluster.nodes[node].table.explain(&shard).join(" ");
    let name = format!("held by node-{holder}/1 with epoch 1");
    assert!(text(holder).contains(&name), "{}", text(holder));
    assert!(
        text(holder).contains("This node holds it"),
        "{}",
        text(holder)
    );
    let other = (holder + 1) % 3;
    assert!(text(other).contains("it takes over in"), "{}", text(other));
}
