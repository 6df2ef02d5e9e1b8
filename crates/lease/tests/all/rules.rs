//! Single rules of the lease table.

use std::collections::BTreeSet;

use jaysaddle_lease::LeaseEvent;

use crate::cluster::DEFAULT_SEED;
use crate::cluster::FakeCluster;
use crate::cluster::candidates;
use crate::cluster::node_key;
use crate::cluster::region_of;
use crate::cluster::shard_id;

/// Guards against leases held far from their VMs, and against polls by every node.
#[test]
fn shards_are_held_in_their_region_and_polled_by_few_nodes() {
    let (nodes, shards) = (20, 10);
    let mut cluster = FakeCluster::new(DEFAULT_SEED, nodes, shards);
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
    // Each minute and shard: 60 / 2.6 renewals, and two nodes that poll about every 3 s.
    assert!((20 * shards..=28 * shards).contains(&writes), "{writes}");
    assert!((36 * shards..=46 * shards).contains(&reads), "{reads}");
}

/// Guards against a planned stop that leaves shards without a holder until the lease runs out.
#[test]
fn a_planned_release_hands_over_at_once() {
    let nodes = 6;
    for seed in 0..50 {
        let mut cluster = FakeCluster::new(seed, nodes, 4);
        cluster.run_until(20_000);
        let leaver = cluster.holders(&shard_id(0))[0];
        cluster.send(leaver, LeaseEvent::Release);
        cluster.run_until(20_100);
        assert!(!cluster.holders(&shard_id(0)).contains(&leaver));
        let others: Vec<usize> = (0..nodes).filter(|&node| node != leaver).collect();
        for &node in &others {
            let places = candidates(others.clone());
            cluster.send(node, LeaseEvent::CandidatesChanged(places));
        }
        cluster.run_until(22_500);
        for shard in 0..4 {
            let holders = cluster.holders(&shard_id(shard));
            assert_eq!(holders.len(), 1, "seed {seed} shard {shard}: {holders:?}");
        }
        assert_eq!(cluster.violation, None);
    }
}

/// Guards against a release that is forgotten because a renewal was under way or the store was down.
#[test]
fn a_release_outlasts_faults_of_the_store() {
    for seed in 0..200 {
        let mut cluster = FakeCluster::new(seed, 3, 1);
        cluster.run_until(20_000 + seed * 17);
        let shard = shard_id(0);
        let leaver = cluster.holders(&shard)[0];
        cluster.faults.slow_until = cluster.now + 2_000;
        cluster.faults.lossy_until = cluster.now + 3_000;
        cluster.run_until(cluster.now + seed * 7);
        cluster.send(leaver, LeaseEvent::Release);
        cluster.run_until(cluster.now + 20_000);
        let stored = cluster.stored(&shard).expect("the lease exists");
        assert_ne!(stored.holder, Some(node_key(leaver)), "seed {seed}");
        assert!(!cluster.holders(&shard).contains(&leaver), "seed {seed}");
        assert_eq!(cluster.violation, None, "seed {seed}");
    }
}

/// Guards against all nodes calling the store at the moment of its return, and against shards that
/// wait for long although the store is back.
#[test]
fn calls_are_spread_after_an_outage() {
    let mut cluster = FakeCluster::new(DEFAULT_SEED, 20, 50);
    cluster.run_until(20_000);
    cluster.faults.down_until = 80_000;
    cluster.run_until(80_000);
    cluster.calls.clear();
    cluster.run_until(86_000);
    let is_held = |shard: &usize| cluster.holders(&shard_id(*shard)).len() == 1;
    assert_eq!((0..50).filter(is_held).count(), 50, "held again after 6 s");
    cluster.run_until(90_000);
    let in_slot = |slot: u64| {
        let range = 80_000 + slot * 250..80_250 + slot * 250;
        cluster
            .calls
            .iter()
            .filter(|call| range.contains(&call.0))
            .count()
    };
    let counts: Vec<usize> = (0..40).map(in_slot).collect();
    // 50 shards with 3 nodes each every 3 s are 12.5 calls in 250 ms.
    assert!(counts.iter().all(|count| *count <= 40), "{counts:?}");
}

/// Guards against an object that cannot be read being overwritten, which could lower the epoch.
#[test]
fn an_unreadable_lease_is_reported_and_left_alone() {
    let mut cluster = FakeCluster::new(DEFAULT_SEED, 3, 1);
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
fn explanations_name_holder_time_and_role() {
    let mut cluster = FakeCluster::new(DEFAULT_SEED, 3, 1);
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
