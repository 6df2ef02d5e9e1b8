//! The summary line of the log.

use std::collections::BTreeMap;

use compact_str::format_compact;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetEffect;
use crate::controller::FleetView;
use crate::controller::GroupStage;
use crate::controller::as_free_vm;
use crate::groups::ReportedGroup;
use crate::plan::FreeVm;

impl FleetController {
    /// Tells how many groups each model has in each stage, and what the VMs without a group do.
    pub(super) fn summarise(
        &mut self,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        let held: usize = self.groups.values().map(|group| group.members.len()).sum();
        let lost = self.vms.keys().filter(|id| self.is_lost(id)).count();
        let idle: Vec<&BackendEntry> = view
            .table
            .rows()
            .map(|row| &row.entry)
            .filter(|entry| view.config.engine(&entry.service).is_some())
            .filter(|entry| self.holder_of(&entry.id).is_none())
            .collect();
        let free: Vec<FreeVm> = idle
            .iter()
            .filter(|entry| self.obstacle(entry, view, reported, now).is_none())
            .filter_map(|entry| as_free_vm(entry))
            .collect();
        let leaving = idle.iter().filter(|entry| entry.is_draining).count();
        let joining = idle
            .iter()
            .filter(|entry| {
                let membership = entry.membership.as_ref();
                membership.is_some_and(|membership| membership.phase == MemberPhase::Joining)
            })
            .count();
        let loading = view
            .table
            .rows()
            .filter(|row| self.is_loading(&row.entry, now))
            .count();
        let mut models: BTreeMap<&ModelId, [usize; 3]> = BTreeMap::new();
        for group in self.groups.values() {
            let stage = match group.stage {
                GroupStage::Serving => 0,
                GroupStage::Joining | GroupStage::Opening => 1,
                GroupStage::Closing { .. } | GroupStage::Dissolving => 2,
            };
            models.entry(&group.model).or_default()[stage] += 1;
        }
        let mut text = format_compact!(
            "decision=summary vms={} members={held} lost={lost} idle={} free={} leaving={leaving} \
             joining={joining} loading={loading} reserved={}",
            view.table.len(),
            idle.len(),
            free.len(),
            self.reserved.len()
        );
        for (model, [serving, forming, ending]) in models {
            let quick = free.iter().filter(|vm| vm.has_weights(model)).count();
            text.push_str(&format_compact!(
                " model={model} serving={serving} forming={forming} ending={ending} demand={:.1} quick={quick}",
                self.demand.groups(model, now)
            ));
        }
        self.effects.push(FleetEffect::Decided(text));
        self.explain_idle(&idle, view, reported, now);
    }
}
