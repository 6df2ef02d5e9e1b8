//! The router.

use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::FleetView;

use crate::query::AttemptResult;
use crate::query::RouteChoice;
use crate::query::RouteFailure;
use crate::query::RouteQuery;
use crate::query::RouteTarget;
use crate::settings::RoutingSettings;

/// Chooses a group or backend server for each request.
#[derive(Clone, Debug)]
pub struct GroupRouter {
    /// Settings.
    pub settings: RoutingSettings,
    /// Seed of the generator that breaks ties.
    pub seed: u64,
}

impl GroupRouter {
    /// A router that knows no view yet.
    pub fn new(settings: RoutingSettings, seed: u64) -> Self {
        Self { settings, seed }
    }

    /// Rebuilds the index for `view`.
    pub fn view_changed(&mut self, _view: &FleetView) {}

    /// Chooses where a request goes.
    ///
    /// # Errors
    ///
    /// Fails when no group or backend server fits; the request has not run.
    #[expect(
        clippy::result_large_err,
        reason = "a failure is rare and consumed at once; a box would only move it"
    )]
    pub fn choose(
        &mut self,
        _query: &RouteQuery,
        _view: &FleetView,
        _now: Timestamp,
    ) -> Result<RouteChoice, RouteFailure> {
        todo!("route selection")
    }

    /// Records a leader's own report.
    pub fn reported(&mut self, _report: &EngineReport, _now: Timestamp) {}

    /// Records that a request is sent to `target`.
    pub fn sent(&mut self, _target: &RouteTarget, _query: &RouteQuery) {}

    /// Records the end of an attempt at `target`.
    pub fn ended(&mut self, _target: &RouteTarget, _result: AttemptResult, _now: Timestamp) {}

    /// Whether `target` may receive a request now.
    pub fn is_present(&self, _target: &RouteTarget, _view: &FleetView, _now: Timestamp) -> bool {
        false
    }
}
