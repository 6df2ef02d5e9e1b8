//! Tests of the controller's lease.

use jaysaddle_fleet::lease::LeaseClaim;
use jaysaddle_fleet::lease::LeaseEffect;
use jaysaddle_fleet::lease::LeaseEvent;
use jaysaddle_fleet::lease::LeaseHandover;
use jaysaddle_fleet::lease::LeaseRecord;
use jaysaddle_fleet::lease::LeaseState;
use jaysaddle_fleet::lease::LeaseTiming;
use jaysaddle_fleet::lease::LeaseWrite;
use jaysaddle_fleet::lease::TermNode;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

fn node_key(name: &str, incarnation: u64) -> NodeKey {
    NodeKey {
        id: NodeId::new(name),
        incarnation: Incarnation(incarnation),
    }
}

fn lease_state(name: &str) -> LeaseState {
    LeaseState::new(
        node_key(name, 1),
        TermNode::default(),
        LeaseTiming::default(),
    )
}

/// The term of the `round`th acquisition. The low bits are those of [`TermNode::default`].
fn term(round: u64) -> LeaseEpoch {
    LeaseEpoch(round << 20)
}

/// The term of the `count`th handover after the `round`th acquisition.
fn handover_term(round: u64, count: u64) -> LeaseEpoch {
    LeaseEpoch((round << 20) | (count << 16))
}

fn record(holder: &str, round: u64) -> LeaseRecord {
    LeaseRecord {
        holder: Some(NodeId::new(holder)),
        term: term(round),
        write_number: 1,
    }
}

fn tick(lease: &mut LeaseState, now: u64) -> Vec<LeaseEffect> {
    let event = LeaseEvent::Tick {
        rank: 0,
        is_store_unreachable: false,
    };
    lease.step(event, Timestamp(now))
}

fn acquire_first_term(lease: &mut LeaseState, now: u64) {
    assert_eq!(tick(lease, now), vec![LeaseEffect::Read]);
    let effects = lease.step(LeaseEvent::Read(None), Timestamp(now));
    assert!(matches!(
        effects[..],
        [LeaseEffect::Write { version: None, .. }]
    ));
    let written = LeaseWrite::Done {
        version: ObjectVersion(5),
    };
    let effects = lease.step(LeaseEvent::Written(written), Timestamp(now + 5));
    assert_eq!(effects, vec![LeaseEffect::Acquired(term(1))]);
}

/// Guards against a holder that still considers its lease valid after its process was suspended.
#[test]
fn lease_expires_without_renewal() {
    let mut lease = lease_state("a");
    acquire_first_term(&mut lease, 1000);
    let end = 1000 + LeaseTiming::default().duration.0;
    assert!(lease.held_term(Timestamp(end - 1)).is_some());
    assert!(lease.held_term(Timestamp(end)).is_none());
    let effects = tick(&mut lease, end + 5000);
    assert_eq!(effects[0], LeaseEffect::Lost);
}

