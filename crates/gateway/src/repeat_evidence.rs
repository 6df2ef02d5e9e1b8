//! Evidence against a whole request that its callers send again and again.
//!
//! Unlike a part of a prompt, a whole request is rarely shared, so a few ends suffice and no other traffic is needed to compare
//! with. Two causes of ends have to be told apart from it: a common cause, which ends other processes at the same time, and chance,
//! which meets a request twice only if it was sent again after the first end.
//!
//! Callers may state other prompt parts, counts or queries when they repeat a request, so its path, client account and body are
//! weighed too. Sound requests may share these. They are accused only if several requests that differ otherwise have ended
//! processes, none of them explains the ends by itself, and nothing with them was survived in between.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use jaysaddle_fleet::crash_report::PieceScope;
use jaysaddle_types::content::ContentKey;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::content::short_number;
use crate::content_weighing::ContentWeighing;
use crate::content_weighing::ExcusedEnds;
use crate::content_weighing::WeighingResult;
use crate::crash_evidence::PieceHistory;
use crate::key_facts::KeyFacts;
use crate::key_facts::SAME_TIME;
use crate::key_facts::Sighting;
use crate::key_facts::distinct_times;

/// Ends of processes within this time may have a common cause, such as the loss of a rack or a failure domain.
const COMMON_CAUSE_TIME: TimeSpan = TimeSpan(500);
/// Ends from which a request is accused although they were under one request id, or others of its class are lost too.
const MIN_DOUBTFUL_ENDS: usize = 3;
/// The same if some of the ends came after the whole answer, or after a withdrawal.
pub(crate) const MIN_ENDS_AFTER_ANSWERS: usize = 4;
/// Independent attempts with the same content from which fewer ends suffice.
const MIN_ATTEMPTS: usize = 2;
/// Different requests that must have been at the ends of a path. Two ends of a request that is about to be accused itself and
/// one loss are no evidence against the others on its path.
const MIN_PATH_REQUESTS: usize = 3;
/// Time within which a node sends a request on after its backend server has ended.
const SENT_ON_TIME: TimeSpan = TimeSpan(1000);
/// Time for which the unexplained end of another process makes further ends likely.
const LOSS_TIME: TimeSpan = TimeSpan::from_secs(60);
/// Ends of one piece that explain themselves, so that they are no common cause of other ends.
const MIN_EXPLAINED_ENDS: usize = 3;
/// Maximum number of own ends that are remembered.
const MAX_OWN_ENDS: usize = 512;

/// End of a process.
#[derive(Clone, Copy, Debug)]
struct ProcessEnd {
    server: u32,
    class: ContentKey,
    at: Timestamp,
}

/// Ends of processes that this node has seen itself, whether requests were under suspicion there or not.
#[derive(Debug, Default)]
pub(crate) struct OwnEnds(VecDeque<ProcessEnd>);

impl OwnEnds {
    pub fn record(&mut self, server: u32, class: ContentKey, at: Timestamp) {
        if self.0.len() >= MAX_OWN_ENDS {
            self.0.pop_front();
        }
        self.0.push_back(ProcessEnd { server, class, at });
    }

    /// Whether a process has ended.
    pub fn contains(&self, server: u32) -> bool {
        self.0.iter().any(|end| end.server == server)
    }
}

/// A piece of content, what is known of it, and whether it is blocked.
#[derive(Clone, Copy)]
pub(crate) struct KnownPiece<'a> {
    pub key: ContentKey,
    pub facts: &'a KeyFacts,
    pub is_blocked: bool,
}

impl KnownPiece<'_> {
    /// Whether the piece is the reason for its ends, as far as known.
    fn explains_ends(&self, same_time: TimeSpan) -> bool {
        // Ends under a path are those of its requests, and must not excuse the one that has caused them.
        self.is_blocked
            || self.facts.scope != PieceScope::Path
                && self.facts.ends.len() >= MIN_EXPLAINED_ENDS
                && self.facts.is_harmful(MIN_EXPLAINED_ENDS, same_time)
    }
}

/// A piece of content that may be the reason for its ends.
#[derive(Debug)]
struct EndReason {
    key: ContentKey,
    is_blocked: bool,
    /// Whether it is a request whose caller has sent it again.
    is_repetition: bool,
    ends: Vec<Sighting>,
    survivals: usize,
}

