//! Random sequences of all events for one table, including outcomes that no store returns.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_lease::LeaseEffect;
use jaysaddle_lease::LeaseEvent;
use jaysaddle_lease::LeaseSettings;
use jaysaddle_lease::LeaseTable;
use jaysaddle_test_support::env_number;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::Timestamp;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use crate::cluster::DEFAULT_SEED;
use crate::cluster::SimulatedCluster;
use crate::cluster::candidates;
use crate::cluster::node_key;
use crate::cluster::shard_id;
use crate::cluster::shard_locations;

const SHARDS: u64 = 3;
const STEPS: usize = 300;

/// A lease table with its calls in flight and the leases that it has reported as held.
struct FuzzedTable {
    table: LeaseTable,
    now: Timestamp,
    calls: BTreeMap<CallId, StoreRequest>,
    held: BTreeSet<FabricDomainId>,
    released: bool,
}

impl FuzzedTable {
    fn step(&mut self, event: LeaseEvent) -> Result<(), String> {
        for effect in self.table.step(event, self.now) {
            match effect {
                LeaseEffect::Call { call, request } => {
                    self.calls.insert(call, request);
                }
                LeaseEffect::Acquired { shard, .. } => {
                    if self.released {
                        return Err(format!("{shard} acquired after the release"));
                    }
                    if !self.held.insert(shard.clone()) {
                        return Err(format!("{shard} acquired twice"));
                    }
                }
                LeaseEffect::Lost { shard } => {
                    if !self.held.remove(&shard) {
                        return Err(format!("{shard} lost, but never acquired"));
                    }
                }
                LeaseEffect::Decision(_) => {}
            }
        }
        let held = self.table.held(self.now);
        let held: BTreeSet<FabricDomainId> = held.into_iter().map(|entry| entry.0).collect();
        if held != self.held {
            return Err(format!("holds {held:?}, reported {:?}", self.held));
        }
        Ok(())
    }

    /// Returns the outcome of a random call in flight, which fits the call in two of three cases.
    fn random_outcome(&mut self, random: &mut SimulatedCluster) -> Option<LeaseEvent> {
        let count = self.calls.len() as u64;
        if count == 0 {
            return None;
        }
        let index = random.below(count) as usize;
        let call = *self.calls.keys().nth(index)?;
        let request = self.calls.remove(&call)?;
        let version = ObjectVersion(random.below(5));
        let outcome = match (random.below(9), request) {
            (0..=3, StoreRequest::Put { expected, .. }) => StoreOutcome::Written(expected.next()),
            (0..=2, StoreRequest::Get { name, .. }) => StoreOutcome::Found(StoredObject {
                name,
                version,
                revision: StoreRevision(0),
                value: "{\"holder\":null,\"epoch\":3,\"write_id\":\"w\"}".into(),
            }),
            (3, StoreRequest::Get { name, .. }) => StoreOutcome::Found(StoredObject {
                name,
                version,
                revision: StoreRevision(0),
                value: "[]".into(),
            }),
            (4, _) => StoreOutcome::Missing,
            (5, _) => StoreOutcome::Conflict(version),
            (6, _) => StoreOutcome::Unavailable,
            (7, _) => StoreOutcome::Written(version),
            _ => StoreOutcome::Unknown,
        };
        Some(LeaseEvent::CallCompleted { call, outcome })
    }
}

/// Guards against reports of acquired and lost leases that differ from the leases that the table
/// holds, against acquisitions after a release, and against panics on unexpected outcomes.
#[test]
fn any_sequence_of_events_keeps_the_table_consistent() {
    fn property(seed: u64) -> TestResult {
        let mut random = SimulatedCluster::new(seed, 0, 0);
        let mut fuzz = FuzzedTable {
            table: LeaseTable::new(LeaseSettings::default(), node_key(0), seed),
            now: Timestamp(1_000),
            calls: BTreeMap::new(),
            held: BTreeSet::new(),
            released: false,
        };
        let mut events = vec![
            LeaseEvent::ShardsChanged(shard_locations(SHARDS as usize)),
            LeaseEvent::CandidatesChanged(candidates(0..2)),
        ];
        for step in 0..STEPS {
            fuzz.now.0 += match random.below(50) {
                0 => 15_000,
                _ => random.below(500),
            };
            let event = match random.below(30) {
                0 => {
                    let count = random.below(SHARDS + 1) as usize;
                    LeaseEvent::ShardsChanged(shard_locations(count))
                }
                1 => {
                    let first = random.below(2) as usize;
                    LeaseEvent::CandidatesChanged(candidates(first..3))
                }
                2..=16 => fuzz.random_outcome(&mut random).unwrap_or(LeaseEvent::Tick),
                _ => LeaseEvent::Tick,
            };
            events.push(event);
            if step == STEPS * 3 / 4 {
                events.push(LeaseEvent::Release);
            }
            for event in events.drain(..) {
                fuzz.released |= event == LeaseEvent::Release;
                if let Err(text) = fuzz.step(event) {
                    return TestResult::error(format!("step {step}: {text}"));
                }
            }
        }
        let explained = fuzz.table.explain(&shard_id(0));
        TestResult::from_bool(!explained.is_empty())
    }
    let seed = env_number("JAYSADDLE_SEED", DEFAULT_SEED);
    let runs = env_number("JAYSADDLE_RUNS", 2_000);
    println!("events: JAYSADDLE_SEED={seed} JAYSADDLE_RUNS={runs}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(runs)
        .max_tests(runs)
        .quickcheck(property as fn(u64) -> TestResult);
}
