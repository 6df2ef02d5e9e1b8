//! Simulation of many nodes that send requests to backend servers with a request limit for all nodes together.
//!
//! Pattern: a steady stream of requests, of which each node sees a few a second, and leaders of groups that name limits
//! far below the rate at which they receive requests. A response states the limit of the time at which it begins.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;

use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetQuery;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::gateway::AttemptRecord;
use jaysaddle_gateway::gateway::RequestGateway;
use jaysaddle_gateway::random::XorshiftRng;
use jaysaddle_gateway::settings::GatewaySettings;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::RequestLimit;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::dissemination::BeatSender;
use crate::dissemination::HEARTBEAT_MS;
use crate::fixture::ENGINE_SERVICE;
use crate::fixture::MODEL;
use crate::fixture::add_group;
use crate::fixture::config;
use crate::fixture::heartbeat;

/// Delay of a message between nodes.
const MESSAGE_MS: u64 = 5;
/// Time from sending a request to the first byte of its response, and to its end.
const FIRST_BYTE_MS: u64 = 150;
const SERVICE_MS: u64 = 1200;
/// Time of the first limit. All nodes know each other's load by then.
pub const NAMED_MS: u64 = 4000;

/// The platform's rule: from `SETTLE_MS` after a backend server has first named a limit, it receives in no `WINDOW_MS`
/// more than `RATE_FACTOR` times what the limit allows, plus `BURST` requests, from nodes that have received the limit
/// at least `TOLD_MS` before.
const SETTLE_MS: u64 = 3000;
const WINDOW_MS: u64 = 4000;
const RATE_FACTOR: f64 = 1.5;
const BURST: f64 = 5.0;
const TOLD_MS: u64 = 500;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FirstByte { request: u64 },
    End { request: u64 },
    Heartbeat { message: usize, receiver: usize },
}

struct SentRequest {
    node: usize,
    incarnation: u64,
    server: String,
    record: AttemptRecord,
}

struct SimulatedNode {
    gateway: RequestGateway,
    peers: PeerTable,
    sender: BeatSender,
    incarnation: u64,
}

/// What happens besides the steady load. All times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct LimitScenario {
    pub nodes: usize,
    pub groups: u64,
    /// Requests a second, of all nodes.
    pub rate: u64,
    pub until: u64,
    /// Limits named from a time on: time, group, limit or its withdrawal.
    pub limits: Vec<(u64, u64, Option<f64>)>,
    /// Times at which a node neither runs nor receives anything. Messages to it arrive afterwards.
    pub frozen: Vec<(usize, Range<u64>)>,
    /// Times at which nodes restart without any knowledge.
    pub restarts: Vec<(usize, u64)>,
    /// Time at which the first half of the nodes receives no heartbeats from the second half, and vice versa.
    pub cut: Range<u64>,
    /// Only this many nodes receive requests of callers; 0 for all.
    pub callers_at: usize,
}

#[derive(Default)]
struct LimitedServer {
    /// Limits by the time from which they are named.
    limits: BTreeMap<u64, Option<f64>>,
    /// When the first response with a limit was sent.
    first_named: Option<u64>,
    /// When each node first received a limit.
    told: HashMap<usize, u64>,
    /// Arrivals in order: time and node.
    arrivals: Vec<(u64, usize)>,
    /// Highest ratio of the requests in a window to the allowed ones, with the time.
    worst: (f64, u64),
}

impl LimitedServer {
    fn limit_at(&self, now: u64) -> Option<f64> {
        let (_, limit) = self.limits.range(..=now).next_back()?;
        *limit
    }

    /// Requests that the limits of a window allow; `None` if there was none in part of it.
    fn allowed(&self, now: u64) -> Option<f64> {
        const STEP_MS: u64 = 10;
        let steps = (now - WINDOW_MS..now).step_by(STEP_MS as usize);
        let first = self.first_named?;
        let sum = steps
            .map(|time| self.limit_at(time.max(first)))
            .try_fold(0.0, |sum, limit| Some(sum + limit?))?;
        Some(RATE_FACTOR * sum * STEP_MS as f64 / 1000.0 + BURST)
    }

    fn record_arrival(&mut self, node: usize, now: u64, excused: &dyn Fn(usize) -> bool) {
        self.arrivals.push((now, node));
        let Some(first) = self.first_named else {
            return;
        };
        if now < first + SETTLE_MS {
            return;
        }
        let Some(allowed) = self.allowed(now) else {
            return;
        };
        let is_counted = |node: usize| {
            let told = self.told.get(&node);
            told.is_some_and(|told| told + TOLD_MS <= now) && !excused(node)
        };
        let count = self
            .arrivals
            .iter()
            .rev()
            .take_while(|(time, _)| now - time < WINDOW_MS)
            .filter(|(_, node)| is_counted(*node))
            .count();
        let ratio = count as f64 / allowed;
        if ratio > self.worst.0 {
            self.worst = (ratio, now);
        }
    }
}

