//! Why a VM is in no group.

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
use crate::controller::as_free_vm;
use crate::groups::ReportedGroup;

/// Why a VM is in no group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleReason {
    /// It is leaving.
    Leaving,
    /// It has no fabric domain.
    NoFabricDomain,
    /// Its reports could not be read lately.
    Unreachable,
    /// An order to it has no answer yet.
    OrderPending,
    /// It joins a group that this controller does not hold.
    Joining,
    /// The leader of its last group may still serve.
    LeaderServing,
    /// The leader of its last group is unknown to this controller, and may still serve.
    LeaderUnknown,
    /// It waits for other VMs of a group that is to be formed in its fabric domain.
    Reserved,
    /// Weights are being put on its host.
    Loading,
    /// Its host has no model's weights, and loads of others go first.
    NoWeights,
    /// Its fabric domain has too few VMs with the same weights.
    NoPartners,
}

impl fmt::Display for IdleReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            IdleReason::Leaving => "leaving",
            IdleReason::NoFabricDomain => "no_fabric_domain",
            IdleReason::Unreachable => "unreachable",
            IdleReason::OrderPending => "order_pending",
            IdleReason::Joining => "joining",
            IdleReason::LeaderServing => "leader_serving",
            IdleReason::LeaderUnknown => "leader_unknown",
            IdleReason::Reserved => "reserved",
            IdleReason::Loading => "loading",
            IdleReason::NoWeights => "no_weights",
            IdleReason::NoPartners => "no_partners",
        })
    }
}

impl FleetController {
    /// Why a VM without a group must not join one now; `None` when it may.
    pub(super) fn obstacle(
        &self,
        entry: &BackendEntry,
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) -> Option<IdleReason> {
        if entry.is_draining {
            return Some(IdleReason::Leaving);
        }
        if entry.fabric_domain.is_none() {
            return Some(IdleReason::NoFabricDomain);
        }
        let Some(vm) = self.vms.get(&entry.id) else {
            return Some(IdleReason::Unreachable);
        };
        if vm.failed_probes > 0 {
            return Some(IdleReason::Unreachable);
        }
        if vm.in_flight.is_some() || self.holder_of(&entry.id).is_some() {
            return Some(IdleReason::OrderPending);
        }
        let membership = entry.membership.as_ref()?;
        match membership.phase {
            MemberPhase::Broken => None,
            MemberPhase::Ready if self.ended.contains_key(&membership.key) => None,
            MemberPhase::Ready => match reported.get(&membership.key) {
                // The leader reports, and it is not under control: it does not serve.
                Some(group) if group.leader_phase.is_some() => matches!(
                    group.leader_phase,
                    Some(MemberPhase::Open | MemberPhase::Closing)
                )
                .then_some(IdleReason::LeaderServing),
                // The leader is unknown to this holder of the lease, and cannot be asked.
                _ => {
                    let removed = view.table.removed_leader(&membership.key);
                    let has_lapsed = removed.is_some_and(|row| row.has_lapsed);
                    let since = removed.map_or(self.acquired, |row| row.removed);
                    let limit = if has_lapsed {
                        self.timing.unknown_leader
                    } else {
                        self.timing.finish_limit
                    };
                    (now.since(since) < limit).then_some(IdleReason::LeaderUnknown)
                }
            },
            MemberPhase::Joining => Some(IdleReason::Joining),
            MemberPhase::Open | MemberPhase::Closing | MemberPhase::Unknown => {
                Some(IdleReason::LeaderServing)
            }
        }
    }

    /// Why a VM that may join a group is in none.
    fn waiting_reason(
        &self,
        entry: &BackendEntry,
        view: FleetView<'_>,
        now: Timestamp,
    ) -> IdleReason {
        let is_reserved = as_free_vm(entry).is_some_and(|vm| self.is_reserved(&vm));
        let is_staging = self.vms.get(&entry.id).is_some_and(|vm| {
            vm.staging
                .as_ref()
                .is_some_and(|(model, until)| now < *until && !entry.staged.contains(model))
        });
        let has_weights = as_free_vm(entry).is_some_and(|vm| {
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

    /// Logs why each VM is in no group, when the reason has changed.
    pub(super) fn explain_idle(
        &mut self,
        idle: &[&BackendEntry],
        view: FleetView<'_>,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
        now: Timestamp,
    ) {
        let mut told: BTreeMap<VmId, IdleReason> = BTreeMap::new();
        for entry in idle {
            let reason = self
                .obstacle(entry, view, reported, now)
                .unwrap_or_else(|| self.waiting_reason(entry, view, now));
            if self.idle_reasons.get(&entry.id) != Some(&reason) {
                let text = |model: Option<&str>| model.unwrap_or("-").to_owned();
                let line = format_compact!(
                    "vm={} decision=idle reason={reason} domain={} last_model={} staged={}",
                    entry.id,
                    text(entry.fabric_domain.as_ref().map(|domain| domain.as_str())),
                    text(entry.model.as_ref().map(|model| model.as_str())),
                    text(entry.staged.first().map(|model| model.as_str()))
                );
                self.decided(line);
            }
            told.insert(entry.id.clone(), reason);
        }
        self.idle_reasons = told;
    }
}
