//! Predicts when the first event of a response arrives, from an engine's published figures and the work ahead.
//!
//! An engine reads prompts one after the other, between the steps in which it writes for all requests that have begun. A new
//! request waits for the pass under way, for the prompts ahead of it and for its own, and for a pass in which its first
//! event is written. The number of requests in flight does not tell this: a group that has just opened is almost empty
//! while the prompts of a hundred requests wait there.

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::serving::EngineProfile;

/// Processing times of one model at an engine that is neither slow nor short of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePace {
    /// Time to read a prompt token, in milliseconds.
    pub token_ms: f64,
    /// Time of a step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each request adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// Number of steps of a pass, after which events are sent.
    pub steps: f64,
}

impl EnginePace {
    /// The pace of a model; `None` if the configuration does not state the engine's figures.
    pub fn of(profile: &EngineProfile, model: &ModelId) -> Option<Self> {
        let factor = profile.model(model)?.time_factor;
        let is_stated = profile.step_ms > 0.0 && profile.prompt_token_ms > 0.0 && factor > 0.0;
        is_stated.then(|| Self {
            token_ms: profile.prompt_token_ms * factor,
            step_ms: profile.step_ms * factor,
            sequence_ms: profile.sequence_ms * factor,
            steps: f64::from(profile.steps_per_event.max(1)),
        })
    }

    /// The pace of a target that is `slowdown` times as slow.
    pub fn slowed(self, slowdown: f64) -> Self {
        Self {
            token_ms: self.token_ms * slowdown,
            step_ms: self.step_ms * slowdown,
            sequence_ms: self.sequence_ms * slowdown,
            ..self
        }
    }

    /// Time of a pass in which `requests` write, in milliseconds.
    pub fn pass_ms(&self, requests: f64) -> f64 {
        self.steps * (self.step_ms + self.sequence_ms * requests)
    }

    /// Time to the first event of a request with `prompt` tokens behind `unread` other tokens, in milliseconds, at a target
    /// at which `requests` are in flight. On average, half of a pass is over when the request arrives.
    pub fn first_event_ms(&self, requests: f64, unread: f64, prompt: f64) -> f64 {
        self.pass_ms(requests) * 1.5 + (unread + prompt) * self.token_ms
    }

    /// Number of tokens that may be unread when a request arrives whose first event must arrive within `limit_ms`.
    pub fn unread_limit(&self, requests: f64, limit_ms: f64) -> f64 {
        (limit_ms - self.pass_ms(requests) * 1.5) / self.token_ms
    }
}

/// Moving average of the ratio of observed to predicted times, by which predictions are corrected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PredictionBias {
    ratio: f64,
}

/// Weight of a new observation. About the last 20 observations count.
const BIAS_WEIGHT: f64 = 0.05;
/// Bounds of one observed ratio. A backend server that has failed says nothing about the prediction.
const RATIO_BOUNDS: (f64, f64) = (0.5, 3.0);

impl Default for PredictionBias {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

impl PredictionBias {
    /// Records the time of a first event, both in milliseconds.
    pub fn record(&mut self, predicted: f64, observed: f64) {
        if predicted > 0.0 {
            let ratio = (observed / predicted).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
            self.ratio += (ratio - self.ratio) * BIAS_WEIGHT;
        }
    }

    /// Factor by which predictions are multiplied.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }
}