pub struct LimitSimulation {
    scenario: LimitScenario,
    nodes: Vec<SimulatedNode>,
    table: BackendTable,
    random: XorshiftRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    messages: Vec<PeerHeartbeat>,
    requests: HashMap<u64, SentRequest>,
    next_request: u64,
    servers: HashMap<String, LimitedServer>,
    /// Requests that were sent to any backend server.
    pub sent: u32,
    pub refused: Vec<TargetRefusal>,
}

fn server_name(group: u64) -> String {
    format!("vm{group}-0")
}

fn node_id(number: usize) -> NodeId {
    NodeId::new(format!("node-{number}"))
}

/// Creates one of `nodes` nodes, which starts at `now`.
fn new_node(
    number: usize,
    nodes: usize,
    incarnation: u64,
    table: &BackendTable,
    now: u64,
) -> SimulatedNode {
    let seed = 1 + number as u64 * 7919 + incarnation * 104_729;
    let id = node_id(number);
    let mut gateway = RequestGateway::new(GatewaySettings::default(), id, seed);
    gateway.set_config(Rc::new(config()), table);
    SimulatedNode {
        gateway,
        peers: PeerTable::default(),
        sender: BeatSender::new(number, nodes, now),
        incarnation,
    }
}

impl LimitSimulation {
    pub fn new(scenario: LimitScenario) -> Self {
        let mut table = BackendTable::default();
        for number in 0..scenario.groups {
            add_group(&mut table, number);
        }
        let mut servers: HashMap<String, LimitedServer> = HashMap::new();
        for (time, group, limit) in &scenario.limits {
            let server = servers.entry(server_name(*group)).or_default();
            server.limits.insert(*time, *limit);
        }
        Self {
            nodes: (0..scenario.nodes)
                .map(|number| new_node(number, scenario.nodes, 1, &table, 0))
                .collect(),
            scenario,
            table,
            random: XorshiftRng::new(77),
            now: 0,
            events: BinaryHeap::new(),
            messages: Vec::new(),
            requests: HashMap::new(),
            next_request: 0,
            servers,
            sent: 0,
            refused: Vec::new(),
        }
    }

    pub fn run(mut self) -> Self {
        let nodes = self.nodes.len();
        for now in 1..self.scenario.until {
            self.now = now;
            for (node, time) in &self.scenario.restarts {
                if *time == now {
                    let incarnation = self.nodes[*node].incarnation + 1;
                    self.nodes[*node] = new_node(*node, nodes, incarnation, &self.table, self.now);
                }
            }
            while let Some(Reverse((time, event))) = self.events.peek().copied()
                && time <= now
            {
                self.events.pop();
                self.handle(event);
            }
            for _ in 0..4 {
                if (self.random.below(4000) as u64) < self.scenario.rate {
                    self.arrive();
                }
            }
            for node in 0..self.nodes.len() {
                // Nodes send at different times within the interval.
                if (now + node as u64 * 37).is_multiple_of(HEARTBEAT_MS) && !self.is_frozen(node) {
                    self.send_heartbeats(node, false);
                }
            }
        }
        self
    }

    fn is_frozen(&self, node: usize) -> bool {
        self.frozen_until(node).is_some()
    }

    fn frozen_until(&self, node: usize) -> Option<u64> {
        let frozen = self.scenario.frozen.iter();
        let mut current =
            frozen.filter(|(frozen, times)| *frozen == node && times.contains(&self.now));
        current.next().map(|(_, times)| times.end)
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push(Reverse((self.now + delay, event)));
    }

