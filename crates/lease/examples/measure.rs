//! Benchmark of the lease tables of a whole fleet: store calls, processor time and memory.
//!
//! Run with `cargo run --release -p jaysaddle-lease --example measure`. Memory is the growth of the
//! resident set, so the fleet sizes increase and no table is freed between them.

use std::collections::BTreeMap;

use jaysaddle_lease::LeaseCandidate;
use jaysaddle_lease::LeaseEffect;
use jaysaddle_lease::LeaseEvent;
use jaysaddle_lease::LeaseSettings;
use jaysaddle_lease::LeaseTable;
use jaysaddle_lease::ShardLocation;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

const TICK_MS: u64 = 250;
const MEASURED_SECONDS: u64 = 120;
const WARM_UP_SECONDS: u64 = 30;

fn node_key(index: usize) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("node-{index:03}")),
        incarnation: Incarnation(1),
    }
}

/// In-memory store that responds immediately.
#[derive(Default)]
struct MemoryStore {
    objects: BTreeMap<String, (ObjectVersion, String)>,
    reads: u64,
    writes: u64,
}

impl MemoryStore {
    fn serve(&mut self, request: StoreRequest) -> StoreOutcome {
        match request {
            StoreRequest::Get { name, .. } => {
                self.reads += 1;
                match self.objects.get(name.as_str()) {
                    None => StoreOutcome::Missing,
                    Some((version, value)) => StoreOutcome::Found(StoredObject {
                        name,
                        version: *version,
                        revision: StoreRevision(0),
                        value: value.clone(),
                    }),
                }
            }
            StoreRequest::Put {
                name,
                expected,
                value,
                ..
            } => {
                self.writes += 1;
                let object = self.objects.entry(name.to_string()).or_default();
                if object.0 != expected {
                    return StoreOutcome::Conflict(object.0);
                }
                *object = (expected.next(), value);
                StoreOutcome::Written(expected.next())
            }
        }
    }
}

/// Returns the processor time of this process in microseconds.
fn processor_micros() -> i64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Applies an event and serves the resulting store calls.
fn apply(table: &mut LeaseTable, store: &mut MemoryStore, event: LeaseEvent, now: Timestamp) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        for effect in table.step(event, now) {
            if let LeaseEffect::Call { call, request } = effect {
                let outcome = store.serve(request);
                events.push(LeaseEvent::CallCompleted { call, outcome });
            }
        }
    }
}

fn measure(shards: usize, nodes: usize, regions: usize) -> Vec<LeaseTable> {
    let region = |index: usize| RegionId::new(format!("region-{}", index % regions));
    let shard_location = |index: usize| ShardLocation {
        shard: FabricDomainId::new(format!("fabric-{index:03}")),
        region: region(index),
    };
    let candidate = |index: usize| LeaseCandidate {
        node: node_key(index),
        region: region(index),
    };
    let locations: Vec<ShardLocation> = (0..shards).map(shard_location).collect();
    let candidates: Vec<LeaseCandidate> = (0..nodes).map(candidate).collect();
    let before = resident_kib();
    let mut store = MemoryStore::default();
    let start = Timestamp(1_000);
    let mut tables = Vec::new();
    let mut change_micros = 0;
    for index in 0..nodes {
        let settings = LeaseSettings::default();
        let mut table = LeaseTable::new(settings, node_key(index), index as u64);
        let event = LeaseEvent::ShardsChanged(locations.clone());
        apply(&mut table, &mut store, event, start);
        let event = LeaseEvent::CandidatesChanged(candidates.clone());
        let from = processor_micros();
        apply(&mut table, &mut store, event, start);
        change_micros += processor_micros() - from;
        tables.push(table);
    }
    let warm_up = WARM_UP_SECONDS * 1000 / TICK_MS;
    let mut from = processor_micros();
    for tick in 0..warm_up + MEASURED_SECONDS * 1000 / TICK_MS {
        if tick == warm_up {
            (store.reads, store.writes) = (0, 0);
            from = processor_micros();
        }
        let now = Timestamp(start.0 + tick * TICK_MS);
        for table in &mut tables {
            apply(table, &mut store, LeaseEvent::Tick, now);
        }
    }
    let spent = processor_micros() - from;
    let end = Timestamp(start.0 + (WARM_UP_SECONDS + MEASURED_SECONDS) * 1000 - TICK_MS);
    let held: usize = tables.iter().map(|table| table.held(end).len()).sum();
    println!(
        "{shards:6} {nodes:5} {held:4} {:11.1} {:12.1} {:18.3} {:19} {:20}",
        store.reads as f64 / MEASURED_SECONDS as f64,
        store.writes as f64 / MEASURED_SECONDS as f64,
        spent as f64 / 1000.0 / MEASURED_SECONDS as f64 / nodes as f64,
        resident_kib().saturating_sub(before) / nodes as u64,
        change_micros / nodes as i64,
    );
    tables
}

fn main() {
    println!(
        "shards nodes held reads_per_s writes_per_s cpu_ms_per_node_s memory_kib_per_node nodes_change_us"
    );
    let mut tables = Vec::new();
    for (shards, nodes, regions) in [(6, 7, 1), (50, 320, 4), (200, 320, 4)] {
        tables.push(measure(shards, nodes, regions));
    }
    println!("{} sizes measured", tables.len());
}
