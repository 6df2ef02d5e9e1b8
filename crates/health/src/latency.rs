//! Straggler thresholds, derived from the median probe latency.

use std::collections::BTreeMap;

use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::units::TimeSpan;

use crate::settings::HealthSettings;

/// Minimum number of measured VMs in a failure domain to use its own median. Latencies to a remote
/// failure domain are higher overall, which does not make its VMs stragglers.
const MIN_SAMPLES: usize = 3;

/// Straggler thresholds by failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyBaseline {
    domains: BTreeMap<FailureDomainId, TimeSpan>,
    overall: TimeSpan,
}

impl LatencyBaseline {
    /// Computes the thresholds from the last latency of each probed VM.
    pub(crate) fn new(
        samples: BTreeMap<FailureDomainId, Vec<TimeSpan>>,
        settings: &HealthSettings,
    ) -> Self {
        let mut all: Vec<TimeSpan> = samples.values().flatten().copied().collect();
        let overall = threshold(&mut all, settings);
        let domains = samples
            .into_iter()
            .filter(|(_, latencies)| latencies.len() >= MIN_SAMPLES)
            .map(|(domain, mut latencies)| (domain, threshold(&mut latencies, settings)))
            .collect();
        Self { domains, overall }
    }

    /// Returns the latency above which a VM of the failure domain counts as slow.
    pub(crate) fn threshold(
        &self,
        domain: &FailureDomainId,
        settings: &HealthSettings,
    ) -> TimeSpan {
        let threshold = self.domains.get(domain).copied().unwrap_or(self.overall);
        threshold.max(settings.straggler_floor)
    }
}

fn threshold(latencies: &mut [TimeSpan], settings: &HealthSettings) -> TimeSpan {
    if latencies.is_empty() {
        return settings.straggler_floor;
    }
    // Lower median: of two VMs, the faster one sets the threshold.
    let middle = (latencies.len() - 1) / 2;
    let (_, median, _) = latencies.select_nth_unstable(middle);
    TimeSpan(
        median
            .0
            .saturating_mul(u64::from(settings.straggler_factor)),
    )
    .max(settings.straggler_floor)
}