    fn arrive(&mut self) {
        let count = match self.scenario.callers_at {
            0 => self.nodes.len(),
            count => count,
        };
        let number = self.random.below(count);
        if self.is_frozen(number) {
            return;
        }
        let now = Timestamp(self.now);
        let service = ServiceId::new(ENGINE_SERVICE);
        let model = ModelId::new(MODEL);
        let query = TargetQuery {
            service: &service,
            model: Some(&model),
            latency_target: TimeSpan(300),
            tried: &[],
            has_started: false,
            is_caller_retry: false,
            work: None,
        };
        let node = &mut self.nodes[number];
        let choice = match node.gateway.choose(&query, &node.peers, now) {
            Ok(choice) => choice,
            Err(refusal) => {
                self.refused.push(refusal);
                return;
            }
        };
        let record = node
            .gateway
            .record_start(&choice.target, choice.is_late, now);
        self.sent += 1;
        let incarnation = node.incarnation;
        let backend: &VmId = &choice.target.backend;
        let name = backend.as_str().to_owned();
        let (scenario, now) = (&self.scenario, self.now);
        if let Some(server) = self.servers.get_mut(&name) {
            server.record_arrival(number, now, &|node| scenario.is_disturbed(node, now));
        }
        self.next_request += 1;
        let request = self.next_request;
        let sent = SentRequest {
            node: number,
            incarnation,
            server: name,
            record,
        };
        self.requests.insert(request, sent);
        self.schedule(FIRST_BYTE_MS, Event::FirstByte { request });
        let service_ms = SERVICE_MS / 2 + self.random.below(SERVICE_MS as usize) as u64;
        self.schedule(FIRST_BYTE_MS + service_ms, Event::End { request });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FirstByte { request } => self.receive_first_byte(request),
            Event::End { request } => {
                let until = self
                    .requests
                    .get(&request)
                    .and_then(|sent| self.frozen_until(sent.node));
                if let Some(until) = until {
                    self.schedule(until - self.now, event);
                    return;
                }
                if let Some(sent) = self.requests.remove(&request)
                    && self.nodes[sent.node].incarnation == sent.incarnation
                {
                    self.nodes[sent.node].gateway.record_end(
                        &sent.record,
                        TargetOutcome::Answered,
                        Timestamp(self.now),
                    );
                }
            }
            Event::Heartbeat { message, receiver } => {
                if let Some(until) = self.frozen_until(receiver) {
                    self.schedule(until - self.now, event);
                    return;
                }
                let heartbeat = self.messages[message].clone();
                let node = &mut self.nodes[receiver];
                let now = Timestamp(self.now);
                node.gateway.merge_limits(&heartbeat.limits, now);
                node.peers.record_heartbeat(heartbeat, now);
            }
        }
    }

    fn receive_first_byte(&mut self, request: u64) {
        let sent = &self.requests[&request];
        let number = sent.node;
        if let Some(until) = self.frozen_until(number) {
            self.schedule(until - self.now, Event::FirstByte { request });
            return;
        }
        let node = &mut self.nodes[number];
        if node.incarnation != sent.incarnation {
            return;
        }
        let mut limit = None;
        if let Some(server) = self.servers.get_mut(&sent.server) {
            limit = server.limit_at(self.now);
            if limit.is_some() {
                server.first_named.get_or_insert(self.now);
                server.told.entry(number).or_insert(self.now);
            }
        }
        let limit = limit.and_then(RequestLimit::from_per_second);
        let now = Timestamp(self.now);
        let change =
            node.gateway
                .record_limit(sent.record.server(), limit, sent.record.started(), now);
        if change.is_some_and(|change| change.is_urgent()) {
            self.send_heartbeats(number, true);
        }
    }

    fn send_heartbeats(&mut self, sender: usize, is_urgent: bool) {
        let now = Timestamp(self.now);
        let node = &mut self.nodes[sender];
        let count = u32::try_from(node.peers.sharing_nodes()).unwrap_or(u32::MAX);
        node.gateway.set_node_count(count);
        let message = PeerHeartbeat {
            node: node_id(sender),
            incarnation: Incarnation(node.incarnation),
            loads: node.gateway.loads(),
            limits: node.gateway.announced_limits(now),
            ..heartbeat()
        };
        let beats = node
            .sender
            .send(&mut node.peers, message, is_urgent, self.now);
        let half = self.nodes.len() / 2;
        let is_cut = self.scenario.cut.contains(&self.now);
        for (receiver, message) in beats {
            if !(is_cut && (sender < half) != (receiver < half)) {
                self.messages.push(message);
                let message = self.messages.len() - 1;
                self.schedule(MESSAGE_MS, Event::Heartbeat { message, receiver });
            }
        }
    }

    pub fn assert_limits_kept(&self) {
        let worst = self
            .servers
            .iter()
            .max_by(|(_, a), (_, b)| a.worst.0.total_cmp(&b.worst.0));
        let (name, server) = worst.expect("a backend server with a limit");
        let (ratio, time) = server.worst;
        assert!(
            ratio <= 1.0,
            "{} nodes: {name} received {ratio:.2} times the allowed requests at {time} ms",
            self.nodes.len()
        );
    }

    /// Requests a second that a group received in a range of time.
    pub fn rate_of(&self, group: u64, times: Range<u64>) -> f64 {
        let server = &self.servers[&server_name(group)];
        let arrivals = server.arrivals.iter();
        let count = arrivals.filter(|(time, _)| times.contains(time)).count();
        count as f64 * 1000.0 / (times.end - times.start) as f64
    }
}

impl LimitScenario {
    /// Whether the rule excuses a node: it was restarted or frozen in the last seconds.
    fn is_disturbed(&self, node: usize, now: u64) -> bool {
        let recent = now.saturating_sub(WINDOW_MS)..=now;
        let was_frozen = self.frozen.iter().any(|(frozen, times)| {
            *frozen == node && times.start <= now && times.end >= *recent.start()
        });
        was_frozen
            || self
                .restarts
                .iter()
                .any(|(restarted, time)| *restarted == node && recent.contains(time))
    }
}
