//! Time without the pauses of this process.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time between two ticks from which the process counts as paused. Ticks come every 200 ms.
const MAX_TICK_GAP: TimeSpan = TimeSpan(300);

/// A time with and without the pauses of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMoment {
    /// Without pauses.
    pub awake: Timestamp,
    /// With pauses, as other parts of the node state times.
    pub wall: Timestamp,
}

/// A clock that stands still while the process does not run, which shows as a late tick.
#[derive(Debug, Default)]
pub struct AwakeClock {
    last_tick: Option<Timestamp>,
    paused: TimeSpan,
}

impl AwakeClock {
    /// Records that the process runs.
    pub fn tick(&mut self, now: Timestamp) {
        if let Some(tick) = self.last_tick {
            self.paused = TimeSpan(self.paused.0 + now.since(tick + MAX_TICK_GAP).0);
        }
        self.last_tick = Some(now);
    }

    /// Current time with and without pauses.
    pub fn moment(&self, now: Timestamp) -> ProcessMoment {
        ProcessMoment {
            awake: self.read(now),
            wall: now,
        }
    }

    /// Current time, earlier by all pauses.
    pub fn read(&self, now: Timestamp) -> Timestamp {
        let limit = self.last_tick.map_or(now, |tick| tick + MAX_TICK_GAP);
        now.min(limit) - self.paused
    }
}
