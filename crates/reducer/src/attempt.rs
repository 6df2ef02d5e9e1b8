//! Attempts of a request: choice of a target, the leader's confirmation, the send and its end.

use std::net::SocketAddr;

use compact_str::format_compact;
use jaysaddle_health::AttemptFinding;
use jaysaddle_health::ProbeFailure;
use jaysaddle_ledger::StoredResponse;
use jaysaddle_routing::AttemptResult;
use jaysaddle_routing::RouteQuery;
use jaysaddle_routing::RouteTarget;
use jaysaddle_types::engine::EngineRefusal;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;
use jaysaddle_types::verdict::Verdict;

use crate::invariant::InvariantKind;
use crate::invariant::InvariantViolation;
use crate::traffic::RequestEntry;
use crate::traffic::RequestPhase;
use crate::traffic::TrafficState;
use crate::traffic::target_vm;
use crate::traffic_event::AttemptOutcome;
use crate::traffic_event::TrafficEffect;

/// Resumes of one stream. A silent connection is replaced once or twice; more points to the group.
const MAX_RESUMES: u32 = 3;

/// Groups tried for one request before it is refused.
const MAX_TARGETS: usize = 8;

/// When a caller may come back after its backend servers were all busy or gone.
const BACKEND_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

fn route_query(entry: &RequestEntry) -> RouteQuery {
    RouteQuery {
        request: entry.spec.id.clone(),
        account: entry.spec.account.clone(),
        target: entry.spec.target.clone(),
        prefix: entry.spec.prefix.clone(),
        prompt_tokens: entry.spec.prompt_tokens,
        excluded: entry.excluded.clone(),
    }
}

impl TrafficState {
    /// Chooses a target and asks its leader, or sends at once when the leader's report is fresh.
    pub(crate) fn route(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        entry.resume_at = None;
        if entry.excluded.len() >= MAX_TARGETS {
            let refusal = RequestRefusal::retry_after(
                ReasonCode::NoWholeGroup,
                "no group that was tried could take the request",
                BACKEND_RETRY_AFTER,
            );
            self.refuse(request, refusal, now, effects);
            return;
        }
        let view = self.view.clone();
        match self.router.choose(&route_query(entry), &view, now) {
            Ok(choice) => {
                effects.push(TrafficEffect::Decision(choice.decision));
                entry.target = Some((choice.target.clone(), choice.address));
                if choice.needs_report {
                    self.check_group(request, &choice.target, choice.address, effects);
                } else {
                    self.dispatch(request, now, effects);
                }
            }
            Err(failure) => {
                effects.push(TrafficEffect::Decision(failure.decision));
                self.refuse(request, failure.refusal, now, effects);
            }
        }
    }

    fn check_group(
        &mut self,
        request: &RequestId,
        target: &RouteTarget,
        address: SocketAddr,
        effects: &mut Vec<TrafficEffect>,
    ) {
        if let Some(entry) = self.requests.get_mut(request) {
            entry.phase = RequestPhase::Checking;
        }
        if let Some(vm) = target_vm(target) {
            effects.push(TrafficEffect::CheckGroup {
                request: request.clone(),
                vm: vm.clone(),
                address,
            });
        }
    }

    pub(crate) fn group_reported(
        &mut self,
        request: &RequestId,
        outcome: Result<EngineReport, ProbeFailure>,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        if let Ok(report) = &outcome {
            self.router.record_report(report, now);
        }
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        if entry.phase != RequestPhase::Checking {
            return;
        }
        let Some((target, _)) = entry.target.clone() else {
            return;
        };
        if outcome.is_ok() && self.router.is_present(&target, &self.view, now) {
            self.dispatch(request, now, effects);
            return;
        }
        if let Some(vm) = target_vm(&target) {
            entry.excluded.push(vm.clone());
            if outcome.is_err() {
                effects.push(TrafficEffect::Attempted {
                    vm: vm.clone(),
                    finding: AttemptFinding::Failed,
                });
            }
        }
        if entry.resume_at.is_some() {
            self.give_up_or_reroute(request, now, effects);
        } else {
            self.route(request, now, effects);
        }
    }

