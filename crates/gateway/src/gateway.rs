//! Target selection and admission for each request, and the retry budget.

mod cold_shares;
mod paced;
mod request_limits;
mod retries;
mod selection;
mod shares;
mod stalls;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;

use jaysaddle_admission::RetryBudget;
use jaysaddle_fleet::peers::PeerLoad;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::arrivals::ArrivalRates;
use crate::choice::RequestSize;
use crate::choice::RequestWork;
use crate::choice::TargetOutcome;
use crate::choice::TargetRefusal;
use crate::cold_servers::ColdBound;
use crate::cold_servers::ColdServers;
use crate::first_event::PredictionBias;
use crate::limit_shares::LimitShares;
use crate::node_ranks::NodeRanks;
use crate::random::XorshiftRng;
use crate::request_rank::RequestRank;
use crate::retry_pool::RetryPool;
use crate::routes::RouteIndex;
use crate::server_limits::ServerLimits;
use crate::server_pauses::ServerPauses;
use crate::settings::GatewaySettings;
use crate::shedding::SmoothedShare;
use crate::target::RequestTarget;
use crate::target::ServerNumber;
use crate::target::TargetHealth;
use crate::target::TargetNumber;
use crate::target::current_targets;
use crate::target::update_average;

pub use crate::gateway::cold_shares::ColdNotice;

/// A request in flight, as counted in the health of its target.
#[derive(Debug)]
pub struct AttemptRecord {
    number: TargetNumber,
    server: ServerNumber,
    class: TargetClass,
    started: Timestamp,
    /// Whether the request is counted in [`TargetHealth::waiting_late`].
    is_waiting_late: bool,
    /// Whether response data has been received.
    is_streaming: bool,
    /// Prompt tokens that are counted in [`TargetHealth::unread`].
    unread: u32,
    /// Predicted time to the first event, in milliseconds; `None` without a prediction.
    predicted_ms: Option<u32>,
}

impl AttemptRecord {
    /// Number of the backend server that receives the request.
    pub fn server(&self) -> ServerNumber {
        self.server
    }

    /// When the request was sent.
    pub fn started(&self) -> Timestamp {
        self.started
    }
}

/// Key under which targets and durations are grouped: the service, and the model if the service has a model engine.
type TargetClass = (ServiceId, Option<ModelId>);

/// Selects targets for the requests of one node and tracks their load and health.
#[derive(Debug)]
pub struct RequestGateway {
    settings: GatewaySettings,
    index: Option<RouteIndex>,
    targets: HashMap<TargetClass, Vec<Rc<RequestTarget>>>,
    health: HashMap<TargetNumber, TargetHealth>,
    durations: HashMap<TargetClass, f64>,
    /// Mean time to the first event, in milliseconds.
    first_events: HashMap<TargetClass, f64>,
    /// This node's share of the retry budget, by service.
    budgets: HashMap<ServiceId, RetryBudget>,
    pool: RetryPool,
    node_count: u32,
    /// Estimated work of all requests since the start, by model, in milliseconds of one fully used group.
    work: BTreeMap<ModelId, f64>,
    /// Targets of groups that this node's controller has closed.
    closed: HashSet<TargetNumber>,
    limits: ServerLimits,
    pauses: ServerPauses,
    /// Bound on the requests to cold backend servers; `None` without one.
    cold_bound: Option<ColdBound>,
    cold: ColdServers,
    /// Number of requests and calls that were sent to cold backend servers.
    cold_sends: u64,
    /// Order of all known nodes, heard or not, for the shares of requests to cold backend servers.
    cold_ranks: NodeRanks,
    /// Failure domains whose backend servers get nothing.
    evacuated: BTreeSet<FailureDomainId>,
    shares: LimitShares,
    ranks: NodeRanks,
    /// Backend servers that accept too few connections for all nodes, and leave none to this one.
    unconnected: HashSet<ServerNumber>,
    /// Rates at which requests arrive at this node.
    arrivals: HashMap<TargetClass, ArrivalRates>,
    /// Mean number of prompt tokens.
    mean_prompts: HashMap<TargetClass, f64>,
    /// Parts of the requests of each rank that this node has admitted lately.
    shares_by_rank: HashMap<(TargetClass, RequestRank), SmoothedShare>,
    /// Corrections of the predicted times to the first event.
    biases: HashMap<TargetClass, PredictionBias>,
    /// Failure domain whose targets are preferred; `None` for no preference.
    near_domain: Option<FailureDomainId>,
    /// When the shares of this node were last computed; `None` if they have to be computed again.
    shares_updated: Option<Timestamp>,
    random: XorshiftRng,
    /// Change count of the backend table from which `targets` was built.
    table_version: Option<u64>,
    target_changes: u64,
}

