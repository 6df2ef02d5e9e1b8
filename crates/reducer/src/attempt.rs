//! Request attempts: target selection, confirmation by the group leader, dispatch and outcome.

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

/// Maximum number of times that one stream is resumed. A stalled connection is replaced once or
/// twice; more resumes indicate a fault in the group.
pub(crate) const MAX_RESUMES: u32 = 3;
/// Runs at different targets after whose failure a request is not sent again.
const MAX_FAILED_RUNS: u32 = 2;

/// Number of targets tried for one request before it is refused.
const MAX_TARGETS: usize = 8;

/// Retry delay given to a caller whose backend servers were all overloaded or unavailable.
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
    /// Chooses a target and requests a report from its leader, or dispatches the request immediately
    /// when a recent report is available.
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
            self.await_kept_or_refuse(request, refusal, now, effects);
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
                self.await_kept_or_refuse(request, failure.refusal, now, effects);
            }
        }
    }

    /// Requests a report from the leader of a target.
    pub(crate) fn check_group(
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

    pub(crate) fn handle_group_report(
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
        if entry.resume_at.is_some() {
            self.handle_resume_report(request, &outcome, now, effects);
            return;
        }
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
        self.route(request, now, effects);
    }

    /// Dispatches the request, or refuses it when the send would violate an invariant.
    pub(crate) fn dispatch(
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
        let new_violation = |kind, detail: &str| {
            TrafficEffect::Violation(InvariantViolation {
                kind,
                subject: format_compact!("{request}"),
                detail: detail.into(),
            })
        };
        // A resume starts nothing: the run was sent while the target was available.
        let is_new = entry.resume_at.is_none();
        let violation = if is_new && !self.router.is_present(&target, &self.view, now) {
            let kind = match target {
                RouteTarget::Group { .. } => InvariantKind::CompleteGroup,
                RouteTarget::Server { .. } => InvariantKind::LeavingServer,
            };
            Some(new_violation(
                kind,
                "dispatch to a target that is not available",
            ))
        } else if is_new && !entry.spec.idempotent && entry.sent != entry.not_run {
            Some(new_violation(
                InvariantKind::AtMostOnce,
                "repeated dispatch of a non-idempotent request that may have run",
            ))
        } else {
            None
        };
        if let Some(violation) = violation {
            effects.push(violation);
            let refusal = RequestRefusal::not_run(
                ReasonCode::Internal,
                "the request was withheld by an internal check",
            );
            self.refuse(request, refusal, now, effects);
            return;
        }
        entry.phase = RequestPhase::Running;
        entry.verdict = Verdict::MayHaveRun;
        if is_new {
            entry.sent += 1;
            entry.attempt = entry.sent;
            entry.resumes = 0;
            entry.silence = None;
        }
        let query = route_query(entry);
        effects.push(TrafficEffect::Dispatch {
            request: request.clone(),
            attempt: entry.attempt,
            target: target.clone(),
            address,
            resume_at: entry.resume_at,
        });
        if is_new {
            self.router.record_attempt_start(&target, &query);
        }
    }

    pub(crate) fn handle_attempt_end(
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
        // Ignore late outcomes of earlier attempts.
        if entry.phase != RequestPhase::Running {
            return;
        }
        if entry.attempt != attempt && !self.select_kept(request, attempt, now) {
            return;
        }
        let entry = self.requests.get(request);
        let Some((target, _)) = entry.and_then(|entry| entry.target.clone()) else {
            return;
        };
        match outcome {
            AttemptOutcome::Completed {
                response,
                first_token,
                cached_tokens,
            } => {
                let result = AttemptResult::Completed {
                    first_token,
                    cached_tokens,
                };
                self.router.record_attempt_end(&target, result, now);
                self.handle_completion(request, &target, response, now, effects);
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
                self.reroute_not_run(request, &target, now, effects);
            }
            AttemptOutcome::Refused(refusal) => {
                self.router
                    .record_attempt_end(&target, AttemptResult::Refused, now);
                self.handle_attempt_refusal(request, &target, refusal, now, effects);
            }
            AttemptOutcome::Broken {
                received,
                delivered,
                resumable,
            } => {
                self.handle_broken_stream(
                    request, &target, received, delivered, resumable, now, effects,
                );
            }
            AttemptOutcome::Silent {
                received,
                delivered,
            } => self.handle_silence(request, received, delivered, now, effects),
            AttemptOutcome::DeadlineExceeded => {
                self.router
                    .record_attempt_end(&target, AttemptResult::Cancelled, now);
                let refusal = RequestRefusal::may_have_run(
                    ReasonCode::DeadlineExceeded,
                    "the deadline passed while the request ran",
                );
                self.refuse(request, refusal, now, effects);
            }
            AttemptOutcome::CallerDisconnected => {
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

    fn handle_completion(
        &mut self,
        request: &RequestId,
        target: &RouteTarget,
        response: StoredResponse,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        self.drop_kept(request, now);
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
            let ledger_effects = self.ledger.record_response(request, response, now);
            self.apply_ledger_effects(ledger_effects, now, effects);
        }
        self.end_admission(request, &entry, now, effects);
    }

    /// Handles an attempt that is known not to have run: the request is routed to another target.
    fn reroute_not_run(
        &mut self,
        request: &RequestId,
        target: &RouteTarget,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        // A failed resume does not show whether the original attempt ran.
        if entry.resume_at.is_some() {
            self.retry_or_refuse(request, now, effects);
            return;
        }
        entry.record_not_run();
        if let Some(vm) = target_vm(target) {
            entry.excluded.push(vm.clone());
        }
        self.route(request, now, effects);
    }

    fn handle_attempt_refusal(
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
                entry.record_not_run();
            }
            let refusal = RequestRefusal::not_run(
                ReasonCode::DeadlineExceeded,
                "the deadline passed before the engine could start the request",
            );
            self.refuse(request, refusal, now, effects);
            return;
        }
        // An overloaded engine indicates an overloaded fleet, so trying another group counts
        // against the retry budget.
        if refusal == EngineRefusal::Overloaded && !resumed && !self.admission.try_take_retry() {
            if let Some(entry) = self.requests.get_mut(request) {
                entry.record_not_run();
            }
            let refusal = RequestRefusal::retry_after(
                ReasonCode::Overloaded,
                "the engine's queue is full and the retry budget is used up",
                BACKEND_RETRY_AFTER,
            );
            self.await_kept_or_refuse(request, refusal, now, effects);
            return;
        }
        self.reroute_not_run(request, target, now, effects);
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the fields of one outcome, with a single caller"
    )]
    fn handle_broken_stream(
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
        entry.silence = None;
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
        self.retry_or_refuse(request, now, effects);
    }

    /// Retries an idempotent request on another target if no part of its response reached the
    /// caller and the retry budget allows it; otherwise refuses it.
    pub(crate) fn retry_or_refuse(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        // A leader whose stream could not be resumed would also fail a new attempt.
        let failed = entry
            .target
            .as_ref()
            .and_then(|(target, _)| target_vm(target));
        if let Some(vm) = failed.cloned()
            && !entry.excluded.contains(&vm)
        {
            entry.excluded.push(vm);
        }
        // A request may be the reason why its backend servers fail.
        let may_run_again = entry.sent - entry.not_run < MAX_FAILED_RUNS;
        if entry.spec.idempotent
            && !entry.delivered
            && may_run_again
            && self.admission.try_take_retry()
        {
            self.route(request, now, effects);
            return;
        }
        let refusal = RequestRefusal::may_have_run(
            ReasonCode::BackendFailed,
            "the backend server failed before its answer was whole",
        );
        self.await_kept_or_refuse(request, refusal, now, effects);
    }
}
