//! Discrete-event simulation of nodes that admit and route requests, and of the groups that serve
//! them.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;

use jaysaddle_admission::AdmissionController;
use jaysaddle_admission::AdmissionSettings;
use jaysaddle_admission::AdmitOutcome;
use jaysaddle_admission::AdmitQuery;
use jaysaddle_admission::QueueRelease;
use jaysaddle_routing::AttemptResult;
use jaysaddle_routing::GroupRouter;
use jaysaddle_routing::RoutePolicy;
use jaysaddle_routing::RouteQuery;
use jaysaddle_routing::RouteTarget;
use jaysaddle_routing::RoutingSettings;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::GroupId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::RequestPriority;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::units::TokenCount;
use jaysaddle_types::view::FleetView;

use crate::engine::Engine;
use crate::engine::EngineJob;
use crate::engine::SLOTS;
use crate::fleet;
use crate::workload::Workload;

const GROUPS: usize = 20;
const REPORT_INTERVAL_MS: f64 = 250.0;
const REPORT_LAG_MS: f64 = 500.0;
const TICK_MS: f64 = 20.0;
const WARM_UP_MS: f64 = 20_000.0;
const END_MS: f64 = 80_000.0;
const DEADLINE_MS: u64 = 10_000;
const MEAN_DECODE_MS: f64 = 1_500.0;

pub struct SimulationInput {
    pub policy: RoutePolicy,
    /// Offered load in requests per second.
    pub rate: f64,
    pub seed: u64,
    pub bound_permille: u32,
    /// Number of nodes that route requests.
    pub nodes: usize,
}

#[derive(Clone, Debug, Default)]
pub struct SimulationReport {
    /// Requests per second that completed within their deadline.
    pub goodput: f64,
    pub refused_percent: f64,
    pub hit_percent: f64,
    pub busiest_over_mean: f64,
    /// Percentiles of the time to the first token, in milliseconds.
    pub first_token_p50: f64,
    pub first_token_p95: f64,
    pub first_token_p99: f64,
}

impl SimulationReport {
    pub fn mean(reports: &[SimulationReport]) -> SimulationReport {
        let mean = |value: fn(&SimulationReport) -> f64| {
            reports.iter().map(value).sum::<f64>() / reports.len().max(1) as f64
        };
        SimulationReport {
            goodput: mean(|report| report.goodput),
            refused_percent: mean(|report| report.refused_percent),
            hit_percent: mean(|report| report.hit_percent),
            busiest_over_mean: mean(|report| report.busiest_over_mean),
            first_token_p50: mean(|report| report.first_token_p50),
            first_token_p95: mean(|report| report.first_token_p95),
            first_token_p99: mean(|report| report.first_token_p99),
        }
    }
}

fn percentile(sorted: &[f64], percent: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let position = (last as f64 * percent / 100.0).round() as usize;
    sorted.get(position).copied().unwrap_or(f64::NAN)
}

enum Event {
    Arrival,
    Ended {
        request: usize,
        group: usize,
    },
    Sample,
    /// Running and queued requests of every group, sampled `REPORT_LAG_MS` earlier.
    Reports(Vec<(usize, usize)>),
    Tick,
}

struct Scheduled {
    at: f64,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// Orders events in reverse by time, because the heap pops the greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.at.total_cmp(&self.at);
        by_time.then(other.sequence.cmp(&self.sequence))
    }
}

struct Request {
    arrived: f64,
    node: usize,
    prefix: Arc<[u64]>,
    target: Option<RouteTarget>,
    first_token: f64,
    cached_blocks: usize,
}

struct Simulation {
    view: FleetView,
    routers: Vec<GroupRouter>,
    controllers: Vec<AdmissionController>,
    engines: Vec<Engine>,
    group_numbers: HashMap<GroupId, usize>,
    workload: Workload,
    requests: Vec<Request>,
    events: BinaryHeap<Scheduled>,
    scheduled: u64,
    now: f64,
    rate: f64,
    within_deadline: usize,
    first_tokens: Vec<f64>,
    offered: usize,
    refused: usize,
    blocks: usize,
    cached_blocks: usize,
}

