//! Measures how well account floors hold under a flood from another account, with static shares and
//! with shares by demand.
//!
//! `cargo run --release -p jaysaddle-admission --example measure`; `JAYSADDLE_SEED`
//! changes the seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use jaysaddle_admission::AdmissionController;
use jaysaddle_admission::AdmissionSettings;
use jaysaddle_admission::AdmitOutcome;
use jaysaddle_admission::AdmitQuery;
use jaysaddle_admission::QueueRelease;
use jaysaddle_admission::SharePolicy;
use jaysaddle_admission::divide_shares_ranked;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ModelVersion;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::RequestPriority;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::rules::AccountRule;
use jaysaddle_types::rules::ModelRule;
use jaysaddle_types::rules::RulesDocument;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::FleetView;
use jaysaddle_types::view::GroupState;
use jaysaddle_types::view::GroupView;
use jaysaddle_types::view::VmState;

const NODES: usize = 7;
const GROUPS: usize = 20;
const GROUP_SLOTS: u32 = 16;
const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 1_000;
const WARM_UP_MS: u64 = 15_000;
const END_MS: u64 = 75_000;
const MEAN_HOLD_MS: f64 = 1_000.0;
/// Concurrent callers of the account with a floor, by node; they sum to the reserved slots.
const CALLERS: [u32; NODES] = [28, 12, 10, 8, 6, 4, 2];
const RESERVE: u32 = 70;
/// Request rate of the flooding account, as a multiple of the capacity.
const FLOOD_FACTOR: f64 = 5.0;

fn main() {
    let seed = std::env::var("JAYSADDLE_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20_261_203);
    println!("seed {seed}; {NODES} nodes, {GROUPS} groups of {GROUP_SLOTS} slots");
    println!(
        "one account reserves {RESERVE} slots and has callers {CALLERS:?} by node at priority 0;"
    );
    println!("another floods every node with {FLOOD_FACTOR} times its capacity at priority 9");
    println!(
        "shares    floor held%  refused%  wait p50  p95  p99 ms  slots used%  admit us p50  p99"
    );
    for policy in [SharePolicy::Static, SharePolicy::Demand] {
        Measurement::new(policy, seed).run();
    }
}

struct Node {
    key: NodeKey,
    controller: AdmissionController,
    view: FleetView,
    /// End time, request, and whether it belongs to the account with a floor; ordered by end time.
    running: BTreeSet<(u64, RequestId, bool)>,
    waiting: BTreeMap<RequestId, (u64, bool)>,
    /// Send times of the next requests of the account with a floor, with the time of
    /// the first attempt.
    pending_sends: Vec<(u64, u64)>,
}

struct Measurement {
    policy: SharePolicy,
    rules: Arc<RulesDocument>,
    nodes: Vec<Node>,
    random: u64,
    sent: u64,
    now: u64,
    floor_slots: u64,
    used_slots: u64,
    refused: u64,
    attempts: u64,
    waits: Vec<u64>,
    admit_nanos: Vec<u64>,
}

impl Measurement {
    fn new(policy: SharePolicy, seed: u64) -> Self {
        let rules = Arc::new(rules());
        let settings = AdmissionSettings {
            shares: policy,
            ..AdmissionSettings::default()
        };
        let nodes = (0..NODES).map(|number| Node {
            key: NodeKey {
                id: NodeId::new(format!("n-{number}")),
                incarnation: Incarnation(1),
            },
            controller: AdmissionController::new(settings.clone()),
            view: view(&rules),
            running: BTreeSet::new(),
            waiting: BTreeMap::new(),
            pending_sends: vec![(0, 0); CALLERS[number] as usize],
        });
        Self {
            policy,
            nodes: nodes.collect(),
            rules,
            random: seed,
            sent: 0,
            now: 0,
            floor_slots: 0,
            used_slots: 0,
            refused: 0,
            attempts: 0,
            waits: Vec::new(),
            admit_nanos: Vec::new(),
        }
    }

    fn run(mut self) {
        while self.now < END_MS {
            if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
                self.divide_floors();
            }
            for number in 0..NODES {
                self.step(number);
            }
            if self.now >= WARM_UP_MS {
                for node in &self.nodes {
                    let floor = node.running.iter().filter(|(_, _, floor)| *floor);
                    self.floor_slots += floor.count() as u64;
                    self.used_slots += node.running.len() as u64;
                }
            }
            self.now += STEP_MS;
        }
        self.print();
    }

    /// Divides the reserved slots on each node by the usage reports of all nodes.
    fn divide_floors(&mut self) {
        let now = Timestamp(self.now);
        let usage: Vec<_> = self
            .nodes
            .iter()
            .map(|node| (node.key.clone(), node.controller.usage(now)))
            .collect();
        let settings = AdmissionSettings {
            shares: self.policy,
            ..AdmissionSettings::default()
        };
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let mut others = usage.clone();
            let (key, own) = others.remove(number);
            node.view.shares =
                divide_shares_ranked(&key, &settings, &self.rules, &own, &others, NODES);
        }
    }

    fn step(&mut self, number: usize) {
        while let Some((end, request, floor)) = self.nodes[number].running.first().cloned() {
            if end > self.now {
                break;
            }
            let node = &mut self.nodes[number];
            node.running.remove(&(end, request.clone(), floor));
            let now = Timestamp(self.now);
            let releases = node.controller.release(&request, &node.view, now);
            if floor {
                node.pending_sends.push((self.now, self.now));
            }
            self.handle_releases(number, releases);
        }
        let slots = f64::from(GROUP_SLOTS) * GROUPS as f64 / NODES as f64;
        let mean = FLOOD_FACTOR * slots * STEP_MS as f64 / MEAN_HOLD_MS;
        let mut next = self.exponential(1.0);
        while next < mean {
            self.send(number, false, self.now);
            next += self.exponential(1.0);
        }
        let due = |(at, _): &(u64, u64)| *at <= self.now;
        let node = &mut self.nodes[number];
        let (due, later): (Vec<_>, Vec<_>) = node.pending_sends.drain(..).partition(due);
        node.pending_sends = later;
        for (_, first_attempt) in due {
            self.send(number, true, first_attempt);
        }
        let node = &mut self.nodes[number];
        let releases = node.controller.tick(&node.view, Timestamp(self.now));
        self.handle_releases(number, releases);
    }

    fn send(&mut self, number: usize, floor: bool, first_attempt: u64) {
        self.sent += 1;
        let request = RequestId::new(format!("r-{}", self.sent));
        let query = AdmitQuery {
            request: request.clone(),
            account: AccountId::new(if floor { "reserved" } else { "flood" }),
            target: RequestTarget::Model(ModelId::new("chat")),
            priority: RequestPriority::new(if floor { 0 } else { 9 }),
            deadline: Timestamp(self.now + 30_000),
        };
        self.attempts += u64::from(floor && self.now >= WARM_UP_MS);
        let node = &mut self.nodes[number];
        let begin = Instant::now();
        let outcome = node
            .controller
            .admit(&query, &node.view, Timestamp(self.now));
        self.admit_nanos.push(begin.elapsed().as_nanos() as u64);
        let displaced = node.controller.displaced();
        node.waiting.insert(request.clone(), (first_attempt, floor));
        if outcome != AdmitOutcome::Queued {
            let release = QueueRelease { request, outcome };
            self.handle_releases(number, vec![release]);
        }
        self.handle_releases(number, displaced);
    }

    fn handle_releases(&mut self, number: usize, releases: Vec<QueueRelease>) {
        for release in releases {
            let hold = self.exponential(MEAN_HOLD_MS) as u64 + 1;
            let measured = self.now >= WARM_UP_MS;
            let node = &mut self.nodes[number];
            let (first_attempt, floor) = node
                .waiting
                .remove(&release.request)
                .expect("only queued requests are released");
            match release.outcome {
                AdmitOutcome::Refused(refusal) if floor => {
                    self.refused += u64::from(measured);
                    let retry = refusal.retry_after_ms.map_or(1_000, |span| span.0);
                    node.pending_sends.push((self.now + retry, first_attempt));
                }
                AdmitOutcome::Admitted => {
                    let end = self.now + hold;
                    node.running.insert((end, release.request, floor));
                    if floor && measured {
                        self.waits.push(self.now - first_attempt);
                    }
                }
                _ => {}
            }
        }
    }

    /// Exponentially distributed value from a SplitMix64 generator.
    fn exponential(&mut self, mean: f64) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let value = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let unit = ((value ^ (value >> 31)) >> 11) as f64 / (1_u64 << 53) as f64;
        -(1.0 - unit).ln() * mean
    }

    fn print(mut self) {
        let steps = ((END_MS - WARM_UP_MS) / STEP_MS) as f64;
        let slots = f64::from(GROUP_SLOTS) * GROUPS as f64;
        self.waits.sort_unstable();
        self.admit_nanos.sort_unstable();
        let at = |sorted: &[u64], percent: usize| sorted[(sorted.len() - 1) * percent / 100];
        println!(
            "{:<8} {:>11.1} {:>9.1} {:>9} {:>4} {:>4} {:>14.1} {:>12.1} {:>5.1}",
            format!("{:?}", self.policy),
            100.0 * self.floor_slots as f64 / steps / f64::from(RESERVE),
            100.0 * self.refused as f64 / self.attempts.max(1) as f64,
            at(&self.waits, 50),
            at(&self.waits, 95),
            at(&self.waits, 99),
            100.0 * self.used_slots as f64 / steps / slots,
            at(&self.admit_nanos, 50) as f64 / 1_000.0,
            at(&self.admit_nanos, 99) as f64 / 1_000.0,
        );
    }
}

