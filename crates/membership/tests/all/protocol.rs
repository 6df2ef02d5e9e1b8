//! Protocol behavior in specific scenarios.

use jaysaddle_membership::MembershipEffect;
use jaysaddle_membership::MembershipEvent;
use jaysaddle_membership::RumorBody;
use jaysaddle_types::ids::DocumentName;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::units::Timestamp;

use crate::network::FakeNetwork;
use crate::network::NetworkSettings;
use crate::network::key;

fn cluster(count: usize, seed: u64) -> FakeNetwork {
    let settings = NetworkSettings {
        seed,
        ..NetworkSettings::default()
    };
    let mut network = FakeNetwork::with_nodes(settings, count);
    let joined = network.run_until(60_000, |network| network.disagreement().is_none());
    assert!(joined.is_some(), "{:?}", network.disagreement());
    // Waits until the rumors from the start are no longer transmitted.
    network.run(20_000);
    network
}

fn clear_changes(network: &mut FakeNetwork) {
    for fake in &mut network.nodes {
        fake.changes.clear();
    }
}

fn changes_to(network: &FakeNetwork, subject: usize, state: NodeState) -> usize {
    let subject = key(subject, 1);
    let changes = network.nodes.iter().flat_map(|fake| &fake.changes);
    changes
        .filter(|(key, seen, _)| *key == subject && *seen == state)
        .count()
}

/// Guards against considering a peer dead because its connection has stalled.
#[test]
fn stalled_connection_is_replaced_before_suspicion() {
    let mut network = cluster(3, 11);
    clear_changes(&mut network);
    for peer in 0..3 {
        network.stalled.insert((peer, 2));
    }
    network.run(10_000);
    assert!(network.nodes[0].reconnects > 0);
    assert_eq!(changes_to(&network, 2, NodeState::Suspect), 0);
}

/// Guards against suspecting a peer that only this node cannot reach.
#[test]
fn indirect_probe_prevents_suspicion_over_broken_route() {
    let mut network = cluster(5, 12);
    clear_changes(&mut network);
    network.blocked.insert((0, 1));
    network.blocked.insert((1, 0));
    network.run(30_000);
    assert_eq!(changes_to(&network, 1, NodeState::Suspect), 0);
    assert_eq!(changes_to(&network, 0, NodeState::Suspect), 0);
}

/// Guards against a killed node that stays in the view.
#[test]
fn killed_node_is_dead_on_all_nodes_within_15_s() {
    let mut network = cluster(20, 13);
    network.kill(7);
    let time = network.run_until(15_000, |network| network.disagreement().is_none());
    assert!(time.is_some(), "{:?}", network.disagreement());
}

/// Guards against the death of a node that was paused for less than the suspicion timeout.
#[test]
fn paused_node_refutes_suspicion() {
    let mut network = cluster(8, 14);
    clear_changes(&mut network);
    network.pause(3);
    let suspected = network.run_until(30_000, |network| {
        network.observed_state(0, 3) == Some(NodeState::Suspect)
    });
    assert!(suspected.is_some());
    network.resume(3);
    network.run(20_000);
    assert_eq!(changes_to(&network, 3, NodeState::Dead), 0);
    assert_eq!(network.disagreement(), None);
}

/// Guards against deaths caused by message loss of 5%.
#[test]
fn message_loss_causes_no_deaths() {
    let mut network = cluster(40, 26);
    clear_changes(&mut network);
    network.settings.loss_permille = 50;
    network.settings.delay_ms = (1, 120);
    network.run(600_000);
    for subject in 0..40 {
        assert_eq!(changes_to(&network, subject, NodeState::Dead), 0);
    }
}

/// Guards against a node that resumes after a pause and considers all others dead.
#[test]
fn resumed_node_declares_no_peer_dead() {
    let mut network = cluster(8, 15);
    clear_changes(&mut network);
    network.pause(3);
    network.run(60_000);
    network.resume(3);
    network.run(20_000);
    let declared = network.nodes[3].changes.iter();
    let dead = declared.filter(|(_, state, _)| *state == NodeState::Dead);
    assert_eq!(dead.count(), 0);
    assert_eq!(network.disagreement(), None);
}

