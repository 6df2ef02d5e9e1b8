//! Requests that share one part of their prompts and crash each engine that begins to answer them.

use std::time::Duration;

use crate::crash_world::CrashTraffic;
use crate::crash_world::Disruptions;
use crate::crash_world::run_traffic;
use crate::platform_nodes::PlatformNodes;

/// Guards against a request that crashes engines and is sent on and on, with new ids and at all nodes, until no group is left for
/// the requests that share its caller and its other parts. In an incident of December 2026, 64 engines ended so.
#[test]
fn requests_with_a_crashing_part_are_stopped_and_sound_ones_served() {
    let nodes = PlatformNodes::start(3, 20);
    nodes.wait_serving(10);
    let traffic = CrashTraffic {
        interval: Duration::from_millis(150),
        calm: Duration::from_secs(2),
        duration: Duration::from_secs(13),
    };
    let run = run_traffic(&nodes, traffic, || {});
    let faults = run.faults(&nodes, &Disruptions::new());
    assert!(faults.is_empty(), "{faults:?}");
}
