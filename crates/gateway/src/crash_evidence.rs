//! Evidence that a piece of content ends the backend servers that begin to answer requests with it.
//!
//! Each end of a process accuses all pieces that were there, most of them falsely: those that many requests share are at the scene
//! of every end. Three facts tell them apart.
//!
//! - A process that goes on after it has begun to answer clears all pieces of that request.
//! - A guilty piece is there in independent requests, at more than one end.
//! - Of the pieces that were at the same ends, the guilty one is at most of them.
//!
//! A class (model or service) under which nothing survives gives no contrast, so no piece is accused for it.

use std::collections::HashMap;
use std::collections::HashSet;

use jaysaddle_fleet::crash_report::CrashFact;
use jaysaddle_fleet::crash_report::RunFate;
use jaysaddle_types::content::ContentKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time for which an end counts.
const END_WINDOW: TimeSpan = TimeSpan::from_secs(600);
/// Survivals count that are not older than the last end by more than this, and ends that are not older than the last survival
/// by more than this. Content that has been sound for long may have become harmful, and ends of long ago are no evidence
/// against content that is sound since.
const SURVIVAL_LOOKBACK: TimeSpan = TimeSpan::from_secs(2);
/// Ends from which a piece is accused that no process has survived.
const MIN_ENDS: usize = 2;
/// Independent requests that must have been at these ends.
const MIN_SOURCES: usize = 2;
/// Survivals in the class of a piece from which its ends are not those of the class.
const MIN_CONTRAST: usize = 3;
/// Maximum number of facts of each kind that are kept for a piece. As many survivals clear it whatever its ends are.
const MAX_FACTS: usize = 8;
/// Maximum number of independent requests that are kept for one end of a process.
const MAX_SOURCES_PER_END: usize = 2;
/// Survivals that are remembered of a piece that is not accused.
const MAX_RECENT: usize = 4;
/// Maximum number of pieces whose survivals are remembered, and of pieces that were at an end.
const MAX_RECENT_KEYS: usize = 8192;
const MAX_KEYS: usize = 1024;
/// Time for which a fact is announced.
const ANNOUNCE_TIME: TimeSpan = TimeSpan::from_secs(3);
/// Maximum number of facts in a heartbeat, so that it fits into one packet.
const MAX_ANNOUNCED: usize = 16;

/// An observation, with the time at which this node has learned of it.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    server: u32,
    source: u32,
    at: Timestamp,
    learned: Timestamp,
    /// Whether this node has made it.
    is_own: bool,
}

/// What was decided on a piece before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceHistory {
    /// Nothing, or it was released because it is sound.
    Unknown,
    /// It is blocked.
    Blocked,
    /// It was blocked, and the time of the block has passed: one end suffices.
    FormerlyBlocked,
}

/// Facts about a piece that was at the end of a process.
#[derive(Debug)]
struct KeyFacts {
    class: ContentKey,
    ends: Vec<Sighting>,
    survivals: Vec<Sighting>,
}

impl KeyFacts {
    fn facts(&mut self, fate: RunFate) -> &mut Vec<Sighting> {
        match fate {
            RunFate::Ended => &mut self.ends,
            RunFate::Survived => &mut self.survivals,
        }
    }

    /// Adds an observation. Returns whether it is new.
    fn add(&mut self, fate: RunFate, sighting: Sighting) -> bool {
        let facts = self.facts(fate);
        let known: Vec<&Sighting> = facts
            .iter()
            .filter(|other| other.server == sighting.server)
            .collect();
        let max_known = match fate {
            RunFate::Ended => MAX_SOURCES_PER_END,
            RunFate::Survived => 1,
        };
        if known.len() >= max_known || known.iter().any(|other| other.source == sighting.source) {
            return false;
        }
        if facts.len() >= MAX_FACTS {
            facts.remove(0);
        }
        facts.push(sighting);
        true
    }

    /// Ends that count.
    fn counted_ends(&self) -> impl Iterator<Item = &Sighting> {
        let last = self.survivals.iter().map(|survival| survival.at).max();
        let from = last.map_or(Timestamp(0), |last| last - SURVIVAL_LOOKBACK);
        self.ends.iter().filter(move |end| end.at >= from)
    }

