//! Whether a node finds out that it is cut off from all backend servers, and that it is not.

use jaysaddle_gateway::server_reach::ROUND_SERVERS;
use jaysaddle_gateway::server_reach::ReachChange;
use jaysaddle_gateway::server_reach::RoundResult;
use jaysaddle_gateway::server_reach::ServerReach;
use jaysaddle_gateway::server_reach::round_servers;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

const START: Timestamp = Timestamp(100_000);

fn round(reach: &mut ServerReach, reached: usize, now: Timestamp) -> Option<ReachChange> {
    assert!(reach.begin_round(now));
    let result = RoundResult {
        tried: ROUND_SERVERS,
        reached,
        was_interrupted: false,
    };
    reach.end_round(result, 60, now)
}

/// Guards against a node that stays in use although it reaches no server, and against one that does not come back.
#[test]
fn node_without_servers_is_cut_off_until_most_answer() {
    let mut reach = ServerReach::default();
    assert_eq!(round(&mut reach, 0, START), Some(ReachChange::CutOff));
    let later = START + TimeSpan(250);
    assert!(reach.needs_round(later));
    // Half-way back, for instance over a lossy link.
    assert_eq!(round(&mut reach, 1, later), None);
    assert!(reach.is_cut_off());
    let later = later + TimeSpan(250);
    assert_eq!(round(&mut reach, 3, later), Some(ReachChange::Returned));
}

/// Guards against a node that leaves the directory because some servers, or all of a failure domain, are gone.
#[test]
fn node_that_reaches_one_server_is_not_cut_off() {
    let mut reach = ServerReach::default();
    assert_eq!(round(&mut reach, 1, START), None);
    assert!(!reach.is_cut_off());
    assert!(reach.has_reached_since(START));
    assert!(!reach.has_reached_since(START + TimeSpan(1)));
}

/// Guards against a pause of the node that makes all servers look unreachable.
#[test]
fn round_during_a_pause_shows_nothing() {
    let mut reach = ServerReach::default();
    assert!(reach.begin_round(START));
    let result = RoundResult {
        tried: ROUND_SERVERS,
        reached: 0,
        was_interrupted: true,
    };
    assert_eq!(reach.end_round(result, 60, START), None);
    assert!(!reach.is_cut_off());
}

/// Guards against a failure that is never looked into because a connection was opened shortly before it.
#[test]
fn failure_begins_a_round_unless_a_connection_was_opened_since() {
    let mut reach = ServerReach::default();
    reach.record_data(START);
    reach.record_opened(START);
    reach.record_failure(START + TimeSpan(50));
    assert!(reach.needs_round(START + TimeSpan(50)));
    reach.record_opened(START + TimeSpan(60));
    assert!(!reach.needs_round(START + TimeSpan(70)));
}

/// Guards against connections that hang, so that nothing fails and no round begins.
#[test]
fn silence_of_all_servers_begins_a_round() {
    let mut reach = ServerReach::default();
    reach.record_data(START);
    assert!(!reach.needs_round(START + TimeSpan(400)));
    assert!(reach.needs_round(START + TimeSpan(600)));
    reach.record_opened(START + TimeSpan(300));
    assert!(!reach.needs_round(START + TimeSpan(600)));
    assert!(reach.begin_round(START + TimeSpan(900)));
    assert!(!reach.begin_round(START + TimeSpan(901)));
}

/// Guards against a deployment with one or two servers, whose loss would not count.
#[test]
fn few_servers_suffice_if_there_are_no_more() {
    let mut reach = ServerReach::default();
    assert!(reach.begin_round(START));
    let result = RoundResult {
        tried: 1,
        reached: 0,
        was_interrupted: false,
    };
    assert_eq!(reach.end_round(result, 1, START), Some(ReachChange::CutOff));
}

/// Guards against rounds within one failure domain, whose loss would look like a cut.
#[test]
fn rounds_cover_failure_domains() {
    let servers = |count: usize| -> Vec<(usize, String)> {
        (0..count)
            .map(|number| {
                let domain = if number < count - 2 { "a" } else { "b" };
                (number, domain.to_owned())
            })
            .collect()
    };
    let chosen = round_servers(servers(20), 0);
    assert_eq!(chosen.len(), ROUND_SERVERS);
    assert!(chosen.contains(&18) && chosen.contains(&19));
    assert_ne!(round_servers(servers(20), 1), chosen);
    assert!(round_servers::<usize>(Vec::new(), 3).is_empty());
    assert_eq!(round_servers(servers(3), 5).len(), 3);
}
