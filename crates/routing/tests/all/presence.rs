//! A request is routed only to a group of its model that its account may use and whose presence is
//! confirmed or marked as needing a report.

use std::collections::HashMap;

use jaysaddle_routing::AttemptResult;
use jaysaddle_routing::GroupRouter;
use jaysaddle_routing::RouteChoice;
use jaysaddle_routing::RouteFailure;
use jaysaddle_routing::RoutePolicy;
use jaysaddle_routing::RouteQuery;
use jaysaddle_routing::RouteTarget;
use jaysaddle_routing::RoutingSettings;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::Verdict;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::GroupView;
use jaysaddle_types::view::VmState;

use crate::support::check;
use crate::support::group;
use crate::support::model;
use crate::support::query;
use crate::support::report;
use crate::support::view;

type Property = fn(Vec<u64>) -> bool;

const REPORT_MAX_AGE_MS: u64 = 2_000;
const GROUPS: usize = 6;
const STATES: [VmState; 7] = [
    VmState::Unknown,
    VmState::Live,
    VmState::Straggler,
    VmState::Suspect,
    VmState::Dead,
    VmState::Leaving,
    VmState::Returning,
];

/// The router under test and the reports that it was given.
struct Scenario {
    router: GroupRouter,
    view: FleetView,
    now: Timestamp,
    reports: HashMap<VmId, (EngineReport, Timestamp)>,
    in_flight: Vec<RouteTarget>,
}

impl Scenario {
    fn new(policy: RoutePolicy) -> Self {
        let groups = (0..GROUPS)
            .map(|number| group(number, ["chat", "embed"][number % 2]))
            .collect();
        let models = vec![model("chat", &["acme"]), model("embed", &[])];
        let settings = RoutingSettings {
            policy,
            ..RoutingSettings::default()
        };
        let view = view(groups, models, 3);
        let mut router = GroupRouter::new(settings, 7);
        router.update_view(&view);
        Self {
            router,
            view,
            now: Timestamp(10_000),
            reports: HashMap::new(),
            in_flight: Vec::new(),
        }
    }

    fn run(&mut self, word: u64) {
        let pick = (word >> 8) as usize;
        let position = pick % GROUPS;
        let variant = (word >> 24) as usize;
        match word % 16 {
            0 => self.now = Timestamp(self.now.0 + pick as u64 % 900),
            1..=3 => self.report(position, variant),
            4 => {
                self.view.groups[position].members[variant % 2].1 = STATES[variant % STATES.len()];
                self.router.update_view(&self.view);
            }
            5 => {
                let group = &mut self.view.groups[position];
                group.generation = Generation(group.generation.0 + 1);
                group.members.rotate_left(variant % 2);
                self.router.update_view(&self.view);
            }
            6 => {
                let states = [GroupState::Ready, GroupState::Draining, GroupState::Loading];
                self.view.groups[position].state = states[variant % 3];
                self.router.update_view(&self.view);
            }
            7 => {
                if !self.in_flight.is_empty() {
                    let target = self.in_flight.swap_remove(pick % self.in_flight.len());
                    let result = match variant % 3 {
                        0 => AttemptResult::Refused,
                        1 => AttemptResult::Failed,
                        _ => AttemptResult::Cancelled,
                    };
                    self.router.record_attempt_end(&target, result, self.now);
                }
            }
            8 => {
                self.view.groups.swap(0, position);
                self.router.update_view(&self.view);
            }
            _ => self.choose(pick, variant),
        }
    }

    fn report(&mut self, position: usize, variant: usize) {
        let group = &self.view.groups[position];
        let mut report = report(group, variant as u32 % 9);
        match variant % 8 {
            0 => report.leaving = true,
            1 => report.missing = vec![group.members[1].0.clone()],
            2 => report.generation = Generation(group.generation.0.saturating_sub(1)),
            3 => report.generation = Generation(group.generation.0 + 1),
            _ => {}
        }
        self.router.record_report(&report, self.now);
        self.reports.insert(report.vm.clone(), (report, self.now));
    }

    fn choose(&mut self, pick: usize, variant: usize) {
        let account = ["acme", "other"][pick % 2];
        let name = ["chat", "embed"][variant % 2];
        let prefix = [pick as u64 % 4 + 1, variant as u64 % 8 + 10];
        let mut query = query(account, RequestTarget::Model(ModelId::new(name)), &prefix);
        if variant.is_multiple_of(5) {
            query
                .excluded
                .push(self.view.groups[pick % GROUPS].members[0].0.clone());
        }
        let result = self.router.choose(&query, &self.view, self.now);
        match result {
            Ok(choice) => self.check_choice(&query, name, choice),
            Err(failure) => self.check_failure(&query, name, &failure),
        }
    }

