//! A successor answers for a ledger that was handed over.

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

use crate::support::answer;
use crate::support::claim;
use crate::support::ledger;
use crate::support::node;
use crate::support::question;
use crate::support::refusal;
use crate::support::request;
use crate::support::resolution;

const NOW: Timestamp = Timestamp(5_000);

fn keyed(key: &str, name: &str) -> ClaimQuery {
    ClaimQuery {
        key: IdempotencyKey::new(key),
        ..claim(name, Some(ledger(0).token(Timestamp(2_000))), NOW.0)
    }
}

fn asked(key: &str, call: u64) -> LedgerQuery {
    let query = keyed(key, "r");
    LedgerQuery {
        call: CallId(call),
        account: query.account,
        key: query.key,
        fingerprint: query.fingerprint,
        home: ledger(0).token(Timestamp(2_000)),
    }
}

/// A home with one finished, one running and one granted claim.
fn home() -> RequestLedger {
    let mut home = ledger(0);
    home.claim(keyed("done", "r-1"), HomeLocation::Local, NOW);
    home.record_response(&request("r-1"), answer("done"), NOW);
    home.claim(keyed("running", "r-2"), HomeLocation::Local, NOW);
    let granted = home.answer_query(&node(3, 1), asked("granted", 7), NOW);
    assert_eq!(granted, LedgerAnswer::Granted);
    home
}

/// Guards against lost answers and second runs after a planned stop.
#[test]
fn a_successor_answers_for_the_home() {
    let mut successor = ledger(1);
    successor.import(home().export(NOW), NOW);
    let from = node(2, 1);
    let stored = LedgerAnswer::Stored(answer("done"));
    assert_eq!(successor.answer_query(&from, asked("done", 1), NOW), stored);
    let running = successor.answer_query(&from, asked("running", 2), NOW);
    assert_eq!(running, LedgerAnswer::MayHaveRun);
    let granted = successor.answer_query(&node(3, 1), asked("granted", 7), NOW);
    assert_eq!(granted, LedgerAnswer::MayHaveRun);
    assert_eq!(
        successor.answer_query(&from, asked("new", 3), NOW),
        LedgerAnswer::Granted
    );
    let (outcome, _) = successor.claim(keyed("new", "r-9"), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let (outcome, _) = successor.claim(keyed("newer", "r-9"), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against one key granted by both the old node and its successor.
#[test]
fn a_sealed_home_grants_nothing_new() {
    let mut home = home();
    home.export(NOW);
    let from = node(2, 1);
    let unknown = home.answer_query(&from, asked("new", 1), NOW);
    assert_eq!(unknown, LedgerAnswer::MayHaveRun);
    let (outcome, _) = home.claim(keyed("new", "r-9"), HomeLocation::Local, NOW);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    assert_eq!(
        home.answer_query(&from, asked("done", 2), NOW),
        LedgerAnswer::Stored(answer("done"))
    );
    // The old node asks its successor like any other node.
    let successor = HomeLocation::Remote(node(1, 1));
    let (outcome, effects) = home.claim(keyed("newer", "r-8"), successor, NOW);
    assert_eq!(outcome, ClaimOutcome::Waiting);
    question(&effects);
}

/// Guards against a later copy of a snapshot that revives forgotten claims.
#[test]
fn only_the_first_snapshot_counts() {
    let mut successor = ledger(1);
    let snapshot = home().export(NOW);
    successor.import(snapshot.clone(), NOW);
    // A claim of the imported home is forgotten, so nothing of it is covered any more.
    successor.tick(Timestamp(700_000));
    successor.import(snapshot, Timestamp(700_000));
    let from = node(2, 1);
    let after = Timestamp(700_001);
    assert_eq!(
        successor.answer_query(&from, asked("done", 1), after),
        LedgerAnswer::Expired
    );
    assert_eq!(
        successor.answer_query(&from, asked("new", 2), after),
        LedgerAnswer::Expired
    );
}

/// Guards against claims lost when a successor stops in turn.
#[test]
fn a_handover_can_be_passed_on() {
    let mut first = ledger(1);
    first.import(home().export(NOW), NOW);
    let mut second = ledger(2);
    for snapshot in first.export_imported() {
        second.import(snapshot, NOW);
    }
    let from = node(3, 1);
    let stored = LedgerAnswer::Stored(answer("done"));
    assert_eq!(second.answer_query(&from, asked("done", 1), NOW), stored);
    assert_eq!(
        second.answer_query(&from, asked("new", 2), NOW),
        LedgerAnswer::Granted
    );
    assert_eq!(
        first.answer_query(&from, asked("other", 3), NOW),
        LedgerAnswer::MayHaveRun
    );
}

/// Guards against a grant that the first successor holds unused and the second one gives out again.
#[test]
fn a_held_grant_is_not_passed_on() {
    let mut first = ledger(1);
    let mut home = ledger(0);
    let place = HomeLocation::Remote(node(0, 1));
    let (_, effects) = first.claim(keyed("held", "r-5"), place, NOW);
    let query = question(&effects);
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
        second.answer_query(&from, asked("held", 1), NOW),
        LedgerAnswer::MayHaveRun
    );
    let (outcome, _) = first.claim(keyed("held", "r-6"), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

/// Guards against a request that waits for a home that has moved to its own node.
#[test]
fn open_questions_are_resolved_by_an_import() {
    let mut successor = ledger(1);
    let place = HomeLocation::Remote(node(0, 1));
    successor.claim(keyed("done", "r-5"), place.clone(), NOW);
    successor.claim(keyed("new", "r-6"), place, NOW);
    successor.import(home().export(NOW), NOW);
    let effects = successor.tick(NOW);
    assert_eq!(effects.len(), 2);
    let stored = ClaimOutcome::Stored(answer("done"));
    assert_eq!(resolution(&effects[..1]), (request("r-5"), stored));
    let (_, outcome) = resolution(&effects[1..]);
    assert_eq!(refusal(&outcome).verdict, Verdict::MayHaveRun);
    let (outcome, _) = successor.claim(keyed("new", "r-7"), HomeLocation::Local, NOW);
    assert_eq!(outcome, ClaimOutcome::Granted);
}
