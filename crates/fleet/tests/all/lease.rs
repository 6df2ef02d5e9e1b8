//! The lease of the controller.

use jaysaddle_fleet::lease::LeaseClaim;
use jaysaddle_fleet::lease::LeaseEffect;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::lease::LeaseHandover;
use jaysaddle_fleet::lease::LeaseRecord;
use jaysaddle_fleet::lease::LeaseState;
use jaysaddle_fleet::lease::LeaseTiming;
use jaysaddle_fleet::lease::LeaseWrite;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

fn keeper(name: &str) -> LeaseState {
    LeaseState::new(NodeId::new(name), LeaseTiming::default())
}

fn record(holder: &str, term: u64) -> LeaseRecord {
    LeaseRecord {
        holder: Some(NodeId::new(holder)),
        term: LeaseEpoch(term),
        write_number: 1,
    }
}

fn tick(keeper: &mut LeaseState, now: u64) -> Vec<LeaseEffect> {
    let event = LeaseEvent::Tick {
        rank: 0,
        is_store_lost: false,
    };
    keeper.step(event, Timestamp(now))
}

fn take_first(keeper: &mut LeaseState, now: u64) {
    assert_eq!(tick(keeper, now), vec![LeaseEffect::Read]);
    let effects = keeper.step(LeaseEvent::Read(None), Timestamp(now));
    assert!(matches!(
        effects[..],
        [LeaseEffect::Write { version: None, .. }]
    ));
    let written = LeaseWrite::Done {
        version: ObjectVersion(5),
    };
    let effects = keeper.step(LeaseEvent::Written(written), Timestamp(now + 5));
    assert_eq!(effects, vec![LeaseEffect::Acquired(LeaseEpoch(1))]);
}

/// Guards against a holder that believes its lease after it was suspended.
#[test]
fn a_lease_ends_without_a_renewal() {
    let mut keeper = keeper("a");
    take_first(&mut keeper, 1000);
    let end = 1000 + LeaseTiming::default().duration.0;
    assert!(keeper.held_term(Timestamp(end - 1)).is_some());
    assert!(keeper.held_term(Timestamp(end)).is_none());
    let effects = tick(&mut keeper, end + 5000);
    assert_eq!(effects[0], LeaseEffect::Lost);
}

/// Guards against a second wait of a whole lease when the holder's last message told how long its lease lasts.
#[test]
fn a_claim_that_ran_out_is_taken_over_at_once() {
    let mut keeper = keeper("b");
    let claim = LeaseClaim {
        term: LeaseEpoch(3),
        version: ObjectVersion(9),
        remaining: TimeSpan(1200),
    };
    keeper.step(LeaseEvent::Claimed(claim), Timestamp(1000));
    assert!(tick(&mut keeper, 2100).is_empty());
    assert_eq!(tick(&mut keeper, 2200), vec![LeaseEffect::Read]);
    let read = LeaseEvent::Read(Some((ObjectVersion(9), record("a", 3))));
    let effects = keeper.step(read, Timestamp(2205));
    let LeaseEffect::Write { version, record } = &effects[0] else {
        panic!("{effects:?}");
    };
    assert_eq!(*version, Some(ObjectVersion(9)));
    assert_eq!(record.term, LeaseEpoch(4));
}

/// Guards against two holders: a holder whose messages are lost has renewed its lease in the store.
#[test]
fn a_renewal_that_was_not_heard_of_is_respected() {
    let mut keeper = keeper("b");
    let claim = LeaseClaim {
        term: LeaseEpoch(3),
        version: ObjectVersion(9),
        remaining: TimeSpan(1200),
    };
    keeper.step(LeaseEvent::Claimed(claim), Timestamp(1000));
    assert_eq!(tick(&mut keeper, 2200), vec![LeaseEffect::Read]);
    let read = LeaseEvent::Read(Some((ObjectVersion(12), record("a", 3))));
    assert!(keeper.step(read, Timestamp(2205)).is_empty());
    assert!(tick(&mut keeper, 2300).is_empty());
}

/// Guards against a write that is counted as made, or as not made, although its answer was lost.
#[test]
fn after_a_lost_answer_the_object_is_read() {
    let mut keeper = keeper("a");
    assert_eq!(tick(&mut keeper, 1000), vec![LeaseEffect::Read]);
    keeper.step(LeaseEvent::Read(None), Timestamp(1000));
    let effects = keeper.step(LeaseEvent::Written(LeaseWrite::Unknown), Timestamp(1700));
    assert_eq!(effects, vec![LeaseEffect::Read]);
    assert!(keeper.held_term(Timestamp(1700)).is_none());
}

/// Guards against a pause in repairs after a planned stop.
#[test]
fn a_resigned_lease_is_taken_at_once() {
    let mut holder = keeper("a");
    take_first(&mut holder, 1000);
    let effects = holder.step(LeaseEvent::Resign, Timestamp(1100));
    let Some(LeaseEffect::Write { record, .. }) = effects.last() else {
        panic!("{effects:?}");
    };
    assert_eq!(record.holder, None);
    let mut other = keeper("b");
    assert_eq!(tick(&mut other, 1200), vec![LeaseEffect::Read]);
    let read = LeaseEvent::Read(Some((ObjectVersion(6), record.clone())));
    let effects = other.step(read, Timestamp(1205));
    assert!(matches!(effects[..], [LeaseEffect::Write { .. }]));
}

/// Guards against a holder that goes on although another node has a later term.
#[test]
fn a_later_term_ends_the_lease() {
    let mut keeper = keeper("a");
    take_first(&mut keeper, 1000);
    let claim = LeaseClaim {
        term: LeaseEpoch(2),
        version: ObjectVersion(9),
        remaining: TimeSpan(1000),
    };
    let effects = keeper.step(LeaseEvent::Claimed(claim), Timestamp(1100));
    assert_eq!(effects, vec![LeaseEffect::Lost]);
    assert!(keeper.held_term(Timestamp(1100)).is_none());
}

