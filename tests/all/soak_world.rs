//! Nodes of a soak: applies the scheduled events and records what happened to each process.

use std::fmt;
use std::fs;
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::add_plain_routes;
use jaysaddle_platform_standin::stream_config;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;
use crate::soak_events::SoakEvent;
use crate::soak_events::SoakSchedule;

/// Interval at which events and exits are checked.
const TICK: Duration = Duration::from_millis(10);
/// Interval at which the readiness of a node is checked.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a node is asked whether it holds the lease, in readiness checks.
const HOLDER_CHECKS: u32 = 4;
/// Timeout of a readiness check, in seconds.
const READINESS_TIMEOUT_SECS: u64 = 1;
/// Value of the shared holder when no node is known to hold the lease.
const NO_HOLDER: usize = usize::MAX;

/// What happened to one process of a node.
#[derive(Clone, Debug)]
pub struct NodeLife {
    pub started: Instant,
    /// Whether the process has logged its start, after which it handles signals.
    is_up: bool,
    /// When SIGTERM was sent.
    pub stopped: Option<Instant>,
    /// When the process had exited after SIGTERM.
    pub exited: Option<Instant>,
    /// Exit code after SIGTERM.
    pub code: Option<i32>,
    /// When SIGKILL was sent.
    pub killed: Option<Instant>,
    /// Times in which the process was paused.
    pub pauses: Vec<(Instant, Instant)>,
}

impl NodeLife {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            is_up: false,
            stopped: None,
            exited: None,
            code: None,
            killed: None,
            pauses: Vec::new(),
        }
    }

    /// Whether a kill or a pause of the process overlaps a span of time.
    pub fn has_fault_within(&self, from: Instant, to: Instant) -> bool {
        let mut pauses = self.pauses.iter();
        self.is_killed_by(to) || pauses.any(|(start, end)| *start <= to && *end >= from)
    }

    pub fn is_killed_by(&self, to: Instant) -> bool {
        self.killed.is_some_and(|killed| killed <= to)
    }

    /// End of the last pause of the process.
    pub fn last_resumed(&self) -> Option<Instant> {
        self.pauses.last().map(|(_, end)| *end)
    }
}

/// Readiness of the nodes as seen from outside.
pub struct Readiness {
    /// Spans of time in which a node was ready at each check.
    spans: Vec<Mutex<Vec<(Instant, Instant)>>>,
    holder: AtomicUsize,
}

fn get(address: IpAddr, target: &str) -> Option<minreq::Response> {
    let url = format!("http://{address}:7701{target}");
    let request = minreq::get(url).with_timeout(READINESS_TIMEOUT_SECS);
    request.send().ok()
}

impl Readiness {
    pub fn new(nodes: usize) -> Self {
        Self {
            spans: (0..nodes).map(|_| Mutex::default()).collect(),
            holder: AtomicUsize::new(NO_HOLDER),
        }
    }

    /// Checks a node until `is_over` is set.
    pub fn watch(&self, node: usize, address: IpAddr, is_over: &AtomicBool) {
        let mut was_ready = false;
        for number in 0.. {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            let asked = Instant::now();
            let is_ready =
                get(address, "/readyz").is_some_and(|response| response.status_code == 200);
            if is_ready {
                let mut spans = self.spans(node);
                match spans.last_mut().filter(|_| was_ready) {
                    Some(span) => span.1 = asked,
                    None => spans.push((asked, asked)),
                }
            }
            was_ready = is_ready;
            if is_ready && number % HOLDER_CHECKS == 0 {
                let metrics = get(address, "/metrics");
                let is_holder = metrics.is_some_and(|metrics| {
                    let text = metrics.as_str().unwrap_or_default();
                    text.lines().any(|line| line == "jaysaddle_lease_held 1")
                });
                if is_holder {
                    self.holder.store(node, Ordering::Relaxed);
                }
            }
            thread::sleep(READINESS_INTERVAL);
        }
    }

    fn spans(&self, node: usize) -> MutexGuard<'_, Vec<(Instant, Instant)>> {
        let spans = &self.spans[node];
        spans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn holder(&self) -> Option<usize> {
        let holder = self.holder.load(Ordering::Relaxed);
        (holder != NO_HOLDER).then_some(holder)
    }

    /// Whether at each moment of a span at least one node had been ready for `settled`.
    pub fn is_covered(&self, from: Instant, to: Instant, settled: Duration) -> bool {
        let mut spans: Vec<(Instant, Instant)> = (0..self.spans.len())
            .flat_map(|node| self.spans(node).clone())
            .map(|(start, end)| (start + settled, end))
            .collect();
        spans.sort();
        let mut reached = from;
        for (start, end) in spans {
            if start <= reached && end > reached {
                reached = end;
            }
        }
        reached >= to
    }
}

