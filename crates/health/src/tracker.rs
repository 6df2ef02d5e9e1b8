//! The sub-reducer that judges the state of each VM.

use compact_str::CompactString;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::event::HealthEffect;
use crate::event::HealthEvent;
use crate::settings::HealthSettings;

/// Judges each VM from probes, reports, the platform's list, requests, peers and drains.
#[derive(Debug)]
pub struct HealthTracker {
    settings: HealthSettings,
    own: NodeKey,
    own_domain: FailureDomainId,
}

impl HealthTracker {
    /// Starts without targets; this node is the only watcher until others are known.
    pub fn new(settings: HealthSettings, own: NodeKey, own_domain: FailureDomainId) -> Self {
        Self {
            settings,
            own,
            own_domain,
        }
    }

    /// Applies one event.
    pub fn step(&mut self, event: HealthEvent, now: Timestamp) -> Vec<HealthEffect> {
        let _ = (event, now, &self.settings, &self.own, &self.own_domain);
        Vec::new()
    }

    /// Judged state of a VM.
    pub fn state(&self, vm: &VmId) -> VmState {
        let _ = vm;
        VmState::Unknown
    }

    /// The latest report that this node itself received from a VM, and when.
    pub fn report(&self, vm: &VmId) -> Option<(&EngineReport, Timestamp)> {
        let _ = vm;
        None
    }

    /// Whether this node has lost contact with more than half of its targets or peers.
    pub fn is_cut_off(&self) -> bool {
        false
    }

    /// The evidence about a VM in plain sentences.
    pub fn explain(&self, vm: &VmId) -> Vec<CompactString> {
        let _ = vm;
        Vec::new()
    }
}
