//! The VMs of the simulated successions: they carry out orders as the platform's backend servers do.

use std::collections::BTreeMap;

use jaysaddle_fleet::controller::ProbeResult;
use jaysaddle_fleet::controller::VmState;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::BackendOrder;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::GroupMembership;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::OrderResult;

/// Time from the order to open until the leader serves, in milliseconds.
pub const OPEN_MS: u64 = 300;
/// Time to join with the weights in memory, in milliseconds.
const MEMORY_JOIN_MS: u64 = 200;
/// Time to join with the weights on the host, in milliseconds.
pub const STAGED_JOIN_MS: u64 = 1100;
/// Time after which a group breaks whose member is missing, in milliseconds.
const STALL_MS: u64 = 6000;

const DONE: OrderResult = OrderResult::Done;
const CONFLICT: OrderResult = OrderResult::Refused { status: 409 };
const OUTDATED: OrderResult = OrderResult::Refused { status: 412 };

/// How long a VM's process continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmLife {
    /// It serves.
    Running,
    /// It leaves: it listens until `deaf_at` and finishes its requests until `end_at`, both in milliseconds.
    Leaving { deaf_at: u64, end_at: u64 },
    /// It has ended or crashed. With `is_host_up`, the host refuses connections.
    Ended { is_host_up: bool },
}

/// What a report contains.
#[derive(Clone, Debug)]
struct ReportState {
    since: u64,
    order_count: u64,
    entry: BackendEntry,
}

/// A VM with one process of a backend server. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct SimVm {
    /// What the VM writes to the store.
    pub entry: BackendEntry,
    pub life: VmLife,
    /// Members of the current group by rank.
    pub members: Vec<VmId>,
    pub paused_until: u64,
    /// Time until which no node reaches the VM.
    pub cut_until: u64,
    /// Time until which no write of the VM reaches the store.
    pub mute_until: u64,
    pub next_heartbeat: u64,
    pub write_count: u64,
    /// Whether the VM has removed its entry, because it leaves without a notice.
    pub has_deregistered: bool,
    /// Last time at which the VM had to be treated as gone.
    pub gone_at: Option<u64>,
    /// Time since which the VM serves in no group.
    pub unused_since: u64,
    /// When the VM joined its current group.
    pub joined_at: u64,
    order_count: u64,
    latest_generation: Generation,
    known_members: BTreeMap<GroupKey, Vec<VmId>>,
    last_model: Option<ModelId>,
    ready_at: Option<u64>,
    open_at: Option<u64>,
    closed_at: Option<u64>,
    staging: Option<(ModelId, u64)>,
    missing_since: Option<u64>,
    reports: Vec<ReportState>,
}

impl SimVm {
    /// Starts a process with the given entry.
    pub fn start(entry: BackendEntry, now: u64) -> Self {
        let report = ReportState {
            since: now,
            order_count: 0,
            entry: entry.clone(),
        };
        Self {
            entry,
            life: VmLife::Running,
            members: Vec::new(),
            paused_until: 0,
            cut_until: 0,
            mute_until: 0,
            next_heartbeat: now,
            write_count: 0,
            has_deregistered: false,
            gone_at: None,
            unused_since: now,
            joined_at: 0,
            order_count: 0,
            latest_generation: Generation(0),
            known_members: BTreeMap::new(),
            last_model: None,
            ready_at: None,
            open_at: None,
            closed_at: None,
            staging: None,
            missing_since: None,
            reports: vec![report],
        }
    }

    pub fn is_alive(&self) -> bool {
        !matches!(self.life, VmLife::Ended { .. })
    }

    pub fn is_paused(&self, now: u64) -> bool {
        now < self.paused_until
    }

    pub fn is_cut(&self, now: u64) -> bool {
        now < self.cut_until
    }

    /// Whether the process accepts connections.
    pub fn listens(&self, now: u64) -> bool {
        match self.life {
            VmLife::Running => true,
            VmLife::Leaving { deaf_at, .. } => now < deaf_at,
            VmLife::Ended { .. } => false,
        }
    }

