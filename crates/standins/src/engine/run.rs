//! Execution of one request: its progress and the connections attached to it.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_types::engine::EngineCompletion;
use jaysaddle_types::engine::FinishReason;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::request::prefix_hashes;

use crate::text::CompletionSeed;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The client receives a finish reason.
    Finished(FinishReason),
    /// The VM was killed, its group lost a member or its assignment changed. Connections are closed
    /// without a finish reason.
    Aborted,
}

#[derive(Debug)]
pub(crate) struct RunProgress {
    /// Number of generated tokens.
    pub(crate) produced: u32,
    /// Number of prompt tokens found in the prefix cache.
    pub(crate) cached_tokens: u32,
    /// How and when the run ended; `None` while it is queued or running.
    pub(crate) end: Option<(RunEnd, Instant)>,
    /// Number of connections attached to the run.
    connections: u32,
    /// Time since which no connection has been attached; `None` while there is one.
    orphaned_since: Option<Instant>,
}

/// A request accepted by the engine, from submission until its output is evicted.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) request: RequestId,
    pub(crate) seed: CompletionSeed,
    pub(crate) max_tokens: u32,
    pub(crate) priority: u8,
    pub(crate) deadline: Instant,
    pub(crate) prefix: Arc<[u64]>,
    progress: Mutex<RunProgress>,
    changed: Condvar,
}

impl Run {
    pub(crate) fn new(completion: &EngineCompletion, now: Instant) -> Self {
        Self {
            request: completion.request_id.clone(),
            seed: CompletionSeed::new(&completion.model, &completion.prompt),
            max_tokens: completion.max_tokens,
            priority: completion.priority,
            deadline: now + Duration::from_millis(completion.deadline_ms),
            prefix: prefix_hashes(&completion.prompt),
            progress: Mutex::new(RunProgress {
                produced: 0,
                cached_tokens: 0,
                end: None,
                connections: 0,
                orphaned_since: Some(now),
            }),
            changed: Condvar::new(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, RunProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for progress for at most `timeout`.
    pub(crate) fn wait<'a>(
        &self,
        progress: MutexGuard<'a, RunProgress>,
        timeout: Duration,
    ) -> MutexGuard<'a, RunProgress> {
        self.changed
            .wait_timeout(progress, timeout)
            .unwrap_or_else(PoisonError::into_inner)
            .0
    }

    /// Generates one token; returns whether the run has ended.
    pub(crate) fn produce_token(&self, now: Instant) -> bool {
        let mut progress = self.lock();
        if progress.end.is_none() && progress.produced < self.max_tokens {
            progress.produced += 1;
        }
        if progress.end.is_none() && progress.produced >= self.max_tokens {
            progress.end = Some((RunEnd::Finished(FinishReason::Length), now));
        }
        self.changed.notify_all();
        progress.end.is_some()
    }

    /// Ends the run; has no effect if it has already ended.
    pub(crate) fn end(&self, end: RunEnd, now: Instant) {
        let mut progress = self.lock();
        progress.end.get_or_insert((end, now));
        self.changed.notify_all();
    }

    pub(crate) fn set_cached_tokens(&self, tokens: u32) {
        self.lock().cached_tokens = tokens;
    }

    pub(crate) fn end_state(&self) -> Option<(RunEnd, Instant)> {
        self.lock().end
    }

    pub(crate) fn add_connection(&self) {
        let mut progress = self.lock();
        progress.connections += 1;
        progress.orphaned_since = None;
    }

    pub(crate) fn remove_connection(&self, now: Instant) {
        let mut progress = self.lock();
        progress.connections = progress.connections.saturating_sub(1);
        if progress.connections == 0 {
            progress.orphaned_since = Some(now);
        }
    }

    /// Whether the run has to be cancelled: its deadline has passed, or it has had no connection
    /// for longer than `grace`.
    pub(crate) fn is_expired(&self, now: Instant, grace: Duration) -> bool {
        let orphaned_since = self.lock().orphaned_since;
        now >= self.deadline
            || orphaned_since.is_some_and(|since| now.duration_since(since) > grace)
    }
}
