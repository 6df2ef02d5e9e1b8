//! What shows that the leader of a group cannot serve any more. The members of a group are free only on such evidence.

use std::collections::BTreeMap;
use std::fmt;

use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::OrderResult;
use jaysaddle_types::units::Timestamp;

use crate::controller::FleetController;
use crate::controller::FleetView;
use crate::groups::ReportedGroup;
use crate::table::BackendTable;

/// Status with which a backend server refuses an order that does not fit its state.
const CONFLICT: u16 = 409;
/// Status of a response of another backend server at the address.
const MISDIRECTED: u16 = 421;

/// Why the leader of a group cannot serve any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopEvidence {
    /// The leader has accepted the order to leave, or refused it because it is not in the group.
    Left,
    /// Another backend server answers at the address of the leader.
    Replaced,
    /// The leader reports that the group is broken.
    Broken,
    /// The entry of the leader, later than the group was taken over, and its last report show that it is not in the group.
    Outside,
    /// This controller has formed the group and never ordered its leader to open.
    NeverOpened,
    /// The leader has no entry and does not answer. It may only be cut off, and return.
    Gone,
}

impl fmt::Display for StopEvidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StopEvidence::Left => "left",
            StopEvidence::Replaced => "leader_replaced",
            StopEvidence::Broken => "leader_broken",
            StopEvidence::Outside => "leader_left",
            StopEvidence::NeverOpened => "never_opened",
            StopEvidence::Gone => "leader_gone",
        })
    }
}

impl StopEvidence {
    /// What the result of an order to leave shows of the leader that received it.
    pub fn from_leave(result: OrderResult) -> Option<Self> {
        match result {
            OrderResult::Begun | OrderResult::Done => Some(StopEvidence::Left),
            OrderResult::Refused { status: CONFLICT } => Some(StopEvidence::Left),
            OrderResult::Refused {
                status: MISDIRECTED,
            } => Some(StopEvidence::Replaced),
            _ => None,
        }
    }
}

/// A group that this controller has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedGroup {
    /// When it was ended.
    pub at: Timestamp,
    /// Why its leader cannot serve.
    pub evidence: StopEvidence,
}

impl FleetController {
    /// What shows that the leader of a managed group cannot serve any more; `None` as long as it may.
    pub(super) fn leader_evidence(
        &self,
        key: &GroupKey,
        view: FleetView<'_>,
        now: Timestamp,
    ) -> Option<StopEvidence> {
        let group = self.groups.get(key)?;
        let leader = group.leader();
        let Some(row) = view.table.get(leader) else {
            let is_gone = self.has_stopped_serving(leader, view.table, now)
                && !self.may_still_open(leader, key, view.table, now);
            return is_gone.then_some(StopEvidence::Gone);
        };
        match &row.entry.membership {
            Some(membership) if membership.key == *key => {
                (membership.phase == MemberPhase::Broken).then_some(StopEvidence::Broken)
            }
            // An entry from before the group was taken over may be older than the leader's order to join, and so may one
            // that is listed after an outage. The leader itself must have reported that it is not in the group.
            _ => {
                let state = self.vms.get(leader).and_then(|vm| vm.state.as_ref());
                let has_left = state.is_some_and(|state| state.group.as_ref() != Some(key));
                (has_left && row.last_write > group.created).then_some(StopEvidence::Outside)
            }
        }
    }

    /// Whether a leader without an entry counts as gone. A leader that has deregistered itself and refuses connections may
    /// still be finishing its requests, with its group open until then. Any other may at most be cut off. Its members leave
    /// its group before they join another one, so waiting would only keep them idle.
    pub(super) fn has_stopped_serving(
        &self,
        leader: &VmId,
        table: &BackendTable,
        now: Timestamp,
    ) -> bool {
        if table.get(leader).is_some() || !self.is_lost(leader) {
            return false;
        }
        let Some(vm) = self.vms.get(leader) else {
            return false;
        };
        let has_expired = table.removed(leader).is_some_and(|row| row.has_expired);
        if !vm.reachability.is_refusing() || has_expired {
            return true;
        }
        let limit = self.timing.finish_timeout;
        let failed_since = vm.reachability.failed_since();
        failed_since.is_some_and(|since| now.since(since) >= limit)
    }

    /// Whether a leader without an entry, whose group was not open yet, may still open it: an order may be under way to a
    /// leader that is only cut off, or be carried out by a process that is paused. The platform allows an entry two seconds to
    /// return. Groups that served do not wait, so that few members of crashed leaders do.
    fn may_still_open(
        &self,
        leader: &VmId,
        key: &GroupKey,
        table: &BackendTable,
        now: Timestamp,
    ) -> bool {
        table.removed(leader).is_some_and(|row| {
            let membership = row.entry.membership.as_ref();
            let is_unopened = membership
                .is_some_and(|group| group.key == *key && group.phase == MemberPhase::Ready);
            is_unopened && now.since(row.removed_at) < self.timing.unknown_leader_timeout
        })
    }

    /// Whether a VM may join another group directly from `group`. If the leader only counts as gone, or is not known, the VM
    /// leaves first, so that it is in no group of a leader that turns out to serve.
    pub(super) fn may_join_from(
        &self,
        group: &GroupKey,
        entry: &BackendEntry,
        reported: &BTreeMap<GroupKey, ReportedGroup>,
    ) -> bool {
        if let Some(ended) = self.ended_groups.get(group) {
            return ended.evidence != StopEvidence::Gone;
        }
        let is_broken = |phase: MemberPhase| phase == MemberPhase::Broken;
        let leader_phase = reported.get(group).and_then(|group| group.leader_phase);
        entry.membership.as_ref().is_some_and(|membership| {
            membership.key == *group
                && (is_broken(membership.phase) || leader_phase.is_some_and(is_broken))
        })
    }

    /// Ends a group: its members are free.
    pub(super) fn end_group(&mut self, key: &GroupKey, evidence: StopEvidence, now: Timestamp) {
        self.groups.remove(key);
        let ended = EndedGroup { at: now, evidence };
        self.ended_groups.insert(key.clone(), ended);
    }
}
