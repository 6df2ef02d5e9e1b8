//! The data plane: one state machine per request.
//!
//! A request claims its key, acquires a slot, is routed to a group, waits for the group's leader to
//! confirm that the group is complete, and is dispatched. Its verdict is initially "not run",
//! becomes "may have run" immediately before it is dispatched, and returns to "not run" only when
//! the backend server is known not to have run it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use compact_str::format_compact;
use jaysaddle_admission::AdmissionController;
use jaysaddle_admission::AdmissionSettings;
use jaysaddle_admission::AdmitOutcome;
use jaysaddle_admission::AdmitQuery;
use jaysaddle_admission::QueueRelease;
use jaysaddle_ledger::ClaimQuery;
use jaysaddle_ledger::LedgerSettings;
use jaysaddle_ledger::RequestLedger;
use jaysaddle_routing::GroupRouter;
use jaysaddle_routing::RouteTarget;
use jaysaddle_routing::RoutingSettings;
use jaysaddle_types::decision::DecisionKind;
use jaysaddle_types::decision::DecisionRecord;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::node::NodeKey;
use jaysaddle_types::node::NodeState;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::request::RequestSpec;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::ReasonCode;
use jaysaddle_types::verdict::RequestRefusal;
use jaysaddle_types::verdict::Verdict;
use jaysaddle_types::view::FleetView;

use crate::handover::HandoverReceiver;
use crate::handover::HandoverSender;
use crate::invariant::InvariantKind;
use crate::invariant::InvariantViolation;
use crate::silence::KeptAttempt;
use crate::silence::SilentSpell;
use crate::traffic_event::TrafficEffect;
use crate::traffic_event::TrafficEvent;

/// Interval between measurements of account usage.
const USAGE_INTERVAL: TimeSpan = TimeSpan::from_secs(2);

/// Retry delay of a refusal without a better estimate: about the time in which a failed member is
/// replaced and its weights are loaded.
const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Settings of the data plane's components.
#[derive(Clone, Debug, Default)]
pub struct TrafficSettings {
    /// Choice of targets and limits of report ages.
    pub routing: RoutingSettings,
    /// Account limits, the admission queue and the retry budget.
    pub admission: AdmissionSettings,
    /// Retention and limits of idempotency keys.
    pub ledger: LedgerSettings,
}

/// Phase of a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// Waits for the claim of its idempotency key.
    Claiming,
    /// Waits for a slot.
    Queued,
    /// Waits for a report of the chosen group's leader.
    Checking,
    /// Dispatched; waits for the outcome of the attempt.
    Running,
}

/// State of a request in flight.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub(crate) spec: RequestSpec,
    pub(crate) phase: RequestPhase,
    /// Verdict that a refusal must carry in the current state.
    ///
    /// # Invariants
    ///
    /// [`Verdict::NotRun`] only while `not_run` equals `sent`.
    pub(crate) verdict: Verdict,
    /// Number of the latest attempt; 0 before the first.
    pub(crate) attempt: u32,
    /// Number of dispatched attempts, without resumes.
    pub(crate) sent: u32,
    /// Number of dispatched attempts that are known not to have run.
    pub(crate) not_run: u32,
    /// Number of resumes of the latest attempt.
    pub(crate) resumes: u32,
    pub(crate) target: Option<(RouteTarget, SocketAddr)>,
    /// Token offset to resume at; absent when the next dispatch is a new attempt.
    pub(crate) resume_at: Option<u32>,
    /// Silence of the latest attempt; absent when its stream has ended since.
    pub(crate) silence: Option<SilentSpell>,
    /// Silent attempts at other targets, oldest first.
    pub(crate) kept: Vec<KeptAttempt>,
    /// Whether any part of the response reached the caller. From then on, the request is
    /// not retried on another target. Tokens that a node buffers for a non-streamed
    /// response do not count.
    pub(crate) delivered: bool,
    /// VMs that failed this request.
    pub(crate) excluded: Vec<VmId>,
    /// Whether this request holds the claim of its idempotency key.
    pub(crate) claimed: bool,
    /// Whether this request holds a slot.
    pub(crate) admitted: bool,
}