    /// Sends the request, if every invariant allows it.
    fn dispatch(&mut self, request: &RequestId, now: Timestamp, effects: &mut Vec<TrafficEffect>) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        let Some((target, address)) = entry.target.clone() else {
            return;
        };
        let violation = |kind, detail: &str| {
            TrafficEffect::Violation(InvariantViolation {
                kind,
                subject: format_compact!("{request}"),
                detail: detail.into(),
            })
        };
        let withheld = if !self.router.is_present(&target, &self.view, now) {
            let kind = match target {
                RouteTarget::Group { .. } => InvariantKind::WholeGroup,
                RouteTarget::Server { .. } => InvariantKind::LeavingServer,
            };
            Some(violation(kind, "a send to a target that is not present"))
        } else if entry.resume_at.is_none() && !entry.spec.idempotent && entry.sent != entry.cleared
        {
            Some(violation(
                InvariantKind::AtMostOnce,
                "a second send of a non-idempotent request that may have run",
            ))
        } else {
            None
        };
        if let Some(withheld) = withheld {
            effects.push(withheld);
            let refusal = RequestRefusal::not_run(
                ReasonCode::Internal,
                "the request was withheld by an internal check",
            );
            self.refuse(request, refusal, now, effects);
            return;
        }
        entry.phase = RequestPhase::Running;
        entry.verdict = Verdict::MayHaveRun;
        if entry.resume_at.is_none() {
            entry.attempt += 1;
            entry.sent += 1;
            entry.resumes = 0;
        }
        let query = route_query(entry);
        effects.push(TrafficEffect::Dispatch {
            request: request.clone(),
            attempt: entry.attempt,
            target: target.clone(),
            address,
            resume_at: entry.resume_at,
        });
        self.router.record_attempt_start(&target, &query);
    }

    pub(crate) fn attempt_ended(
        &mut self,
        request: &RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        // A late end of an earlier attempt says nothing about the present one.
        if entry.attempt != attempt || entry.phase != RequestPhase::Running {
            return;
        }
        let Some((target, _)) = entry.target.clone() else {
            return;
        };
        match outcome {
            AttemptOutcome::Completed {
                answer,
                first_token,
                cached_tokens,
            } => {
                let result = AttemptResult::Completed {
                    first_token,
                    cached_tokens,
                };
                self.router.record_attempt_end(&target, result, now);
                self.completed(request, &target, answer, now, effects);
            }
            AttemptOutcome::NotSent => {
                self.router
                    .record_attempt_end(&target, AttemptResult::Failed, now);
                if let Some(vm) = target_vm(&target) {
                    effects.push(TrafficEffect::Attempted {
                        vm: vm.clone(),
                        finding: AttemptFinding::Failed,
                    });
                }
                self.attempt_cleared(request, &target, now, effects);
            }
            AttemptOutcome::Refused(refusal) => {
                self.router
                    .record_attempt_end(&target, AttemptResult::Refused, now);
                self.attempt_refused(request, &target, refusal, now, effects);
            }
            AttemptOutcome::Broken {
                received,
                delivered,
                resumable,
            } => {
                self.attempt_broken(
                    request, &target, received, delivered, resumable, now, effects,
                );
            }
            AttemptOutcome::DeadlineExceeded => {
                self.router
                    .record_attempt_end(&target, AttemptResult::Cancelled, now);
                let refusal = RequestRefusal::may_have_run(
                    ReasonCode::DeadlineExceeded,
                    "the deadline passed while the request ran",
                );
                self.refuse(request, refusal, now, effects);
            }
            AttemptOutcome::CallerGone => {
                self.router
                    .record_attempt_end(&target, AttemptResult::Cancelled, now);
                let refusal = RequestRefusal::may_have_run(
                    ReasonCode::BackendFailed,
                    "the caller hung up while the request ran",
                );
                self.refuse(request, refusal, now, effects);
            }
        }
    }

    fn completed(
        &mut self,
        request: &RequestId,
        target: &RouteTarget,
        answer: StoredResponse,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.remove(request) else {
            return;
        };
        if let Some(vm) = target_vm(target) {
            effects.push(TrafficEffect::Attempted {
                vm: vm.clone(),
                finding: AttemptFinding::Answered,
            });
        }
        if entry.claimed {
            let resolved = self.ledger.record_response(request, answer, now);
            self.apply_ledger_effects(resolved, now, effects);
        }
        self.end_admission(request, &entry, now, effects);
    }

    /// The latest attempt is known not to have run; the request may go elsewhere.
    fn attempt_cleared(
        &mut self,
        request: &RequestId,
        target: &RouteTarget,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        // A resume that did not get through says nothing about the run that it was to resume.
        if entry.resume_at.is_some() {
            self.give_up_or_reroute(request, now, effects);
            return;
        }
        entry.clear_attempt();
        if let Some(vm) = target_vm(target) {
            entry.excluded.push(vm.clone());
        }
        self.route(request, now, effects);
    }

    fn attempt_refused(
        &mut self,
        request: &RequestId,
        target: &RouteTarget,
        refusal: EngineRefusal,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let resumed = self
            .requests
            .get(request)
            .is_some_and(|entry| entry.resume_at.is_some());
        if refusal == EngineRefusal::DeadlineExceeded && !resumed {
            if let Some(entry) = self.requests.get_mut(request) {
                entry.clear_attempt();
            }
            let refusal = RequestRefusal::not_run(
                ReasonCode::DeadlineExceeded,
                "the deadline passed before the engine could start the request",
            );
            self.refuse(request, refusal, now, effects);
            return;
        }
        // A busy engine means that the fleet is busy: going elsewhere is a retry and costs budget.
        if refusal == EngineRefusal::Overloaded && !resumed && !self.admission.try_retry() {
            if let Some(entry) = self.requests.get_mut(request) {
                entry.clear_attempt();
            }
            let refusal = RequestRefusal::retry_after(
                ReasonCode::Overloaded,
                "the engine's queue is full and the retry budget is used up",
                BACKEND_RETRY_AFTER,
            );
            self.refuse(request, refusal, now, effects);
            return;
        }
        self.attempt_cleared(request, target, now, effects);
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the fields of one outcome, passed on once"
    )]
    fn attempt_broken(
        &mut self,
        request: &RequestId,
        target: &RouteTarget,
        received: u32,
        delivered: bool,
        resumable: bool,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        entry.delivered |= delivered;
        if resumable && entry.resumes < MAX_RESUMES {
            entry.resumes += 1;
            entry.resume_at = Some(received);
            let Some((target, address)) = entry.target.clone() else {
                return;
            };
            self.check_group(request, &target, address, effects);
            return;
        }
        self.router
            .record_attempt_end(target, AttemptResult::Failed, now);
        if let Some(vm) = target_vm(target) {
            entry.excluded.push(vm.clone());
            effects.push(TrafficEffect::Attempted {
                vm: vm.clone(),
                finding: AttemptFinding::Failed,
            });
        }
        self.give_up_or_reroute(request, now, effects);
    }

    /// Starts an idempotent request again elsewhere, if nothing of its answer reached the caller
    /// and the budget allows it; otherwise ends it.
    fn give_up_or_reroute(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        // A leader that could not be resumed would fail the new attempt too.
        let failed = entry
            .target
            .as_ref()
            .and_then(|(target, _)| target_vm(target));
        if let Some(vm) = failed.cloned()
            && !entry.excluded.contains(&vm)
        {
            entry.excluded.push(vm);
        }
        if entry.spec.idempotent && !entry.delivered && self.admission.try_retry() {
            self.route(request, now, effects);
            return;
        }
        let refusal = RequestRefusal::may_have_run(
            ReasonCode::BackendFailed,
            "the backend server failed before its answer was whole",
        );
        self.refuse(request, refusal, now, effects);
    }
}
