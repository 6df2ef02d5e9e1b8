//! Tests of the table of peers.

use jaysaddle_fleet::peers::PEER_TIMEOUT;
use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerLoad;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::units::ProcessorShare;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

fn heartbeat(node: &str, incarnation: u64, loads: &[(u32, u32)]) -> PeerHeartbeat {
    PeerHeartbeat {
        node: NodeId::new(node),
        incarnation: Incarnation(incarnation),
        failure_domain: FailureDomainId::new("a"),
        caller_address: "10.0.0.1:80".parse().expect("address"),
        peer_address: "10.0.0.1:81".parse().expect("address"),
        phase: PeerPhase::Serving,
        config_version: 1,
        table_age: TimeSpan(0),
        is_store_unreachable: false,
        claim: None,
        handover: None,
        loads: loads
            .iter()
            .map(|(target, requests)| PeerLoad {
                target: *target,
                requests: *requests,
                late: 0,
                unread: 0,
            })
            .collect(),
        stalled_targets: vec![7],
        work: Vec::new(),
        target_changes: 0,
        closed_targets: vec![8],
        unserved: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
        crash_facts: Vec::new(),
        content_blocks: Vec::new(),
        usage: Vec::new(),
        processor: ProcessorShare(250),
        table_version: 0,
        is_relay: false,
        digest: None,
        store_era: StoreEra(1),
        latest_term: LeaseEpoch(1),
        evacuations: None,
    }
}

#[test]
fn loads_of_peers_are_summed() {
    let mut peers = PeerTable::default();
    peers.record_heartbeat(heartbeat("a", 1, &[(1, 2), (3, 1)]), Timestamp(100));
    peers.record_heartbeat(heartbeat("b", 1, &[(1, 5)]), Timestamp(100));
    assert_eq!(peers.load_of(1), 7);
    assert_eq!(peers.load_of(3), 1);
    assert!(peers.is_stalled(7) && peers.is_closed(8));
}

/// Guards against counting the load of a failed peer, which would keep requests away from free groups indefinitely.
#[test]
fn unreachable_peer_is_excluded_from_totals() {
    let mut peers = PeerTable::default();
    peers.record_heartbeat(heartbeat("a", 1, &[(1, 2)]), Timestamp(100));
    let later = Timestamp(100) + PEER_TIMEOUT;
    peers.tick(false, later);
    assert_eq!(peers.load_of(1), 0);
    assert_eq!(peers.live(later).count(), 0);
    assert!(!peers.is_closed(8));
}

/// Guards against a delayed datagram from a peer's earlier incarnation.
#[test]
fn heartbeat_of_earlier_incarnation_is_ignored() {
    let mut peers = PeerTable::default();
    peers.record_heartbeat(heartbeat("a", 2, &[(1, 2)]), Timestamp(100));
    peers.record_heartbeat(heartbeat("a", 1, &[(1, 9)]), Timestamp(200));
    assert_eq!(peers.load_of(1), 2);
}

/// Guards against a node that takes its own pause for the silence of its peers: it would list no other node, become a relay, and have
/// no part of what all nodes share, until it has read its socket.
#[test]
fn peers_are_live_after_a_pause_of_this_node_until_they_are_silent_again() {
    let mut peers = PeerTable::default();
    for time in (1000..3000).step_by(200) {
        for node in ["a", "b", "c"] {
            peers.record_heartbeat(heartbeat(node, 1, &[(1, 2)]), Timestamp(time));
        }
        peers.tick(false, Timestamp(time));
    }
    let woken = Timestamp(8800);
    assert_eq!(peers.heard(woken).count(), 3);
    peers.record_heartbeat(heartbeat("a", 1, &[(1, 1)]), woken);
    for time in (8800..9300).step_by(200) {
        peers.tick(false, Timestamp(time));
        let now = Timestamp(time);
        assert_eq!(
            (peers.live(now).count(), peers.load_of(1)),
            (3, 5),
            "{now:?}"
        );
        assert_eq!(peers.recently_serving(now).count(), 3);
        assert!(peers.usage(&[], now).is_some());
    }
    for time in (9600..10_400).step_by(200) {
        peers.record_heartbeat(heartbeat("a", 1, &[(1, 1)]), Timestamp(time));
        peers.tick(false, Timestamp(time));
    }
    assert_eq!(peers.live(Timestamp(10_300)).count(), 1);
    assert_eq!(
        peers.get(&NodeId::new("b")).map(|peer| peer.received),
        Some(Timestamp(2800))
    );
}
