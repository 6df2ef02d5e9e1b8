//! Orders to engines, derived from the difference between the stored documents and the engines'
//! reports. Also contains the texts that explain a group or a VM to an operator.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::inventory::FencingSupport;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::controller::ReceivedReport;
use crate::controller::SentOrder;
use crate::controller::ShardController;
use crate::event::ShardEffect;
use crate::plan::PlannerVm;
use crate::store_calls::ShardState;

/// Multiplier of the order timeout after a rejection. An engine that cannot follow an order is
/// unlikely to be able to shortly afterwards.
const REJECTED_TIMEOUT_FACTOR: u64 = 5;

/// Stored group that a VM is a member of.
struct StoredMembership<'a> {
    shard: &'a FabricDomainId,
    group: &'a GroupRecord,
}

impl ShardController {
    /// Sends orders to the engines of active shards whose report differs from the stored document.
    pub(crate) fn send_orders(&mut self, now: Timestamp, effects: &mut Vec<ShardEffect>) {
        if !self.shards.values().any(ShardState::is_active) {
            return;
        }
        self.update_loads(now);
        let mut loads = std::mem::take(&mut self.loads);
        // Only held shards are examined, because this runs at each tick and most nodes hold few
        // of many shards.
        let held_vms: Vec<&PlannerVm> = self
            .input
            .vms
            .iter()
            .filter(|vm| self.shards.contains_key(&vm.fabric_domain))
            .collect();
        let memberships = self.memberships_in(|shard| self.shards.contains_key(shard));
        let states: BTreeMap<&VmId, VmState> =
            held_vms.iter().map(|vm| (&vm.vm, vm.state)).collect();
        let rule = &self.input.rules.weight_store;
        let mut orders = Vec::new();
        for vm in held_vms {
            let Some(report) = self.trusted_report(vm, now) else {
                continue;
            };
            let membership = memberships.get(&vm.vm);
            if membership.is_none() && report.group.is_some() && self.stored_in_other_shard(vm) {
                // The VM moved and its old document still lists it. That document is stored
                // without it first.
                continue;
            }
            let Some(order) = order_for(vm, report, membership) else {
                continue;
            };
            let joins = matches!(order.action, OrderAction::Join { .. });
            let all_present = |group: &GroupRecord| {
                group.members.iter().all(|member| {
                    !matches!(
                        states.get(member),
                        None | Some(VmState::Dead | VmState::Returning | VmState::Leaving)
                    )
                })
            };
            let can_form = membership.is_none_or(|membership| all_present(membership.group));
            if joins && (!can_form || !loads.admit(&order.group, order.generation, rule, now)) {
                continue;
            }
            if self.may_send(&vm.vm, &order, now) {
                orders.push((vm.fabric_domain.clone(), vm.vm.clone(), order));
            }
        }
        drop(memberships);
        self.loads = loads;
        for (shard, vm, order) in orders {
            let sent = SentOrder {
                order: order.clone(),
                at: now,
                outcome: None,
            };
            self.sent.insert(vm.clone(), sent);
            effects.push(ShardEffect::Order { shard, vm, order });
        }
    }

    /// Returns the engine's report if its shard is active and orders may be based on the report.
    /// Reports from before this node held the shard may be outdated by orders of an earlier holder.
    /// For engines that ignore fencing tokens, reports count only from the time at which no order
    /// of an earlier holder can still be in flight.
    fn trusted_report(&self, vm: &PlannerVm, now: Timestamp) -> Option<&EngineReport> {
        let state = self
            .shards
            .get(&vm.fabric_domain)
            .filter(|state| state.is_active())?;
        if vm.state == VmState::Dead {
            return None;
        }
        let ReceivedReport { report, at } = self.reports.get(&vm.vm)?;
        let earliest = match vm.fencing {
            FencingSupport::Enforced => state.held_since,
            FencingSupport::Ignored => state.held_since.max(state.unfenced_after),
        };
        (now >= earliest && *at >= earliest).then_some(report)
    }