fn rules() -> RulesDocument {
    let account = |name: &str, reserved: u32| AccountRule {
        name: AccountId::new(name),
        key_sha256: "".into(),
        reserved_slots: SlotCount(reserved),
        max_slots: None,
        priority: 5,
    };
    RulesDocument {
        models: vec![ModelRule {
            name: ModelId::new("chat"),
            version: ModelVersion::new("v1"),
            vms_per_group: 1,
            groups: GROUPS as u32,
            slots_per_group: SlotCount(GROUP_SLOTS),
            accounts: Vec::new(),
        }],
        accounts: vec![account("reserved", RESERVE), account("flood", 0)],
        ..RulesDocument::default()
    }
}

fn view(rules: &Arc<RulesDocument>) -> FleetView {
    let group = |number: usize| GroupView {
        id: GroupId::new(format!("g-{number}")),
        generation: Generation(1),
        model: ModelId::new("chat"),
        version: ModelVersion::new("v1"),
        fabric_domain: FabricDomainId::new("fab-a"),
        failure_domain: FailureDomainId::new("fd-a"),
        members: vec![(VmId::new(format!("vm-{number}")), VmState::Live)],
        leader: ([127, 0, 0, 1], 9000).into(),
        state: GroupState::Ready,
        slots: SlotCount(GROUP_SLOTS),
        reason: "".into(),
    };
    FleetView {
        configured: true,
        rules: rules.clone(),
        groups: (0..GROUPS).map(group).collect(),
        capacity_permille: 1000 / NODES as u32,
        ..FleetView::default()
    }
}
