//! Follows the era of the store, which rises when the store comes back from an older copy.

use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time after which a lower era is believed. A response from before a restore arrives earlier, or its call has timed out.
const LOWER_ERA_TIME: TimeSpan = TimeSpan::from_secs(5);

/// What the era of a response says about the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraOutcome {
    /// The response belongs to the present history.
    Current,
    /// The response belongs to the present history, which has just become known. Revisions from before are void.
    Restored,
    /// The response belongs to a history that has ended.
    Outdated,
}

/// Era of the store as known to this node.
#[derive(Debug, Default)]
pub struct EraTracker {
    /// Era of the last response; `None` before the first that names one.
    era: Option<StoreEra>,
    /// Highest era that a peer has announced before this node has seen it.
    announced: Option<StoreEra>,
    /// Time of the first of the latest responses that were all of a lower era.
    lower_since: Option<Timestamp>,
    /// Number of times that the store is known to have come back from an older copy.
    restores: u64,
}

impl EraTracker {
    /// Era of the last response; `None` before the first that names one.
    pub fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Number of times that the store is known to have come back from an older copy. Revisions and versions that were
    /// received before the last time are void.
    pub fn restores(&self) -> u64 {
        self.restores
    }

    /// Records the era that a peer announces, and returns whether it tells of a restore.
    ///
    /// The era in force comes from the store itself, so that a wrong announcement does not make this node refuse the
    /// store's responses.
    pub fn announce(&mut self, era: StoreEra) -> bool {
        let is_new = self.era.is_some() && Some(era) > self.era.max(self.announced);
        if is_new {
            self.announced = Some(era);
            self.restores += 1;
        }
        is_new
    }

    /// Records the era of a response.
    pub fn observe(&mut self, era: StoreEra, now: Timestamp) -> EraOutcome {
        let Some(known) = self.era else {
            self.era = Some(era);
            return EraOutcome::Current;
        };
        if era < known {
            let since = *self.lower_since.get_or_insert(now);
            if now.since(since) < LOWER_ERA_TIME {
                return EraOutcome::Outdated;
            }
        }
        self.lower_since = None;
        self.era = Some(era);
        if era == known || (era > known && self.announced >= Some(era)) {
            return EraOutcome::Current;
        }
        self.restores += 1;
        EraOutcome::Restored
    }
}
