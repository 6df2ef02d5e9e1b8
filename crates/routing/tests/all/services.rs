//! Requests to plain services are routed to live backend servers that the account may use.

use std::collections::HashMap;

use jaysaddle_routing::AttemptResult;
use jaysaddle_routing::GroupRouter;
use jaysaddle_routing::RouteTarget;
use jaysaddle_routing::RoutingSettings;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::ServiceView;
use jaysaddle_types::view::VmState;

use crate::support::check;
use crate::support::query;
use crate::support::view;

fn fleet() -> FleetView {
    let mut view = view(Vec::new(), Vec::new(), 1);
    view.services = (0..3)
        .map(|number| ServiceView {
            name: ServiceId::new("stock"),
            vm: VmId::new(format!("svc-{number}")),
            address: ([127, 0, 0, 1], 9500 + number).into(),
            failure_domain: FailureDomainId::new("fd-a"),
            state: VmState::Live,
            accounts: vec![AccountId::new("acme")],
            idempotent: false,
        })
        .collect();
    view
}

fn stock_service() -> RequestTarget {
    RequestTarget::Service(ServiceId::new("stock"))
}

fn run_steps(words: Vec<u64>) -> bool {
    let mut view = fleet();
    let mut router = GroupRouter::new(RoutingSettings::default(), 3);
    router.update_view(&view);
    let mut load: HashMap<VmId, u32> = HashMap::new();
    let mut in_flight = Vec::new();
    for word in words {
        let pick = (word >> 8) as usize;
        match word % 8 {
            0 => {
                let states = [VmState::Live, VmState::Dead, VmState::Leaving];
                view.services[pick % 3].state = states[(word >> 16) as usize % 3];
                router.update_view(&view);
            }
            1 | 2 if !in_flight.is_empty() => {
                let vm: VmId = in_flight.swap_remove(pick % in_flight.len());
                *load.entry(vm.clone()).or_default() -= 1;
                let target = RouteTarget::Server { vm };
                router.record_attempt_end(&target, AttemptResult::Failed, Timestamp(1));
            }
            _ => {
                let query = query("acme", stock_service(), &[]);
                let live = view
                    .services
                    .iter()
                    .filter(|server| server.state.may_serve());
                let least = live
                    .map(|server| load.get(&server.vm).copied().unwrap_or_default())
                    .min();
                match (router.choose(&query, &view, Timestamp(1)), least) {
                    (Ok(choice), Some(least)) => {
                        let RouteTarget::Server { vm } = choice.target.clone() else {
                            panic!("expected a backend server");
                        };
                        assert!(router.is_present(&choice.target, &view, Timestamp(1)));
                        let entry = load.entry(vm.clone()).or_default();
                        assert_eq!(*entry, least, "not the least loaded server");
                        *entry += 1;
                        router.record_attempt_start(&choice.target, &query);
                        in_flight.push(vm);
                    }
                    (Err(failure), None) => {
                        assert_eq!(failure.refusal.reason, ReasonCode::NoLiveServer);
                    }
                    (result, least) => panic!("{result:?} with least load {least:?}"),
                }
            }
        }
    }
    true
}

/// Guards against requests to dead or leaving servers, and against in-flight counts that drift from
/// the true values.
#[test]
fn services_are_routed_to_least_loaded_live_server() {
    check(
        "services_are_routed_to_least_loaded_live_server",
        200,
        run_steps as fn(Vec<u64>) -> bool,
    );
}

/// Guards against requests to a service by an account that may not use it.
#[test]
fn service_of_another_account_is_refused() {
    let view = fleet();
    let mut router = GroupRouter::new(RoutingSettings::default(), 3);
    router.update_view(&view);
    let failure = router
        .choose(&query("other", stock_service(), &[]), &view, Timestamp(1))
        .expect_err("the service is not open to this account");
    assert_eq!(failure.refusal.reason, ReasonCode::UnknownService);
}
