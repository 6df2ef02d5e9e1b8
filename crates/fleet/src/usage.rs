//! Requests and retries of all nodes by service.

use std::collections::BTreeMap;

/// Requests and retries for a service in the window over which retries are limited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceUsage {
    /// Number of the service, which is the same at all nodes.
    pub service: u32,
    /// Number of requests of callers.
    pub requests: u32,
    /// Number of retries.
    pub retries: u32,
}

/// Usage of several nodes, by the number of the service.
pub type UsageTotals = BTreeMap<u32, ServiceUsage>;

/// Adds the usage of a node.
pub fn add_usage(totals: &mut UsageTotals, usage: &[ServiceUsage]) {
    for usage in usage {
        let total = totals.entry(usage.service).or_insert(ServiceUsage {
            service: usage.service,
            ..ServiceUsage::default()
        });
        total.requests = total.requests.saturating_add(usage.requests);
        total.retries = total.retries.saturating_add(usage.retries);
    }
}