/// Nodes with their processes, and the events so far.
pub struct SoakWorld {
    pub nodes: PlatformNodes,
    /// Processes of each node, in order.
    pub lives: Vec<Vec<NodeLife>>,
    /// Events and exits with their times.
    pub journal: Vec<String>,
    pub started: Instant,
    /// Times in which backend servers did nothing.
    silences: Vec<(Instant, Instant)>,
    /// Watches of the processes that are stopping. Their own threads find the times of the exits, because file access
    /// on a busy machine may delay the thread that applies the events.
    exits: Vec<Option<JoinHandle<Instant>>>,
    restarts: Vec<Option<Instant>>,
    restart_delays: Vec<Duration>,
    /// Paused nodes with the start and the end of the pause.
    pauses: Vec<Option<(Instant, Instant)>>,
    store_back: Option<Instant>,
    config_version: u64,
}

impl SoakWorld {
    pub fn new(nodes: PlatformNodes) -> Self {
        let count = nodes.nodes.len();
        Self {
            nodes,
            lives: (0..count).map(|_| vec![NodeLife::new()]).collect(),
            journal: Vec::new(),
            started: Instant::now(),
            silences: Vec::new(),
            exits: (0..count).map(|_| None).collect(),
            restarts: vec![None; count],
            restart_delays: vec![Duration::ZERO; count],
            pauses: vec![None; count],
            store_back: None,
            config_version: 1,
        }
    }

    /// Whether backend servers did nothing at some time in a span.
    pub fn has_silence_within(&self, from: Instant, to: Instant) -> bool {
        let mut silences = self.silences.iter();
        silences.any(|(start, end)| *start <= to && *end >= from)
    }

    fn write(&mut self, what: impl fmt::Display) {
        let at = self.started.elapsed().as_secs_f64();
        self.journal.push(format!("{at:7.3} s  {what}"));
    }

    fn life(&mut self, node: usize) -> &mut NodeLife {
        self.lives[node].last_mut().expect("at least one process")
    }

    /// Whether the process of a node is up, is not paused and was not told to stop.
    fn is_running(&mut self, node: usize) -> bool {
        let is_paused = self.pauses[node].is_some();
        let life = self.life(node);
        life.is_up && !is_paused && life.stopped.is_none() && life.killed.is_none()
    }

    fn is_stopping(&mut self, node: usize) -> bool {
        let life = self.life(node);
        life.stopped.is_some() && life.exited.is_none()
    }

    /// Applies the events of a schedule, and returns after the last process has exited.
    pub fn play(&mut self, schedule: &SoakSchedule, readiness: &Readiness) {
        let mut events = schedule.events.iter().peekable();
        let mut last_stops = schedule.last_stops.clone();
        loop {
            let elapsed = self.started.elapsed();
            if let Some((_, event)) = events.next_if(|(at, _)| *at <= elapsed) {
                let is_applied = self.apply(*event, readiness);
                let note = if is_applied { "" } else { " (left out)" };
                self.write(format!("{event:?}{note}"));
                continue;
            }
            self.check_processes();
            let is_ending = events.peek().is_none();
            for (node, at) in last_stops.iter_mut().enumerate() {
                if !is_ending || *at > elapsed {
                    continue;
                }
                self.restarts[node] = None;
                self.restart_delays[node] = Duration::MAX;
                if self.is_running(node) {
                    self.stop(node, Duration::MAX);
                    self.write(format!("last stop of node {node}"));
                }
                let life = self.life(node);
                if life.stopped.is_some() || life.killed.is_some() {
                    *at = Duration::MAX;
                }
            }
            let is_last = last_stops.iter().all(|at| *at == Duration::MAX);
            if is_last && (0..self.lives.len()).all(|node| !self.is_stopping(node)) {
                return;
            }
            thread::sleep(TICK);
        }
    }

    fn stop(&mut self, node: usize, restart: Duration) {
        self.restart_delays[node] = restart;
        self.life(node).stopped = Some(Instant::now());
        self.exits[node] = Some(self.nodes.nodes[node].watch_exit());
        self.nodes.nodes[node].terminate();
    }

    fn schedule_restart(&mut self, node: usize) {
        self.restarts[node] = Instant::now().checked_add(self.restart_delays[node]);
    }

