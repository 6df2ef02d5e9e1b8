//! Evidence that a piece of content ends the backend servers that begin to answer requests with it.
//!
//! Each end of a process accuses all pieces that were there, most of them falsely: those that many requests share are at the scene
//! of every end. Three facts tell them apart.
//!
//! - A process that goes on after it has begun to answer clears all pieces of that request.
//! - A guilty piece is there in independent requests, at ends at different times. Ends at the same time have a common cause.
//! - Of the pieces that were at the same ends, the guilty one is at most of them, and has survived none.
//!
//! All this is weighed against how often requests of the class (model or service) meet the end of their backend server, whatever
//! their content is: while many servers are lost, a sound piece is at several ends by chance. If nothing of a class survives, none
//! of its pieces is accused.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;

use jaysaddle_fleet::crash_report::CrashFact;
use jaysaddle_fleet::crash_report::PieceScope;
use jaysaddle_fleet::crash_report::RunFate;
use jaysaddle_types::content::ContentKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::content_weighing::ContentWeighing;
use crate::content_weighing::WeighingResult;
use crate::end_rates::EndRates;
use crate::key_facts::KeyFacts;
use crate::key_facts::SAME_TIME;
use crate::key_facts::SURVIVAL_LOOKBACK;
use crate::key_facts::Sighting;
use crate::key_facts::distinct_times;
use crate::repeat_evidence::EndOverview;
use crate::repeat_evidence::KnownPiece;
use crate::repeat_evidence::MIN_ENDS_AFTER_ANSWERS;
use crate::repeat_evidence::OwnEnds;

/// Time for which an end counts against a part of prompts, and against a whole request, which may come again much later.
const PART_END_WINDOW: TimeSpan = TimeSpan::from_secs(600);
const WHOLE_END_WINDOW: TimeSpan = TimeSpan::from_secs(24 * 3600);
/// Ends from which a piece is accused that no process has survived.
pub(crate) const MIN_ENDS: usize = 2;
/// Independent requests that must have been at these ends.
const MIN_SOURCES: usize = 2;
/// Natural logarithm of the odds against chance from which a piece is accused.
const MIN_WEIGHT: f64 = 6.0;
/// Ends, and independent requests there, from which a piece is accused that was at most ends of all since its first one,
/// whatever the odds: it may have ended so many servers that nothing survives.
const MIN_DOMINANT_ENDS: usize = 3;
/// Part of these ends, in percent.
const DOMINANT_PERCENT: usize = 75;
/// Odds against chance for a piece that was blocked before, as [`MIN_WEIGHT`].
const MIN_FORMER_WEIGHT: f64 = 2.0;
/// The same if relays pass on what nodes know.
const RELAYED_SAME_TIME: TimeSpan = TimeSpan(300);
/// Recent survivals from which a node does not accuse a piece in the first place.
const CLEARING_SURVIVALS: usize = 2;
/// Survivals that are remembered of a piece that is not accused.
const MAX_RECENT: usize = 4;
/// Maximum number of pieces whose survivals are remembered, and of pieces that were at an end. The head of a request holds about
/// 1,000 parts, and an end of a backend server with 16 such requests fits.
const MAX_RECENT_KEYS: usize = 16_384;
const MAX_PARTS: usize = 16_384;
/// The same of whole requests and paths, of which each request has one.
const MAX_REPEATED: usize = 1024;
/// Maximum number of pieces that are accused at once. Pieces beyond it were at no more ends than these, so a block of these
/// refuses the requests that were there.
const MAX_ACCUSED: usize = 64;
/// Time for which a release is remembered; peers announce older ends for less.
const CLEARED_RETENTION: TimeSpan = TimeSpan::from_secs(10);

/// How a node learns from its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerRole {
    /// All nodes hear each other, and each decides.
    Direct,
    /// The node hears all others, decides, and asks them what speaks against it.
    Relay,
    /// The node answers the relays and follows their decisions.
    Follower,
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

impl PieceHistory {
    /// Ends from which a piece is accused that no process has survived.
    pub(crate) fn min_ends(self) -> usize {
        match self {
            PieceHistory::Unknown | PieceHistory::Blocked => MIN_ENDS,
            PieceHistory::FormerlyBlocked => 1,
        }
    }

    /// Independent requests that must have been at these ends.
    fn min_sources(self) -> usize {
        match self {
            PieceHistory::Unknown | PieceHistory::Blocked => MIN_SOURCES,
            PieceHistory::FormerlyBlocked => 1,
        }
    }

    /// Natural logarithm of the odds against chance from which a piece is accused.
    fn min_weight(self) -> f64 {
        match self {
            PieceHistory::Unknown | PieceHistory::Blocked => MIN_WEIGHT,
            PieceHistory::FormerlyBlocked => MIN_FORMER_WEIGHT,
        }
    }
}