    fn check_choice(&mut self, query: &RouteQuery, name: &str, choice: RouteChoice) {
        let RouteTarget::Group {
            group: id,
            generation,
            members,
        } = &choice.target
        else {
            panic!("a model request was routed to a plain service");
        };
        let found = self.view.groups.iter().find(|group| group.id == *id);
        let group = found.expect("the chosen group is in the view");
        assert_eq!(group.model.as_str(), name, "wrong model");
        assert_eq!(group.generation, *generation, "wrong generation");
        assert!(
            name != "chat" || query.account.as_str() == "acme",
            "wrong account"
        );
        assert!(
            !query.excluded.contains(&members[0]),
            "a group that already failed the request was chosen"
        );
        assert!(
            view_allows(group),
            "a member is missing or the group is not ready"
        );
        let present = self.is_confirmed(group);
        assert_eq!(
            choice.needs_report, !present,
            "needs_report disagrees with the last report"
        );
        let checked = self.router.is_present(&choice.target, &self.view, self.now);
        assert_eq!(
            checked, present,
            "is_present disagrees with the last report"
        );
        self.router.record_attempt_start(&choice.target, query);
        self.in_flight.push(choice.target);
    }

    fn check_failure(&self, query: &RouteQuery, name: &str, failure: &RouteFailure) {
        assert_eq!(failure.refusal.verdict, Verdict::NotRun);
        if name == "chat" && query.account.as_str() != "acme" {
            assert_eq!(failure.refusal.reason, ReasonCode::UnknownModel);
            return;
        }
        assert_eq!(failure.refusal.reason, ReasonCode::NoWholeGroup);
        let usable = self.view.groups.iter().find(|group| {
            group.model.as_str() == name
                && !query.excluded.contains(&group.members[0].0)
                && view_allows(group)
                && self.is_confirmed(group)
        });
        assert!(usable.is_none(), "{usable:?} is present but was excluded");
    }

    /// Whether a report of the leader, no older than the maximum age, confirms the group;
    /// implemented without the router's index.
    fn is_confirmed(&self, group: &GroupView) -> bool {
        let members: Vec<VmId> = group.members.iter().map(|(vm, _)| vm.clone()).collect();
        self.reports.get(&members[0]).is_some_and(|(report, at)| {
            self.now.0 - at.0 <= REPORT_MAX_AGE_MS
                && report.confirms(&group.id, group.generation, &members)
        })
    }
}

fn view_allows(group: &GroupView) -> bool {
    group.state == GroupState::Ready && group.members.iter().all(|(_, state)| state.may_serve())
}

/// Guards against a request that is sent to an incomplete group, to a group of another model or
/// account, or to a generation that its leader has not confirmed.
#[test]
fn choices_are_confirmed_or_need_report() {
    // quickcheck takes function pointers, which cannot capture the policy.
    let properties: [(&str, Property); 4] = [
        ("random", run_random),
        ("least loaded", run_least_loaded),
        ("two choices", run_two_choices),
        ("bounded affinity", run_bounded_affinity),
    ];
    for (policy, property) in properties {
        let name = format!("choices_are_confirmed_or_need_report, {policy}");
        check(&name, 300, property);
    }
}

fn run_policy(policy: RoutePolicy, words: Vec<u64>) -> bool {
    let mut scenario = Scenario::new(policy);
    for word in words {
        scenario.run(word);
    }
    true
}

fn run_random(words: Vec<u64>) -> bool {
    run_policy(RoutePolicy::Random, words)
}

fn run_least_loaded(words: Vec<u64>) -> bool {
    run_policy(RoutePolicy::LeastLoaded, words)
}

fn run_two_choices(words: Vec<u64>) -> bool {
    run_policy(RoutePolicy::TwoChoices, words)
}

fn run_bounded_affinity(words: Vec<u64>) -> bool {
    run_policy(RoutePolicy::BoundedAffinity, words)
}

/// Guards against a report that confirms presence after its maximum age.
#[test]
fn expired_report_does_not_confirm_presence() {
    let view = view(vec![group(0, "chat")], vec![model("chat", &[])], 1);
    let mut router = GroupRouter::new(RoutingSettings::default(), 1);
    router.update_view(&view);
    let query = query("acme", RequestTarget::Model(ModelId::new("chat")), &[]);
    let at = Timestamp(5_000);
    router.record_report(&report(&view.groups[0], 0), at);
    for (age, needs_report) in [(0, false), (REPORT_MAX_AGE_MS, false), (2_001, true)] {
        let now = Timestamp(at.0 + age);
        let choice = router
            .choose(&query, &view, now)
            .expect("one complete group");
        assert_eq!(choice.needs_report, needs_report, "report of age {age} ms");
        assert_eq!(router.is_present(&choice.target, &view, now), !needs_report);
    }
}

/// Guards against responses from another account's version, and against an upgrade that starts with
/// an outage because the old version gets no requests before the new one has loaded.
#[test]
fn versions_are_restricted_by_account_and_old_version_serves_until_drained() {
    let mut first = model("chat", &["acme"]);
    let mut second = model("chat", &["other"]);
    first.version = "v2".parse().expect("valid version");
    second.version = "v3".parse().expect("valid version");
    let mut groups = vec![group(0, "chat"), group(1, "chat")];
    groups[1].version = "v3".parse().expect("valid version");
    let view = view(groups, vec![first, second], 1);
    let mut router = GroupRouter::new(RoutingSettings::default(), 1);
    router.update_view(&view);
    let target = RequestTarget::Model(ModelId::new("chat"));
    for _ in 0..50 {
        let choice = router
            .choose(&query("acme", target.clone(), &[]), &view, Timestamp(1))
            .expect("the old version still serves");
        let RouteTarget::Group { group, .. } = choice.target else {
            panic!("expected a group");
        };
        assert_eq!(group.as_str(), "g-0");
    }
}
