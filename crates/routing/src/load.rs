//! What a node knows of the load of a group.

use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Time for which a group that failed or refused an attempt is used only when nothing else fits.
const AVOID_TIME: TimeSpan = TimeSpan::from_secs(1);

/// Peers of which this node's own change is expected. With more peers, one node sends too little for
/// its few requests to stand for theirs.
const EXPECTED_PEERS: f64 = 8.0;

/// The part of a leader's report that concerns load.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    at: Timestamp,
    /// Requests in the engine that other nodes sent.
    foreign: f64,
    /// This node's own requests when the report arrived.
    own: u32,
}

/// Load of one group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupLoad {
    /// Own requests that have not ended.
    pub(crate) in_flight: u32,
    report: Option<LoadReport>,
    avoid_until: Timestamp,
}

/// A group's load as estimated for one decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadEstimate {
    /// Requests of other nodes, without the part that is unknown because of the report's age.
    known_foreign: f64,
    /// Share of the report that still counts, 0 to 1.
    pub(crate) weight: f64,
}

impl GroupLoad {
    pub(crate) fn record_report(&mut self, report: &EngineReport, now: Timestamp) {
        let total = f64::from(report.running) + f64::from(report.queued);
        self.report = Some(LoadReport {
            at: now,
            foreign: (total - f64::from(self.in_flight)).max(0.0),
            own: self.in_flight,
        });
    }

    /// Drops the report; it belongs to another generation.
    pub(crate) fn forget_report(&mut self) {
        self.report = None;
    }

    pub(crate) fn avoid(&mut self, now: Timestamp) {
        self.avoid_until = now + AVOID_TIME;
    }

    pub(crate) fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.avoid_until
    }

    pub(crate) fn report_age(&self, now: Timestamp) -> Option<TimeSpan> {
        self.report.map(|report| now.since(report.at))
    }

    /// The report's content weighted by its age.
    ///
    /// `peers` other nodes see the same report and send to the same group, so this node's own
    /// change since the report is expected of each of them, up to [`EXPECTED_PEERS`].
    pub(crate) fn estimate(&self, now: Timestamp, half_life: TimeSpan, peers: f64) -> LoadEstimate {
        let Some(report) = self.report else {
            return LoadEstimate {
                known_foreign: 0.0,
                weight: 0.0,
            };
        };
        let age = now.since(report.at).as_millis() as f64;
        let weight = (-age / half_life.as_millis().max(1) as f64).exp2();
        let own_change = f64::from(self.in_flight) - f64::from(report.own);
        let expected = peers.min(EXPECTED_PEERS) * own_change;
        let foreign = (report.foreign + expected).max(0.0);
        LoadEstimate {
            known_foreign: foreign * weight,
            weight,
        }
    }

    /// Requests in the group, with `mean_foreign` where the report is too old or missing.
    pub(crate) fn requests(&self, estimate: LoadEstimate, mean_foreign: f64) -> f64 {
        let unknown = (1.0 - estimate.weight) * mean_foreign;
        f64::from(self.in_flight) + estimate.known_foreign + unknown
    }
}

/// Mean of the other nodes' requests per group, over the groups with a report.
pub(crate) fn mean_foreign(estimates: impl Iterator<Item = LoadEstimate>) -> f64 {
    let mut sum = 0.0;
    let mut weight = 0.0;
    for estimate in estimates {
        sum += estimate.known_foreign;
        weight += estimate.weight;
    }
    if weight > 0.0 { sum / weight } else { 0.0 }
}
