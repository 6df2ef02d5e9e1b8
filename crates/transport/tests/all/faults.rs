//! Silent and broken connections, bad frames and floods.

use std::time::Duration;
use std::time::Instant;

use jaysaddle_transport::TransportCommand;
use jaysaddle_transport::TransportEvent;
use jaysaddle_transport::TransportSettings;
use jaysaddle_wire::ClusterKey;

use crate::support::Peer;
use crate::support::RawPeer;
use crate::support::encoded;
use crate::support::fast;
use crate::support::heartbeat;
use crate::support::listener;
use crate::support::message;

/// Guards against a connection that stays in use after it has gone silent for good.
#[test]
fn silent_connection_is_replaced() {
    let peer = Peer::start(fast());
    let (own, own_address) = listener();
    peer.send(own_address, 1);
    // The first connection is read but never answered, not even with heartbeats.
    let mut silent = RawPeer::accept(&own);
    assert_eq!(silent.read_message(), Some(message(1)));
    let started = Instant::now();
    peer.expect_failed(own_address);
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(silent.read_message(), None);
    peer.send(own_address, 2);
    let mut fresh = RawPeer::accept(&own);
    assert_eq!(fresh.read_message(), Some(message(2)));
    peer.stop();
}

/// Guards against a reconnect that keeps the old connection or loses later messages.
#[test]
fn reconnect_opens_a_new_connection() {
    let peer = Peer::start(fast());
    let (own, own_address) = listener();
    peer.send(own_address, 1);
    let mut old = RawPeer::accept(&own);
    assert_eq!(old.read_message(), Some(message(1)));
    peer.command(TransportCommand::Reconnect { to: own_address });
    peer.send(own_address, 2);
    let mut fresh = RawPeer::accept(&own);
    assert_eq!(fresh.read_message(), Some(message(2)));
    assert_eq!(old.read_message(), None);
    peer.stop();
}

/// Guards against a failed connection that membership does not hear of.
#[test]
fn refused_connection_is_reported() {
    let peer = Peer::start(fast());
    let (own, own_address) = listener();
    drop(own);
    peer.send(own_address, 1);
    peer.expect_failed(own_address);
    peer.stop();
}

/// Guards against bad frames that end the transport, stay connected or pass as messages.
#[test]
fn bad_frames_close_their_connection_only() {
    let peer = Peer::start(fast());
    let (_own, own_address) = listener();
    let greeting = encoded(heartbeat(Some(own_address)), crate::support::key());
    let mut other_version = encoded(message(1), crate::support::key());
    other_version[4] = 9;
    let mut altered = encoded(message(1), crate::support::key());
    let last = altered.len() - 1;
    altered[last] ^= 1;
    let cut = encoded(message(1), crate::support::key());
    let bad = [
        other_version,
        altered,
        cut[..cut.len() / 2].to_vec(),
        encoded(message(1), ClusterKey::new("other")),
        u32::MAX.to_be_bytes().to_vec(),
        b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n".to_vec(),
    ];
    for bytes in &bad {
        for greet in [false, true] {
            let mut raw = RawPeer::connect(peer.address());
            if greet {
                raw.write(&greeting);
            }
            raw.write(bytes);
            raw.finish_writing();
            assert_eq!(raw.read_message(), None, "{bytes:?}");
        }
    }
    // A valid message in the place of the greeting does not say who sends it.
    let mut raw = RawPeer::connect(peer.address());
    raw.send(message(1));
    assert_eq!(raw.read_message(), None);
    std::thread::sleep(Duration::from_millis(200));
    let is_message = |event: &TransportEvent| matches!(event, TransportEvent::Received { .. });
    assert!(!peer.events.try_iter().any(|event| is_message(&event)));
    let good = Peer::start(fast());
    good.send(peer.address(), 7);
    assert_eq!(peer.expect(7), good.address());
    good.stop();
    peer.stop();
}

/// Guards against a flood of half-open connections that fills the transport or keeps peers out.
#[test]
fn flood_of_half_open_connections_is_bounded() {
    let settings = TransportSettings {
        max_greeting: 16,
        ..fast()
    };
    let peer = Peer::start(settings);
    let mut flood: Vec<RawPeer> = (0..200).map(|_| RawPeer::connect(peer.address())).collect();
    let good = Peer::start(fast());
    good.send(peer.address(), 7);
    assert_eq!(peer.expect(7), good.address());
    // All but the last 16 are closed without waiting for the greeting timeout of 3 s.
    let started = Instant::now();
    for raw in flood.drain(..184) {
        let mut raw = raw;
        assert_eq!(raw.read(), None);
    }
    assert!(started.elapsed() < Duration::from_secs(2));
    // The rest is closed by the timeout.
    for raw in &mut flood {
        assert_eq!(raw.read(), None);
    }
    good.stop();
    peer.stop();
}

/// Guards against connections without bound, all of them with a valid key.
#[test]
fn number_of_connections_is_bounded() {
    let settings = TransportSettings {
        max_connections: 8,
        ..fast()
    };
    let peer = Peer::start(settings);
    let mut raws = Vec::new();
    for index in 0..20 {
        let mut raw = RawPeer::connect(peer.address());
        raw.send(heartbeat(Some(([127, 0, 0, 1], 20_000 + index).into())));
        raw.send(message(u64::from(index)));
        peer.expect(u64::from(index));
        raws.push(raw);
    }
    // Each new connection closed the one idle for longest.
    for raw in &mut raws[..12] {
        assert_eq!(raw.read_message(), None);
    }
    peer.send(([127, 0, 0, 1], 20_019).into(), 99);
    assert_eq!(raws[19].read_message(), Some(message(99)));
    peer.stop();
}

/// Guards against a queue that grows without bound when a peer takes no data.
#[test]
fn queue_for_a_stalled_peer_is_bounded() {
    let settings = TransportSettings {
        queue_frames: 4,
        ..fast()
    };
    let peer = Peer::start(settings);
    let (_own, own_address) = listener();
    let mut large = message(1);
    large.from_id = "x".repeat(1 << 20);
    for _ in 0..64 {
        let message = large.clone();
        let to = own_address;
        peer.command(TransportCommand::Send { to, message });
    }
    peer.expect_failed(own_address);
    peer.stop();
}
