//! Too little room for all requests: who is served in time, who is turned away, and where the work goes.

use jaysaddle_gateway::request_rank::RequestRank;
use jaysaddle_gateway::shedding::account_share;
use quickcheck::quickcheck;

use crate::pressure_simulation::FlowResult;
use crate::pressure_simulation::PressureScenario;
use crate::pressure_simulation::RequestFlow;
use crate::pressure_simulation::group_capacity;

const GROUPS: u64 = 8;
/// Numbers of nodes of which most know most others from digests, with the end of the simulation.
const MANY_NODES: [(usize, u64); 3] = [(31, 9000), (68, 9000), (320, 7500)];

fn rank(route: u32) -> RequestRank {
    RequestRank { account: 1, route }
}

fn flow(route: u32, rate: f64) -> RequestFlow {
    RequestFlow {
        rank: rank(route),
        account: "one",
        rate,
        times: 0..u64::MAX,
    }
}

/// Requests a second that all groups serve.
fn capacity() -> f64 {
    GROUPS as f64 * group_capacity()
}

fn share(result: &FlowResult) -> f64 {
    f64::from(result.on_time) / f64::from(result.offered.max(1))
}

/// Parts of what the groups can serve that are served in time, by prediction and by the number of requests, at 1/0.7 of what
/// they can serve.
fn used_parts(nodes: usize, until: u64) -> (f64, f64) {
    let run = |is_paced| {
        let scenario = PressureScenario {
            nodes,
            until,
            is_paced,
            groups: GROUPS,
            flows: vec![flow(0, capacity() / 0.7)],
            ..PressureScenario::default()
        };
        let seconds = (until - 5000) as f64 / 1000.0;
        f64::from(scenario.run(1).0[0].on_time) / (capacity() * seconds)
    };
    let (used, used_by_number) = (run(true), run(false));
    println!("{nodes} nodes: {used:.2} in time, by number {used_by_number:.2}");
    (used, used_by_number)
}

/// Load: requests of one rank at 1/0.7 of what the groups serve. Guards against requests that take the place of others
/// although they cannot be on time: nine tenths of what the capacity allows is served in time.
#[test]
fn most_of_a_capacity_that_is_too_small_serves_requests_in_time() {
    let (used, _) = used_parts(7, 9000);
    assert!(used >= 0.9, "{used:.2}");
}

/// The same where nodes know the load of their peers from digests, which are older.
#[test]
fn most_of_a_capacity_that_is_too_small_serves_requests_in_time_at_many_nodes() {
    for (nodes, until) in MANY_NODES {
        let (used, _) = used_parts(nodes, until);
        assert!(used >= 0.9, "{nodes} nodes: {used:.2}");
    }
}

/// Guards against a selection by prediction that serves fewer requests in time than one by number, at any size.
#[test]
fn prediction_serves_more_in_time_than_the_number_of_requests() {
    for (nodes, until) in MANY_NODES.into_iter().chain([(7, 9000)]) {
        let (used, used_by_number) = used_parts(nodes, until);
        assert!(
            used > used_by_number,
            "{nodes} nodes: {used:.2} {used_by_number:.2}"
        );
    }
}

fn check_flood_of_the_lowest_rank(nodes: usize, until: u64) {
    let scenario = PressureScenario {
        nodes,
        until,
        groups: GROUPS,
        flows: vec![flow(0, capacity() * 0.4), flow(2, capacity() * 2.0)],
        ..PressureScenario::default()
    };
    let (results, (refused, inverted)) = scenario.run(2);
    println!("{nodes} nodes: {results:?} refused {refused} inverted {inverted}");
    let high = f64::from(results[0].refused) / f64::from(results[0].offered);
    assert!(
        high < 0.03,
        "{nodes} nodes refuse {high:.3} of the highest rank"
    );
    assert!(share(&results[0]) >= 0.9, "{nodes} nodes: {:?}", results[0]);
    assert!(
        f64::from(inverted) < 0.03 * f64::from(refused),
        "{inverted} of {refused}"
    );
}

/// Load: a flood of the lowest rank, at twice what the groups serve. Guards against high ranks that are turned away or late
/// because of it, and against nodes that turn different ranks away.
#[test]
fn flood_of_the_lowest_rank_leaves_the_highest_in_time() {
    for nodes in [7, 31, 68] {
        check_flood_of_the_lowest_rank(nodes, 9000);
    }
}