impl RequestGateway {
    /// Creates a gateway without a configuration; requests are refused until [`Self::set_config`] is called.
    ///
    /// `node` is the id under which peers know this node.
    pub fn new(settings: GatewaySettings, node: NodeId, seed: u64) -> Self {
        Self {
            settings,
            index: None,
            targets: HashMap::new(),
            health: HashMap::new(),
            durations: HashMap::new(),
            first_events: HashMap::new(),
            budgets: HashMap::new(),
            pool: RetryPool::default(),
            node_count: 1,
            work: BTreeMap::new(),
            closed: HashSet::new(),
            limits: ServerLimits::default(),
            pauses: ServerPauses::default(),
            cold_bound: None,
            cold: ColdServers::default(),
            cold_sends: 0,
            cold_ranks: NodeRanks::new(node.clone()),
            evacuated: BTreeSet::new(),
            shares: LimitShares::default(),
            ranks: NodeRanks::new(node),
            unconnected: HashSet::new(),
            arrivals: HashMap::new(),
            mean_prompts: HashMap::new(),
            shares_by_rank: HashMap::new(),
            biases: HashMap::new(),
            near_domain: None,
            shares_updated: None,
            random: XorshiftRng::new(seed),
            table_version: None,
            target_changes: 0,
        }
    }

    /// Applies a configuration and rebuilds the targets from `table`.
    pub fn set_config(&mut self, config: Rc<ServingConfig>, table: &BackendTable) {
        self.index = Some(RouteIndex::new(config));
        self.table_version = None;
        self.update_targets(table);
    }

    /// Routes of the current configuration; `None` before the first configuration.
    pub fn routes(&self) -> Option<&RouteIndex> {
        self.index.as_ref()
    }

    /// Rebuilds the targets if the backend table has changed. Returns whether the set of targets is different.
    ///
    /// Health is kept for targets that still exist or still have requests in flight.
    pub fn update_targets(&mut self, table: &BackendTable) -> bool {
        if self.table_version == Some(table.change_count()) {
            return false;
        }
        let Some(index) = &self.index else {
            return false;
        };
        self.table_version = Some(table.change_count());
        let before = self.target_numbers();
        self.targets.clear();
        for target in current_targets(table, index.config()) {
            let class = (target.service.clone(), target.model.clone());
            self.targets.entry(class).or_default().push(Rc::new(target));
        }
        let targets = &self.targets;
        self.health.retain(|number, health| {
            health.in_flight > 0
                || targets
                    .values()
                    .flatten()
                    .any(|target| target.number == *number)
        });
        let has_changed = self.target_numbers() != before;
        self.target_changes += u64::from(has_changed);
        has_changed
    }

    /// Number of times that the set of targets has changed since the start.
    pub fn target_changes(&self) -> u64 {
        self.target_changes
    }

    fn target_numbers(&self) -> BTreeSet<TargetNumber> {
        self.targets
            .values()
            .flatten()
            .map(|target| target.number)
            .collect()
    }

    /// Sets the number of nodes among which the retry budget and other shared limits are divided.
    pub fn set_node_count(&mut self, count: u32) {
        self.node_count = count.max(1);
        self.update_budgets();
    }

    /// Number of nodes among which the retry budget and other shared limits are divided; at least 1.
    pub fn node_count(&self) -> u32 {
        self.node_count
    }

    /// Returns a randomized delay after which the caller of a refused request may retry.
    pub fn retry_after(&mut self, refusal: TargetRefusal) -> TimeSpan {
        let (min, max) = match refusal {
            TargetRefusal::Full => self.settings.retry_after_full,
            TargetRefusal::NoTarget => self.settings.retry_after_no_target,
            TargetRefusal::Crowded { share_permille } => {
                let (min, max) = self.settings.retry_after_crowded;
                let missing = 1000u64.saturating_sub(u64::from(share_permille));
                let delay = TimeSpan(min.0 + max.0.saturating_sub(min.0) * missing / 1000);
                // Callers that are refused at the same time return at different times.
                (
                    TimeSpan(delay.0 * 2 / 3).max(min),
                    TimeSpan(delay.0 * 4 / 3),
                )
            }
            TargetRefusal::Limited { wait } => {
                let (min, max) = self.settings.retry_after_limited;
                // Callers that are refused at the same time return at different times.
                (wait.clamp(min, max), TimeSpan(wait.0 * 2).clamp(min, max))
            }
        };
        let spread = usize::try_from(max.0.saturating_sub(min.0)).unwrap_or(0);
        TimeSpan(min.0 + self.random.below(spread + 1) as u64)
    }

    /// Records that a request was sent to a target. The returned record must be passed to [`Self::record_end`].
    pub fn record_start(
        &mut self,
        target: &RequestTarget,
        is_late: bool,
        now: Timestamp,
    ) -> AttemptRecord {
        let number = target.number;
        let class = (target.service.clone(), target.model.clone());
        let health = self.health.entry(number).or_default();
        if health.in_flight == 0 {
            health.last_data = now;
        }
        health.in_flight += 1;
        health.waiting_late += u32::from(is_late);
        self.record_send(target.server, now);
        AttemptRecord {
            number,
            server: target.server,
            class,
            started: now,
            is_waiting_late: is_late,
            is_streaming: false,
            unread: 0,
            predicted_ms: None,
        }
    }

