//! Queueing model of one group: slots, one prefill at a time, and a bounded prefix cache.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

pub const SLOTS: usize = 16;
const CACHE_BLOCKS: usize = 800;
const PREFILL_BASE_MS: f64 = 5.0;
const PREFILL_BLOCK_MS: f64 = 4.0;

pub struct EngineJob {
    pub id: usize,
    pub prefix: Arc<[u64]>,
    /// Time from the first token to the last, in milliseconds.
    pub decode_ms: f64,
}

/// A job that has started on the engine. Times are in milliseconds of simulated time.
pub struct StartedJob {
    pub id: usize,
    pub first_token: f64,
    pub end: f64,
    pub cached_blocks: usize,
}

#[derive(Default)]
pub struct Engine {
    pub running: usize,
    queue: VecDeque<EngineJob>,
    prefill_free: f64,
    cache: HashMap<u64, u64>,
    last_use: u64,
    pub served: usize,
}

impl Engine {
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    pub fn enqueue(&mut self, job: EngineJob) {
        self.queue.push_back(job);
    }

    /// Starts queued jobs while slots are free.
    pub fn start(&mut self, now: f64) -> Vec<StartedJob> {
        let mut started = Vec::new();
        while self.running < SLOTS {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            self.running += 1;
            self.served += 1;
            let cached_blocks = self.use_cache(&job.prefix);
            let blocks = (job.prefix.len() - cached_blocks) as f64;
            let begin = self.prefill_free.max(now);
            self.prefill_free = begin + PREFILL_BASE_MS + PREFILL_BLOCK_MS * blocks;
            started.push(StartedJob {
                id: job.id,
                first_token: self.prefill_free,
                end: self.prefill_free + job.decode_ms,
                cached_blocks,
            });
        }
        started
    }

    /// Returns the number of leading blocks found in the cache and inserts all blocks.
    fn use_cache(&mut self, prefix: &[u64]) -> usize {
        let hits = prefix
            .iter()
            .take_while(|block| self.cache.contains_key(block));
        let cached_blocks = hits.count();
        // The first blocks are marked as most recently used, so that the ends of conversations
        // are evicted first.
        for block in prefix.iter().rev() {
            self.last_use += 1;
            self.cache.insert(*block, self.last_use);
        }
        // Evicting a tenth in one pass is cheaper than evicting single blocks.
        if self.cache.len() > CACHE_BLOCKS {
            let mut order: Vec<u64> = self.cache.values().copied().collect();
            order.sort_unstable();
            let oldest_kept = order[self.cache.len() - CACHE_BLOCKS * 9 / 10];
            self.cache.retain(|_, used| *used >= oldest_kept);
        }
        cached_blocks
    }
}
