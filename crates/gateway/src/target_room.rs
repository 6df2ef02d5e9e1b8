//! Number of requests that a target can begin in time, for one request.

use crate::first_event::EnginePace;

/// What is known of the requests and of all targets of a service and model. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassRoom {
    /// Pace of a target that is not slow.
    pub pace: EnginePace,
    /// Factor by which predictions are corrected.
    pub bias: f64,
    /// Time in which the first event must be predicted to arrive, before the correction.
    pub limit_ms: f64,
    /// Multiple of that time up to which a delay is worth it.
    pub late_factor: f64,
    /// Prompt tokens of the request.
    pub prompt: f64,
    /// Mean number of prompt tokens; at least 1.
    pub mean_prompt: f64,
    /// Mean duration of a request.
    pub duration: f64,
    /// Part of the slots that the request may use.
    pub slots_part: f64,
    /// Part of the prompts that a target reads until this node knows of new requests that is counted as room.
    pub read_part: f64,
    /// Shortest mean pause between two events of a target; infinite before the first.
    pub min_pause: f64,
    /// Time until this node knows of a request of a peer.
    pub age_ms: f64,
}

/// What is known of the use of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetUse {
    /// Number of requests that it runs concurrently.
    pub slots: f64,
    /// Requests of all nodes in flight.
    pub requests: f64,
    /// Unread prompt tokens of this node's requests.
    pub own_unread: f64,
    /// Unread prompt tokens of the peers' requests, as they were counted.
    pub peers_unread: f64,
    /// Factor by which it is slower than the fastest one.
    pub slowdown: f64,
    /// Whether it is cold, so that it gets one request at a time.
    pub is_cold: bool,
}

/// Room of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetRoom {
    /// Number of requests that it can begin in time.
    pub in_time: f64,
    /// Number of requests that it can begin with a delay that is worth it.
    pub late: f64,
    /// Predicted time to the first event of the request, in milliseconds.
    pub predicted_ms: f64,
    /// Whether the first event could arrive in time if no other request were there.
    pub can_be_on_time: bool,
}

impl ClassRoom {
    /// Computes the room of a target.
    pub fn target_room(&self, target: &TargetUse) -> TargetRoom {
        let pace = self.pace.slowed(target.slowdown);
        // Prompts are read on while the counts of the peers are under way.
        let read = self.age_ms / pace.token_ms;
        let unread = (target.peers_unread - read).max(0.0) + target.own_unread;
        // Requests that end until this node knows of new ones make room for them.
        let remaining = target.requests * (1.0 - self.age_ms / self.duration).max(0.0);
        let free_slots = (target.slots * self.slots_part - remaining).max(0.0);
        let room_within = |limit_ms: f64| {
            let spare = pace.unread_limit(target.requests, limit_ms) - unread - self.prompt;
            if spare < 0.0 {
                return 0.0;
            }
            let prompts = (spare + read * self.read_part) / self.mean_prompt;
            let room = (1.0 + prompts).min(free_slots);
            if target.is_cold { room.min(1.0) } else { room }
        };
        let predicted = pace.first_event_ms(target.requests, unread, self.prompt);
        TargetRoom {
            in_time: room_within(self.limit_ms),
            late: room_within(self.limit_ms * self.late_factor),
            predicted_ms: predicted * self.bias,
            can_be_on_time: pace.unread_limit(0.0, self.limit_ms) >= self.prompt,
        }
    }
}
