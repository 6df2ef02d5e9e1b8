//! Fleet statistics for the log and the metrics.

use std::fmt;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::units::TimeSpan;

/// Group counts and demand of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelStats {
    /// Id of the model in the configuration.
    pub model: ModelId,
    /// Number of groups that serve.
    pub serving: usize,
    /// Number of groups that are joining or opening.
    pub forming: usize,
    /// Number of groups that are closing or dissolving.
    pub ending: usize,
    /// Number of groups that the demand would keep fully utilized.
    pub demand: f64,
    /// Number of free VMs that can join a group of the model without a load from the weight store.
    pub with_weights: usize,
}

impl ModelStats {
    /// Number of further serving groups that the demand requires.
    pub fn missing(&self) -> usize {
        (self.demand.ceil() as usize).saturating_sub(self.serving)
    }
}

/// State of the fleet at one point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetStats {
    /// Time since the previous statistics.
    pub interval: TimeSpan,
    /// Number of registered backend servers.
    pub vms: usize,
    /// Number of VMs in managed groups.
    pub members: usize,
    /// Number of VMs that failed enough probes to count as lost.
    pub lost: usize,
    /// Number of engine VMs in no managed group.
    pub idle: usize,
    /// Number of idle VMs that may join a group.
    pub free: usize,
    /// Number of idle VMs that are draining.
    pub leaving: usize,
    /// Number of idle VMs that are joining a group that this controller does not manage.
    pub joining: usize,
    /// Number of VMs that load weights from the weight store.
    pub loading: usize,
    /// Number of fabric domains whose VMs are reserved for a group.
    pub reserved: usize,
    /// Statistics by model, ordered by id.
    pub models: Vec<ModelStats>,
}

impl FleetStats {
    /// Number of accelerators whose VM is up but in no group. Each VM has one accelerator.
    pub fn stranded(&self) -> usize {
        self.idle.saturating_sub(self.leaving)
    }
}

impl fmt::Display for FleetStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "vms={} members={} lost={} idle={} free={} leaving={} joining={} loading={} reserved={}",
            self.vms,
            self.members,
            self.lost,
            self.idle,
            self.free,
            self.leaving,
            self.joining,
            self.loading,
            self.reserved
        )?;
        for model in &self.models {
            write!(
                f,
                " model={} serving={} forming={} ending={} demand={:.1} quick={}",
                model.model,
                model.serving,
                model.forming,
                model.ending,
                model.demand,
                model.with_weights
            )?;
        }
        Ok(())
    }
}