/// Guards against a fleet that nobody repairs while the store is away for everyone, and against a holder that keeps
/// the lease when the store shows another one afterwards.
#[test]
fn an_outage_for_all_does_not_end_the_lease() {
    let mut keeper = keeper("a");
    take_first(&mut keeper, 1000);
    for now in (1100..9000).step_by(100) {
        let event = LeaseEvent::Tick {
            rank: 0,
            is_store_lost: true,
        };
        keeper.step(event, Timestamp(now));
        keeper.step(
            LeaseEvent::Written(LeaseWrite::NotWritten),
            Timestamp(now + 5),
        );
        assert!(keeper.held_term(Timestamp(now)).is_some());
    }
    let read = LeaseEvent::Read(Some((ObjectVersion(30), record("b", 2))));
    assert_eq!(keeper.step(read, Timestamp(9100)), vec![LeaseEffect::Lost]);
}

fn outage_tick(keeper: &mut LeaseState, now: u64) -> Vec<LeaseEffect> {
    let event = LeaseEvent::Tick {
        rank: 0,
        is_store_lost: true,
    };
    keeper.step(event, Timestamp(now))
}

fn handed_over(handover: &LeaseHandover) -> LeaseEvent {
    LeaseEvent::HandoverReceived {
        from: NodeKey {
            id: NodeId::new("a"),
            incarnation: Incarnation(1),
        },
        handover: handover.clone(),
        is_store_lost: true,
    }
}

/// Guards against a fleet that nobody repairs when the holder is stopped while the store is away for everyone. Seen
/// on ebiere-collect, trouble-3: nobody in control for 7 s.
#[test]
fn a_holder_that_stops_in_an_outage_hands_over() {
    let mut holder = keeper("a");
    take_first(&mut holder, 1000);
    outage_tick(&mut holder, 1500);
    let handover = holder
        .handover(NodeId::new("b"), 7, Timestamp(2000))
        .expect("it holds the lease");
    let effects = holder.step(LeaseEvent::HandOver, Timestamp(2000));
    assert_eq!(
        effects,
        vec![LeaseEffect::Lost],
        "no resignation that could arrive after the outage"
    );
    let mut successor = keeper("b");
    let effects = successor.step(handed_over(&handover), Timestamp(2010));
    assert_eq!(
        effects,
        vec![LeaseEffect::TakenOver {
            term: LeaseEpoch(1),
            groups_formed: 7
        }]
    );
    for now in (2100..9000).step_by(100) {
        outage_tick(&mut successor, now);
        successor.step(
            LeaseEvent::Written(LeaseWrite::NotWritten),
            Timestamp(now + 5),
        );
        assert!(successor.held_term(Timestamp(now)).is_some());
    }
    let read = LeaseEvent::Read(Some((ObjectVersion(5), record("a", 1))));
    assert!(
        successor.step(read, Timestamp(9050)).is_empty(),
        "nobody has written since the handover"
    );
    let written = LeaseWrite::Done {
        version: ObjectVersion(6),
    };
    assert!(matches!(
        tick(&mut successor, 9100)[..],
        [LeaseEffect::Write {
            version: Some(ObjectVersion(5)),
            ..
        }]
    ));
    assert!(
        successor
            .step(LeaseEvent::Written(written), Timestamp(9105))
            .is_empty()
    );
    let mut other = keeper("c");
    let effects = other.step(handed_over(&handover), Timestamp(2010));
    assert!(effects.is_empty(), "another node is not the successor");
}

/// Guards against a node that takes the lease back while it stops: a renewal was on its way when it resigned.
#[test]
fn an_answer_after_a_resignation_changes_nothing() {
    for event in [LeaseEvent::Resign, LeaseEvent::HandOver] {
        let mut holder = keeper("a");
        take_first(&mut holder, 1000);
        assert!(matches!(
            tick(&mut holder, 1600)[..],
            [LeaseEffect::Write { .. }]
        ));
        holder.step(event, Timestamp(1610));
        let written = LeaseWrite::Done {
            version: ObjectVersion(6),
        };
        assert!(
            holder
                .step(LeaseEvent::Written(written), Timestamp(1620))
                .is_empty()
        );
        assert!(holder.held_term(Timestamp(1620)).is_none());
    }
}

/// Guards against two holders: a handover that beats repeat must not bring a lease back that another node has taken
/// since.
#[test]
fn a_lost_lease_is_not_taken_over_again() {
    let mut holder = keeper("a");
    take_first(&mut holder, 1000);
    let handover = holder
        .handover(NodeId::new("b"), 0, Timestamp(1100))
        .expect("it holds the lease");
    let mut successor = keeper("b");
    successor.step(handed_over(&handover), Timestamp(1110));
    let read = LeaseEvent::Read(Some((ObjectVersion(30), record("c", 2))));
    assert_eq!(
        successor.step(read, Timestamp(1200)),
        vec![LeaseEffect::Lost]
    );
    assert!(
        successor
            .step(handed_over(&handover), Timestamp(1300))
            .is_empty()
    );
    let mut late = keeper("b");
    let claim = LeaseClaim {
        term: LeaseEpoch(2),
        version: ObjectVersion(30),
        remaining: TimeSpan(1000),
    };
    late.step(LeaseEvent::Claimed(claim), Timestamp(1250));
    assert!(
        late.step(handed_over(&handover), Timestamp(1300))
            .is_empty()
    );
}
