//! Requests to backend servers that name a request limit for all nodes together.

use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::random::XorshiftRng;
use jaysaddle_test_support::seeds;
use jaysaddle_types::units::TimeSpan;

use crate::fixture::GatewayFixture;
use crate::limit_simulation::LimitScenario;
use crate::limit_simulation::LimitSimulation;
use crate::limit_simulation::NAMED_MS;

/// Deployments of the sizes that users have, and of the size that the design is for: nodes and groups.
const SMALL: (usize, u64) = (7, 24);
const GROWN: (usize, u64) = (82, 40);
const LARGEST: (usize, u64) = (320, 24);

/// Requests a second for each group that keep half of the slots busy, by the simulated duration.
const NORMAL_RATE: u64 = 6;
/// Requests a second for each group that exceed the slots, so that nodes send what the limits allow.
const OVERLOAD_RATE: u64 = 14;

/// An overloaded deployment of which three groups name a limit.
fn limited_deployment((nodes, groups): (usize, u64)) -> LimitScenario {
    LimitScenario {
        nodes,
        groups,
        rate: groups * OVERLOAD_RATE,
        until: NAMED_MS + 8000,
        limits: [1.0, 1.2, 2.5]
            .iter()
            .enumerate()
            .map(|(group, limit)| (NAMED_MS, group as u64, Some(*limit)))
            .collect(),
        ..LimitScenario::default()
    }
}

/// Guards against nodes that each send to a backend server as if its request limit did not exist, or were theirs alone.
/// In the incident of December 2026, one with a limit of 1 a second received 20 requests in 4 s.
#[test]
fn limit_holds_for_the_sum_of_few_nodes() {
    let simulation = LimitSimulation::new(limited_deployment(SMALL)).run();
    simulation.assert_limits_kept();
}

/// The same where each node sees fewer requests than a limit allows.
#[test]
fn limit_holds_for_the_sum_of_many_nodes() {
    let simulation = LimitSimulation::new(limited_deployment(GROWN)).run();
    simulation.assert_limits_kept();
}

/// The same where a node hears each peer only every 2.7 s.
#[test]
fn limit_holds_for_the_sum_of_most_nodes() {
    let simulation = LimitSimulation::new(limited_deployment(LARGEST)).run();
    simulation.assert_limits_kept();
}

/// Guards against a limit that is kept only while it is constant, and against a backend server whose limit is too low
/// for any request in the platform's window.
#[test]
fn falling_limits_are_kept() {
    for size in [SMALL, GROWN] {
        let changes = [(0, 8.0, 1.0), (1, 3.0, 0.2), (2, 4.0, 0.0)];
        let limits = changes
            .into_iter()
            .flat_map(|(group, first, second)| {
                let change = NAMED_MS + 4000;
                [
                    (NAMED_MS, group, Some(first)),
                    (change, group, Some(second)),
                ]
            })
            .collect();
        let scenario = LimitScenario {
            until: NAMED_MS + 12_000,
            limits,
            ..limited_deployment(size)
        };
        LimitSimulation::new(scenario).run().assert_limits_kept();
    }
}

/// Guards against a backend server that receives nothing after its limit has ended, because only a response tells that.
#[test]
fn end_of_a_limit_is_noticed() {
    const ENDED_MS: u64 = NAMED_MS + 12_000;
    for (nodes, groups) in [SMALL, GROWN] {
        let named = [1.0, 0.0].iter().enumerate();
        let limits = named
            .flat_map(|(group, limit)| {
                let group = group as u64;
                [(NAMED_MS, group, Some(*limit)), (ENDED_MS, group, None)]
            })
            .collect();
        let scenario = LimitScenario {
            rate: groups * NORMAL_RATE,
            until: ENDED_MS + 30_000,
            limits,
            ..limited_deployment((nodes, groups))
        };
        let simulation = LimitSimulation::new(scenario).run();
        simulation.assert_limits_kept();
        for (group, delay) in [(0, 5_000), (1, 20_000)] {
            let rate = simulation.rate_of(group, ENDED_MS + delay..ENDED_MS + 30_000);
            assert!(
                rate > NORMAL_RATE as f64 / 2.0,
                "{nodes} nodes: group {group} receives {rate:.1} requests a second after its limit"
            );
        }
    }
}

/// Guards against limits that no node uses, and whose end is not noticed, because callers are at other nodes than those
/// that may send.
#[test]
fn nodes_with_callers_come_to_use_a_limit() {
    const ENDED_MS: u64 = NAMED_MS + 40_000;
    const GROUPS: u64 = 6;
    let limits =
        (0..GROUPS).flat_map(|group| [(NAMED_MS, group, Some(0.5)), (ENDED_MS, group, None)]);
    let scenario = LimitScenario {
        rate: GROUPS * NORMAL_RATE,
        groups: GROUPS,
        until: ENDED_MS + 50_000,
        limits: limits.collect(),
        callers_at: 1,
        ..limited_deployment(SMALL)
    };
    let simulation = LimitSimulation::new(scenario).run();
    simulation.assert_limits_kept();
    for group in 0..GROUPS {
        assert!(simulation.rate_of(group, NAMED_MS + 3000..ENDED_MS) > 0.0);
        let rate = simulation.rate_of(group, ENDED_MS + 40_000..ENDED_MS + 50_000);
        assert!(
            rate > NORMAL_RATE as f64 / 2.0,
            "group {group}: {rate:.2} a second"
        );
    }
}

