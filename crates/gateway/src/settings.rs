//! Tuning parameters for target selection, stall detection and the retry budget.

use jaysaddle_types::units::TimeSpan;

use crate::shedding::SheddingSettings;

/// Tuning parameters of a [`RequestGateway`](crate::gateway::RequestGateway).
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Fraction of the latency target that a request may spend queued at a target. The remainder is left for the
    /// processing of the prompt.
    pub wait_share: f64,
    /// Request duration assumed before any request of the class has completed, in milliseconds.
    pub assumed_duration_ms: f64,
    /// Time without data from a streaming group after which other targets are preferred. Events normally arrive
    /// every 50 ms.
    pub avoid_after: TimeSpan,
    /// Time without data from a streaming group after which its members are probed.
    pub probe_after: TimeSpan,
    /// Replaces `avoid_after` and `probe_after` for a group whose requests all still wait for their first event.
    pub first_event_probe_after: TimeSpan,
    /// Multiple of the mean time to the first event that replaces `first_event_probe_after` if it is longer.
    pub first_event_factor: f64,
    /// Minimum time without data after which a request fails over to another target.
    pub stall_limit: TimeSpan,
    /// The same as a multiple of the target's average pause between events, for targets that are slow but sound.
    pub stall_pauses: f64,
    /// Upper bound on the time without data after which a request fails over.
    pub max_stall_limit: TimeSpan,
    /// How long other targets are preferred after a target refused a request or made no progress.
    pub avoid_time: TimeSpan,
    /// Retries added to the budget by each request, in thousandths of a retry.
    pub retry_permille: u32,
    /// Burst capacity of the retry budget, shared by all nodes: retries allowed on top of `retry_permille`.
    pub retry_burst: u32,
    /// Minimum and maximum of the retry delay sent to a caller when all targets are full.
    pub retry_after_full: (TimeSpan, TimeSpan),
    /// Minimum and maximum of the retry delay sent to a caller when there is no target. A group takes
    /// two seconds to form.
    pub retry_after_no_target: (TimeSpan, TimeSpan),
    /// Minimum and maximum of the retry delay sent to a caller when the request limits of all backend servers are used
    /// up. Within these bounds it is the time until one of the limits allows another request.
    pub retry_after_limited: (TimeSpan, TimeSpan),
    /// Minimum and maximum of the retry delay sent to a caller whose request is turned away because too many arrive. The
    /// fewer are admitted, the longer it is.
    pub retry_after_crowded: (TimeSpan, TimeSpan),
    /// Selection by the predicted time to the first event; `None` for selection by the number of requests.
    pub pacing: Option<PacingSettings>,
}

/// Tuning parameters of the selection by the predicted time to the first event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacingSettings {
    /// Part of the latency target in which the first event must be predicted to arrive. The rest covers the way to the
    /// caller and the error of the prediction.
    pub on_time_part: f64,
    /// Part of a target's slots that requests of the highest rank use. With more, a request would wait for a slot.
    pub slots_part: f64,
    /// Part of the slots that a request leaves to the ranks before it, so that these need not wait for a slot.
    pub rank_reserve: f64,
    /// Part of all requests from which the ranks before need the whole reserve; with fewer, they need less.
    pub reserve_part: f64,
    /// Part of the prompts which a target can read until this node knows of new requests that is counted as room.
    pub read_part: f64,
    /// Multiple of that part up to which a request is delayed rather than turned away, if a slot is free. Prompts that wait
    /// are read within some hundred milliseconds, sooner than a caller would come back.
    pub late_factor: f64,
    /// Time from the selection of a target until a heartbeat can include the request.
    pub send_delay: TimeSpan,
    /// Utilization up to which the targets in the node's failure domain are used before others.
    pub near_level: f64,
    /// Which requests are turned away.
    pub shedding: SheddingSettings,
}

impl Default for PacingSettings {
    fn default() -> Self {
        Self {
            on_time_part: 0.85,
            slots_part: 0.9,
            rank_reserve: 0.12,
            reserve_part: 0.1,
            read_part: 0.8,
            late_factor: 2.0,
            send_delay: TimeSpan(50),
            near_level: 0.6,
            shedding: SheddingSettings::default(),
        }
    }
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            wait_share: 0.5,
            assumed_duration_ms: 800.0,
            avoid_after: TimeSpan(250),
            probe_after: TimeSpan(350),
            first_event_probe_after: TimeSpan(800),
            first_event_factor: 3.0,
            stall_limit: TimeSpan(600),
            stall_pauses: 3.0,
            max_stall_limit: TimeSpan(3000),
            avoid_time: TimeSpan(1500),
            retry_permille: 180,
            retry_burst: 90,
            retry_after_full: (TimeSpan(300), TimeSpan(1200)),
            retry_after_no_target: (TimeSpan(900), TimeSpan(1900)),
            retry_after_limited: (TimeSpan(300), TimeSpan(5000)),
            retry_after_crowded: (TimeSpan(400), TimeSpan(3600)),
            pacing: None,
        }
    }
}
