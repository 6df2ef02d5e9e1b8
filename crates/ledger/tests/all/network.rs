//! Simulation of several ledgers over a faulty network, with callers that retry at any node.

use std::collections::BTreeMap;

use jaysaddle_ledger::ClaimOutcome;
use jaysaddle_ledger::ClaimQuery;
use jaysaddle_ledger::HomeLocation;
use jaysaddle_ledger::LedgerAnswer;
use jaysaddle_ledger::LedgerEffect;
use jaysaddle_ledger::LedgerQuery;
use jaysaddle_ledger::LedgerSettings;
use jaysaddle_ledger::LedgerSnapshot;
use jaysaddle_ledger::RequestLedger;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::CallId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;

use crate::random::Random;
use crate::support::node;
use crate::support::response;

pub const NODES: usize = 4;
const KEYS: usize = 10;

/// A request of a caller, which retries it with the same key and token.
#[derive(Clone)]
struct CallerKey {
    account: AccountId,
    key: IdempotencyKey,
    token: Option<HomeToken>,
    idempotent: bool,
    /// Number of executions by body.
    runs: BTreeMap<u8, u32>,
}

struct Node {
    key: NodeKey,
    /// Offset of its clock from simulated time, in milliseconds.
    clock_offset: u64,
    ledger: RequestLedger,
    /// Key index and body of each request that waits in the ledger.
    waiting: BTreeMap<RequestId, (usize, u8)>,
    /// Locations of homes as seen by this node, where they differ from the token's node.
    locations: BTreeMap<NodeKey, HomeLocation>,
}

enum Message {
    Query(NodeKey, LedgerQuery),
    Answer(CallId, LedgerAnswer),
    Unreachable(CallId),
    Snapshot(LedgerSnapshot),
    Location(NodeKey, HomeLocation),
}

/// Scheduled end of a granted request.
struct ScheduledEnd {
    node: NodeKey,
    request: RequestId,
    /// `None` for a complete response.
    verdict: Option<Verdict>,
    body: String,
}

pub struct Network {
    now: u64,
    random: Random,
    nodes: Vec<Node>,
    keys: Vec<CallerKey>,
    /// Indexes of the keys that callers currently use.
    active: Vec<usize>,
    messages: Vec<(u64, usize, Message)>,
    scheduled_ends: Vec<(u64, ScheduledEnd)>,
    /// Pairs of nodes that cannot reach each other, with the end of the partition.
    partitions: BTreeMap<(usize, usize), u64>,
    sent: u64,
}

fn settings() -> LedgerSettings {
    LedgerSettings {
        // Small limits, so that claims and responses are evicted during a simulation.
        max_claims: 6,
        max_response_bytes: ByteCount(60),
        retention: TimeSpan::from_secs(8),
        query_timeout: TimeSpan::from_secs(2),
    }
}

impl Network {
    pub fn new(seed: u64) -> Self {
        let mut random = Random(seed);
        let nodes = (0..NODES)
            .map(|number| {
                let clock_offset = 1_000 + random.below(1_000_000);
                new_node(number, 1, clock_offset)
            })
            .collect();
        let mut network = Self {
            now: 0,
            random,
            nodes,
            keys: Vec::new(),
            active: Vec::new(),
            messages: Vec::new(),
            scheduled_ends: Vec::new(),
            partitions: BTreeMap::new(),
            sent: 0,
        };
        for number in 0..KEYS {
            let key = network.new_key(number);
            network.keys.push(key);
            network.active.push(number);
        }
        network
    }

    /// Performs one step that `word` selects: a caller's attempt, a fault or the passing of time.
    pub fn step(&mut self, word: u64) {
        let pick = (word >> 8) as usize;
        let number = pick % NODES;
        match word % 32 {
            0..=15 => self.attempt(pick),
            16..=22 => self.advance(1 + pick as u64 % 400),
            23 => self.advance(1 + pick as u64 % 5_000),
            24 => self.disconnect(number, pick / NODES),
            25 => self.restart(number),
            26 => self.partition(number, pick / NODES % NODES),
            27 => self.hand_over(number, pick / NODES % NODES),
            28 => {
                // A caller continues with its next request; attempts of the old one may be running.
                let key = self.new_key(self.keys.len());
                self.active[pick % KEYS] = self.keys.len();
                self.keys.push(key);
            }
            _ => self.advance(1 + pick as u64 % 60),
        }
    }

