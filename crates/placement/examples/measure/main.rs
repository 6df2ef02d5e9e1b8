//! Measures the planning time, the size of stored documents, and the group downtime and stranded
//! accelerators over the fault schedule in `faults.txt`.
//!
//! Run with `cargo run --release -p jaysaddle-placement --example measure`.

mod schedule;

use std::sync::Arc;
use std::time::Instant;

use jaysaddle_placement::PlacementPlan;
use jaysaddle_placement::PlacementPlanner;
use jaysaddle_placement::PlacementSettings;
use jaysaddle_placement::PlannerGroup;
use jaysaddle_placement::PlannerInput;
use jaysaddle_placement::PlannerVm;
use jaysaddle_placement::RepairPolicy;
use jaysaddle_placement::ShardController;
use jaysaddle_placement::ShardEffect;
use jaysaddle_placement::ShardEvent;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ModelVersion;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::rules::ModelRule;
use jaysaddle_types::rules::ObjectiveWeights;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::VmState;

use crate::schedule::ScheduleRun;

/// Number of runs whose median and maximum time are printed.
const TIMED_RUNS: usize = 21;

fn main() {
    let text = include_str!("../faults.txt");
    println!("planner time and document size");
    for (vms, size, fabric_domains) in [(60, 4, 6), (600, 16, 6), (2700, 16, 27), (2700, 16, 9)] {
        // When all capacity is in use, the loss of a domain leaves few options. With free
        // capacity, its groups are formed in other domains.
        measure_time(vms, size, fabric_domains, 100);
        measure_time(vms, size, fabric_domains, 75);
    }
    println!("\nfault schedule: 60 VMs, 6 fabric domains, 8 groups of 4 and 10 groups of 2");
    let weights = |downtime, stranded| ObjectiveWeights { downtime, stranded };
    let favor_downtime = weights(3.0, 1.0);
    let favor_stranded = weights(1.0, 3.0);
    for (name, policy, weights) in [
        ("None", RepairPolicy::None, favor_downtime),
        ("Greedy", RepairPolicy::Greedy, favor_downtime),
        (
            "Weighted, downtime to stranded 3:1",
            RepairPolicy::Weighted,
            favor_downtime,
        ),
        (
            "Weighted, downtime to stranded 1:3",
            RepairPolicy::Weighted,
            favor_stranded,
        ),
    ] {
        ScheduleRun::new(policy, weights).run(name, text);
    }
}

pub(crate) fn model(name: &str, size: u32, groups: u32) -> ModelRule {
    ModelRule {
        name: ModelId::new(name),
        version: ModelVersion::new("2026-11"),
        vms_per_group: size,
        groups,
        slots_per_group: SlotCount(32),
        accounts: Vec::new(),
    }
}

/// Returns `count` VMs in `fabric_domains` fabric domains, with `per_failure` fabric domains in
/// each failure domain.
pub(crate) fn inventory(count: usize, fabric_domains: usize, per_failure: usize) -> Vec<PlannerVm> {
    let mut vms: Vec<PlannerVm> = (0..count)
        .map(|number| {
            let fabric = number % fabric_domains;
            let failure_domain = ["phc-a", "phc-b", "yen-a"].get(fabric / per_failure);
            let failure_domain = match failure_domain {
                Some(name) if fabric_domains <= 6 => (*name).to_string(),
                _ => format!("fd-{}", fabric / per_failure),
            };
            let domain = format!("{failure_domain}-f{}", fabric % per_failure + 1);
            let index = number / fabric_domains;
            let racks = count / fabric_domains / 2;
            let rack = index / racks.max(1) + 1;
            PlannerVm {
                vm: VmId::new(format!("{domain}-r{rack}-{}", index % racks.max(1))),
                fabric_domain: FabricDomainId::new(domain),
                failure_domain: FailureDomainId::new(failure_domain),
                can_host: vec![ModelId::new("draft"), ModelId::new("chat")],
                accelerators: 1,
                state: VmState::Live,
                ..PlannerVm::default()
            }
        })
        .collect();
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    vms
}

pub(crate) fn planner(policy: RepairPolicy) -> PlacementPlanner {
    PlacementPlanner::new(PlacementSettings {
        policy,
        ..PlacementSettings::default()
    })
}

/// Applies the plan to the input and makes all groups ready.
pub(crate) fn store(input: &mut PlannerInput, plan: &PlacementPlan) {
    input.placements.extend(plan.documents.clone());
    let ready = PlannerGroup {
        state: GroupState::Ready,
        running: 4,
    };
    input.groups = input
        .placements
        .values()
        .flat_map(|document| &document.groups)
        .map(|group| (group.id.clone(), ready.clone()))
        .collect();
}