    fn stored_in_other_shard(&self, vm: &PlannerVm) -> bool {
        let memberships = self.memberships_in(|shard| *shard != vm.fabric_domain);
        memberships.contains_key(&vm.vm)
    }

    fn memberships_in(
        &self,
        chosen: impl Fn(&FabricDomainId) -> bool,
    ) -> BTreeMap<&VmId, StoredMembership<'_>> {
        let mut memberships: BTreeMap<&VmId, StoredMembership<'_>> = BTreeMap::new();
        let documents = self.placements.iter().filter(|(shard, _)| chosen(shard));
        for (shard, (_, document)) in documents {
            for group in &document.groups {
                for vm in &group.members {
                    memberships.insert(vm, StoredMembership { shard, group });
                }
            }
        }
        memberships
    }

    fn may_send(&self, vm: &VmId, order: &EngineOrder, now: Timestamp) -> bool {
        let Some(sent) = self.sent.get(vm).filter(|sent| sent.order == *order) else {
            return true;
        };
        let timeout = self.settings.order_timeout;
        let wait = match sent.outcome {
            Some(OrderOutcome::Rejected { .. }) => TimeSpan(timeout.0 * REJECTED_TIMEOUT_FACTOR),
            _ => timeout,
        };
        now.since(sent.at) >= wait
    }

    /// Updates the load admission from the latest plan and the engines' reports.
    fn update_loads(&mut self, now: Timestamp) {
        let mut loads = std::mem::take(&mut self.loads);
        let timeout = self.settings.load_timeout;
        let mut records: BTreeMap<&GroupId, &GroupRecord> = BTreeMap::new();
        for (shard, (_, document)) in &self.placements {
            if self.shards.contains_key(shard) {
                records.extend(document.groups.iter().map(|group| (&group.id, group)));
            }
        }
        loads.remove_ended(
            |group, generation| {
                records
                    .get(group)
                    .is_some_and(|record| record.generation == generation && !self.loaded(record))
            },
            timeout,
            now,
        );
        for record in records.values() {
            let is_started = record
                .members
                .iter()
                .any(|vm| self.reports_record(vm, record));
            if is_started && !self.loaded(record) && !self.is_incomplete(record) {
                loads.record_running(&record.id, record.generation, now);
            }
        }
        if let Some(plan) = self.last_plan() {
            let own = |group: &GroupId| records.contains_key(group);
            let rule = &self.input.rules.weight_store;
            loads.update(&plan.load_order, own, rule, timeout, now);
        }
        self.loads = loads;
    }

    fn loaded(&self, record: &GroupRecord) -> bool {
        let leader = record
            .members
            .first()
            .and_then(|leader| self.reports.get(leader));
        leader.is_some_and(|received| {
            received
                .report
                .confirms(&record.id, record.generation, &record.members)
        })
    }

    fn reports_record(&self, vm: &VmId, record: &GroupRecord) -> bool {
        self.reports
            .get(vm)
            .is_some_and(|received| matches_record(&received.report, record))
    }

    /// Whether the latest plan leaves the group out of the load order, as it does with incomplete
    /// groups. Such a group loads nothing.
    fn is_incomplete(&self, record: &GroupRecord) -> bool {
        let order = self.last_plan().map(|plan| &plan.load_order);
        order.is_some_and(|order| !order.contains(&record.id))
    }

    /// Describes the stored record of a group, its members, its last change and the blocked items
    /// about it, one per line.
    pub fn explain_group(&self, id: &GroupId) -> Vec<CompactString> {
        let mut lines = Vec::new();
        for (shard, (version, document)) in &self.placements {
            for group in document.groups.iter().filter(|group| group.id == *id) {
                lines.push(format_compact!(
                    "stored in placement/{shard} version {version}: model {} version {} generation {} intent {:?}",
                    group.model,
                    group.version,
                    group.generation,
                    group.intent
                ));
                lines.extend(group.members.iter().map(|vm| self.describe_member(vm)));
            }
        }
        if lines.is_empty() {
            lines.push(format_compact!("no stored placement has group {id}"));
        }
        if let Some(reason) = self.reasons.get(id) {
            lines.push(format_compact!("last change: {reason}"));
        }
        lines.extend(self.blocked_about(id.as_str()));
        lines
    }

    /// Describes the state of a VM, its stored group, its engine's last report and order, and the
    /// blocked items about it, one per line.
    pub fn explain_vm(&self, vm: &VmId) -> Vec<CompactString> {
        let mut lines = Vec::new();
        match self.input.vms.iter().find(|planned| planned.vm == *vm) {
            Some(planned) => lines.push(format_compact!(
                "in fabric domain {}, failure domain {}, state {:?}",
                planned.fabric_domain,
                planned.failure_domain,
                planned.state
            )),
            None if self.input.vms.is_empty() => lines.push(
                "this node holds no shard and has no plan; query the holder of the VM's shard"
                    .into(),
            ),
            None => lines.push(format_compact!("VM {vm} is not in the inventory")),
        }
        match self.memberships_in(|_| true).get(vm) {
            Some(membership) => lines.push(format_compact!(
                "stored in placement/{} as a member of group {} generation {}",
                membership.shard,
                membership.group.id,
                membership.group.generation
            )),
            None => lines.push("not a member of any stored group".into()),
        }
        lines.push(self.describe_member(vm));
        lines.extend(self.blocked_about(vm.as_str()));
        lines
    }

    fn describe_member(&self, vm: &VmId) -> CompactString {
        let report = match self.reports.get(vm).map(|received| &received.report) {
            Some(report) => format_compact!(
                "reports role {:?} group {} generation {}",
                report.role,
                report.group.as_ref().map_or("none", |group| group.as_str()),
                report.generation
            ),
            None => "has not reported to this node".into(),
        };
        let order = match self.sent.get(vm) {
            Some(sent) => format_compact!(
                "; last order {} for group {} generation {}, answer {:?}",
                match sent.order.action {
                    OrderAction::Join { .. } => "join",
                    OrderAction::Release => "release",
                },
                sent.order.group,
                sent.order.generation,
                sent.outcome
            ),
            None => CompactString::default(),
        };
        format_compact!("VM {vm} {report}{order}")
    }

    fn blocked_about(&self, text: &str) -> Vec<CompactString> {
        let blocked = self
            .last_plan()
            .map(|plan| &plan.blocked[..])
            .unwrap_or_default();
        let mentions = |words: &str| words.split([' ', ',', ';', ':']).any(|word| word == text);
        blocked
            .iter()
            .filter(|item| mentions(&item.subject) || mentions(&item.reason))
            .map(|item| {
                format_compact!("{}: {}; remedy: {}", item.subject, item.reason, item.remedy)
            })
            .collect()
    }
}