    /// Whether the VM could serve.
    pub fn is_healthy(&self, now: u64) -> bool {
        self.life == VmLife::Running && !self.is_paused(now) && !self.is_cut(now)
    }

    pub fn key(&self) -> Option<&GroupKey> {
        self.entry.membership.as_ref().map(|group| &group.key)
    }

    pub fn phase(&self) -> Option<MemberPhase> {
        self.entry.membership.as_ref().map(|group| group.phase)
    }

    /// Whether the VM leads the group `key` and serves or finishes requests.
    pub fn serves(&self, key: &GroupKey) -> bool {
        let membership = self.entry.membership.as_ref();
        self.is_alive()
            && membership.is_some_and(|group| {
                group.key == *key
                    && group.rank == 0
                    && matches!(group.phase, MemberPhase::Open | MemberPhase::Closing)
            })
    }

    /// Whether the VM has loaded its part of the weights of the group `key`.
    pub fn holds_part(&self, key: &GroupKey) -> bool {
        self.key() == Some(key) && !matches!(self.phase(), Some(MemberPhase::Joining))
    }

    /// Result of a probe that arrives at `now`, with the entry that the report gives. The report is `age` old.
    pub fn report(&self, now: u64, age: u64) -> (ProbeResult, BackendEntry) {
        let at = now.saturating_sub(age);
        let report = self.reports.iter().rev().find(|report| report.since <= at);
        let report = report.unwrap_or(&self.reports[0]);
        let membership = report.entry.membership.as_ref();
        let state = VmState {
            order_count: report.order_count,
            group: membership.map(|group| group.key.clone()),
            is_serving: membership
                .is_some_and(|group| group.rank == 0 && group.phase == MemberPhase::Open),
        };
        (ProbeResult::Reported(state), report.entry.clone())
    }

    /// Carries out an order. `load_ms` is the time of a load from the weight store and `close_ms` the time in which
    /// running requests end.
    pub fn execute(
        &mut self,
        order: &BackendOrder,
        expected: Option<u64>,
        now: u64,
        load_ms: u64,
        close_ms: u64,
    ) -> OrderResult {
        if expected.is_some_and(|count| count != self.order_count) {
            return CONFLICT;
        }
        let result = match order {
            BackendOrder::Join {
                key,
                model,
                members,
            } => self.join(key, model, members, now, load_ms),
            BackendOrder::Open { key } => self.open(key, now),
            BackendOrder::Close { key } => self.close(key, now + close_ms),
            BackendOrder::Leave { key } => self.leave(key),
            BackendOrder::Stage { model } => self.stage(model, now + load_ms),
        };
        if result == OrderResult::Begun {
            self.order_count += 1;
            self.record_report(now);
        }
        result
    }

    fn join(
        &mut self,
        key: &GroupKey,
        model: &ModelId,
        members: &[VmId],
        now: u64,
        load_ms: u64,
    ) -> OrderResult {
        let known = self.known_members.get(key);
        if key.generation < self.latest_generation || known.is_some_and(|known| known != members) {
            return OUTDATED;
        }
        if self.key() == Some(key) {
            return DONE;
        }
        let rank = members.iter().position(|id| *id == self.entry.id);
        let Some(rank) = rank.filter(|_| self.life == VmLife::Running) else {
            return CONFLICT;
        };
        self.latest_generation = key.generation;
        self.known_members.insert(key.clone(), members.to_vec());
        let ready_at = if self.last_model.as_ref() == Some(model) {
            now + MEMORY_JOIN_MS
        } else if self.entry.staged.contains(model) {
            now + STAGED_JOIN_MS
        } else {
            let staging = self.staging.as_ref().filter(|(staged, _)| staged == model);
            staging.map_or(now + load_ms, |(_, until)| until + STAGED_JOIN_MS)
        };
        self.reset_group();
        self.joined_at = now;
        self.ready_at = Some(ready_at);
        self.members = members.to_vec();
        self.entry.model = Some(model.clone());
        self.entry.membership = Some(GroupMembership {
            key: key.clone(),
            rank: u32::try_from(rank).expect("small"),
            phase: MemberPhase::Joining,
        });
        OrderResult::Begun
    }