/// Guards against halves of a partition that do not reconnect, and against
/// live nodes that are declared dead in their own half when it heals. An hour is the
/// longest expected partition.
#[test]
fn partition_heals_after_an_hour() {
    let mut network = cluster(20, 16);
    network.partition(|node| u32::from(node % 2 == 1));
    network.run(3_600_000);
    assert_eq!(network.observed_state(0, 1), None);
    clear_changes(&mut network);
    network.partition(|_| 0);
    let time = network.run_until(120_000, |network| network.disagreement().is_none());
    assert!(time.is_some(), "{:?}", network.disagreement());
    for subject in 0..20 {
        let subject_key = key(subject, 1);
        for observer in (0..20).filter(|observer| observer % 2 == subject % 2) {
            let changes = &network.nodes[observer].changes;
            let died = changes
                .iter()
                .any(|(key, state, _)| *key == subject_key && *state == NodeState::Dead);
            assert!(
                !died,
                "node {observer} considered node {subject} of its own half dead"
            );
        }
    }
}

/// Guards against live nodes that are declared dead in their own half when a partition heals while
/// the records of the deaths are still retained.
#[test]
fn partition_heals_without_deaths() {
    let mut network = cluster(20, 17);
    network.partition(|node| u32::from(node >= 10));
    network.run(120_000);
    assert_eq!(network.observed_state(0, 15), Some(NodeState::Dead));
    assert!(network.nodes[0].tracker.reachable_permille(now(&network)) < 600);
    clear_changes(&mut network);
    network.partition(|_| 0);
    let time = network.run_until(60_000, |network| network.disagreement().is_none());
    assert!(time.is_some(), "{:?}", network.disagreement());
    for subject in 0..20 {
        assert_eq!(changes_to(&network, subject, NodeState::Dead), 0);
    }
}

/// Guards against halves that reconnect only through their seeds, which may no longer exist because
/// all VMs are replaced over time.
#[test]
fn partition_heals_after_an_hour_without_seeds() {
    let mut network = cluster(20, 21);
    network.kill(0);
    network.kill(1);
    network.partition(|node| u32::from(node >= 10));
    network.run(3_600_000);
    assert_eq!(network.observed_state(2, 12), None);
    network.partition(|_| 0);
    let time = network.run_until(120_000, |network| network.disagreement().is_none());
    assert!(time.is_some(), "{:?}", network.disagreement());
}

/// Guards against a node that resumes and declares a suspect dead before reading its refutation.
#[test]
fn suspicion_does_not_expire_during_a_pause() {
    let mut network = cluster(8, 22);
    clear_changes(&mut network);
    network.pause(4);
    let suspected = network.run_until(30_000, |network| {
        network.observed_state(3, 4) == Some(NodeState::Suspect)
    });
    assert!(suspected.is_some());
    network.pause(3);
    network.resume(4);
    // Longer than the suspicion timeout.
    network.run(6000);
    network.resume(3);
    network.run(10_000);
    assert_eq!(changes_to(&network, 4, NodeState::Dead), 0);
}

/// Guards against losing a rumor when all its transmissions are lost.
#[test]
fn anti_entropy_recovers_lost_rumor() {
    let mut network = cluster(8, 23);
    network.settings.loss_permille = 1000;
    publish_documents(&mut network, 5, 7);
    network.run(1500);
    network.settings.loss_permille = 0;
    network.run(30_000);
    assert_eq!(receiver_count(&network, 5, 7), 7);
}

/// Guards against a joining node that does not receive older facts.
#[test]
fn joining_node_receives_old_facts() {
    let mut network = cluster(8, 24);
    publish_documents(&mut network, 5, 7);
    network.run(60_000);
    let late = network.add_node();
    network.run(5000);
    assert_eq!(network.nodes[late].rumors.len(), 1);
}

/// Guards against a join that sends the complete state to all nodes. Only the joining node receives
/// it, once.
#[test]
fn join_traffic_is_proportional_to_change() {
    let mut network = cluster(40, 25);
    let baseline = bytes_in_30_s(&mut network);
    let late = network.add_node();
    let join = bytes_in_30_s(&mut network);
    let per_node = join.saturating_sub(baseline) / 40;
    // One claim of about 110 bytes, sent at most 2 * 6 times, and a share of one transfer
    // of the state.
    assert!(per_node < 2500, "{per_node} bytes per node");
    assert!(network.nodes[late].bytes_received < 20_000);
    assert_eq!(network.disagreement(), None);
}