    /// Applies an event. Returns false if the state of the node does not permit it.
    fn apply(&mut self, event: SoakEvent, readiness: &Readiness) -> bool {
        match event {
            SoakEvent::Stop { node, restart } => {
                let is_applied = self.is_running(node);
                if is_applied {
                    self.stop(node, restart);
                }
                return is_applied;
            }
            SoakEvent::StopHolder { restart } => {
                return readiness
                    .holder()
                    .is_some_and(|node| self.apply(SoakEvent::Stop { node, restart }, readiness));
            }
            SoakEvent::SecondSignal { is_hangup } => {
                let signal = if is_hangup { Signal::HUP } else { Signal::TERM };
                for node in 0..self.lives.len() {
                    if self.is_stopping(node) {
                        self.nodes.nodes[node].signal(signal);
                    }
                }
            }
            SoakEvent::ChangeConfig { latency_target_ms } => self.change_config(latency_target_ms),
            SoakEvent::ChangeSettings { node } => self.change_settings(node),
            SoakEvent::Pause { node, time } => {
                let is_applied = self.is_running(node);
                if is_applied {
                    self.pause(node, time);
                }
                return is_applied;
            }
            SoakEvent::PauseStopping { time } => {
                for node in 0..self.lives.len() {
                    if self.is_stopping(node) && self.pauses[node].is_none() {
                        self.pause(node, time);
                    }
                }
            }
            SoakEvent::PauseEngine { number, time } => {
                let engines = self.nodes.standin.engines();
                self.pause_servers(&[&engines[number % engines.len()]], time);
            }
            SoakEvent::PausePlain { number, time } => {
                let servers = self.nodes.standin.plain_servers();
                self.pause_servers(&[&servers[number % servers.len()]], time);
            }
            SoakEvent::PauseServers { time } => {
                let engines = self.nodes.standin.engines();
                let servers = self.nodes.standin.plain_servers();
                let all: Vec<&String> = engines.iter().chain(&servers).collect();
                self.pause_servers(&all, time);
            }
            SoakEvent::PauseStore { time } => self.nodes.standin.pause_store(time),
            SoakEvent::Kill { node, restart } => {
                let is_applied = self.is_running(node);
                if is_applied {
                    self.life(node).killed = Some(Instant::now());
                    self.nodes.kill(node);
                    self.restart_delays[node] = restart;
                    self.schedule_restart(node);
                }
                return is_applied;
            }
            SoakEvent::StoreDown { time } => {
                self.nodes.standin.set_store_down(true);
                self.store_back = Some(Instant::now() + time);
            }
        }
        true
    }

    fn pause(&mut self, node: usize, time: Duration) {
        let now = Instant::now();
        self.pauses[node] = Some((now, now + time));
        self.nodes.nodes[node].pause();
    }

    fn pause_servers(&mut self, servers: &[&String], time: Duration) {
        let now = Instant::now();
        self.silences.push((now, now + time));
        for server in servers {
            self.nodes.standin.pause(server, time);
        }
    }

    fn change_config(&mut self, latency_target_ms: u64) {
        self.config_version += 1;
        let addresses = &self.nodes.addresses;
        let mut config = stream_config(self.config_version, addresses, KEY);
        add_plain_routes(&mut config, addresses);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["sloMs"] = json!(latency_target_ms);
        }
        self.nodes.standin.set_config(&config);
    }

    /// Changes the log level of a node between the two that have the lines of requests.
    fn change_settings(&mut self, node: usize) {
        let file = &self.nodes.settings[node];
        let text = fs::read_to_string(file).expect("settings");
        let mut settings: Value = serde_json::from_str(&text).expect("settings");
        let level = if settings["log_level"] == "debug" {
            "info"
        } else {
            "debug"
        };
        settings["log_level"] = json!(level);
        fs::write(file, settings.to_string()).expect("the settings can be written");
        self.nodes.nodes[node].send_hangup();
    }

    /// Resumes, restarts and records what is due.
    fn check_processes(&mut self) {
        let now = Instant::now();
        if self.store_back.is_some_and(|back| back <= now) {
            self.nodes.standin.set_store_down(false);
            self.store_back = None;
            self.write("the store is back");
        }
        for node in 0..self.lives.len() {
            if !self.life(node).is_up {
                let log = self.nodes.log(node);
                let starts = log.matches("event=started ").count();
                self.life(node).is_up = starts == self.lives[node].len();
            }
            if let Some((start, _)) = self.pauses[node].filter(|(_, end)| *end <= now) {
                self.nodes.nodes[node].resume();
                self.pauses[node] = None;
                self.life(node).pauses.push((start, Instant::now()));
                self.write(format!("node {node} resumes"));
            }
            if self.is_stopping(node) && self.nodes.nodes[node].has_exited() {
                let code = self.nodes.nodes[node].wait_exit();
                let watch = self.exits[node].take().expect("a watch of each stop");
                let exited = watch.join().expect("no watch panics");
                let life = self.life(node);
                life.exited = Some(exited);
                life.code = code;
                self.write(format!("node {node} has exited with {code:?}"));
                self.schedule_restart(node);
            }
            if self.restarts[node].is_some_and(|at| at <= now) {
                self.restarts[node] = None;
                self.lives[node].push(NodeLife::new());
                self.nodes.restart(node);
                self.write(format!("node {node} starts"));
            }
        }
    }
}
