//! Backend servers that have asked this node to send them nothing for a while.

use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::fixture::GatewayFixture;

/// Guards against requests to a backend server within its pause, and against a pause that a shorter one ends.
#[test]
fn paused_server_is_not_chosen_until_its_pause_ends() {
    let mut fixture = GatewayFixture::new(2);
    let first = fixture.send(&[], 100).expect("a target");
    let (target, _) = &fixture.in_flight[0];
    let (server, backend) = (target.server, target.backend.clone());
    for until in [3100, 600] {
        fixture
            .gateway
            .record_pause(server, &backend, Timestamp(until));
    }
    let paused = fixture.gateway.paused_servers(Timestamp(700));
    assert_eq!(paused, [(backend, Timestamp(3100))]);
    let mut is_chosen = |now| {
        let chosen: Vec<_> = (0..8).map(|_| fixture.send(&[], now)).collect();
        fixture.end(fixture.in_flight.len(), TargetOutcome::Answered, now);
        chosen.contains(&Some(first))
    };
    is_chosen(700);
    assert!(!is_chosen(3099));
    assert!(is_chosen(3100));
}

/// Guards against requests that wait until their time is up because all backend servers want nothing, and against callers
/// that return before one of them does.
#[test]
fn requests_are_refused_at_once_while_all_servers_are_paused() {
    let mut fixture = GatewayFixture::new(2);
    for until in [2100, 1600] {
        fixture.send(&[], 100).expect("a target");
        let (target, _) = fixture.in_flight.last().expect("a request");
        let (server, backend) = (target.server, target.backend.clone());
        fixture
            .gateway
            .record_pause(server, &backend, Timestamp(until));
    }
    let refusal = fixture.refusal(200).expect("a refusal");
    let wait = TimeSpan(1400);
    assert_eq!(refusal, TargetRefusal::Limited { wait });
    assert!(fixture.gateway.retry_after(refusal) >= wait);
}
