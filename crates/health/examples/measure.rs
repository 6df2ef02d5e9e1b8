//! Measures CPU time, memory and probe rate of one tracker at several sizes.
//!
//! Run with `cargo run --release -p jaysaddle-health --example measure`. Memory is the growth of
//! the resident set, so the sizes run from small to large and nothing is freed in between.

use std::net::SocketAddr;

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::HealthEffect;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::HealthSettings;
use jaysaddle_health::HealthTarget;
use jaysaddle_health::HealthTracker;
use jaysaddle_health::WatcherNode;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::evidence::ListedState;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

const TICK_MS: u64 = 250;
const SECONDS: u64 = 120;
const WARM_UP_SECONDS: u64 = 20;
/// Findings received per second; 740 restarted and 25 failed VMs a day cause less than 0.1.
const FINDINGS_PER_SECOND: usize = 10;
/// Completed requests per second; 3,600 over 320 nodes are 11 per node.
const REQUESTS_PER_SECOND: usize = 12;
const LIST_SECONDS: u64 = 10;
const GROUP_SIZE: usize = 16;

/// Fleet size of one measurement.
struct MeasuredSize {
    vms: usize,
    nodes: usize,
    domains: usize,
}

impl MeasuredSize {
    fn domain(&self, index: usize) -> FailureDomainId {
        FailureDomainId::new(format!("domain-{}", index % self.domains))
    }

    fn target(&self, index: usize) -> HealthTarget {
        HealthTarget {
            vm: vm_id(index),
            address: SocketAddr::from(([127, 0, 0, 1], 9000)),
            failure_domain: self.domain(index / GROUP_SIZE),
        }
    }

    fn watcher_node(&self, index: usize) -> WatcherNode {
        WatcherNode {
            node: node_key(index),
            failure_domain: self.domain(index),
        }
    }

    fn list(&self) -> Vec<ListedVm> {
        let entry = |index| ListedVm {
            vm: vm_id(index),
            state: ListedState::Live,
        };
        (0..self.vms).map(entry).collect()
    }
}

fn vm_id(index: usize) -> VmId {
    VmId::new(format!("vm-{index:04}"))
}

fn node_key(index: usize) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("node-{index:03}")),
        incarnation: Incarnation(1),
    }
}

fn leader_report(vm: &VmId) -> EngineReport {
    EngineReport {
        vm: vm.clone(),
        group: Some(GroupId::new("group-0001")),
        model: Some(ModelId::new("model-large")),
        members: (0..GROUP_SIZE).map(vm_id).collect(),
        ..EngineReport::default()
    }
}

/// CPU time of this process in microseconds.
fn cpu_micros() -> i64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Applies events; returns the due probes and the CPU time spent.
fn apply(
    tracker: &mut HealthTracker,
    events: Vec<HealthEvent>,
    now: Timestamp,
) -> (Vec<VmId>, i64) {
    let start = cpu_micros();
    let mut effects = Vec::new();
    for event in events {
        effects.append(&mut tracker.step(event, now));
    }
    let spent = cpu_micros() - start;
    let probe = |effect| match effect {
        HealthEffect::Probe { vm, .. } => Some(vm),
        _ => None,
    };
    (effects.into_iter().filter_map(probe).collect(), spent)
}

/// Returns the events of one tick, including the tick itself.
fn load(size: &MeasuredSize, tick: u64, probed: Vec<VmId>) -> Vec<HealthEvent> {
    let mut events = vec![HealthEvent::Tick];
    for vm in probed {
        events.push(HealthEvent::Probed {
            outcome: Ok(leader_report(&vm)),
            vm,
            latency: TimeSpan(3),
        });
    }
    let per_tick = 1000 / TICK_MS as usize;
    for index in 0..FINDINGS_PER_SECOND.div_ceil(per_tick) {
        let number = tick as usize * 7 + index;
        events.push(HealthEvent::PeerFinding {
            node: node_key(1 + number % (size.nodes - 1)),
            evidence: VmEvidence {
                vm: vm_id(number % size.vms),
                finding: ProbeFinding::Answers,
                cut_off: false,
            },
        });
    }
    for index in 0..REQUESTS_PER_SECOND.div_ceil(per_tick) {
        events.push(HealthEvent::Attempted {
            vm: vm_id((tick as usize * 3 + index) % size.vms),
            finding: AttemptFinding::Answered,
        });
    }
    if tick.is_multiple_of(LIST_SECONDS * 1000 / TICK_MS) {
        events.push(HealthEvent::Listed(size.list()));
    }
    events
}

fn measure(size: &MeasuredSize) -> HealthTracker {
    let before = resident_kib();
    let mut now = Timestamp(1_000);
    let settings = HealthSettings::default();
    let mut tracker = HealthTracker::new(settings, node_key(0), size.domain(0));
    let watcher_nodes: Vec<WatcherNode> = (0..size.nodes)
        .map(|index| size.watcher_node(index))
        .collect();
    let targets: Vec<HealthTarget> = (0..size.vms).map(|index| size.target(index)).collect();
    let event = HealthEvent::WatchersChanged(watcher_nodes.clone());
    apply(&mut tracker, vec![event], now);
    let event = HealthEvent::TargetsChanged(targets.clone());
    let (_, targets_micros) = apply(&mut tracker, vec![event], now);
    let event = HealthEvent::WatchersChanged(watcher_nodes);
    let (_, watchers_micros) = apply(&mut tracker, vec![event], now);
    let mut probed = Vec::new();
    let (mut spent, mut probes, mut most) = (0, 0, 0);
    let warm_up = WARM_UP_SECONDS * 1000 / TICK_MS;
    for tick in 0..warm_up + SECONDS * 1000 / TICK_MS {
        now = now + TimeSpan(TICK_MS);
        let events = load(size, tick, probed);
        let (due, micros) = apply(&mut tracker, events, now);
        if tick >= warm_up {
            spent += micros;
            probes += due.len();
            most = most.max(due.len());
        }
        probed = due;
    }
    println!(
        "{:5} {:6} {:12.3} {:10} {:11.1} {:15} {:13} {:13}",
        size.vms,
        size.nodes,
        spent as f64 / 1000.0 / SECONDS as f64,
        resident_kib().saturating_sub(before),
        probes as f64 / SECONDS as f64,
        most,
        targets_micros,
        watchers_micros,
    );
    tracker
}

fn main() {
    println!(
        "  vms  nodes  cpu_ms_per_s memory_kib probes_per_s most_in_250_ms targets_us watchers_us"
    );
    let mut kept = Vec::new();
    for vms in [60, 600, 2700] {
        for (nodes, domains) in [(7, 3), (320, 9)] {
            let size = MeasuredSize {
                vms,
                nodes,
                domains,
            };
            kept.push(measure(&size));
        }
    }
    println!("{} trackers measured", kept.len());
}