/// Whether the engine reports the group, generation and members of the stored record.
fn matches_record(report: &EngineReport, record: &GroupRecord) -> bool {
    report.group.as_ref() == Some(&record.id)
        && report.generation == record.generation
        && report.members == record.members
}

/// Returns the order that makes the engine match the stored documents, or none if it already does
/// or no order may be sent yet.
fn order_for(
    vm: &PlannerVm,
    report: &EngineReport,
    membership: Option<&StoredMembership<'_>>,
) -> Option<EngineOrder> {
    let Some(membership) = membership else {
        return release(report);
    };
    if *membership.shard != vm.fabric_domain {
        // The VM moved between two held shards. Its old document is stored without it first.
        return None;
    }
    let record = membership.group;
    if matches_record(report, record) {
        return None;
    }
    // If the engine has a higher token than the stored one, the planner raises the group's
    // generation first. A draining group is not loaded again.
    if report.generation > record.generation || record.intent.is_draining() {
        return None;
    }
    Some(EngineOrder {
        group: record.id.clone(),
        generation: record.generation,
        action: OrderAction::Join {
            model: record.model.clone(),
            version: record.version.clone(),
            members: record.members.clone(),
        },
    })
}

fn release(report: &EngineReport) -> Option<EngineOrder> {
    Some(EngineOrder {
        group: report.group.clone()?,
        generation: report.generation,
        action: OrderAction::Release,
    })
}
