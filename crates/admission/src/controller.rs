//! The admission controller.

use jaysaddle_types::evidence::AccountUsage;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::FleetView;

use crate::query::AdmitOutcome;
use crate::query::AdmitQuery;
use crate::query::QueueRelease;
use crate::settings::AdmissionSettings;

/// Grants slots to requests, queues them or refuses them.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    /// Settings.
    pub settings: AdmissionSettings,
}

impl AdmissionController {
    /// A controller without any request.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings }
    }

    /// Decides on a request that arrives.
    pub fn admit(
        &mut self,
        _query: &AdmitQuery,
        _view: &FleetView,
        _now: Timestamp,
    ) -> AdmitOutcome {
        todo!("admission")
    }

    /// Returns the slot of `request`.
    pub fn release(
        &mut self,
        _request: &RequestId,
        _view: &FleetView,
        _now: Timestamp,
    ) -> Vec<QueueRelease> {
        Vec::new()
    }

    /// Refuses what has waited too long and grants what fits.
    pub fn tick(&mut self, _view: &FleetView, _now: Timestamp) -> Vec<QueueRelease> {
        Vec::new()
    }

    /// Requests that [`AdmissionController::admit`] and [`AdmissionController::cancel`] pushed out
    /// of the queue; also returned by the next release or tick.
    pub fn displaced(&mut self) -> Vec<QueueRelease> {
        Vec::new()
    }

    /// Drops a request whose caller hung up, waiting or admitted.
    pub fn cancel(&mut self, _request: &RequestId) {}

    /// Use by account, for the usage rumor.
    pub fn usage(&self, _now: Timestamp) -> Vec<AccountUsage> {
        Vec::new()
    }

    /// Counts a fresh request for the retry budget.
    pub fn fresh(&mut self) {}

    /// Takes a retry from the budget; false when it is used up.
    pub fn try_retry(&mut self) -> bool {
        false
    }
}
