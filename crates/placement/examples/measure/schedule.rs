//! Simulated run of the planner over the fault schedule, in steps of one second.

use std::collections::BTreeMap;
use std::sync::Arc;

use jaysaddle_placement::PlacementPlan;
use jaysaddle_placement::PlacementPlanner;
use jaysaddle_placement::PlannerGroup;
use jaysaddle_placement::PlannerInput;
use jaysaddle_placement::RepairPolicy;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::placement::GroupIntent;
use jaysaddle_types::placement::GroupRecord;
use jaysaddle_types::rules::ObjectiveWeights;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::VmState;

use crate::inventory;
use crate::model;
use crate::planner;
use crate::store;

/// Time from a fault until the planner observes it, in seconds.
const DETECTION_S: u64 = 5;

/// Time for a group to load its model, in seconds.
const LOAD_S: u64 = 60;

/// Time for the requests of a draining group to complete, in seconds.
const DRAIN_S: u64 = 10;

/// Maximum number of concurrent model loads.
const CONCURRENT_LOADS: usize = 8;

/// Event of the schedule: a time in seconds, an action, and a VM name or prefix.
struct FaultEvent {
    at: u64,
    action: String,
    target: String,
}

fn parse(text: &str) -> Vec<FaultEvent> {
    let lines = text.lines().map(str::trim);
    let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let [at, action, target] = words[..] else {
                panic!("{line:?} is not <seconds> <action> <target>");
            };
            FaultEvent {
                at: at.parse().expect("seconds are a whole number"),
                action: action.into(),
                target: target.into(),
            }
        })
        .collect()
}

/// Sums over a run, sampled once per simulated second.
#[derive(Default)]
struct RunSums {
    downtime: u64,
    max_down: u64,
    slow_groups: u64,
    stranded: u64,
    above_bound: u64,
    above_bound_s: u64,
    loads: u64,
}

/// Simulated run with fixed load and drain times and without traffic.
pub struct ScheduleRun {
    planner: PlacementPlanner,
    input: PlannerInput,
    /// Actual state of each VM; the planner observes changes after `DETECTION_S`.
    actual: BTreeMap<VmId, VmState>,
    /// State changes that the planner has yet to observe, with the time in seconds.
    pending_updates: Vec<(u64, VmId, VmState)>,
    loads: BTreeMap<GroupId, (Generation, u64)>,
    drains: BTreeMap<GroupId, u64>,
    sums: RunSums,
}

impl ScheduleRun {
    /// Creates a run with a repair policy and objective weights.
    pub fn new(policy: RepairPolicy, objective: ObjectiveWeights) -> Self {
        let rules = RulesDocument {
            objective,
            models: vec![model("draft", 4, 8), model("chat", 2, 10)],
            ..RulesDocument::default()
        };
        let mut input = PlannerInput {
            rules: Arc::new(rules),
            vms: inventory(60, 6, 2),
            ..PlannerInput::default()
        };
        // All policies start from the same placement.
        let plan = planner(RepairPolicy::Weighted).plan(&input);
        store(&mut input, &plan);
        Self {
            planner: planner(policy),
            actual: input
                .vms
                .iter()
                .map(|vm| (vm.vm.clone(), vm.state))
                .collect(),
            input,
            pending_updates: Vec::new(),
            loads: BTreeMap::new(),
            drains: BTreeMap::new(),
            sums: RunSums::default(),
        }
    }

    /// Runs the schedule and prints the sums.
    pub fn run(mut self, name: &str, text: &str) {
        let events = parse(text);
        let end = events.last().map_or(0, |event| event.at);
        for now in 0..end {
            for event in events.iter().filter(|event| event.at == now) {
                self.inject(event);
            }
            self.deliver_updates(now);
            self.advance(now);
            let plan = self.planner.plan(&self.input);
            self.apply(&plan, now);
            self.add_sums(&plan);
        }
        let sums = &self.sums;
        println!("{name}");
        println!(
            "  group downtime {} group-s (at most {} groups down), slow groups {} group-s, loads {}",
            sums.downtime, sums.max_down, sums.slow_groups, sums.loads
        );
        println!(
            "  stranded {} accelerator-s, {} above the bound, in {} of {end} s",
            sums.stranded, sums.above_bound, sums.above_bound_s
        );
    }

