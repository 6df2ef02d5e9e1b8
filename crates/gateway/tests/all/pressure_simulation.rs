//! Simulation of nodes in front of model engines that get more requests than they can begin in time.
//!
//! An engine reads prompts one after the other and writes in passes, as [`first_event`](jaysaddle_gateway::first_event)
//! describes. Nodes know each other's load from heartbeats.

use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;

use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_gateway::choice::QueryWork;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetQuery;
use jaysaddle_gateway::gateway::AttemptRecord;
use jaysaddle_gateway::gateway::RequestGateway;
use jaysaddle_gateway::random::XorshiftRng;
use jaysaddle_gateway::request_rank::RequestRank;
use jaysaddle_gateway::settings::GatewaySettings;
use jaysaddle_gateway::settings::PacingSettings;
use jaysaddle_gateway::target::TargetNumber;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::dissemination::BeatSender;
use crate::dissemination::HEARTBEAT_MS;
use crate::fixture::ENGINE_SERVICE;
use crate::fixture::MODEL;
use crate::fixture::add_group;
use crate::fixture::config;
use crate::fixture::heartbeat;

pub const SLOTS: u32 = 48;
/// Time within which the first event must arrive, and the way to the caller and back.
const LATENCY_TARGET_MS: u64 = 250;
const WAY_MS: u64 = 5;
const EVENTS: u32 = 30;
const PROMPT_TOKENS: u32 = 700;
const TOKEN_MS: f64 = 0.01;
const STEP_MS: f64 = 4.0;
const SEQUENCE_MS: f64 = 0.06;
const STEPS: u32 = 5;

/// Time of a pass with `writers` requests, without reading.
fn pass_ms(writers: usize) -> f64 {
    f64::from(STEPS) * (STEP_MS + SEQUENCE_MS * writers as f64)
}

/// Requests a second that a group serves with all slots in use.
pub fn group_capacity() -> f64 {
    let read = f64::from(PROMPT_TOKENS) * TOKEN_MS;
    let busy = f64::from(EVENTS) * pass_ms(SLOTS as usize) / f64::from(SLOTS);
    1000.0 / (busy + read)
}

/// One stream of requests with the same rank and account.
#[derive(Clone, Debug)]
pub struct RequestFlow {
    pub rank: RequestRank,
    pub account: &'static str,
    /// Requests a second at all nodes together.
    pub rate: f64,
    pub times: Range<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct FlowResult {
    pub offered: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
}

struct EngineRequest {
    node: usize,
    flow: usize,
    arrived: u64,
    unread: f64,
    events_left: u32,
    record: AttemptRecord,
    has_begun: bool,
}

#[derive(Default)]
struct Engine {
    requests: Vec<EngineRequest>,
    pass_end: f64,
}

impl Engine {
    /// Adds a request. Those that wait for a slot are in order of their ranks.
    fn push(&mut self, request: EngineRequest, flows: &[RequestFlow]) {
        let rank = flows[request.flow].rank;
        let running = self.requests.len().min(SLOTS as usize);
        let waiting = &self.requests[running..];
        let position = waiting.partition_point(|other| flows[other.flow].rank <= rank);
        self.requests.insert(running + position, request);
    }
}

struct PressureNode {
    gateway: RequestGateway,
    peers: PeerTable,
    sender: BeatSender,
}

/// Nodes, groups and what happens to them. All times are in milliseconds.
#[derive(Clone, Debug)]
pub struct PressureScenario {
    pub nodes: usize,
    pub groups: u64,
    pub flows: Vec<RequestFlow>,
    pub until: u64,
    /// Whether requests are selected by prediction; otherwise by their number.
    pub is_paced: bool,
    /// Time from which results count. Those of requests that arrive in the last [`RESULT_MS`] do not.
    pub counted_from: u64,
    /// Time at which a further group opens.
    pub opening: Option<u64>,
    /// Time at which every second node restarts without any knowledge.
    pub restart: Option<u64>,
    /// Time at which the two halves of the nodes do not hear each other.
    pub cut: Range<u64>,
}

impl Default for PressureScenario {
    fn default() -> Self {
        Self {
            nodes: 7,
            groups: 8,
            flows: Vec::new(),
            until: 9000,
            is_paced: true,
            counted_from: 4000,
            opening: None,
            restart: None,
            cut: 0..0,
        }
    }
}

fn engine_config() -> ServingConfig {
    let mut config = config();
    let engine = config.services[0].engine.as_mut().expect("an engine");
    engine.slots = SlotCount(SLOTS);
    engine.prompt_token_ms = TOKEN_MS;
    engine.step_ms = STEP_MS;
    engine.sequence_ms = SEQUENCE_MS;
    engine.steps_per_event = STEPS;
    config.services[0].max_connections = 4000;
    config
}

/// Time after which it is known whether a request was in time.
const RESULT_MS: u64 = 1000;

impl PressureScenario {
    /// Whether the result of a request that arrives at `time` counts.
    fn counts(&self, time: u64) -> bool {
        (self.counted_from..self.until - RESULT_MS).contains(&time)
    }

