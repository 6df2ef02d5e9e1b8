//! Observations of one piece of content: ends of backend servers that it was at, and survivals.

use std::collections::HashSet;

use jaysaddle_fleet::crash_report::PieceScope;
use jaysaddle_fleet::crash_report::RunFate;
use jaysaddle_types::content::ContentKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Survivals count that are not older than the last end by more than this, and ends that are not older than the last survival
/// by more than this. Content that has been sound for long may have become harmful, and ends of long ago are no evidence
/// against content that is sound since.
pub(crate) const SURVIVAL_LOOKBACK: TimeSpan = TimeSpan::from_secs(2);
/// Maximum number of facts of each kind that are kept for a piece. As many survivals clear it whatever its ends are.
const MAX_FACTS: usize = 16;
/// Maximum number of independent requests that are kept for ends at the same time.
pub(crate) const MAX_SOURCES_PER_TIME: usize = 2;
/// Ends that are no further apart are at the same time, as far as nodes can tell that learn from each other directly.
pub(crate) const SAME_TIME: TimeSpan = TimeSpan(50);

/// An observation, with the time at which this node has learned of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sighting {
    pub(crate) server: u32,
    pub(crate) source: u32,
    pub(crate) at: Timestamp,
    pub(crate) learned: Timestamp,
    /// Whether the request was over before the process ended: answered as a whole, or withdrawn before any data.
    pub(crate) was_over: bool,
    /// Whether this node has made it.
    pub(crate) is_own: bool,
}

impl Sighting {
    fn is_same_time(&self, other: &Sighting) -> bool {
        let difference = self.at.since(other.at).max(other.at.since(self.at));
        difference < SAME_TIME
    }
}

/// Times that are at least `same_time` apart, in order.
pub(crate) fn distinct_times(mut times: Vec<Timestamp>, same_time: TimeSpan) -> Vec<Timestamp> {
    times.sort_unstable();
    let mut last: Option<Timestamp> = None;
    times.retain(|time| {
        let is_distinct = last.is_none_or(|last| time.since(last) >= same_time);
        if is_distinct {
            last = Some(*time);
        }
        is_distinct
    });
    times
}

/// Facts about a piece that was at the end of a process.
#[derive(Debug)]
pub(crate) struct KeyFacts {
    pub(crate) class: ContentKey,
    pub(crate) scope: PieceScope,
    pub(crate) ends: Vec<Sighting>,
    pub(crate) survivals: Vec<Sighting>,
    /// Up to when ends do not count, because the piece was released.
    pub(crate) cleared: Timestamp,
    /// When an observation was last added.
    pub(crate) changed: Timestamp,
    /// When a peer has last told of an end.
    pub(crate) questioned: Timestamp,
}

impl KeyFacts {
    /// Observations of one kind.
    fn facts(&mut self, fate: RunFate) -> &mut Vec<Sighting> {
        match fate {
            RunFate::Ended => &mut self.ends,
            RunFate::Survived => &mut self.survivals,
        }
    }

    /// Adds an observation. Returns whether it is new.
    pub(crate) fn add(&mut self, fate: RunFate, mut sighting: Sighting) -> bool {
        if fate == RunFate::Ended {
            // A process ends once. What peers pass on arrives later and seems to be a later end.
            let known = self.ends.iter().find(|end| end.server == sighting.server);
            sighting.at = known.map_or(sighting.at, |known| known.at);
        }
        let cleared = self.cleared;
        let is_repeated = self.scope.is_repeated();
        let facts = self.facts(fate);
        let is_known = match fate {
            RunFate::Ended if sighting.at <= cleared => return false,
            RunFate::Ended if is_repeated => {
                facts.iter().any(|other| other.server == sighting.server)
            }
            RunFate::Ended => {
                let same = facts.iter().filter(|other| other.is_same_time(&sighting));
                let sources: HashSet<u32> = same.map(|other| other.source).collect();
                sources.len() >= MAX_SOURCES_PER_TIME || sources.contains(&sighting.source)
            }
            RunFate::Survived => facts.iter().any(|other| {
                other.server == sighting.server && sighting.at <= other.at + SAME_TIME
            }),
        };
        if is_known {
            return false;
        }
        if fate == RunFate::Survived {
            // The latest survival of a process replaces an earlier one.
            facts.retain(|other| other.server != sighting.server);
        }
        if facts.len() >= MAX_FACTS {
            facts.remove(0);
        }
        facts.push(sighting);
        self.changed = self.changed.max(sighting.learned);
        true
    }

    /// Ends that count.
    pub(crate) fn counted_ends(&self) -> impl Iterator<Item = &Sighting> {
        let last = self.survivals.iter().map(|survival| survival.at).max();
        let from = last.map_or(Timestamp(0), |last| last - SURVIVAL_LOOKBACK);
        self.ends.iter().filter(move |end| end.at >= from)
    }

    /// Whether a whole request was survived after all but one of its ends, so that these are no evidence against it.
    pub(crate) fn is_cleared_between_ends(&self) -> bool {
        self.scope.is_repeated()
            && !self.survivals.is_empty()
            && self.ends.len() > 1
            && self.counted_ends().count() < 2
    }

    /// Number of different times of the ends that count; `same_time` is the difference from which times are different.
    pub(crate) fn end_count(&self, same_time: TimeSpan) -> usize {
        let times = self.counted_ends().map(|end| end.at).collect();
        distinct_times(times, same_time).len()
    }

    /// Number of times out of `all` since the first end that counts.
    pub(crate) fn ends_since_first(&self, all: &[Timestamp]) -> usize {
        let first = self.counted_ends().map(|end| end.at).min();
        let first = first.map_or(Timestamp(0), |first| first - SAME_TIME);
        all.iter().filter(|time| **time >= first).count()
    }

    /// Whether another piece was there at all ends that count.
    pub(crate) fn is_covered_by(&self, other: &KeyFacts) -> bool {
        self.counted_ends()
            .all(|end| other.ends.iter().any(|one| one.is_same_time(end)))
    }

    /// Number of survivals that count.
    pub(crate) fn survival_count(&self) -> usize {
        let last = self.ends.iter().map(|end| end.at).max();
        let from = last.map_or(Timestamp(0), |last| last - SURVIVAL_LOOKBACK);
        let survivals = self.survivals.iter();
        survivals.filter(|survival| survival.at >= from).count()
    }

    /// Whether the ends outweigh the survivals. `min_ends` suffice without survivals.
    pub(crate) fn is_harmful(&self, min_ends: usize, same_time: TimeSpan) -> bool {
        self.end_count(same_time) >= min_ends * (self.survival_count() + 1)
    }
}
