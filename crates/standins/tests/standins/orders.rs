//! Engines: orders and fencing.

use jaysaddle_engine::EngineClient;
use jaysaddle_engine::HttpEngine;
use jaysaddle_standins::EngineSettings;
use jaysaddle_standins::engine::FencingMode;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;

use crate::support::CALL;
use crate::support::address;
use crate::support::is_whole;
use crate::support::join;
use crate::support::pair_settings;
use crate::support::start_group;
use crate::support::wait_for;

/// Guards against an engine that follows an order of a paused lease holder.
#[test]
fn an_outdated_order_is_refused_where_fencing_is_enforced() {
    let standin = start_group(pair_settings());
    let leader = address(&standin, "a");
    assert_eq!(
        HttpEngine.order(leader, &join(5), CALL),
        Some(OrderOutcome::Accepted)
    );
    let stale = OrderOutcome::Stale {
        generation: Generation(5),
    };
    assert_eq!(HttpEngine.order(leader, &join(4), CALL), Some(stale));
    let report = HttpEngine.report(leader, CALL).unwrap();
    assert_eq!(report.generation, Generation(5));
    // The other member still follows generation 1.
    assert!(!is_whole(&standin, 5));
    HttpEngine.order(address(&standin, "b"), &join(5), CALL);
    wait_for("the group at generation 5", || is_whole(&standin, 5));
}

/// Guards against a stand-in that always checks tokens, which would hide missing corrections.
#[test]
fn an_outdated_order_is_followed_where_fencing_is_ignored() {
    let standin = start_group(EngineSettings {
        fencing: FencingMode::Ignored,
        ..pair_settings()
    });
    let leader = address(&standin, "a");
    HttpEngine.order(leader, &join(5), CALL);
    assert_eq!(
        HttpEngine.order(leader, &join(4), CALL),
        Some(OrderOutcome::Accepted)
    );
    let report = HttpEngine.report(leader, CALL).unwrap();
    assert_eq!(report.generation, Generation(4));
}

/// Guards against a release that leaves the group in place or frees a VM of another group.
#[test]
fn a_release_frees_only_its_own_group() {
    let standin = start_group(pair_settings());
    let leader = address(&standin, "a");
    let release = |group: &str| EngineOrder {
        group: GroupId::new(group),
        generation: Generation(2),
        action: OrderAction::Release,
    };
    HttpEngine.order(leader, &release("other"), CALL);
    assert!(is_whole(&standin, 1));
    HttpEngine.order(leader, &release("g"), CALL);
    let report = HttpEngine.report(leader, CALL).unwrap();
    assert_eq!((report.role, report.group), (EngineRole::Idle, None));
}