/// Guards against groups with the names of earlier ones: a term that has ended must not begin again when the response to
/// its renewal arrives late, because the controller would count its groups from the start.
#[test]
fn late_renewal_does_not_restart_the_term() {
    let mut lease = lease_state("a");
    acquire_first_term(&mut lease, 1000);
    let renewal = tick(&mut lease, 2300);
    assert!(matches!(renewal[..], [LeaseEffect::Write { .. }]));
    let end = 1000 + LeaseTiming::default().duration.0;
    let done = |version| {
        LeaseEvent::Written(LeaseWrite::Done {
            version: ObjectVersion(version),
        })
    };
    let effects = lease.step(done(6), Timestamp(end + 100));
    assert_eq!(effects[0], LeaseEffect::Lost);
    let [_, LeaseEffect::Write { record, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert!(record.term > term(1));
    let new_term = record.term;
    let effects = lease.step(done(7), Timestamp(end + 110));
    assert_eq!(effects, vec![LeaseEffect::Acquired(new_term)]);
}

/// Guards against waiting for a full lease duration although the holder's last heartbeat stated the remaining validity.
#[test]
fn expired_claim_is_acquired_without_delay() {
    let mut lease = lease_state("b");
    let claim = LeaseClaim {
        term: term(3),
        version: ObjectVersion(9),
        remaining: TimeSpan(1200),
    };
    lease.step(LeaseEvent::Claimed(claim), Timestamp(1000));
    assert!(tick(&mut lease, 2100).is_empty());
    assert_eq!(tick(&mut lease, 2200), vec![LeaseEffect::Read]);
    let read = LeaseEvent::Read(Some((ObjectVersion(9), record("a", 3))));
    let effects = lease.step(read, Timestamp(2205));
    let LeaseEffect::Write { version, record } = &effects[0] else {
        panic!("{effects:?}");
    };
    assert_eq!(*version, Some(ObjectVersion(9)));
    assert_eq!(record.term, term(4));
}

/// Guards against two holders: a holder whose heartbeats are lost may have renewed its lease in the store.
#[test]
fn renewal_without_heartbeat_is_respected() {
    let mut lease = lease_state("b");
    let claim = LeaseClaim {
        term: term(3),
        version: ObjectVersion(9),
        remaining: TimeSpan(1200),
    };
    lease.step(LeaseEvent::Claimed(claim), Timestamp(1000));
    assert_eq!(tick(&mut lease, 2200), vec![LeaseEffect::Read]);
    let read = LeaseEvent::Read(Some((ObjectVersion(12), record("a", 3))));
    assert!(lease.step(read, Timestamp(2205)).is_empty());
    assert!(tick(&mut lease, 2300).is_empty());
}

/// Guards against assuming that a write was applied, or that it was not, if its response was lost.
#[test]
fn object_is_read_after_lost_response() {
    let mut lease = lease_state("a");
    assert_eq!(tick(&mut lease, 1000), vec![LeaseEffect::Read]);
    lease.step(LeaseEvent::Read(None), Timestamp(1000));
    let effects = lease.step(LeaseEvent::Written(LeaseWrite::Unknown), Timestamp(1700));
    assert_eq!(effects, vec![LeaseEffect::Read]);
    assert!(lease.held_term(Timestamp(1700)).is_none());
}

/// Guards against an interruption of repairs after a planned shutdown of the holder.
#[test]
fn resigned_lease_is_acquired_without_delay() {
    let mut holder = lease_state("a");
    acquire_first_term(&mut holder, 1000);
    let effects = holder.step(LeaseEvent::Resign, Timestamp(1100));
    let Some(LeaseEffect::Write { record, .. }) = effects.last() else {
        panic!("{effects:?}");
    };
    assert_eq!(record.holder, None);
    let mut other = lease_state("b");
    assert_eq!(tick(&mut other, 1200), vec![LeaseEffect::Read]);
    let read = LeaseEvent::Read(Some((ObjectVersion(6), record.clone())));
    let effects = other.step(read, Timestamp(1205));
    assert!(matches!(effects[..], [LeaseEffect::Write { .. }]));
}

/// Guards against a holder that continues although another node has a later term.
#[test]
fn later_term_ends_lease() {
    let mut lease = lease_state("a");
    acquire_first_term(&mut lease, 1000);
    let claim = LeaseClaim {
        term: term(2),
        version: ObjectVersion(9),
        remaining: TimeSpan(1000),
    };
    let effects = lease.step(LeaseEvent::Claimed(claim), Timestamp(1100));
    assert_eq!(effects, vec![LeaseEffect::Lost]);
    assert!(lease.held_term(Timestamp(1100)).is_none());
}

/// Guards against a holder that orders the members of a later holder's groups, because it does not know that it has lost the
/// lease.
#[test]
fn holder_that_sees_a_later_term_gives_the_lease_up() {
    let mut lease = lease_state("a");
    acquire_first_term(&mut lease, 1000);
    let effects = lease.step(LeaseEvent::TermSeen(term(1)), Timestamp(1100));
    assert_eq!(effects, vec![]);
    let effects = lease.step(LeaseEvent::TermSeen(term(2)), Timestamp(1200));
    assert_eq!(effects, vec![LeaseEffect::Lost]);
    assert!(lease.held_term(Timestamp(1200)).is_none());
    assert_eq!(tick(&mut lease, 1300), vec![]);
}

/// Guards against an interruption of repairs while the store is unreachable for all nodes, and against a holder that
/// keeps the lease although the store names another one after the outage.
#[test]
fn lease_survives_store_outage_for_all_nodes() {
    let mut lease = lease_state("a");
    acquire_first_term(&mut lease, 1000);
    for now in (1100..9000).step_by(100) {
        let event = LeaseEvent::Tick {
            rank: 0,
            is_store_unreachable: true,
        };
        lease.step(event, Timestamp(now));
        lease.step(
            LeaseEvent::Written(LeaseWrite::NotWritten),
            Timestamp(now + 5),
        );
        assert!(lease.held_term(Timestamp(now)).is_some());
    }
    let read = LeaseEvent::Read(Some((ObjectVersion(30), record("b", 2))));
    assert_eq!(lease.step(read, Timestamp(9100)), vec![LeaseEffect::Lost]);
}

fn tick_during_outage(lease: &mut LeaseState, now: u64) -> Vec<LeaseEffect> {
    let event = LeaseEvent::Tick {
        rank: 0,
        is_store_unreachable: true,
    };
    lease.step(event, Timestamp(now))
}

fn handover_received(handover: &LeaseHandover) -> LeaseEvent {
    LeaseEvent::HandoverReceived {
        handover: handover.clone(),
        is_store_unreachable: true,
    }
}

/// Guards against an interruption of repairs when the holder shuts down while the store is unreachable for all nodes.
/// In scenario trouble-3 of ebiere-collect, no node held the lease for 7 s.
#[test]
fn holder_hands_over_on_shutdown_during_outage() {
    let mut holder = lease_state("a");
    acquire_first_term(&mut holder, 1000);
    tick_during_outage(&mut holder, 1500);
    let handover = holder
        .handover(node_key("b", 1), Timestamp(2000))
        .expect("it holds the lease");
    let effects = holder.step(LeaseEvent::HandOver, Timestamp(2000));
    assert_eq!(
        effects,
        vec![LeaseEffect::Lost],
        "a resignation was written, which could arrive after the outage"
    );
    let mut successor = lease_state("b");
    let effects = successor.step(handover_received(&handover), Timestamp(2010));
    assert_eq!(
        effects,
        vec![LeaseEffect::HandoverAccepted(handover_term(1, 1))],
        "the successor counts its groups from the start, so its term is a new one"
    );
    for now in (2100..9000).step_by(100) {
        tick_during_outage(&mut successor, now);
        successor.step(
            LeaseEvent::Written(LeaseWrite::NotWritten),
            Timestamp(now + 5),
        );
        assert!(successor.held_term(Timestamp(now)).is_some());
    }
    let read = LeaseEvent::Read(Some((ObjectVersion(5), record("a", 1))));
    assert!(
        successor.step(read, Timestamp(9050)).is_empty(),
        "no other node has written since the handover"
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
    let mut other = lease_state("c");
    let effects = other.step(handover_received(&handover), Timestamp(2010));
    assert!(effects.is_empty(), "only the named successor may accept");
}

/// Guards against a node that acquires the lease again while it shuts down: a renewal was in flight when it resigned.
#[test]
fn write_result_after_resignation_is_ignored() {
    for event in [LeaseEvent::Resign, LeaseEvent::HandOver] {
        let mut holder = lease_state("a");
        acquire_first_term(&mut holder, 1000);
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

/// Guards against two holders: a repeated handover must not restore a lease that another node has acquired since.
#[test]
fn repeated_handover_does_not_restore_lost_lease() {
    let mut holder = lease_state("a");
    acquire_first_term(&mut holder, 1000);
    let handover = holder
        .handover(node_key("b", 1), Timestamp(1100))
        .expect("it holds the lease");
    let mut successor = lease_state("b");
    successor.step(handover_received(&handover), Timestamp(1110));
    let read = LeaseEvent::Read(Some((ObjectVersion(30), record("c", 2))));
    assert_eq!(
        successor.step(read, Timestamp(1200)),
        vec![LeaseEffect::Lost]
    );
    assert!(
        successor
            .step(handover_received(&handover), Timestamp(1300))
            .is_empty()
    );
    let mut late_successor = lease_state("b");
    let claim = LeaseClaim {
        term: term(2),
        version: ObjectVersion(30),
        remaining: TimeSpan(1000),
    };
    late_successor.step(LeaseEvent::Claimed(claim), Timestamp(1250));
    assert!(
        late_successor
            .step(handover_received(&handover), Timestamp(1300))
            .is_empty()
    );
}

/// Guards against two holders: a node that has started again must not accept the handover that named its last process.
#[test]
fn restarted_node_rejects_handover_to_its_last_process() {
    let mut holder = lease_state("a");
    acquire_first_term(&mut holder, 1000);
    let handover = holder
        .handover(node_key("b", 1), Timestamp(1100))
        .expect("it holds the lease");
    let mut restarted = LeaseState::new(
        node_key("b", 2),
        TermNode::default(),
        LeaseTiming::default(),
    );
    let effects = restarted.step(handover_received(&handover), Timestamp(1200));
    assert!(effects.is_empty(), "{effects:?}");
}

/// Guards against two holders: a handover that has come back to its first successor must not make the older one valid again.
#[test]
fn earlier_handover_is_rejected_after_a_later_one() {
    let mut first = lease_state("a");
    acquire_first_term(&mut first, 1000);
    let old = first
        .handover(node_key("b", 1), Timestamp(1100))
        .expect("it holds the lease");
    let mut second = lease_state("b");
    second.step(handover_received(&old), Timestamp(1110));
    let onward = second
        .handover(node_key("c", 1), Timestamp(1200))
        .expect("it holds the lease");
    let mut third = lease_state("c");
    let effects = third.step(handover_received(&onward), Timestamp(1210));
    assert_eq!(
        effects,
        vec![LeaseEffect::HandoverAccepted(handover_term(1, 2))]
    );
    let back = third
        .handover(node_key("d", 1), Timestamp(1300))
        .expect("it holds the lease");
    let mut last = lease_state("d");
    last.step(handover_received(&back), Timestamp(1310));
    last.step(LeaseEvent::Release, Timestamp(1400));
    for handover in [&old, &onward, &back] {
        let effects = last.step(handover_received(handover), Timestamp(1410));
        assert!(effects.is_empty(), "{effects:?}");
    }
}

/// Guards against a term that does not rise: a successor may end before any peer has heard its term.
#[test]
fn acquisition_follows_a_handover_that_nobody_has_heard() {
    let mut holder = lease_state("a");
    acquire_first_term(&mut holder, 1000);
    let handover = holder
        .handover(node_key("b", 1), Timestamp(1100))
        .expect("it holds the lease");
    let high_number = TermNode(u16::MAX);
    let mut successor = LeaseState::new(node_key("b", 1), high_number, LeaseTiming::default());
    successor.step(handover_received(&handover), Timestamp(1110));
    let unheard = successor.held_term(Timestamp(1120)).expect("it accepted");
    assert!(unheard < TermNode::default().term_after(term(1)));
}

/// Guards against a successor that holds the lease after other nodes may have acquired it: a handover transfers no more
/// than the rest of the validity.
#[test]
fn handover_transfers_the_rest_of_the_validity() {
    let mut holder = lease_state("a");
    acquire_first_term(&mut holder, 1000);
    let duration = LeaseTiming::default().duration;
    let end = 1000 + duration.0;
    let handover = holder
        .handover(node_key("b", 1), Timestamp(1100))
        .expect("it holds the lease");
    let late = handover
        .after(TimeSpan(end - 1100 - 50))
        .expect("it is still valid");
    let mut successor = lease_state("b");
    successor.step(handover_received(&late), Timestamp(end - 40));
    assert!(successor.held_term(Timestamp(end + 9)).is_some());
    assert!(successor.held_term(Timestamp(end + 10)).is_none());
    assert!(handover.after(TimeSpan(end - 1100)).is_none());
}

/// Guards against groups with the names of earlier ones: the term of an accepted lease must not begin again when the response
/// to its renewal arrives after it has expired.
#[test]
fn late_renewal_does_not_restart_the_term_of_a_handover() {
    let mut holder = lease_state("a");
    acquire_first_term(&mut holder, 1000);
    let handover = holder
        .handover(node_key("b", 1), Timestamp(1100))
        .expect("it holds the lease");
    let mut successor = lease_state("b");
    successor.step(handover_received(&handover), Timestamp(1110));
    let effects = tick(&mut successor, 2300);
    assert!(
        matches!(effects[..], [LeaseEffect::Write { .. }]),
        "{effects:?}"
    );
    let written = LeaseWrite::Done {
        version: ObjectVersion(6),
    };
    // The validity has ended at 2600, and the write was sent at 2300.
    let effects = successor.step(LeaseEvent::Written(written), Timestamp(2900));
    let is_begun_again = effects.iter().any(
        |effect| matches!(effect, LeaseEffect::Acquired(again) if *again == handover_term(1, 1)),
    );
    assert!(!is_begun_again, "{effects:?}");
}

/// Guards against a holder whose term is below that in the store: a late write of the node's last process names the same node.
#[test]
fn record_of_an_earlier_process_is_not_the_own_one() {
    let mut holder = lease_state("a");
    acquire_first_term(&mut holder, 1000);
    let handover = holder
        .handover(node_key("b", 2), Timestamp(1100))
        .expect("it holds the lease");
    let mut successor = LeaseState::new(node_key("b", 2), TermNode(1), LeaseTiming::default());
    successor.step(handover_received(&handover), Timestamp(1110));
    assert!(successor.held_term(Timestamp(1120)).is_some());
    let mut of_last_process = record("b", 2);
    of_last_process.term.0 |= 9;
    let read = LeaseEvent::Read(Some((ObjectVersion(6), of_last_process)));
    assert_eq!(
        successor.step(read, Timestamp(1200)),
        vec![LeaseEffect::Lost]
    );
}
