//! Probe scheduling and results, pauses of this node and its isolation.

use std::collections::BTreeMap;

use compact_str::format_compact;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use crate::event::HealthEffect;
use crate::event::ProbeFailure;
use crate::latency::LatencyBaseline;
use crate::probe_state::ProbeState;
use crate::rendezvous::mix;
use crate::tracker::HealthTracker;

impl HealthTracker {
    /// Detects a pause of this node between two steps and discards the probe failures that it
    /// may have caused.
    ///
    /// A gap of at least the probe timeout can make every probe in flight time out although the VMs
    /// are healthy. During a shorter gap, this node runs for a part of each probe's timeout.
    pub(crate) fn detect_pause(&mut self, now: Timestamp, effects: &mut Vec<HealthEffect>) {
        let gap = match self.last_step.replace(now) {
            Some(last) => now.since(last),
            None => return,
        };
        if gap < self.settings.probe_timeout {
            return;
        }
        self.discard_failures_until = now + self.settings.probe_timeout;
        for record in self.records.values_mut() {
            record.damped.extend_for_pause(gap);
            let Some(probe) = record.probe.as_mut() else {
                continue;
            };
            let was_failing = probe.misses > 0;
            probe.reset_after_pause();
            if was_failing && probe.misses == 0 {
                self.isolation.failing_targets -= 1;
            }
        }
        effects.push(self.node_decision(
            "paused",
            "at least the probe timeout passed between two steps; failed probes are ignored",
            format_compact!("gap={gap}"),
        ));
    }

    /// Sends due probes, refreshes the straggler baseline and reevaluates time-dependent states.
    pub(crate) fn on_tick(&mut self, now: Timestamp, effects: &mut Vec<HealthEffect>) {
        self.send_due_probes(now, effects);
        if now >= self.baseline_due {
            self.refresh_baseline(now);
        }
        self.update_isolation(now, effects);
        let time_dependent: Vec<VmId> = self.time_dependent.iter().cloned().collect();
        for vm in time_dependent {
            self.reevaluate(&vm, now, effects);
            let still_time_dependent = self
                .records
                .get(&vm)
                .is_some_and(|record| record.is_time_dependent(now));
            if !still_time_dependent {
                self.time_dependent.remove(&vm);
            }
        }
    }

    /// Starts probing a VM at a fixed offset within the interval that depends on the VM and this
    /// node, so that probes are spread evenly.
    pub(crate) fn start_probing(&mut self, vm: &VmId, now: Timestamp) {
        let interval = self.settings.probe_interval.0.max(1);
        let Some(record) = self.records.get_mut(vm) else {
            return;
        };
        if record.probe.is_some() {
            return;
        }
        let phase = mix(record.hash ^ self.own_hash) % interval;
        let delay = (phase + interval - now.0 % interval) % interval;
        let next = Timestamp(now.0 + delay);
        record.probe = Some(ProbeState::new(next));
        self.isolation.targets += 1;
        self.schedule.insert((next, vm.clone()));
    }

    /// Stops probing a VM and removes it from the schedule.
    pub(crate) fn stop_probing(&mut self, vm: &VmId) {
        let probe = self
            .records
            .get_mut(vm)
            .and_then(|record| record.probe.take());
        let Some(probe) = probe else {
            return;
        };
        self.isolation.targets -= 1;
        self.isolation.failing_targets -= usize::from(probe.misses > 0);
        self.schedule.remove(&(probe.next, vm.clone()));
    }

    fn send_due_probes(&mut self, now: Timestamp, effects: &mut Vec<HealthEffect>) {
        let interval = self.settings.probe_interval.0.max(1);
        while let Some((due, vm)) = self.schedule.pop_first() {
            if due > now {
                self.schedule.insert((due, vm));
                return;
            }
            // Skips the intervals that were missed during a pause and keeps the offset, which
            // avoids a burst.
            let intervals = now.since(due).0 / interval + 1;
            let next = Timestamp(due.0 + intervals * interval);
            self.schedule.insert((next, vm.clone()));
            self.send_probe(&vm, next, now, effects);
        }
    }

    fn send_probe(
        &mut self,
        vm: &VmId,
        next: Timestamp,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        let timeout = self.settings.probe_timeout;
        let Some(record) = self.records.get_mut(vm) else {
            return;
        };
        let (Some(target), Some(probe)) = (&record.target, record.probe.as_mut()) else {
            return;
        };
        effects.push(HealthEffect::Probe {
            vm: vm.clone(),
            address: target.address,
            timeout,
        });
        probe.next = next;
        if probe.record_sent() {
            self.on_probe_failure(vm, ProbeFailure::Timeout, now, effects);
        }
    }