    /// Processes whose ends count.
    fn end_servers(&self) -> HashSet<u32> {
        self.counted_ends().map(|end| end.server).collect()
    }

    fn source_count(&self) -> usize {
        let sources: HashSet<u32> = self.counted_ends().map(|end| end.source).collect();
        sources.len()
    }

    /// Number of survivals that count.
    fn survival_count(&self) -> usize {
        let last = self.ends.iter().map(|end| end.at).max();
        let from = last.map_or(Timestamp(0), |last| last - SURVIVAL_LOOKBACK);
        let survivals = self.survivals.iter();
        survivals.filter(|survival| survival.at >= from).count()
    }

    /// Whether the ends outweigh the survivals. `min_ends` suffice without survivals.
    fn is_harmful(&self, min_ends: usize) -> bool {
        self.end_servers().len() >= min_ends * (self.survival_count() + 1)
    }
}

/// Evidence about all pieces of content.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    facts: HashMap<ContentKey, KeyFacts>,
    /// This node's latest survivals of pieces and classes.
    recent: HashMap<ContentKey, Vec<Sighting>>,
}

impl CrashEvidence {
    /// Records that a process has gone on after it had begun to answer a request. Returns whether that speaks for a piece
    /// that was at an end.
    pub fn record_survival(
        &mut self,
        key: ContentKey,
        server: u32,
        source: u32,
        now: Timestamp,
    ) -> bool {
        let sighting = Sighting {
            server,
            source,
            at: now,
            learned: now,
            is_own: true,
        };
        if self.recent.len() >= MAX_RECENT_KEYS && !self.recent.contains_key(&key) {
            self.forget_recent(now);
        }
        let recent = self.recent.entry(key).or_default();
        if recent.len() >= MAX_RECENT {
            recent.remove(0);
        }
        recent.push(sighting);
        self.facts
            .get_mut(&key)
            .is_some_and(|facts| facts.add(RunFate::Survived, sighting))
    }

    /// Makes room for further pieces.
    fn forget_recent(&mut self, now: Timestamp) {
        let mut times: Vec<TimeSpan> = self
            .recent
            .values()
            .filter_map(|recent| Some(now.since(recent.last()?.at)))
            .collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let limit = *median;
        self.recent
            .retain(|_, recent| recent.last().is_some_and(|last| now.since(last.at) < limit));
    }

    /// Records that a process has ended that may have begun to answer a request. Returns whether the piece may be the
    /// reason.
    pub fn record_end(
        &mut self,
        key: ContentKey,
        class: ContentKey,
        server: u32,
        source: u32,
        now: Timestamp,
    ) -> bool {
        let recent = self.recent_survivals(key, now);
        if recent >= MAX_RECENT {
            return false;
        }
        let fact = CrashFact {
            key,
            class,
            server,
            source,
            fate: RunFate::Ended,
            age: TimeSpan(0),
        };
        self.add(fact, true, now)
    }

    /// Number of own survivals of a piece lately.
    fn recent_survivals(&self, key: ContentKey, now: Timestamp) -> usize {
        let recent = self.recent.get(&key).map_or(&[][..], Vec::as_slice);
        recent
            .iter()
            .filter(|survival| now.since(survival.at) < SURVIVAL_LOOKBACK)
            .count()
    }

    /// Adds an observation of a peer. Returns whether it is new.
    pub fn merge(&mut self, fact: CrashFact, now: Timestamp) -> bool {
        fact.age < END_WINDOW && self.add(fact, false, now)
    }

    fn add(&mut self, fact: CrashFact, is_own: bool, now: Timestamp) -> bool {
        let sighting = Sighting {
            server: fact.server,
            source: fact.source,
            at: now - fact.age,
            learned: now,
            is_own,
        };
        if let Some(facts) = self.facts.get_mut(&fact.key) {
            return facts.add(fact.fate, sighting);
        }
        if fact.fate == RunFate::Survived {
            return false;
        }
        if self.facts.len() >= MAX_KEYS {
            self.forget_weakest();
        }
        let recent = self.recent.get(&fact.key).cloned().unwrap_or_default();
        let survivals = recent.into_iter().map(|survival| Sighting {
            learned: now,
            ..survival
        });
        let mut facts = KeyFacts {
            class: fact.class,
            ends: vec![sighting],
            survivals: Vec::new(),
        };
        for survival in survivals {
            facts.add(RunFate::Survived, survival);
        }
        self.facts.insert(fact.key, facts);
        true
    }