pub fn simulate(input: &SimulationInput) -> SimulationReport {
    let view = fleet::view(GROUPS, 4, SLOTS as u32, input.nodes);
    let settings = RoutingSettings {
        policy: input.policy,
        affinity_bound_permille: input.bound_permille,
        ..RoutingSettings::default()
    };
    let routers = (0..input.nodes as u64).map(|number| {
        let mut router = GroupRouter::new(settings.clone(), input.seed ^ (number << 32));
        router.update_view(&view);
        router
    });
    let mut simulation = Simulation {
        routers: routers.collect(),
        controllers: vec![AdmissionController::new(AdmissionSettings::default()); input.nodes],
        engines: (0..GROUPS).map(|_| Engine::default()).collect(),
        group_numbers: view
            .groups
            .iter()
            .enumerate()
            .map(|(number, group)| (group.id.clone(), number))
            .collect(),
        view,
        workload: Workload::new(input.seed),
        requests: Vec::new(),
        events: BinaryHeap::new(),
        scheduled: 0,
        now: 0.0,
        rate: input.rate,
        within_deadline: 0,
        first_tokens: Vec::new(),
        offered: 0,
        refused: 0,
        blocks: 0,
        cached_blocks: 0,
    };
    simulation.run();
    simulation.finish()
}

impl Simulation {
    fn run(&mut self) {
        for event in [Event::Arrival, Event::Sample, Event::Tick] {
            self.schedule(0.0, event);
        }
        while let Some(next) = self.events.pop() {
            if next.at > END_MS {
                return;
            }
            self.now = next.at;
            self.handle(next.event);
        }
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        self.scheduled += 1;
        self.events.push(Scheduled {
            at: self.now + delay,
            sequence: self.scheduled,
            event,
        });
    }

    fn time(&self) -> Timestamp {
        Timestamp(self.now as u64 + 1_000)
    }

