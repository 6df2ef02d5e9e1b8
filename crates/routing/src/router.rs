//! Selects the group or backend server for each request.

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
use crate::index::member_ids;
use crate::index::presence_of;
use crate::index::view_allows_requests;
use crate::load::LoadEstimate;
use crate::load::mean_remote;
use crate::outcome::group_choice;
use crate::outcome::route_failure;
use crate::outcome::server_choice;
use crate::policy::PolicyInput;
use crate::policy::RouteCandidate;
use crate::policy::pick;
use crate::query::AttemptResult;
use crate::query::RouteChoice;
use crate::query::RouteFailure;
use crate::query::RouteQuery;
use crate::query::RouteTarget;
use crate::random::SeededRandom;
use crate::settings::RoutingSettings;

/// Selects the group or backend server for each request of a node.
///
/// The caller passes in each new fleet view, the reports of leaders, and the start and end of each
/// attempt; the router performs no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct GroupRouter {
    settings: RoutingSettings,
    generator: SeededRandom,
    index: ViewIndex,
    affinity: AffinityTable,
    /// Last report of each VM, with the time it was received; reports of VMs that are in no group
    /// are dropped at the next view.
    reports: HashMap<VmId, (EngineReport, Timestamp)>,
    /// Requests of this node in flight, by VM of the backend server.
    server_in_flight: HashMap<VmId, u32>,
    /// Number of other nodes that may send requests.
    peers: f64,
}

/// Why a group is excluded from the candidates; part of the `explain` output.
type ExclusionReason = &'static str;

impl GroupRouter {
    /// Creates a router without a view.
    ///
    /// `seed` makes the random choices reproducible.
    pub fn new(settings: RoutingSettings, seed: u64) -> Self {
        let affinity = AffinityTable::new(settings.affinity_capacity);
        Self {
            settings,
            generator: SeededRandom::new(seed),
            index: ViewIndex::default(),
            affinity,
            reports: HashMap::new(),
            server_in_flight: HashMap::new(),
            peers: 0.0,
        }
    }