    fn new_node(&self, number: usize, table: &BackendTable, now: u64) -> PressureNode {
        let settings = GatewaySettings {
            pacing: self.is_paced.then(PacingSettings::default),
            ..GatewaySettings::default()
        };
        let seed = 1 + number as u64 * 7919 + now;
        let id = NodeId::new(format!("node-{number}"));
        let mut gateway = RequestGateway::new(settings, id, seed);
        gateway.set_config(Rc::new(engine_config()), table);
        PressureNode {
            gateway,
            peers: PeerTable::default(),
            sender: BeatSender::new(number, self.nodes, now),
        }
    }

    /// Runs the scenario and returns the result of each flow, and of pairs of admissions and refusals: how many requests
    /// were refused, and how many of them less than 50 ms after a request of a lower rank was admitted.
    pub fn run(&self, seed: u64) -> (Vec<FlowResult>, (u32, u32)) {
        let mut random = XorshiftRng::new(seed);
        let mut table = BackendTable::default();
        (0..self.groups).for_each(|group| add_group(&mut table, group));
        let mut nodes: Vec<PressureNode> = (0..self.nodes)
            .map(|node| self.new_node(node, &table, 0))
            .collect();
        let mut engines: HashMap<TargetNumber, Engine> = HashMap::new();
        let mut results = vec![FlowResult::default(); self.flows.len()];
        let mut last_admitted: HashMap<RequestRank, u64> = HashMap::new();
        let mut inversions = (0, 0);
        for now in 1..self.until {
            if self.opening == Some(now) {
                add_group(&mut table, self.groups);
                for node in &mut nodes {
                    node.gateway.update_targets(&table);
                }
            }
            if self.restart == Some(now) {
                for number in (0..self.nodes).step_by(2) {
                    nodes[number] = self.new_node(number, &table, now);
                }
            }
            for (flow, result) in results.iter_mut().enumerate() {
                let RequestFlow { rate, times, .. } = &self.flows[flow];
                if times.contains(&now) && random.fraction() < rate / 1000.0 {
                    let node = random.below(self.nodes);
                    let is_counted = self.counts(now);
                    let rank = self.flows[flow].rank;
                    let request = self.send(&mut nodes[node], node, flow, now);
                    result.offered += u32::from(is_counted);
                    match request {
                        Some((number, request)) => {
                            last_admitted.insert(rank, now);
                            engines
                                .entry(number)
                                .or_default()
                                .push(request, &self.flows);
                        }
                        None if is_counted => {
                            result.refused += 1;
                            inversions.0 += 1;
                            let mut lower =
                                last_admitted.iter().filter(|(other, _)| **other > rank);
                            inversions.1 += u32::from(lower.any(|(_, time)| now - time < 50));
                        }
                        None => {}
                    }
                }
            }
            for engine in engines.values_mut() {
                self.advance(engine, &mut nodes, &mut results, now);
            }
            for number in 0..self.nodes {
                if (now + number as u64 * 37).is_multiple_of(HEARTBEAT_MS) {
                    self.send_heartbeats(&mut nodes, number, now);
                }
            }
        }
        (results, inversions)
    }

