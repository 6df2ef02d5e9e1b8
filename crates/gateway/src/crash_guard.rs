//! Keeps requests that end backend servers from reaching more of them.
//!
//! A node joins what it sees at the ends of backend servers with what its peers have seen ([`CrashEvidence`]). A piece of content
//! that is accused is held at once, and blocked after the time in which peers can contradict ([`ContentBlocks`]).

use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use jaysaddle_fleet::crash_report::CrashFact;
use jaysaddle_fleet::crash_report::PeerBlock;
use jaysaddle_fleet::crash_report::PieceScope;
use jaysaddle_fleet::crash_report::RunFate;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::content::ContentKey;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::awake_clock::AwakeClock;
use crate::content::ContentItem;
use crate::content::ContentKind;
use crate::content::RequestContent;
use crate::content_blocks::ContentBlocks;
use crate::content_weighing::ContentWeighing;
use crate::content_weighing::WeighingResult;
use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::PeerRole;
use crate::end_watch::EndSign;
use crate::end_watch::EndWatch;
use crate::end_watch::WatchStep;
use crate::key_facts::MAX_SOURCES_PER_TIME;
use crate::server_runs::EndEvidence;
use crate::server_runs::ProcessEnd;
use crate::server_runs::RunAtEnd;
use crate::server_runs::RunEnd;
use crate::server_runs::RunNumber;
use crate::server_runs::ServerRuns;
use crate::server_runs::SurvivedRun;
use crate::target::ServerNumber;
use crate::target::ServerProcess;

/// Time in which peers can contradict, in a deployment in which all nodes send their heartbeats to each other.
const DIRECT_SETTLE_TIME: TimeSpan = TimeSpan(250);
/// The same where relays pass on what nodes know.
const RELAYED_SETTLE_TIME: TimeSpan = TimeSpan(500);

/// Time in which a part ends a process that has begun to write. A process that writes on is watched for longer, because data may be
/// under way.
const WRITING_TIME: TimeSpan = TimeSpan(250);

/// Maximum number of weighings of one decision that are logged, those with the most ends.
const MAX_LOGGED_WEIGHINGS: usize = 32;

/// Minimum time between two heartbeats outside the regular interval.
const URGENT_INTERVAL: TimeSpan = TimeSpan(100);

/// Why requests with a piece of content are not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentState {
    /// The piece is accused, and peers may still contradict.
    Held,
    /// The piece is blocked.
    Blocked,
}

impl fmt::Display for ContentState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            ContentState::Held => "content_held",
            ContentState::Blocked => "content_blocked",
        })
    }
}

/// Source of a decision on a piece of content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionSource {
    /// Ends of backend servers, as this node knows them.
    Evidence,
    /// Backend servers that have survived the content.
    Survival,
    /// What a peer has announced.
    Peer,
    /// The store, which operators write to.
    Store,
    /// The end of the block's time.
    Expiry,
}

impl fmt::Display for DecisionSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            DecisionSource::Evidence => "evidence",
            DecisionSource::Survival => "survival",
            DecisionSource::Peer => "peer",
            DecisionSource::Store => "store",
            DecisionSource::Expiry => "expiry",
        })
    }
}

/// A change of a piece's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockDecision {
    /// Piece that is decided on.
    pub key: ContentKey,
    /// New state; `None` if requests with it are sent again.
    pub state: Option<ContentState>,
    /// Number of processes that have ended under it, as far as known.
    pub ends: usize,
    /// Source of the decision.
    pub source: DecisionSource,
}

impl fmt::Display for BlockDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key={} state=", self.key)?;
        match self.state {
            Some(state) => state.fmt(f)?,
            None => f.write_str("released")?,
        }
        write!(f, " ends={} source={}", self.ends, self.source)
    }
}

/// Whether a process has answered a whole request and gone on for so long that none of the parts of its prompt is the reason for
/// the end. Parts end a process that begins to write.
fn has_outlived_parts(run: &RunAtEnd) -> bool {
    run.was_over && run.wrote_for.is_some_and(|time| time >= WRITING_TIME)
}

