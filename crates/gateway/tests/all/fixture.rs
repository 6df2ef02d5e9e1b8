//! Test fixture: a gateway with a few groups and backend servers.

use std::rc::Rc;

use jaysaddle_fleet::peers::PeerHeartbeat;
use jaysaddle_fleet::peers::PeerLoad;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetQuery;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::gateway::AttemptRecord;
use jaysaddle_gateway::gateway::RequestGateway;
use jaysaddle_gateway::settings::GatewaySettings;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_gateway::target::TargetNumber;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::FabricDomainId;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::Incarnation;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::StoreEra;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::AccountEntry;
use jaysaddle_types::serving::BackendEntry;
use jaysaddle_types::serving::EngineProfile;
use jaysaddle_types::serving::GroupKey;
use jaysaddle_types::serving::GroupMembership;
use jaysaddle_types::serving::MemberPhase;
use jaysaddle_types::serving::ModelProfile;
use jaysaddle_types::serving::RequestKind;
use jaysaddle_types::serving::RouteRule;
use jaysaddle_types::serving::ServiceRule;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::ProcessorShare;
use jaysaddle_types::units::SlotCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

pub const ENGINE_SERVICE: &str = "engines";
pub const PLAIN_SERVICE: &str = "records";
pub const MODEL: &str = "model";
pub const SLOTS: u32 = 16;

pub fn route(prefix: &str, targets: &[(&str, u32)]) -> RouteRule {
    RouteRule {
        name: prefix.into(),
        host: "calls.example".into(),
        path_prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: TimeSpan(1000),
        latency_target: TimeSpan(300),
        priority: 2,
        targets: targets
            .iter()
            .map(|(name, weight)| (ServiceId::new(*name), *weight))
            .collect(),
        max_attempts: 2,
        is_public: false,
    }
}

pub fn config() -> ServingConfig {
    ServingConfig {
        version: 1,
        routes: vec![
            route("/a/", &[(ENGINE_SERVICE, 1)]),
            route("/a/b/", &[(PLAIN_SERVICE, 1)]),
            RouteRule {
                is_public: true,
                ..route("/open/", &[(PLAIN_SERVICE, 1)])
            },
            route("/split/", &[(ENGINE_SERVICE, 90), (PLAIN_SERVICE, 10)]),
        ],
        services: vec![
            ServiceRule {
                id: ServiceId::new(ENGINE_SERVICE),
                max_connections: 100,
                cold_rate: 14.0,
                cold_time: TimeSpan::from_secs(3),
                engine: Some(EngineProfile {
                    slots: SlotCount(SLOTS),
                    models: vec![ModelProfile {
                        id: ModelId::new(MODEL),
                        group_size: 2,
                        work_share: 1.0,
                        load_time: TimeSpan(1000),
                        staged_join_time: TimeSpan(100),
                        time_factor: 1.0,
                    }],
                    loads_per_second: 5.0,
                    concurrent_loads: 7,
                    open_time: TimeSpan(300),
                    prompt_token_ms: 0.02,
                    output_token_ms: 0.5,
                    typical_output_tokens: 150,
                    step_ms: 0.0,
                    sequence_ms: 0.0,
                    steps_per_event: 1,
                }),
            },
            ServiceRule {
                id: ServiceId::new(PLAIN_SERVICE),
                max_connections: 100,
                cold_rate: 0.0,
                cold_time: TimeSpan(0),
                engine: None,
            },
        ],
        accounts: Some(vec![AccountEntry {
            id: AccountId::new("lender"),
            keys: vec!["secret".into()],
            priority: Some(1),
        }]),
        ..ServingConfig::default()
    }
}

pub fn entry(id: &str, service: &str) -> BackendEntry {
    BackendEntry {
        id: VmId::new(id),
        started: 1,
        service: ServiceId::new(service),
        address: "10.0.0.1:80".parse().expect("address"),
        failure_domain: FailureDomainId::new("a"),
        fabric_domain: Some(FabricDomainId::new("a-0")),
        slots: SlotCount(6),
        is_draining: false,
        model: None,
        staged: Vec::new(),
        membership: None,
        cold_left: TimeSpan(0),
    }
}

pub fn add_group(table: &mut BackendTable, number: u64) {
    for rank in 0..2 {
        let phase = if rank == 0 {
            MemberPhase::Open
        } else {
            MemberPhase::Ready
        };
        let member = BackendEntry {
            model: Some(ModelId::new(MODEL)),
            membership: Some(GroupMembership {
                key: GroupKey {
                    group: GroupId::new(format!("g{number}")),
                    generation: Generation(number),
                },
                rank,
                phase,
            }),
            ..entry(&format!("vm{number}-{rank}"), ENGINE_SERVICE)
        };
        table.put(member, Timestamp(1));
    }
}

/// Heartbeat of a serving peer without any load.
pub fn heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        node: NodeId::new("peer"),
        incarnation: Incarnation(1),
        failure_domain: FailureDomainId::new("a"),
        caller_address: "10.0.0.2:80".parse().expect("address"),
        peer_address: "10.0.0.2:81".parse().expect("address"),
        phase: PeerPhase::Serving,
        config_version: 1,
        table_age: TimeSpan(0),
        is_store_unreachable: false,
        claim: None,
        handover: None,
        loads: Vec::new(),
        stalled_targets: Vec::new(),
        work: Vec::new(),
        target_changes: 0,
        closed_targets: Vec::new(),
        unserved: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
        crash_facts: Vec::new(),
        content_blocks: Vec::new(),
        usage: Vec::new(),
        processor: ProcessorShare(250),
        table_version: 0,
        is_relay: false,
        digest: None,
        store_era: StoreEra(1),
        latest_term: LeaseEpoch(1),
        evacuations: None,
    }
}