    /// Lets all messages and requests end, then checks that no request waits any more.
    pub fn finish(&mut self) {
        for _ in 0..80 {
            self.advance(1_000);
        }
        for node in &self.nodes {
            let waiting: Vec<_> = node.waiting.keys().collect();
            assert!(
                waiting.is_empty(),
                "requests were never resolved: {waiting:?}"
            );
        }
    }

    fn new_key(&mut self, number: usize) -> CallerKey {
        let home = self.random.below(NODES as u64) as usize;
        let issued = self.time_at(home);
        let token = self.nodes[home].ledger.token(issued);
        let idempotent = self.random.chance(150);
        // Two accounts use the same key text, which must not be confused.
        let account = ["acme", "other"][number % 2];
        CallerKey {
            account: AccountId::new(account),
            key: IdempotencyKey::new(format!("k-{}", number / 2)),
            token: (!idempotent || self.random.chance(700)).then_some(token),
            idempotent,
            runs: BTreeMap::new(),
        }
    }

    fn time_at(&self, number: usize) -> Timestamp {
        Timestamp(self.now + self.nodes[number].clock_offset)
    }

    fn attempt(&mut self, pick: usize) {
        let key = self.active[pick % KEYS];
        let number = pick / KEYS % NODES;
        // Some callers mistakenly reuse a key with another body.
        let body = u8::from(self.random.chance(60));
        self.sent += 1;
        let request = RequestId::new(format!("r-{}", self.sent));
        let now = self.time_at(number);
        let caller = self.keys[key].clone();
        let query = ClaimQuery {
            request: request.clone(),
            account: caller.account,
            key: caller.key,
            home: caller.token.clone(),
            fingerprint: BodyFingerprint([body; 32]),
            idempotent: caller.idempotent,
            deadline: Timestamp(now.0 + self.random.below(6_000)),
        };
        let location = match &caller.token {
            Some(token) => self.location(number, &token.node),
            None => HomeLocation::Local,
        };
        let (outcome, effects) = self.nodes[number].ledger.claim(query, location, now);
        if outcome == ClaimOutcome::Waiting {
            self.nodes[number].waiting.insert(request, (key, body));
        } else {
            self.apply_outcome(number, &request, key, body, outcome);
        }
        self.apply(number, effects);
    }

    fn location(&self, number: usize, home: &NodeKey) -> HomeLocation {
        let node = &self.nodes[number];
        if let Some(location) = node.locations.get(home) {
            return location.clone();
        }
        match *home == node.key {
            true => HomeLocation::Local,
            false => HomeLocation::Remote(home.clone()),
        }
    }

    /// Checks an outcome and starts the request when it was granted.
    fn apply_outcome(
        &mut self,
        number: usize,
        request: &RequestId,
        key: usize,
        body: u8,
        outcome: ClaimOutcome,
    ) {
        let text = self.response_text(key, body);
        let caller = &self.keys[key];
        let runs = caller.runs.get(&body).copied().unwrap_or_default();
        match outcome {
            ClaimOutcome::Waiting => panic!("a resolved claim must have a final outcome"),
            ClaimOutcome::Stored(stored) => {
                assert_eq!(stored, response(&text), "response of another request");
                assert!(runs > 0, "response without an execution");
            }
            ClaimOutcome::Refused(refusal) => {
                let not_run = refusal.verdict == Verdict::NotRun;
                assert!(
                    !not_run || runs == 0,
                    "refused as not run after an execution: {refusal:?}"
                );
            }
            ClaimOutcome::Granted => self.start(number, request.clone(), key, body),
        }
    }

    fn response_text(&self, key: usize, body: u8) -> String {
        let caller = &self.keys[key];
        format!("{}/{}/{body}", caller.account, caller.key)
    }

