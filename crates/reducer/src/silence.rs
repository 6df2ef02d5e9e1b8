//! Silent attempts: those whose streams are open and bring nothing.
//!
//! Silence does not tell a slow or paused engine from a failed one, so it does not end an attempt. A silent attempt is resumed on a
//! second connection if its engine still reports the run. Otherwise the request is sent to another target as well, if it may run
//! twice, and the first attempt that brings something goes on. An attempt ends with its connections, with a report or a fleet view
//! that excludes its run, and at the deadline.

use std::net::SocketAddr;

use jaysaddle_health::AttemptFinding;
use jaysaddle_health::ProbeFailure;
use jaysaddle_routing::AttemptResult;
use jaysaddle_routing::RouteTarget;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::EngineRole;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::RequestRefusal;
use jaysaddle_types::view::VmState;

use crate::attempt::MAX_RESUMES;
use crate::traffic::RequestPhase;
use crate::traffic::TrafficState;
use crate::traffic::target_vm;
use crate::traffic_event::TrafficEffect;

/// Silence of the latest attempt of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SilentSpell {
    /// Number of tokens received when the attempt became silent.
    pub(crate) received: u32,
    /// Number of resumes since then.
    pub(crate) resumes: u32,
}

/// Silent attempt that the thread of its request still reads, while a later attempt runs at another target.
#[derive(Clone, Debug)]
pub(crate) struct KeptAttempt {
    pub(crate) attempt: u32,
    pub(crate) target: RouteTarget,
    pub(crate) address: SocketAddr,
}

/// Whether the engine that sent `report` still executes what was sent to `target`.
fn executes(report: &EngineReport, target: &RouteTarget) -> bool {
    match target {
        RouteTarget::Group {
            group, generation, ..
        } => {
            report.role == EngineRole::Leader
                && report.group.as_ref() == Some(group)
                && report.generation == *generation
        }
        RouteTarget::Server { .. } => false,
    }
}

impl TrafficState {
    /// Handles an attempt that brought nothing for some time: requests a report of its engine.
    pub(crate) fn handle_silence(
        &mut self,
        request: &RequestId,
        received: u32,
        delivered: bool,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        if delivered {
            self.drop_kept(request, now);
        }
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        entry.delivered |= delivered;
        entry.resume_at = Some(received);
        if entry
            .silence
            .is_none_or(|silence| silence.received != received)
        {
            entry.silence = Some(SilentSpell {
                received,
                resumes: 0,
            });
        }
        let Some((target, address)) = entry.target.clone() else {
            return;
        };
        self.check_group(request, &target, address, effects);
    }

    /// Handles the report of the engine of a silent attempt, or of one whose stream broke, before the attempt is resumed.
    pub(crate) fn handle_resume_report(
        &mut self,
        request: &RequestId,
        outcome: &Result<EngineReport, ProbeFailure>,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let Some((target, _)) = entry.target.clone() else {
            return;
        };
        let silence = entry.silence;
        let is_executing = outcome
            .as_ref()
            .is_ok_and(|report| executes(report, &target));
        let is_whole = outcome
            .as_ref()
            .is_ok_and(|report| report.missing.is_empty());
        if let Some(vm) = target_vm(&target)
            && outcome.is_err()
        {
            effects.push(TrafficEffect::Attempted {
                vm: vm.clone(),
                finding: AttemptFinding::Failed,
            });
        }
        match silence {
            None if is_executing && is_whole => self.dispatch(request, now, effects),
            Some(spell) if is_executing && is_whole && spell.resumes < MAX_RESUMES => {
                if let Some(entry) = self.requests.get_mut(request) {
                    entry.silence = Some(SilentSpell {
                        resumes: spell.resumes + 1,
                        ..spell
                    });
                }
                self.dispatch(request, now, effects);
            }
            Some(_) if is_executing && is_whole => self.await_attempt(request, effects),
            Some(_) if is_executing || outcome.is_err() && !self.is_lost(&target) => {
                self.try_elsewhere(request, now, effects);
            }
            _ => {
                self.router
                    .record_attempt_end(&target, AttemptResult::Failed, now);
                self.retry_or_refuse(request, now, effects);
            }
        }
    }

    /// Whether the fleet view excludes that `target` still executes anything.
    fn is_lost(&self, target: &RouteTarget) -> bool {
        let RouteTarget::Group {
            group, generation, ..
        } = target
        else {
            return false;
        };
        let stored = self.view.groups.iter().find(|stored| stored.id == *group);
        stored.is_none_or(|stored| {
            let leader = stored.members.first();
            stored.generation != *generation
                || leader.is_none_or(|(_, state)| *state == VmState::Dead)
        })
    }

    /// Sends a request with a silent attempt to another target as well, if it may run twice; otherwise waits for the attempt.
    fn try_elsewhere(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        let Some((target, address)) = entry.target.clone() else {
            return;
        };
        let vm = target_vm(&target).cloned();
        let is_tried = vm.as_ref().is_none_or(|vm| entry.excluded.contains(vm));
        let may_repeat = entry.spec.idempotent && !entry.delivered && !is_tried;
        if !may_repeat || !self.admission.try_take_retry() {
            self.await_attempt(request, effects);
            return;
        }
        entry.excluded.extend(vm);
        entry.kept.push(KeptAttempt {
            attempt: entry.attempt,
            target,
            address,
        });
        self.route(request, now, effects);
    }

    /// Has the thread of the request go on reading the open streams.
    fn await_attempt(&mut self, request: &RequestId, effects: &mut Vec<TrafficEffect>) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        entry.phase = RequestPhase::Running;
        entry.resume_at = None;
        effects.push(TrafficEffect::AwaitAttempt {
            request: request.clone(),
            attempt: entry.attempt,
        });
    }

    /// Waits for the latest silent attempt, or refuses the request if there is none.
    pub(crate) fn await_kept_or_refuse(
        &mut self,
        request: &RequestId,
        refusal: RequestRefusal,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        let Some(kept) = entry.kept.pop() else {
            self.refuse(request, refusal, now, effects);
            return;
        };
        entry.attempt = kept.attempt;
        entry.target = Some((kept.target, kept.address));
        entry.silence = None;
        self.await_attempt(request, effects);
    }

    /// Makes a kept attempt the latest one, because it has brought something. Returns whether there is such an attempt.
    pub(crate) fn select_kept(
        &mut self,
        request: &RequestId,
        attempt: u32,
        now: Timestamp,
    ) -> bool {
        let Some(entry) = self.requests.get_mut(request) else {
            return false;
        };
        let position = entry.kept.iter().position(|kept| kept.attempt == attempt);
        let Some(position) = position else {
            return false;
        };
        let kept = entry.kept.swap_remove(position);
        entry.attempt = kept.attempt;
        entry.silence = None;
        let replaced = entry.target.replace((kept.target, kept.address));
        if let Some((target, _)) = replaced {
            self.router
                .record_attempt_end(&target, AttemptResult::Cancelled, now);
        }
        self.drop_kept(request, now);
        true
    }

    /// Forgets the silent attempts of a request: another attempt has brought something, or the request ends.
    pub(crate) fn drop_kept(&mut self, request: &RequestId, now: Timestamp) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        for kept in std::mem::take(&mut entry.kept) {
            self.router
                .record_attempt_end(&kept.target, AttemptResult::Cancelled, now);
        }
    }
}
