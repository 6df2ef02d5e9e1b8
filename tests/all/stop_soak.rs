//! Seeded soak of planned stops: callers and backend servers see that no accepted request is lost.
//!
//! Requests whose node was killed between their last byte and their end are excused from all checks but two: they run at
//! most once if their route says so, and a refusal means that they have not run. The same holds for a pause of the node if
//! they have not run, or if it lasted into the last sixth of [`STOP_GRACE`]. Requests that were sent no later than
//! [`DIRECTORY_PERIOD`] after SIGTERM and still run in that sixth may be cut. A pause of a backend server excuses nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::StandinRun;
use jaysaddle_platform_standin::StandinWork;
use jaysaddle_test_support::TestRandom;
use jaysaddle_test_support::env_number;
use jaysaddle_test_support::seeds;

use crate::platform_nodes::PlatformNodes;
use crate::raw_callers::CallerStyle;
use crate::raw_callers::RawOutcome;
use crate::soak_callers::CALL_TIME;
use crate::soak_callers::CallerRecord;
use crate::soak_callers::RouteKind;
use crate::soak_callers::SoakCaller;
use crate::soak_callers::SoakRequest;
use crate::soak_events::SoakSchedule;
use crate::soak_world::NodeLife;
use crate::soak_world::Readiness;
use crate::soak_world::SoakWorld;

/// Seed of the run in CI.
const FIRST_SEED: u64 = 20_261_204;
/// Seeds that have failed, each with its cause. They run as well when `JAYSADDLE_FAILED_SEEDS` is set.
const FAILED_SEEDS: [(u64, &str); 11] = [
    (
        1,
        "requests are cut in the 100 ms before an idle node exits; as 3",
    ),
    (
        2,
        "the second of two pipelined requests is not answered; as 3 and 4",
    ),
    (
        3,
        "idempotent requests are repeated too early, because their time is limited by the stop",
    ),
    (
        4,
        "a request longer than the recent ones of its route is accepted; as 3",
    ),
    (7, "as 3 and 4"),
    (8, "as 3"),
    (
        9,
        "streams sent 3.0 to 3.3 s after SIGTERM are accepted by a percentile of recent times; as 3",
    ),
    (10, "as 3 and 4"),
    (11, "as 3 and 4"),
    (13, "as 3"),
    (FIRST_SEED, "as 1, 2 and 3"),
];
/// Time between SIGTERM and SIGKILL on the platform.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time after SIGTERM in which callers may still use an address of the directory.
const DIRECTORY_PERIOD: Duration = Duration::from_secs(3);
/// Time from the last byte of a request until which the end of its connection tells the caller that the request was
/// not passed on.
const UNREAD_LIMIT: Duration = Duration::from_millis(200);
/// Part of a request's time that a node may leave unused, because no response would arrive in it, and the time that
/// slow callers take from the first to the last byte of a request.
const UNUSED_TIME: Duration = Duration::from_millis(300);
/// Time for which a node is ready before callers rely on it: its heartbeats have reached the directories.
const SETTLED_TIME: Duration = Duration::from_secs(1);
/// Time after a silence of backend servers in which their groups may be formed again.
const FORMING_TIME: Duration = Duration::from_secs(3);
/// Fault of a request that has run and is not excused.
const LOST: &str = "a request that has run got no whole answer";
/// Maximum number of faults that are shown in full.
const SHOWN_FAULTS: usize = 20;

/// Styles of the callers that stay with a node.
const STAYING_STYLES: [CallerStyle; 7] = [
    CallerStyle::Busy,
    CallerStyle::Idle,
    CallerStyle::Fresh,
    CallerStyle::Pipelined,
    CallerStyle::SlowBody,
    CallerStyle::SlowReader,
    CallerStyle::PipelinedSlowReader,
];
/// Styles of the callers that use the directory.
const DIRECTORY_STYLES: [CallerStyle; 5] = [
    CallerStyle::Busy,
    CallerStyle::Idle,
    CallerStyle::Fresh,
    CallerStyle::SlowBody,
    CallerStyle::SlowReader,
];