/// A piece that may be accused.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    key: ContentKey,
    facts: &'a KeyFacts,
    history: PieceHistory,
    /// Number of different times of its ends.
    ends: usize,
}

/// Evidence about all pieces of content.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    pub(crate) facts: HashMap<ContentKey, KeyFacts>,
    /// Number of whole requests and paths among them.
    repeated: usize,
    /// This node's latest survivals of each piece.
    recent: HashMap<ContentKey, Vec<Sighting>>,
    rates: EndRates,
    own_ends: OwnEnds,
}

/// Order in which pieces are forgotten: the number of their ends, the time of the last one, and their key.
type PieceStrength = (usize, Option<Timestamp>, ContentKey);

fn strength_of(key: ContentKey, facts: &KeyFacts) -> PieceStrength {
    let last = facts.ends.iter().map(|end| end.at).max();
    (facts.ends.len(), last, key)
}

/// Time for which an end counts.
fn end_window(scope: PieceScope) -> TimeSpan {
    if scope.is_repeated() {
        WHOLE_END_WINDOW
    } else {
        PART_END_WINDOW
    }
}

/// Whether one of `repetitions`, requests that were at several ends, was at all ends of a part that others share. Such a request was
/// sent there again or sent on, which meets an end by chance far less often than a part that many requests hold.
fn is_under_repetition(
    one: &Candidate<'_>,
    repetitions: &[&KeyFacts],
    same_time: TimeSpan,
) -> bool {
    let mut likelier = repetitions
        .iter()
        .filter(|facts| facts.end_count(same_time) >= one.ends);
    !one.facts.scope.is_repeated()
        && one.history != PieceHistory::FormerlyBlocked
        && likelier.any(|facts| one.facts.is_covered_by(facts))
}

impl CrashEvidence {
    /// Records the end of a process, whatever requests were there. `class` is that of one of them.
    pub fn record_process_end(&mut self, server: u32, class: ContentKey, now: Timestamp) {
        self.own_ends.record(server, class, now);
    }

    /// Whether a piece was at an end before.
    pub fn is_known(&self, key: ContentKey) -> bool {
        self.facts.contains_key(&key)
    }

    /// Whether this node has seen a process end.
    pub fn has_ended(&self, server: u32) -> bool {
        self.own_ends.contains(server)
    }

    /// Whether a whole request may be the reason why a process has ended.
    pub fn is_suspect(&self, key: ContentKey, is_blocked: impl Fn(ContentKey) -> bool) -> bool {
        let facts = self.facts.get(&key);
        facts.is_some_and(|facts| {
            self.end_overview(SAME_TIME, is_blocked)
                .is_suspect(key, facts)
        })
    }

    fn end_overview(
        &self,
        same_time: TimeSpan,
        is_blocked: impl Fn(ContentKey) -> bool,
    ) -> EndOverview {
        let pieces = self.facts.iter().map(|(key, facts)| KnownPiece {
            key: *key,
            facts,
            is_blocked: is_blocked(*key),
        });
        let pieces: Vec<KnownPiece<'_>> = pieces.collect();
        EndOverview::of(&self.own_ends, &pieces, same_time)
    }

    /// Counts a request whose backend server has ended, or has survived it.
    pub fn record_fate(&mut self, class: ContentKey, fate: RunFate, now: Timestamp) {
        self.rates.record(class, fate == RunFate::Ended, now);
    }

