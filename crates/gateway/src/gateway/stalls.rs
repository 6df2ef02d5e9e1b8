//! Detection of targets that have stalled or may have failed.

use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;

use super::RequestGateway;
use crate::target::RequestTarget;
use crate::target::TargetHealth;
use crate::target::TargetNumber;

impl RequestGateway {
    /// Makes other targets preferred for [`GatewaySettings::avoid_time`], because a request has failed at this one.
    pub fn avoid(&mut self, number: TargetNumber, now: Timestamp) {
        let avoid_time = self.settings.avoid_time;
        if let Some(health) = self.health.get_mut(&number) {
            health.avoid_until = now + avoid_time;
            health.suspect_until = now + avoid_time;
        }
    }

    /// Records that a request has received nothing from a target for too long. Other targets are preferred, as after a failure;
    /// the request itself may still be answered.
    pub fn record_silence(&mut self, number: TargetNumber, now: Timestamp) {
        self.avoid(number, now);
        if let Some(health) = self.health.get_mut(&number) {
            health.record_failure();
        }
    }

    /// Records that data has arrived from a target, which does not show yet that it has recovered from a silence.
    pub fn record_data(&mut self, number: TargetNumber, now: Timestamp) {
        if let Some(health) = self.health.get_mut(&number) {
            health.last_data = now;
        }
    }

    /// Leaves a time in which this process did not run out of the silences of all targets.
    pub fn excuse_own_pause(&mut self, pause: TimeSpan, now: Timestamp) {
        for health in self.health.values_mut() {
            health.last_data = now.min(health.last_data + pause);
        }
    }

    /// Time since the last data from a target; `None` if the target is idle or unknown.
    pub fn stall_time(&self, number: TargetNumber, now: Timestamp) -> Option<TimeSpan> {
        self.health.get(&number)?.stall_time(now)
    }

    /// Time without data after which a request fails over to another target. A target that is known to be slow gets more.
    pub fn stall_limit(&self, number: TargetNumber) -> TimeSpan {
        let settings = &self.settings;
        let pause_ms = self
            .health
            .get(&number)
            .map_or(0.0, |health| health.pause_ms);
        let slow_limit = TimeSpan((pause_ms * settings.stall_pauses) as u64);
        slow_limit.clamp(settings.stall_limit, settings.max_stall_limit)
    }

    /// Time without data after which a target counts as stalled although no response of it has begun at this node. Under
    /// load, first events take long at all targets.
    pub fn first_event_limit(&self, target: &RequestTarget) -> TimeSpan {
        let class = (target.service.clone(), target.model.clone());
        let mean = self.first_events.get(&class).copied().unwrap_or(0.0);
        let usual = TimeSpan((mean * self.settings.first_event_factor) as u64);
        usual.max(self.settings.first_event_probe_after)
    }

    /// Whether responses of a target that have begun at this node have sent no data for `limit`.
    pub fn has_stalled_streams(
        &self,
        number: TargetNumber,
        limit: TimeSpan,
        now: Timestamp,
    ) -> bool {
        let health = self.health.get(&number);
        health.is_some_and(|health| {
            let stalled = health.stall_time(now);
            health.streaming > 0 && stalled.is_some_and(|stalled| stalled >= limit)
        })
    }

    /// Whether a target is a group that has sent no data for `limit`. The limit for the first event applies if no response
    /// has begun.
    pub(super) fn has_stalled(
        &self,
        target: &RequestTarget,
        health: &TargetHealth,
        limit: TimeSpan,
        now: Timestamp,
    ) -> bool {
        let limit = if health.streaming > 0 {
            limit
        } else {
            self.first_event_limit(target)
        };
        let stalled = health.stall_time(now);
        target.group.is_some() && stalled.is_some_and(|stalled| stalled >= limit)
    }

    /// Groups that have requests in flight but send no data, or at which a request has failed, with their leaders. Their
    /// members are probed, and peers avoid them.
    pub fn stalled_groups(&self, now: Timestamp) -> Vec<(TargetNumber, VmId)> {
        self.targets
            .values()
            .flatten()
            .filter(|target| target.group.is_some())
            .filter(|target| {
                self.health.get(&target.number).is_some_and(|health| {
                    now < health.suspect_until
                        || self.has_stalled(target, health, self.settings.probe_after, now)
                })
            })
            .map(|target| (target.number, target.backend.clone()))
            .collect()
    }
}