/// How much evidence there is against a piece: the different times of its ends, against its survivals.
#[derive(Clone, Copy, Debug)]
struct EvidenceStrength {
    times: usize,
    survivals: usize,
}

impl EvidenceStrength {
    fn of<'a>(ends: impl Iterator<Item = &'a Sighting>, survivals: usize) -> Self {
        Self {
            times: distinct_times(ends.map(|end| end.at).collect(), SAME_TIME).len(),
            survivals,
        }
    }

    fn exceeds(self, other: Self) -> bool {
        self.times * (other.survivals + 1) > other.times * (self.survivals + 1)
    }
}

impl EndReason {
    fn new(piece: &KnownPiece<'_>) -> Self {
        Self {
            key: piece.key,
            is_blocked: piece.is_blocked,
            is_repetition: is_repetition(piece.facts),
            ends: piece.facts.counted_ends().copied().collect(),
            survivals: piece.facts.survival_count(),
        }
    }

    /// Whether the piece is the likelier reason for ends at which another one was too. Of two pieces at most one is, the stronger
    /// one, or the one that is blocked if they are equal.
    ///
    /// A part was at all ends of a request that holds it. Of such a pair, the part is judged by its ends at other processes.
    fn excuses(&self, key: ContentKey, facts: &KeyFacts) -> bool {
        let own_number = short_number(self.key);
        let holds_it = facts.ends.iter().any(|end| end.source == own_number);
        let is_holder = |request: u32| match facts.scope {
            PieceScope::Path => facts.ends.iter().any(|end| end.source == request),
            PieceScope::Request | PieceScope::Part => request == short_number(key),
        };
        // A single request on a path is accused itself.
        if facts.scope == PieceScope::Path && holds_it {
            return true;
        }
        let is_held = self.ends.iter().any(|end| is_holder(end.source));
        let is_shared = |end: &Sighting, others: &[Sighting]| {
            others.iter().any(|other| other.server == end.server)
        };
        let own = self.ends.iter();
        let own = own.filter(|end| !is_held || !is_shared(end, &facts.ends));
        let strength = EvidenceStrength::of(own, self.survivals);
        let other = facts.counted_ends();
        let other = other.filter(|end| !holds_it || !is_shared(end, &self.ends));
        let other = EvidenceStrength::of(other, facts.survival_count());
        // A request that its node has sent on has the ends of a part that it holds by that part's doing.
        let is_likelier = strength.exceeds(other) && (!holds_it || self.is_repetition);
        is_likelier || self.is_blocked && !other.exceeds(strength)
    }
}

/// Ends of processes, and which of them a piece of content explains.
#[derive(Debug)]
pub(crate) struct EndOverview {
    /// Pieces that may explain ends, and their positions by the processes that have ended.
    reasons: Vec<EndReason>,
    reasons_by_end: HashMap<u32, Vec<usize>>,
    unexplained: Vec<ProcessEnd>,
    /// Times and processes of these ends, in order.
    unexplained_times: Vec<(Timestamp, u32)>,
    /// Requests that were at several ends, by the processes that have ended.
    repetitions: HashMap<u32, Vec<u32>>,
    /// Ends that are no further apart are at the same time.
    same_time: TimeSpan,
}

/// Whether a whole request was at several ends because its caller has sent it again, rather than because a node has sent it on.
fn is_repetition(facts: &KeyFacts) -> bool {
    let mut ends = facts.ends.iter();
    facts.scope == PieceScope::Request
        && ends.next().is_some_and(|first| {
            ends.any(|end| {
                let difference = first.at.since(end.at).max(end.at.since(first.at));
                end.source != first.source || difference >= SENT_ON_TIME
            })
        })
}

/// Whether processes have ended at the same time under different requests with a piece that sound requests may share.
fn is_shared_loss(facts: &KeyFacts, end: &Sighting, same_time: TimeSpan) -> bool {
    facts.scope == PieceScope::Path
        && facts.ends.iter().any(|other| {
            let difference = other.at.since(end.at).max(end.at.since(other.at));
            other.server != end.server && other.source != end.source && difference < same_time
        })
}

