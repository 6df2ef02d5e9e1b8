//! Choice of a target for each request, admission, and the budget for repeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;

use jaysaddle_admission::RetryBudget;
use jaysaddle_fleet::peers::PeerLoad;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::choice::ChoiceInputs;
use crate::choice::RequestSize;
use crate::choice::TargetChoice;
use crate::choice::TargetOutcome;
use crate::choice::TargetQuery;
use crate::choice::TargetRefusal;
use crate::random::SpreadRandom;
use crate::routes::RouteIndex;
use crate::settings::GatewaySettings;
use crate::target::RequestTarget;
use crate::target::TargetHealth;
use crate::target::TargetNumber;
use crate::target::blend;
use crate::target::current_targets;

/// Weight of a target's failures in its score: one that fails an eighth of its requests counts as twice as
/// loaded.
const FAILURE_WEIGHT: f64 = 8.0;

/// Order of targets; the least is chosen.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct TargetScore {
    is_avoided: bool,
    is_late: bool,
    load: f64,
}

/// What a request in flight counts for at its target.
#[derive(Debug)]
pub struct AttemptAccount {
    number: TargetNumber,
    class: TargetClass,
    started: Timestamp,
    /// Whether it waits behind requests that can still be on time.
    is_waiting_late: bool,
    /// Whether its answer has begun.
    is_streaming: bool,
}

type TargetClass = (ServiceId, Option<ModelId>);

/// State of the decisions about requests at one node.
#[derive(Debug)]
pub struct RequestGateway {
    settings: GatewaySettings,
    index: Option<RouteIndex>,
    targets: HashMap<TargetClass, Vec<Rc<RequestTarget>>>,
    health: HashMap<TargetNumber, TargetHealth>,
    durations: HashMap<TargetClass, f64>,
    budgets: HashMap<ServiceId, RetryBudget>,
    node_count: u32,
    /// Work of callers' requests since the start, in milliseconds of a fully used group.
    work: BTreeMap<ModelId, f64>,
    closed: HashSet<TargetNumber>,
    random: SpreadRandom,
    table_change: Option<u64>,
    target_changes: u64,
}

impl RequestGateway {
    /// A gateway without a configuration.
    pub fn new(settings: GatewaySettings, seed: u64) -> Self {
        Self {
            settings,
            index: None,
            targets: HashMap::new(),
            health: HashMap::new(),
            durations: HashMap::new(),
            budgets: HashMap::new(),
            node_count: 1,
            work: BTreeMap::new(),
            closed: HashSet::new(),
            random: SpreadRandom::new(seed),
            table_change: None,
            target_changes: 0,
        }
    }

    /// Puts a configuration in force.
    pub fn set_config(&mut self, config: Rc<ServingConfig>, table: &BackendTable) {
        self.index = Some(RouteIndex::new(config));
        self.table_change = None;
        self.fleet_changed(table);
    }

    /// The routes, once a configuration is known.
    pub fn routes(&self) -> Option<&RouteIndex> {
        self.index.as_ref()
    }

