//! Retries: this node's share of the budget, and what all nodes leave of it.

use jaysaddle_admission::RetryBudget;
use jaysaddle_fleet::peers::PeerTable;
use jaysaddle_fleet::usage::ServiceUsage;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::units::Timestamp;

use super::RequestGateway;
use crate::retry_pool::PoolLimits;

impl RequestGateway {
    /// Sets the limits of the retry budgets: retries per thousand requests, and the burst capacity shared by all nodes.
    pub fn set_retry_limits(&mut self, permille: u32, burst: u32) {
        self.settings.retry_permille = permille;
        self.settings.retry_burst = burst;
        self.update_budgets();
    }

    /// Sets the limits on the retries of all nodes together, within which a node may send more than its share.
    pub fn set_pool_limits(&mut self, limits: PoolLimits) {
        self.pool.set_limits(limits);
    }

    /// Computes what this node may use of the retries that all nodes together leave.
    pub fn update_retry_pool(&mut self, peers: &PeerTable, now: Timestamp) {
        let totals = peers.usage(&self.pool.usage(), now);
        self.pool
            .update(totals.as_ref(), self.node_count, &mut self.random, now);
    }

    /// This node's requests and retries, for its heartbeats.
    pub fn retry_usage(&self) -> Vec<ServiceUsage> {
        self.pool.usage()
    }

    pub(super) fn update_budgets(&mut self) {
        let burst = self.settings.retry_burst / self.node_count;
        for budget in self.budgets.values_mut() {
            budget.set_limits(burst, self.settings.retry_permille);
        }
    }

    pub(super) fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let burst = self.settings.retry_burst / self.node_count;
        let permille = self.settings.retry_permille;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(burst, permille))
    }

    /// Takes one retry from this node's share of the budget of a service, or else from what all nodes leave. Returns
    /// `false` if both are exhausted.
    pub fn try_take_retry(&mut self, service: &ServiceId) -> bool {
        let is_granted = self.budget(service).try_take() || self.pool.try_take(service);
        if is_granted {
            self.pool.record_retry(service);
        }
        is_granted
    }
}