/// A gateway with `groups` groups and one backend server of the plain service.
pub struct GatewayFixture {
    pub gateway: RequestGateway,
    pub peers: PeerTable,
    pub service: ServiceId,
    pub model: ModelId,
    /// Number of requests that were admitted as late.
    pub late_count: usize,
    /// Requests in flight, in sending order.
    pub in_flight: Vec<(Rc<RequestTarget>, AttemptRecord)>,
}

impl GatewayFixture {
    pub fn new(groups: u64) -> Self {
        Self::with_seed(groups, 1)
    }

    /// The same with a seed for the random choices, so that several nodes can differ.
    pub fn with_seed(groups: u64, seed: u64) -> Self {
        let mut table = BackendTable::default();
        for number in 0..groups {
            add_group(&mut table, number);
        }
        table.put(entry("plain0", PLAIN_SERVICE), Timestamp(1));
        let node = NodeId::new(format!("node-{seed}"));
        let mut gateway = RequestGateway::new(GatewaySettings::default(), node, seed);
        gateway.set_config(Rc::new(config()), &table);
        Self {
            gateway,
            peers: PeerTable::default(),
            service: ServiceId::new(ENGINE_SERVICE),
            model: ModelId::new(MODEL),
            late_count: 0,
            in_flight: Vec::new(),
        }
    }

    /// Sends a new request. Returns `None` if it is refused.
    pub fn send(&mut self, tried: &[TargetNumber], now: u64) -> Option<TargetNumber> {
        self.send_request(tried, false, now)
    }

    /// Sends a request whose caller retries after a refusal. Returns `None` if it is refused again.
    pub fn retry_refused(&mut self, now: u64) -> Option<TargetNumber> {
        self.send_request(&[], true, now)
    }

    /// The reason why a new request is refused; `None` if it is not.
    pub fn refusal(&mut self, now: u64) -> Option<TargetRefusal> {
        let query = TargetQuery {
            service: &self.service,
            model: Some(&self.model),
            latency_target: TimeSpan(300),
            tried: &[],
            has_started: false,
            is_caller_retry: false,
            work: None,
        };
        let chosen = self.gateway.choose(&query, &self.peers, Timestamp(now));
        chosen.err()
    }

    fn send_request(
        &mut self,
        tried: &[TargetNumber],
        is_caller_retry: bool,
        now: u64,
    ) -> Option<TargetNumber> {
        let query = TargetQuery {
            service: &self.service,
            model: Some(&self.model),
            latency_target: TimeSpan(300),
            tried,
            has_started: false,
            is_caller_retry,
            work: None,
        };
        let choice = self
            .gateway
            .choose(&query, &self.peers, Timestamp(now))
            .ok()?;
        let number = choice.target.number;
        let record = self
            .gateway
            .record_start(&choice.target, choice.is_late, Timestamp(now));
        self.in_flight.push((choice.target, record));
        self.late_count += usize::from(choice.is_late);
        Some(number)
    }

    /// Records data for the oldest request in flight at a target, `pause` ms after the previous data.
    pub fn progress(&mut self, number: TargetNumber, pause: u64, now: u64) {
        let (_, record) = self
            .in_flight
            .iter_mut()
            .find(|(target, _)| target.number == number)
            .expect("a request in flight");
        let pause = Some(TimeSpan(pause));
        self.gateway.record_progress(record, pause, Timestamp(now));
    }

    /// Receives the first data for the oldest request in flight at a target.
    pub fn begin(&mut self, number: TargetNumber, now: u64) {
        let (_, record) = self
            .in_flight
            .iter_mut()
            .find(|(target, _)| target.number == number)
            .expect("a request in flight");
        self.gateway.record_progress(record, None, Timestamp(now));
    }

    /// Ends the `count` oldest requests in flight.
    pub fn end(&mut self, count: usize, outcome: TargetOutcome, now: u64) {
        for (_, record) in self.in_flight.drain(..count) {
            self.gateway.record_end(&record, outcome, Timestamp(now));
        }
    }

    /// Ends the oldest request in flight at a target.
    pub fn end_at(&mut self, number: TargetNumber, outcome: TargetOutcome, now: u64) {
        let position = self
            .in_flight
            .iter()
            .position(|(target, _)| target.number == number)
            .expect("a request in flight");
        let (_, record) = self.in_flight.remove(position);
        self.gateway.record_end(&record, outcome, Timestamp(now));
    }

    /// Handles a heartbeat of a peer with the given load, stalled targets and closed targets.
    pub fn receive_heartbeat(
        &mut self,
        loads: Vec<(u32, u32)>,
        stalled: Vec<u32>,
        closed: Vec<u32>,
        now: u64,
    ) {
        let heartbeat = PeerHeartbeat {
            loads: loads
                .into_iter()
                .map(|(target, requests)| PeerLoad {
                    target,
                    requests,
                    late: 0,
                    unread: 0,
                })
                .collect(),
            stalled_targets: stalled,
            closed_targets: closed,
            ..heartbeat()
        };
        self.peers.record_heartbeat(heartbeat, Timestamp(now));
    }
}