/// What this node knows of requests and the ends of backend servers.
#[derive(Debug, Default)]
pub struct CrashGuard {
    clock: AwakeClock,
    runs: ServerRuns,
    watch: EndWatch,
    evidence: CrashEvidence,
    blocks: ContentBlocks,
    /// Pieces that are accused, and since when.
    held: HashMap<ContentKey, Timestamp>,
    /// Whether peers that this node reaches directly should learn of evidence before the next regular heartbeat.
    has_urgent_facts: bool,
    /// The same for a decision, which concerns all peers.
    has_urgent_decision: bool,
    /// When peers were last told something urgent.
    last_urgent: Timestamp,
    /// Whether evidence has been added since the last decision.
    has_news: bool,
    /// Weighings of the last decision with new evidence, for the log.
    weighings: Vec<ContentWeighing>,
}

impl CrashGuard {
    /// Why a request must not be sent, and the piece of its content that is the reason; `None` if it may be sent.
    pub fn refusal<'a>(
        &self,
        content: &'a RequestContent,
    ) -> Option<(ContentState, &'a ContentItem)> {
        if self.held.is_empty() && self.blocks.count() == 0 {
            return None;
        }
        let is_blocked = |item: &&ContentItem| self.blocks.is_blocked(item.key);
        let is_held = |item: &&ContentItem| self.held.contains_key(&item.key);
        let blocked = content.items.iter().find(is_blocked);
        let held = || content.items.iter().find(is_held);
        blocked
            .map(|item| (ContentState::Blocked, item))
            .or_else(|| held().map(|item| (ContentState::Held, item)))
    }

    /// Whether a request must not be sent to a further backend server because the process of an earlier one has ended under
    /// it, for no reason that is known. The next attempt of its caller shows whether it is the reason.
    pub fn withholds_retry(&self, content: &RequestContent) -> bool {
        let mut whole = content.items.iter();
        let whole = whole.find(|item| item.kind == ContentKind::Whole);
        whole.is_some_and(|item| {
            self.evidence
                .is_suspect(item.key, |key| self.blocks.is_blocked(key))
        })
    }

    /// Whether this node has seen the process of a backend server end.
    pub fn has_ended(&self, server: ServerNumber) -> bool {
        self.evidence.has_ended(server.0)
    }

    /// Records that a request is sent to a backend server.
    pub fn begin_run(
        &mut self,
        server: ServerNumber,
        content: Rc<RequestContent>,
        now: Timestamp,
    ) -> RunNumber {
        self.runs.begin(server, content, self.clock.read(now))
    }

    /// Names the process at which requests are, so that the next process in its place shows its end.
    pub fn identify(&mut self, server: ServerNumber, process: &Rc<ServerProcess>, now: Timestamp) {
        self.runs.identify(server, process, now);
    }

    /// Records a sign that the process of a backend server may have ended. Returns whether attempts to reach it are to begin, see
    /// [`Self::next_attempt`]: a request there may be the reason, and no attempts are under way.
    pub fn record_sign(&mut self, server: ServerNumber, sign: EndSign, now: Timestamp) -> bool {
        let awake = self.clock.read(now);
        let is_wanted = match sign {
            EndSign::Closed => self.runs.record_close(server, self.clock.moment(now)),
            EndSign::Refused => self.runs.has_runs(server),
            EndSign::Unwatched => self.runs.is_awaited(server),
        };
        is_wanted && self.watch.record_sign(server, sign, awake)
    }

    /// The next step of the attempts to reach a process that may have ended. `is_connected` says that a connection to it is open.
    pub fn next_attempt(
        &mut self,
        server: ServerNumber,
        is_connected: bool,
        now: Timestamp,
    ) -> WatchStep {
        self.watch.next(server, is_connected, self.clock.read(now))
    }

    /// Records that the address of a process has refused an attempt. Returns whether the process has ended, rather than closed its
    /// listener to finish its requests.
    pub fn confirms_refusal(&mut self, server: ServerNumber, now: Timestamp) -> bool {
        let (refused, is_last) = self.watch.record_refusal(server, self.clock.read(now));
        !self.runs.is_finishing(server, refused, is_last)
    }

    /// Whether a request waits for the attempts to reach a process, because it may have ended.
    pub fn is_end_awaited(&self, server: ServerNumber) -> bool {
        self.watch.is_awaited(server)
    }

    /// Ends the attempts to reach a process.
    pub fn end_attempts(&mut self, server: ServerNumber) {
        self.watch.end(server);
    }

    /// Whether a process that has no request is to be watched, because one that is over may still end it.
    pub fn is_awaited(&self, server: ServerNumber) -> bool {
        self.runs.is_awaited(server)
    }

    /// Records that a process has announced its end.
    pub fn record_leaving(&mut self, server: ServerNumber) {
        self.runs.record_leaving(server);
    }

    /// Compares the processes at which requests are, or were lately, with the table of backend servers. Returns those in whose place
    /// another process runs, with their ids.
    pub fn observe_table(&mut self, table: &BackendTable) -> Vec<(ServerNumber, VmId)> {
        self.runs.observe_table(table)
    }

    /// Records data of an answer.
    pub fn record_data(&mut self, server: ServerNumber, run: RunNumber, now: Timestamp) {
        let awake = self.clock.read(now);
        let survived = self.runs.record_data(server, run, awake);
        self.record_survivals(server, survived, now);
    }

    /// Records that the process of a backend server works, because it keeps a connection open since `opened`.
    pub fn record_alive(&mut self, server: ServerNumber, opened: Timestamp, now: Timestamp) {
        let awake = self.clock.read(now);
        let survived = self.runs.record_alive(server, opened, awake);
        self.record_survivals(server, survived, now);
    }

    /// Processes at which requests have ended of which it is not known yet whether the process has survived them.
    pub fn awaited_servers(&self) -> impl Iterator<Item = ServerNumber> {
        self.runs.awaited_servers()
    }

    fn record_survivals(
        &mut self,
        server: ServerNumber,
        survived: Vec<SurvivedRun>,
        now: Timestamp,
    ) {
        for run in survived {
            let SurvivedRun { content, age } = run;
            self.evidence
                .record_fate(content.class, RunFate::Survived, now);
            for key in content.items.iter().map(|item| item.key) {
                let is_new =
                    self.evidence
                        .record_survival(key, server.0, content.attempt, now - age, now);
                self.has_news |= is_new;
                // Peers hold the piece too.
                self.has_urgent_facts |= is_new && self.held.contains_key(&key);
            }
        }
    }

    /// Records the end of a request at a backend server.
    pub fn end_run(&mut self, server: ServerNumber, run: RunNumber, end: RunEnd, now: Timestamp) {
        self.runs.end(server, run, end, self.clock.moment(now));
    }

    /// Records that the process of a backend server has ended. Returns this node's requests there. An end that was announced
    /// accuses nothing.
    pub fn record_server_end(
        &mut self,
        server: ServerNumber,
        evidence: EndEvidence,
        now: Timestamp,
    ) -> ProcessEnd {
        let awake = self.clock.read(now);
        self.watch.end(server);
        let end = self.runs.record_server_end(server, evidence, awake);
        let at = now - end.age;
        if let Some(run) = end.runs.first() {
            let class = run.content.class;
            self.evidence.record_process_end(server.0, class, at);
        }
        let is_suspect = |run: &&RunAtEnd| run.is_suspect && !end.is_planned;
        let mut known = Vec::new();
        let mut new = Vec::new();
        let mut sources: HashMap<ContentKey, Vec<u32>> = HashMap::new();
        for run in end.runs.iter().filter(is_suspect) {
            self.evidence
                .record_fate(run.content.class, RunFate::Ended, now);
            let source = run.content.whole_number();
            for item in &run.content.items {
                if item.kind == ContentKind::Part && has_outlived_parts(run) {
                    continue;
                }
                if item.kind == ContentKind::Part {
                    // Of a part, no more independent requests are kept for an end.
                    let known = sources.entry(item.key).or_default();
                    if known.len() >= MAX_SOURCES_PER_TIME || known.contains(&source) {
                        continue;
                    }
                    known.push(source);
                }
                let pieces = if self.evidence.is_known(item.key) {
                    &mut known
                } else {
                    &mut new
                };
                pieces.push((run, item));
            }
        }
        // Pieces that were at an end before come first, so that new ones do not push them out.
        for (run, item) in known.into_iter().chain(new) {
            let content = &run.content;
            let (scope, source) = match item.kind {
                // Requests with the same content are no independent evidence against its parts, nor against a path that
                // other requests share.
                ContentKind::Part | ContentKind::Class => {
                    (PieceScope::Part, content.whole_number())
                }
                ContentKind::Path => (PieceScope::Path, content.whole_number()),
                ContentKind::Whole => (PieceScope::Request, content.attempt),
            };
            let fact = CrashFact {
                key: item.key,
                scope,
                class: content.class,
                server: server.0,
                source,
                fate: RunFate::Ended,
                was_over: run.was_over,
                age: end.age,
            };
            let is_new = self.evidence.record_end(fact, now);
            self.has_news |= is_new;
            self.has_urgent_facts |= is_new && self.evidence.is_harmful(item.key);
        }
        end
    }

    /// Adds what a peer has announced.
    pub fn merge(
        &mut self,
        facts: &[CrashFact],
        blocks: &[PeerBlock],
        role: PeerRole,
        now: Timestamp,
    ) -> Vec<BlockDecision> {
        for fact in facts {
            let is_new = self.evidence.merge(*fact, now);
            self.has_news |= is_new;
            self.has_urgent_facts |= is_new && self.evidence.has_answer(fact.key, now);
        }
        let mut decisions = Vec::new();
        for block in blocks {
            // What this node has seen go on is stronger than a peer's count of ends.
            let is_contradicted =
                block.is_blocked && block.ends > 0 && self.evidence.contradicts(block.key, now);
            if self.blocks.merge(block, false, now) {
                self.has_urgent_decision |= role == PeerRole::Relay;
                decisions.push(self.changed(block.key, DecisionSource::Peer, now));
            }
            if is_contradicted && self.blocks.is_blocked(block.key) {
                decisions.push(self.release(block.key, DecisionSource::Survival, now));
            }
        }
        decisions
    }

    /// Takes over a record of the store.
    pub fn merge_stored(&mut self, block: &PeerBlock, now: Timestamp) -> Option<BlockDecision> {
        let has_changed = self.blocks.merge(block, true, now);
        has_changed.then(|| {
            self.has_urgent_decision = true;
            self.changed(block.key, DecisionSource::Store, now)
        })
    }

    /// Follows a decision of others on a piece.
    fn changed(
        &mut self,
        key: ContentKey,
        source: DecisionSource,
        now: Timestamp,
    ) -> BlockDecision {
        self.held.remove(&key);
        let is_blocked = self.blocks.is_blocked(key);
        if !is_blocked {
            self.evidence.clear(key, now);
        }
        let ends = self.blocks.get(key).map_or(0, |record| record.ends);
        BlockDecision {
            key,
            state: is_blocked.then_some(ContentState::Blocked),
            ends: ends as usize,
            source,
        }
    }

    fn release(
        &mut self,
        key: ContentKey,
        source: DecisionSource,
        now: Timestamp,
    ) -> BlockDecision {
        self.blocks.release(key, now);
        self.has_urgent_decision = true;
        self.changed(key, source, now)
    }

    /// Decides on the pieces that are accused.
    pub fn decide(&mut self, role: PeerRole, now: Timestamp) -> Vec<BlockDecision> {
        let has_news = std::mem::take(&mut self.has_news);
        if !has_news && self.held.is_empty() {
            return Vec::new();
        }
        let settle_time = match role {
            PeerRole::Direct => DIRECT_SETTLE_TIME,
            PeerRole::Relay | PeerRole::Follower => RELAYED_SETTLE_TIME,
        };
        let mut decisions = Vec::new();
        let blocks = &self.blocks;
        let weighings = self
            .evidence
            .weigh_all(role, |key| blocks.history(key), now);
        let is_accused = |one: &&ContentWeighing| one.result == WeighingResult::Accused;
        let accused: Vec<ContentKey> = weighings
            .iter()
            .filter(is_accused)
            .map(|one| one.key)
            .collect();
        if has_news {
            self.weighings = weighings;
            self.weighings.sort_by_key(|one| Reverse(one.ends));
            self.weighings.truncate(MAX_LOGGED_WEIGHINGS);
        }
        self.held.retain(|key, _| accused.contains(key));
        for key in accused {
            if self.blocks.is_blocked(key) {
                continue;
            }
            let ends = self.evidence.ends_of(key);
            let is_new = !self.held.contains_key(&key);
            let since = *self.held.entry(key).or_insert(now);
            let mut state = is_new.then_some(ContentState::Held);
            if now.since(since) >= settle_time {
                self.held.remove(&key);
                let count = u32::try_from(ends).unwrap_or(u32::MAX);
                self.blocks.block(key, count, now);
                self.has_urgent_decision = true;
                state = Some(ContentState::Blocked);
            }
            decisions.extend(state.map(|state| BlockDecision {
                key,
                state: Some(state),
                ends,
                source: DecisionSource::Evidence,
            }));
        }
        let contradicted: Vec<ContentKey> = self
            .blocks
            .iter()
            .filter(|(key, record)| {
                record.is_blocked && record.ends > 0 && self.evidence.contradicts(**key, now)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in contradicted {
            decisions.push(self.release(key, DecisionSource::Survival, now));
        }
        decisions
    }

    /// Takes the weighings of pieces that were not decided on before, as of the last decision with new evidence.
    pub fn take_weighings(&mut self) -> Vec<ContentWeighing> {
        let mut weighings = std::mem::take(&mut self.weighings);
        weighings.retain(|one| !self.blocks.is_blocked(one.key));
        weighings
    }

    /// Does what is due at a regular interval.
    pub fn tick(&mut self, now: Timestamp) -> Vec<BlockDecision> {
        self.clock.tick(now);
        self.runs.expire(self.clock.read(now));
        self.evidence.expire(now);
        let ended = self.blocks.expire(now);
        ended
            .into_iter()
            .map(|key| self.changed(key, DecisionSource::Expiry, now))
            .collect()
    }

    /// Whether peers should be told something now. What comes shortly after the last time waits for a later call.
    pub fn take_urgent(&mut self, role: PeerRole, now: Timestamp) -> bool {
        let has_facts = self.has_urgent_facts && role == PeerRole::Direct;
        let is_urgent = self.has_urgent_decision || has_facts;
        if !is_urgent || now.since(self.last_urgent) < URGENT_INTERVAL {
            return false;
        }
        self.last_urgent = now;
        self.has_urgent_facts = false;
        self.has_urgent_decision = false;
        true
    }

    /// Facts for the peers.
    pub fn announced_facts(&self, role: PeerRole, now: Timestamp) -> Vec<CrashFact> {
        self.evidence.announced(role, now)
    }

    /// Decisions for the peers.
    pub fn announced_blocks(&self, now: Timestamp) -> Vec<PeerBlock> {
        self.blocks.announced(now)
    }

    /// All decisions that this node knows.
    pub fn blocks(&self) -> &ContentBlocks {
        &self.blocks
    }

    /// Records that the store holds a version of a piece's record.
    pub fn record_stored(&mut self, key: ContentKey, version: u64) {
        self.blocks.record_stored(key, version);
    }

    /// Records that the store may have lost what it held.
    pub fn record_restore(&mut self) {
        self.blocks.record_restore();
    }

    /// Number of pieces that were at the end of a backend server.
    pub fn suspects(&self) -> usize {
        self.evidence.len()
    }
}