impl EndOverview {
    /// Collects the ends that are known.
    pub fn of(own: &OwnEnds, pieces: &[KnownPiece<'_>], same_time: TimeSpan) -> Self {
        let explaining = pieces.iter().filter(|piece| piece.explains_ends(same_time));
        let mut reasons = Vec::new();
        let mut reasons_by_end: HashMap<u32, Vec<usize>> = HashMap::new();
        for piece in explaining {
            for end in &piece.facts.ends {
                let reasons_there = reasons_by_end.entry(end.server).or_default();
                reasons_there.push(reasons.len());
            }
            reasons.push(EndReason::new(piece));
        }
        let reported = pieces.iter().flat_map(|piece| {
            let ends = piece.facts.ends.iter();
            ends.map(|end| ProcessEnd {
                server: end.server,
                class: piece.facts.class,
                at: end.at,
            })
        });
        let ends = own.0.iter().copied().chain(reported);
        let unexplained = ends.filter(|end| !reasons_by_end.contains_key(&end.server));
        let mut unexplained: Vec<ProcessEnd> = unexplained.collect();
        // A process ends once, whatever pieces were there.
        unexplained.sort_unstable_by_key(|end| (end.server, end.class, end.at));
        unexplained.dedup_by_key(|end| (end.server, end.class));
        let times = unexplained.iter().map(|end| (end.at, end.server));
        let mut unexplained_times: Vec<(Timestamp, u32)> = times.collect();
        unexplained_times.sort_unstable();
        let mut repetitions: HashMap<u32, Vec<u32>> = HashMap::new();
        for piece in pieces.iter().filter(|piece| is_repetition(piece.facts)) {
            for end in &piece.facts.ends {
                let request = short_number(piece.key);
                repetitions.entry(end.server).or_default().push(request);
            }
        }
        Self {
            repetitions,
            unexplained,
            unexplained_times,
            reasons,
            reasons_by_end,
            same_time,
        }
    }

    /// Whether a piece is the likelier reason for an end than another one that was there, as `excuses` remembers.
    fn has_other_reason(
        &self,
        key: ContentKey,
        facts: &KeyFacts,
        end: &Sighting,
        excuses: &mut HashMap<usize, bool>,
    ) -> bool {
        let positions = self.reasons_by_end.get(&end.server);
        let mut positions = positions.map_or(&[][..], Vec::as_slice).iter();
        positions.any(|position| {
            let reason = &self.reasons[*position];
            let is_other = reason.key != key;
            is_other
                && *excuses
                    .entry(*position)
                    .or_insert_with(|| reason.excuses(key, facts))
        })
    }

    /// Whether another process has ended at about the same time as one of the ends of a piece.
    fn has_common_cause(&self, facts: &KeyFacts, end: &Sighting) -> bool {
        let is_other_loss = |other: &ProcessEnd| {
            let difference = other.at.since(end.at).max(end.at.since(other.at));
            difference < COMMON_CAUSE_TIME
                && facts.ends.iter().all(|own| own.server != other.server)
        };
        self.unexplained.iter().any(is_other_loss) || is_shared_loss(facts, end, self.same_time)
    }

    /// Ends of a part that count, without those for which another piece is the likelier reason, and those at whose time another
    /// process has ended that the part was not at, as the servers of a lost rack.
    pub fn lone_ends<'a>(
        &self,
        key: ContentKey,
        facts: &'a KeyFacts,
    ) -> (Vec<&'a Sighting>, ExcusedEnds) {
        let is_elsewhere = |server: u32| facts.ends.iter().all(|own| own.server != server);
        let is_lone = |end: &&Sighting| {
            let from = end.at - SAME_TIME;
            let first = self
                .unexplained_times
                .partition_point(|(at, _)| *at <= from);
            let mut near = self.unexplained_times[first..]
                .iter()
                .take_while(|(at, _)| at.since(end.at) < SAME_TIME);
            !near.any(|(_, server)| is_elsewhere(*server))
        };
        let mut lone = Vec::new();
        let mut excused = ExcusedEnds::default();
        let mut excuses = HashMap::new();
        for end in facts.counted_ends() {
            if !is_lone(&end) {
                excused.common_cause += 1;
            } else if self.has_other_reason(key, facts, end, &mut excuses) {
                excused.explained += 1;
            } else {
                lone.push(end);
            }
        }
        (lone, excused)
    }

