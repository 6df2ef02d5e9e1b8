//! Nodes with the same stale report do not all send to the same group.

use jaysaddle_routing::GroupRouter;
use jaysaddle_routing::RoutePolicy;
use jaysaddle_routing::RouteTarget;
use jaysaddle_routing::RoutingSettings;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::Timestamp;

use crate::support::check;
use crate::support::group;
use crate::support::model;
use crate::support::query;
use crate::support::report;
use crate::support::view;

const ROUTERS: usize = 7;
const GROUPS: usize = 20;
const REQUESTS_PER_ROUTER: usize = 20;

/// Requests at the group that received most, when one group looked idle and the others half full.
fn most_at_one_group(policy: RoutePolicy, seed: u64, shared_prefix: bool) -> usize {
    most_with_known_nodes(policy, seed, shared_prefix, ROUTERS)
}

fn most_with_known_nodes(
    policy: RoutePolicy,
    seed: u64,
    shared_prefix: bool,
    known_nodes: usize,
) -> usize {
    let groups = (0..GROUPS).map(|number| group(number, "chat")).collect();
    let view = view(groups, vec![model("chat", &[])], known_nodes);
    let settings = RoutingSettings {
        policy,
        ..RoutingSettings::default()
    };
    let mut received = vec![0; GROUPS];
    for router in 0..ROUTERS {
        let mut router = GroupRouter::new(settings.clone(), seed.wrapping_add(router as u64));
        router.update_view(&view);
        for (number, group) in view.groups.iter().enumerate() {
            let running = if number == 3 { 0 } else { 4 };
            router.record_report(&report(group, running), Timestamp(1_000));
        }
        for request in 0..REQUESTS_PER_ROUTER {
            let prefix = [if shared_prefix {
                1
            } else {
                seed ^ request as u64
            }];
            let target = RequestTarget::Model(ModelId::new("chat"));
            let query = query("acme", target, &prefix);
            let now = Timestamp(1_000 + 25 * request as u64);
            let choice = router.choose(&query, &view, now).expect("whole groups");
            router.record_attempt_start(&choice.target, &query);
            let RouteTarget::Group { group, .. } = choice.target else {
                panic!("expected a group");
            };
            let number: usize = group.as_str()[2..].parse().expect("number of the group");
            received[number] += 1;
        }
    }
    received.into_iter().max().unwrap_or_default()
}

/// Four times the mean of 7; the group that looked idle has room for half a group more.
const HERDING_BOUND: usize = 4 * ROUTERS * REQUESTS_PER_ROUTER / GROUPS;

fn affinity_does_not_herd(seed: u64) -> bool {
    let unique = most_at_one_group(RoutePolicy::BoundedAffinity, seed, false);
    let shared = most_at_one_group(RoutePolicy::BoundedAffinity, seed, true);
    assert!(unique <= HERDING_BOUND, "{unique} requests at one group");
    assert!(
        shared <= HERDING_BOUND,
        "{shared} requests at one group with one prefix"
    );
    true
}

fn two_choices_do_not_herd(seed: u64) -> bool {
    let most = most_at_one_group(RoutePolicy::TwoChoices, seed, false);
    assert!(most <= HERDING_BOUND, "{most} requests at one group");
    true
}

/// Guards against all nodes sending to the group that looked idle in one stale report.
#[test]
fn stale_reports_do_not_herd() {
    check(
        "stale_reports_do_not_herd, affinity",
        100,
        affinity_does_not_herd as fn(u64) -> bool,
    );
    check(
        "stale_reports_do_not_herd, two choices",
        100,
        two_choices_do_not_herd as fn(u64) -> bool,
    );
}

/// Shows that the scenario herds when each node takes itself for the only one, so that the test
/// above can fail.
#[test]
fn nodes_that_ignore_their_peers_herd() {
    let most = most_with_known_nodes(RoutePolicy::LeastLoaded, 1, false, 1);
    assert!(most >= HERDING_BOUND, "only {most} requests at one group");
}