/// The same where each node sees a request of the highest rank only every few seconds.
#[test]
fn flood_of_the_lowest_rank_leaves_the_highest_in_time_at_hundreds_of_nodes() {
    check_flood_of_the_lowest_rank(320, 7500);
}

/// Load: a flood of the highest rank. Guards against a lower rank that is shut out for good.
#[test]
fn flood_of_the_highest_rank_does_not_shut_out_the_lowest() {
    let scenario = PressureScenario {
        nodes: 31,
        groups: GROUPS,
        flows: vec![flow(0, capacity() * 2.0), flow(2, capacity() * 0.5)],
        ..PressureScenario::default()
    };
    let (results, _) = scenario.run(3);
    assert!(results[1].offered > results[1].refused, "{results:?}");
}

/// Load: a group opens while there is too little capacity, and looks empty to all nodes at once. Guards against prompts that
/// queue there for longer than the latency target.
#[test]
fn opening_group_is_not_flooded() {
    for nodes in [7, 68] {
        let scenario = PressureScenario {
            nodes,
            groups: GROUPS,
            flows: vec![flow(0, capacity() * 1.2)],
            opening: Some(6000),
            ..PressureScenario::default()
        };
        let (results, _) = scenario.run(4);
        let served = f64::from(results[0].on_time + results[0].late);
        let late = f64::from(results[0].late) / served;
        assert!(late < 0.1, "{nodes} nodes: {late:.2} late");
    }
}

/// Load: too little capacity while every second node restarts, and while two halves of the nodes do not hear each other.
/// Guards against nodes that know little and admit more than their part.
#[test]
fn nodes_that_know_little_do_not_admit_more_than_their_part() {
    let cases = [(Some(5000), 0..0), (None, 5000..7000)];
    for (restart, cut) in cases {
        let scenario = PressureScenario {
            nodes: 68,
            groups: GROUPS,
            flows: vec![flow(0, capacity() * 0.4), flow(1, capacity())],
            restart,
            cut: cut.clone(),
            ..PressureScenario::default()
        };
        let (results, _) = scenario.run(5);
        println!("restart {restart:?} cut {cut:?}: {results:?}");
        let served = f64::from(results[0].on_time + results[0].late);
        assert!(f64::from(results[0].on_time) >= 0.8 * served, "{results:?}");
        assert!(f64::from(results[0].refused) < 0.1 * f64::from(results[0].offered));
    }
}

/// Load: one client account sends three times as much as the groups serve, eight others of its rank a tenth each. Guards
/// against a heavy account that pushes out light ones.
#[test]
fn heavy_account_does_not_push_out_light_ones() {
    const ACCOUNTS: [&str; 5] = ["a", "b", "c", "d", "e"];
    let mut flows = vec![flow(1, capacity() * 2.0)];
    flows.extend(ACCOUNTS.map(|account| RequestFlow {
        account,
        ..flow(1, capacity() * 0.06)
    }));
    let scenario = PressureScenario {
        nodes: 7,
        groups: GROUPS,
        flows,
        ..PressureScenario::default()
    };
    let (results, _) = scenario.run(6);
    let refused = |result: &FlowResult| f64::from(result.refused) / f64::from(result.offered);
    let light = results[1..].iter().map(refused).sum::<f64>() / ACCOUNTS.len() as f64;
    println!("{results:?}");
    assert!(light < refused(&results[0]) / 3.0, "{light:.2} {results:?}");
}

quickcheck! {
    /// Guards against an account that gets more of the room by sending more, and against shares that exceed the room.
    fn account_shares_are_fair(permille: u16, own: u16, others: Vec<u16>) -> bool {
        let share = f64::from(permille % 1000) / 1000.0;
        let others: Vec<f64> = others.iter().map(|rate| f64::from(*rate)).collect();
        let own = f64::from(own) + 1.0;
        let served = own * account_share(share, own, &others);
        let more = own * 2.0 * account_share(share, own * 2.0, &others);
        let total: f64 = own + others.iter().sum::<f64>();
        let is_bounded = served <= total * share + 1e-6 || others.is_empty();
        // With twice the requests, the total and so the room to share rise, but by at most the share of what is added.
        is_bounded && more <= served + own * share + 1e-6 + total
    }
}
