//! Determines and logs why a VM is in no group.

use std::collections::BTreeMap;
use std::fmt;

use compact_str::format_compact;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetView;
use crate::controller::to_free_vm;
use crate::groups::ReportedGroup;
use crate::table::TableRow;

/// Why a VM is in no group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleReason {
    /// The VM is draining.
    Leaving,
    /// The VM's entry names no fabric domain.
    NoFabricDomain,
    /// The failure domain of the VM is evacuated.
    Evacuated,
    /// The last probe of the VM has failed.
    Unreachable,
    /// The VM has to leave its last group first, whose leader counts as gone or is not known.
    LeaveNeeded,
    /// The VM has not reported its group yet, or its entry does not show that group.
    StateUnknown,
    /// An order to the VM is in flight.
    OrderPending,
    /// The VM is joining a group that this controller does not manage.
    Joining,
    /// The leader of the VM's last group may still serve.
    LeaderServing,
    /// The leader of the VM's last group is not registered, and may still serve.
    LeaderUnknown,
    /// The VM is reserved for a group that is to be formed in its fabric domain.
    Reserved,
    /// Weights are being staged on the VM's host.
    Loading,
    /// The VM has no model's weights, and loads for other VMs have priority.
    NoWeights,
    /// Too few free VMs in the fabric domain have the same weights.
    NoPartners,
}

impl fmt::Display for IdleReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            IdleReason::Leaving => "leaving",
            IdleReason::NoFabricDomain => "no_fabric_domain",
            IdleReason::Evacuated => "evacuated",
            IdleReason::Unreachable => "unreachable",
            IdleReason::OrderPending => "order_pending",
            IdleReason::Joining => "joining",
            IdleReason::LeaderServing => "leader_serving",
            IdleReason::LeaveNeeded => "leave_needed",
            IdleReason::StateUnknown => "state_unknown",
            IdleReason::LeaderUnknown => "leader_unknown",
            IdleReason::Reserved => "reserved",
            IdleReason::Loading => "loading",
            IdleReason::NoWeights => "no_weights",
            IdleReason::NoPartners => "no_partners",
        })
    }
}

impl FleetController {
    /// The reason why a VM must not join a group now; `None` if it may.
    pub(super) fn join_blocker(
        &self,
        entry: &BackendEntry,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) -> Option<IdleReason> {
        if entry.is_draining {
            return Some(IdleReason::Leaving);
        }
        if self.evacuated.contains(&entry.failure_domain) {
            return Some(IdleReason::Evacuated);
        }
        if entry.fabric_domain.is_none() {
            return Some(IdleReason::NoFabricDomain);
        }
        let Some(vm) = self.vms.get(&entry.id) else {
            return Some(IdleReason::Unreachable);
        };
        if vm.reachability.failed() > 0 {
            return Some(IdleReason::Unreachable);
        }
        if vm.in_flight.is_some() || self.group_of(&entry.id).is_some() {
            return Some(IdleReason::OrderPending);
        }
        let blocker = self.last_group_blocker(entry, view, reported, now);
        if blocker.is_some() {
            return blocker;
        }
        let Some(state) = &vm.state else {
            return Some(IdleReason::StateUnknown);
        };
        let group = state.group.as_ref()?;
        let shown = entry.membership.as_ref().map(|membership| &membership.key);
        if self.may_join_from(group, entry, reported) {
            None
        } else if Some(group) == shown || self.ended_groups.contains_key(group) {
            Some(IdleReason::LeaveNeeded)
        } else {
            Some(IdleReason::StateUnknown)
        }
    }

