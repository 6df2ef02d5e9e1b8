//! Stages weights on hosts within the limits of the weight store.

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::EngineProfile;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetView;
use crate::controller::GroupStage;
use crate::controller::to_free_vm;
use crate::plan::FreeVm;
use crate::plan::LoadBudget;
use crate::plan::ModelNeed;
use crate::staging_plan::DomainMembers;
use crate::staging_plan::PlannedStaging;
use crate::staging_plan::plan_staging;
use crate::table::TableRow;

/// Number of loads reserved for VMs that cannot join any group. New VMs may register at any time, and loads in
/// progress for serving VMs would delay theirs.
const RESERVED_LOADS: usize = 5;

/// Multiple of the load time after which a staging order without effect is repeated.
const STAGING_TIMEOUT_FACTOR: u64 = 3;

impl FleetController {
    /// Budget of loads that may start now. Loads beyond `concurrent_loads` would only slow down the others.
    pub(super) fn load_budget(
        &mut self,
        profile: &EngineProfile,
        view: FleetView<'_>,
        now: Timestamp,
    ) -> LoadBudget {
        if !self.demand.has_traffic() {
            return LoadBudget {
                available: usize::MAX,
                weight: 0.0,
            };
        }
        let running = view
            .table
            .rows()
            .filter(|row| self.is_loading(&row.entry, now))
            .count();
        let by_rate = self.load_limiter.available(profile.loads_per_second, now);
        LoadBudget {
            available: profile
                .concurrent_loads
                .saturating_sub(running)
                .min(by_rate),
            weight: 1.0,
        }
    }

    /// Whether a VM is loading from the weight store, for a join or for staging.
    pub(super) fn is_loading(&self, entry: &BackendEntry, now: Timestamp) -> bool {
        let Some(vm) = self.vms.get(&entry.id) else {
            return false;
        };
        let is_staging = vm
            .staging
            .as_ref()
            .is_some_and(|(model, until)| now < *until && !entry.staged.contains(model));
        let is_joining = entry
            .membership
            .as_ref()
            .is_some_and(|membership| membership.phase == MemberPhase::Joining);
        let has_load_order = vm.loading_until.is_some_and(|until| now < until);
        is_staging
            || (is_joining
                && !entry
                    .model
                    .as_ref()
                    .is_some_and(|model| entry.staged.contains(model)))
            || has_load_order
    }

    /// Stages weights on hosts, so that VMs can join groups without a load.
    ///
    /// Free VMs have priority. Serving VMs get a second model only from the budget that free VMs leave unused.
    pub(super) fn stage_models(
        &mut self,
        profile: &EngineProfile,
        free: &[FreeVm],
        needs: &[ModelNeed],
        view: FleetView<'_>,
        now: Timestamp,
    ) {
        let allowed = self.load_budget(profile, view, now).available;
        if allowed == 0 {
            return;
        }
        let stageable: Vec<FreeVm> = free
            .iter()
            .filter(|vm| self.may_stage(vm, view, now))
            .cloned()
            .collect();
        let pool = self.with_pending_staging(free, now);
        let members = self.domain_members(needs, view);
        let planned = plan_staging(&stageable, &pool, needs, &members, allowed);
        let staged = self.send_staging_orders(planned, now);
        let mut allowed = allowed - staged;
        if self.demand.has_traffic() {
            allowed = allowed.saturating_sub(RESERVED_LOADS);
        }
        let serving: Vec<FreeVm> = self
            .groups
            .values()
            .filter(|group| group.stage == GroupStage::Serving)
            .flat_map(|group| &group.members)
            .filter_map(|id| to_free_vm(view.table.get(id)?))
            .collect();
        let stageable: Vec<FreeVm> = serving
            .iter()
            .filter(|vm| self.may_stage(vm, view, now))
            .cloned()
            .collect();
        let pool = self.with_pending_staging(&serving, now);
        let repairs_nothing = DomainMembers::default();
        let planned = plan_staging(&stageable, &pool, needs, &repairs_nothing, allowed);
        self.send_staging_orders(planned, now);
    }