    /// Makes room for another piece: the one with the fewest ends goes, of these the one with the oldest.
    fn forget_weakest(&mut self) {
        let weakest = self.facts.iter().min_by_key(|(key, facts)| {
            let last = facts.ends.iter().map(|end| end.at).max();
            (facts.ends.len(), last, **key)
        });
        if let Some(key) = weakest.map(|(key, _)| *key) {
            self.facts.remove(&key);
        }
    }

    /// Number of processes that have ended under a piece.
    pub fn ends_of(&self, key: ContentKey) -> usize {
        self.facts
            .get(&key)
            .map_or(0, |facts| facts.end_servers().len())
    }

    /// Whether the survivals that this node knows outweigh a number of ends.
    pub fn contradicts(&self, key: ContentKey, ends: usize, now: Timestamp) -> bool {
        let known = self.facts.get(&key).map_or(0, KeyFacts::survival_count);
        let survivals = known.max(self.recent_survivals(key, now));
        survivals > 0 && ends < MIN_ENDS * (survivals + 1)
    }

    /// Pieces that are accused. `history` tells what was decided on a piece before.
    pub fn accused(&self, history: impl Fn(ContentKey) -> PieceHistory) -> Vec<ContentKey> {
        let mut harmful = Vec::new();
        for (key, facts) in &self.facts {
            let history = history(*key);
            let (min_ends, min_sources) = match history {
                PieceHistory::Blocked | PieceHistory::Unknown => (MIN_ENDS, MIN_SOURCES),
                PieceHistory::FormerlyBlocked => (1, 1),
            };
            if facts.is_harmful(min_ends) && facts.source_count() >= min_sources {
                harmful.push((*key, facts.class, facts.end_servers(), history));
            }
        }
        let accused = harmful.iter().filter(|(key, class, ends, _)| {
            let is_explained = harmful.iter().any(|(other, _, other_ends, history)| {
                other != key
                    && other_ends.is_superset(ends)
                    && (other_ends.len() > ends.len() || *history == PieceHistory::Blocked)
            });
            self.has_contrast(*class) && !is_explained
        });
        accused.map(|(key, ..)| *key).collect()
    }

    fn has_contrast(&self, class: ContentKey) -> bool {
        self.recent
            .get(&class)
            .is_some_and(|recent| recent.len() >= MIN_CONTRAST)
    }

    /// Forgets all facts about a piece.
    pub fn forget(&mut self, key: ContentKey) {
        self.facts.remove(&key);
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Timestamp) {
        self.facts.retain(|_, facts| {
            facts.ends.retain(|end| now.since(end.at) < END_WINDOW);
            !facts.ends.is_empty()
        });
    }

    /// Number of pieces that were at an end.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether no piece was at an end.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Facts for the peers: those about the pieces with most ends first. A relay passes on those of others too.
    pub fn announced(&self, is_relay: bool, now: Timestamp) -> Vec<CrashFact> {
        let mut announced = Vec::new();
        for (key, facts) in &self.facts {
            let fates = [
                (RunFate::Ended, &facts.ends),
                (RunFate::Survived, &facts.survivals),
            ];
            for (fate, sightings) in fates {
                let sightings = sightings.iter().filter(|sighting| {
                    (is_relay || sighting.is_own) && now.since(sighting.learned) < ANNOUNCE_TIME
                });
                announced.extend(sightings.map(|sighting| {
                    let fact = CrashFact {
                        key: *key,
                        class: facts.class,
                        server: sighting.server,
                        source: sighting.source,
                        fate,
                        age: now.since(sighting.at),
                    };
                    (facts.ends.len(), fact)
                }));
            }
        }
        announced.sort_by_key(|(ends, fact)| (std::cmp::Reverse(*ends), fact.age, fact.key));
        announced.truncate(MAX_ANNOUNCED);
        announced.into_iter().map(|(_, fact)| fact).collect()
    }
}
