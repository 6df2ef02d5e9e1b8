//! Measures the time of a routing decision.

use std::time::Instant;

use jaysaddle_routing::AttemptResult;
use jaysaddle_routing::GroupRouter;
use jaysaddle_routing::RoutePolicy;
use jaysaddle_routing::RouteQuery;
use jaysaddle_routing::RoutingSettings;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::units::TokenCount;

use crate::fleet;
use crate::workload::Workload;

const DECISIONS: usize = 20_000;
const MEMBERS: usize = 16;

/// Prints the time of a decision and its check before the request is sent, by number of groups.
pub fn measure(seed: u64) {
    println!(
        "decision: choose + is_present + record_attempt_start, groups of {MEMBERS}, \
         {DECISIONS} decisions"
    );
    for groups in [20, 80, 170] {
        for policy in [RoutePolicy::TwoChoices, RoutePolicy::BoundedAffinity] {
            measure_fleet(seed, groups, policy);
        }
    }
}

fn measure_fleet(seed: u64, groups: usize, policy: RoutePolicy) {
    let view = fleet::view(groups, MEMBERS, 16, 7);
    let settings = RoutingSettings {
        policy,
        ..RoutingSettings::default()
    };
    let mut router = GroupRouter::new(settings, seed);
    let begin = Instant::now();
    router.update_view(&view);
    let rebuild = begin.elapsed();
    let mut workload = Workload::new(seed);
    let mut micros = Vec::with_capacity(DECISIONS);
    for number in 0..DECISIONS {
        let now = Timestamp(1_000 + number as u64);
        if number.is_multiple_of(500) {
            for group in &view.groups {
                let running = workload.random.next_below(16) as usize;
                router.record_report(&fleet::report(group, running, 0), now);
            }
        }
        let query = RouteQuery {
            request: RequestId::new(format!("request-{number:08}")),
            account: AccountId::new("ebiere"),
            target: RequestTarget::Model(fleet::model()),
            prefix: workload.prompt(),
            prompt_tokens: TokenCount(1_500),
            excluded: Vec::new(),
        };
        let begin = Instant::now();
        let choice = router
            .choose(&query, &view, now)
            .expect("all groups are ready");
        let present = router.is_present(&choice.target, &view, now);
        router.record_attempt_start(&choice.target, &query);
        micros.push(begin.elapsed().as_nanos() as f64 / 1_000.0);
        assert!(present, "reports are fresh");
        let result = AttemptResult::Cancelled;
        router.record_attempt_end(&choice.target, result, now);
    }
    micros.sort_by(f64::total_cmp);
    let at = |permille: usize| micros[micros.len() * permille / 1000];
    println!(
        "{groups:>4} groups {:<16} p50 {:>5.1} us  p99 {:>5.1} us  p99.9 {:>5.1} us  index rebuild {:>6.0} us",
        format!("{policy:?}"),
        at(500),
        at(990),
        at(999),
        rebuild.as_nanos() as f64 / 1_000.0,
    );
}
