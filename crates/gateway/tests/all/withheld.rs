//! Events of a slow backend server that arrive while the stream is also begun at another one.

use jaysaddle_gateway::withheld::WithheldEvents;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

const LIMIT: TimeSpan = TimeSpan(600);

fn event(id: u64) -> String {
    format!("id: {id}\ndata: x\n\n")
}

/// Guards against a stream that stays with a slow server because one event ends the attempt beside it, and that cannot be moved again.
#[test]
fn single_event_of_a_slow_server_does_not_end_the_silence() {
    let mut withheld = WithheldEvents::default();
    assert!(!withheld.add(event(7).as_bytes(), LIMIT, Timestamp(1000)));
    assert!(!withheld.is_due(Timestamp(1300)));
    // The next event of a server that is twenty times as slow.
    assert!(!withheld.add(event(8).as_bytes(), LIMIT, Timestamp(2300)));
}

/// Guards against events that wait although their server has recovered, or although nothing comes from another one.
#[test]
fn events_of_a_recovered_server_are_released_together() {
    let mut withheld = WithheldEvents::default();
    assert!(!withheld.add(event(7).as_bytes(), LIMIT, Timestamp(1000)));
    assert!(withheld.add(event(8).as_bytes(), LIMIT, Timestamp(1050)));
    assert_eq!(withheld.take(), event(7) + &event(8));
    assert!(withheld.is_empty());

    let two = event(1) + &event(2);
    assert!(withheld.add(two.as_bytes(), LIMIT, Timestamp(1000)));
    withheld.take();
    assert!(!withheld.add(event(3).as_bytes(), LIMIT, Timestamp(2000)));
    assert!(withheld.is_due(Timestamp(2500)));
}