/// What a request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestEnd {
    /// As the target says.
    Proper,
    /// Its node was killed or paused meanwhile.
    ExcusedByFault,
    /// Cut by a planned stop; its backend server still worked on it in the last part of the grace period.
    ExcusedByTime,
    /// Not run, and sent on one connection behind a request whose answer was cut and is excused: no answer can precede
    /// that one.
    ExcusedBehind,
    Fault(&'static str),
}

/// Results of a soak.
struct SoakReport {
    world: SoakWorld,
    records: Vec<CallerRecord>,
    readiness: Readiness,
    runs: BTreeMap<String, Vec<StandinRun>>,
    faults: Vec<String>,
}

fn style_of(styles: &[CallerStyle], random: &mut TestRandom) -> CallerStyle {
    let number = random.below(styles.len() as u64);
    styles[usize::try_from(number).expect("a style")]
}

/// Runs one seed.
fn soak(seed: u64, has_silences: bool) -> SoakReport {
    let mut random = TestRandom::new(seed);
    let schedule = SoakSchedule::draw(&mut random, has_silences);
    let (count, groups) = (schedule.nodes, schedule.groups);
    let staying_callers = count * schedule.staying_callers;
    let node_count = u8::try_from(count).expect("below 200 nodes");
    let engines = u16::try_from(groups * 2).expect("a small number");
    let nodes = PlatformNodes::start(node_count, engines);
    nodes.wait_serving(groups);
    nodes.standin.set_work(StandinWork {
        is_plain_reliable: true,
        ..StandinWork::default()
    });
    let addresses = nodes.addresses.clone();
    let mut world = SoakWorld::new(nodes);
    let readiness = Readiness::new(count);
    let (are_callers_over, is_over) = (AtomicBool::new(false), AtomicBool::new(false));
    let records = thread::scope(|scope| {
        for (node, address) in addresses.iter().enumerate() {
            let (readiness, is_over) = (&readiness, &is_over);
            scope.spawn(move || readiness.watch(node, *address, is_over));
        }
        let mut callers = Vec::new();
        for number in 0..staying_callers + count * schedule.directory_callers {
            let is_staying = number < staying_callers;
            let styles = if is_staying {
                &STAYING_STYLES[..]
            } else {
                &DIRECTORY_STYLES[..]
            };
            let style = style_of(styles, &mut random);
            let name = format!("soak-{seed}-{number}");
            let caller_seed = random.below(u64::MAX);
            let is_over = &are_callers_over;
            let caller =
                SoakCaller::new(name, style, &addresses, caller_seed, has_silences, is_over);
            callers.push(scope.spawn(move || match is_staying {
                true => caller.stay_with(number % count),
                false => caller.follow_directory(),
            }));
        }
        world.play(&schedule, &readiness);
        are_callers_over.store(true, Ordering::Relaxed);
        let callers = callers.into_iter();
        let records: Vec<CallerRecord> = callers
            .map(|caller| caller.join().expect("no caller panics"))
            .collect();
        is_over.store(true, Ordering::Relaxed);
        records
    });
    let mut runs: BTreeMap<String, Vec<StandinRun>> = BTreeMap::new();
    for run in world.nodes.standin.runs() {
        runs.entry(run.request_id.clone()).or_default().push(run);
    }
    SoakReport {
        world,
        records,
        readiness,
        runs,
        faults: Vec::new(),
    }
}

impl SoakReport {
    fn requests(&self) -> Vec<SoakRequest> {
        let records = self.records.iter();
        records
            .flat_map(|record| {
                let calls = record.calls.iter().flat_map(|call| &call.requests);
                record.requests.iter().chain(calls).cloned()
            })
            .collect()
    }

    /// Process of the node to which a request was sent.
    fn life(&self, request: &SoakRequest) -> &NodeLife {
        let lives = &self.world.lives[request.node];
        let mut earlier = lives.iter().rev();
        let life = earlier.find(|life| life.started <= request.raw.sent);
        life.unwrap_or(&lives[0])
    }

