//! The router.

use std::collections::HashMap;

use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::rules::ModelRule;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupView;

use crate::affinity::AffinityTable;
use crate::index::IndexedGroup;
use crate::index::Presence;
use crate::index::ViewIndex;
use crate::index::may_take_request;
use crate::index::member_ids;
use crate::index::presence_of;
use crate::load::LoadEstimate;
use crate::load::mean_foreign;
use crate::outcome::failure;
use crate::outcome::group_choice;
use crate::outcome::server_choice;
use crate::policy::PolicyInput;
use crate::policy::RouteCandidate;
use crate::policy::pick;
use crate::query::AttemptResult;
use crate::query::RouteChoice;
use crate::query::RouteFailure;
use crate::query::RouteQuery;
use crate::query::RouteTarget;
use crate::random::SeededGenerator;
use crate::settings::RoutingSettings;

/// Chooses a group or backend server for each request.
#[derive(Clone, Debug)]
pub struct GroupRouter {
    settings: RoutingSettings,
    generator: SeededGenerator,
    index: ViewIndex,
    affinity: AffinityTable,
    /// Last report of each VM that is a member of some group.
    reports: HashMap<VmId, (EngineReport, Timestamp)>,
    /// Own requests by backend server of a plain service.
    server_load: HashMap<VmId, u32>,
    /// Other nodes that send requests.
    peers: f64,
}

/// Why a group does not fit a request.
type Exclusion = &'static str;

impl GroupRouter {
    /// A router that knows no view yet.
    pub fn new(settings: RoutingSettings, seed: u64) -> Self {
        let affinity = AffinityTable::new(settings.affinity_entries);
        Self {
            settings,
            generator: SeededGenerator::new(seed),
            index: ViewIndex::default(),
            affinity,
            reports: HashMap::new(),
            server_load: HashMap::new(),
            peers: 0.0,
        }
    }

    /// Rebuilds the index for `view`.
    pub fn update_view(&mut self, view: &FleetView) {
        let members = view.groups.iter().flat_map(|group| &group.members);
        let mut kept = HashMap::new();
        for (vm, _) in members {
            if let Some(report) = self.reports.remove(vm) {
                kept.insert(vm.clone(), report);
            }
        }
        self.reports = kept;
        self.index.rebuild(view, &self.reports);
        self.server_load.retain(|_, in_flight| *in_flight > 0);
        let senders = view
            .nodes
            .iter()
            .filter(|(_, state)| matches!(state, NodeState::Alive | NodeState::Leaving))
            .count();
        self.peers = senders.saturating_sub(1) as f64;
    }

