//! Requests that wait behind those that can still be on time, and whether another one has a chance.
//!
//! While a model's groups are overloaded for long, new requests keep filling the places, and those that wait behind
//! them get none until their callers give up. Such a request is refused at once, so that its caller knows.

use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time constant of the counts; about the time for which callers wait.
const MEMORY: TimeSpan = TimeSpan(2000);
/// Ends of waiting within the memory from which they are evidence.
const LEAST_EVIDENCE: f64 = 3.0;
/// Requests that may wait in any case, so that the end of an overload is noticed.
const LEAST_WAITING: u32 = 1;

/// The late requests of one node for one model.
#[derive(Clone, Debug, Default)]
pub struct LateQueue {
    waiting: u32,
    /// Requests whose answer began, fading over the memory.
    begun: f64,
    /// Requests that ended without, fading likewise.
    starved: f64,
    updated: Timestamp,
}

impl LateQueue {
    fn fade(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).as_millis() as f64;
        let rest = (-elapsed / MEMORY.as_millis() as f64).exp();
        self.begun *= rest;
        self.starved *= rest;
        self.updated = now;
    }

    /// A request begins to wait.
    pub fn joined(&mut self) {
        self.waiting += 1;
    }

    /// The answer to a waiting request begins.
    pub fn begun(&mut self, now: Timestamp) {
        self.fade(now);
        self.begun += 1.0;
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// A waiting request ends early; this says nothing about its chance.
    pub fn left(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// A waiting request ends without an answer, after it waited for long or was turned away.
    pub fn starved(&mut self, now: Timestamp) {
        self.fade(now);
        self.starved += 1.0;
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Whether one more request may expect its answer to begin within `limit`.
    pub fn admits(&mut self, limit: TimeSpan, now: Timestamp) -> bool {
        self.fade(now);
        if self.waiting < LEAST_WAITING || self.begun + self.starved < LEAST_EVIDENCE {
            return true;
        }
        let begun_each_ms = self.begun / MEMORY.as_millis() as f64;
        let wait_ms = f64::from(self.waiting + 1) / begun_each_ms;
        wait_ms <= limit.as_millis() as f64
    }
}
