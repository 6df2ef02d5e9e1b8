//! Shard controller: stores the plan for the shards that this node holds, and sends engines the
//! orders that implement it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::placement::PlacementDocument;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::VmState;

use crate::event::ShardEffect;
use crate::event::ShardEvent;
use crate::load_admission::LoadAdmission;
use crate::plan::PlacementPlan;
use crate::plan::PlannerGroup;
use crate::plan::PlannerInput;
use crate::plan::PlannerVm;
use crate::planner::PlacementPlanner;
use crate::settings::PlacementSettings;
use crate::store_calls::PendingCall;
use crate::store_calls::ShardPhase;
use crate::store_calls::ShardState;

/// Highest generation that is accepted from an engine's report, so that a corrupt report cannot
/// exhaust the range of generations.
const MAX_ACCEPTED_GENERATION: Generation = Generation(1 << 62);

/// Latest report of an engine, with the time of arrival.
#[derive(Debug)]
pub(crate) struct ReceivedReport {
    pub report: EngineReport,
    pub at: Timestamp,
}

/// Last order to an engine, with the time at which it was sent. `outcome` is absent until
/// the engine responds.
#[derive(Debug)]
pub(crate) struct SentOrder {
    pub order: EngineOrder,
    pub at: Timestamp,
    pub outcome: Option<OrderOutcome>,
}

/// Inputs that a plan depends on. A new plan is computed only when they differ from the last ones.
#[derive(Debug, PartialEq)]
struct PlanKey {
    rules: Arc<RulesDocument>,
    vms: Vec<PlannerVm>,
    stored: BTreeMap<FabricDomainId, PlacementDocument>,
    /// Observed group states without request counts, which change constantly. The planner only uses
    /// whether a loading group runs any request.
    groups: BTreeMap<GroupId, PlannerGroup>,
    executing: BTreeSet<GroupId>,
    placement_changes: u64,
    expired_suspects: BTreeSet<VmId>,
    drained: BTreeSet<GroupId>,
    seen_generations: BTreeMap<VmId, Generation>,
}

/// Controls the placement of the shards that this node holds.
///
/// # Invariants
///
/// An order is sent only for a shard whose document this node has claimed with its epoch, and only
/// while no write of that document is pending. Orders therefore always match the stored document.
#[derive(Debug)]
pub struct ShardController {
    pub(crate) settings: PlacementSettings,
    pub(crate) own: NodeKey,
    planner: PlacementPlanner,
    pub(crate) jitter_state: u64,
    pub(crate) next_call: u64,
    pub(crate) next_write: u64,
    pub(crate) placements: BTreeMap<FabricDomainId, (ObjectVersion, PlacementDocument)>,
    /// Incremented with every change of `placements`.
    pub(crate) placement_changes: u64,
    /// Fabric domains of other shards for which the store has no document.
    pub(crate) missing_documents: BTreeSet<FabricDomainId>,
    pub(crate) shards: BTreeMap<FabricDomainId, ShardState>,
    pub(crate) calls: BTreeMap<jaysaddle_types::ids::CallId, PendingCall>,
    pub(crate) store_unavailable: bool,
    /// Earliest time of the next read of documents of shards that are not held.
    pub(crate) read_after: Timestamp,
    pub(crate) input: Arc<PlannerInput>,
    pub(crate) reports: BTreeMap<VmId, ReceivedReport>,
    pub(crate) seen_generations: BTreeMap<VmId, Generation>,
    pub(crate) sent: BTreeMap<VmId, SentOrder>,
    pub(crate) loads: LoadAdmission,
    suspect_since: BTreeMap<VmId, Timestamp>,
    drain_since: BTreeMap<GroupId, Timestamp>,
    pub(crate) reasons: BTreeMap<GroupId, CompactString>,
    plan_key: Option<PlanKey>,
    planned_at: Option<Timestamp>,
    last_plan: Option<PlacementPlan>,
}

impl ShardController {
    /// Creates a controller that holds no shard. `seed` initializes the jitter of its retries.
    pub fn new(settings: PlacementSettings, own: NodeKey, seed: u64) -> Self {
        Self {
            planner: PlacementPlanner::new(settings.clone()),
            settings,
            own,
            jitter_state: seed,
            next_call: 1,
            next_write: 1,
            placements: BTreeMap::new(),
            placement_changes: 0,
            missing_documents: BTreeSet::new(),
            shards: BTreeMap::new(),
            calls: BTreeMap::new(),
            store_unavailable: false,
            read_after: Timestamp::default(),
            input: Arc::default(),
            reports: BTreeMap::new(),
            seen_generations: BTreeMap::new(),
            sent: BTreeMap::new(),
            loads: LoadAdmission::default(),
            suspect_since: BTreeMap::new(),
            drain_since: BTreeMap::new(),
            reasons: BTreeMap::new(),
            plan_key: None,
            planned_at: None,
            last_plan: None,
        }
    }

