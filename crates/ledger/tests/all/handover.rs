//! Handover of a ledger to a successor.

use jaysaddle_ledger::ClaimOutcome;
use jaysaddle_ledger::ClaimQuery;
use jaysaddle_ledger::HomeLocation;
use jaysaddle_ledger::LedgerAnswer;
use jaysaddle_ledger::LedgerQuery;
use jaysaddle_ledger::RequestLedger;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::units::Timestamp;
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

fn keyed_claim(key: &str, name: &str) -> ClaimQuery {
    ClaimQuery {
        key: IdempotencyKey::new(key),
        ..claim(name, Some(ledger(0).token(Timestamp(2_000))), NOW.0)
    }
}

fn ledger_query(key: &str, call: u64) -> LedgerQuery {
    let query = keyed_claim(key, "r");
    LedgerQuery {
        call: CallId(call),
        account: query.account,
        key: query.key,
        fingerprint: query.fingerprint,
        home: ledger(0).token(Timestamp(2_000)),
    }
}

/// A home with one stored, one running and one granted claim.
fn home() -> RequestLedger {
    let mut home = ledger(0);
    home.claim(keyed_claim("done", "r-1"), HomeLocation::Local, NOW);
    home.record_response(&request("r-1"), response("done"), NOW);
    home.claim(keyed_claim("running", "r-2"), HomeLocation::Local, NOW);
    let granted = home.answer_query(&node(3, 1), ledger_query("granted", 7), NOW);
    assert_eq!(granted, LedgerAnswer::Granted);
    home
}

/// Guards against lost responses and second executions after a planned stop.
#[test]
fn successor_serves_the_home() {
    let mut successor = ledger(1);
    successor.import(home().export(NOW), NOW);
    let from = node(2, 1);
    let stored = LedgerAnswer::Stored(response("done"));
    assert_eq!(
        successor.answer_query(&from, ledger_query("done", 1), NOW),
        stored
    );
    let running = successor.answer_query(&from, ledger_query("running", 2), NOW);
    assert_eq!(running, LedgerAnswer::MayHaveRun);
    let granted = successor.answer_query(&node(3, 1), ledger_query("granted", 7), NOW);
    assert_eq!(granted, LedgerAnswer::MayHaveRun);
    assert_eq!(
        successor.answer_query(&from, ledger_query("new", 3), NOW),
        LedgerAnswer::Granted
    );
    let (outcome, _) = successor.claim(keyed_claim("new", "r-9"), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let (outcome, _) = successor.claim(keyed_claim("newer", "r-9"), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against a key that both the old node and its successor grant.
#[test]
fn sealed_home_grants_no_unknown_key() {
    let mut home = home();
    home.export(NOW);
    let from = node(2, 1);
    let unknown = home.answer_query(&from, ledger_query("new", 1), NOW);
    assert_eq!(unknown, LedgerAnswer::MayHaveRun);
    let (outcome, _) = home.claim(keyed_claim("new", "r-9"), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    assert_eq!(
        home.answer_query(&from, ledger_query("done", 2), NOW),
        LedgerAnswer::Stored(response("done"))
    );
    // The old node queries its successor like any other node.
    let successor = HomeLocation::Remote(node(1, 1));
    let (outcome, effects) = home.claim(keyed_claim("newer", "r-8"), successor, NOW);
    assert_eq!(outcome, ClaimOutcome::Waiting);
    single_query(&effects);
}

/// Guards against a duplicate snapshot that restores coverage of evicted claims.
#[test]
fn only_the_first_snapshot_is_imported() {
    let mut successor = ledger(1);
    let snapshot = home().export(NOW);
    successor.import(snapshot.clone(), NOW);
    // A claim of the imported home is evicted, so that none of its tokens is covered any more.
    successor.tick(Timestamp(700_000));
    successor.import(snapshot, Timestamp(700_000));
    let from = node(2, 1);
    let after = Timestamp(700_001);
    assert_eq!(
        successor.answer_query(&from, ledger_query("done", 1), after),
        LedgerAnswer::Expired
    );
    assert_eq!(
        successor.answer_query(&from, ledger_query("new", 2), after),
        LedgerAnswer::Expired
    );
}

/// Guards against the loss of imported claims when the successor also stops.
#[test]
fn imported_claims_can_be_handed_over_again() {
    let mut first = ledger(1);
    first.import(home().export(NOW), NOW);
    let mut second = ledger(2);
    for snapshot in first.export_imported() {
        second.import(snapshot, NOW);
    }
    let from = node(3, 1);
    let stored = LedgerAnswer::Stored(response("done"));
    assert_eq!(
        second.answer_query(&from, ledger_query("done", 1), NOW),
        stored
    );
    assert_eq!(
        second.answer_query(&from, ledger_query("new", 2), NOW),
        LedgerAnswer::Granted
    );
    assert_eq!(
        first.answer_query(&from, ledger_query("other", 3), NOW),
        LedgerAnswer::MayHaveRun
    );
}

/// Guards against a second grant of a key by the second successor while the first successor still
/// holds an unused grant for it.
#[test]
fn held_grant_is_not_handed_over() {
    let mut first = ledger(1);
    let mut home = ledger(0);
    let location = HomeLocation::Remote(node(0, 1));
    let (_, effects) = first.claim(keyed_claim("held", "r-5"), location, NOW);
    let query = single_query(&effects);
    let granted = home.answer_query(&node(1, 1), query.clone(), NOW);
    first.record_answer(query.call, Some(granted), NOW);
    first.record_failure(&request("r-5"), Verdict::NotRun, NOW);
    first.import(home.export(NOW), NOW);
    let mut second = ledger(2);
    for snapshot in first.export_imported() {
        second.import(snapshot, NOW);
    }
    let from = node(3, 1);
    assert_eq!(
        second.answer_query(&from, ledger_query("held", 1), NOW),
        LedgerAnswer::MayHaveRun
    );
    let (outcome, _) = first.claim(keyed_claim("held", "r-6"), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against a request that keeps waiting for a home whose claims its own node has imported.
#[test]
fn pending_queries_are_resolved_by_an_import() {
    let mut successor = ledger(1);
    let location = HomeLocation::Remote(node(0, 1));
    successor.claim(keyed_claim("done", "r-5"), location.clone(), NOW);
    successor.claim(keyed_claim("new", "r-6"), location, NOW);
    successor.import(home().export(NOW), NOW);
    let effects = successor.tick(NOW);
    assert_eq!(effects.len(), 2);
    let stored = ClaimOutcome::Stored(response("done"));
    assert_eq!(single_resolution(&effects[..1]), (request("r-5"), stored));
    let (_, outcome) = single_resolution(&effects[1..]);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let (outcome, _) = successor.claim(keyed_claim("new", "r-7"), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
}
