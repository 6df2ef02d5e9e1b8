//! Random sequences of all events for one table, also answers that no store gives.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jaysaddle_lease::LeaseEffect;
use jaysaddle_lease::LeaseEvent;
use jaysaddle_lease::LeaseSettings;
use jaysaddle_lease::LeaseTable;
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
use crate::cluster::FakeCluster;
use crate::cluster::candidates;
use crate::cluster::env_number;
use crate::cluster::node_key;
use crate::cluster::shard_id;
use crate::cluster::shard_places;

const SHARDS: u64 = 3;
const STEPS: usize = 300;

/// One table, the calls that it waits for and what it has reported.
struct TableFuzz {
    table: LeaseTable,
    now: Timestamp,
    calls: BTreeMap<CallId, StoreRequest>,
    held: BTreeSet<FabricDomainId>,
    released: bool,
}

impl TableFuzz {
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

    /// An answer that fits the call in two of three cases.
    fn answer(&mut self, noise: &mut FakeCluster) -> Option<LeaseEvent> {
        let count = self.calls.len() as u64;
        if count == 0 {
            return None;
        }
        let index = noise.below(count) as usize;
        let call = *self.calls.keys().nth(index)?;
        let request = self.calls.remove(&call)?;
        let version = ObjectVersion(noise.below(5));
        let outcome = match (noise.below(9), request) {
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
        Some(LeaseEvent::CallAnswered { call, outcome })
    }
}

/// Guards against reports of acquired and lost leases that differ from what the table holds, against
/// acquisitions after a release, and against answers that stop the program.
#[test]
fn any_sequence_of_events_keeps_the_table_consistent() {
    fn property(seed: u64) -> TestResult {
        let mut noise = FakeCluster::new(seed, 0, 0);
        let mut fuzz = TableFuzz {
            table: LeaseTable::new(LeaseSettings::default(), node_key(0), seed),
            now: Timestamp(1_000),
            calls: BTreeMap::new(),
            held: BTreeSet::new(),
            released: false,
        };
        let mut events = vec![
            LeaseEvent::ShardsChanged(shard_places(SHARDS as usize)),
            LeaseEvent::CandidatesChanged(candidates(0..2)),
        ];
        for step in 0..STEPS {
            fuzz.now.0 += match noise.below(50) {
                0 => 15_000,
                _ => noise.below(500),
            };
            let event = match noise.below(30) {
                0 => {
                    let count = noise.below(SHARDS + 1) as usize;
                    LeaseEvent::ShardsChanged(shard_places(count))
                }
                1 => {
                    let first = noise.below(2) as usize;
                    LeaseEvent::CandidatesChanged(candidates(first..3))
                }
                2..=16 => fuzz.answer(&mut noise).unwrap_or(LeaseEvent::Tick),
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
