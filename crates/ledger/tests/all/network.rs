//! Several ledgers over a fake network, with callers that retry at any node.

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
use crate::support::answer;
use crate::support::node;

pub const NODES: usize = 4;
const KEYS: usize = 10;

/// A caller's request, which it repeats with the same key and token.
#[derive(Clone)]
struct CallerKey {
    account: AccountId,
    key: IdempotencyKey,
    token: Option<HomeToken>,
    idempotent: bool,
    /// Runs by body.
    runs: BTreeMap<u8, u32>,
}

struct Node {
    key: NodeKey,
    /// Offset of its clock.
    clock: u64,
    ledger: RequestLedger,
    /// Requests that wait in the ledger: key and body.
    waiting: BTreeMap<RequestId, (usize, u8)>,
    /// Where it believes the homes to live, when that differs from the place of the token's node.
    places: BTreeMap<NodeKey, HomeLocation>,
}

enum Message {
    Ask(NodeKey, LedgerQuery),
    Answer(CallId, LedgerAnswer),
    Unreachable(CallId),
    Snapshot(LedgerSnapshot),
    Place(NodeKey, HomeLocation),
}

/// The end of a granted request.
struct Ending {
    node: NodeKey,
    request: RequestId,
    /// `None` for a whole answer.
    verdict: Option<Verdict>,
    body: String,
}

pub struct Network {
    now: u64,
    random: Random,
    nodes: Vec<Node>,
    keys: Vec<CallerKey>,
    /// The keys that callers use now.
    active: Vec<usize>,
    messages: Vec<(u64, usize, Message)>,
    endings: Vec<(u64, Ending)>,
    /// Pairs of nodes that cannot reach each other, with the time of the repair.
    cuts: BTreeMap<(usize, usize), u64>,
    sent: u64,
}

