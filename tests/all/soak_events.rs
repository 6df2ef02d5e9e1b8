//! Seeded schedule of the events of a soak.

use std::time::Duration;

use jaysaddle_test_support::TestRandom;
use jaysaddle_test_support::env_number;

/// Time until the first event.
const FIRST_EVENT_MS: u64 = 1500;
/// Time in which events are drawn. All nodes are stopped after it.
const EVENTS_MS: u64 = 16_000;
/// Maximum time between two events that are drawn one after the other.
const MAX_EVENT_GAP_MS: u64 = 2500;
/// Maximum time between the stops of two nodes that are stopped in turn.
const MAX_TURN_GAP_MS: u64 = 1500;
/// Maximum time from the end of a process to the start of the next one at its node.
const MAX_RESTART_MS: u64 = 5000;
/// Maximum duration of a pause of a node, and of an outage of the store.
const MAX_FAULT_MS: u64 = 4000;
/// Shortest and longest silence, and the longest time between the starts of two.
const MIN_SILENCE_MS: u64 = 300;
const MAX_SILENCE_MS: u64 = 5000;
const MAX_SILENCE_GAP_MS: u64 = 3500;
/// Callers of each node that stay with it and that use the directory, and those when one group serves all.
const CALLERS: (usize, usize) = (3, 2);
const SCARCE_CALLERS: (usize, usize) = (1, 1);
/// Number of callers for which a group is started.
const CALLERS_PER_GROUP: usize = 4;

/// Event of a soak. What is not applicable to the state of its node is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakEvent {
    /// SIGTERM of a node, which is started again at a time after its exit.
    Stop { node: usize, restart: Duration },
    /// SIGTERM of the holder of the lease.
    StopHolder { restart: Duration },
    /// Another SIGTERM, or a SIGHUP, to all nodes that are stopping.
    SecondSignal { is_hangup: bool },
    /// A new version of the configuration.
    ChangeConfig { latency_target_ms: u64 },
    /// Another log level in the settings file of a node, and SIGHUP.
    ChangeSettings { node: usize },
    /// SIGSTOP of a node that is not stopping, and SIGCONT after a time.
    Pause { node: usize, time: Duration },
    /// SIGKILL of a node that is not stopping.
    Kill { node: usize, restart: Duration },
    /// All calls to the store fail for a time.
    StoreDown { time: Duration },
    /// SIGSTOP of all nodes that are stopping, and SIGCONT after a time.
    PauseStopping { time: Duration },
    /// An engine does nothing for a time.
    PauseEngine { number: usize, time: Duration },
    /// A server of the plain service does nothing for a time.
    PausePlain { number: usize, time: Duration },
    /// All backend servers do nothing for a time.
    PauseServers { time: Duration },
    /// The store answers no call for a time.
    PauseStore { time: Duration },
}

/// Events of a soak with their times from its start.
#[derive(Clone, Debug)]
pub struct SoakSchedule {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of groups.
    pub groups: usize,
    /// Callers of each node that stay with it.
    pub staying_callers: usize,
    /// Callers that use the directory, for each node.
    pub directory_callers: usize,
    /// Events in the order of their times.
    pub events: Vec<(Duration, SoakEvent)>,
    /// When all nodes are stopped at the end, in the order of the nodes.
    pub last_stops: Vec<Duration>,
}

/// Number in `from..to`.
pub fn between(random: &mut TestRandom, from: u64, to: u64) -> u64 {
    from + random.below(to - from)
}

fn index(random: &mut TestRandom, count: usize) -> usize {
    usize::try_from(random.below(count as u64)).expect("below the number of nodes")
}

impl SoakSchedule {
    /// Draws a schedule, with silences if `has_silences`. `JAYSADDLE_NODES` overrides the number of nodes.
    pub fn draw(random: &mut TestRandom, has_silences: bool) -> Self {
        let drawn = between(random, 3, 8);
        let nodes = usize::try_from(env_number("JAYSADDLE_NODES", drawn)).expect("a small number");
        let mut events = Vec::new();
        let mut at = FIRST_EVENT_MS;
        while at < EVENTS_MS {
            draw_event(random, nodes, at, &mut events);
            at += between(random, 50, MAX_EVENT_GAP_MS);
        }
        let mut at = FIRST_EVENT_MS;
        while has_silences && at < EVENTS_MS {
            events.push((Duration::from_millis(at), draw_silence(random)));
            at += between(random, 50, MAX_SILENCE_GAP_MS);
        }
        events.sort_by_key(|(time, _)| *time);
        let spread = between(random, 1, MAX_TURN_GAP_MS);
        let last_stops = (0..nodes)
            .map(|_| Duration::from_millis(EVENTS_MS + random.below(spread)))
            .collect();
        let is_scarce = has_silences && random.below(2) == 0;
        let (staying_callers, directory_callers) = if is_scarce { SCARCE_CALLERS } else { CALLERS };
        let callers = nodes * (staying_callers + directory_callers);
        Self {
            nodes,
            groups: if is_scarce {
                1
            } else {
                1 + callers / CALLERS_PER_GROUP
            },
            staying_callers,
            directory_callers,
            events,
            last_stops,
        }
    }
}

fn draw_silence(random: &mut TestRandom) -> SoakEvent {
    let time = Duration::from_millis(between(random, MIN_SILENCE_MS, MAX_SILENCE_MS));
    let number = index(random, 100);
    match random.below(10) {
        0..3 => SoakEvent::PauseEngine { number, time },
        3..5 => SoakEvent::PausePlain { number, time },
        5..7 => SoakEvent::PauseServers { time },
        7..9 => SoakEvent::PauseStopping { time: time / 3 },
        _ => SoakEvent::PauseStore { time },
    }
}

/// Draws what happens at a time, which may be a series of events.
fn draw_event(
    random: &mut TestRandom,
    nodes: usize,
    at: u64,
    events: &mut Vec<(Duration, SoakEvent)>,
) {
    let node = index(random, nodes);
    let restart = Duration::from_millis(between(random, 10, MAX_RESTART_MS));
    let time = Duration::from_millis(between(random, 100, MAX_FAULT_MS));
    let event = match random.below(14) {
        0..4 => SoakEvent::Stop { node, restart },
        4 => SoakEvent::StopHolder { restart },
        5 => {
            let gap = random.below(MAX_TURN_GAP_MS);
            for turn in 0..nodes {
                let time = Duration::from_millis(at + gap * turn as u64);
                let node = (node + turn) % nodes;
                events.push((time, SoakEvent::Stop { node, restart }));
            }
            return;
        }
        6..8 => SoakEvent::SecondSignal {
            is_hangup: random.below(2) == 0,
        },
        8 => SoakEvent::ChangeConfig {
            latency_target_ms: between(random, 800, 2000),
        },
        9 => SoakEvent::ChangeSettings { node },
        10..12 => SoakEvent::Pause { node, time },
        12 => SoakEvent::Kill { node, restart },
        _ => SoakEvent::StoreDown { time },
    };
    events.push((Duration::from_millis(at), event));
}