    fn send(
        &self,
        node: &mut PressureNode,
        number: usize,
        flow: usize,
        now: u64,
    ) -> Option<(TargetNumber, EngineRequest)> {
        let (service, model) = (ServiceId::new(ENGINE_SERVICE), ModelId::new(MODEL));
        let account = AccountId::new(self.flows[flow].account);
        let query = TargetQuery {
            service: &service,
            model: Some(&model),
            latency_target: TimeSpan(LATENCY_TARGET_MS),
            tried: &[],
            has_started: false,
            is_caller_retry: false,
            work: Some(QueryWork {
                rank: self.flows[flow].rank,
                account: Some(&account),
                prompt_tokens: PROMPT_TOKENS,
            }),
        };
        let time = Timestamp(now);
        node.gateway.record_arrival(&query, time);
        let choice = node.gateway.choose(&query, &node.peers, time).ok()?;
        let mut record = node
            .gateway
            .record_start(&choice.target, choice.is_late, time);
        if let Some(paced) = choice.inputs.paced {
            node.gateway
                .record_prompt(&mut record, PROMPT_TOKENS, paced.predicted_ms);
        }
        let request = EngineRequest {
            node: number,
            flow,
            arrived: now,
            unread: f64::from(PROMPT_TOKENS),
            events_left: EVENTS,
            record,
            has_begun: false,
        };
        Some((choice.target.number, request))
    }

    /// Ends the passes of an engine that are over: prompts were read in order, and each request that had been read before
    /// has written an event.
    fn advance(
        &self,
        engine: &mut Engine,
        nodes: &mut [PressureNode],
        results: &mut [FlowResult],
        now: u64,
    ) {
        while !engine.requests.is_empty() && engine.pass_end <= now as f64 {
            let running = engine.requests.iter_mut().take(SLOTS as usize);
            let mut writers = 0;
            let mut read = 0.0;
            for request in running {
                if request.unread > 0.0 {
                    read += request.unread;
                    request.unread = 0.0;
                } else {
                    writers += 1;
                    request.events_left -= 1;
                    let (time, node) = (Timestamp(now), &mut nodes[request.node]);
                    let pause = request.has_begun.then_some(TimeSpan(50));
                    node.gateway
                        .record_progress(&mut request.record, pause, time);
                    if !std::mem::replace(&mut request.has_begun, true)
                        && self.counts(request.arrived)
                    {
                        let result = &mut results[request.flow];
                        if now + WAY_MS - request.arrived <= LATENCY_TARGET_MS {
                            result.on_time += 1;
                        } else {
                            result.late += 1;
                        }
                    }
                }
            }
            for request in engine
                .requests
                .iter()
                .filter(|request| request.events_left == 0)
            {
                let gateway = &mut nodes[request.node].gateway;
                gateway.record_end(&request.record, TargetOutcome::Answered, Timestamp(now));
            }
            engine.requests.retain(|request| request.events_left > 0);
            engine.pass_end =
                engine.pass_end.max(now as f64 - 1.0) + pass_ms(writers) + read * TOKEN_MS;
        }
    }

    fn send_heartbeats(&self, nodes: &mut [PressureNode], number: usize, now: u64) {
        let node = &mut nodes[number];
        let own = jaysaddle_fleet::peers::PeerHeartbeat {
            node: NodeId::new(format!("node-{number}")),
            incarnation: jaysaddle_types::ids::Incarnation(1 + now),
            loads: node.gateway.loads(),
            ..heartbeat()
        };
        for (receiver, beat) in node.sender.send(&mut node.peers, own, false, now) {
            let half = self.nodes / 2;
            let is_cut = self.cut.contains(&now) && (number < half) != (receiver < half);
            if receiver != number && !is_cut {
                nodes[receiver].peers.record_heartbeat(beat, Timestamp(now));
            }
        }
    }
}
