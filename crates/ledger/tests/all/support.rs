//! Test fixtures and the runner of seeded property tests.

use jaysaddle_ledger::ClaimOutcome;
use jaysaddle_ledger::ClaimQuery;
use jaysaddle_ledger::LedgerEffect;
use jaysaddle_ledger::LedgerQuery;
use jaysaddle_ledger::LedgerSettings;
use jaysaddle_ledger::RequestLedger;
use jaysaddle_ledger::StoredResponse;
use jaysaddle_test_support::check_property;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::RequestRefusal;
use quickcheck::Testable;

/// Checks a property with a printed seed. `JAYSADDLE_SEED` and `JAYSADDLE_RUNS` override the seed
/// and the number of runs.
pub fn check<P: Testable>(name: &str, size: usize, property: P) {
    check_property(name, size, 4_000, 1, property);
}

pub fn node(number: usize, incarnation: u64) -> NodeKey {
    NodeKey {
        id: NodeId::new(format!("n-{number}")),
        incarnation: Incarnation(incarnation),
    }
}

pub fn ledger(number: usize) -> RequestLedger {
    RequestLedger::new(LedgerSettings::default(), node(number, 1), Timestamp(1_000))
}

pub fn response(text: &str) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "application/json".into(),
        body: text.as_bytes().into(),
    }
}

/// A non-idempotent claim of key `k` with a deadline of 30 s.
pub fn claim(request: &str, home: Option<HomeToken>, now: u64) -> ClaimQuery {
    ClaimQuery {
        request: RequestId::new(request),
        account: AccountId::new("acme"),
        key: IdempotencyKey::new("k"),
        home,
        fingerprint: BodyFingerprint([1; 32]),
        idempotent: false,
        deadline: Timestamp(now + 30_000),
    }
}

pub fn request(name: &str) -> RequestId {
    RequestId::new(name)
}

/// Returns the refusal in `outcome`.
pub fn refusal(outcome: &ClaimOutcome) -> &RequestRefusal {
    match outcome {
        ClaimOutcome::Refused(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Returns the query in `effects`, which must contain nothing else.
pub fn single_query(effects: &[LedgerEffect]) -> LedgerQuery {
    match effects {
        [LedgerEffect::SendQuery { query, .. }] => query.clone(),
        other => panic!("expected exactly one query, got {other:?}"),
    }
}

/// Returns the resolved claim in `effects`, which must contain nothing else.
pub fn single_resolution(effects: &[LedgerEffect]) -> (RequestId, ClaimOutcome) {
    match effects {
        [LedgerEffect::Resolved { request, outcome }] => (request.clone(), outcome.clone()),
        other => panic!("expected exactly one resolved claim, got {other:?}"),
    }
}
