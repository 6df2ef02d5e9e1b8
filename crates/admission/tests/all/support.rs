//! Fleet views, queries and seeded property runs for the tests.

use std::sync::Arc;

use jaysaddle_admission::AdmitOutcome;
use jaysaddle_admission::AdmitQuery;
use jaysaddle_test_support::check_property;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::request::RequestPriority;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::rules::ModelRule;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::RequestRefusal;
use jaysaddle_types::verdict::Verdict;
use jaysaddle_types::view::AccountShare;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::GroupView;
use jaysaddle_types::view::VmState;
use quickcheck::Testable;

/// Checks a property with random inputs and prints the seed. `JAYSADDLE_SEED` and `JAYSADDLE_RUNS`
/// override the seed and the number of runs; `divisor` reduces the runs of slow properties.
pub fn check<P: Testable>(name: &str, size: usize, divisor: u64, property: P) {
    check_property(name, size, 2_000, divisor, property);
}

/// Creates a view with one ready group per model and the shares `(account, floor, ceiling)`.
pub fn view(models: &[(&str, u32)], shares: &[(&str, u32, Option<u32>)]) -> FleetView {
    let rules = RulesDocument {
        models: models
            .iter()
            .map(|(name, slots)| ModelRule {
                name: ModelId::new(*name),
                version: "v1".parse().expect("valid version"),
                vms_per_group: 1,
                groups: 1,
                slots_per_group: SlotCount(*slots),
                accounts: Vec::new(),
            })
            .collect(),
        ..RulesDocument::default()
    };
    FleetView {
        configured: true,
        rules: Arc::new(rules),
        groups: models
            .iter()
            .map(|(name, slots)| group(name, *slots))
            .collect(),
        shares: shares
            .iter()
            .map(|(account, floor, ceiling)| {
                let share = AccountShare {
                    floor: SlotCount(*floor),
                    ceiling: ceiling.map(SlotCount),
                };
                (AccountId::new(*account), share)
            })
            .collect(),
        capacity_permille: 1000,
        ..FleetView::default()
    }
}

fn group(model: &str, slots: u32) -> GroupView {
    GroupView {
        id: GroupId::new(format!("g-{model}")),
        generation: Generation(1),
        model: ModelId::new(model),
        version: "v1".parse().expect("valid version"),
        fabric_domain: FabricDomainId::new("fab-a"),
        failure_domain: FailureDomainId::new("fd-a"),
        members: vec![(VmId::new(format!("vm-{model}")), VmState::Live)],
        leader: ([127, 0, 0, 1], 9000).into(),
        state: GroupState::Ready,
        slots: SlotCount(slots),
        reason: "".into(),
    }
}

pub fn query(
    request: usize,
    account: &str,
    model: &str,
    priority: u8,
    deadline: Timestamp,
) -> AdmitQuery {
    AdmitQuery {
        request: RequestId::new(format!("r-{request}")),
        account: AccountId::new(account),
        target: RequestTarget::Model(ModelId::new(model)),
        priority: RequestPriority::new(priority),
        deadline,
    }
}

/// Returns the refusal in `outcome` and checks that its verdict is [`Verdict::NotRun`].
pub fn refusal(outcome: &AdmitOutcome) -> &RequestRefusal {
    let AdmitOutcome::Refused(refusal) = outcome else {
        panic!("{outcome:?} is not a refusal");
    };
    assert_eq!(refusal.verdict, Verdict::NotRun);
    refusal
}