    /// Members of the groups that serve or are being formed, by fabric domain and model.
    fn domain_members(&self, needs: &[ModelNeed], view: FleetView<'_>) -> DomainMembers {
        let mut members = DomainMembers::default();
        for group in self
            .groups
            .values()
            .filter(|group| group.counts_as_capacity())
        {
            let leader = view.table.get(group.leader());
            let domain = leader.and_then(|row| row.entry.fabric_domain.clone());
            let index = needs.iter().position(|need| need.id == group.model);
            if let (Some(domain), Some(index)) = (domain, index) {
                let counts = members
                    .entry(domain)
                    .or_insert_with(|| vec![0; needs.len()]);
                counts[index] += group.members.len();
            }
        }
        members
    }

    /// The VMs with the models that are being staged on their hosts counted as staged.
    fn with_pending_staging(&self, vms: &[FreeVm], now: Timestamp) -> Vec<FreeVm> {
        let mut vms = vms.to_vec();
        for vm in &mut vms {
            if let Some(model) = self.pending_staging(&vm.id, now)
                && !vm.staged.contains(model)
            {
                vm.staged.push(model.clone());
            }
        }
        vms
    }

    pub(super) fn send_staging_orders(
        &mut self,
        planned: Vec<PlannedStaging>,
        now: Timestamp,
    ) -> usize {
        let mut sent = 0;
        for staging in planned {
            sent += usize::from(self.send_staging_order(
                &staging.vm,
                &staging.model,
                staging.load_time,
                now,
            ));
        }
        sent
    }

    /// Whether another model may be staged on a VM's host. It must not replace a staged model other than the one in
    /// the VM's memory, since that would be the VM's only copy.
    pub(super) fn may_stage(&self, vm: &FreeVm, view: FleetView<'_>, now: Timestamp) -> bool {
        let holds_another = vm
            .staged
            .iter()
            .any(|staged| Some(staged) != vm.last_model.as_ref());
        !holds_another
            && self.pending_staging(&vm.id, now).is_none()
            && self.may_restage(vm, view, now)
    }

    /// Whether another model may be staged on a VM's host, even if that replaces the VM's only copy of a model.
    pub(super) fn may_restage(&self, vm: &FreeVm, view: FleetView<'_>, now: Timestamp) -> bool {
        let Some(row) = view.table.get(&vm.id) else {
            return false;
        };
        if self.evacuated.contains(&row.entry.failure_domain) {
            return false;
        }
        let is_loaded = row.entry.membership.as_ref().is_none_or(|membership| {
            matches!(
                membership.phase,
                MemberPhase::Ready | MemberPhase::Open | MemberPhase::Broken
            )
        });
        let is_idle = self.vms.get(&vm.id).is_some_and(|state| {
            state.in_flight.is_none()
                && state.reachability.failed() == 0
                && state.loading_until.is_none_or(|until| now >= until)
        });
        is_loaded && is_idle && !self.is_staging(vm, now)
    }

    /// Model of the last order to stage weights on a VM's host, until the time after which the staging counts as failed.
    fn pending_staging(&self, id: &VmId, now: Timestamp) -> Option<&ModelId> {
        let (model, until) = self.vms.get(id)?.staging.as_ref()?;
        (now < *until).then_some(model)
    }

    /// The VM of a row as plans see it: weights on the host that a load in progress replaces do not count.
    pub(super) fn free_vm(&self, row: &TableRow, now: Timestamp) -> Option<FreeVm> {
        let mut vm = to_free_vm(row)?;
        if self.is_staging(&vm, now) {
            vm.staged.clear();
        }
        Some(vm)
    }

    /// Whether weights are being staged on a VM's host.
    pub(super) fn is_staging(&self, vm: &FreeVm, now: Timestamp) -> bool {
        let model = self.pending_staging(&vm.id, now);
        model.is_some_and(|model| !vm.staged.contains(model))
    }

    pub(super) fn send_staging_order(
        &mut self,
        id: &VmId,
        model: &ModelId,
        load_time: TimeSpan,
        now: Timestamp,
    ) -> bool {
        let order = BackendOrder::Stage {
            model: model.clone(),
        };
        let sent = self.send_order(id, order, now);
        if sent {
            self.load_limiter.record_start(now);
            let limit = TimeSpan(load_time.0 * STAGING_TIMEOUT_FACTOR);
            if let Some(vm) = self.vms.get_mut(id) {
                vm.staging = Some((model.clone(), now + limit));
            }
        }
        sent
    }
}