    fn inject(&mut self, event: &FaultEvent) {
        let state = match event.action.as_str() {
            "dead" => VmState::Dead,
            "straggler" => VmState::Straggler,
            "live" => VmState::Live,
            _ => return,
        };
        for (vm, actual) in &mut self.actual {
            let matches_target = match event.target.strip_suffix('*') {
                Some(prefix) => vm.as_str().starts_with(prefix),
                None => vm.as_str() == event.target,
            };
            if matches_target {
                *actual = state;
                self.pending_updates
                    .push((event.at + DETECTION_S, vm.clone(), state));
            }
        }
    }

    fn deliver_updates(&mut self, now: u64) {
        for (_, vm, state) in self.pending_updates.iter().filter(|(at, ..)| *at == now) {
            let entry = self.input.vms.iter_mut().filter(|entry| entry.vm == *vm);
            entry.for_each(|entry| entry.state = *state);
        }
    }

    fn records(&self) -> Vec<GroupRecord> {
        let documents = self.input.placements.values();
        documents
            .flat_map(|document| document.groups.clone())
            .collect()
    }

    fn all_alive(&self, group: &GroupRecord) -> bool {
        group
            .members
            .iter()
            .all(|vm| self.actual[vm] != VmState::Dead)
    }

    /// Advances loads and drains. A group that lost a member loads again once it is complete.
    fn advance(&mut self, now: u64) {
        for group in self.records() {
            let is_complete = self.all_alive(&group);
            let running = self.loads.len();
            let state = &mut self
                .input
                .groups
                .entry(group.id.clone())
                .or_insert(PlannerGroup {
                    state: GroupState::Loading,
                    running: 0,
                });
            if !is_complete {
                state.state = GroupState::Incomplete;
                state.running = 0;
                self.loads.remove(&group.id);
            } else if group.intent.is_draining() {
                state.state = GroupState::Draining;
                let since = *self.drains.entry(group.id.clone()).or_insert(now);
                if now - since >= DRAIN_S {
                    self.input.drained.insert(group.id.clone());
                }
                continue;
            } else if state.state != GroupState::Ready {
                state.state = GroupState::Loading;
                state.running = 0;
                let started = self
                    .loads
                    .get(&group.id)
                    .filter(|load| load.0 == group.generation);
                match started {
                    Some((_, at)) if now - at >= LOAD_S => {
                        state.state = GroupState::Ready;
                        state.running = 4;
                        self.loads.remove(&group.id);
                    }
                    Some(_) => {}
                    None if running < CONCURRENT_LOADS => {
                        self.loads.insert(group.id.clone(), (group.generation, now));
                        self.sums.loads += 1;
                    }
                    None => {}
                }
            }
            self.drains.remove(&group.id);
            self.input.drained.remove(&group.id);
        }
    }

    fn apply(&mut self, plan: &PlacementPlan, _now: u64) {
        let before: BTreeMap<GroupId, Generation> = self
            .records()
            .into_iter()
            .map(|group| (group.id, group.generation))
            .collect();
        self.input.placements.extend(plan.documents.clone());
        for group in self.records() {
            if before.get(&group.id) != Some(&group.generation) {
                let loading = PlannerGroup {
                    state: GroupState::Loading,
                    running: 0,
                };
                self.input.groups.insert(group.id, loading);
            }
        }
        let records = self.records();
        self.loads
            .retain(|id, _| records.iter().any(|group| group.id == *id));
    }

    fn add_sums(&mut self, plan: &PlacementPlan) {
        let serving: Vec<GroupRecord> = self
            .records()
            .into_iter()
            .filter(|group| {
                group.intent == GroupIntent::Serve
                    && self.all_alive(group)
                    && self.input.groups.get(&group.id).map(|entry| entry.state)
                        == Some(GroupState::Ready)
            })
            .collect();
        let mut down = 0;
        for rule in &self.input.rules.models {
            let count = serving
                .iter()
                .filter(|group| group.model == rule.name)
                .count() as u64;
            down += u64::from(rule.groups).saturating_sub(count);
        }
        let slow_groups = serving.iter().filter(|group| {
            group
                .members
                .iter()
                .any(|vm| self.actual[vm] == VmState::Straggler)
        });
        self.sums.slow_groups += slow_groups.count() as u64;
        self.sums.downtime += down;
        self.sums.max_down = self.sums.max_down.max(down);
        self.sums.stranded += u64::from(plan.stranded);
        let above_bound = u64::from(plan.stranded - plan.stranded_bound);
        self.sums.above_bound += above_bound;
        self.sums.above_bound_s += u64::from(above_bound > 0);
    }
}
