//! Has weights put on hosts, within the limits of the weight store.

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
use crate::controller::as_free_vm;
use crate::plan::FreeVm;
use crate::plan::LoadBudget;
use crate::plan::ModelNeed;
use crate::staging_plan::PlannedStaging;
use crate::staging_plan::plan_staging;

/// Loads that are kept for VMs that can join nothing: a few new VMs may come at any time, and a load under way for
/// VMs that serve would hold theirs up.
const RESERVED_LOADS: usize = 5;

/// Load times after which a host that does not show a staged model is asked again.
const STAGING_PATIENCE: u64 = 3;

impl FleetController {
    /// Loads that may start. Beyond the number that run at full speed, each load would only slow down the others.
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
        let by_rate = self.loads.available(profile.loads_per_second, now);
        LoadBudget {
            available: profile
                .concurrent_loads
                .saturating_sub(running)
                .min(by_rate),
            weight: 1.0,
        }
    }

    /// Whether a VM is loading from the weight store, for a join or onto its host.
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
        let is_told_to_load = vm.loading_until.is_some_and(|until| now < until);
        is_staging
            || (is_joining
                && !entry
                    .model
                    .as_ref()
                    .is_some_and(|model| entry.staged.contains(model)))
            || is_told_to_load
    }

    /// Has weights put on hosts, so that VMs can join groups without a load.
    ///
    /// Free VMs come first. VMs that serve get a second model only while the weight store has nothing else to
    /// do.
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
        let pool = self.with_staging(free, now);
        let staged = self.stage_best(plan_staging(&stageable, &pool, needs, allowed), now);
        let mut allowed = allowed - staged;
        if self.demand.has_traffic() {
            allowed = allowed.saturating_sub(RESERVED_LOADS);
        }
        let serving: Vec<FreeVm> = self
            .groups
            .values()
            .filter(|group| group.stage == GroupStage::Serving)
            .flat_map(|group| &group.members)
            .filter_map(|id| as_free_vm(&view.table.get(id)?.entry))
            .collect();
        let stageable: Vec<FreeVm> = serving
            .iter()
            .filter(|vm| self.may_stage(vm, view, now))
            .cloned()
            .collect();
        let pool = self.with_staging(&serving, now);
        self.stage_best(plan_staging(&stageable, &pool, needs, allowed), now);
    }

    /// The VMs as they will be once their hosts have what is being put on them.
    fn with_staging(&self, vms: &[FreeVm], now: Timestamp) -> Vec<FreeVm> {
        let mut vms = vms.to_vec();
        for vm in &mut vms {
            let staging = self
                .vms
                .get(&vm.id)
                .and_then(|known| known.staging.as_ref());
            if let Some((model, until)) = staging
                && now < *until
                && !vm.staged.contains(model)
            {
                vm.staged.push(model.clone());
            }
        }
        vms
    }

    pub(super) fn stage_best(&mut self, planned: Vec<PlannedStaging>, now: Timestamp) -> usize {
        let mut sent = 0;
        for staging in planned {
            sent += usize::from(self.stage(&staging.vm, &staging.model, staging.load_time, now));
        }
        sent
    }

    /// Whether a host has room for another model: what it holds now is not the only copy of a model that its VM
    /// may go back to.
    pub(super) fn may_stage(&self, vm: &FreeVm, view: FleetView<'_>, now: Timestamp) -> bool {
        let Some(row) = view.table.get(&vm.id) else {
            return false;
        };
        let is_loaded = row.entry.membership.as_ref().is_none_or(|membership| {
            matches!(
                membership.phase,
                MemberPhase::Ready | MemberPhase::Open | MemberPhase::Broken
            )
        });
        let holds_another = vm
            .staged
            .iter()
            .any(|staged| Some(staged) != vm.last_model.as_ref());
        let is_idle = self.vms.get(&vm.id).is_some_and(|known| {
            known.in_flight.is_none()
                && known.failed_probes == 0
                && known.loading_until.is_none_or(|until| now >= until)
                && known
                    .staging
                    .as_ref()
                    .is_none_or(|(_, until)| now >= *until)
        });
        is_loaded && !holds_another && is_idle
    }

    pub(super) fn stage(
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
            self.loads.started(now);
            let limit = TimeSpan(load_time.0 * STAGING_PATIENCE);
            if let Some(vm) = self.vms.get_mut(id) {
                vm.staging = Some((model.clone(), now + limit));
            }
        }
        sent
    }
}