    /// Whether processes of the same class are lately lost without the piece.
    fn has_other_losses(&self, facts: &KeyFacts, now: Timestamp) -> bool {
        self.unexplained.iter().any(|other| {
            other.class == facts.class
                && now.since(other.at) < LOSS_TIME
                && facts.ends.iter().all(|own| own.server != other.server)
        })
    }

    /// Whether a single request on a path may be the reason for an end, which is then accused itself.
    fn is_under_repetition(&self, facts: &KeyFacts, end: &Sighting) -> bool {
        let repetitions = self.repetitions.get(&end.server);
        facts.scope == PieceScope::Path
            && repetitions.is_some_and(|requests| {
                let has_path = |request| facts.ends.iter().any(|one| one.source == request);
                requests.iter().copied().any(has_path)
            })
    }

    /// Ends of a piece that count and for which no other cause is known, and the number of the others.
    fn own_ends<'a>(
        &self,
        key: ContentKey,
        facts: &'a KeyFacts,
    ) -> (Vec<&'a Sighting>, ExcusedEnds) {
        let mut own = Vec::new();
        let mut excused = ExcusedEnds::default();
        let mut excuses = HashMap::new();
        for end in facts.counted_ends() {
            if self.has_common_cause(facts, end) {
                excused.common_cause += 1;
            } else if self.has_other_reason(key, facts, end, &mut excuses) {
                excused.explained += 1;
            } else if self.is_under_repetition(facts, end) {
                excused.repeated += 1;
            } else {
                own.push(end);
            }
        }
        (own, excused)
    }

    /// Whether a request may have ended a process, so that it should not reach another one at once.
    pub fn is_suspect(&self, key: ContentKey, facts: &KeyFacts) -> bool {
        let (own_ends, _) = self.own_ends(key, facts);
        facts.survival_count() == 0 && own_ends.iter().any(|end| !end.was_over)
    }

    /// Weighs the evidence against a whole request.
    pub fn weigh(
        &self,
        key: ContentKey,
        facts: &KeyFacts,
        history: PieceHistory,
        now: Timestamp,
    ) -> ContentWeighing {
        let (own_ends, excused) = self.own_ends(key, facts);
        let unanswered: Vec<&Sighting> = own_ends
            .iter()
            .copied()
            .filter(|end| !end.was_over)
            .collect();
        let attempts: HashSet<u32> = unanswered.iter().map(|end| end.source).collect();
        let ends = count_times(&own_ends);
        let survivals = facts.survival_count();
        let min_ends = history.min_ends() * (survivals + 1);
        let has_attempts = attempts.len() >= MIN_ATTEMPTS.min(min_ends);
        let is_formerly_blocked = history == PieceHistory::FormerlyBlocked;
        let is_alone = is_formerly_blocked || !self.has_other_losses(facts, now);
        let unanswered_ends = count_times(&unanswered);
        let is_clear = unanswered_ends >= min_ends && has_attempts && is_alone;
        // A node that sends a stream on may lose several servers under it at one time.
        let has_come_again = facts.scope == PieceScope::Path || is_repetition(facts);
        let has_enough_ends = has_come_again
            && (unanswered_ends >= MIN_DOUBTFUL_ENDS * (survivals + 1)
                || ends >= MIN_ENDS_AFTER_ANSWERS * (survivals + 1));
        let is_accused = match facts.scope {
            // A single request is accused itself.
            PieceScope::Path if !is_formerly_blocked => {
                let requests: HashSet<u32> = own_ends.iter().map(|end| end.source).collect();
                has_enough_ends && requests.len() >= MIN_PATH_REQUESTS
            }
            PieceScope::Path | PieceScope::Request | PieceScope::Part => {
                is_clear || has_enough_ends
            }
        };
        let result = if is_accused {
            WeighingResult::Accused
        } else if let Some(excuse) = excused.result() {
            excuse
        } else if ends < min_ends {
            WeighingResult::Survived
        } else if has_attempts {
            WeighingResult::Unweighty
        } else {
            WeighingResult::FewSources
        };
        ContentWeighing {
            key,
            ends,
            excused,
            sources: attempts.len(),
            survivals,
            weight: 0.0,
            result,
        }
    }
}

/// Number of different times of ends.
fn count_times(ends: &[&Sighting]) -> usize {
    let times = ends.iter().map(|end| end.at).collect();
    distinct_times(times, SAME_TIME).len()
}