    fn reset_group(&mut self) {
        self.ready_at = None;
        self.open_at = None;
        self.closed_at = None;
        self.missing_since = None;
        self.members.clear();
        self.entry.membership = None;
        self.entry.model = None;
    }

    /// The phase of this leader, if it leads the group `key`.
    fn leader_phase(&self, key: &GroupKey) -> Option<MemberPhase> {
        let membership = self.entry.membership.as_ref()?;
        (membership.key == *key && membership.rank == 0).then_some(membership.phase)
    }

    fn set_phase(&mut self, phase: MemberPhase) {
        if let Some(membership) = &mut self.entry.membership {
            membership.phase = phase;
        }
    }

    fn open(&mut self, key: &GroupKey, now: u64) -> OrderResult {
        match self.leader_phase(key) {
            Some(MemberPhase::Ready) if self.open_at.is_none() => {
                self.open_at = Some(now + OPEN_MS);
                OrderResult::Begun
            }
            Some(MemberPhase::Ready | MemberPhase::Open) => DONE,
            _ => CONFLICT,
        }
    }

    fn close(&mut self, key: &GroupKey, closed_at: u64) -> OrderResult {
        match self.leader_phase(key) {
            Some(MemberPhase::Open) => {
                self.closed_at = Some(closed_at);
                self.set_phase(MemberPhase::Closing);
                OrderResult::Begun
            }
            Some(MemberPhase::Ready) if self.open_at.take().is_some() => OrderResult::Begun,
            Some(MemberPhase::Ready | MemberPhase::Closing) => DONE,
            _ => CONFLICT,
        }
    }

    fn leave(&mut self, key: &GroupKey) -> OrderResult {
        if self.key() != Some(key) {
            return CONFLICT;
        }
        self.reset_group();
        OrderResult::Begun
    }

    fn stage(&mut self, model: &ModelId, until: u64) -> OrderResult {
        let is_staging = self
            .staging
            .as_ref()
            .is_some_and(|(other, _)| other == model);
        if is_staging || self.entry.staged.contains(model) {
            return DONE;
        }
        self.staging = Some((model.clone(), until));
        OrderResult::Begun
    }

    /// Carries out what is due. Returns whether the entry has changed.
    pub fn advance(&mut self, now: u64) -> bool {
        if !self.is_alive() || self.is_paused(now) {
            return false;
        }
        let mut has_changed = false;
        if let Some((model, _)) = self.staging.take_if(|(_, until)| *until <= now) {
            self.entry.staged = vec![model];
            has_changed = true;
        }
        if self.ready_at.take_if(|at| *at <= now).is_some() {
            self.set_phase(MemberPhase::Ready);
            self.last_model.clone_from(&self.entry.model);
            if let Some(model) = &self.last_model {
                self.entry.staged = vec![model.clone()];
            }
            has_changed = true;
        }
        if self.closed_at.take_if(|at| *at <= now).is_some() {
            self.set_phase(MemberPhase::Ready);
            has_changed = true;
        }
        if self.open_at.take_if(|at| *at <= now).is_some() {
            self.set_phase(MemberPhase::Open);
            has_changed = true;
        }
        if has_changed {
            self.record_report(now);
        }
        has_changed
    }

    /// Records whether a member of the group that this VM leads is missing. Returns whether the group breaks.
    pub fn observe_members(&mut self, is_missing: bool, now: u64) -> bool {
        if !is_missing {
            self.missing_since = None;
            return false;
        }
        let since = *self.missing_since.get_or_insert(now);
        if now - since < STALL_MS || self.is_paused(now) {
            return false;
        }
        self.closed_at = None;
        self.set_phase(MemberPhase::Broken);
        self.record_report(now);
        true
    }

    /// Time since which a member of the group that this VM leads is missing.
    pub fn missing_since(&self) -> Option<u64> {
        self.missing_since
    }

    fn record_report(&mut self, now: u64) {
        self.reports.push(ReportState {
            since: now,
            order_count: self.order_count,
            entry: self.entry.clone(),
        });
    }
}
