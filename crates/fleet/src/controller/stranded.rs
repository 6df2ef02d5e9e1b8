//! Uses free VMs of a fabric domain that nothing else would bring into a group: their weights are of different models, or they
//! are kept for a model for which they are too few.

use std::collections::BTreeMap;

use compact_str::format_compact;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::EngineProfile;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetView;
use crate::plan::FreeVm;
use crate::plan::ModelNeed;
use crate::plan::PlannedGroup;
use crate::plan::plan_groups;
use crate::staging_plan::PlannedStaging;
use crate::staging_plan::plan_restaging;

/// The VMs of a fabric domain that are left after planning.
#[derive(Clone, Debug)]
pub(super) struct LeftoverVms {
    ids: Vec<VmId>,
    /// Time since which these VMs, and no others, are left.
    since: Timestamp,
}

impl FleetController {
    /// Records the VMs that are left after planning. Returns those of each fabric domain that have been left for as long as
    /// a group may need to end, so that they wait for no members that are about to be free, and for no load.
    pub(super) fn stranded_vms(
        &mut self,
        service: &ServiceId,
        remaining: &[FreeVm],
        now: Timestamp,
    ) -> Vec<Vec<FreeVm>> {
        let mut domains: BTreeMap<&FabricDomainId, Vec<FreeVm>> = BTreeMap::new();
        for vm in remaining {
            domains.entry(&vm.domain).or_default().push(vm.clone());
        }
        let mut leftovers = BTreeMap::new();
        let mut stranded = Vec::new();
        for (domain, vms) in domains {
            let ids: Vec<VmId> = vms.iter().map(|vm| vm.id.clone()).collect();
            let key = (service.clone(), domain.clone());
            let last = self.leftovers.get(&key).filter(|last| last.ids == ids);
            let since = last.map_or(now, |last| last.since);
            leftovers.insert(key, LeftoverVms { ids, since });
            let has_waited = now.since(since) >= self.timing.stranded_time;
            let is_loading = vms.iter().any(|vm| self.is_staging(vm, now));
            if has_waited && !is_loading && !self.reservations.contains_key(domain) {
                stranded.push(vms);
            }
        }
        self.leftovers.retain(|(other, _), _| other != service);
        self.leftovers.extend(leftovers);
        stranded
    }

    /// Groups of stranded VMs that are kept for a model of which they cannot form a group, because they are too few.
    pub(super) fn plan_stranded_groups(
        &self,
        stranded: &[Vec<FreeVm>],
        needs: &mut [ModelNeed],
    ) -> Vec<PlannedGroup> {
        let mut planned = Vec::new();
        for vms in stranded {
            let mut fitting = fitting_needs(needs, vms.len());
            planned.extend(plan_groups(
                vms.clone(),
                &mut fitting,
                self.join_load_budget(),
            ));
            for need in needs.iter_mut() {
                if let Some(other) = fitting.iter().find(|other| other.id == need.id) {
                    need.capacity = other.capacity;
                }
            }
        }
        planned
    }

    /// Replaces weights of stranded VMs by those of a model of which the VMs then form a group, as far as the loads that
    /// may begin now suffice.
    pub(super) fn restage_stranded(
        &mut self,
        stranded: &[Vec<FreeVm>],
        profile: &EngineProfile,
        needs: &[ModelNeed],
        view: FleetView<'_>,
        now: Timestamp,
    ) {
        for vms in stranded {
            let available = self.load_budget(profile, view, now).available;
            let vms: Vec<FreeVm> = vms
                .iter()
                .filter(|vm| self.group_of(&vm.id).is_none() && self.may_restage(vm, view, now))
                .cloned()
                .collect();
            let needs = fitting_needs(needs, vms.len());
            let planned = plan_restaging(&vms, &needs, available);
            for staging in planned {
                let PlannedStaging {
                    vm,
                    model,
                    load_time,
                } = staging;
                if self.send_staging_order(&vm, &model, load_time, now) {
                    self.log_decision(format_compact!("vm={vm} decision=restage model={model}"));
                }
            }
        }
    }
}

/// The needs of models of which `count` VMs could form a group.
fn fitting_needs(needs: &[ModelNeed], count: usize) -> Vec<ModelNeed> {
    let fitting = needs.iter().filter(|need| need.group_size <= count);
    fitting.cloned().collect()
}
