//! Figures of the fleet, for the log and the metrics.

use std::fmt;

use jaysaddle_types::ids::ModelId;
use jaysaddle_types::units::TimeSpan;

/// Groups of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelStats {
    /// The model.
    pub model: ModelId,
    /// Groups that serve.
    pub serving: usize,
    /// Groups that are being formed.
    pub forming: usize,
    /// Groups that are being closed or dissolved.
    pub ending: usize,
    /// Groups that the demand would keep fully busy.
    pub demand: f64,
    /// Free VMs that can join a group of the model without a load.
    pub quick: usize,
}

impl ModelStats {
    /// Groups that the demand needs and that do not serve.
    pub fn missing(&self) -> usize {
        (self.demand.ceil() as usize).saturating_sub(self.serving)
    }
}

/// Figures of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetStats {
    /// Time since the figures before.
    pub interval: TimeSpan,
    /// Registered backend servers.
    pub vms: usize,
    /// VMs in groups.
    pub members: usize,
    /// VMs that cannot be reached.
    pub lost: usize,
    /// VMs of engines in no group.
    pub idle: usize,
    /// Of these, VMs that may join a group.
    pub free: usize,
    /// Of the idle ones, VMs that are leaving.
    pub leaving: usize,
    /// Of the idle ones, VMs that join a group which is not under control.
    pub joining: usize,
    /// VMs that load weights.
    pub loading: usize,
    /// Fabric domains whose VMs are kept for a group.
    pub reserved: usize,
    /// Groups by model.
    pub models: Vec<ModelStats>,
}

impl FleetStats {
    /// Accelerators of VMs that live and serve nobody; each VM has one.
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
                model.model, model.serving, model.forming, model.ending, model.demand, model.quick
            )?;
        }
        Ok(())
    }
}
