//! One key on one or two nodes, step by step.

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

use crate::support::answer;
use crate::support::claim;
use crate::support::ledger;
use crate::support::node;
use crate::support::question;
use crate::support::refusal;
use crate::support::request;
use crate::support::resolution;

const NOW: Timestamp = Timestamp(5_000);

fn token() -> Option<HomeToken> {
    Some(ledger(0).token(Timestamp(2_000)))
}

fn granted_at_home() -> RequestLedger {
    let mut home = ledger(0);
    let (outcome, effects) = home.claim(claim("r-1", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
    assert!(effects.is_empty());
    home
}

/// A node that asked the home about the key, with its question.
fn asking(number: usize) -> (RequestLedger, LedgerQuery) {
    let mut asker = ledger(number);
    let place = HomeLocation::Remote(node(0, 1));
    let (outcome, effects) = asker.claim(claim("r-2", token(), NOW.0), place, NOW);
    assert_eq!(outcome, ClaimOutcome::Waiting);
    (asker, question(&effects))
}

/// Guards against a second run when a caller sends the same request twice at once.
#[test]
fn a_repeated_request_joins_the_running_one() {
    let mut home = granted_at_home();
    let (outcome, _) = home.claim(claim("r-2", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Waiting);
    let effects = home.record_response(&request("r-1"), answer("done"), NOW);
    let stored = ClaimOutcome::Stored(answer("done"));
    assert_eq!(resolution(&effects), (request("r-2"), stored.clone()));
    let (outcome, _) = home.claim(claim("r-3", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(outcome, stored);
}

/// Guards against a caller who is refused although nothing has run.
#[test]
fn a_request_that_did_not_run_frees_its_key_for_the_next() {
    let mut home = granted_at_home();
    home.claim(claim("r-2", token(), NOW.0), HomeLocation::Local, NOW);
    let effects = home.record_failure(&request("r-1"), Verdict::NotRun, NOW);
    assert_eq!(
        resolution(&effects),
        (request("r-2"), ClaimOutcome::Granted)
    );
    assert!(
        home.record_failure(&request("r-2"), Verdict::NotRun, NOW)
            .is_empty()
    );
    let (outcome, _) = home.claim(claim("r-3", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against a second run after an attempt whose outcome is unknown.
#[test]
fn a_request_that_may_have_run_keeps_its_key_closed() {
    let mut home = granted_at_home();
    home.record_failure(&request("r-1"), Verdict::MayHaveRun, NOW);
    let (outcome, _) = home.claim(claim("r-2", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let idempotent = ClaimQuery {
        idempotent: true,
        ..claim("r-3", token(), NOW.0)
    };
    let (outcome, _) = home.claim(idempotent, HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
    // The repetition did not run, but the first attempt may have.
    home.record_failure(&request("r-3"), Verdict::NotRun, NOW);
    let (outcome, _) = home.claim(claim("r-4", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
}

/// Guards against a second grant when the home's first answer is lost.
#[test]
fn a_lost_grant_is_repeated_for_the_same_call_only() {
    let mut home = ledger(0);
    let (mut asker, query) = asking(1);
    let from = node(1, 1);
    let lost = home.answer_query(&from, query.clone(), NOW);
    assert_eq!(lost, LedgerAnswer::Granted);
    let (_, other_query) = asking(2);
    assert_eq!(
        home.answer_query(&node(2, 1), other_query, NOW),
        LedgerAnswer::MayHaveRun
    );
    let (outcome, _) = home.claim(claim("r-3", token(), NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    // The same node run with another call has forgotten whether it dispatched.
    let forgetful = LedgerQuery {
        call: query.call.next(),
        ..query.clone()
    };
    assert_eq!(
        home.answer_query(&from, forgetful, NOW),
        LedgerAnswer::MayHaveRun
    );
    let restarted = home.answer_query(&node(1, 2), query.clone(), NOW);
    assert_eq!(restarted, LedgerAnswer::MayHaveRun);
    // The question is repeated with its call until it is answered.
    let later = Timestamp(NOW.0 + 600);
    let repeated = question(&asker.tick(later));
    assert_eq!(repeated, query);
    let again = home.answer_query(&from, repeated, later);
    assert_eq!(again, LedgerAnswer::Granted);
    let effects = asker.record_answer(query.call, Some(again), later);
    assert_eq!(
        resolution(&effects),
        (request("r-2"), ClaimOutcome::Granted)
    );
    let copy = asker.record_answer(query.call, Some(LedgerAnswer::Granted), later);
    assert!(copy.is_empty(), "a duplicate answer granted again");
}

/// Guards against a grant that is lost for good because its caller gave up first.
#[test]
fn a_grant_that_arrives_late_serves_the_next_request() {
    let (mut asker, query) = asking(1);
    let later = Timestamp(NOW.0 + 2_000);
    let (_, outcome) = resolution(&asker.tick(later));
    assert_eq!(refusal(&outcome).reason, ReasonCode::HomeUnreachable);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    assert!(
        asker
            .record_answer(query.call, Some(LedgerAnswer::Granted), later)
            .is_empty()
    );
    let (outcome, _) = asker.claim(claim("r-3", token(), later.0), HomeLocation::Lost, later);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against answers to an earlier run of the node, which may be about another key.
#[test]
fn calls_of_two_runs_differ() {
    let asked_by = |incarnation| {
        let mut asker = RequestLedger::new(
            LedgerSettings::default(),
            node(1, incarnation),
            Timestamp(1_000),
        );
        let place = HomeLocation::Remote(node(0, 1));
        let (_, effects) = asker.claim(claim("r-2", token(), NOW.0), place, NOW);
        question(&effects).call
    };
    assert_ne!(asked_by(1), asked_by(2));
    assert_ne!(asked_by(0), asked_by(1));
}

/// Guards against a caller that waits past its deadline or past an unreachable home.
#[test]
fn an_unreachable_home_is_reported_at_once() {
    let (mut asker, query) = asking(1);
    let (_, outcome) = resolution(&asker.record_answer(query.call, None, NOW));
    assert_eq!(refusal(&outcome).reason, ReasonCode::HomeUnreachable);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let (outcome, _) = ledger(2).claim(claim("r-3", token(), NOW.0), HomeLocation::Lost, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
}

/// Guards against a caller left waiting while the home says that the request runs.
#[test]
fn a_running_request_is_asked_for_until_the_deadline() {
    let (mut asker, query) = asking(1);
    let running = Some(LedgerAnswer::Running);
    for round in 1..=20 {
        let now = Timestamp(NOW.0 + 500 * round);
        assert!(
            asker
                .record_answer(query.call, running.clone(), now)
                .is_empty()
        );
        assert_eq!(question(&asker.tick(Timestamp(now.0 + 500))), query);
    }
    let deadline = Timestamp(NOW.0 + 30_000);
    let (_, outcome) = resolution(&asker.tick(deadline));
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
}

/// Guards against an idempotent request that is refused for the sake of deduplication.
#[test]
fn idempotent_requests_run_without_their_home() {
    for answer in [
        None,
        Some(LedgerAnswer::MayHaveRun),
        Some(LedgerAnswer::Expired),
    ] {
        let mut asker = ledger(1);
        let query = ClaimQuery {
            idempotent: true,
            ..claim("r-2", token(), NOW.0)
        };
        let place = HomeLocation::Remote(node(0, 1));
        let (_, effects) = asker.claim(query, place, NOW);
        let effects = asker.record_answer(question(&effects).call, answer, NOW);
        assert_eq!(
            resolution(&effects),
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

/// Guards against a non-idempotent key that nobody can check.
#[test]
fn a_home_token_is_required() {
    let (outcome, _) = ledger(1).claim(claim("r-1", None, NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).reason, ReasonCode::HomeTokenRequired);
    assert_eq!(refusal(&outcome).verdict, Verdict::NotRun);
}

/// Guards against an answer to another body, or to another account with the same key.
#[test]
fn another_body_conflicts_and_another_account_is_apart() {
    let mut home = granted_at_home();
    home.record_response(&request("r-1"), answer("done"), NOW);
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
    let (_, mut query) = asking(1);
    query.fingerprint = BodyFingerprint([2; 32]);
    assert_eq!(
        home.answer_query(&node(1, 1), query, NOW),
        LedgerAnswer::Conflict
    );
}

/// Guards against a forged token that would outlive every eviction.
#[test]
fn a_token_from_the_future_is_not_covered() {
    let mut home = ledger(0);
    let future = Some(home.token(Timestamp(NOW.0 + 1)));
    let (outcome, _) = home.claim(claim("r-1", future, NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let before_start = Some(home.token(Timestamp(999)));
    let (outcome, _) = home.claim(claim("r-2", before_start, NOW.0), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).reason, ReasonCode::KeyExpired);
}