fn bytes_in_30_s(network: &mut FakeNetwork) -> u64 {
    let sent = |network: &FakeNetwork| {
        network
            .nodes
            .iter()
            .map(|fake| fake.bytes_sent)
            .sum::<u64>()
    };
    let before = sent(network);
    network.run(30_000);
    sent(network) - before
}

fn publish_documents(network: &mut FakeNetwork, node: usize, version: u64) {
    let versions = vec![(DocumentName::new("rules"), ObjectVersion(version))];
    let body = RumorBody::Documents(versions);
    network.step(node, MembershipEvent::Publish(body));
}

fn receiver_count(network: &FakeNetwork, origin: usize, version: u64) -> usize {
    let versions = vec![(DocumentName::new("rules"), ObjectVersion(version))];
    let rumor = (key(origin, 1), RumorBody::Documents(versions));
    let fakes = network.nodes.iter();
    fakes.filter(|fake| fake.rumors.contains(&rumor)).count()
}

fn now(network: &FakeNetwork) -> Timestamp {
    Timestamp(network.now)
}

/// Guards against a node that does not detect its isolation, at a size where a round of
/// probes takes long.
#[test]
fn isolated_node_detects_isolation_within_20_s() {
    let mut network = cluster(60, 18);
    assert_eq!(
        network.nodes[5].tracker.reachable_permille(now(&network)),
        1000
    );
    network.partition(|node| u32::from(node == 5));
    network.run(20_000);
    assert!(network.nodes[5].tracker.reachable_permille(now(&network)) < 300);
    assert!(network.nodes[6].tracker.reachable_permille(now(&network)) > 800);
}

/// Guards against accepting messages of a superseded run, which may still be running.
#[test]
fn superseded_run_stays_dead() {
    let mut network = cluster(5, 19);
    let old_run = network.nodes[4].tracker.clone();
    network.kill(4);
    network.restart(4);
    network.run(20_000);
    assert_eq!(network.disagreement(), None);
    let mut old_run = old_run;
    for _ in 0..100 {
        let time = now(&network);
        for effect in old_run.step(MembershipEvent::Tick, time) {
            if let MembershipEffect::Send { message, .. } = effect {
                network.step(0, MembershipEvent::Received(message));
            }
        }
        network.run(100);
    }
    for observer in 0..4 {
        let tracker = &network.nodes[observer].tracker;
        let state = tracker.record(&key(4, 1)).map(|(_, state)| state);
        assert_eq!(state, Some(NodeState::Dead));
    }
    assert_eq!(network.disagreement(), None);
}

/// Guards against treating a planned stop as a failure, and against losing the handover.
#[test]
fn leaving_node_hands_over_and_is_removed() {
    let mut network = cluster(8, 20);
    network.step(2, MembershipEvent::Leave);
    network.run(5000);
    for observer in 0..8 {
        assert_eq!(
            network.observed_state(observer, 2),
            Some(NodeState::Leaving)
        );
    }
    let handover = RumorBody::Handover(key(3, 1));
    network.step(2, MembershipEvent::Publish(handover));
    network.run(5000);
    network.step(2, MembershipEvent::Stop);
    network.run(100);
    network.kill(2);
    network.run(5000);
    let late = network.add_node();
    network.run(30_000);
    for observer in [0, 3, late] {
        let tracker = &network.nodes[observer].tracker;
        assert_eq!(network.observed_state(observer, 2), Some(NodeState::Dead));
        assert_eq!(tracker.ledger_successor(&key(2, 1)), Some(&key(3, 1)));
        assert_eq!(tracker.reachable_permille(now(&network)), 1000);
    }
    // Records and facts of a run that has been dead for longer than the retention are removed
    // on all nodes.
    network.run(700_000);
    for observer in [0, 3, late] {
        assert_eq!(network.observed_state(observer, 2), None);
        assert_eq!(
            network.nodes[observer].tracker.ledger_successor(&key(2, 1)),
            None
        );
    }
}
