//! Forms groups from free VMs.

use std::collections::BTreeMap;

use compact_str::format_compact;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::EngineProfile;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::controller::ControlledGroup;
use crate::controller::FleetController;
use crate::controller::FleetView;
use crate::controller::GroupStage;
use crate::groups::ReportedGroup;
use crate::groups::group_generation;
use crate::groups::group_name;
use crate::plan::FreeVm;
use crate::plan::LoadBudget;
use crate::plan::ModelNeed;
use crate::plan::PlannedGroup;
use crate::plan::plan_domain_group;
use crate::plan::plan_groups;
use crate::table::TableRow;

/// Speed-up of loads from the weight store before the first request arrives at the platform.
const EARLY_LOAD_FACTOR: u64 = 10;

impl FleetController {
    pub(super) fn may_plan(&mut self, view: FleetView<'_>, now: Timestamp) -> bool {
        if self.has_planned {
            return true;
        }
        let engines = view
            .table
            .rows()
            .filter(|row| view.config.engine(&row.entry.service).is_some());
        let (mut first, mut last) = (None, None);
        for row in engines {
            let first_seen = row.first_seen;
            first = Some(first.map_or(first_seen, |time: Timestamp| time.min(first_seen)));
            last = Some(last.map_or(first_seen, |time: Timestamp| time.max(first_seen)));
        }
        let (Some(first), Some(last)) = (first, last) else {
            return false;
        };
        let has_settled = now.since(last) >= self.timing.settle_time
            || now.since(first) >= self.timing.settle_timeout;
        self.has_planned = has_settled;
        has_settled
    }

    /// What the models of a service need beside the groups that count, as given by `counts`.
    pub(super) fn model_needs(
        &self,
        service: &ServiceId,
        profile: &EngineProfile,
        counts: impl Fn(&ControlledGroup) -> bool,
        now: Timestamp,
    ) -> Vec<ModelNeed> {
        let has_traffic = self.demand.has_traffic();
        profile
            .models
            .iter()
            .map(|model| {
                let groups = self.groups.values().filter(|group| {
                    group.service == *service
                        && group.model == model.id
                        && group.counts_as_capacity()
                        && !self.is_group_evacuated(group)
                        && counts(group)
                });
                // A reservation counts as a group, since one will be formed from its VMs.
                let reserved = self
                    .reservations
                    .values()
                    .filter(|(reserved, _)| *reserved == model.id)
                    .count();
                // A group whose leader has named a request limit serves only that part of the demand.
                let capacity: f64 = groups
                    .map(|group| {
                        let part = group.members.first().and_then(|id| self.limited.get(id));
                        part.copied().unwrap_or(1.0)
                    })
                    .sum();
                ModelNeed {
                    id: model.id.clone(),
                    group_size: model.group_size,
                    capacity: capacity + reserved as f64,
                    demand: self.demand.groups(&model.id, now),
                    memory_join_time: self.timing.memory_join_time,
                    host_join_time: model.staged_join_time,
                    load_time: if has_traffic {
                        model.load_time
                    } else {
                        TimeSpan(model.load_time.0 / EARLY_LOAD_FACTOR)
                    },
                }
            })
            .collect()
    }

    pub(super) fn form_groups(
        &mut self,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        for service in &view.config.services {
            let Some(profile) = &service.engine else {
                continue;
            };
            let rows = view.table.rows();
            let free: Vec<FreeVm> = rows
                .filter(|row| row.entry.service == service.id)
                .filter(|row| self.join_blocker(&row.entry, view, reported, now).is_none())
                .filter_map(|row| self.free_vm(row, now))
                .collect();
            // A silent group is replaced from free VMs only: other groups are not closed for it.
            let lasting_needs = self.model_needs(&service.id, profile, |_| true, now);
            self.drop_reservations(view, now);
            self.exchange_groups(service, &free, &lasting_needs, view, now);
            let is_answering = |group: &ControlledGroup| !self.has_silent_member(group);
            let mut needs = self.model_needs(&service.id, profile, is_answering, now);
            self.form_reserved(&service.id, &free, &needs, view, reported, now);
            let unreserved: Vec<FreeVm> = free
                .into_iter()
                .filter(|vm| !self.is_reserved(vm))
                .filter(|vm| self.group_of(&vm.id).is_none())
                .collect();
            for group in plan_groups(unreserved.clone(), &mut needs, self.join_load_budget()) {
                self.start_group(&service.id, group, view, reported, now);
            }
            let remaining: Vec<FreeVm> = unreserved
                .into_iter()
                .filter(|vm| self.group_of(&vm.id).is_none())
                .collect();
            let stranded = self.stranded_vms(&service.id, &remaining, now);
            for group in self.plan_stranded_groups(&stranded, &mut needs) {
                self.start_group(&service.id, group, view, reported, now);
            }
            let remaining: Vec<FreeVm> = remaining
                .into_iter()
                .filter(|vm| self.group_of(&vm.id).is_none())
                .collect();
            self.stage_models(profile, &remaining, &needs, view, now);
            self.restage_stranded(&stranded, profile, &needs, view, now);
        }
    }

