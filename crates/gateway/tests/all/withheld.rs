//! Events of a slow backend server that arrive while the stream is also begun at another one.

use jaysaddle_gateway::withheld::WithheldEvents;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: x\n\n")
}

/// Guards against a stream that stays with a slow server because one event ends the attempt beside it, and that cannot be moved again.
#[test]
fn single_event_of_a_slow_server_waits_for_the_other_attempt() {
    let mut withheld = WithheldEvents::default();
    assert!(!withheld.add(event(7).as_bytes(), TimeSpan(800), Timestamp(1000)));
    assert!(!withheld.is_due(Timestamp(1400)));
    assert!(withheld.is_due(Timestamp(1500)));
}

/// Guards against events that wait although their server has recovered.
#[test]
fn events_of_a_recovered_server_are_released_together() {
    let mut withheld = WithheldEvents::default();
    assert!(!withheld.add(event(7).as_bytes(), TimeSpan(800), Timestamp(1000)));
    assert!(withheld.add(event(8).as_bytes(), TimeSpan(850), Timestamp(1050)));
    assert_eq!(withheld.take(), event(7) + &event(8));
    assert!(withheld.is_empty());
    let two = event(1) + &event(2);
    assert!(withheld.add(two.as_bytes(), TimeSpan(800), Timestamp(1000)));
}

/// Guards against callers that leave because an event which has arrived is withheld from them.
#[test]
fn nothing_waits_when_the_caller_has_waited_long() {
    let mut withheld = WithheldEvents::default();
    assert!(!withheld.add(event(7).as_bytes(), TimeSpan(1300), Timestamp(1000)));
    assert!(withheld.is_due(Timestamp(1200)));
    withheld.take();
    assert!(!withheld.add(event(8).as_bytes(), TimeSpan(1900), Timestamp(3000)));
    assert!(withheld.is_due(Timestamp(3000)));
}