    fn is_measured(&self) -> bool {
        self.now >= WARM_UP_MS
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let gap = self.workload.random.next_exponential(1_000.0 / self.rate);
                self.schedule(gap, Event::Arrival);
                self.arrive();
            }
            Event::Ended { request, group } => self.end(request, group),
            Event::Sample => {
                let load = self
                    .engines
                    .iter()
                    .map(|engine| (engine.running, engine.queued()));
                let load = load.collect();
                self.schedule(REPORT_LAG_MS, Event::Reports(load));
                self.schedule(REPORT_INTERVAL_MS, Event::Sample);
            }
            Event::Reports(load) => {
                let now = self.time();
                for (group, (running, queued)) in self.view.groups.iter().zip(load) {
                    let report = fleet::report(group, running, queued);
                    for router in &mut self.routers {
                        router.record_report(&report, now);
                    }
                }
            }
            Event::Tick => {
                self.schedule(TICK_MS, Event::Tick);
                for node in 0..self.routers.len() {
                    let now = self.time();
                    let releases = self.controllers[node].tick(&self.view, now);
                    self.handle_releases(releases);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let number = self.requests.len();
        let node = self.workload.random.next_below(self.routers.len() as u64) as usize;
        let prefix = self.workload.prompt();
        self.requests.push(Request {
            arrived: self.now,
            node,
            prefix,
            target: None,
            first_token: 0.0,
            cached_blocks: 0,
        });
        self.offered += usize::from(self.is_measured());
        let now = self.time();
        let query = AdmitQuery {
            request: request_id(number),
            account: AccountId::new("ebiere"),
            target: RequestTarget::Model(fleet::model()),
            priority: RequestPriority::default(),
            deadline: now + TimeSpan::from_millis(DEADLINE_MS),
        };
        match self.controllers[node].admit(&query, &self.view, now) {
            AdmitOutcome::Admitted => self.dispatch(number),
            AdmitOutcome::Queued => {}
            AdmitOutcome::Refused(_) => self.refused += usize::from(self.is_measured()),
        }
        let displaced = self.controllers[node].displaced();
        self.handle_releases(displaced);
    }

    fn handle_releases(&mut self, releases: Vec<QueueRelease>) {
        for release in releases {
            let text = release.request.as_str();
            let number: usize = text.parse().expect("ids are numbers");
            match release.outcome {
                AdmitOutcome::Admitted => self.dispatch(number),
                _ => self.refused += usize::from(self.is_measured()),
            }
        }
    }

    fn dispatch(&mut self, number: usize) {
        let now = self.time();
        let request = &mut self.requests[number];
        let query = RouteQuery {
            request: request_id(number),
            account: AccountId::new("ebiere"),
            target: RequestTarget::Model(fleet::model()),
            prefix: request.prefix.clone(),
            prompt_tokens: TokenCount(64 * request.prefix.len() as u32),
            excluded: Vec::new(),
        };
        let router = &mut self.routers[request.node];
        let choice = router
            .choose(&query, &self.view, now)
            .expect("all groups are ready");
        router.record_attempt_start(&choice.target, &query);
        let RouteTarget::Group { group, .. } = &choice.target else {
            panic!("expected a group");
        };
        let group = self.group_numbers[group];
        request.target = Some(choice.target);
        self.engines[group].enqueue(EngineJob {
            id: number,
            prefix: query.prefix,
            decode_ms: self.workload.random.next_exponential(MEAN_DECODE_MS),
        });
        self.start(group);
    }

    fn start(&mut self, group: usize) {
        for started in self.engines[group].start(self.now) {
            let request = &mut self.requests[started.id];
            request.first_token = started.first_token;
            request.cached_blocks = started.cached_blocks;
            let delay = started.end - self.now;
            let request = started.id;
            self.schedule(delay, Event::Ended { request, group });
        }
    }

    fn end(&mut self, number: usize, group: usize) {
        self.engines[group].running -= 1;
        let now = self.time();
        let measured = self.is_measured();
        let request = &self.requests[number];
        let node = request.node;
        let first_token = request.first_token - request.arrived;
        if measured {
            self.first_tokens.push(first_token);
            self.blocks += request.prefix.len();
            self.cached_blocks += request.cached_blocks;
            let within_deadline = self.now - request.arrived <= DEADLINE_MS as f64;
            self.within_deadline += usize::from(within_deadline);
        }
        if let Some(target) = &request.target {
            let result = AttemptResult::Completed {
                first_token: TimeSpan::from_millis(first_token as u64),
                cached_tokens: TokenCount(64 * request.cached_blocks as u32),
            };
            self.routers[node].record_attempt_end(target, result, now);
        }
        let releases = self.controllers[node].release(&request_id(number), &self.view, now);
        self.handle_releases(releases);
        self.start(group);
    }

    fn finish(mut self) -> SimulationReport {
        let served = self.engines.iter().map(|engine| engine.served);
        let mean = served.clone().sum::<usize>() as f64 / GROUPS as f64;
        let percent = |count: usize, total: usize| 100.0 * count as f64 / total.max(1) as f64;
        self.first_tokens.sort_by(f64::total_cmp);
        SimulationReport {
            goodput: self.within_deadline as f64 * 1_000.0 / (END_MS - WARM_UP_MS),
            refused_percent: percent(self.refused, self.offered),
            hit_percent: percent(self.cached_blocks, self.blocks),
            busiest_over_mean: served.max().unwrap_or_default() as f64 / mean,
            first_token_p50: percentile(&self.first_tokens, 50.0),
            first_token_p95: percentile(&self.first_tokens, 95.0),
            first_token_p99: percentile(&self.first_tokens, 99.0),
        }
    }
}

fn request_id(number: usize) -> RequestId {
    RequestId::new(format!("{number}"))
}