    /// Records that a process has gone on after it had begun to answer a request, or had answered it at `at`. Returns whether
    /// that speaks for a piece that was at an end.
    pub fn record_survival(
        &mut self,
        key: ContentKey,
        server: u32,
        source: u32,
        at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let sighting = Sighting {
            server,
            source,
            at,
            learned: now,
            was_over: true,
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
    pub fn record_end(&mut self, fact: CrashFact, now: Timestamp) -> bool {
        self.recent_survivals(fact.key, now) < CLEARING_SURVIVALS && self.add(fact, true, now)
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
        let is_new = fact.age < end_window(fact.scope) && self.add(fact, false, now);
        if fact.fate == RunFate::Ended
            && let Some(facts) = self.facts.get_mut(&fact.key)
        {
            facts.questioned = now;
        }
        is_new
    }

    fn add(&mut self, fact: CrashFact, is_own: bool, now: Timestamp) -> bool {
        let sighting = Sighting {
            server: fact.server,
            source: fact.source,
            at: now - fact.age,
            learned: now,
            was_over: fact.was_over,
            is_own,
        };
        if let Some(facts) = self.facts.get_mut(&fact.key) {
            return facts.add(fact.fate, sighting);
        }
        if fact.fate == RunFate::Survived {
            return false;
        }
        self.make_room(fact.scope);
        let recent = self.recent.get(&fact.key).cloned().unwrap_or_default();
        let survivals = recent.into_iter().map(|survival| Sighting {
            learned: now,
            ..survival
        });
        let mut facts = KeyFacts {
            class: fact.class,
            scope: fact.scope,
            ends: vec![sighting],
            survivals: Vec::new(),
            cleared: Timestamp(0),
            changed: now,
            questioned: Timestamp(0),
        };
        for survival in survivals {
            facts.add(RunFate::Survived, survival);
        }
        self.repeated += usize::from(fact.scope.is_repeated());
        self.facts.insert(fact.key, facts);
        true
    }

    /// Makes room for further parts, or for further requests and paths, so that neither push out the others. A quarter goes: the
    /// pieces with the fewest ends, of these the oldest.
    fn make_room(&mut self, scope: PieceScope) {
        let is_repeated = scope.is_repeated();
        let (limit, count) = match is_repeated {
            true => (MAX_REPEATED, self.repeated),
            false => (MAX_PARTS, self.facts.len() - self.repeated),
        };
        if count < limit {
            return;
        }
        let mut strengths: Vec<PieceStrength> = self
            .facts
            .iter()
            .filter(|(_, facts)| facts.scope.is_repeated() == is_repeated)
            .map(|(key, facts)| strength_of(*key, facts))
            .collect();
        let quarter = strengths.len() / 4;
        let (_, weakest_kept, _) = strengths.select_nth_unstable(quarter);
        let weakest_kept = *weakest_kept;
        self.facts.retain(|key, facts| {
            facts.scope.is_repeated() != is_repeated || strength_of(*key, facts) >= weakest_kept
        });
        self.count_repeated();
    }

    fn count_repeated(&mut self) {
        let scopes = self.facts.values().map(|facts| facts.scope);
        self.repeated = scopes.filter(|scope| scope.is_repeated()).count();
    }

    /// Whether the known ends of a piece outweigh its survivals.
    pub fn is_harmful(&self, key: ContentKey) -> bool {
        let facts = self.facts.get(&key);
        facts.is_some_and(|facts| {
            facts.ends.len() >= MIN_ENDS && facts.is_harmful(MIN_ENDS, SAME_TIME)
        })
    }

    /// Number of times at which processes have ended under a piece.
    pub fn ends_of(&self, key: ContentKey) -> usize {
        self.facts
            .get(&key)
            .map_or(0, |facts| facts.end_count(SAME_TIME))
    }

    /// Whether this node knows of a survival that is too recent for the piece to be harmful.
    pub fn contradicts(&self, key: ContentKey, now: Timestamp) -> bool {
        let known = self.facts.get(&key).is_some_and(|facts| {
            let mut survivals = facts.survivals.iter();
            survivals.any(|survival| now.since(survival.at) < SURVIVAL_LOOKBACK)
                || facts.is_cleared_between_ends()
        });
        known || self.recent_survivals(key, now) > 0
    }

    /// Whether this node knows something that speaks against the ends that peers tell of.
    pub fn has_answer(&self, key: ContentKey, now: Timestamp) -> bool {
        let facts = self.facts.get(&key);
        facts.is_some_and(|facts| {
            let has_survived = || self.recent_survivals(key, now) > 0;
            facts.ends.len() >= MIN_ENDS && (has_survived() || facts.is_cleared_between_ends())
        })
    }

    /// Weighs the pieces that were at several ends. `history` tells what was decided on a piece before.
    pub fn weigh_all(
        &self,
        role: PeerRole,
        history: impl Fn(ContentKey) -> PieceHistory,
        now: Timestamp,
    ) -> Vec<ContentWeighing> {
        let same_time = match role {
            PeerRole::Direct => SAME_TIME,
            PeerRole::Relay => RELAYED_SAME_TIME,
            PeerRole::Follower => return Vec::new(),
        };
        let candidates: Vec<Candidate<'_>> = self
            .facts
            .iter()
            .map(|(key, facts)| Candidate {
                key: *key,
                facts,
                history: history(*key),
                ends: 0,
            })
            .filter(|candidate| candidate.facts.ends.len() >= candidate.history.min_ends())
            .collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        let all_ends = self.end_times(same_time);
        let mut harmful: Vec<Candidate<'_>> = Vec::new();
        let mut weighings: Vec<ContentWeighing> = Vec::new();
        let overview = self.end_overview(same_time, |key| history(key) == PieceHistory::Blocked);
        for candidate in candidates {
            let Candidate { facts, history, .. } = candidate;
            let weighing = if facts.scope.is_repeated() {
                overview.weigh(candidate.key, facts, history, now)
            } else {
                self.weigh(candidate, &overview, &all_ends, same_time, now)
            };
            if weighing.result == WeighingResult::Accused {
                harmful.push(Candidate {
                    ends: weighing.ends,
                    ..candidate
                });
            }
            weighings.push(weighing);
        }
        if harmful.len() > MAX_ACCUSED {
            harmful.sort_by_key(|one| {
                let was_survived = self.has_survived(one.key);
                (Reverse(one.ends), was_survived, one.key)
            });
            let surplus: HashSet<ContentKey> =
                harmful.drain(MAX_ACCUSED..).map(|one| one.key).collect();
            for weighing in &mut weighings {
                if surplus.contains(&weighing.key) {
                    weighing.result = WeighingResult::Explained;
                }
            }
        }
        let repetitions = self.facts.values().filter(|facts| {
            facts.scope == PieceScope::Request && facts.is_harmful(MIN_ENDS, same_time)
        });
        let repetitions: Vec<&KeyFacts> = repetitions.collect();
        for one in &harmful {
            let mut others = harmful.iter().filter(|other| other.key != one.key);
            let is_explained = others.any(|other| self.explains(other, one))
                || is_under_repetition(one, &repetitions, same_time);
            if is_explained
                && let Some(weighing) = weighings.iter_mut().find(|other| other.key == one.key)
            {
                weighing.result = WeighingResult::Explained;
            }
        }
        weighings
    }

    /// Weighs a part of prompts against chance.
    fn weigh(
        &self,
        candidate: Candidate<'_>,
        overview: &EndOverview,
        all_ends: &[Timestamp],
        same_time: TimeSpan,
        now: Timestamp,
    ) -> ContentWeighing {
        let Candidate { facts, history, .. } = candidate;
        let (all_lone, excused) = overview.lone_ends(candidate.key, facts);
        let survivals = facts.survival_count();
        let begun = all_lone.iter().copied().filter(|end| !end.was_over);
        let begun: Vec<&Sighting> = begun.collect();
        // Ends after whole answers are weaker evidence, of which more is needed.
        let lone_times = |ends: &[&Sighting]| {
            distinct_times(ends.iter().map(|end| end.at).collect(), same_time).len()
        };
        let has_enough_over = lone_times(&all_lone) >= MIN_ENDS_AFTER_ANSWERS * (survivals + 1);
        let lone_ends = if has_enough_over { all_lone } else { begun };
        let sources: HashSet<u32> = lone_ends.iter().map(|end| end.source).collect();
        let sources = sources.len();
        let chance = self.rates.probability(facts.class, now);
        let weight = -chance.ln() * sources as f64;
        let ends = lone_times(&lone_ends);
        let is_dominant = ends.min(sources) >= MIN_DOMINANT_ENDS
            && ends * 100 >= facts.ends_since_first(all_ends) * DOMINANT_PERCENT;
        let result = if !self.rates.has_contrast(facts.class, now) {
            WeighingResult::NoContrast
        } else if ends < history.min_ends() * (survivals + 1) {
            excused.result().unwrap_or(WeighingResult::Survived)
        } else if sources < history.min_sources() {
            WeighingResult::FewSources
        } else if weight < history.min_weight() && !is_dominant {
            WeighingResult::Unweighty
        } else {
            WeighingResult::Accused
        };
        ContentWeighing {
            key: candidate.key,
            ends,
            excused,
            sources,
            survivals,
            weight,
            result,
        }
    }

    /// Whether a piece that was at all ends of another one is the likelier reason for them.
    fn explains(&self, other: &Candidate<'_>, one: &Candidate<'_>) -> bool {
        let is_newer = || self.has_survived(one.key) && !self.has_survived(other.key);
        let is_likelier = other.ends > one.ends
            || other.history == PieceHistory::Blocked
            || other.ends == one.ends && is_newer();
        is_likelier && one.facts.is_covered_by(other.facts)
    }

    /// Different times of all known ends, in order.
    fn end_times(&self, same_time: TimeSpan) -> Vec<Timestamp> {
        let ends = self.facts.values().flat_map(|facts| &facts.ends);
        distinct_times(ends.map(|end| end.at).collect(), same_time)
    }

    /// Whether this node knows of any survival of a piece, however long ago.
    pub(crate) fn has_survived(&self, key: ContentKey) -> bool {
        let facts = self.facts.get(&key);
        self.recent.contains_key(&key) || facts.is_some_and(|facts| !facts.survivals.is_empty())
    }

    /// Drops the ends of a piece that was released, also those that peers still announce.
    pub fn clear(&mut self, key: ContentKey, now: Timestamp) {
        if let Some(facts) = self.facts.get_mut(&key) {
            facts.ends.clear();
            facts.cleared = now;
        }
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Timestamp) {
        self.facts.retain(|_, facts| {
            let window = end_window(facts.scope);
            facts.ends.retain(|end| now.since(end.at) < window);
            !facts.ends.is_empty() || now.since(facts.cleared) < CLEARED_RETENTION
        });
        self.count_repeated();
    }

    /// Number of pieces that were at an end.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether no piece was at an end.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }
}