    /// Handles the result of a probe. Results for VMs that this node does not watch come from
    /// checks before a request is sent.
    pub(crate) fn on_probed(
        &mut self,
        vm: VmId,
        outcome: Result<EngineReport, ProbeFailure>,
        latency: TimeSpan,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        match outcome {
            Ok(report) if report.vm == vm => {
                self.on_probe_response(&vm, report, latency, now, effects);
            }
            Ok(_) => self.on_probe_failure(&vm, ProbeFailure::Invalid, now, effects),
            Err(failure) => self.on_probe_failure(&vm, failure, now, effects),
        }
    }

    fn on_probe_response(
        &mut self,
        vm: &VmId,
        report: EngineReport,
        latency: TimeSpan,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        let Some(record) = self.records.get_mut(vm) else {
            return;
        };
        let leaving = report.leaving;
        record.report = Some((Box::new(report), now));
        if let (Some(probe), Some(target)) = (record.probe.as_mut(), &record.target) {
            let threshold = self
                .baseline
                .threshold(&target.failure_domain, &self.settings);
            self.isolation.failing_targets -= usize::from(probe.misses > 0);
            probe.record_response(leaving, latency, threshold, now);
            self.update_isolation(now, effects);
            self.publish(vm, effects);
        }
        self.reevaluate(vm, now, effects);
    }

    fn on_probe_failure(
        &mut self,
        vm: &VmId,
        failure: ProbeFailure,
        now: Timestamp,
        effects: &mut Vec<HealthEffect>,
    ) {
        let Some(record) = self.records.get_mut(vm) else {
            return;
        };
        let Some(probe) = record.probe.as_mut() else {
            record.requests.record_failure(now);
            self.reevaluate(vm, now, effects);
            return;
        };
        if now < self.discard_failures_until {
            probe.record_discarded();
            return;
        }
        self.isolation.failing_targets += usize::from(probe.misses == 0);
        probe.record_failure(failure, &self.settings, now);
        self.update_isolation(now, effects);
        self.publish(vm, effects);
        self.reevaluate(vm, now, effects);
    }

    /// Updates the isolation state. A change affects every finding of this node, so all
    /// are published again.
    pub(crate) fn update_isolation(&mut self, now: Timestamp, effects: &mut Vec<HealthEffect>) {
        let Some(isolated) = self.isolation.update(now) else {
            return;
        };
        let inputs = format_compact!(
            "targets={} silent={} peers_permille={}",
            self.isolation.targets,
            self.isolation.failing_targets,
            self.isolation.peers_permille
        );
        let (choice, reason) = if isolated {
            (
                "cut_off",
                "more than half of the targets or peers do not respond",
            )
        } else {
            ("connected", "connectivity to targets and peers is restored")
        };
        effects.push(self.node_decision(choice, reason, inputs));
        let watched: Vec<VmId> = self.schedule.iter().map(|(_, vm)| vm.clone()).collect();
        for vm in watched {
            if !isolated {
                self.reset_after_isolation(&vm, now);
            }
            self.publish(&vm, effects);
            self.reevaluate(&vm, now, effects);
        }
    }

    fn reset_after_isolation(&mut self, vm: &VmId, now: Timestamp) {
        let probe = self
            .records
            .get_mut(vm)
            .and_then(|record| record.probe.as_mut());
        if let Some(probe) = probe {
            probe.reset_after_isolation(&self.settings, now);
        }
    }

    fn refresh_baseline(&mut self, now: Timestamp) {
        let mut samples: BTreeMap<FailureDomainId, Vec<TimeSpan>> = BTreeMap::new();
        for (_, vm) in &self.schedule {
            let Some(record) = self.records.get(vm) else {
                continue;
            };
            let latency = record.probe.as_ref().and_then(|probe| probe.latency);
            if let (Some(latency), Some(target)) = (latency, &record.target) {
                samples
                    .entry(target.failure_domain.clone())
                    .or_default()
                    .push(latency);
            }
        }
        self.baseline = LatencyBaseline::new(samples, &self.settings);
        self.baseline_due = now + self.settings.probe_interval;
    }
}
