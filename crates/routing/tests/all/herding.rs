//! Nodes that share a stale report do not all send to the same group.

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

/// Returns the requests at the busiest group when a stale report shows one group idle and the
/// others half full.
fn busiest_group_requests(policy: RoutePolicy, seed: u64, shared_prefix: bool) -> usize {
    busiest_group_requests_with_nodes(policy, seed, shared_prefix, ROUTERS)
}

fn busiest_group_requests_with_nodes(
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
            let choice = router.choose(&query, &view, now).expect("complete groups");
            router.record_attempt_start(&choice.target, &query);
            let RouteTarget::Group { group, .. } = choice.target else {
                panic!("expected a group");
            };
            let number: usize = group.as_str()[2..]
                .parse()
                .expect("the group id ends in its number");
            received[number] += 1;
        }
    }
    received.into_iter().max().unwrap_or_default()
}

/// Four times the mean of 7 requests per group. The group reported as idle has half a group of free
/// slots more than the others.
const HERDING_BOUND: usize = 4 * ROUTERS * REQUESTS_PER_ROUTER / GROUPS;

fn affinity_does_not_cause_herding(seed: u64) -> bool {
    let unique = busiest_group_requests(RoutePolicy::BoundedAffinity, seed, false);
    let shared = busiest_group_requests(RoutePolicy::BoundedAffinity, seed, true);
    assert!(unique <= HERDING_BOUND, "{unique} requests at one group");
    assert!(
        shared <= HERDING_BOUND,
        "{shared} requests at one group with one prefix"
    );
    true
}

fn two_choices_do_not_cause_herding(seed: u64) -> bool {
    let busiest = busiest_group_requests(RoutePolicy::TwoChoices, seed, false);
    assert!(busiest <= HERDING_BOUND, "{busiest} requests at one group");
    true
}

/// Guards against all nodes sending to the one group that a stale report shows as idle.
#[test]
fn stale_reports_do_not_cause_herding() {
    check(
        "stale_reports_do_not_cause_herding, affinity",
        100,
        affinity_does_not_cause_herding as fn(u64) -> bool,
    );
    check(
        "stale_reports_do_not_cause_herding, two choices",
        100,
        two_choices_do_not_cause_herding as fn(u64) -> bool,
    );
}

/// Shows that the scenario causes herding when each node assumes that it is the only one, so that
/// the test above can fail.
#[test]
fn nodes_without_known_peers_cause_herding() {
    let busiest = busiest_group_requests_with_nodes(RoutePolicy::LeastLoaded, 1, false, 1);
    assert!(
        busiest >= HERDING_BOUND,
        "only {busiest} requests at one group"
    );
}