    fn end_of(&self, request: &SoakRequest) -> RequestEnd {
        let (raw, plan) = (&request.raw, &request.plan);
        let life = self.life(request);
        let runs = self.runs.get(&raw.id).map_or(&[][..], Vec::as_slice);
        if plan.kind == RouteKind::AtMostOnce && runs.len() > 1 {
            return RequestEnd::Fault("an at-most-once request has run twice");
        }
        if !runs.is_empty() && raw.is_refused() {
            return RequestEnd::Fault("a refused request has run");
        }
        let last_part = life.stopped.map(|stopped| stopped + STOP_GRACE * 5 / 6);
        let is_in_last_part = |at: Instant| last_part.is_some_and(|start| at >= start);
        let is_excused_pause = runs.is_empty() || life.last_resumed().is_some_and(is_in_last_part);
        if life.is_killed_by(raw.ended)
            || (is_excused_pause && life.has_fault_within(raw.sent, raw.ended))
        {
            return RequestEnd::ExcusedByFault;
        }
        let is_early = life
            .stopped
            .is_some_and(|stopped| raw.sent <= stopped + DIRECTORY_PERIOD);
        let is_time_used_up = raw.ended - raw.sent + UNUSED_TIME >= plan.time();
        let is_said_so = match &raw.outcome {
            RawOutcome::Complete {
                status: 502 | 504,
                body,
            } => String::from_utf8_lossy(body).contains("\"may_have_run\""),
            _ => false,
        };
        // A backend server that is silent may have a request without having begun it.
        let may_be_held = !runs.is_empty() || self.world.has_silence_within(raw.sent, raw.ended);
        if is_time_used_up && is_said_so && may_be_held {
            return RequestEnd::Proper;
        }
        if runs.is_empty() {
            let is_unanswered = raw.outcome == RawOutcome::NoAnswer;
            let previous = request.previous.as_ref().filter(|_| is_unanswered);
            // A slow reader sees the end of the connection only after it has read the response before it.
            let read_up_to = previous.filter(|_| raw.style.reads_slowly());
            let visible = read_up_to.map_or(raw.sent, |previous| raw.sent.max(previous.raw.ended));
            let is_closed_at_once = is_unanswered && raw.ended - visible <= UNREAD_LIMIT;
            return if raw.is_refused() || is_closed_at_once {
                RequestEnd::Proper
            } else if previous.is_some_and(|previous| self.is_excused_cut(previous)) {
                RequestEnd::ExcusedBehind
            } else if may_be_held && is_early && is_in_last_part(raw.ended) {
                RequestEnd::ExcusedByTime
            } else {
                RequestEnd::Fault("a request that has not run was not refused at once")
            };
        }
        let is_proper = match &raw.outcome {
            RawOutcome::Complete { status: 200, body } => plan.is_whole(body),
            RawOutcome::Cut { .. } => is_time_used_up && plan.kind == RouteKind::Stream,
            _ => false,
        };
        if is_proper {
            return RequestEnd::Proper;
        }
        let mut runs = runs.iter();
        if is_early && runs.any(|run| run.ended.is_none_or(is_in_last_part)) {
            RequestEnd::ExcusedByTime
        } else {
            RequestEnd::Fault(LOST)
        }
    }

    /// Whether a request got no complete answer and is excused.
    fn is_excused_cut(&self, request: &SoakRequest) -> bool {
        match self.end_of(request) {
            RequestEnd::ExcusedByTime | RequestEnd::ExcusedBehind => {
                !matches!(request.raw.outcome, RawOutcome::Complete { .. })
            }
            RequestEnd::Proper => matches!(request.raw.outcome, RawOutcome::Cut { .. }),
            _ => false,
        }
    }

