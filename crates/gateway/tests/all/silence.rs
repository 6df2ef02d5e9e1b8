//! Silence of a response, as a node that is paused now and then measures it.

use jaysaddle_gateway::silence::DataWait;
use jaysaddle_gateway::silence::SilenceMeter;
use jaysaddle_types::units::TimeSpan;

fn wait(planned: u64, actual: u64) -> DataWait {
    DataWait {
        planned: TimeSpan(planned),
        actual: TimeSpan(actual),
    }
}

/// Guards against a pause of the node that counts as silence of its backend servers.
#[test]
fn pause_of_the_process_is_no_silence() {
    let mut meter = SilenceMeter::default();
    meter.record(wait(150, 150));
    assert!(wait(150, 4000).was_interrupted());
    meter.record(wait(150, 4000));
    assert!(meter.silent() <= TimeSpan(400), "{}", meter.silent());
}

/// Guards against a silence that is never noticed because each wait takes a little longer than planned.
#[test]
fn late_wakeups_do_not_hide_a_silence() {
    let mut meter = SilenceMeter::default();
    for _ in 0..4 {
        assert!(!wait(150, 180).was_interrupted());
        meter.record(wait(150, 180));
    }
    assert_eq!(meter.silent(), TimeSpan(720));
    meter.reset();
    assert_eq!(meter.silent(), TimeSpan(0));
}
