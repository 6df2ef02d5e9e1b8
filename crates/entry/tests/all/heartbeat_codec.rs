//! Heartbeats with odd values among sound ones.

use jaysaddle_entry::heartbeat_codec::decode_heartbeat;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_wire::heartbeat::DigestMessage;
use jaysaddle_wire::heartbeat::EvacuationMessage;
use jaysaddle_wire::heartbeat::LeaseHandoverMessage;
use jaysaddle_wire::heartbeat::LeavingMessage;
use jaysaddle_wire::heartbeat::LimitMessage;
use jaysaddle_wire::heartbeat::NodeHeartbeat;
use jaysaddle_wire::heartbeat::WorkMessage;
use prost::Message;
use quickcheck::QuickCheck;

fn message() -> NodeHeartbeat {
    NodeHeartbeat {
        node: "peer".to_owned(),
        failure_domain: "a".to_owned(),
        caller_address: "10.0.0.2:80".to_owned(),
        peer_address: "10.0.0.2:81".to_owned(),
        phase: 1,
        ..NodeHeartbeat::default()
    }
}

fn leaving(server: &str) -> LeavingMessage {
    LeavingMessage {
        server: server.to_owned(),
        started: 1,
    }
}

fn work(model: &str) -> WorkMessage {
    WorkMessage {
        model: model.to_owned(),
        work_ms: 5,
    }
}

/// Guards against a peer that counts as gone because one of the many ids in its heartbeat is not valid.
#[test]
fn sound_items_are_used_beside_odd_ones() {
    let long = "n".repeat(1000);
    for odd in ["", "a\nb", "\u{0}", &long] {
        let heartbeat = NodeHeartbeat {
            leaving: vec![leaving("i-1"), leaving(odd), leaving("i-2")],
            work: vec![work("m-1"), work(odd), work("m-2")],
            evacuations: Some(EvacuationMessage {
                era: 1,
                revision: 1,
                domains: vec!["a".to_owned(), odd.to_owned(), "b".to_owned()],
            }),
            handover: Some(LeaseHandoverMessage {
                successor: odd.to_owned(),
                ..LeaseHandoverMessage::default()
            }),
            ..message()
        };
        let decoded = decode_heartbeat(&heartbeat.encode_to_vec()).expect("a heartbeat");
        assert_eq!(
            (decoded.leaving.len(), decoded.work.len()),
            (2, 2),
            "{odd:?}"
        );
        let evacuated = decoded.evacuations.expect("evacuations");
        assert_eq!(evacuated.domains.len(), 2, "{odd:?}");
        assert!(decoded.handover.is_none(), "{odd:?}");
    }
}

/// Guards against counts and times of a peer that overflow in sums over all peers.
#[test]
fn numbers_out_of_range_are_bounded() {
    let digest = DigestMessage {
        age_ms: u64::MAX,
        load_targets: vec![7],
        load_counts: vec![u32::MAX],
        late_counts: vec![u32::MAX],
        sent_servers: vec![7],
        sent_counts: vec![u32::MAX],
        ..DigestMessage::default()
    };
    let limit = LimitMessage {
        version: u64::MAX,
        sent: u32::MAX,
        age_ms: u64::MAX,
        ..LimitMessage::default()
    };
    let heartbeat = NodeHeartbeat {
        load_targets: vec![7],
        load_counts: vec![u32::MAX],
        late_counts: vec![u32::MAX],
        limits: vec![limit],
        digest: Some(digest),
        ..message()
    };
    let decoded = decode_heartbeat(&heartbeat.encode_to_vec()).expect("a heartbeat");
    let digest = decoded.digest.expect("a digest");
    // Sums over 4,096 peers fit into 32 bits.
    let counts = [
        decoded.loads[0].requests,
        decoded.loads[0].late,
        decoded.limits[0].sent,
        digest.loads[0].requests,
        digest.loads[0].late,
        digest.sent[0].requests,
    ];
    assert!(counts.iter().all(|count| *count <= 1 << 20), "{counts:?}");
    assert!(digest.age <= TimeSpan::from_secs(86_400));
    assert!(decoded.limits[0].version < u64::MAX);
}

/// Guards against a datagram that ends the process.
#[test]
fn damaged_heartbeats_are_errors_at_most() {
    fn check(places: Vec<(usize, u8)>, length: usize) -> bool {
        let heartbeat = NodeHeartbeat {
            leaving: vec![leaving("i-1")],
            work: vec![work("m-1")],
            digest: Some(DigestMessage::default()),
            ..message()
        };
        let mut bytes = heartbeat.encode_to_vec();
        for (place, byte) in places {
            let place = place % bytes.len();
            bytes[place] = byte;
        }
        bytes.truncate(length % (bytes.len() * 2) + 1);
        // Either outcome is fine; the test fails if decoding panics.
        let _ = decode_heartbeat(&bytes);
        true
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(check as fn(Vec<(usize, u8)>, usize) -> bool);
}