    /// Describes a request, with its lines in all logs.
    fn describe(&self, request: &SoakRequest) -> String {
        let (raw, plan) = (&request.raw, &request.plan);
        let life = self.life(request);
        let seconds = |at: Instant| match at.checked_duration_since(self.world.started) {
            Some(time) => format!("{:.3} s", time.as_secs_f64()),
            None => "before the start".to_owned(),
        };
        let outcome = match &raw.outcome {
            RawOutcome::Complete { status, body } => {
                let text = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
                format!("status {status}, {} bytes, {text:?}", body.len())
            }
            other => format!("{other:?}"),
        };
        let runs = self.runs.get(&raw.id).into_iter().flatten().map(|run| {
            let ended = run.ended.map(seconds);
            format!("{} to {ended:?}", seconds(run.started))
        });
        let mut lines = vec![format!(
            "{} at node {}, {:?}, {:?}, work {:?}, stated {} ms: sent {}, ended {}: {outcome}; SIGTERM {:?}, exit {:?}; runs {:?}",
            raw.id,
            request.node,
            raw.style,
            plan.kind,
            plan.work,
            plan.stated_ms,
            seconds(raw.sent),
            seconds(raw.ended),
            life.stopped.map(seconds),
            life.exited.map(seconds),
            runs.collect::<Vec<String>>()
        )];
        let name = format!("request={} ", raw.id);
        for node in 0..self.world.lives.len() {
            let log = self.world.nodes.log(node);
            let found = log.lines().filter(|line| line.contains(&name));
            lines.extend(found.map(|line| format!("    node {node}: {line}")));
        }
        lines.join("\n")
    }

    fn add_fault(&mut self, what: impl fmt::Display) {
        self.faults.push(what.to_string());
    }

    fn check(&mut self, seed: u64) {
        let requests = self.requests();
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let logs: Vec<String> = (0..self.world.lives.len())
            .map(|node| self.world.nodes.log(node))
            .collect();
        for request in &requests {
            let end = self.end_of(request);
            let name = match &end {
                RequestEnd::Proper if request.raw.is_served() => "served",
                RequestEnd::Proper if request.raw.is_refused() => "refused",
                RequestEnd::Proper if request.raw.outcome == RawOutcome::NoAnswer => "unread",
                RequestEnd::Proper => "out of time",
                RequestEnd::ExcusedByFault => "excused by a kill or pause",
                RequestEnd::ExcusedByTime => "excused by the grace period",
                RequestEnd::ExcusedBehind => "excused behind an excused one",
                RequestEnd::Fault(what) => what,
            };
            *counts.entry(name).or_default() += 1;
            if let RequestEnd::Fault(what) = end {
                let text = self.describe(request);
                self.add_fault(format!("{what}: {text}"));
            }
            let is_cut = !matches!(request.raw.outcome, RawOutcome::Complete { .. });
            let is_lost =
                is_cut && matches!(end, RequestEnd::ExcusedByTime | RequestEnd::Fault(LOST));
            let line = format!("request={} result=cut_by_shutdown", request.raw.id);
            if is_lost && !logs[request.node].contains(&line) {
                let text = self.describe(request);
                self.add_fault(format!("no line for a lost request: {text}"));
            }
        }
        for leave in self.world.nodes.standin.early_leaves() {
            self.add_fault(format!("a group that works is ended: {leave}"));
        }
        self.check_processes(&logs);
        self.check_calls();
        let calls = self.records.iter().flat_map(|record| &record.calls);
        let (given_up, ended): (Vec<_>, Vec<_>) = calls.partition(|call| call.is_given_up);
        let searches = ended.iter().filter_map(|call| {
            let last = call.requests.last()?;
            Some(last.raw.sent - call.started)
        });
        println!(
            "seed {seed}: {} nodes, {} requests: {counts:?}; {} directory calls, {} given up, longest search {:?}; {} faults",
            logs.len(),
            requests.len(),
            given_up.len() + ended.len(),
            given_up.len(),
            searches.max().unwrap_or_default(),
            self.faults.len()
        );
    }

