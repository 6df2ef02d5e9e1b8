//! What a node tells its peers of the evidence about content.

use std::cmp::Reverse;

use jaysaddle_fleet::crash_report::CrashFact;
use jaysaddle_fleet::crash_report::RunFate;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::MIN_ENDS;
use crate::crash_evidence::PeerRole;
use crate::key_facts::KeyFacts;
use crate::key_facts::Sighting;

/// Age up to which a survival answers a peer that tells of an end.
const ANSWER_TIME: TimeSpan = TimeSpan::from_secs(3);
/// Time for which a fact is announced: two heartbeats or three, because one may be lost.
const ANNOUNCE_TIME: TimeSpan = TimeSpan(500);
/// The same for the first end of a whole request, of which there may be more than a heartbeat holds.
const FIRST_END_ANNOUNCE_TIME: TimeSpan = TimeSpan(1000);
/// Interval of heartbeats, after which the next facts have their turn.
const ANNOUNCE_INTERVAL: TimeSpan = TimeSpan(200);
/// Maximum number of facts in a heartbeat, so that it fits into one packet. If there are more, a quarter of the room is for parts
/// at a single end: long prompts have many, all but one are sound, and each is a question that peers answer.
const MAX_ANNOUNCED: usize = 8;
/// The same in that of a relay, which goes with a digest.
const MAX_QUESTIONS: usize = 32;

impl CrashEvidence {
    /// Facts for the peers: those about the pieces with most ends first. First ends of whole requests take turns in what room
    /// is left, because there may be many of them, most of them about sound requests.
    pub fn announced(&self, role: PeerRole, now: Timestamp) -> Vec<CrashFact> {
        let mut announced = Vec::new();
        let mut first_ends = Vec::new();
        for (key, facts) in &self.facts {
            if now.since(facts.changed.max(facts.questioned)) >= FIRST_END_ANNOUNCE_TIME {
                continue;
            }
            let count = facts.ends.len();
            let fact = |fate: RunFate, sighting: &Sighting| CrashFact {
                key: *key,
                scope: facts.scope,
                class: facts.class,
                server: sighting.server,
                source: sighting.source,
                fate,
                was_over: sighting.was_over,
                age: now.since(sighting.at),
            };
            let is_first = facts.scope.is_repeated() && count < MIN_ENDS;
            let time = if is_first {
                FIRST_END_ANNOUNCE_TIME
            } else {
                ANNOUNCE_TIME
            };
            let is_recent = |sighting: &&Sighting| now.since(sighting.learned) < time;
            let mut recent = facts.ends.iter().filter(is_recent);
            if role == PeerRole::Relay {
                // One end is a question that nodes answer with their survivals.
                let question = recent.next().filter(|_| self.is_harmful(*key));
                announced.extend(question.map(|end| (count, fact(RunFate::Ended, end))));
                continue;
            }
            let own = recent.filter(|end| end.is_own);
            let own = own.map(|end| (count, fact(RunFate::Ended, end)));
            if is_first {
                first_ends.extend(own);
            } else {
                announced.extend(own);
            }
            let answer = self.answer(facts, role, now);
            announced.extend(answer.map(|one| (count, fact(RunFate::Survived, one))));
        }
        let by_importance = |(ends, fact): &(usize, CrashFact)| {
            // Survivals first: they end a question.
            (Reverse(fact.fate), Reverse(*ends), fact.age, fact.key)
        };
        // Sound parts that all prompts share may be at more ends than the guilty one, as far as this node knows. Those that were
        // survived before are the least likely reason.
        announced.sort_by_cached_key(|one: &(usize, CrashFact)| {
            let (fate, ends, age, key) = by_importance(one);
            (fate, self.has_survived(one.1.key), ends, age, key)
        });
        let mut limit = match role {
            PeerRole::Relay => MAX_QUESTIONS,
            PeerRole::Direct | PeerRole::Follower => MAX_ANNOUNCED,
        };
        let turn = (now.0 / ANNOUNCE_INTERVAL.0) as usize;
        if announced.len() > limit {
            // Nothing tells which of the parts at a single end is the reason, so they take turns.
            let is_strong = |one: &&(usize, CrashFact)| {
                let (ends, fact) = one;
                fact.fate == RunFate::Survived || *ends >= MIN_ENDS || !self.has_survived(fact.key)
            };
            let strong = announced.iter().take_while(is_strong).count().min(limit);
            limit = strong.max(limit / 4);
            if strong < limit {
                let rest = &mut announced[strong..];
                let first = turn.wrapping_mul(limit - strong) % rest.len();
                rest.rotate_left(first);
            }
            announced.truncate(limit);
        }
        let room = limit - announced.len();
        if first_ends.len() > room {
            first_ends.sort_by_key(by_importance);
            let first = turn.wrapping_mul(room) % first_ends.len();
            first_ends.rotate_left(first);
        }
        announced.extend(first_ends.into_iter().take(room));
        announced.into_iter().map(|(_, fact)| fact).collect()
    }

    /// The survival with which this node answers a peer that tells of an end.
    fn answer<'a>(
        &self,
        facts: &'a KeyFacts,
        role: PeerRole,
        now: Timestamp,
    ) -> Option<&'a Sighting> {
        let is_asked = now.since(facts.questioned) < ANNOUNCE_TIME;
        let mut ends = facts.ends.iter();
        // The peers weigh an end that this node announces without what else it knows.
        let is_announcing = facts.scope.is_repeated()
            && ends.any(|end| end.is_own && now.since(end.learned) < ANNOUNCE_TIME);
        if !(is_asked || is_announcing) || role != PeerRole::Follower && facts.ends.len() < MIN_ENDS
        {
            return None;
        }
        let own = facts.survivals.iter().filter(|one| one.is_own);
        let latest = own.max_by_key(|one| one.at)?;
        // The earlier ends do not count then, however long ago the survival was.
        let is_between_ends = || facts.ends.iter().any(|end| end.at <= latest.at);
        (now.since(latest.at) < ANSWER_TIME || is_between_ends()).then_some(latest)
    }
}
