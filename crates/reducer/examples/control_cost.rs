//! Measures CPU time and memory of one node's control plane for several fleet sizes.
//!
//! A single control plane runs for a simulated minute in a cluster of nodes that only acknowledge
//! its membership probes. It holds the given number of shards; the leases of all other shards are
//! renewed by another holder. All probes and store calls complete immediately. Run with
//! `cargo run --release -p jaysaddle-reducer --example control_cost`.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Instant;

use compact_str::format_compact;
use jaysaddle_health::HealthSettings;
use jaysaddle_lease::LeaseSettings;
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
use jaysaddle_wire::messages::AckMessage;
use jaysaddle_wire::messages::NodeRumor;
use jaysaddle_wire::messages::NodeRun;
use jaysaddle_wire::messages::PeerBody;
use jaysaddle_wire::messages::PeerMessage;
use jaysaddle_wire::messages::SyncReplyMessage;
use jaysaddle_wire::messages::WireRumor;
use jaysaddle_wire::messages::WireRumorBody;

const TICK_INTERVAL_MS: u64 = 50;
const RUN_DURATION_MS: u64 = 60_000;
const WARM_UP_MS: u64 = 10_000;
const VMS_PER_FABRIC_DOMAIN: usize = 54;

struct Fleet {
    vms: usize,
    group: usize,
    nodes: usize,
    /// Number of shards whose leases the node can acquire.
    shards: usize,
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

struct FakeCluster {
    objects: BTreeMap<(ObjectKind, String), (u64, String)>,
    assignments: BTreeMap<VmId, EngineOrder>,
    calls: u64,
    probes: u64,
    shards: usize,
}

impl FakeCluster {
    fn call(&mut self, request: &StoreRequest) -> StoreOutcome {
        self.calls += 1;
        if let Some(name) = self.foreign_lease(request) {
            // Another node renews this lease, so every read returns a new version.
            return StoreOutcome::Found(StoredObject {
                value: serde_json::json!({
                    "holder": { "id": "n1", "incarnation": 1 },
                    "epoch": 1,
                    "write_id": "other",
                })
                .to_string(),
                name,
                version: ObjectVersion(self.calls),
                revision: StoreRevision(1),
            });
        }
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

    fn foreign_lease(&self, request: &StoreRequest) -> Option<compact_str::CompactString> {
        let (StoreRequest::Get { kind, name } | StoreRequest::Put { kind, name, .. }) = request;
        let number: usize = name.strip_prefix('f')?.parse().ok()?;
        (*kind == ObjectKind::Lease && number >= self.shards).then(|| name.clone())
    }

    fn report(&self, vm: &VmId) -> EngineReport {
        let mut report = EngineReport {
            vm: vm.clone(),
            slots: 64,
            ..EngineReport::default()
        };
        if let Some(order) = self.assignments.get(vm)
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

    fn respond(&mut self, effect: ControlEffect) -> Option<ControlEvent> {
        match effect {
            ControlEffect::CallStore {
                caller,
                call,
                request,
            } => Some(ControlEvent::CallCompleted {
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
                self.assignments.insert(vm.clone(), order.clone());
                Some(ControlEvent::OrderCompleted {
                    vm,
                    order,
                    outcome: Some(OrderOutcome::Accepted),
                })
            }
            ControlEffect::SendPeer { to, message } => ack_probe(to, message),
            _ => None,
        }
    }
}

fn node_address(index: usize) -> SocketAddr {
    let high = u8::try_from(index / 200).expect("below 256");
    let low = u8::try_from(index % 200 + 1).expect("below 256");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 2, high, low)), 7401)
}

fn node_of(address: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let [_, _, high, low] = ip.octets();
    Some(usize::from(high) * 200 + usize::from(low) - 1)
}

fn node_run(index: usize) -> NodeRun {
    NodeRun {
        id: format!("n{index}"),
        incarnation: 1,
    }
}

/// Acknowledges a membership probe without any rumors.
fn ack_probe(to: SocketAddr, message: PeerMessage) -> Option<ControlEvent> {
    let Some(PeerBody::Ping(ping)) = message.body else {
        return None;
    };
    let run = node_run(node_of(to)?);
    Some(ControlEvent::PeerReceived(PeerMessage {
        from_id: run.id.clone(),
        from_incarnation: run.incarnation,
        body: Some(PeerBody::Ack(AckMessage {
            nonce: ping.nonce,
            responder: Some(run),
            ..AckMessage::default()
        })),
    }))
}

/// Builds the reply to the node's first anti-entropy exchange, which lists all other nodes.
fn membership_sync(nodes: usize) -> ControlEvent {
    let rumors = (1..nodes)
        .map(|index| WireRumor {
            origin: Some(node_run(index)),
            sequence: 1,
            body: Some(WireRumorBody::Node(NodeRumor {
                node: Some(node_run(index)),
                revision: 1,
                state: 0,
                callers: node_address(index).to_string(),
                peers: node_address(index).to_string(),
                failure_domain: format!("d{}", index % 9),
                region: "r".to_owned(),
                ..NodeRumor::default()
            })),
        })
        .collect();
    let run = node_run(1);
    ControlEvent::PeerReceived(PeerMessage {
        from_id: run.id,
        from_incarnation: run.incarnation,
        body: Some(PeerBody::SyncReply(SyncReplyMessage {
            rumors,
            ..SyncReplyMessage::default()
        })),
    })
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
        callers: node_address(0),
        peers: node_address(0),
        failure_domain: FailureDomainId::new("d0"),
        region: RegionId::new("r"),
    };
    // Make every node a candidate for every lease, so that this node can acquire the given
    // number of shards.
    let settings = ControlSettings {
        lease: LeaseSettings {
            max_candidates: fleet.nodes,
            rank_delay: TimeSpan::from_millis(1),
            ..LeaseSettings::default()
        },
        health: HealthSettings {
            // No other node reports on VMs here. A shard's holder needs live VMs to form groups, so
            // it probes all of them itself, which overestimates its cost.
            watchers: if fleet.shards > 0 { fleet.nodes } else { 3 },
            ..HealthSettings::default()
        },
        ..ControlSettings::default()
    };
    let mut state = ControlState::new(settings, own, Vec::new(), 1);
    let mut cluster = FakeCluster {
        objects: BTreeMap::new(),
        assignments: BTreeMap::new(),
        calls: 0,
        probes: 0,
        shards: fleet.shards,
    };
    let mut queue = vec![
        ControlEvent::ObjectsChanged {
            kind: ObjectKind::Config,
            objects: fleet.documents(),
        },
        membership_sync(fleet.nodes),
    ];
    let mut cpu_time = std::time::Duration::ZERO;
    let mut longest = std::time::Duration::ZERO;
    for now in
        (1_000..1_000 + RUN_DURATION_MS).step_by(usize::try_from(TICK_INTERVAL_MS).expect("small"))
    {
        queue.push(ControlEvent::Tick);
        while let Some(event) = queue.pop() {
            let started = Instant::now();
            let effects = state.step(event, Timestamp(now));
            let step = started.elapsed();
            if now > WARM_UP_MS {
                cpu_time += step;
                longest = longest.max(step);
            }
            queue.extend(
                effects
                    .into_iter()
                    .filter_map(|effect| cluster.respond(effect)),
            );
        }
    }
    let seconds =
        f64::from(u32::try_from((RUN_DURATION_MS + 1_000 - WARM_UP_MS) / 1000).expect("small"));
    println!(
        "{:>6} {:>6} {:>6} {:>8} {:>10.2} {:>10.2} {:>9.1} {:>9.1} {:>10}",
        fleet.vms,
        state.fleet_view(Timestamp(RUN_DURATION_MS)).0.nodes.len(),
        state.held_shards(Timestamp(RUN_DURATION_MS)).len(),
        state.fleet_view(Timestamp(RUN_DURATION_MS)).0.groups.len(),
        cpu_time.as_secs_f64() * 1000.0 / seconds,
        longest.as_secs_f64() * 1000.0,
        f64::from(u32::try_from(cluster.probes).expect("small")) / 60.0,
        f64::from(u32::try_from(cluster.calls).expect("small")) / 60.0,
        resident_kib().saturating_sub(before),
    );
}

fn main() {
    println!("   vms  nodes shards   groups   cpu_ms/s longest_ms  probes/s   calls/s    rss_kib");
    for (vms, group, nodes, shards) in [
        (60, 4, 7, 0),
        (60, 4, 7, 1),
        (600, 16, 70, 0),
        (600, 16, 70, 1),
        (2_700, 16, 320, 0),
        (2_700, 16, 320, 1),
        (2_700, 16, 320, 50),
    ] {
        measure(&Fleet {
            vms,
            group,
            nodes,
            shards,
        });
    }
}
