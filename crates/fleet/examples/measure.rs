//! Measures the controller's tick and the processing of heartbeats at several sizes of a deployment.
//!
//! `cargo run --release -p jaysaddle-fleet --example measure`

use std::time::Instant;

use jaysaddle_fleet::controller::ControllerTiming;
use jaysaddle_fleet::controller::FleetController;
use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::controller::FleetView;
use jaysaddle_fleet::controller::NodeTraffic;
use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerLoad;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::EngineProfile;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::GroupMembership;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::ModelProfile;
use jaysaddle_types::serving::ServiceRule;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::ProcessorShare;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Number of VMs in a fabric domain.
const DOMAIN_VMS: usize = 19;
/// Models by name and group size.
const MODELS: [(&str, usize); 2] = [("large", 8), ("small", 4)];
/// Requests in flight of each node, each at a target of its own.
const LOADS: u32 = 8;
const TICKS: u64 = 100;
const HEARTBEATS: usize = 2000;

fn config() -> ServingConfig {
    let models = MODELS.iter().map(|(name, size)| ModelProfile {
        id: ModelId::new(*name),
        group_size: *size,
        work_share: 0.5,
        load_time: TimeSpan::from_secs(16),
        staged_join_time: TimeSpan(1600),
        time_factor: 1.0,
    });
    ServingConfig {
        version: 1,
        services: vec![ServiceRule {
            id: ServiceId::new("engines"),
            max_connections: 100,
            cold_rate: 0.0,
            cold_time: TimeSpan(0),
            engine: Some(EngineProfile {
                slots: SlotCount(14),
                models: models.collect(),
                loads_per_second: 63.0,
                concurrent_loads: 95,
                open_time: TimeSpan(300),
                prompt_token_ms: 0.02,
                output_token_ms: 0.5,
                typical_output_tokens: 150,
                step_ms: 0.0,
                sequence_ms: 0.0,
                steps_per_event: 1,
            }),
        }],
        ..ServingConfig::default()
    }
}

/// A table in which each fabric domain has a group of eight and one of four, and seven idle VMs.
fn table(vms: usize) -> BackendTable {
    let mut table = BackendTable::default();
    for number in 0..vms {
        let (domain, position) = (number / DOMAIN_VMS, number % DOMAIN_VMS);
        let (group, rank) = match position {
            0..8 => (Some(0), position),
            8..12 => (Some(1), position - 8),
            _ => (None, 0),
        };
        let membership = group.map(|group| GroupMembership {
            key: GroupKey {
                group: GroupId::new(format!("g{domain}-{group}")),
                generation: Generation((domain * 2 + group) as u64),
            },
            rank: rank as u32,
            phase: if rank == 0 {
                MemberPhase::Open
            } else {
                MemberPhase::Ready
            },
        });
        let entry = BackendEntry {
            id: VmId::new(format!("i-{number:08x}")),
            started: 1,
            service: ServiceId::new("engines"),
            address: "10.0.0.1:80".parse().expect("address"),
            failure_domain: FailureDomainId::new("a"),
            fabric_domain: Some(FabricDomainId::new(format!("a-{domain}"))),
            slots: SlotCount(14),
            is_draining: false,
            model: group.map(|group| ModelId::new(MODELS[group].0)),
            staged: Vec::new(),
            membership,
            cold_left: TimeSpan(0),
        };
        table.put(entry, Timestamp(1));
    }
    table
}

fn heartbeat(node: usize) -> PeerHeartbeat {
    PeerHeartbeat {
        node: NodeId::new(format!("front-phc-a-{node}")),
        incarnation: Incarnation(1),
        failure_domain: FailureDomainId::new("a"),
        caller_address: "10.0.0.1:80".parse().expect("address"),
        peer_address: "10.0.0.1:81".parse().expect("address"),
        phase: PeerPhase::Serving,
        config_version: 1,
        table_age: TimeSpan(0),
        is_store_unreachable: false,
        claim: None,
        handover: None,
        loads: (0..LOADS)
            .map(|load| PeerLoad {
                target: load * 17 + node as u32 % 17,
                requests: 1,
                late: 0,
                unread: 0,
            })
            .collect(),
        stalled_targets: Vec::new(),
        work: MODELS
            .iter()
            .map(|(name, _)| (ModelId::new(*name), 1000))
            .collect(),
        target_changes: 0,
        closed_targets: Vec::new(),
        unserved: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
        crash_facts: Vec::new(),
        content_blocks: Vec::new(),
        usage: Vec::new(),
        processor: ProcessorShare(250),
        table_version: 0,
        is_relay: false,
        digest: None,
        store_era: StoreEra(1),
        latest_term: LeaseEpoch(1),
        evacuations: None,
    }
}

/// Mean time of a controller's tick, in microseconds.
fn measure_tick(vms: usize) -> f64 {
    let (table, config) = (table(vms), config());
    let view = FleetView {
        table: &table,
        config: &config,
        is_table_current: true,
    };
    let mut controller = FleetController::new(ControllerTiming::default());
    controller.step(FleetEvent::Acquired(LeaseEpoch(1)), view, Timestamp(1000));
    let traffic = |work| {
        vec![NodeTraffic {
            node: NodeKey {
                id: NodeId::new("node"),
                incarnation: Incarnation(1),
            },
            work: vec![(ModelId::new(MODELS[0].0), work)],
        }]
    };
    let mut elapsed = 0.0;
    for tick in 0..2 * TICKS {
        let now = Timestamp(6000 + tick * 100);
        controller.step(FleetEvent::Traffic(traffic(tick * 1000)), view, now);
        let started = Instant::now();
        controller.step(FleetEvent::Tick, view, now);
        if tick >= TICKS {
            elapsed += started.elapsed().as_secs_f64();
        }
    }
    elapsed / TICKS as f64 * 1e6
}

/// Mean time to record a heartbeat, in microseconds.
fn measure_heartbeat(nodes: usize) -> f64 {
    let mut peers = PeerTable::default();
    for node in 0..nodes {
        peers.record_heartbeat(heartbeat(node), Timestamp(1000));
    }
    let heartbeats: Vec<_> = (0..HEARTBEATS)
        .map(|beat| heartbeat(beat % nodes))
        .collect();
    let started = Instant::now();
    for heartbeat in heartbeats {
        peers.record_heartbeat(heartbeat, Timestamp(1001));
    }
    started.elapsed().as_secs_f64() / HEARTBEATS as f64 * 1e6
}

fn main() {
    for vms in [60, 760, 2700] {
        println!("tick at {vms} VMs: {:.0} us", measure_tick(vms));
    }
    for nodes in [7, 82, 195, 320] {
        println!(
            "heartbeat from one of {nodes} nodes: {:.2} us",
            measure_heartbeat(nodes)
        );
    }
}