/// Guards against two halves of a divided deployment that each use the whole limit.
#[test]
fn limit_holds_for_a_divided_deployment() {
    for size in [SMALL, GROWN] {
        for cut in [
            NAMED_MS - 500..NAMED_MS + 14_000,
            NAMED_MS + 3000..NAMED_MS + 18_000,
        ] {
            let named = [1.0, 3.0, 6.0];
            let settled = cut.start.max(NAMED_MS) + 5000..cut.end;
            let scenario = LimitScenario {
                until: NAMED_MS + 20_000,
                limits: named
                    .iter()
                    .enumerate()
                    .map(|(group, limit)| (NAMED_MS, group as u64, Some(*limit)))
                    .collect(),
                cut,
                ..limited_deployment(size)
            };
            let simulation = LimitSimulation::new(scenario).run();
            simulation.assert_limits_kept();
            for (group, limit) in named.iter().enumerate() {
                let rate = simulation.rate_of(group as u64, settled.clone());
                assert!(rate <= limit * 1.25, "{rate:.2} a second, limit {limit}");
            }
        }
    }
}

/// Guards against nodes that exceed the limit because others are frozen, come back with an outdated view, or restart.
#[test]
fn limit_holds_while_other_nodes_freeze_and_restart() {
    for size in [SMALL, GROWN] {
        let nodes = size.0;
        let frozen = (0..nodes / 3).map(|node| (node, NAMED_MS + 3000..NAMED_MS + 7000));
        let restarts = (nodes / 3..nodes).map(|node| (node, NAMED_MS + 2000 + 300 * node as u64));
        let scenario = LimitScenario {
            until: NAMED_MS + 14_000,
            frozen: frozen.collect(),
            restarts: restarts.collect(),
            ..limited_deployment(size)
        };
        LimitSimulation::new(scenario).run().assert_limits_kept();
    }
}

/// Guards against limits that are hardly used although no backend server without one is left, against requests that wait
/// for a limit, and against a `Retry-After` that does not depend on the limit.
#[test]
fn requests_beyond_all_limits_are_refused_at_once() {
    const LIMIT: f64 = 1.5;
    for size in [SMALL, GROWN] {
        let groups = 0..size.1;
        let scenario = LimitScenario {
            rate: size.1 * NORMAL_RATE,
            until: NAMED_MS + 12_000,
            limits: groups
                .clone()
                .map(|group| (NAMED_MS, group, Some(LIMIT)))
                .collect(),
            ..limited_deployment(size)
        };
        let simulation = LimitSimulation::new(scenario).run();
        simulation.assert_limits_kept();
        assert!(!simulation.refused.is_empty());
        let mut gateway = GatewayFixture::new(1).gateway;
        for refusal in &simulation.refused {
            let TargetRefusal::Limited { wait } = refusal else {
                panic!("refused as {refusal}");
            };
            let retry_after = gateway.retry_after(*refusal);
            assert!(retry_after >= *wait || retry_after == TimeSpan(5000));
        }
        for group in groups {
            let rate = simulation.rate_of(group, NAMED_MS + 3000..NAMED_MS + 12_000);
            assert!(rate >= LIMIT / 2.0, "group {group}: {rate:.2} a second");
        }
    }
}

/// Guards against a limit above the load that keeps requests away.
#[test]
fn high_limit_does_not_restrict() {
    for limit in [20.0, 1e9] {
        let (nodes, groups) = SMALL;
        let limits = (0..groups).map(|group| (NAMED_MS, group, Some(limit)));
        let scenario = LimitScenario {
            rate: groups * NORMAL_RATE,
            limits: limits.collect(),
            ..limited_deployment((nodes, groups))
        };
        let simulation = LimitSimulation::new(scenario).run();
        assert!(simulation.refused.is_empty(), "{limit}");
    }
}

fn random_scenario(random: &mut XorshiftRng) -> LimitScenario {
    let nodes = 2 + random.below(28);
    let groups = 2 + random.below(12) as u64;
    let until = NAMED_MS + 16_000;
    let time = |random: &mut XorshiftRng| NAMED_MS + random.below(12_000) as u64;
    let mut limits = Vec::new();
    for group in 0..groups.div_ceil(2) {
        let first = 0.2 + random.fraction() * 4.0;
        limits.push((NAMED_MS, group, Some(first)));
        for _ in 0..random.below(3) {
            let limit = (random.below(4) > 0).then(|| random.fraction() * 4.0);
            limits.push((time(random), group, limit));
        }
    }
    let mut scenario = LimitScenario {
        nodes,
        groups,
        rate: groups * [NORMAL_RATE, OVERLOAD_RATE][random.below(2)],
        until,
        limits,
        ..LimitScenario::default()
    };
    for _ in 0..random.below(4) {
        let (node, start) = (random.below(nodes), time(random));
        let end = start + 300 + random.below(6000) as u64;
        scenario.frozen.push((node, start..end));
    }
    for _ in 0..random.below(4) {
        scenario.restarts.push((random.below(nodes), time(random)));
    }
    if random.below(3) == 0 {
        let start = time(random);
        scenario.cut = start..start + random.below(8000) as u64;
    }
    scenario
}

/// Guards against limits that are exceeded by a combination of changing limits, frozen and restarted nodes and cuts.
/// `JAYSADDLE_SEED` and `JAYSADDLE_RUNS` override the first seed and the number of runs.
#[test]
fn limits_hold_under_random_disturbances() {
    for seed in seeds(20_261_204, 20) {
        println!("JAYSADDLE_SEED={seed}");
        let scenario = random_scenario(&mut XorshiftRng::new(seed.wrapping_mul(0x9e37_79b9)));
        LimitSimulation::new(scenario).run().assert_limits_kept();
    }
}
