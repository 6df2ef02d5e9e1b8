//! Computes the fleet's statistics.

use std::collections::BTreeMap;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetEffect;
use crate::controller::FleetStats;
use crate::controller::FleetView;
use crate::controller::GroupStage;
use crate::controller::ModelStats;
use crate::controller::to_free_vm;
use crate::groups::ReportedGroup;
use crate::plan::FreeVm;
use crate::table::TableRow;

impl FleetController {
    /// Reports the groups of each model by stage and the state of the VMs without a group.
    pub(super) fn summarize(
        &mut self,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        let member_count: usize = self.groups.values().map(|group| group.members.len()).sum();
        let lost = self.vms.keys().filter(|id| self.is_lost(id)).count();
        let idle: Vec<&TableRow> = view
            .table
            .rows()
            .filter(|row| view.config.engine(&row.entry.service).is_some())
            .filter(|row| self.group_of(&row.entry.id).is_none())
            .collect();
        let free: Vec<FreeVm> = idle
            .iter()
            .filter(|row| self.join_blocker(&row.entry, view, reported, now).is_none())
            .filter_map(|row| to_free_vm(row))
            .collect();
        let leaving = idle.iter().filter(|row| row.entry.is_draining).count();
        let joining = idle
            .iter()
            .filter(|row| {
                let membership = row.entry.membership.as_ref();
                membership.is_some_and(|membership| membership.phase == MemberPhase::Joining)
            })
            .count();
        let loading = view
            .table
            .rows()
            .filter(|row| self.is_loading(&row.entry, now))
            .count();
        let mut stages: BTreeMap<ModelId, [usize; 3]> = BTreeMap::new();
        let profiles = view.config.services.iter();
        for profile in profiles.filter_map(|service| service.engine.as_ref()) {
            for model in &profile.models {
                stages.entry(model.id.clone()).or_default();
            }
        }
        for group in self.groups.values() {
            let stage = match group.stage {
                GroupStage::Serving => 0,
                GroupStage::Joining | GroupStage::Opening => 1,
                GroupStage::Closing { .. } | GroupStage::Dissolving => 2,
            };
            stages.entry(group.model.clone()).or_default()[stage] += 1;
        }
        let models = stages
            .into_iter()
            .map(|(model, [serving, forming, ending])| ModelStats {
                serving,
                forming,
                ending,
                demand: self.demand.groups(&model, now),
                with_weights: free.iter().filter(|vm| vm.has_weights(&model)).count(),
                model,
            })
            .collect();
        let stats = FleetStats {
            interval: now.since(self.last_summary),
            vms: view.table.len(),
            members: member_count,
            lost,
            idle: idle.len(),
            free: free.len(),
            leaving,
            joining,
            loading,
            reserved: self.reservations.len(),
            models,
        };
        self.effects.push(FleetEffect::ReportStats(stats));
        self.log_idle_reasons(&idle, view, reported, now);
    }
}