    /// Chooses where a request goes.
    ///
    /// # Errors
    ///
    /// Fails when no group or backend server fits; the request has not run.
    #[expect(
        clippy::result_large_err,
        reason = "a failure is rare and consumed at once; a box would only move it"
    )]
    pub fn choose(
        &mut self,
        query: &RouteQuery,
        view: &FleetView,
        now: Timestamp,
    ) -> Result<RouteChoice, RouteFailure> {
        if !view.configured {
            return Err(failure(query, ReasonCode::NotConfigured, Vec::new()));
        }
        if !self.is_current(view) {
            self.update_view(view);
        }
        match &query.target {
            RequestTarget::Model(model) => self.choose_group(query, model, view, now),
            RequestTarget::Service(service) => self.choose_server(query, service, view),
        }
    }

    /// Records a leader's own report.
    pub fn record_report(&mut self, report: &EngineReport, now: Timestamp) {
        if let Some(position) = self.index.position_of_leader(&report.vm) {
            let group = &mut self.index.groups[position];
            let same = report.generation == group.generation;
            if same && report.group.as_ref() == Some(&group.id) {
                group.load.record_report(report, now);
            }
            group.presence = group.view_presence(report, now);
        }
        self.reports
            .insert(report.vm.clone(), (report.clone(), now));
    }

    /// Records that a request is sent to `target`.
    pub fn record_attempt_start(&mut self, target: &RouteTarget, query: &RouteQuery) {
        match target {
            RouteTarget::Group { group, .. } => {
                let Some(position) = self.index.position(group) else {
                    return;
                };
                let group = &mut self.index.groups[position];
                group.load.in_flight += 1;
                let instance = group.instance;
                for block in query.prefix.iter() {
                    self.affinity.insert(*block, instance);
                }
            }
            RouteTarget::Server { vm } => {
                *self.server_load.entry(vm.clone()).or_default() += 1;
            }
        }
    }

    /// Records the end of an attempt at `target`.
    pub fn record_attempt_end(
        &mut self,
        target: &RouteTarget,
        result: AttemptResult,
        now: Timestamp,
    ) {
        match target {
            RouteTarget::Group { group, .. } => {
                let Some(position) = self.index.position(group) else {
                    return;
                };
                let load = &mut self.index.groups[position].load;
                load.in_flight = load.in_flight.saturating_sub(1);
                if matches!(result, AttemptResult::Refused | AttemptResult::Failed) {
                    load.avoid(now);
                }
            }
            RouteTarget::Server { vm } => {
                if let Some(in_flight) = self.server_load.get_mut(vm) {
                    *in_flight = in_flight.saturating_sub(1);
                }
            }
        }
    }

    /// Whether `target` may receive a request now.
    ///
    /// A group may when the view shows it ready with these members at this generation, and its
    /// leader's own report, no older than the presence bound, confirms the same.
    pub fn is_present(&self, target: &RouteTarget, view: &FleetView, now: Timestamp) -> bool {
        match target {
            RouteTarget::Group {
                group,
                generation,
                members,
            } => {
                let Some(stored) = self.group_in_view(view, group) else {
                    return false;
                };
                stored.generation == *generation
                    && may_take_request(stored)
                    && member_ids(stored) == *members
                    && self.is_confirmed(stored, now)
            }
            RouteTarget::Server { vm } => view
                .services
                .iter()
                .any(|service| service.vm == *vm && service.state.may_serve()),
        }
    }

    fn is_confirmed(&self, group: &GroupView, now: Timestamp) -> bool {
        let report = group
            .members
            .first()
            .and_then(|(leader, _)| self.reports.get(leader));
        report.is_some_and(|(report, at)| {
            now.since(*at) <= self.settings.presence_bound
                && matches!(presence_of(group, report, *at), Presence::Confirmed(_))
        })
    }

    /// The group in `view`; the index shortens the search when it is of this view.
    fn group_in_view<'a>(&self, view: &'a FleetView, group: &GroupId) -> Option<&'a GroupView> {
        let indexed = self
            .index
            .position(group)
            .and_then(|position| view.groups.get(position))
            .filter(|found| found.id == *group);
        indexed.or_else(|| view.groups.iter().find(|found| found.id == *group))
    }

    fn is_current(&self, view: &FleetView) -> bool {
        self.index.groups.len() == view.groups.len()
            && self
                .index
                .groups
                .iter()
                .zip(&view.groups)
                .all(|(indexed, group)| {
                    indexed.generation == group.generation && indexed.id == group.id
                })
    }

    #[expect(
        clippy::result_large_err,
        reason = "a failure is rare and consumed at once; a box would only move it"
    )]
    fn choose_group(
        &mut self,
        query: &RouteQuery,
        model: &ModelId,
        view: &FleetView,
        now: Timestamp,
    ) -> Result<RouteChoice, RouteFailure> {
        let rules: Vec<&ModelRule> = view
            .rules
            .models
            .iter()
            .filter(|rule| rule.name == *model)
            .collect();
        if !rules.iter().any(|rule| rule.allows_account(&query.account)) {
            return Err(failure(query, ReasonCode::UnknownModel, Vec::new()));
        }
        let positions = self
            .index
            .by_model
            .get(model)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let fitting: Vec<usize> = positions
            .iter()
            .copied()
            .filter(|position| {
                let group = &view.groups[*position];
                self.exclusion(query, group, &self.index.groups[*position], &rules, now)
                    .is_none()
            })
            .collect();
        let candidates = self.candidates(&fitting, now);
        let input = PolicyInput {
            candidates: &candidates,
            index: &self.index,
            affinity: &self.affinity,
            prefix: &query.prefix,
            bound_permille: self.settings.affinity_bound_permille,
        };
        let Some(pick) = pick(self.settings.policy, &input, &mut self.generator) else {
            let details = positions
                .iter()
                .map(|position| {
                    let group = &view.groups[*position];
                    let indexed = &self.index.groups[*position];
                    let why = self.exclusion(query, group, indexed, &rules, now);
                    (
                        group.id.as_str().into(),
                        why.unwrap_or("not excluded").into(),
                    )
                })
                .collect();
            return Err(failure(query, ReasonCode::NoWholeGroup, details));
        };
        let mean = input.mean_load();
        let group = &view.groups[pick.candidate.position];
        let indexed = &self.index.groups[pick.candidate.position];
        let age = indexed.load.report_age(now);
        let needs_report = !self.is_confirmed(group, now);
        Ok(group_choice(
            query,
            group,
            &pick,
            mean,
            candidates.len(),
            (age, needs_report),
        ))
    }

    /// Why `group` does not fit, or `None` when it does.
    fn exclusion(
        &self,
        query: &RouteQuery,
        group: &GroupView,
        indexed: &IndexedGroup,
        rules: &[&ModelRule],
        now: Timestamp,
    ) -> Option<Exclusion> {
        if !indexed.serving {
            return Some("not ready, or a member is not live");
        }
        if !version_admits(group, rules, query) {
            return Some("version belongs to another account");
        }
        let leader = group.members.first().map(|(vm, _)| vm);
        if leader.is_some_and(|vm| query.excluded.contains(vm)) {
            return Some("already failed this request");
        }
        match indexed.presence {
            Presence::Denied(at) if now.since(at) <= self.settings.presence_bound => {
                Some("leader reports a missing member, another group or that it is leaving")
            }
            _ => None,
        }
    }

    fn candidates(&self, positions: &[usize], now: Timestamp) -> Vec<RouteCandidate> {
        let half_life = self.settings.report_half_life;
        let estimates: Vec<LoadEstimate> = positions
            .iter()
            .map(|position| {
                let load = &self.index.groups[*position].load;
                load.estimate(now, half_life, self.peers)
            })
            .collect();
        let mean = mean_foreign(estimates.iter().copied());
        positions
            .iter()
            .zip(&estimates)
            .map(|(position, estimate)| {
                let group = &self.index.groups[*position];
                RouteCandidate {
                    position: *position,
                    load: group.load_per_slot(*estimate, mean, now),
                }
            })
            .collect()
    }

    #[expect(
        clippy::result_large_err,
        reason = "a failure is rare and consumed at once; a box would only move it"
    )]
    fn choose_server(
        &mut self,
        query: &RouteQuery,
        service: &ServiceId,
        view: &FleetView,
    ) -> Result<RouteChoice, RouteFailure> {
        let named = view
            .services
            .iter()
            .filter(|server| server.name == *service);
        let admitted = named.filter(|server| {
            server.accounts.is_empty() || server.accounts.contains(&query.account)
        });
        let admitted: Vec<_> = admitted.collect();
        if admitted.is_empty() {
            return Err(failure(query, ReasonCode::UnknownService, Vec::new()));
        }
        let load = |vm: &VmId| self.server_load.get(vm).copied().unwrap_or_default();
        let live: Vec<_> = admitted
            .iter()
            .copied()
            .filter(|server| server.state.may_serve() && !query.excluded.contains(&server.vm))
            .collect();
        let Some(least) = live.iter().map(|server| load(&server.vm)).min() else {
            let details = admitted
                .iter()
                .map(|server| {
                    let why = match server.state.may_serve() {
                        true => "already failed this request",
                        false => "VM is not live",
                    };
                    (server.vm.as_str().into(), why.into())
                })
                .collect();
            return Err(failure(query, ReasonCode::NoLiveServer, details));
        };
        let tied: Vec<_> = live
            .iter()
            .copied()
            .filter(|server| load(&server.vm) == least)
            .collect();
        let server = tied[self.generator.below(tied.len())];
        Ok(server_choice(query, server, least, live.len()))
    }
}

/// Whether the group's version is one that the account may use.
///
/// A version that no rule names is an old one in a rolling upgrade; it serves until the planner
/// drains it, because otherwise an upgrade would start with an outage.
fn version_admits(group: &GroupView, rules: &[&ModelRule], query: &RouteQuery) -> bool {
    let mut named = rules
        .iter()
        .filter(|rule| rule.version == group.version)
        .peekable();
    named.peek().is_none() || named.any(|rule| rule.allows_account(&query.account))
}
