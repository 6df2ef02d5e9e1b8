//! Estimates the load of a group from reports and from this node's own requests.

use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

/// Period after a failed or refused attempt during which the group is chosen only if all other
/// candidates are in such a period too.
const AVOID_PERIOD: TimeSpan = TimeSpan::from_secs(1);

/// Maximum number of peers that are assumed to behave like this node. With more peers, the few
/// requests of one node are too small a sample to extrapolate from.
const MAX_EXTRAPOLATED_PEERS: f64 = 8.0;

/// Load derived from a leader's report.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    at: Timestamp,
    /// Requests in the engine that other nodes sent.
    remote: f64,
    /// Requests of this node in flight when the report arrived.
    local: u32,
}

/// Load of one group as observed by this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupLoad {
    /// Requests that this node sent to the group and that have not ended.
    pub(crate) in_flight: u32,
    report: Option<LoadReport>,
    avoid_until: Timestamp,
}

/// Part of a load estimate that comes from the last report, for one decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadEstimate {
    /// Requests of other nodes, multiplied by `weight`.
    weighted_remote: f64,
    /// Weight of the report by its age, from 0 (no report) to 1.
    pub(crate) weight: f64,
}

impl GroupLoad {
    pub(crate) fn record_report(&mut self, report: &EngineReport, now: Timestamp) {
        let total = f64::from(report.running) + f64::from(report.queued);
        self.report = Some(LoadReport {
            at: now,
            remote: (total - f64::from(self.in_flight)).max(0.0),
            local: self.in_flight,
        });
    }

    /// Drops the report, which belongs to another generation.
    pub(crate) fn clear_report(&mut self) {
        self.report = None;
    }

    pub(crate) fn mark_avoided(&mut self, now: Timestamp) {
        self.avoid_until = now + AVOID_PERIOD;
    }

    pub(crate) fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.avoid_until
    }

    pub(crate) fn report_age(&self, now: Timestamp) -> Option<TimeSpan> {
        self.report.map(|report| now.since(report.at))
    }

    /// Weights the reported load by the report's age.
    ///
    /// `peers` other nodes act on the same report and send to the same group, so each of them, up
    /// to [`MAX_EXTRAPOLATED_PEERS`], is assumed to have changed its load by as much as this
    /// node has since the report.
    pub(crate) fn weigh_report(
        &self,
        now: Timestamp,
        half_life: TimeSpan,
        peers: f64,
    ) -> LoadEstimate {
        let Some(report) = self.report else {
            return LoadEstimate {
                weighted_remote: 0.0,
                weight: 0.0,
            };
        };
        let age = now.since(report.at).as_millis() as f64;
        let weight = (-age / half_life.as_millis().max(1) as f64).exp2();
        let local_change = f64::from(self.in_flight) - f64::from(report.local);
        let expected = peers.min(MAX_EXTRAPOLATED_PEERS) * local_change;
        let remote = (report.remote + expected).max(0.0);
        LoadEstimate {
            weighted_remote: remote * weight,
            weight,
        }
    }

    /// Estimates the requests in the group; `mean_remote` replaces the part of the report that has
    /// lost its weight, or all of it if there is no report.
    pub(crate) fn estimate_requests(&self, estimate: LoadEstimate, mean_remote: f64) -> f64 {
        let unweighted = (1.0 - estimate.weight) * mean_remote;
        f64::from(self.in_flight) + estimate.weighted_remote + unweighted
    }
}

/// Returns the mean number of other nodes' requests per group, weighted by the age of the reports.
pub(crate) fn mean_remote(estimates: impl Iterator<Item = LoadEstimate>) -> f64 {
    let mut sum = 0.0;
    let mut weight = 0.0;
    for estimate in estimates {
        sum += estimate.weighted_remote;
        weight += estimate.weight;
    }
    if weight > 0.0 { sum / weight } else { 0.0 }
}
