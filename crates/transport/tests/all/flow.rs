//! Message delivery, heartbeats and idle connections.

use std::time::Duration;
use std::time::Instant;

use jaysaddle_transport::TransportCommand;
use jaysaddle_transport::TransportEvent;
use jaysaddle_transport::TransportSettings;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_wire::messages::PeerBody;

use crate::support::Peer;
use crate::support::RawPeer;
use crate::support::heartbeat;
use crate::support::listener;
use crate::support::message;
use crate::support::test_settings;

/// Guards against lost or reordered messages, and against a sender that is identified by the
/// ephemeral port of its connection.
#[test]
fn messages_arrive_in_order_with_listen_address() {
    let left = Peer::start(test_settings());
    let right = Peer::start(test_settings());
    for nonce in 0..200 {
        left.send(right.address(), nonce);
    }
    for nonce in 0..200 {
        assert_eq!(right.expect(nonce), left.address());
    }
    right.send(left.address(), 1000);
    assert_eq!(left.expect(1000), right.address());
    left.stop();
    right.stop();
}

/// Guards against a second connection for the reply, which doubles the cost of a probe.
#[test]
fn reply_uses_connection_of_request() {
    let peer = Peer::start(test_settings());
    let (own_listener, own_address) = listener();
    let mut raw = RawPeer::connect(peer.address());
    raw.send(heartbeat(Some(own_address)));
    raw.send(message(1));
    assert_eq!(peer.expect(1), own_address);
    peer.send(own_address, 2);
    assert_eq!(raw.read_message(), Some(message(2)));
    assert!(own_listener.set_nonblocking(true).is_ok());
    assert!(own_listener.accept().is_err());
    peer.stop();
}

/// Guards against missing heartbeats on idle connections, and against heartbeats on busy ones.
#[test]
fn heartbeats_are_sent_only_on_idle_connections() {
    let peer = Peer::start(test_settings());
    let (own_listener, own_address) = listener();
    peer.send(own_address, 0);
    let mut raw = RawPeer::accept(&own_listener);
    assert_eq!(raw.read(), Some(heartbeat(Some(peer.address()))));
    assert_eq!(raw.read(), Some(message(0)));
    raw.send(heartbeat(None));
    let idle = Instant::now();
    assert_eq!(raw.read(), Some(heartbeat(None)));
    assert!(idle.elapsed() >= Duration::from_millis(50));
    for nonce in 1..30 {
        peer.send(own_address, nonce);
        raw.send(heartbeat(None));
        assert_eq!(raw.read(), Some(message(nonce)));
        std::thread::sleep(Duration::from_millis(10));
    }
    peer.stop();
}

/// Guards against a live connection that is replaced because the peer has no message to send.
#[test]
fn connection_with_only_heartbeats_is_kept() {
    let left = Peer::start(test_settings());
    let right = Peer::start(test_settings());
    left.send(right.address(), 1);
    right.expect(1);
    assert_eq!(left.next_event(Duration::from_millis(2000)), None);
    left.stop();
    right.stop();
}

/// Guards against open connections to peers that are rarely contacted.
#[test]
fn idle_connection_is_closed() {
    let settings = TransportSettings {
        idle_timeout: TimeSpan::from_millis(500),
        ..test_settings()
    };
    let peer = Peer::start(settings);
    let (own_listener, own_address) = listener();
    peer.send(own_address, 1);
    let mut raw = RawPeer::accept(&own_listener);
    let started = Instant::now();
    while let Some(frame) = raw.read() {
        if !matches!(frame.body, Some(PeerBody::Heartbeat(_))) {
            continue;
        }
        raw.send(heartbeat(None));
    }
    assert!(started.elapsed() < Duration::from_secs(3));
    // No message was unanswered, so no failure is reported and the next message opens a connection.
    assert_eq!(peer.next_event(Duration::from_millis(100)), None);
    peer.send(own_address, 2);
    let mut raw = RawPeer::accept(&own_listener);
    assert_eq!(raw.read_message(), Some(message(2)));
    peer.stop();
}

/// Guards against messages, such as a leave notice, that are dropped by a planned stop.
#[test]
fn stop_sends_queued_messages() {
    let left = Peer::start(test_settings());
    let right = Peer::start(test_settings());
    for nonce in 0..100 {
        left.send(right.address(), nonce);
    }
    left.stop();
    right.expect(99);
    right.stop();
}

/// Guards against a start that succeeds although peers cannot reach the listen address.
#[test]
fn occupied_or_unspecified_address_is_rejected() {
    let (_occupied, address) = listener();
    for listen in [address, "0.0.0.0:0".parse().expect("a valid address")] {
        let (_commands, received) = flume::unbounded::<TransportCommand>();
        let (events, _received) = flume::unbounded::<TransportEvent>();
        let settings = TransportSettings {
            listen,
            ..test_settings()
        };
        let key = crate::support::key();
        let result = jaysaddle_transport::PeerTransport::start(settings, key, received, events);
        assert!(result.is_err());
    }
}
