//! One tracker with a clock, for tests of single rules.

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

/// Tracker of node 0.
pub struct TrackerHarness {
    /// The tracker.
    pub tracker: HealthTracker,
    /// Its clock.
    pub now: u64,
    /// Effects of the last call.
    pub effects: Vec<HealthEffect>,
}

impl TrackerHarness {
    /// Node 0 among `nodes` nodes in three failure domains, with `vms` VMs.
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

    /// Applies one event now.
    pub fn step(&mut self, event: HealthEvent) {
        self.effects = self.tracker.step(event, Timestamp(self.now));
    }

    /// Lets time pass with ticks and no other event; returns the VMs probed.
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

    /// Lets time pass while every VM answers its probes.
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

    /// The VM answers a probe after `millis`.
    pub fn respond_after(&mut self, vm: usize, millis: u64, leaving: bool) {
        let vm = vm_id(vm);
        let outcome = Ok(report(&vm, leaving));
        self.step(HealthEvent::Probed {
            vm,
            outcome,
            latency: TimeSpan(millis),
        });
    }

    /// The VM answers a probe.
    pub fn respond(&mut self, vm: usize) {
        self.respond_after(vm, 5, false);
    }

    /// A probe of the VM times out.
    pub fn fail_probe(&mut self, vm: usize) {
        self.step(HealthEvent::Probed {
            vm: vm_id(vm),
            outcome: Err(ProbeFailure::Timeout),
            latency: TimeSpan(1000),
        });
    }

    /// A peer's finding arrives.
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

    /// Judged state.
    pub fn state(&self, vm: usize) -> VmState {
        self.tracker.state(&vm_id(vm))
    }

    /// Findings published by the last call.
    pub fn published(&self) -> Vec<VmEvidence> {
        let publish = |effect: &HealthEffect| match effect {
            HealthEffect::Publish(evidence) => Some(evidence.clone()),
            _ => None,
        };
        self.effects.iter().filter_map(publish).collect()
    }
}
