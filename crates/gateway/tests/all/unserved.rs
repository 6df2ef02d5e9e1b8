//! Recognition of requests that callers send again.

use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_gateway::unserved::RequestFingerprint;
use jaysaddle_gateway::unserved::UnservedRequests;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::fixture::heartbeat;

/// Peers of a node as they are after a heartbeat of `unserved`, sent at `sent` and received at `received`.
fn peers_after(unserved: &UnservedRequests, sent: u64, received: u64) -> PeerTable {
    let mut peers = PeerTable::default();
    let message = PeerHeartbeat {
        unserved: unserved.announced(Timestamp(sent)),
        ..heartbeat()
    };
    peers.record_heartbeat(message, Timestamp(received));
    peers
}

/// Guards against retries that count as new requests, which delay requests that can still be on time: a caller that was
/// refused at one node sends the request to another one, with its remaining time.
#[test]
fn refused_request_is_recognized_at_another_node() {
    let fingerprint = RequestFingerprint::of(&("/a/", "prompt"));
    let mut refusing = UnservedRequests::default();
    refusing.record(fingerprint, Timestamp(6000), Timestamp(100));
    let peers = peers_after(&refusing, 250, 255);
    let other = UnservedRequests::default();
    let deadline = Timestamp(6004);
    assert!(other.is_retry(fingerprint, deadline, &peers, Timestamp(400)));
    assert!(refusing.is_retry(fingerprint, deadline, &PeerTable::default(), Timestamp(400)));
}

/// Guards against new requests that count as retries: those with another content, and those with the same content but
/// a deadline of their own, such as the next request of a session.
#[test]
fn similar_requests_are_no_retries() {
    let fingerprint = RequestFingerprint::of(&("/a/", "prompt"));
    let mut unserved = UnservedRequests::default();
    unserved.record(fingerprint, Timestamp(6000), Timestamp(100));
    let peers = peers_after(&unserved, 250, 255);
    let now = Timestamp(400);
    let content = RequestFingerprint::of(&("/a/", "another prompt"));
    assert!(!unserved.is_retry(content, Timestamp(6000), &peers, now));
    assert!(!unserved.is_retry(fingerprint, Timestamp(6400), &peers, now));
}

/// Guards against memory and heartbeats that grow with the number of refusals.
#[test]
fn announced_attempts_are_bounded_and_expire() {
    let mut unserved = UnservedRequests::default();
    for number in 0..100_000u32 {
        unserved.record(RequestFingerprint(number), Timestamp(8000), Timestamp(1000));
    }
    let announced = unserved.announced(Timestamp(1100));
    assert!(!announced.is_empty() && announced.len() <= 64);
    assert_eq!(announced[0].fingerprint, 99_999);
    assert_eq!(announced[0].time_left, TimeSpan(6900));
    assert!(unserved.announced(Timestamp(5000)).is_empty());
}