    /// Takes over the registered backend servers. Returns whether the targets have changed.
    pub fn fleet_changed(&mut self, table: &BackendTable) -> bool {
        if self.table_change == Some(table.change_count()) {
            return false;
        }
        let Some(index) = &self.index else {
            return false;
        };
        self.table_change = Some(table.change_count());
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

    /// Counts changes of the targets.
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

    /// Takes over the number of nodes among which the budget for repeats is divided.
    pub fn set_node_count(&mut self, count: u32) {
        let count = count.max(1);
        if self.node_count != count {
            self.node_count = count;
            self.budgets.clear();
        }
    }

    /// Takes over the limits of repeats: thousandths of the requests, and a number in any window.
    pub fn set_repeat_limits(&mut self, permille: u32, burst: u32) {
        self.settings.repeat_permille = permille;
        self.settings.repeat_burst = burst;
        self.budgets.clear();
    }

    /// Nodes among which limits are divided.
    pub fn node_count(&self) -> u32 {
        self.node_count
    }

    /// Chooses a target. The caller reports the start, progress and end of the request there.
    ///
    /// # Errors
    ///
    /// Fails when no target serves the request or all are full.
    pub fn choose(
        &mut self,
        query: &TargetQuery<'_>,
        peers: &PeerTable,
        now: Timestamp,
    ) -> Result<TargetChoice, TargetRefusal> {
        // A plain service serves requests that name a model like all others.
        let has_models = self
            .index
            .as_ref()
            .is_some_and(|index| index.config().engine(query.service).is_some());
        let model = query.model.filter(|_| has_models);
        let class = (query.service.clone(), model.cloned());
        let targets = self.targets.get(&class).map_or(&[][..], Vec::as_slice);
        if targets.is_empty() {
            return Err(TargetRefusal::NoTarget);
        }
        let duration = self
            .durations
            .get(&class)
            .copied()
            .unwrap_or(self.settings.assumed_duration_ms);
        let wait = query.latency_target.as_millis() as f64 * self.settings.wait_share;
        let least_pause = targets
            .iter()
            .filter_map(|target| self.health.get(&target.number))
            .map(|health| health.pause_ms)
            .filter(|pause| *pause > 0.0)
            .fold(f64::INFINITY, f64::min);
        let offset = self.random.below(targets.len());
        let mut best: Option<(TargetScore, &Rc<RequestTarget>, u32)> = None;
        let mut candidates = 0;
        for step in 0..targets.len() {
            let target = &targets[(offset + step) % targets.len()];
            let is_closed =
                self.closed.contains(&target.number) || peers.is_closed(target.number.0);
            if is_closed || query.tried.contains(&target.number) {
                continue;
            }
            let health = self.health.get(&target.number);
            let (own, own_late) =
                health.map_or((0, 0), |health| (health.in_flight, health.waiting_late));
            let requests = own + peers.load_of(target.number.0);
            let all = f64::from(requests);
            let late = f64::from(own_late + peers.late_load_of(target.number.0));
            let load = (all - late).max(0.0);
            let slots = f64::from(target.slots);
            let is_late = load >= slots * (1.0 + wait / duration);
            // Late requests that get places hold up those that can be on time. One may wait, so that a place which
            // comes free is used at once.
            let is_full = if query.is_returning {
                all > slots
            } else {
                is_late
            };
            if is_full && !query.is_repeat {
                continue;
            }
            candidates += 1;
            let is_avoided = peers.is_silent(target.number.0)
                || health.is_some_and(|health| {
                    self.is_suspect(target, health, self.settings.hesitation, now)
                });
            let slowness = health.map_or(1.0, |health| {
                let pause = if health.pause_ms > 0.0 && least_pause.is_finite() {
                    (health.pause_ms / least_pause).max(1.0)
                } else {
                    1.0
                };
                pause * (1.0 + FAILURE_WEIGHT * health.failure_rate)
            });
            let score = TargetScore {
                is_avoided,
                is_late,
                load: (if is_late { all } else { load } + 1.0) / slots * slowness,
            };
            if best.as_ref().is_none_or(|(least, ..)| score < *least) {
                best = Some((score, target, requests));
            }
        }
        match best {
            Some((score, target, load)) => Ok(TargetChoice {
                target: target.clone(),
                is_late: score.is_late || query.is_returning,
                inputs: ChoiceInputs {
                    candidates,
                    load,
                    slots: target.slots,
                },
            }),
            None => Err(TargetRefusal::Full),
        }
    }

    /// When a refused caller may come back.
    pub fn retry_after(&mut self, refusal: TargetRefusal) -> TimeSpan {
        let (least, most) = match refusal {
            TargetRefusal::Full => self.settings.retry_after_full,
            TargetRefusal::NoTarget => self.settings.retry_after_none,
        };
        let spread = usize::try_from(most.0.saturating_sub(least.0)).unwrap_or(0);
        TimeSpan(least.0 + self.random.below(spread + 1) as u64)
    }

    /// Takes note of a request sent to a target. The account has to come back to [`Self::ended`].
    pub fn started(
        &mut self,
        target: &RequestTarget,
        is_late: bool,
        now: Timestamp,
    ) -> AttemptAccount {
        let number = target.number;
        let class = (target.service.clone(), target.model.clone());
        let health = self.health.entry(number).or_default();
        if health.in_flight == 0 {
            health.last_data = now;
        }
        health.in_flight += 1;
        health.waiting_late += u32::from(is_late);
        AttemptAccount {
            number,
            class,
            started: now,
            is_waiting_late: is_late,
            is_streaming: false,
        }
    }

    /// Takes note of data from a target. `pause` is the time since the data before in the same answer.
    pub fn progressed(
        &mut self,
        account: &mut AttemptAccount,
        pause: Option<TimeSpan>,
        now: Timestamp,
    ) {
        let Some(health) = self.health.get_mut(&account.number) else {
            return;
        };
        if std::mem::take(&mut account.is_waiting_late) {
            health.waiting_late = health.waiting_late.saturating_sub(1);
        }
        if !std::mem::replace(&mut account.is_streaming, true) {
            health.streaming += 1;
        }
        health.last_data = now;
        health.avoid_until = Timestamp(0);
        if let Some(pause) = pause {
            blend(&mut health.pause_ms, pause.as_millis().max(1) as f64);
        }
    }

    /// Takes note of the end of a request at a target.
    pub fn ended(&mut self, account: &AttemptAccount, outcome: TargetOutcome, now: Timestamp) {
        let avoid_time = self.settings.avoid_time;
        let Some(health) = self.health.get_mut(&account.number) else {
            return;
        };
        health.in_flight = health.in_flight.saturating_sub(1);
        health.waiting_late = health
            .waiting_late
            .saturating_sub(u32::from(account.is_waiting_late));
        health.streaming = health
            .streaming
            .saturating_sub(u32::from(account.is_streaming));
        match outcome {
            TargetOutcome::Answered => {
                health.failure_rate *= 0.8;
                let class = account.class.clone();
                let millis = now.since(account.started).as_millis().max(1) as f64;
                blend(self.durations.entry(class).or_insert(millis), millis);
            }
            TargetOutcome::Refused => health.avoid_until = now + avoid_time,
            TargetOutcome::Failed => {
                health.failure_rate += (1.0 - health.failure_rate) * 0.2;
            }
            TargetOutcome::Abandoned => {}
        }
    }

    /// Prefers other targets for a while.
    pub fn avoid(&mut self, number: TargetNumber, now: Timestamp) {
        let avoid_time = self.settings.avoid_time;
        if let Some(health) = self.health.get_mut(&number) {
            health.avoid_until = now + avoid_time;
        }
    }

    /// Silence of a busy target.
    pub fn silence_of(&self, number: TargetNumber, now: Timestamp) -> Option<TimeSpan> {
        self.health.get(&number)?.silence(now)
    }

    /// Silence after which a request goes on elsewhere.
    pub fn silence_limit(&self) -> TimeSpan {
        self.settings.silence
    }

    /// Whether other targets are preferred to this one.
    fn is_suspect(
        &self,
        target: &RequestTarget,
        health: &TargetHealth,
        limit: TimeSpan,
        now: Timestamp,
    ) -> bool {
        let limit = if health.streaming > 0 {
            limit
        } else {
            self.settings.first_suspicion
        };
        let is_silent = health.silence(now).is_some_and(|silence| silence >= limit);
        now < health.avoid_until || (target.group.is_some() && is_silent)
    }

    /// Groups that have requests and send nothing, or could not be reached lately.
    pub fn silent_groups(&self, now: Timestamp) -> Vec<(TargetNumber, VmId)> {
        self.targets
            .values()
            .flatten()
            .filter(|target| target.group.is_some())
            .filter(|target| {
                self.health.get(&target.number).is_some_and(|health| {
                    self.is_suspect(target, health, self.settings.suspicion, now)
                })
            })
            .map(|target| (target.number, target.backend.clone()))
            .collect()
    }

    /// The backend server of a target number.
    pub fn backend_of(&self, number: TargetNumber) -> Option<&VmId> {
        self.targets
            .values()
            .flatten()
            .find(|target| target.number == number)
            .map(|target| &target.backend)
    }

    /// Requests of this node at each target.
    pub fn loads(&self) -> Vec<PeerLoad> {
        self.health
            .iter()
            .filter(|(_, health)| health.in_flight > 0)
            .map(|(number, health)| PeerLoad {
                target: number.0,
                requests: health.in_flight,
                late: health.waiting_late,
            })
            .collect()
    }

    /// Work of callers' requests since the start, in milliseconds of a fully used group, by model.
    pub fn work(&self) -> Vec<(ModelId, u64)> {
        self.work
            .iter()
            .map(|(model, work_ms)| (model.clone(), *work_ms as u64))
            .collect()
    }

    /// Takes over the leaders whose groups this node's controller has closed.
    pub fn set_closed(&mut self, leaders: &[VmId]) {
        self.closed = self
            .targets
            .values()
            .flatten()
            .filter(|target| target.group.is_some() && leaders.contains(&target.backend))
            .map(|target| target.number)
            .collect();
    }

    /// Targets that this node's controller has closed.
    pub fn closed(&self) -> Vec<u32> {
        self.closed.iter().map(|number| number.0).collect()
    }

    fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let burst = self.settings.repeat_burst / self.node_count;
        let permille = self.settings.repeat_permille;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(burst, permille))
    }

    /// Takes note of a caller's request for a service.
    pub fn fresh(&mut self, service: &ServiceId, size: Option<&RequestSize<'_>>) {
        self.budget(service).record_request();
        let Some(size) = size else {
            return;
        };
        let engine = self
            .index
            .as_ref()
            .and_then(|index| index.config().engine(service));
        if let Some(engine) = engine
            && engine.model(size.model).is_some()
        {
            let answer = size.answer_tokens.unwrap_or(engine.typical_output_tokens);
            let work_ms = engine.work_ms(size.model, size.prompt_tokens, answer);
            *self.work.entry(size.model.clone()).or_default() += work_ms;
        }
    }

    /// Takes one repeat out of the budget of a service, when there is one.
    pub fn try_repeat(&mut self, service: &ServiceId) -> bool {
        self.budget(service).try_take()
    }
}
