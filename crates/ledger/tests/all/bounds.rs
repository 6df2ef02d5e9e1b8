//! Capacity limits of the ledger, and the treatment of evicted claims as possibly executed.

use jaysaddle_ledger::ClaimOutcome;
use jaysaddle_ledger::ClaimQuery;
use jaysaddle_ledger::HomeLocation;
use jaysaddle_ledger::LedgerSettings;
use jaysaddle_ledger::RequestLedger;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::Verdict;

use crate::support::claim;
use crate::support::node;
use crate::support::refusal;
use crate::support::request;
use crate::support::response;

fn small_ledger(max_claims: usize, max_response_bytes: u64) -> RequestLedger {
    let settings = LedgerSettings {
        max_claims,
        max_response_bytes: ByteCount(max_response_bytes),
        ..LedgerSettings::default()
    };
    RequestLedger::new(settings, node(0, 1), Timestamp(1_000))
}

fn numbered_claim(ledger: &RequestLedger, number: u64, now: u64) -> ClaimQuery {
    ClaimQuery {
        key: IdempotencyKey::new(format!("k-{number}")),
        ..claim(
            &format!("r-{number}"),
            Some(ledger.token(Timestamp(now))),
            now,
        )
    }
}

fn run(ledger: &mut RequestLedger, number: u64, now: u64) -> ClaimQuery {
    let query = numbered_claim(ledger, number, now);
    let (outcome, _) = ledger.claim(query.clone(), HomeLocation::Local, Timestamp(now));
    assert_eq!(outcome, ClaimOutcome::Granted);
    let done = response(&format!("answer {number:04}"));
    ledger.record_response(&query.request, done, Timestamp(now + 5));
    query
}

fn retry(ledger: &mut RequestLedger, query: &ClaimQuery, now: u64) -> ClaimOutcome {
    let retried = ClaimQuery {
        request: request("retry"),
        ..query.clone()
    };
    ledger.claim(retried, HomeLocation::Local, Timestamp(now)).0
}

/// Guards against a second execution of a key whose claim was evicted because the table was full.
#[test]
fn evicted_claim_is_not_granted_again() {
    let mut ledger = small_ledger(10, 1_000_000);
    let queries: Vec<ClaimQuery> = (0..30)
        .map(|number| run(&mut ledger, number, 2_000 + 10 * number))
        .collect();
    for (number, query) in queries.iter().enumerate() {
        let outcome = retry(&mut ledger, query, 3_000);
        if number < 20 {
            assert_eq!(refusal(&outcome).reason, ReasonCode::KeyExpired);
            assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
        } else {
            assert_eq!(
                outcome,
                ClaimOutcome::Stored(response(&format!("answer {number:04}")))
            );
        }
    }
    // A token issued after the evicted claims is covered.
    run(&mut ledger, 99, 3_001);
}

/// Guards against a second execution of a key whose claim was evicted after the retention.
#[test]
fn claim_past_retention_is_not_granted_again() {
    let mut ledger = small_ledger(10, 1_000_000);
    let query = run(&mut ledger, 1, 2_000);
    let retention = LedgerSettings::default().retention;
    ledger.tick(Timestamp(2_005) + retention);
    let outcome = retry(&mut ledger, &query, 700_000);
    assert!(matches!(outcome, ClaimOutcome::Stored(_)));
    ledger.tick(Timestamp(2_006) + retention);
    let outcome = retry(&mut ledger, &query, 700_000);
    assert_eq!(refusal(&outcome).reason, ReasonCode::KeyExpired);
}

/// Guards against stored responses that exceed their maximum size, and against the release of a key
/// whose response is evicted.
#[test]
fn evicting_a_response_keeps_its_claim() {
    // A response takes 11 bytes for its body and 16 for its content type.
    let mut ledger = small_ledger(100, 3 * 27);
    let queries: Vec<ClaimQuery> = (0..10)
        .map(|number| run(&mut ledger, number, 2_000))
        .collect();
    for (number, query) in queries.iter().enumerate() {
        let outcome = retry(&mut ledger, query, 3_000);
        if number < 7 {
            assert_eq!(refusal(&outcome).verdict, Verdict::Ran);
        } else {
            assert!(matches!(outcome, ClaimOutcome::Stored(_)), "{outcome:?}");
        }
    }
}

/// Guards against the eviction of a claim whose request is being executed, after which the key
/// could be granted again.
#[test]
fn running_claims_are_never_evicted() {
    let mut ledger = small_ledger(3, 1_000);
    for number in 0..3 {
        let query = numbered_claim(&ledger, number, 2_000);
        let (outcome, _) = ledger.claim(query, HomeLocation::Local, Timestamp(2_000));
        assert_eq!(outcome, ClaimOutcome::Granted);
    }
    let query = numbered_claim(&ledger, 3, 2_000);
    let (outcome, _) = ledger.claim(query.clone(), HomeLocation::Local, Timestamp(2_000));
    assert_eq!(refusal(&outcome).reason, ReasonCode::Overloaded);
    assert_eq!(refusal(&outcome).verdict, Verdict::NotRun);
    ledger.record_failure(&request("r-0"), Verdict::NotRun, Timestamp(2_001));
    let outcome = retry(&mut ledger, &query, 2_002);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against memory use that grows with the number of requests.
#[test]
fn estimated_memory_is_bounded() {
    let mut ledger = small_ledger(100, 10_000);
    let mut most = 0;
    for number in 0..5_000 {
        run(&mut ledger, number, 2_000 + number);
        ledger.tick(Timestamp(2_000 + number));
        most = most.max(ledger.estimated_bytes().0);
    }
    assert!(most < 100 * 600 + 10_000, "{most} bytes");
    let after = Timestamp(10_000) + LedgerSettings::default().retention;
    ledger.tick(after + TimeSpan::from_secs(1));
    assert_eq!(ledger.estimated_bytes(), ByteCount(0));
}