    /// Handles one event and returns the actions that the caller must carry out.
    pub fn step(&mut self, event: ShardEvent, now: Timestamp) -> Vec<ShardEffect> {
        let mut effects = Vec::new();
        match event {
            ShardEvent::Tick { input, held } => self.tick(input, held, now, &mut effects),
            ShardEvent::PlacementChanged { version, document } => {
                self.update_placement(version, document, &mut effects);
            }
            ShardEvent::Reported(report) => self.handle_report(report, now),
            ShardEvent::CallCompleted { call, outcome } => {
                self.handle_call_outcome(call, outcome, now, &mut effects);
            }
            ShardEvent::OrderCompleted { vm, order, outcome } => {
                self.handle_order_outcome(vm, &order, outcome, &mut effects);
            }
        }
        effects
    }

    /// Returns the latest placement documents from reads, watches and writes, with their versions.
    pub fn placements(&self) -> &BTreeMap<FabricDomainId, (ObjectVersion, PlacementDocument)> {
        &self.placements
    }

    /// Returns the latest plan, or nothing if this node has not planned yet.
    pub fn last_plan(&self) -> Option<&PlacementPlan> {
        self.last_plan.as_ref()
    }

    fn tick(
        &mut self,
        input: Arc<PlannerInput>,
        held: Vec<(FabricDomainId, LeaseEpoch, Timestamp)>,
        now: Timestamp,
        effects: &mut Vec<ShardEffect>,
    ) {
        self.input = input;
        self.track_suspects(now);
        self.track_drains(now);
        self.update_held_shards(held, now);
        self.expire_calls(now);
        self.read_shards(now, effects);
        self.plan(now, effects);
        self.send_orders(now, effects);
    }

    /// Updates the list of held shards. A shard whose lease epoch has changed starts over.
    fn update_held_shards(
        &mut self,
        held: Vec<(FabricDomainId, LeaseEpoch, Timestamp)>,
        now: Timestamp,
    ) {
        let epochs: BTreeMap<&FabricDomainId, LeaseEpoch> = held
            .iter()
            .map(|(shard, epoch, _)| (shard, *epoch))
            .collect();
        self.shards
            .retain(|shard, state| epochs.get(shard) == Some(&state.epoch));
        // Outcomes of calls made under an earlier lease do not apply to the current one.
        let shards = &self.shards;
        self.calls.retain(|_, call| {
            let epoch = shards.get(&call.shard).map(|state| state.epoch);
            call.held_epoch.is_none() || call.held_epoch == epoch
        });
        for (shard, epoch, unfenced_after) in held {
            let state = self.shards.entry(shard).or_insert_with(|| ShardState {
                epoch,
                unfenced_after,
                held_since: now,
                phase: ShardPhase::Read { at: now },
                unresolved_write: None,
                withheld_reason: CompactString::default(),
            });
            state.unfenced_after = unfenced_after;
        }
    }

    fn track_suspects(&mut self, now: Timestamp) {
        let mut suspect_since = BTreeMap::new();
        for vm in &self.input.vms {
            if vm.state == VmState::Suspect {
                let since = self.suspect_since.get(&vm.vm).copied().unwrap_or(now);
                suspect_since.insert(vm.vm.clone(), since);
            }
        }
        self.suspect_since = suspect_since;
    }

    fn track_drains(&mut self, now: Timestamp) {
        let mut drain_since = BTreeMap::new();
        for (_, document) in self.placements.values() {
            for group in &document.groups {
                if group.intent.is_draining() {
                    let since = self.drain_since.get(&group.id).copied().unwrap_or(now);
                    drain_since.insert(group.id.clone(), since);
                }
            }
        }
        self.drain_since = drain_since;
    }

    /// Groups whose drain has ended: the leader reports that no request runs and none can still
    /// arrive, or the drain has timed out.
    fn drained(&self, now: Timestamp) -> BTreeSet<GroupId> {
        let is_over = |id: &GroupId, since: Timestamp| {
            now.since(since) >= self.settings.drain_timeout
                || self.reports_idle_after(id, since + self.settings.min_drain_time)
        };
        let drained = self
            .drain_since
            .iter()
            .filter(|(id, since)| is_over(id, **since));
        drained.map(|(id, _)| id.clone()).collect()
    }

    /// Whether the last report of a group's leader was received at `earliest` or later and counts no
    /// request. A leader that does not report may still execute requests.
    fn reports_idle_after(&self, id: &GroupId, earliest: Timestamp) -> bool {
        let documents = self.placements.values();
        let mut groups = documents.flat_map(|(_, document)| &document.groups);
        let leader = groups
            .find(|group| group.id == *id)
            .and_then(|group| group.members.first());
        let received = leader.and_then(|leader| self.reports.get(leader));
        received.is_some_and(|received| {
            received.at >= earliest && received.report.running + received.report.queued == 0
        })
    }

