//! Outcomes of single calls, given to one table by hand.

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
use crate::cluster::shard_places;

/// One table and its clock.
struct TableBench {
    table: LeaseTable,
    now: u64,
}

impl TableBench {
    fn new() -> Self {
        let settings = LeaseSettings::default();
        let mut bench = Self {
            table: LeaseTable::new(settings, node_key(0), 1),
            now: 1_000,
        };
        bench.step(LeaseEvent::ShardsChanged(shard_places(1)));
        bench.step(LeaseEvent::CandidatesChanged(candidates(0..1)));
        bench
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
        panic!("the table makes no call");
    }

    fn answer(&mut self, call: CallId, outcome: StoreOutcome) -> Vec<LeaseEffect> {
        self.step(LeaseEvent::CallAnswered { call, outcome })
    }

    fn holds(&self) -> Option<LeaseEpoch> {
        self.table.holds(&shard_id(0), Timestamp(self.now))
    }

    /// Creates the lease; the write is sent at the returned time and answered 500 ms later.
    fn acquire(&mut self) -> u64 {
        let (call, _) = self.next_call();
        let effects = self.answer(call, StoreOutcome::Missing);
        let (call, _) = find_call(&effects).expect("the lease is created at once");
        let sent = self.now;
        self.now += 500;
        self.answer(call, StoreOutcome::Written(ObjectVersion(1)));
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

/// Guards against a lease that counts from its answer, and against orders before those of the last
/// holder have arrived.
#[test]
fn a_lease_counts_from_before_its_write_was_sent() {
    let mut bench = TableBench::new();
    let sent = bench.acquire();
    let acquired = bench.now;
    let held = bench.table.held(Timestamp(acquired));
    let orders_allowed_from = Timestamp(acquired + 2_000);
    assert_eq!(held, [(shard_id(0), LeaseEpoch(1), orders_allowed_from)]);
    bench.now = sent + 9_999;
    assert_eq!(bench.holds(), Some(LeaseEpoch(1)));
    bench.now = sent + 10_000;
    assert_eq!(bench.holds(), None);
    let effects = bench.step(LeaseEvent::Tick);
    assert_eq!(effects[0], LeaseEffect::Lost { shard: shard_id(0) });
}

/// Guards against a renewal of unknown outcome that counts as a success, is repeated blindly, or is
/// given up although it took effect.
#[test]
fn an_unknown_renewal_counts_only_once_it_is_read_back() {
    let mut bench = TableBench::new();
    let sent = bench.acquire();
    let (call, renewal) = bench.next_call();
    let renewed = bench.now;
    bench.answer(call, StoreOutcome::Unknown);
    let ends = |bench: &TableBench, at: u64| {
        let table = &bench.table;
        table.holds(&shard_id(0), Timestamp(at)).is_none()
    };
    assert!(ends(&bench, sent + 10_000), "not extended yet");
    let (call, request) = bench.next_call();
    assert!(matches!(request, StoreRequest::Get { .. }), "{request:?}");
    bench.answer(call, found(2, &renewal));
    assert!(!ends(&bench, renewed + 9_999), "extended");
    assert!(ends(&bench, renewed + 10_000), "from before it was sent");
    let (_, request) = bench.next_call();
    let expects_new = matches!(request, StoreRequest::Put { expected, .. } if expected.0 == 2);
    assert!(expects_new, "{request:?}");
}

/// Guards against a holder that stays one after another node has taken its lease over, and against
/// late answers of abandoned calls.
#[test]
fn a_lease_taken_over_is_lost_and_late_answers_are_ignored() {
    let mut bench = TableBench::new();
    bench.acquire();
    let (call, renewal) = bench.next_call();
    let effects = bench.answer(call, StoreOutcome::Conflict(ObjectVersion(7)));
    let (call, request) = find_call(&effects).expect("a conflict is looked into at once");
    assert!(matches!(request, StoreRequest::Get { .. }), "{request:?}");
    let mut taken = found(7, &renewal);
    if let StoreOutcome::Found(object) = &mut taken {
        object.value = object.value.replace("node-0", "node-9");
    }
    let effects = bench.answer(call, taken);
    assert_eq!(effects[0], LeaseEffect::Lost { shard: shard_id(0) });
    assert_eq!(bench.holds(), None);
    assert_eq!(bench.answer(call, StoreOutcome::Missing), []);
}

/// Guards against a call whose answer never comes and that blocks its shard for good.
#[test]
fn a_call_without_an_answer_is_given_up() {
    let mut bench = TableBench::new();
    bench.acquire();
    let (lost, renewal) = bench.next_call();
    let (call, request) = bench.next_call();
    assert_ne!(lost, call);
    assert!(matches!(request, StoreRequest::Get { .. }), "{request:?}");
    bench.answer(call, found(2, &renewal));
    assert_eq!(bench.holds(), Some(LeaseEpoch(1)));
}