    /// Rebuilds the index for `view` and drops state that the view no longer needs.
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
        self.server_in_flight.retain(|_, in_flight| *in_flight > 0);
        let sending_nodes = view
            .nodes
            .iter()
            .filter(|(_, state)| matches!(state, NodeState::Alive | NodeState::Leaving))
            .count();
        self.peers = sending_nodes.saturating_sub(1) as f64;
    }

    /// Selects the group or backend server for a request.
    ///
    /// # Errors
    ///
    /// Fails if no group or backend server can serve the request; the request has not run.
    #[expect(
        clippy::result_large_err,
        reason = "failures are rare and consumed immediately; boxing would only add an allocation"
    )]
    pub fn choose(
        &mut self,
        query: &RouteQuery,
        view: &FleetView,
        now: Timestamp,
    ) -> Result<RouteChoice, RouteFailure> {
        if !view.configured {
            return Err(route_failure(query, ReasonCode::NotConfigured, Vec::new()));
        }
        if !self.is_current(view) {
            self.update_view(view);
        }
        match &query.target {
            RequestTarget::Model(model) => self.choose_group(query, model, view, now),
            RequestTarget::Service(service) => self.choose_server(query, service, view),
        }
    }

    /// Records the load and presence that an engine reports about itself at `now`.
    pub fn record_report(&mut self, report: &EngineReport, now: Timestamp) {
        if let Some(position) = self.index.position_of_leader(&report.vm) {
            let group = &mut self.index.groups[position];
            let same_generation = report.generation == group.generation;
            if same_generation && report.group.as_ref() == Some(&group.id) {
                group.load.record_report(report, now);
            }
            group.presence = group.presence_from(report, now);
        }
        self.reports
            .insert(report.vm.clone(), (report.clone(), now));
    }

    /// Records that an attempt of `query` is sent to `target`.
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
                *self.server_in_flight.entry(vm.clone()).or_default() += 1;
            }
        }
    }

    /// Records the end of an attempt at `target`.
    ///
    /// A group that refused or failed the attempt is avoided for a limited period.
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
                    load.mark_avoided(now);
                }
            }
            RouteTarget::Server { vm } => {
                if let Some(in_flight) = self.server_in_flight.get_mut(vm) {
                    *in_flight = in_flight.saturating_sub(1);
                }
            }
        }
    }

    /// Whether `target` may receive a request now.
    ///
    /// A group may if the view shows it ready with these members at this generation and a report of
    /// its leader, no older than `report_max_age`, confirms the same. A backend server may if the
    /// view shows its VM in a state that serves.
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
                    && view_allows_requests(stored)
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
            now.since(*at) <= self.settings.report_max_age
                && matches!(presence_of(group, report, *at), Presence::Confirmed(_))
        })
    }

    /// Looks up a group in `view`, through the index if it matches the view, otherwise by a linear
    /// search over the groups.
    fn group_in_view<'a>(&self, view: &'a FleetView, group: &GroupId) -> Option<&'a GroupView> {
        let indexed = self
            .index
            .position(group)
            .and_then(|position| view.groups.get(position))
            .filter(|entry| entry.id == *group);
        indexed.or_else(|| view.groups.iter().find(|entry| entry.id == *group))
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
        reason = "failures are rare and consumed immediately; boxing would only add an allocation"
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
            return Err(route_failure(query, ReasonCode::UnknownModel, Vec::new()));
        }
        let positions = self
            .index
            .by_model
            .get(model)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let eligible: Vec<usize> = positions
            .iter()
            .copied()
            .filter(|position| {
                let group = &view.groups[*position];
                self.exclusion_reason(query, group, &self.index.groups[*position], &rules, now)
                    .is_none()
            })
            .collect();
        let candidates = self.candidates(&eligible, now);
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
                    let reason = self.exclusion_reason(query, group, indexed, &rules, now);
                    (
                        group.id.as_str().into(),
                        reason.unwrap_or("not excluded").into(),
                    )
                })
                .collect();
            return Err(route_failure(query, ReasonCode::NoWholeGroup, details));
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

    /// Returns why `group` is excluded, or `None` if it is a candidate.
    fn exclusion_reason(
        &self,
        query: &RouteQuery,
        group: &GroupView,
        indexed: &IndexedGroup,
        rules: &[&ModelRule],
        now: Timestamp,
    ) -> Option<ExclusionReason> {
        if !indexed.may_serve {
            return Some("not ready, or a member is not live");
        }
        if !is_version_allowed(group, rules, query) {
            return Some("version belongs to another account");
        }
        let leader = group.members.first().map(|(vm, _)| vm);
        if leader.is_some_and(|vm| query.excluded.contains(vm)) {
            return Some("already failed this request");
        }
        match indexed.presence {
            Presence::Denied(at) if now.since(at) <= self.settings.report_max_age => {
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
                load.weigh_report(now, half_life, self.peers)
            })
            .collect();
        let mean = mean_remote(estimates.iter().copied());
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
        reason = "failures are rare and consumed immediately; boxing would only add an allocation"
    )]
    fn choose_server(
        &mut self,
        query: &RouteQuery,
        service: &ServiceId,
        view: &FleetView,
    ) -> Result<RouteChoice, RouteFailure> {
        let matching = view
            .services
            .iter()
            .filter(|server| server.name == *service);
        let allowed = matching.filter(|server| {
            server.accounts.is_empty() || server.accounts.contains(&query.account)
        });
        let allowed: Vec<_> = allowed.collect();
        if allowed.is_empty() {
            return Err(route_failure(query, ReasonCode::UnknownService, Vec::new()));
        }
        let load = |vm: &VmId| self.server_in_flight.get(vm).copied().unwrap_or_default();
        let live: Vec<_> = allowed
            .iter()
            .copied()
            .filter(|server| server.state.may_serve() && !query.excluded.contains(&server.vm))
            .collect();
        let Some(least) = live.iter().map(|server| load(&server.vm)).min() else {
            let details = allowed
                .iter()
                .map(|server| {
                    let reason = match server.state.may_serve() {
                        true => "already failed this request",
                        false => "VM is not live",
                    };
                    (server.vm.as_str().into(), reason.into())
                })
                .collect();
            return Err(route_failure(query, ReasonCode::NoLiveServer, details));
        };
        let tied: Vec<_> = live
            .iter()
            .copied()
            .filter(|server| load(&server.vm) == least)
            .collect();
        let server = tied[self.generator.next_below(tied.len())];
        Ok(server_choice(query, server, least, live.len()))
    }
}

/// Whether the account may use the group's version.
///
/// A version that no rule names is the old version in a rolling upgrade. It serves until the
/// planner drains the group; otherwise an upgrade would start with an outage.
fn is_version_allowed(group: &GroupView, rules: &[&ModelRule], query: &RouteQuery) -> bool {
    let mut matching = rules
        .iter()
        .filter(|rule| rule.version == group.version)
        .peekable();
    matching.peek().is_none() || matching.any(|rule| rule.allows_account(&query.account))
}