/// Returns the median and the maximum planning time in milliseconds, and the plan.
fn time_plan(input: &PlannerInput) -> (f64, f64, PlacementPlan) {
    let planner = planner(RepairPolicy::Weighted);
    let mut plan = planner.plan(input);
    let mut times: Vec<f64> = (0..TIMED_RUNS)
        .map(|_| {
            let start = Instant::now();
            plan = planner.plan(input);
            start.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    (times[TIMED_RUNS / 2], times[TIMED_RUNS - 1], plan)
}

fn measure_time(count: usize, size: u32, fabric_domains: usize, percent: u32) {
    let per_failure = match fabric_domains {
        6 => 2,
        fabric_domains => fabric_domains / 9,
    };
    let groups = (count / fabric_domains / size as usize * fabric_domains) as u32 * percent / 100;
    let rules = RulesDocument {
        models: vec![
            model("draft", size, groups / 2),
            model("chat", size, groups - groups / 2),
        ],
        ..RulesDocument::default()
    };
    let mut input = PlannerInput {
        rules: Arc::new(rules),
        vms: inventory(count, fabric_domains, per_failure),
        ..PlannerInput::default()
    };
    let (empty, empty_max, plan) = time_plan(&input);
    store(&mut input, &plan);
    let (normal, normal_max, unchanged) = time_plan(&input);
    let bytes: Vec<usize> = input
        .placements
        .values()
        .filter_map(|document| serde_json::to_string(document).ok())
        .map(|text| text.len())
        .collect();
    measure_ticks(&input);
    let lost = input.vms[0].failure_domain.clone();
    let dead = input.vms.iter_mut().filter(|vm| vm.failure_domain == lost);
    let dead = dead.map(|vm| vm.state = VmState::Dead).count();
    let (lost_domain, lost_domain_max, repair) = time_plan(&input);
    println!(
        "{count} VMs, groups of {size}, {groups} groups wanted ({percent}% of capacity), {fabric_domains} fabric domains: median (longest) of {TIMED_RUNS} runs"
    );
    println!("  nothing placed yet   {empty:8.2} ms ({empty_max:.2} ms)");
    println!(
        "  normal state         {normal:8.2} ms ({normal_max:.2} ms), changed documents {}",
        unchanged.documents.len()
    );
    println!(
        "  failure domain lost  {lost_domain:8.2} ms ({lost_domain_max:.2} ms), {dead} VMs dead, changed documents {}, blocked items {}",
        repair.documents.len(),
        repair.blocked.len()
    );
    println!(
        "  stored documents: largest {} B, all {} B",
        bytes.iter().max().unwrap_or(&0),
        bytes.iter().sum::<usize>()
    );
}

/// Measures the time that the holder of one shard spends in ticks, with ten ticks per second and
/// request counts that change with each tick.
fn measure_ticks(input: &PlannerInput) {
    let own = NodeKey {
        id: NodeId::new("n0"),
        incarnation: Incarnation(1),
    };
    let mut controller = ShardController::new(PlacementSettings::default(), own, 1);
    let shard = input.vms[0].fabric_domain.clone();
    let epoch = LeaseEpoch(1);
    for document in input.placements.values() {
        let mut document = document.clone();
        document.epoch = epoch;
        let version = ObjectVersion(1);
        controller.step(
            ShardEvent::PlacementChanged { version, document },
            Timestamp(0),
        );
    }
    let mut spent = 0.0;
    for tick in 1..=100_u64 {
        let mut input = input.clone();
        input
            .groups
            .values_mut()
            .for_each(|group| group.running = tick as u32);
        let input = Arc::new(input);
        let held = vec![(shard.clone(), epoch, Timestamp(0))];
        let now = Timestamp(tick * 100);
        let start = Instant::now();
        let effects = controller.step(ShardEvent::Tick { input, held }, now);
        spent += start.elapsed().as_secs_f64();
        for effect in effects {
            if let ShardEffect::Call { call, .. } = effect {
                let outcome = StoreOutcome::Found(StoredObject {
                    name: shard.as_str().into(),
                    version: ObjectVersion(1),
                    revision: StoreRevision(1),
                    value: stored_text(&controller, &shard),
                });
                controller.step(ShardEvent::CallCompleted { call, outcome }, now);
            }
        }
    }
    println!(
        "  holder of one shard: {:.2} ms of a core per second in ticks",
        spent * 100.0
    );
}

fn stored_text(controller: &ShardController, shard: &FabricDomainId) -> String {
    let (_, document) = &controller.placements()[shard];
    serde_json::to_string(document).expect("documents are plain data")
}