    /// Checks the exits of the processes, and that their last lines agree with the lines of the requests.
    fn check_processes(&mut self, logs: &[String]) {
        for (node, log) in logs.iter().enumerate() {
            let lives = self.world.lives[node].clone();
            for (number, life) in lives.iter().enumerate() {
                let (Some(stopped), Some(exited)) = (life.stopped, life.exited) else {
                    continue;
                };
                let took = exited - stopped;
                let resumed = life.last_resumed().unwrap_or(stopped);
                let is_late = exited > (stopped + STOP_GRACE).max(resumed + SETTLED_TIME);
                if life.code != Some(0) || is_late {
                    let code = life.code;
                    self.add_fault(format!(
                        "process {number} of node {node} has exited with {code:?} after {took:?}"
                    ));
                }
            }
            let stops = lives.iter().filter(|life| life.exited.is_some()).count();
            let stated: Vec<u64> = log
                .lines()
                .filter(|line| line.contains("event=stopped "))
                .filter_map(|line| {
                    let (_, rest) = line.split_once(" cut_requests=")?;
                    rest.split(' ').next()?.parse().ok()
                })
                .collect();
            let is_cut = |line: &&str| {
                line.contains(" result=cut_by_shutdown")
                    || line.contains(" verdict=may_have_run reason=stopping ")
            };
            let cut = log.lines().filter(is_cut).count() as u64;
            if stated.len() != stops || stated.iter().sum::<u64>() != cut {
                self.add_fault(format!(
                    "node {node} has stopped {stops} times; its log says so {} times and counts {stated:?} cut requests, of which {cut} have lines",
                    stated.len()
                ));
            }
        }
    }

    /// Checks that callers that use the directory are served in time while a node serves.
    fn check_calls(&mut self) {
        let records = self.records.clone();
        let calls = records.iter().flat_map(|record| &record.calls);
        for call in calls.filter(|call| call.is_given_up) {
            let end = call.started + CALL_TIME;
            let mut requests = call.requests.iter();
            let is_excused = requests.any(|request| {
                let life = self.life(request);
                life.has_fault_within(request.raw.sent, request.raw.ended)
            });
            let from = call.started - FORMING_TIME;
            let is_silent = self.world.has_silence_within(from, end);
            let is_covered = self.readiness.is_covered(call.started, end, SETTLED_TIME);
            if is_covered && !is_excused && !is_silent {
                let requests = call.requests.iter().map(|request| self.describe(request));
                let text = requests.collect::<Vec<String>>().join("\n");
                self.add_fault(format!(
                    "a caller was not served within {CALL_TIME:?}: {text}"
                ));
            }
        }
    }
}

/// Runs a seed, or those of `JAYSADDLE_SEED` and `JAYSADDLE_RUNS`, and with `JAYSADDLE_FAILED_SEEDS` those that have failed.
pub fn run_seeds(first_seed: u64, failed: &[(u64, &str)], has_silences: bool) {
    let failed = failed.iter().map(|(seed, _)| *seed);
    let has_failed_seeds = env_number("JAYSADDLE_FAILED_SEEDS", 0) > 0;
    let failed = failed.filter(|_| has_failed_seeds);
    let mut failures = Vec::new();
    for seed in failed.chain(seeds(first_seed, 1)) {
        println!("JAYSADDLE_SEED={seed}");
        let mut report = soak(seed, has_silences);
        report.check(seed);
        if report.faults.is_empty() {
            continue;
        }
        println!("events:\n{}", report.world.journal.join("\n"));
        // Lost requests first, because other faults may be many.
        report.faults.sort_by_key(|fault| !fault.starts_with(LOST));
        for fault in report.faults.iter().take(SHOWN_FAULTS) {
            println!("{fault}");
        }
        failures.push((seed, report.faults.len()));
    }
    assert!(failures.is_empty(), "seeds and faults: {failures:?}");
}

/// Guards against requests that a planned stop loses in a combination of events that the other tests do not have.
#[test]
fn planned_stops_lose_nothing_under_random_events() {
    run_seeds(FIRST_SEED, &FAILED_SEEDS, false);
}
