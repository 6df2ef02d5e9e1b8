//! Processor time and memory of one node's control lane at several fleet sizes.
//!
//! One control lane runs alone for a simulated minute: it holds as many shards as its share of the
//! fabric domains, all probes are answered at once, and the store answers every call. Messages of
//! membership are measured by the example of that crate. Run with
//! `cargo run --release -p jaysaddle-reducer --example control_cost`.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Instant;

use compact_str::format_compact;
use jaysaddle_reducer::ControlEffect;
use jaysaddle_reducer::ControlEvent;
use jaysaddle_reducer::ControlSettings;
use jaysaddle_reducer::ControlState;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::engine::OrderAction;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeRecord;
use jaysaddle_types::store::ObjectKind;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

const TICK_MS: u64 = 50;
const RUN_MS: u64 = 60_000;
const WARM_UP_MS: u64 = 10_000;
const VMS_PER_FABRIC_DOMAIN: usize = 54;

struct Fleet {
    vms: usize,
    group: usize,
}

fn vm_name(index: usize) -> VmId {
    VmId::new(format_compact!("vm-{index:04}"))
}

fn vm_address(index: usize) -> SocketAddr {
    let high = u8::try_from(index / 200).expect("below 256");
    let low = u8::try_from(index % 200 + 1).expect("below 256");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, high, low)), 7100)
}

fn object(name: &str, document: &serde_json::Value) -> StoredObject {
    let value = serde_json::json!({ "write_id": "w", "document": document });
    StoredObject {
        name: name.into(),
        version: ObjectVersion(1),
        revision: StoreRevision(1),
        value: value.to_string(),
    }
}

impl Fleet {
    fn documents(&self) -> Vec<StoredObject> {
        let domains = 9.min(self.vms.div_ceil(VMS_PER_FABRIC_DOMAIN));
        let mut objects: Vec<_> = (0..domains)
            .map(|domain| {
                let vms: Vec<_> = (0..self.vms)
                    .filter(|index| index / VMS_PER_FABRIC_DOMAIN % domains == domain)
                    .map(|index| {
                        serde_json::json!({
                            "name": vm_name(index),
                            "address": vm_address(index),
                            "fabric_domain": format!("f{:03}", index / VMS_PER_FABRIC_DOMAIN),
                            "can_host": ["m"],
                            "fencing": "enforced",
                        })
                    })
                    .collect();
                let inventory = serde_json::json!({
                    "failure_domain": format!("d{domain}"),
                    "region": "r",
                    "vms": vms,
                });
                object(&format!("inventory-d{domain}"), &inventory)
            })
            .collect();
        let rules = serde_json::json!({
            "models": [{
                "name": "m",
                "version": "1",
                "vms_per_group": self.group,
                "groups": self.vms / self.group,
                "slots_per_group": 64,
            }],
            "accounts": [],
        });
        objects.push(object("rules", &rules));
        objects
    }
}

struct FakeWorld {
    objects: BTreeMap<(ObjectKind, String), (u64, String)>,
    duties: BTreeMap<VmId, EngineOrder>,
    calls: u64,
    probes: u64,
}

impl FakeWorld {
    fn call(&mut self, request: &StoreRequest) -> StoreOutcome {
        self.calls += 1;
        match request {
            StoreRequest::Get { kind, name } => {
                match self.objects.get(&(*kind, name.to_string())) {
                    Some((version, value)) => StoreOutcome::Found(StoredObject {
                        name: name.clone(),
                        version: ObjectVersion(*version),
                        revision: StoreRevision(1),
                        value: value.clone(),
                    }),
                    None => StoreOutcome::Missing,
                }
            }
            StoreRequest::Put {
                kind,
                name,
                expected,
                value,
                ..
            } => {
                let entry = self
                    .objects
                    .entry((*kind, name.to_string()))
                    .or_insert((0, String::new()));
                if entry.0 != expected.0 {
                    return StoreOutcome::Conflict(ObjectVersion(entry.0));
                }
                *entry = (entry.0 + 1, value.clone());
                StoreOutcome::Written(ObjectVersion(entry.0))
            }
        }
    }

