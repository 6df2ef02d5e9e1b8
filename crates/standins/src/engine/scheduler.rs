//! Continuous batching: the queue of an engine, its running requests and its retained outputs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::PREFIX_BLOCK_BYTES;

use crate::engine::cache::PrefixCache;
use crate::engine::run::Run;
use crate::engine::run::RunEnd;
use crate::engine::settings::EngineSpeed;
use crate::engine::stats::EngineStats;

/// Average number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// A run that occupies a slot.
#[derive(Debug)]
struct ActiveRun {
    run: Arc<Run>,
    /// End of the prefill phase; tokens are generated from then on.
    prefilled_at: Instant,
}

/// Scheduler of one engine: queued, running and recently ended runs.
///
/// # Invariants
///
/// Each run of `queue` and `active` is in `runs`; at most `slots` runs are in `active`. `runs` also
/// holds ended runs until their outputs are evicted.
#[derive(Debug)]
pub(crate) struct BatchScheduler {
    speed: EngineSpeed,
    queue: Vec<Arc<Run>>,
    active: Vec<ActiveRun>,
    runs: HashMap<RequestId, Arc<Run>>,
    pub(crate) cache: PrefixCache,
}

impl BatchScheduler {
    pub(crate) fn new(speed: EngineSpeed) -> Self {
        Self {
            speed,
            queue: Vec::new(),
            active: Vec::new(),
            runs: HashMap::new(),
            cache: PrefixCache::new(speed.cache_blocks),
        }
    }

    pub(crate) fn find(&self, request: &RequestId) -> Option<&Arc<Run>> {
        self.runs.get(request)
    }

    pub(crate) fn running(&self) -> u32 {
        u32::try_from(self.active.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.active.is_empty()
    }

    /// Whether a further request has to be refused. Requests are moved into slots only between two
    /// decoding steps, so the limit applies to the sum of queued and running requests.
    pub(crate) fn is_full(&self) -> bool {
        let limit = self.speed.queue_limit.saturating_add(self.speed.slots);
        self.queued().saturating_add(self.running()) >= limit
    }

    pub(crate) fn submit(&mut self, run: Arc<Run>) {
        self.runs.insert(run.request.clone(), Arc::clone(&run));
        self.queue.push(run);
    }

    /// Moves queued requests into free slots by descending priority, oldest first
    /// within a priority.
    pub(crate) fn admit(&mut self, now: Instant, slowdown: f64) {
        while self.running() < self.speed.slots {
            let best = self
                .queue
                .iter()
                .enumerate()
                .max_by_key(|(index, run)| (run.priority, std::cmp::Reverse(*index)));
            let Some((index, _)) = best else {
                return;
            };
            let run = self.queue.remove(index);
            let cached = self.cache.insert_prefix(&run.prefix, now);
            let tokens = cached * PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN;
            run.set_cached_tokens(u32::try_from(tokens).unwrap_or(u32::MAX));
            let uncached = u32::try_from(run.prefix.len() - cached).unwrap_or(u32::MAX);
            let prefill = self.speed.prefill_block_time.as_duration() * uncached;
            self.active.push(ActiveRun {
                run,
                prefilled_at: now + prefill.mul_f64(slowdown),
            });
        }
    }

    /// Duration of the next decoding step. It grows with the number of decoding requests.
    pub(crate) fn step_time(&self, now: Instant, slowdown: f64) -> Duration {
        let decoding = self
            .active
            .iter()
            .filter(|active| active.prefilled_at <= now)
            .count();
        let others = u32::try_from(decoding.saturating_sub(1)).unwrap_or(u32::MAX);
        let growth = f64::from(others) * f64::from(self.speed.batch_growth_permille) / 1000.0;
        self.speed
            .token_time
            .as_duration()
            .mul_f64(slowdown * (1.0 + growth))
    }

    /// Generates one token for each running request that has finished its prefill phase.
    pub(crate) fn advance(&mut self, now: Instant, stats: &mut EngineStats) {
        self.active.retain(|active| {
            let complete = active.prefilled_at <= now && active.run.produce_token(now);
            stats.finished += u64::from(complete);
            !complete
        });
    }

    /// Cancels requests whose deadline or orphan grace period has passed, and removes ended
    /// requests from the queue and the slots.
    pub(crate) fn cancel_expired(
        &mut self,
        now: Instant,
        grace: Duration,
        stats: &mut EngineStats,
    ) {
        for run in self.unfinished_runs() {
            if run.is_expired(now, grace) {
                stats.cancelled += 1;
                run.end(RunEnd::Finished(FinishReason::Cancelled), now);
            }
        }
        self.remove_ended();
    }

    /// Cancels one request; returns whether it was queued or running.
    pub(crate) fn cancel(&mut self, request: &RequestId, now: Instant) -> bool {
        let Some(run) = self
            .runs
            .get(request)
            .filter(|run| run.end_state().is_none())
        else {
            return false;
        };
        run.end(RunEnd::Finished(FinishReason::Cancelled), now);
        self.remove_ended();
        true
    }

    /// Ends all queued and running requests and returns their number.
    pub(crate) fn end_all(&mut self, end: RunEnd, now: Instant) -> u64 {
        let runs = self.unfinished_runs();
        for run in &runs {
            run.end(end, now);
        }
        self.remove_ended();
        runs.len() as u64
    }

    /// Evicts outputs of runs that ended at least `retention` ago.
    pub(crate) fn evict_outputs(&mut self, now: Instant, retention: Duration) {
        self.runs.retain(|_, run| {
            run.end_state()
                .is_none_or(|(_, at)| now.duration_since(at) < retention)
        });
    }

    fn unfinished_runs(&self) -> Vec<Arc<Run>> {
        self.active
            .iter()
            .map(|active| &active.run)
            .chain(&self.queue)
            .cloned()
            .collect()
    }

    fn remove_ended(&mut self) {
        self.active
            .retain(|active| active.run.end_state().is_none());
        self.queue.retain(|run| run.end_state().is_none());
    }
}
