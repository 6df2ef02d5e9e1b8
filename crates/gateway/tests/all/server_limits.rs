//! What nodes know of the request limits of backend servers.

use std::collections::HashSet;

use jaysaddle_fleet::peers::LIMIT_WINDOW;
use jaysaddle_gateway::server_limits::LimitSource;
use jaysaddle_gateway::server_limits::ServerLimits;
use jaysaddle_gateway::target::ServerNumber;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::Timestamp;

const SERVER: ServerNumber = ServerNumber(7);

fn limit(per_second: f64) -> Option<RequestLimit> {
    RequestLimit::from_per_second(per_second)
}

/// Records a response at `now` to a request that was sent at `sent`.
fn respond(limits: &mut ServerLimits, stated: Option<RequestLimit>, sent: u64, now: u64) {
    limits.record_response(SERVER, stated, Timestamp(sent), Timestamp(now));
}

fn known(limits: &ServerLimits) -> Option<RequestLimit> {
    limits.get(SERVER)?.limit
}

/// Passes what `from` announces at `sent` on to `to` at `received`.
fn announce(from: &ServerLimits, sent: u64, to: &mut ServerLimits, received: u64) {
    to.merge(&from.announced(Timestamp(sent)), Timestamp(received));
}

/// Guards against a limit that only the node knows that has received it, and one that outlives its withdrawal there.
#[test]
fn limit_and_its_withdrawal_reach_the_peers() {
    let (mut first, mut second) = (ServerLimits::default(), ServerLimits::default());
    respond(&mut first, limit(1.4), 900, 1000);
    announce(&first, 1100, &mut second, 1105);
    assert_eq!(known(&second), limit(1.4));
    let record = *second.get(SERVER).expect("a record");
    assert_eq!(
        (record.source, record.stated),
        (LimitSource::Peer, Timestamp(1005))
    );
    respond(&mut second, None, 2000, 2100);
    announce(&second, 2200, &mut first, 2205);
    assert_eq!((known(&first), first.in_force()), (None, 0));
}

/// Guards against a withdrawn limit that comes back with a delayed heartbeat, whose content appears younger than it is.
#[test]
fn delayed_announcement_does_not_bring_back_a_limit() {
    let (mut first, mut second) = (ServerLimits::default(), ServerLimits::default());
    respond(&mut first, limit(1.0), 900, 1000);
    let outdated = first.announced(Timestamp(1100));
    announce(&first, 1100, &mut second, 1105);
    respond(&mut second, None, 2000, 2100);
    second.merge(&outdated, Timestamp(9000));
    assert_eq!(known(&second), None);
    announce(&second, 9100, &mut first, 9105);
    assert_eq!(known(&first), None);
}

/// Guards against a slow response from before the limit that withdraws or raises it.
#[test]
fn response_to_an_earlier_request_can_only_lower_the_limit() {
    let mut limits = ServerLimits::default();
    respond(&mut limits, limit(2.0), 900, 1000);
    respond(&mut limits, None, 950, 1100);
    respond(&mut limits, limit(3.0), 950, 1100);
    assert_eq!(known(&limits), limit(2.0));
    respond(&mut limits, limit(1.0), 950, 1200);
    assert_eq!(known(&limits), limit(1.0));
    respond(&mut limits, limit(1.0), 1250, 1300);
    respond(&mut limits, limit(5.0), 1250, 1400);
    assert_eq!(known(&limits), limit(5.0));
    respond(&mut limits, None, 1450, 1500);
    assert_eq!(known(&limits), None);
}

/// Guards against nodes that keep different limits after both have received one at the same time.
#[test]
fn concurrent_statements_converge_to_the_lower_limit() {
    let (mut first, mut second) = (ServerLimits::default(), ServerLimits::default());
    respond(&mut first, limit(3.0), 900, 1000);
    respond(&mut second, limit(2.0), 900, 1000);
    announce(&first, 1100, &mut second, 1100);
    announce(&second, 1100, &mut first, 1100);
    assert_eq!(known(&first), limit(2.0));
    assert_eq!(known(&second), limit(2.0));
}

/// Guards against requests that are missing from the count of a backend server because they were sent before it named
/// a limit, and against ones that are counted for too long.
#[test]
fn requests_from_before_a_limit_are_counted() {
    let mut limits = ServerLimits::default();
    limits.record_send(SERVER, Timestamp(1000));
    limits.record_send(SERVER, Timestamp(2000));
    respond(&mut limits, limit(1.0), 2000, 2100);
    assert_eq!(limits.announced(Timestamp(2200))[0].sent, 2);
    assert_eq!(limits.sent_to(SERVER, Timestamp(1000) + LIMIT_WINDOW), 1);
    assert_eq!(limits.sent_to(SERVER, Timestamp(2000) + LIMIT_WINDOW), 0);
}

/// Guards against limits that are kept for ever, and against ones that are dropped while the backend server lives.
#[test]
fn limits_of_removed_servers_are_dropped() {
    let mut limits = ServerLimits::default();
    respond(&mut limits, limit(1.0), 900, 1000);
    let later = Timestamp(3_600_000);
    limits.retain(&HashSet::from([SERVER]), later);
    assert_eq!(known(&limits), limit(1.0));
    limits.retain(&HashSet::new(), later);
    assert!(limits.get(SERVER).is_none());
}

/// Guards against heartbeats that do not fit into one packet, and against limits that are never announced.
#[test]
fn many_limits_are_announced_in_turns() {
    let mut limits = ServerLimits::default();
    for server in 0..200 {
        let now = Timestamp(1000);
        limits.record_response(ServerNumber(server), limit(1.0), now, now);
    }
    let mut announced = HashSet::new();
    for round in 0..4 {
        let part = limits.announced(Timestamp(2000 + round * 200));
        assert_eq!(part.len(), 64);
        announced.extend(part.into_iter().map(|limit| limit.server));
    }
    assert_eq!(announced.len(), 200);
}