impl RequestEntry {
    /// Records that the latest attempt did not run.
    pub(crate) fn record_not_run(&mut self) {
        self.not_run += 1;
        if self.not_run == self.sent {
            self.verdict = Verdict::NotRun;
        }
    }
}

/// State of the data plane.
pub struct TrafficState {
    pub(crate) own: NodeKey,
    pub(crate) view: Arc<FleetView>,
    pub(crate) router: GroupRouter,
    pub(crate) admission: AdmissionController,
    pub(crate) ledger: RequestLedger,
    pub(crate) requests: BTreeMap<RequestId, RequestEntry>,
    pub(crate) refusing_new: bool,
    pub(crate) handover_sender: Option<HandoverSender>,
    pub(crate) handover_receiver: HandoverReceiver,
    last_usage: Timestamp,
}

/// Returns the VM that requests to a target are sent to: a group's leader, or the backend server.
pub(crate) fn target_vm(target: &RouteTarget) -> Option<&VmId> {
    match target {
        RouteTarget::Group { members, .. } => members.first(),
        RouteTarget::Server { vm } => Some(vm),
    }
}

/// Returns the reason to report when the request may have run. Reasons that are documented to imply
/// that the request was not run are replaced by the failure of the earlier attempt.
fn may_have_run_reason(reason: ReasonCode) -> ReasonCode {
    match reason {
        ReasonCode::NoWholeGroup
        | ReasonCode::NoLiveServer
        | ReasonCode::Overloaded
        | ReasonCode::BackendRefused => ReasonCode::BackendFailed,
        other => other,
    }
}

impl TrafficState {
    /// Creates the state of a node without requests or a fleet view.
    pub fn new(settings: TrafficSettings, own: NodeKey, seed: u64, now: Timestamp) -> Self {
        Self {
            view: Arc::default(),
            router: GroupRouter::new(settings.routing, seed),
            admission: AdmissionController::new(settings.admission),
            ledger: RequestLedger::new(settings.ledger, own.clone(), now),
            requests: BTreeMap::new(),
            refusing_new: false,
            handover_sender: None,
            handover_receiver: HandoverReceiver::default(),
            last_usage: now,
            own,
        }
    }

    /// Returns the number of requests in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a request is in flight.
    pub fn is_open(&self, request: &RequestId) -> bool {
        self.requests.contains_key(request)
    }

    /// Returns the latest view from the control plane.
    pub fn view(&self) -> &Arc<FleetView> {
        &self.view
    }

    /// Returns the home token for discovery; `None` while the node is stopping, so that no new key
    /// is bound to it.
    pub fn home_token(&self, now: Timestamp) -> Option<HomeToken> {
        let leaving = self
            .view
            .nodes
            .iter()
            .any(|(record, state)| record.key == self.own && *state == NodeState::Leaving);
        (!self.refusing_new && !leaving).then(|| self.ledger.token(now))
    }

    /// Applies one event and returns the resulting effects.
    pub fn step(&mut self, event: TrafficEvent, now: Timestamp) -> Vec<TrafficEffect> {
        let mut effects = Vec::new();
        match event {
            TrafficEvent::Tick => self.tick(now, &mut effects),
            TrafficEvent::ViewChanged(view) => {
                self.router.update_view(&view);
                self.view = view;
            }
            TrafficEvent::RequestArrived(spec) => self.handle_request(spec, now, &mut effects),
            TrafficEvent::GroupReported { request, outcome } => {
                self.handle_group_report(&request, outcome, now, &mut effects);
            }
            TrafficEvent::VmReported(report) => self.router.record_report(&report, now),
            TrafficEvent::AttemptEnded {
                request,
                attempt,
                outcome,
            } => self.handle_attempt_end(&request, attempt, outcome, now, &mut effects),
            TrafficEvent::CallerDisconnected(request) => self.cancel(&request, now, &mut effects),
            TrafficEvent::PeerReceived { from, message } => {
                self.handle_message(from, message, now, &mut effects);
            }
            TrafficEvent::RefuseNew => self.refusing_new = true,
            TrafficEvent::HandOverLedger => self.hand_over(now, &mut effects),
        }
        effects
    }

