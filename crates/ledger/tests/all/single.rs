//! Claims of one key on one or two nodes.

use jaysaddle_ledger::ClaimOutcome;
use jaysaddle_ledger::ClaimQuery;
use jaysaddle_ledger::HomeLocation;
use jaysaddle_ledger::LedgerAnswer;
use jaysaddle_ledger::LedgerQuery;
use jaysaddle_ledger::LedgerSettings;
use jaysaddle_ledger::RequestLedger;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::Verdict;

use crate::support::claim;
use crate::support::ledger;
use crate::support::node;
use crate::support::refusal;
use crate::support::request;
use crate::support::response;
use crate::support::single_query;
use crate::support::single_resolution;

const NOW: Timestamp = Timestamp(5_000);

fn token() -> Option<HomeToken> {
    Some(ledger(0).token(Timestamp(2_000)))
}

fn home_with_granted_claim() -> RequestLedger {
    let mut home = ledger(0);
    let (outcome, effects) = home.claim(claim("r-1", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
    assert!(effects.is_empty());
    home
}

/// Returns a node that has queried the home for the key, and its query.
fn querying_node(number: usize) -> (RequestLedger, LedgerQuery) {
    let mut querier = ledger(number);
    let location = HomeLocation::Remote(node(0, 1));
    let (outcome, effects) = querier.claim(claim("r-2", token(), NOW.0), location, NOW);
    assert_eq!(outcome, ClaimOutcome::Waiting);
    (querier, single_query(&effects))
}

/// Guards against a second execution when a caller sends the same request twice concurrently.
#[test]
fn concurrent_retry_waits_for_the_running_request() {
    let mut home = home_with_granted_claim();
    let (outcome, _) = home.claim(claim("r-2", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Waiting);
    let effects = home.record_response(&request("r-1"), response("done"), NOW);
    let stored = ClaimOutcome::Stored(response("done"));
    assert_eq!(
        single_resolution(&effects),
        (request("r-2"), stored.clone())
    );
    let (outcome, _) = home.claim(claim("r-3", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(outcome, stored);
}

/// Guards against the refusal of a request although no request with its key was executed.
#[test]
fn request_that_was_not_executed_releases_its_key() {
    let mut home = home_with_granted_claim();
    home.claim(claim("r-2", token(), NOW.0), HomeLocation::Local, NOW);
    let effects = home.record_failure(&request("r-1"), Verdict::NotRun, NOW);
    assert_eq!(
        single_resolution(&effects),
        (request("r-2"), ClaimOutcome::Granted)
    );
    assert!(
        home.record_failure(&request("r-2"), Verdict::NotRun, NOW)
            .is_empty()
    );
    let (outcome, _) = home.claim(claim("r-3", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against a second execution after an attempt with unknown outcome.
#[test]
fn request_that_may_have_run_keeps_its_key_closed() {
    let mut home = home_with_granted_claim();
    home.record_failure(&request("r-1"), Verdict::MayHaveRun, NOW);
    let (outcome, _) = home.claim(claim("r-2", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let idempotent = ClaimQuery {
        idempotent: true,
        ..claim("r-3", token(), NOW.0)
    };
    let (outcome, _) = home.claim(idempotent, HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
    // The second request was not executed, but the first one may have been.
    home.record_failure(&request("r-3"), Verdict::NotRun, NOW);
    let (outcome, _) = home.claim(claim("r-4", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
}

/// Guards against a second grant when the home's first answer is lost.
#[test]
fn lost_grant_is_reissued_for_the_same_call_only() {
    let mut home = ledger(0);
    let (mut querier, query) = querying_node(1);
    let from = node(1, 1);
    let lost = home.answer_query(&from, query.clone(), NOW);
    assert_eq!(lost, LedgerAnswer::Granted);
    let (_, other_query) = querying_node(2);
    assert_eq!(
        home.answer_query(&node(2, 1), other_query, NOW),
        LedgerAnswer::MayHaveRun
    );
    let (outcome, _) = home.claim(claim("r-3", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    // With another call id, it is unknown whether the node has dispatched the request.
    let other_call = LedgerQuery {
        call: query.call.next(),
        ..query.clone()
    };
    assert_eq!(
        home.answer_query(&from, other_call, NOW),
        LedgerAnswer::MayHaveRun
    );
    let restarted = home.answer_query(&node(1, 2), query.clone(), NOW);
    assert_eq!(restarted, LedgerAnswer::MayHaveRun);
    // The query is resent with the same call id until it is answered.
    let later = Timestamp(NOW.0 + 600);
    let resent = single_query(&querier.tick(later));
    assert_eq!(resent, query);
    let again = home.answer_query(&from, resent, later);
    assert_eq!(again, LedgerAnswer::Granted);
    let effects = querier.record_answer(query.call, Some(again), later);
    assert_eq!(
        single_resolution(&effects),
        (request("r-2"), ClaimOutcome::Granted)
    );
    let copy = querier.record_answer(query.call, Some(LedgerAnswer::Granted), later);
    assert!(copy.is_empty(), "a duplicate answer was applied again");
}

/// Guards against a grant that becomes unusable because it arrives after its request was refused.
#[test]
fn late_grant_is_used_by_the_next_request() {
    let (mut querier, query) = querying_node(1);
    let later = Timestamp(NOW.0 + 2_000);
    let (_, outcome) = single_resolution(&querier.tick(later));
    assert_eq!(refusal(&outcome).reason, ReasonCode::HomeUnreachable);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    assert!(
        querier
            .record_answer(query.call, Some(LedgerAnswer::Granted), later)
            .is_empty()
    );
    let (outcome, _) = querier.claim(claim("r-3", token(), later.0), HomeLocation::Lost, later);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against answers to a query of an earlier incarnation, which may concern another key.
#[test]
fn call_ids_of_two_incarnations_differ() {
    let call_of = |incarnation| {
        let mut querier = RequestLedger::new(
            LedgerSettings::default(),
            node(1, incarnation),
            Timestamp(1_000),
        );
        let location = HomeLocation::Remote(node(0, 1));
        let (_, effects) = querier.claim(claim("r-2", token(), NOW.0), location, NOW);
        single_query(&effects).call
    };
    assert_ne!(call_of(1), call_of(2));
    assert_ne!(call_of(0), call_of(1));
}

/// Guards against a request that keeps waiting for a home that is unreachable or lost.
#[test]
fn unreachable_home_is_reported_immediately() {
    let (mut querier, query) = querying_node(1);
    let (_, outcome) = single_resolution(&querier.record_answer(query.call, None, NOW));
    assert_eq!(refusal(&outcome).reason, ReasonCode::HomeUnreachable);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let (outcome, _) = ledger(2).claim(claim("r-3", token(), NOW.0), HomeLocation::Lost, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
}

/// Guards against a request that is never resolved while the home answers that it is running.
#[test]
fn query_is_resent_while_the_request_is_running() {
    let (mut querier, query) = querying_node(1);
    let running = Some(LedgerAnswer::Running);
    for round in 1..=20 {
        let now = Timestamp(NOW.0 + 500 * round);
        assert!(
            querier
                .record_answer(query.call, running.clone(), now)
                .is_empty()
        );
        assert_eq!(single_query(&querier.tick(Timestamp(now.0 + 500))), query);
    }
    let deadline = Timestamp(NOW.0 + 30_000);
    let (_, outcome) = single_resolution(&querier.tick(deadline));
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
}

/// Guards against the refusal of an idempotent request because its home cannot grant the claim.
#[test]
fn idempotent_requests_are_granted_without_their_home() {
    for answer in [
        None,
        Some(LedgerAnswer::MayHaveRun),
        Some(LedgerAnswer::Expired),
    ] {
        let mut querier = ledger(1);
        let query = ClaimQuery {
            idempotent: true,
            ..claim("r-2", token(), NOW.0)
        };
        let location = HomeLocation::Remote(node(0, 1));
        let (_, effects) = querier.claim(query, location, NOW);
        let effects = querier.record_answer(single_query(&effects).call, answer, NOW);
        assert_eq!(
            single_resolution(&effects),
            (request("r-2"), ClaimOutcome::Granted)
        );
    }
    let without_token = ClaimQuery {
        idempotent: true,
        ..claim("r-3", None, NOW.0)
    };
    let (outcome, _) = ledger(1).claim(without_token, HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against the execution of a non-idempotent request whose key no home can check.
#[test]
fn home_token_is_required() {
    let (outcome, _) = ledger(1).claim(claim("r-1", None, NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).reason, ReasonCode::HomeTokenRequired);
    assert_eq!(refusal(&outcome).verdict, Verdict::NotRun);
}

/// Guards against a response to another body, or to another account that uses the same key.
#[test]
fn conflicting_body_is_refused_and_accounts_are_separate() {
    let mut home = home_with_granted_claim();
    home.record_response(&request("r-1"), response("done"), NOW);
    let other_body = ClaimQuery {
        fingerprint: BodyFingerprint([2; 32]),
        ..claim("r-2", token(), NOW.0)
    };
    let (outcome, _) = home.claim(other_body, HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).reason, ReasonCode::KeyConflict);
    assert_eq!(refusal(&outcome).verdict, Verdict::NotRun);
    let other_account = ClaimQuery {
        account: AccountId::new("other"),
        ..claim("r-3", token(), NOW.0)
    };
    let (outcome, _) = home.claim(other_account, HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
    let (_, mut query) = querying_node(1);
    query.fingerprint = BodyFingerprint([2; 32]);
    assert_eq!(
        home.answer_query(&node(1, 1), query, NOW),
        LedgerAnswer::Conflict
    );
}

/// Guards against a forged token that would stay covered after the eviction of its claim.
#[test]
fn token_from_the_future_is_not_covered() {
    let mut home = ledger(0);
    let future = Some(home.token(Timestamp(NOW.0 + 1)));
    let (outcome, _) = home.claim(claim("r-1", future, NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let before_start = Some(home.token(Timestamp(999)));
    let (outcome, _) = home.claim(claim("r-2", before_start, NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).reason, ReasonCode::KeyExpired);
}