    /// Budget of loads for joins. Before the first request, loads cost nothing. Afterwards joins may not load; weights
    /// are staged on hosts first, so that the other members do not wait for a load.
    pub(super) fn join_load_budget(&self) -> LoadBudget {
        LoadBudget {
            available: if self.demand.has_traffic() {
                0
            } else {
                usize::MAX
            },
            weight: 0.0,
        }
    }

    /// Whether a free VM is reserved for a group that is to be formed in its fabric domain.
    pub(super) fn is_reserved(&self, vm: &FreeVm) -> bool {
        self.reservations
            .get(&vm.domain)
            .is_some_and(|(model, _)| vm.has_weights(model))
    }

    /// Drops reservations that have expired or for which too few VMs remain.
    fn drop_reservations(&mut self, view: FleetView<'_>, now: Timestamp) {
        let reserved = std::mem::take(&mut self.reservations);
        for (domain, (model, until)) in reserved {
            let candidates = view
                .table
                .rows()
                .filter(|row| self.may_soon_join(row, &domain, &model, now))
                .count();
            let size = view
                .config
                .services
                .iter()
                .filter_map(|service| service.engine.as_ref()?.model(&model))
                .map(|profile| profile.group_size)
                .next();
            let is_possible = size.is_some_and(|size| candidates >= size);
            if now < until && is_possible {
                self.reservations.insert(domain, (model, until));
            } else {
                self.log_decision(format_compact!(
                    "domain={domain} decision=drop_reservation model={model} candidates={candidates}"
                ));
            }
        }
    }

    /// Whether a VM of `domain` can join a group of `model` without a load, now or after its closing group has ended.
    fn may_soon_join(
        &self,
        row: &TableRow,
        domain: &FabricDomainId,
        model: &ModelId,
        now: Timestamp,
    ) -> bool {
        let entry = &row.entry;
        let is_ending = self.group_of(&entry.id).is_none_or(|key| {
            self.groups.get(key).is_some_and(|group| {
                matches!(
                    group.stage,
                    GroupStage::Closing { .. } | GroupStage::Dissolving
                )
            })
        });
        let is_reachable = self
            .vms
            .get(&entry.id)
            .is_some_and(|vm| vm.reachability.failed() == 0);
        is_ending
            && is_reachable
            && !entry.is_draining
            && !self.evacuated.contains(&entry.failure_domain)
            && self
                .free_vm(row, now)
                .is_some_and(|vm| vm.domain == *domain && vm.has_weights(model))
    }

    /// Forms the groups for which VMs are reserved, as soon as enough of them are free.
    pub(super) fn form_reserved(
        &mut self,
        service: &ServiceId,
        free: &[FreeVm],
        needs: &[ModelNeed],
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        for (domain, (model, _)) in self.reservations.clone() {
            let Some(need) = needs.iter().find(|need| need.id == model) else {
                continue;
            };
            let free: Vec<FreeVm> = free
                .iter()
                .filter(|vm| vm.domain == domain && self.group_of(&vm.id).is_none())
                .cloned()
                .collect();
            if let Some(group) = plan_domain_group(&domain, &free, need) {
                self.reservations.remove(&domain);
                self.start_group(service, group, view, reported, now);
            }
        }
    }

    pub(super) fn start_group(
        &mut self,
        service: &ServiceId,
        planned: PlannedGroup,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        let Some(term) = self.term else {
            return;
        };
        self.groups_formed += 1;
        let generation = group_generation(term, self.groups_formed);
        let key = GroupKey {
            group: GroupId::new(group_name(term, self.groups_formed)),
            generation,
        };
        for id in &planned.loading {
            self.load_limiter.record_start(now);
            if let Some(vm) = self.vms.get_mut(id) {
                vm.loading_until = Some(now + self.timing.join_visibility_timeout);
            }
        }
        self.log_decision(format_compact!(
            "group={key} decision=form model={} domain={} members={} loads={} expected_ms={}",
            planned.model,
            planned.domain,
            planned.members.len(),
            planned.loading.len(),
            planned.join_time.as_millis()
        ));
        for id in &planned.members {
            self.log_assignment(id, &key, view, reported, now);
        }
        let origins = planned
            .members
            .iter()
            .filter_map(|id| {
                let state = self.vms.get(id)?.state.as_ref()?;
                Some((id.clone(), state.group.clone()))
            })
            .collect();
        let group = ControlledGroup {
            service: service.clone(),
            model: planned.model.clone(),
            members: planned.members.clone(),
            stage: GroupStage::Joining,
            is_adopted: false,
            created: now,
            origins,
            joined: BTreeMap::new(),
            last_order: None,
        };
        self.groups.insert(key.clone(), group);
        for id in &planned.members {
            let order = BackendOrder::Join {
                key: key.clone(),
                model: planned.model.clone(),
                members: planned.members.clone(),
            };
            self.send_order(id, order, now);
        }
    }
}