    pub(crate) fn tick(&mut self, now: Timestamp, effects: &mut Vec<TrafficEffect>) {
        let view = self.view.clone();
        let releases = self.admission.tick(&view, now);
        self.apply_releases(releases, now, effects);
        let ledger_effects = self.ledger.tick(now);
        self.apply_ledger_effects(ledger_effects, now, effects);
        self.expire_requests(now, effects);
        if now.since(self.last_usage) >= USAGE_INTERVAL {
            self.last_usage = now;
            effects.push(TrafficEffect::UsageMeasured(self.admission.usage(now)));
        }
        self.tick_handover(now, effects);
    }

    /// Refuses requests whose deadline passes before they are dispatched. The deadline of a running
    /// request is enforced by the thread that reads its response.
    pub(crate) fn expire_requests(&mut self, now: Timestamp, effects: &mut Vec<TrafficEffect>) {
        let expired: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, entry)| entry.phase != RequestPhase::Running)
            .filter(|(_, entry)| entry.spec.deadline <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for request in expired {
            self.refuse(
                &request,
                RequestRefusal::not_run(
                    ReasonCode::DeadlineExceeded,
                    "the deadline passed before the request could be sent",
                ),
                now,
                effects,
            );
        }
    }

    pub(crate) fn handle_request(
        &mut self,
        spec: RequestSpec,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let request = spec.id.clone();
        let refusal = self.check_request(&spec, now);
        let claim = spec.key.clone();
        self.admission.record_request();
        self.requests.insert(
            request.clone(),
            RequestEntry {
                spec,
                phase: RequestPhase::Claiming,
                verdict: Verdict::NotRun,
                attempt: 0,
                sent: 0,
                not_run: 0,
                resumes: 0,
                target: None,
                resume_at: None,
                silence: None,
                kept: Vec::new(),
                delivered: false,
                excluded: Vec::new(),
                claimed: false,
                admitted: false,
            },
        );
        if let Some(refusal) = refusal {
            self.refuse(&request, refusal, now, effects);
            return;
        }
        match claim {
            Some((key, home)) => {
                let Some(entry) = self.requests.get(&request) else {
                    return;
                };
                let query = ClaimQuery {
                    request: request.clone(),
                    account: entry.spec.account.clone(),
                    key,
                    home: home.clone(),
                    fingerprint: entry.spec.fingerprint,
                    idempotent: entry.spec.idempotent,
                    deadline: entry.spec.deadline,
                };
                let location = self.locate_home(home.as_ref());
                let (outcome, ledger_effects) = self.ledger.claim(query, location, now);
                self.handle_claim(&request, outcome, now, effects);
                self.apply_ledger_effects(ledger_effects, now, effects);
            }
            None => self.admit(&request, now, effects),
        }
    }

    /// Checks a request on arrival and returns the refusal if it cannot be served.
    pub(crate) fn check_request(
        &self,
        spec: &RequestSpec,
        now: Timestamp,
    ) -> Option<RequestRefusal> {
        if self.refusing_new {
            return Some(RequestRefusal::retry_after(
                ReasonCode::Stopping,
                "this node is stopping; ask discovery for another address",
                TimeSpan::from_millis(1),
            ));
        }
        if !self.view.configured {
            return Some(RequestRefusal::retry_after(
                ReasonCode::NotConfigured,
                "this node has no configuration yet; ask another address",
                DEFAULT_RETRY_AFTER,
            ));
        }
        if spec.deadline <= now {
            return Some(RequestRefusal::not_run(
                ReasonCode::DeadlineExceeded,
                "the deadline had passed when the request arrived",
            ));
        }
        match &spec.target {
            RequestTarget::Model(model) => {
                let allowed = self
                    .view
                    .rules
                    .model(model)
                    .is_some_and(|rule| rule.allows_account(&spec.account));
                (!allowed).then(|| {
                    RequestRefusal::not_run(
                        ReasonCode::UnknownModel,
                        format_compact!("there is no model {model} for this account"),
                    )
                })
            }
            RequestTarget::Service(service) => {
                let allowed = self.view.services.iter().any(|view| {
                    view.name == *service
                        && (view.accounts.is_empty() || view.accounts.contains(&spec.account))
                });
                (!allowed).then(|| {
                    RequestRefusal::not_run(
                        ReasonCode::UnknownService,
                        format_compact!("there is no service {service} for this account"),
                    )
                })
            }
        }
    }

    pub(crate) fn admit(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        entry.phase = RequestPhase::Queued;
        let query = AdmitQuery {
            request: request.clone(),
            account: entry.spec.account.clone(),
            target: entry.spec.target.clone(),
            priority: entry.spec.priority,
            deadline: entry.spec.deadline,
        };
        let outcome = self.admission.admit(&query, &self.view, now);
        self.handle_admission(request, outcome, now, effects);
        let displaced = self.admission.displaced();
        self.apply_releases(displaced, now, effects);
    }

    pub(crate) fn apply_releases(
        &mut self,
        releases: Vec<QueueRelease>,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        for release in releases {
            self.handle_admission(&release.request, release.outcome, now, effects);
        }
    }

    pub(crate) fn handle_admission(
        &mut self,
        request: &RequestId,
        outcome: AdmitOutcome,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        match outcome {
            AdmitOutcome::Admitted => match self.requests.get_mut(request) {
                Some(entry) => {
                    entry.admitted = true;
                    self.route(request, now, effects);
                }
                None => self.release_slot(request, now, effects),
            },
            AdmitOutcome::Queued => {}
            AdmitOutcome::Refused(refusal) => {
                effects.push(TrafficEffect::Decision(DecisionRecord {
                    kind: DecisionKind::Admit,
                    subject: format_compact!("{request}"),
                    inputs: CompactString::default(),
                    choice: "refused".into(),
                    reason: refusal.message.clone(),
                }));
                self.refuse(request, refusal, now, effects);
            }
        }
    }

    pub(crate) fn release_slot(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let view = self.view.clone();
        let releases = self.admission.release(request, &view, now);
        self.apply_releases(releases, now, effects);
    }

    /// Ends a request with a refusal. The refusal's verdict is combined with the request's own, so
    /// that a request that may have run is never reported as not run.
    pub(crate) fn refuse(
        &mut self,
        request: &RequestId,
        mut refusal: RequestRefusal,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        self.drop_kept(request, now);
        let Some(entry) = self.requests.remove(request) else {
            return;
        };
        refusal.verdict = refusal.verdict.combine(entry.verdict);
        if refusal.verdict == Verdict::NotRun && entry.sent != entry.not_run {
            effects.push(TrafficEffect::Violation(InvariantViolation {
                kind: InvariantKind::TruthfulRefusal,
                subject: format_compact!("{request}"),
                detail: format_compact!(
                    "refused as not run after {} attempts, of which {} are known not to have run",
                    entry.sent,
                    entry.not_run
                ),
            }));
            refusal.verdict = Verdict::MayHaveRun;
        }
        if refusal.verdict != Verdict::NotRun {
            refusal.retry_after_ms = None;
            refusal.reason = may_have_run_reason(refusal.reason);
        }
        if entry.claimed {
            let ledger_effects = self.ledger.record_failure(request, refusal.verdict, now);
            self.apply_ledger_effects(ledger_effects, now, effects);
        } else {
            self.ledger.cancel_waiter(request);
        }
        effects.push(TrafficEffect::Refuse {
            request: request.clone(),
            refusal,
        });
        self.end_admission(request, &entry, now, effects);
    }

    /// Releases the slot of a request that has ended, or removes it from the queue.
    pub(crate) fn end_admission(
        &mut self,
        request: &RequestId,
        entry: &RequestEntry,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        if entry.admitted {
            self.release_slot(request, now, effects);
        } else if entry.phase == RequestPhase::Queued {
            self.admission.cancel(request);
        }
    }

    pub(crate) fn cancel(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        self.drop_kept(request, now);
        let Some(entry) = self.requests.remove(request) else {
            return;
        };
        if entry.claimed {
            let ledger_effects = self.ledger.record_failure(request, entry.verdict, now);
            self.apply_ledger_effects(ledger_effects, now, effects);
        } else {
            self.ledger.cancel_waiter(request);
        }
        self.end_admission(request, &entry, now, effects);
    }
}
