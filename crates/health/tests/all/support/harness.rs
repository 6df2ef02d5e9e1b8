//! A single tracker with a simulated clock, for tests of individual rules.

use jaysaddle_health::HealthEffect;
use jaysaddle_health::HealthEvent;
use jaysaddle_health::HealthSettings;
use jaysaddle_health::HealthTracker;
use jaysaddle_health::ProbeFailure;
use jaysaddle_types::evidence::ProbeFinding;
use jaysaddle_types::evidence::VmEvidence;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::view::VmState;

use crate::support::domain_of;
use crate::support::node_key;
use crate::support::report;
use crate::support::target;
use crate::support::vm_id;
use crate::support::watcher_nodes;

/// Test harness for the tracker of node 0.
pub struct TrackerHarness {
    /// Tracker under test.
    pub tracker: HealthTracker,
    /// Simulated time in milliseconds.
    pub now: u64,
    /// Effects of the last step.
    pub effects: Vec<HealthEffect>,
}

impl TrackerHarness {
    /// Creates the tracker of node 0 among `nodes` nodes in three failure domains, with `vms` VMs.
    pub fn new(nodes: usize, vms: usize) -> Self {
        let settings = HealthSettings::default();
        let mut harness = Self {
            tracker: HealthTracker::new(settings, node_key(0), domain_of(0)),
            now: 1000,
            effects: Vec::new(),
        };
        harness.step(HealthEvent::WatchersChanged(watcher_nodes(0..nodes)));
        harness.step(HealthEvent::TargetsChanged((0..vms).map(target).collect()));
        harness
    }

    /// Applies one event at the current time.
    pub fn step(&mut self, event: HealthEvent) {
        self.effects = self.tracker.step(event, Timestamp(self.now));
    }

    /// Advances the clock with ticks as the only events; returns the VMs probed.
    pub fn tick_for(&mut self, millis: u64) -> Vec<VmId> {
        let end = self.now + millis;
        let mut probed = Vec::new();
        while self.now < end {
            self.now = end.min(self.now + 200);
            self.step(HealthEvent::Tick);
            for effect in &self.effects {
                if let HealthEffect::Probe { vm, .. } = effect {
                    probed.push(vm.clone());
                }
            }
        }
        probed
    }

    /// Advances the clock while every VM responds to its probes.
    pub fn run_responsive(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            for vm in self.tick_for(200.min(end - self.now)) {
                let outcome = Ok(report(&vm, false));
                let latency = TimeSpan(5);
                self.step(HealthEvent::Probed {
                    vm,
                    outcome,
                    latency,
                });
            }
        }
    }

    /// Simulates a response of the VM to a probe after `millis`.
    pub fn respond_after(&mut self, vm: usize, millis: u64, leaving: bool) {
        let vm = vm_id(vm);
        let outcome = Ok(report(&vm, leaving));
        self.step(HealthEvent::Probed {
            vm,
            outcome,
            latency: TimeSpan(millis),
        });
    }

    /// Simulates a fast response of the VM to a probe.
    pub fn respond(&mut self, vm: usize) {
        self.respond_after(vm, 5, false);
    }

    /// Simulates a timeout of a probe of the VM.
    pub fn fail_probe(&mut self, vm: usize) {
        self.step(HealthEvent::Probed {
            vm: vm_id(vm),
            outcome: Err(ProbeFailure::Timeout),
            latency: TimeSpan(1000),
        });
    }

    /// Simulates the arrival of a peer's finding.
    pub fn receive_finding(
        &mut self,
        node: usize,
        vm: usize,
        finding: ProbeFinding,
        cut_off: bool,
    ) {
        let evidence = VmEvidence {
            vm: vm_id(vm),
            finding,
            cut_off,
        };
        self.step(HealthEvent::PeerFinding {
            node: node_key(node),
            evidence,
        });
    }

    /// Returns the damped state of a VM.
    pub fn state(&self, vm: usize) -> VmState {
        self.tracker.state(&vm_id(vm))
    }

    /// Returns the findings published by the last step.
    pub fn published(&self) -> Vec<VmEvidence> {
        let publish = |effect: &HealthEffect| match effect {
            HealthEffect::Publish(evidence) => Some(evidence.clone()),
            _ => None,
        };
        self.effects.iter().filter_map(publish).collect()
    }
}