    /// Records the prompt of a request that was sent to a target by a prediction.
    pub fn record_prompt(&mut self, record: &mut AttemptRecord, tokens: u32, predicted_ms: u32) {
        record.unread = tokens;
        record.predicted_ms = Some(predicted_ms);
        if let Some(health) = self.health.get_mut(&record.number) {
            health.unread = health.unread.saturating_add(tokens);
        }
    }

    /// Records data received from a target. `pause` is the time since the previous data of the same response, `None`
    /// for its first data.
    pub fn record_progress(
        &mut self,
        record: &mut AttemptRecord,
        pause: Option<TimeSpan>,
        now: Timestamp,
    ) {
        let Some(health) = self.health.get_mut(&record.number) else {
            return;
        };
        if std::mem::take(&mut record.is_waiting_late) {
            health.waiting_late = health.waiting_late.saturating_sub(1);
        }
        if !std::mem::replace(&mut record.is_streaming, true) {
            health.streaming += 1;
        }
        let unread = std::mem::take(&mut record.unread);
        health.unread = health.unread.saturating_sub(unread);
        health.last_data = now;
        health.avoid_until = Timestamp(0);
        health.suspect_until = Timestamp(0);
        match pause {
            Some(pause) => {
                update_average(&mut health.pause_ms, pause.as_millis().max(1) as f64);
            }
            None => {
                let millis = now.since(record.started).as_millis().max(1) as f64;
                let average = self.first_events.entry(record.class.clone());
                update_average(average.or_insert(millis), millis);
                if let Some(predicted) = record.predicted_ms {
                    let bias = self.biases.entry(record.class.clone()).or_default();
                    // The prediction already includes the present correction.
                    bias.record(f64::from(predicted) / bias.ratio(), millis);
                }
            }
        }
    }

    /// Records the outcome of a request and removes it from the counts of requests in flight.
    pub fn record_end(&mut self, record: &AttemptRecord, outcome: TargetOutcome, now: Timestamp) {
        let avoid_time = self.settings.avoid_time;
        let Some(health) = self.health.get_mut(&record.number) else {
            return;
        };
        health.in_flight = health.in_flight.saturating_sub(1);
        health.waiting_late = health
            .waiting_late
            .saturating_sub(u32::from(record.is_waiting_late));
        health.streaming = health
            .streaming
            .saturating_sub(u32::from(record.is_streaming));
        health.unread = health.unread.saturating_sub(record.unread);
        match outcome {
            TargetOutcome::Answered => {
                health.failure_rate *= 0.8;
                let class = record.class.clone();
                let millis = now.since(record.started).as_millis().max(1) as f64;
                update_average(self.durations.entry(class).or_insert(millis), millis);
            }
            TargetOutcome::Refused => health.avoid_until = now + avoid_time,
            TargetOutcome::Failed => {
                health.record_failure();
            }
            TargetOutcome::Abandoned => {}
        }
    }

    /// Backend server of a target; `None` if this node does not know the target.
    pub fn backend_of(&self, number: TargetNumber) -> Option<&VmId> {
        self.targets
            .values()
            .flatten()
            .find(|target| target.number == number)
            .map(|target| &target.backend)
    }

    /// This node's requests in flight by target, for its heartbeats to peers.
    pub fn loads(&self) -> Vec<PeerLoad> {
        self.health
            .iter()
            .filter(|(_, health)| health.in_flight > 0)
            .map(|(number, health)| PeerLoad {
                target: number.0,
                requests: health.in_flight,
                late: health.waiting_late,
                unread: health.unread,
            })
            .collect()
    }

    /// Estimated work of all requests since the start, by model, in milliseconds of one fully used group.
    pub fn work(&self) -> Vec<(ModelId, u64)> {
        self.work
            .iter()
            .map(|(model, work_ms)| (model.clone(), *work_ms as u64))
            .collect()
    }

    /// Replaces the set of closed targets by the groups of `leaders`, which this node's controller has closed.
    pub fn set_closed_leaders(&mut self, leaders: &[VmId]) {
        self.closed = self
            .targets
            .values()
            .flatten()
            .filter(|target| target.group.is_some() && leaders.contains(&target.backend))
            .map(|target| target.number)
            .collect();
    }

    /// Numbers of the targets that this node's controller has closed.
    pub fn closed_targets(&self) -> Vec<u32> {
        self.closed.iter().map(|number| number.0).collect()
    }

    /// Records a new request for a service: adds to its retry budget, and adds the estimated work if `size` is known.
    /// Returns the work that was added.
    pub fn record_request(
        &mut self,
        service: &ServiceId,
        size: Option<&RequestSize<'_>>,
    ) -> Option<RequestWork> {
        self.budget(service).record_request();
        self.pool.record_request(service);
        let size = size?;
        let engine = self.index.as_ref()?.config().engine(service)?;
        engine.model(size.model)?;
        let output_tokens = size.output_tokens.unwrap_or(engine.typical_output_tokens);
        let work_ms = engine.work_ms(size.model, size.prompt_tokens, output_tokens);
        *self.work.entry(size.model.clone()).or_default() += work_ms;
        Some(RequestWork {
            prompt_tokens: size.prompt_tokens,
            output_tokens,
            work_ms,
        })
    }
}