    fn report(&self, vm: &VmId) -> EngineReport {
        let mut report = EngineReport {
            vm: vm.clone(),
            slots: 64,
            ..EngineReport::default()
        };
        if let Some(order) = self.duties.get(vm)
            && let OrderAction::Join {
                model,
                version,
                members,
            } = &order.action
        {
            report.group = Some(order.group.clone());
            report.generation = order.generation;
            report.model = Some(model.clone());
            report.version = Some(version.clone());
            report.members = members.clone();
            report.role = if members.first() == Some(vm) {
                EngineRole::Leader
            } else {
                EngineRole::Member
            };
        }
        report
    }

    fn answer(&mut self, effect: ControlEffect) -> Option<ControlEvent> {
        match effect {
            ControlEffect::CallStore {
                caller,
                call,
                request,
            } => Some(ControlEvent::CallAnswered {
                caller,
                call,
                outcome: self.call(&request),
            }),
            ControlEffect::ProbeVm { vm, .. } => {
                self.probes += 1;
                Some(ControlEvent::VmReported {
                    outcome: Ok(self.report(&vm)),
                    vm,
                    latency: TimeSpan::from_millis(1),
                })
            }
            ControlEffect::OrderEngine { vm, order, .. } => {
                self.duties.insert(vm.clone(), order.clone());
                Some(ControlEvent::OrderAnswered {
                    vm,
                    order,
                    outcome: Some(OrderOutcome::Accepted),
                })
            }
            _ => None,
        }
    }
}

fn resident_kib() -> u64 {
    std::fs::read_to_string("/proc/self/status")
        .unwrap_or_default()
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().strip_suffix(" kB"))
        .and_then(|kib| kib.trim().parse().ok())
        .unwrap_or(0)
}

fn measure(fleet: &Fleet) {
    let before = resident_kib();
    let own = NodeRecord {
        key: NodeKey {
            id: NodeId::new("n0"),
            incarnation: Incarnation(1),
        },
        callers: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7400),
        peers: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7401),
        failure_domain: FailureDomainId::new("d0"),
        region: RegionId::new("r"),
    };
    let mut state = ControlState::new(ControlSettings::default(), own, Vec::new(), 1);
    let mut world = FakeWorld {
        objects: BTreeMap::new(),
        duties: BTreeMap::new(),
        calls: 0,
        probes: 0,
    };
    let mut queue = vec![ControlEvent::ObjectsChanged {
        kind: ObjectKind::Config,
        objects: fleet.documents(),
    }];
    let mut spent = std::time::Duration::ZERO;
    let mut longest = std::time::Duration::ZERO;
    for now in (1_000..1_000 + RUN_MS).step_by(usize::try_from(TICK_MS).expect("small")) {
        queue.push(ControlEvent::Tick);
        while let Some(event) = queue.pop() {
            let started = Instant::now();
            let effects = state.step(event, Timestamp(now));
            let step = started.elapsed();
            if now > WARM_UP_MS {
                spent += step;
                longest = longest.max(step);
            }
            queue.extend(
                effects
                    .into_iter()
                    .filter_map(|effect| world.answer(effect)),
            );
        }
    }
    let seconds = f64::from(u32::try_from((RUN_MS + 1_000 - WARM_UP_MS) / 1000).expect("small"));
    println!(
        "{:>6} {:>6} {:>8} {:>10.2} {:>10.2} {:>9.1} {:>9.1} {:>10}",
        fleet.vms,
        state.held_shards(Timestamp(RUN_MS)).len(),
        state.fleet_view(Timestamp(RUN_MS)).0.groups.len(),
        spent.as_secs_f64() * 1000.0 / seconds,
        longest.as_secs_f64() * 1000.0,
        f64::from(u32::try_from(world.probes).expect("small")) / 60.0,
        f64::from(u32::try_from(world.calls).expect("small")) / 60.0,
        resident_kib().saturating_sub(before),
    );
}

fn main() {
    println!("one node that holds every shard and watches every VM");
    println!("   vms shards   groups  cpu_ms/s  longest_ms  probes/s  calls/s    rss_kib");
    for (vms, group) in [(60, 4), (600, 16), (2_700, 16)] {
        measure(&Fleet { vms, group });
    }
}