    /// Executes a granted request, or fails it before its execution.
    fn start(&mut self, number: usize, request: RequestId, key: usize, body: u8) {
        let runs = self.random.chance(700);
        let verdict = match (runs, self.random.below(4)) {
            (false, _) => Some(Verdict::NotRun),
            (true, 0) => Some(Verdict::MayHaveRun),
            (true, 1) => Some(Verdict::Ran),
            (true, _) => None,
        };
        if runs {
            let caller = &mut self.keys[key];
            *caller.runs.entry(body).or_default() += 1;
            let total: u32 = caller.runs.values().sum();
            let allowed = caller.idempotent || total <= 1;
            assert!(
                allowed,
                "a non-idempotent key was executed {total} times; last dispatched at node {number}"
            );
        }
        let scheduled = ScheduledEnd {
            node: self.nodes[number].key.clone(),
            request,
            verdict,
            body: self.response_text(key, body),
        };
        let end = self.now + self.random.below(3_000);
        self.scheduled_ends.push((end, scheduled));
    }

    fn apply(&mut self, number: usize, effects: Vec<LedgerEffect>) {
        for effect in effects {
            match effect {
                LedgerEffect::SendQuery { node: to, query } => {
                    let from = self.nodes[number].key.clone();
                    let to = index_of(&to);
                    let call = query.call;
                    if self.is_partitioned(number, to) && self.random.chance(500) {
                        self.send(number, number, Message::Unreachable(call));
                    } else {
                        self.send(number, to, Message::Query(from, query));
                    }
                }
                LedgerEffect::Resolved { request, outcome } => {
                    // A request whose caller disconnected is not in `waiting` any more.
                    let waiting = self.nodes[number].waiting.remove(&request);
                    let (key, body) = waiting.expect("only a waiting request is resolved");
                    self.apply_outcome(number, &request, key, body, outcome);
                }
            }
        }
    }

    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        let pair = (one.min(other), one.max(other));
        self.partitions
            .get(&pair)
            .is_some_and(|end| self.now < *end)
    }

    /// Sends a message, which may be lost, duplicated, delayed or reordered.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from != to && (self.is_partitioned(from, to) || self.random.chance(100)) {
            return;
        }
        if let Message::Query(node, query) = &message
            && self.random.chance(100)
        {
            let copy = Message::Query(node.clone(), query.clone());
            let at = self.now + self.random.below(4_000);
            self.messages.push((at, to, copy));
        }
        let longest = if self.random.chance(150) { 6_000 } else { 300 };
        let at = self.now + self.random.below(longest);
        self.messages.push((at, to, message));
    }

    fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            // Ticks are at most 500 ms apart.
            let next_tick = end.min(self.now + 500);
            while let Some(at) = self.next_event().filter(|at| *at <= next_tick) {
                self.now = self.now.max(at);
                self.handle_due();
            }
            self.now = next_tick;
            for number in 0..NODES {
                let now = self.time_at(number);
                let effects = self.nodes[number].ledger.tick(now);
                self.apply(number, effects);
            }
        }
    }

    fn next_event(&self) -> Option<u64> {
        let messages = self.messages.iter().map(|(at, _, _)| *at);
        let scheduled_ends = self.scheduled_ends.iter().map(|(at, _)| *at);
        messages.chain(scheduled_ends).min()
    }

    fn handle_due(&mut self) {
        if let Some(position) = self.messages.iter().position(|(at, _, _)| *at <= self.now) {
            let (_, to, message) = self.messages.swap_remove(position);
            self.deliver(to, message);
        }
        if let Some(position) = self
            .scheduled_ends
            .iter()
            .position(|(at, _)| *at <= self.now)
        {
            let (_, scheduled) = self.scheduled_ends.swap_remove(position);
            self.end_request(scheduled);
        }
    }

    /// Delivers to the node's current incarnation, as a queue of the transport does.
    fn deliver(&mut self, to: usize, message: Message) {
        let now = self.time_at(to);
        let node = &mut self.nodes[to];
        match message {
            Message::Query(from, query) => {
                let call = query.call;
                let answer = node.ledger.answer_query(&from, query, now);
                self.send(to, index_of(&from), Message::Answer(call, answer));
            }
            Message::Answer(call, answer) => {
                let effects = node.ledger.record_answer(call, Some(answer), now);
                self.apply(to, effects);
            }
            Message::Unreachable(call) => {
                let effects = node.ledger.record_answer(call, None, now);
                self.apply(to, effects);
            }
            Message::Snapshot(snapshot) => node.ledger.import(snapshot, now),
            Message::Location(home, location) => {
                let current = node.locations.entry(home).or_insert(HomeLocation::Lost);
                if *current == HomeLocation::Lost {
                    *current = location;
                }
            }
        }
    }

    fn end_request(&mut self, scheduled: ScheduledEnd) {
        let number = index_of(&scheduled.node);
        let now = self.time_at(number);
        let node = &mut self.nodes[number];
        if node.key != scheduled.node {
            return;
        }
        let effects = match scheduled.verdict {
            Some(verdict) => node.ledger.record_failure(&scheduled.request, verdict, now),
            None => node
                .ledger
                .record_response(&scheduled.request, response(&scheduled.body), now),
        };
        self.apply(number, effects);
    }

    fn disconnect(&mut self, number: usize, pick: usize) {
        let node = &mut self.nodes[number];
        let count = node.waiting.len();
        if let Some(position) = pick.checked_rem(count)
            && let Some(request) = node.waiting.keys().nth(position).cloned()
        {
            node.waiting.remove(&request);
            node.ledger.cancel_waiter(&request);
        }
    }

    /// Restarts a node with an empty ledger. The other nodes detect the restart late or never.
    fn restart(&mut self, number: usize) {
        let old = self.nodes[number].key.clone();
        let clock_offset = self.nodes[number].clock_offset;
        let incarnation = old.incarnation.0 + 1;
        self.nodes[number] = new_node(number, incarnation, clock_offset);
        self.nodes[number].ledger = RequestLedger::new(
            settings(),
            node(number, incarnation),
            Timestamp(self.now + clock_offset),
        );
        for other in 0..NODES {
            let message = Message::Location(old.clone(), HomeLocation::Lost);
            self.send(other, other, message);
        }
    }

    fn partition(&mut self, one: usize, other: usize) {
        if one != other {
            let pair = (one.min(other), one.max(other));
            let end = self.now + self.random.below(8_000);
            self.partitions.insert(pair, end);
        }
    }

    /// Starts a planned stop: the ledger is handed over to one successor, and the node continues to
    /// serve for a while.
    fn hand_over(&mut self, number: usize, successor: usize) {
        let old = self.nodes[number].key.clone();
        if number == successor || self.nodes[number].locations.contains_key(&old) {
            return;
        }
        let now = self.time_at(number);
        let successor_key = self.nodes[successor].key.clone();
        let ledger = &mut self.nodes[number].ledger;
        let mut snapshots = ledger.export_imported();
        snapshots.push(ledger.export(now));
        for snapshot in snapshots {
            let home = snapshot.home.clone();
            let location = HomeLocation::Remote(successor_key.clone());
            // The node itself needs the new location immediately, because its ledger is sealed.
            self.nodes[number]
                .locations
                .insert(home.clone(), location.clone());
            self.send(number, successor, Message::Snapshot(snapshot));
            for other in 0..NODES {
                let message = Message::Location(home.clone(), location.clone());
                self.send(other, other, message);
            }
        }
    }
}

fn new_node(number: usize, incarnation: u64, clock_offset: u64) -> Node {
    let key = node(number, incarnation);
    Node {
        ledger: RequestLedger::new(settings(), key.clone(), Timestamp(clock_offset)),
        key,
        clock_offset,
        waiting: BTreeMap::new(),
        locations: BTreeMap::new(),
    }
}

fn index_of(node: &NodeKey) -> usize {
    let text = node.id.as_str();
    text[2..].parse().expect("a node id ends with its number")
}
