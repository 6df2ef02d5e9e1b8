//! Engine of one VM: its state, its report and its decoding loop.

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

/// Interval at which old outputs are evicted. An eviction scans all retained outputs.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// Poll interval of a decoding loop that is blocked by a fault or a missing member.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// History of the load statistics, from which reports take the values of some time ago.
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

    /// Returns the running and queued counts of `lag` ago and removes older entries. The decoding
    /// loop calls it regularly, which bounds the number of entries.
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

/// Mutable state of an engine, guarded by its mutex.
pub(crate) struct VmState {
    /// Role, group and members. The load statistics in it are unused.
    pub(crate) report: EngineReport,
    /// Highest fencing token of an executed order.
    pub(crate) highest_generation: Generation,
    /// Number of assignment changes. A load that was started for an earlier assignment
    /// has no effect.
    pub(crate) assignment: u64,
    /// When the leader last checked its members; `None` if not yet in this assignment.
    pub(crate) last_member_check: Option<Instant>,
    /// Time since which at least one member has been missing.
    pub(crate) missing_since: Option<Instant>,
    pub(crate) scheduler: BatchScheduler,
    pub(crate) stats: EngineStats,
    pub(crate) recorder: RunRecorder,
    pub(crate) listener: Option<StandinListener>,
    /// Requests that arrived while the VM was frozen.
    pub(crate) held_requests: Vec<Request>,
    /// Streams kept open by a `silent` fault.
    pub(crate) stalled_streams: Vec<ChunkWriter>,
    load: LoadHistory,
    last_eviction: Instant,
}

/// Simulated engine of one VM.
pub(crate) struct EngineVm {
    pub(crate) id: VmId,
    pub(crate) fencing: FencingMode,
    pub(crate) settings: Arc<EngineSettings>,
    pub(crate) directory: Arc<VmDirectory>,
    pub(crate) faults: ActiveFaults,
    /// Serializes member checks, so that concurrent requests share the result of one check.
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
            stalled_streams: Vec::new(),
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

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Returns the status report, with load statistics that lag by `report_lag`.
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

    /// Resets the state as a restart does. Statistics and recorded runs are kept.
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
        state.stalled_streams.clear();
    }

    /// Generates tokens until the engine is stopped.
    pub(crate) fn run_decode_loop(&self) {
        let mut next_step = Instant::now();
        while !self.is_stopped() {
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

    /// Executes the decoding step if it is due. Returns the time until the next step, or
    /// `None` when idle.
    fn step(&self, next_step: &mut Instant) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.lock();
        let state = &mut *state;
        state.load.read(now, self.settings.report_lag.as_duration());
        if self.faults.is_frozen() || self.faults.is_killed() {
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
            // The next step is scheduled relative to the last one to avoid drift, unless the
            // loop is late.
            let step = state.scheduler.step_time(now, slowdown);
            *next_step = (*next_step + step).max(now);
        }
        Some(next_step.duration_since(now))
    }
}
