//! Handling of individual store outcomes by one table.

use jaysaddle_lease::LeaseEffect;
use jaysaddle_lease::LeaseEvent;
use jaysaddle_lease::LeaseSettings;
use jaysaddle_lease::LeaseTable;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::store::StoreOutcome;
use jaysaddle_types::store::StoreRequest;
use jaysaddle_types::store::StoredObject;
use jaysaddle_types::units::Timestamp;

use crate::cluster::candidates;
use crate::cluster::node_key;
use crate::cluster::shard_id;
use crate::cluster::shard_locations;

/// A lease table and its clock.
struct TableFixture {
    table: LeaseTable,
    now: u64,
}

impl TableFixture {
    fn new() -> Self {
        let settings = LeaseSettings::default();
        let mut fixture = Self {
            table: LeaseTable::new(settings, node_key(0), 1),
            now: 1_000,
        };
        fixture.step(LeaseEvent::ShardsChanged(shard_locations(1)));
        fixture.step(LeaseEvent::CandidatesChanged(candidates(0..1)));
        fixture
    }

    fn step(&mut self, event: LeaseEvent) -> Vec<LeaseEffect> {
        self.table.step(event, Timestamp(self.now))
    }

    /// Ticks until the table makes a call.
    fn next_call(&mut self) -> (CallId, StoreRequest) {
        for _ in 0..1_000 {
            self.now += 50;
            let effects = self.step(LeaseEvent::Tick);
            if let Some(call) = find_call(&effects) {
                return call;
            }
        }
        panic!("the table made no store call within 50 s");
    }

    fn complete_call(&mut self, call: CallId, outcome: StoreOutcome) -> Vec<LeaseEffect> {
        self.step(LeaseEvent::CallCompleted { call, outcome })
    }

    fn holds(&self) -> Option<LeaseEpoch> {
        self.table.holds(&shard_id(0), Timestamp(self.now))
    }

    /// Acquires the lease with a write that completes after 500 ms, and returns when it was sent.
    fn acquire(&mut self) -> u64 {
        let (call, _) = self.next_call();
        let effects = self.complete_call(call, StoreOutcome::Missing);
        let (call, _) = find_call(&effects).expect("a missing lease is created immediately");
        let sent = self.now;
        self.now += 500;
        self.complete_call(call, StoreOutcome::Written(ObjectVersion(1)));
        sent
    }
}

fn find_call(effects: &[LeaseEffect]) -> Option<(CallId, StoreRequest)> {
    effects.iter().find_map(|effect| match effect {
        LeaseEffect::Call { call, request } => Some((*call, request.clone())),
        _ => None,
    })
}

fn found(version: u64, request: &StoreRequest) -> StoreOutcome {
    let StoreRequest::Put { name, value, .. } = request else {
        panic!("not a write: {request:?}");
    };
    StoreOutcome::Found(StoredObject {
        name: name.clone(),
        version: ObjectVersion(version),
        revision: StoreRevision(0),
        value: value.clone(),
    })
}

/// Guards against a lease whose duration counts from the response to its write, and against orders
/// that are sent while orders of the previous holder may be in flight.
#[test]
fn lease_duration_counts_from_before_the_write() {
    let mut fixture = TableFixture::new();
    let sent = fixture.acquire();
    let acquired = fixture.now;
    let held = fixture.table.held(Timestamp(acquired));
    let orders_allowed_from = Timestamp(acquired + 2_000);
    assert_eq!(held, [(shard_id(0), LeaseEpoch(1), orders_allowed_from)]);
    fixture.now = sent + 9_999;
    assert_eq!(fixture.holds(), Some(LeaseEpoch(1)));
    fixture.now = sent + 10_000;
    assert_eq!(fixture.holds(), None);
    let effects = fixture.step(LeaseEvent::Tick);
    assert_eq!(effects[0], LeaseEffect::Lost { shard: shard_id(0) });
}

/// Guards against a renewal with unknown outcome that is treated as successful, is retried without
/// a read, or is ignored although it took effect.
#[test]
fn renewal_with_unknown_outcome_counts_after_a_read() {
    let mut fixture = TableFixture::new();
    let sent = fixture.acquire();
    let (call, renewal) = fixture.next_call();
    let renewed = fixture.now;
    fixture.complete_call(call, StoreOutcome::Unknown);
    let is_expired = |fixture: &TableFixture, at: u64| {
        let table = &fixture.table;
        table.holds(&shard_id(0), Timestamp(at)).is_none()
    };
    assert!(
        is_expired(&fixture, sent + 10_000),
        "extended before the renewal was read"
    );
    let (call, request) = fixture.next_call();
    assert!(matches!(request, StoreRequest::Get { .. }), "{request:?}");
    fixture.complete_call(call, found(2, &renewal));
    assert!(
        !is_expired(&fixture, renewed + 9_999),
        "not extended after the renewal was read"
    );
    assert!(
        is_expired(&fixture, renewed + 10_000),
        "the extension must count from when the renewal was sent"
    );
    let (_, request) = fixture.next_call();
    let expects_new = matches!(request, StoreRequest::Put { expected, .. } if expected.0 == 2);
    assert!(expects_new, "{request:?}");
}

/// Guards against a node that still holds a lease after another node acquired it, and against the
/// use of late outcomes of calls that have completed.
#[test]
fn taken_over_lease_is_lost_and_late_outcomes_are_ignored() {
    let mut fixture = TableFixture::new();
    fixture.acquire();
    let (call, renewal) = fixture.next_call();
    let effects = fixture.complete_call(call, StoreOutcome::Conflict(ObjectVersion(7)));
    let (call, request) = find_call(&effects).expect("a conflict is followed by a read");
    assert!(matches!(request, StoreRequest::Get { .. }), "{request:?}");
    let mut taken = found(7, &renewal);
    if let StoreOutcome::Found(object) = &mut taken {
        object.value = object.value.replace("node-0", "node-9");
    }
    let effects = fixture.complete_call(call, taken);
    assert_eq!(effects[0], LeaseEffect::Lost { shard: shard_id(0) });
    assert_eq!(fixture.holds(), None);
    assert_eq!(fixture.complete_call(call, StoreOutcome::Missing), []);
}

/// Guards against a store call that never completes and blocks its shard permanently.
#[test]
fn call_that_never_completes_times_out() {
    let mut fixture = TableFixture::new();
    fixture.acquire();
    let (lost, renewal) = fixture.next_call();
    let (call, request) = fixture.next_call();
    assert_ne!(lost, call);
    assert!(matches!(request, StoreRequest::Get { .. }), "{request:?}");
    fixture.complete_call(call, found(2, &renewal));
    assert_eq!(fixture.holds(), Some(LeaseEpoch(1)));
}