    /// Groups that execute requests and have a member that may count as failed. The others are left out, since the plan does not depend on
    /// them and the set changes with each request.
    fn executing_with_losses(&self) -> BTreeSet<GroupId> {
        let is_incomplete = |id: &&GroupId| {
            let group = self.input.groups.get(*id);
            group.is_some_and(|group| group.state == GroupState::Incomplete)
        };
        let executing = self.input.executing.iter().filter(is_incomplete);
        executing.cloned().collect()
    }

    fn expired_suspects(&self, now: Timestamp) -> BTreeSet<VmId> {
        let grace = self.settings.suspect_grace;
        let expired = self
            .suspect_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= grace);
        expired.map(|(vm, _)| vm.clone()).collect()
    }

    fn handle_report(&mut self, report: EngineReport, now: Timestamp) {
        let reported = report.generation.min(MAX_ACCEPTED_GENERATION);
        let highest = self.seen_generations.entry(report.vm.clone()).or_default();
        *highest = reported.max(*highest);
        self.reports
            .insert(report.vm.clone(), ReceivedReport { report, at: now });
    }

    /// Computes a new plan if its inputs have changed, and stores the documents of active shards.
    fn plan(&mut self, now: Timestamp, effects: &mut Vec<ShardEffect>) {
        let active = self.shards.values().any(ShardState::is_active);
        let due = self
            .planned_at
            .is_none_or(|at| now.since(at) >= self.settings.plan_interval);
        if !active || !due || !self.all_documents_read(now, effects) {
            return;
        }
        let plan_key = PlanKey {
            rules: Arc::clone(&self.input.rules),
            vms: self.input.vms.clone(),
            stored: self.input.placements.clone(),
            groups: self
                .input
                .groups
                .iter()
                .map(without_running_counts)
                .collect(),
            executing: self.executing_with_losses(),
            placement_changes: self.placement_changes,
            expired_suspects: self.expired_suspects(now),
            drained: self.drained(now),
            seen_generations: self.seen_generations.clone(),
        };
        self.planned_at = Some(now);
        if self.plan_key.as_ref() != Some(&plan_key) {
            self.last_plan = Some(self.planner.plan(&self.planner_input(&plan_key)));
            self.plan_key = Some(plan_key);
        }
        self.store_plan(now, effects);
    }

    fn planner_input(&self, plan_key: &PlanKey) -> PlannerInput {
        let mut input = PlannerInput {
            rules: Arc::clone(&plan_key.rules),
            vms: plan_key.vms.clone(),
            placements: plan_key.stored.clone(),
            groups: plan_key.groups.clone(),
            usage: self.input.usage.clone(),
            ..PlannerInput::default()
        };
        for (domain, (_, document)) in &self.placements {
            input.placements.insert(domain.clone(), document.clone());
        }
        input.executing = plan_key.executing.clone();
        input.expired_suspects = plan_key.expired_suspects.clone();
        input.drained = plan_key.drained.clone();
        input.seen_generations = plan_key.seen_generations.clone();
        input
    }

    fn handle_order_outcome(
        &mut self,
        vm: VmId,
        order: &EngineOrder,
        outcome: Option<OrderOutcome>,
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(sent) = self.sent.get_mut(&vm).filter(|sent| sent.order == *order) else {
            return;
        };
        let is_logged = sent.outcome == outcome;
        sent.outcome = outcome.clone();
        let (choice, reason) = match outcome {
            Some(OrderOutcome::Stale { generation }) => {
                let highest = self.seen_generations.entry(vm.clone()).or_default();
                *highest = generation.min(MAX_ACCEPTED_GENERATION).max(*highest);
                let reason = format_compact!("the engine already follows generation {generation}");
                ("stale", reason)
            }
            Some(OrderOutcome::Rejected { reason }) => ("rejected", reason),
            Some(OrderOutcome::Accepted) | None => return,
        };
        if !is_logged {
            let inputs = format_compact!("group={} generation={}", order.group, order.generation);
            effects.push(decision(vm.as_str(), inputs, choice, reason));
        }
    }
}

/// Replaces the number of running requests by whether any runs on a loading group.
fn without_running_counts((id, group): (&GroupId, &PlannerGroup)) -> (GroupId, PlannerGroup) {
    let running = match group.state {
        GroupState::Loading => group.running.min(1),
        _ => 0,
    };
    let group = PlannerGroup {
        state: group.state,
        running,
    };
    (id.clone(), group)
}

/// Builds the log record of a placement decision.
pub(crate) fn decision(
    subject: &str,
    inputs: CompactString,
    choice: &str,
    reason: CompactString,
) -> ShardEffect {
    ShardEffect::Decision(DecisionRecord {
        kind: DecisionKind::Place,
        subject: subject.into(),
        inputs,
        choice: choice.into(),
        reason,
    })
}
