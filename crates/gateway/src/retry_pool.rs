//! Retries that a node may send beyond its own share of the retry budget, out of what all nodes together leave unused.
//!
//! The budget is one for all nodes, but those that need it are few at a time: the streams of a lost group run through some
//! nodes and not through others. Nodes count their requests and retries over a window and tell each other. Each may use a
//! small part of what is left, and a new one when it learns new counts. The part is so small that all nodes together do not
//! use more than what is left before their retries show up in the counts.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use jaysaddle_fleet::usage::ServiceUsage;
use jaysaddle_fleet::usage::UsageTotals;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::random::XorshiftRng;

/// Window over which the platform limits retries.
const WINDOW: TimeSpan = TimeSpan::from_secs(10);
/// Time for which requests and retries are counted together.
const BUCKET: TimeSpan = TimeSpan(500);
/// Each node may use what is left divided by the number of nodes and by this number before it learns new counts: retries
/// show up in the counts after up to three intervals of heartbeats.
const ALLOWANCE_DIVISOR: u32 = 4;

/// Number of a service, which is the same at all nodes.
pub fn service_number(service: &ServiceId) -> u32 {
    let mut hasher = DefaultHasher::new();
    service.hash(&mut hasher);
    (hasher.finish() >> 32) as u32
}

/// Limits on the retries of all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLimits {
    /// Retries for each thousand requests in the window.
    pub permille: u32,
    /// Retries in the window in addition.
    pub burst: u32,
}

#[derive(Clone, Copy, Debug)]
struct UsageBucket {
    started: Timestamp,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service.
#[derive(Debug, Default)]
struct PoolRecord {
    /// Counts of the window, oldest first.
    buckets: VecDeque<UsageBucket>,
    /// Retries that this node may send before it learns new counts.
    allowance: u32,
}

/// Retries that a node may send beyond its own share.
#[derive(Debug, Default)]
pub struct RetryPool {
    limits: PoolLimits,
    records: HashMap<ServiceId, PoolRecord>,
    now: Timestamp,
}

impl RetryPool {
    /// Sets the limits on the retries of all nodes together.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    fn bucket(&mut self, service: &ServiceId) -> &mut UsageBucket {
        let now = self.now;
        let record = self.records.entry(service.clone()).or_default();
        let is_current = record
            .buckets
            .back()
            .is_some_and(|bucket| now.since(bucket.started) < BUCKET);
        if !is_current {
            record.buckets.push_back(UsageBucket {
                started: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = record.buckets.len() - 1;
        &mut record.buckets[last]
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, service: &ServiceId) {
        self.bucket(service).requests += 1;
    }

    /// Records a retry, whether it comes from this node's own share or from the pool.
    pub fn record_retry(&mut self, service: &ServiceId) {
        self.bucket(service).retries += 1;
    }

    /// Takes a retry from what this node may use of the pool.
    pub fn try_take(&mut self, service: &ServiceId) -> bool {
        let record = self.records.get_mut(service);
        let Some(record) = record.filter(|record| record.allowance > 0) else {
            return false;
        };
        record.allowance -= 1;
        true
    }

    /// Requests and retries of this node in the window, for its heartbeats.
    pub fn usage(&self) -> Vec<ServiceUsage> {
        let records = self.records.iter();
        records
            .map(|(service, record)| ServiceUsage {
                service: service_number(service),
                requests: record.buckets.iter().map(|bucket| bucket.requests).sum(),
                retries: record.buckets.iter().map(|bucket| bucket.retries).sum(),
            })
            .collect()
    }

    /// Computes what this node may use from the counts of all nodes; without recent ones, it is nothing. A part of a retry
    /// is a whole one with that probability.
    pub fn update(
        &mut self,
        totals: Option<&UsageTotals>,
        nodes: u32,
        random: &mut XorshiftRng,
        now: Timestamp,
    ) {
        self.now = now;
        for (service, record) in &mut self.records {
            while record
                .buckets
                .front()
                .is_some_and(|bucket| now.since(bucket.started) >= WINDOW)
            {
                record.buckets.pop_front();
            }
            let usage = totals.and_then(|totals| totals.get(&service_number(service)));
            let left = usage.map_or(0, |usage| {
                let by_requests =
                    u64::from(usage.requests) * u64::from(self.limits.permille) / 1000;
                let allowed = by_requests + u64::from(self.limits.burst);
                allowed.saturating_sub(u64::from(usage.retries))
            });
            let parts = f64::from(nodes.max(1) * ALLOWANCE_DIVISOR);
            let part = left as f64 / parts;
            // What was not used is kept for one more interval.
            let kept = f64::from(record.allowance).min(part);
            record.allowance = (kept + part + random.fraction()) as u32;
        }
    }
}