fn settings() -> LedgerSettings {
    LedgerSettings {
        // Small bounds, so that claims and answers are forgotten within a run.
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
                let clock = 1_000 + random.below(1_000_000);
                new_node(number, 1, clock)
            })
            .collect();
        let mut network = Self {
            now: 0,
            random,
            nodes,
            keys: Vec::new(),
            active: Vec::new(),
            messages: Vec::new(),
            endings: Vec::new(),
            cuts: BTreeMap::new(),
            sent: 0,
        };
        for number in 0..KEYS {
            let key = network.new_key(number);
            network.keys.push(key);
            network.active.push(number);
        }
        network
    }

    /// One step: a caller's attempt, a fault or the passing of time.
    pub fn step(&mut self, word: u64) {
        let pick = (word >> 8) as usize;
        let number = pick % NODES;
        match word % 32 {
            0..=15 => self.attempt(pick),
            16..=22 => self.pass(1 + pick as u64 % 400),
            23 => self.pass(1 + pick as u64 % 5_000),
            24 => self.abandon(number, pick / NODES),
            25 => self.restart(number),
            26 => self.cut(number, pick / NODES % NODES),
            27 => self.hand_over(number, pick / NODES % NODES),
            28 => {
                // A caller goes on to its next request; attempts of the old one may still run.
                let key = self.new_key(self.keys.len());
                self.active[pick % KEYS] = self.keys.len();
                self.keys.push(key);
            }
            _ => self.pass(1 + pick as u64 % 60),
        }
    }

    /// Lets everything end; then no request may wait any more.
    pub fn finish(&mut self) {
        for _ in 0..80 {
            self.pass(1_000);
        }
        for node in &self.nodes {
            let waiting: Vec<_> = node.waiting.keys().collect();
            assert!(waiting.is_empty(), "{waiting:?} got no answer");
        }
    }

    fn new_key(&mut self, number: usize) -> CallerKey {
        let home = self.random.below(NODES as u64) as usize;
        let issued = self.time_at(home);
        let token = self.nodes[home].ledger.token(issued);
        let idempotent = self.random.chance(150);
        // The same key text under two accounts must stay apart.
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
        Timestamp(self.now + self.nodes[number].clock)
    }

    fn attempt(&mut self, pick: usize) {
        let key = self.active[pick % KEYS];
        let number = pick / KEYS % NODES;
        // A caller now and then reuses its key for another body by mistake.
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
        let place = match &caller.token {
            Some(token) => self.place(number, &token.node),
            None => HomeLocation::Local,
        };
        let (outcome, effects) = self.nodes[number].ledger.claim(query, place, now);
        if outcome == ClaimOutcome::Waiting {
            self.nodes[number].waiting.insert(request, (key, body));
        } else {
            self.settle(number, &request, key, body, outcome);
        }
        self.apply(number, effects);
    }

    fn place(&self, number: usize, home: &NodeKey) -> HomeLocation {
        let node = &self.nodes[number];
        if let Some(place) = node.places.get(home) {
            return place.clone();
        }
        match *home == node.key {
            true => HomeLocation::Local,
            false => HomeLocation::Remote(home.clone()),
        }
    }

    /// Checks an outcome and starts the request when it was granted.
    fn settle(
        &mut self,
        number: usize,
        request: &RequestId,
        key: usize,
        body: u8,
        outcome: ClaimOutcome,
    ) {
        let text = self.answer_text(key, body);
        let caller = &self.keys[key];
        let runs = caller.runs.get(&body).copied().unwrap_or_default();
        match outcome {
            ClaimOutcome::Waiting => panic!("a resolution must be final"),
            ClaimOutcome::Stored(stored) => {
                assert_eq!(stored, answer(&text), "another request's answer");
                assert!(runs > 0, "an answer without a run");
            }
            ClaimOutcome::Refused(refusal) => {
                let not_run = refusal.verdict == Verdict::NotRun;
                assert!(
                    !not_run || runs == 0,
                    "refused as not run after a run: {refusal:?}"
                );
            }
            ClaimOutcome::Granted => self.start(number, request.clone(), key, body),
        }
    }

    fn answer_text(&self, key: usize, body: u8) -> String {
        let caller = &self.keys[key];
        format!("{}/{}/{body}", caller.account, caller.key)
    }

    /// Runs a granted request, or fails it before it runs.
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
                "a non-idempotent key ran {total} times: dispatch at {number}"
            );
        }
        let ending = Ending {
            node: self.nodes[number].key.clone(),
            request,
            verdict,
            body: self.answer_text(key, body),
        };
        let end = self.now + self.random.below(3_000);
        self.endings.push((end, ending));
    }

    fn apply(&mut self, number: usize, effects: Vec<LedgerEffect>) {
        for effect in effects {
            match effect {
                LedgerEffect::SendQuery { node: to, query } => {
                    let from = self.nodes[number].key.clone();
                    let to = index_of(&to);
                    let call = query.call;
                    if self.is_cut(number, to) && self.random.chance(500) {
                        self.send(number, number, Message::Unreachable(call));
                    } else {
                        self.send(number, to, Message::Ask(from, query));
                    }
                }
                LedgerEffect::Resolved { request, outcome } => {
                    // A request whose caller hung up is no longer known here.
                    let waiting = self.nodes[number].waiting.remove(&request);
                    let (key, body) = waiting.expect("a resolution of a waiting request");
                    self.settle(number, &request, key, body, outcome);
                }
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let pair = (one.min(other), one.max(other));
        self.cuts
            .get(&pair)
            .is_some_and(|repair| self.now < *repair)
    }

    /// Sends with loss, duplication, and delays that reorder.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from != to && (self.is_cut(from, to) || self.random.chance(100)) {
            return;
        }
        if let Message::Ask(node, query) = &message
            && self.random.chance(100)
        {
            let copy = Message::Ask(node.clone(), query.clone());
            let at = self.now + self.random.below(4_000);
            self.messages.push((at, to, copy));
        }
        let longest = if self.random.chance(150) { 6_000 } else { 300 };
        let at = self.now + self.random.below(longest);
        self.messages.push((at, to, message));
    }

    fn pass(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            // Ticks are 500 ms apart at most.
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
        let endings = self.endings.iter().map(|(at, _)| *at);
        messages.chain(endings).min()
    }

    fn handle_due(&mut self) {
        if let Some(position) = self.messages.iter().position(|(at, _, _)| *at <= self.now) {
            let (_, to, message) = self.messages.swap_remove(position);
            self.deliver(to, message);
        }
        if let Some(position) = self.endings.iter().position(|(at, _)| *at <= self.now) {
            let (_, ending) = self.endings.swap_remove(position);
            self.end_request(ending);
        }
    }

    /// Delivers to whichever run the node now has; a queue of the transport does the same.
    fn deliver(&mut self, to: usize, message: Message) {
        let now = self.time_at(to);
        let node = &mut self.nodes[to];
        match message {
            Message::Ask(from, query) => {
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
            Message::Place(home, place) => {
                let known = node.places.entry(home).or_insert(HomeLocation::Lost);
                if *known == HomeLocation::Lost {
                    *known = place;
                }
            }
        }
    }

    fn end_request(&mut self, ending: Ending) {
        let number = index_of(&ending.node);
        let now = self.time_at(number);
        let node = &mut self.nodes[number];
        if node.key != ending.node {
            return;
        }
        let effects = match ending.verdict {
            Some(verdict) => node.ledger.record_failure(&ending.request, verdict, now),
            None => node
                .ledger
                .record_response(&ending.request, answer(&ending.body), now),
        };
        self.apply(number, effects);
    }

    fn abandon(&mut self, number: usize, pick: usize) {
        let node = &mut self.nodes[number];
        let count = node.waiting.len();
        if let Some(position) = pick.checked_rem(count)
            && let Some(request) = node.waiting.keys().nth(position).cloned()
        {
            node.waiting.remove(&request);
            node.ledger.cancel_waiter(&request);
        }
    }

    /// A new run with an empty ledger; the others learn of it late or never.
    fn restart(&mut self, number: usize) {
        let old = self.nodes[number].key.clone();
        let clock = self.nodes[number].clock;
        let incarnation = old.incarnation.0 + 1;
        self.nodes[number] = new_node(number, incarnation, clock);
        self.nodes[number].ledger = RequestLedger::new(
            settings(),
            node(number, incarnation),
            Timestamp(self.now + clock),
        );
        for other in 0..NODES {
            let message = Message::Place(old.clone(), HomeLocation::Lost);
            self.send(other, other, message);
        }
    }

    fn cut(&mut self, one: usize, other: usize) {
        if one != other {
            let pair = (one.min(other), one.max(other));
            let repair = self.now + self.random.below(8_000);
            self.cuts.insert(pair, repair);
        }
    }

    /// A planned stop: the ledger goes to one successor, and the node serves on for a while.
    fn hand_over(&mut self, number: usize, successor: usize) {
        let old = self.nodes[number].key.clone();
        if number == successor || self.nodes[number].places.contains_key(&old) {
            return;
        }
        let now = self.time_at(number);
        let heir = self.nodes[successor].key.clone();
        let ledger = &mut self.nodes[number].ledger;
        let mut snapshots = ledger.export_imported();
        snapshots.push(ledger.export(now));
        for snapshot in snapshots {
            let home = snapshot.home.clone();
            let place = HomeLocation::Remote(heir.clone());
            // The node itself must know, because it is sealed.
            self.nodes[number]
                .places
                .insert(home.clone(), place.clone());
            self.send(number, successor, Message::Snapshot(snapshot));
            for other in 0..NODES {
                let message = Message::Place(home.clone(), place.clone());
                self.send(other, other, message);
            }
        }
    }
}

fn new_node(number: usize, incarnation: u64, clock: u64) -> Node {
    let key = node(number, incarnation);
    Node {
        ledger: RequestLedger::new(settings(), key.clone(), Timestamp(clock)),
        key,
        clock,
        waiting: BTreeMap::new(),
        places: BTreeMap::new(),
    }
}

fn index_of(node: &NodeKey) -> usize {
    let text = node.id.as_str();
    text[2..].parse().expect("the number of a node")
}
