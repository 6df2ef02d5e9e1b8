//! Stalled and broken connections, invalid frames and connection floods.

use std::time::Duration;
use std::time::Instant;

use jaysaddle_transport::TransportCommand;
use jaysaddle_transport::TransportEvent;
use jaysaddle_transport::TransportSettings;
use jaysaddle_wire::ClusterKey;

use crate::support::Peer;
use crate::support::RawPeer;
use crate::support::encoded;
use crate::support::heartbeat;
use crate::support::listener;
use crate::support::message;
use crate::support::test_settings;

/// Guards against a connection that stays in use although the peer no longer sends anything.
#[test]
fn unresponsive_connection_is_replaced() {
    let peer = Peer::start(test_settings());
    let (own_listener, own_address) = listener();
    peer.send(own_address, 1);
    // The peer reads from the first connection but sends nothing, not even heartbeats.
    let mut unresponsive = RawPeer::accept(&own_listener);
    assert_eq!(unresponsive.read_message(), Some(message(1)));
    let started = Instant::now();
    peer.expect_failure(own_address);
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(unresponsive.read_message(), None);
    peer.send(own_address, 2);
    let mut replacement = RawPeer::accept(&own_listener);
    assert_eq!(replacement.read_message(), Some(message(2)));
    peer.stop();
}

/// Guards against a reconnect that keeps the old connection or loses later messages.
#[test]
fn reconnect_opens_a_new_connection() {
    let peer = Peer::start(test_settings());
    let (own_listener, own_address) = listener();
    peer.send(own_address, 1);
    let mut old = RawPeer::accept(&own_listener);
    assert_eq!(old.read_message(), Some(message(1)));
    peer.command(TransportCommand::Reconnect { to: own_address });
    peer.send(own_address, 2);
    let mut replacement = RawPeer::accept(&own_listener);
    assert_eq!(replacement.read_message(), Some(message(2)));
    assert_eq!(old.read_message(), None);
    peer.stop();
}

/// Guards against a failed connection that is not reported to membership.
#[test]
fn refused_connection_is_reported() {
    let peer = Peer::start(test_settings());
    let (own_listener, own_address) = listener();
    drop(own_listener);
    peer.send(own_address, 1);
    peer.expect_failure(own_address);
    peer.stop();
}

/// Guards against invalid frames that stop the transport, leave their connection open or are
/// delivered as messages.
#[test]
fn invalid_frames_close_only_their_connection() {
    let peer = Peer::start(test_settings());
    let (_listener, own_address) = listener();
    let handshake = encoded(heartbeat(Some(own_address)), crate::support::key());
    let mut other_version = encoded(message(1), crate::support::key());
    other_version[4] = 9;
    let mut altered = encoded(message(1), crate::support::key());
    let last = altered.len() - 1;
    altered[last] ^= 1;
    let truncated = encoded(message(1), crate::support::key());
    let invalid = [
        other_version,
        altered,
        truncated[..truncated.len() / 2].to_vec(),
        encoded(message(1), ClusterKey::new("other")),
        u32::MAX.to_be_bytes().to_vec(),
        b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n".to_vec(),
    ];
    for bytes in &invalid {
        for with_handshake in [false, true] {
            let mut raw = RawPeer::connect(peer.address());
            if with_handshake {
                raw.write(&handshake);
            }
            raw.write(bytes);
            raw.finish_writing();
            assert_eq!(raw.read_message(), None, "{bytes:?}");
        }
    }
    // A valid message instead of the first heartbeat does not identify its sender.
    let mut raw = RawPeer::connect(peer.address());
    raw.send(message(1));
    assert_eq!(raw.read_message(), None);
    std::thread::sleep(Duration::from_millis(200));
    let is_message = |event: &TransportEvent| matches!(event, TransportEvent::Received { .. });
    assert!(!peer.events.try_iter().any(|event| is_message(&event)));
    let valid_peer = Peer::start(test_settings());
    valid_peer.send(peer.address(), 7);
    assert_eq!(peer.expect(7), valid_peer.address());
    valid_peer.stop();
    peer.stop();
}

/// Guards against a flood of half-open connections that exhausts the transport or locks out peers.
#[test]
fn half_open_connections_are_bounded() {
    let settings = TransportSettings {
        max_pending_handshakes: 16,
        ..test_settings()
    };
    let peer = Peer::start(settings);
    let mut flood: Vec<RawPeer> = (0..200).map(|_| RawPeer::connect(peer.address())).collect();
    let valid_peer = Peer::start(test_settings());
    valid_peer.send(peer.address(), 7);
    assert_eq!(peer.expect(7), valid_peer.address());
    // All but the last 16 are closed without waiting for the handshake timeout of 3 s.
    let started = Instant::now();
    for raw in flood.drain(..184) {
        let mut raw = raw;
        assert_eq!(raw.read(), None);
    }
    assert!(started.elapsed() < Duration::from_secs(2));
    // The others are closed by the handshake timeout.
    for raw in &mut flood {
        assert_eq!(raw.read(), None);
    }
    valid_peer.stop();
    peer.stop();
}

/// Guards against an unbounded number of connections from peers with a valid key.
#[test]
fn number_of_connections_is_bounded() {
    let settings = TransportSettings {
        max_connections: 8,
        ..test_settings()
    };
    let peer = Peer::start(settings);
    let mut peers = Vec::new();
    for index in 0..20 {
        let mut raw = RawPeer::connect(peer.address());
        raw.send(heartbeat(Some(([127, 0, 0, 1], 20_000 + index).into())));
        raw.send(message(u64::from(index)));
        peer.expect(u64::from(index));
        peers.push(raw);
    }
    // Each new connection replaced the one that had been idle longest.
    for raw in &mut peers[..12] {
        assert_eq!(raw.read_message(), None);
    }
    peer.send(([127, 0, 0, 1], 20_019).into(), 99);
    assert_eq!(peers[19].read_message(), Some(message(99)));
    peer.stop();
}

/// Guards against a queue that grows without bound when a peer reads no data.
#[test]
fn queue_for_a_stalled_peer_is_bounded() {
    let settings = TransportSettings {
        queue_frames: 4,
        ..test_settings()
    };
    let peer = Peer::start(settings);
    let (_listener, own_address) = listener();
    let mut large = message(1);
    large.from_id = "x".repeat(1 << 20);
    for _ in 0..64 {
        let message = large.clone();
        let to = own_address;
        peer.command(TransportCommand::Send { to, message });
    }
    peer.expect_failure(own_address);
    peer.stop();
}