    /// The reason why the last group of a VM, as its entry shows it, keeps the VM from joining another one.
    fn last_group_blocker(
        &self,
        entry: &BackendEntry,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) -> Option<IdleReason> {
        let membership = entry.membership.as_ref()?;
        match membership.phase {
            MemberPhase::Broken => None,
            MemberPhase::Ready if self.ended_groups.contains_key(&membership.key) => None,
            MemberPhase::Ready => {
                let group = reported.get(&membership.key);
                match group.and_then(|group| group.leader_phase) {
                    Some(MemberPhase::Broken) => None,
                    Some(MemberPhase::Open | MemberPhase::Closing) => {
                        Some(IdleReason::LeaderServing)
                    }
                    // The leader is ordered to leave first: an order to open it may have taken effect unseen.
                    Some(_) => Some(IdleReason::LeaderUnknown),
                    None if view.table.removed_leader(&membership.key).is_some() => {
                        Some(IdleReason::LeaderUnknown)
                    }
                    // Which VM leads the group is not known, so it cannot be asked. Wait until it has finished its
                    // requests.
                    None => {
                        let first_seen = view.table.get(&entry.id).map(|row| row.first_seen);
                        let since =
                            first_seen.map_or(self.term_start, |time| time.max(self.term_start));
                        (now.since(since) < self.timing.finish_timeout)
                            .then_some(IdleReason::LeaderUnknown)
                    }
                }
            }
            MemberPhase::Joining => Some(IdleReason::Joining),
            MemberPhase::Open | MemberPhase::Closing | MemberPhase::Unknown => {
                Some(IdleReason::LeaderServing)
            }
        }
    }

    /// The reason why a VM that may join a group is in none.
    fn waiting_reason(&self, row: &TableRow, view: FleetView<'_>, now: Timestamp) -> IdleReason {
        let entry = &row.entry;
        let is_reserved = to_free_vm(row).is_some_and(|vm| self.is_reserved(&vm));
        let is_staging = to_free_vm(row).is_some_and(|vm| self.is_staging(&vm, now));
        let has_weights = to_free_vm(row).is_some_and(|vm| {
            let models = view.config.engine(&entry.service);
            models
                .iter()
                .flat_map(|profile| &profile.models)
                .any(|model| vm.has_weights(&model.id))
        });
        if is_reserved {
            IdleReason::Reserved
        } else if is_staging {
            IdleReason::Loading
        } else if !has_weights {
            IdleReason::NoWeights
        } else {
            IdleReason::NoPartners
        }
    }

    /// Logs on which view a VM is ordered to join a group: its last group, what shows that the leader of that group does not
    /// serve, and the age of its entry.
    pub(super) fn log_assignment(
        &mut self,
        id: &VmId,
        key: &GroupKey,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        let Some(row) = view.table.get(id) else {
            return;
        };
        let age_ms = now.since(row.last_write).as_millis();
        let state = self.vms.get(id).and_then(|vm| vm.state.as_ref());
        let order_count = state.map(|state| state.order_count);
        let line = match &row.entry.membership {
            Some(last) => {
                let leader = reported.get(&last.key).and_then(|group| group.leader_phase);
                let ended = self.ended_groups.get(&last.key);
                let ended_ms = ended.map(|ended| now.since(ended.at).as_millis());
                format_compact!(
                    "vm={id} decision=assign group={key} last={} phase={:?} leader={leader:?} ended_ms={ended_ms:?} \
                     entry_age_ms={age_ms} orders={order_count:?}",
                    last.key,
                    last.phase
                )
            }
            None => format_compact!(
                "vm={id} decision=assign group={key} last=- entry_age_ms={age_ms} orders={order_count:?}"
            ),
        };
        self.log_decision(line);
    }

    /// Logs the reason for each idle VM whose reason has changed since the last summary.
    pub(super) fn log_idle_reasons(
        &mut self,
        idle: &[&TableRow],
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        let mut reasons: BTreeMap<VmId, IdleReason> = BTreeMap::new();
        for row in idle {
            let entry = &row.entry;
            let reason = self
                .join_blocker(entry, view, reported, now)
                .unwrap_or_else(|| self.waiting_reason(row, view, now));
            if self.idle_reasons.get(&entry.id) != Some(&reason) {
                let or_dash = |model: Option<&str>| model.unwrap_or("-").to_owned();
                let line = format_compact!(
                    "vm={} decision=idle reason={reason} domain={} last_model={} staged={}",
                    entry.id,
                    or_dash(entry.fabric_domain.as_ref().map(|domain| domain.as_str())),
                    or_dash(row.last_model.as_ref().map(|model| model.as_str())),
                    or_dash(entry.staged.first().map(|model| model.as_str()))
                );
                self.log_decision(line);
            }
            reasons.insert(entry.id.clone(), reason);
        }
        self.idle_reasons = reasons;
    }
}
