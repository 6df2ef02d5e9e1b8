//! One engine: its state, its report and its decoding loop.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::ids::Generation;
use jaysaddle_types::ids::VmId;
use tiny_http::Request;

use crate::engine::directory::VmDirectory;
use crate::engine::fault::ActiveFaults;
use crate::engine::scheduler::BatchScheduler;
use crate::engine::settings::EngineSettings;
use crate::engine::settings::FencingMode;
use crate::engine::stats::EngineStats;
use crate::engine::stats::RunRecorder;
use crate::http::ChunkWriter;
use crate::http::StandinListener;

/// Longest sleep of an idle decoding loop.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How often old outputs are forgotten; the scan covers all kept outputs.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// How often a decoding loop that cannot go on looks again.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Load figures over time; readers see them late.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    entries: VecDeque<(Instant, u32, u32)>,
    visible: (u32, u32),
}

impl LoadHistory {
    fn record(&mut self, now: Instant, running: u32, queued: u32) {
        let last = self
            .entries
            .back()
            .map_or(self.visible, |(_, running, queued)| (*running, *queued));
        if last != (running, queued) {
            self.entries.push_back((now, running, queued));
        }
    }

    /// Figures of `lag` ago. Called regularly by the decoding loop, which bounds the entries.
    fn read(&mut self, now: Instant, lag: Duration) -> (u32, u32) {
        while let Some((at, running, queued)) = self.entries.front().copied() {
            if now.duration_since(at) < lag {
                break;
            }
            self.visible = (running, queued);
            self.entries.pop_front();
        }
        self.visible
    }
}

/// State behind an engine's lock.
pub(crate) struct VmState {
    /// Role, group and members; the load figures in it are unused.
    pub(crate) report: EngineReport,
    /// Highest token of an order that was followed.
    pub(crate) highest_generation: Generation,
    /// Counts changes of the assignment, so that an outdated load has no effect.
    pub(crate) assignment: u64,
    /// When the leader last checked its members.
    pub(crate) last_member_check: Option<Instant>,
    /// Since when a member is missing.
    pub(crate) missing_since: Option<Instant>,
    pub(crate) scheduler: BatchScheduler,
    pub(crate) stats: EngineStats,
    pub(crate) recorder: RunRecorder,
    pub(crate) listener: Option<StandinListener>,
    /// Requests that arrived while frozen.
    pub(crate) held_requests: Vec<Request>,
    /// Streams that a `silent` fault keeps open.
    pub(crate) silent_streams: Vec<ChunkWriter>,
    load: LoadHistory,
    /// When old outputs were last forgotten.
    last_eviction: Instant,
}

/// One engine.
pub(crate) struct EngineVm {
    pub(crate) id: VmId,
    pub(crate) fencing: FencingMode,
    pub(crate) settings: Arc<EngineSettings>,
    pub(crate) directory: Arc<VmDirectory>,
    pub(crate) faults: ActiveFaults,
    /// Held during a check of the members, so that requests do not check in parallel.
    pub(crate) member_check_mutex: Mutex<()>,
    state: Mutex<VmState>,
    work_available: Condvar,
    stopped: AtomicBool,
}

impl EngineVm {
    pub(crate) fn new(
        id: VmId,
        settings: Arc<EngineSettings>,
        directory: Arc<VmDirectory>,
    ) -> Self {
        let state = VmState {
            report: EngineReport {
                vm: id.clone(),
                ..EngineReport::default()
            },
            highest_generation: Generation::default(),
            assignment: 0,
            last_member_check: None,
            missing_since: None,
            scheduler: BatchScheduler::new(settings.speed),
            stats: EngineStats::default(),
            recorder: RunRecorder::default(),
            listener: None,
            held_requests: Vec::new(),
            silent_streams: Vec::new(),
            load: LoadHistory::default(),
            last_eviction: Instant::now(),
        };
        Self {
            fencing: settings.fencing_mode(&id),
            id,
            settings,
            directory,
            faults: ActiveFaults::default(),
            member_check_mutex: Mutex::new(()),
            state: Mutex::new(state),
            work_available: Condvar::new(),
            stopped: AtomicBool::new(false),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, VmState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn wake(&self) {
        self.work_available.notify_all();
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(listener) = self.lock().listener.take() {
            listener.close();
        }
        self.wake();
    }

    pub(crate) fn stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// The engine's report with lagging load figures.
    pub(crate) fn report(&self) -> EngineReport {
        let mut state = self.lock();
        let lag = self.settings.report_lag.as_duration();
        let (running, queued) = state.load.read(Instant::now(), lag);
        EngineReport {
            running,
            queued,
            slots: self.settings.speed.slots,
            ..state.report.clone()
        }
    }

    /// Forgets everything, as a restart does. Counts and records of runs stay.
    pub(crate) fn reset(&self, state: &mut VmState) {
        state.report = EngineReport {
            vm: self.id.clone(),
            ..EngineReport::default()
        };
        state.highest_generation = Generation::default();
        state.assignment += 1;
        state.last_member_check = None;
        state.missing_since = None;
        state.scheduler = BatchScheduler::new(self.settings.speed);
        state.load = LoadHistory::default();
        state.held_requests.clear();
        state.silent_streams.clear();
    }

    /// Generates tokens until the engine is stopped.
    pub(crate) fn run_decode_loop(&self) {
        let mut next_step = Instant::now();
        while !self.stopped() {
            let Some(pause) = self.step(&mut next_step) else {
                let state = self.lock();
                if state.scheduler.is_idle() {
                    drop(self.work_available.wait_timeout(state, IDLE_POLL_INTERVAL));
                }
                next_step = Instant::now();
                continue;
            };
            thread::sleep(pause);
        }
    }

    /// Makes the step that is due; gives the time until the next one, or `None` when idle.
    fn step(&self, next_step: &mut Instant) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.lock();
        let state = &mut *state;
        state.load.read(now, self.settings.report_lag.as_duration());
        if self.faults.frozen() || self.faults.killed() {
            *next_step = now;
            return Some(STALL_POLL_INTERVAL);
        }
        let grace = self.settings.orphan_grace.as_duration();
        state.scheduler.cancel_expired(now, grace, &mut state.stats);
        let stalled = state.report.role == EngineRole::Leader && !state.report.missing.is_empty();
        if !stalled && now >= *next_step {
            state.scheduler.advance(now, &mut state.stats);
        }
        let slowdown = self.faults.slowdown();
        state.scheduler.admit(now, slowdown);
        let (running, queued) = (state.scheduler.running(), state.scheduler.queued());
        state.load.record(now, running, queued);
        if now.duration_since(state.last_eviction) >= EVICTION_INTERVAL {
            let retention = self.settings.output_retention.as_duration();
            state.scheduler.evict_outputs(now, retention);
            state.last_eviction = now;
        }
        if state.scheduler.is_idle() {
            return None;
        }
        if stalled {
            return Some(STALL_POLL_INTERVAL);
        }
        if now >= *next_step {
            // Steps follow each other without drift unless the loop fell behind.
            let step = state.scheduler.step_time(now, slowdown);
            *next_step = (*next_step + step).max(now);
        }
        Some(next_step.duration_since(now))
    }
}
