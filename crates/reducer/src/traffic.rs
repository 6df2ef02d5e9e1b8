//! The traffic lane: one state machine per request.
//!
//! A request claims its key, takes a slot, is given a group, has the group's leader confirm that
//! the group is whole, and is sent. Its verdict starts as not run, becomes "may have run" right
//! before the send, and returns to not run only when the backend server is known not to have run
//! it.

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
use crate::traffic_event::TrafficEffect;
use crate::traffic_event::TrafficEvent;

/// Time between measurements of account usage.
const USAGE_INTERVAL: TimeSpan = TimeSpan::from_secs(2);

/// Time after which a refused caller may come back when nothing better is known: about the time
/// in which a lost member is replaced and its weights are loaded.
const DEFAULT_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Settings of the traffic lane.
#[derive(Clone, Debug, Default)]
pub struct TrafficSettings {
    /// Routing.
    pub routing: RoutingSettings,
    /// Admission.
    pub admission: AdmissionSettings,
    /// Ledger.
    pub ledger: LedgerSettings,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// Its key is being claimed.
    Claiming,
    /// It waits for a slot.
    Queued,
    /// The leader of its group is being asked.
    Checking,
    /// It was sent.
    Running,
}

/// A request under way.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub(crate) spec: RequestSpec,
    pub(crate) phase: RequestPhase,
    /// Verdict that a refusal would have to carry now.
    ///
    /// # Invariants
    ///
    /// [`Verdict::NotRun`] only while `cleared` equals `sent`.
    pub(crate) verdict: Verdict,
    /// Number of the latest attempt; 0 before the first.
    pub(crate) attempt: u32,
    /// Attempts sent that may start a run; resumes do not count.
    pub(crate) sent: u32,
    /// Attempts known not to have run.
    pub(crate) cleared: u32,
    /// Resumes of the latest attempt.
    pub(crate) resumes: u32,
    pub(crate) target: Option<(RouteTarget, SocketAddr)>,
    /// Offset to resume at, once the leader has confirmed its group.
    pub(crate) resume_at: Option<u32>,
    /// Whether a piece of the answer reached the caller. From then on, the request is not started
    /// again elsewhere. Tokens that a node collects for a whole answer do not count.
    pub(crate) delivered: bool,
    /// VMs that failed this request.
    pub(crate) excluded: Vec<VmId>,
    /// Whether this request holds its key's claim.
    pub(crate) claimed: bool,
    /// Whether this request holds a slot.
    pub(crate) admitted: bool,
}

impl RequestEntry {
    /// Records that the latest attempt is known not to have run.
    pub(crate) fn clear_attempt(&mut self) {
        self.cleared += 1;
        if self.cleared == self.sent {
            self.verdict = Verdict::NotRun;
        }
    }
}

/// State of the traffic lane.
pub struct TrafficState {
    pub(crate) own: NodeKey,
    pub(crate) view: Arc<FleetView>,
    pub(crate) router: GroupRouter,
    pub(crate) admission: AdmissionController,
    pub(crate) ledger: RequestLedger,
    pub(crate) requests: BTreeMap<RequestId, RequestEntry>,
    pub(crate) refusing: bool,
    pub(crate) sender: Option<HandoverSender>,
    pub(crate) receiver: HandoverReceiver,
    last_usage: Timestamp,
}

/// The VM that stands for a target: a group's leader, or the backend server.
pub(crate) fn target_vm(target: &RouteTarget) -> Option<&VmId> {
    match target {
        RouteTarget::Group { members, .. } => members.first(),
        RouteTarget::Server { vm } => Some(vm),
    }
}

/// The reason to give when the request may have run. Callers are told that these reasons stand for
/// requests that were not run; after an earlier send, the failure of that send is what counts.
fn reason_after_send(reason: ReasonCode) -> ReasonCode {
    match reason {
        ReasonCode::NoWholeGroup
        | ReasonCode::NoLiveServer
        | ReasonCode::Overloaded
        | ReasonCode::BackendRefused => ReasonCode::BackendFailed,
        other => other,
    }
}

impl TrafficState {
    /// A node without requests.
    pub fn new(settings: TrafficSettings, own: NodeKey, seed: u64, now: Timestamp) -> Self {
        Self {
            view: Arc::default(),
            router: GroupRouter::new(settings.routing, seed),
            admission: AdmissionController::new(settings.admission),
            ledger: RequestLedger::new(settings.ledger, own.clone(), now),
            requests: BTreeMap::new(),
            refusing: false,
            sender: None,
            receiver: HandoverReceiver::default(),
            last_usage: now,
            own,
        }
    }

    /// Requests under way.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request is under way.
    pub fn is_open(&self, request: &RequestId) -> bool {
        self.requests.contains_key(request)
    }

    /// The view in force.
    pub fn view(&self) -> &Arc<FleetView> {
        &self.view
    }

    /// The home token for discovery; absent once the node stops, so that no new key is bound to it.
    pub fn home_token(&self, now: Timestamp) -> Option<HomeToken> {
        let leaving = self
            .view
            .nodes
            .iter()
            .any(|(record, state)| record.key == self.own && *state == NodeState::Leaving);
        (!self.refusing && !leaving).then(|| self.ledger.token(now))
    }

    /// Applies one event and returns what is to be done.
    pub fn step(&mut self, event: TrafficEvent, now: Timestamp) -> Vec<TrafficEffect> {
        let mut effects = Vec::new();
        match event {
            TrafficEvent::Tick => self.tick(now, &mut effects),
            TrafficEvent::ViewChanged(view) => {
                self.router.update_view(&view);
                self.view = view;
            }
            TrafficEvent::RequestArrived(spec) => self.request_arrived(spec, now, &mut effects),
            TrafficEvent::GroupReported { request, outcome } => {
                self.group_reported(&request, outcome, now, &mut effects);
            }
            TrafficEvent::VmReported(report) => self.router.record_report(&report, now),
            TrafficEvent::AttemptEnded {
                request,
                attempt,
                outcome,
            } => self.attempt_ended(&request, attempt, outcome, now, &mut effects),
            TrafficEvent::CallerGone(request) => self.caller_gone(&request, now, &mut effects),
            TrafficEvent::PeerReceived { from, message } => {
                self.peer_received(from, message, now, &mut effects);
            }
            TrafficEvent::RefuseNew => self.refusing = true,
            TrafficEvent::HandOverLedger => self.hand_over(now, &mut effects),
        }
        effects
    }

    pub(crate) fn tick(&mut self, now: Timestamp, effects: &mut Vec<TrafficEffect>) {
        let view = self.view.clone();
        let releases = self.admission.tick(&view, now);
        self.apply_releases(releases, now, effects);
        let resolved = self.ledger.tick(now);
        self.apply_ledger_effects(resolved, now, effects);
        self.expire_requests(now, effects);
        if now.since(self.last_usage) >= USAGE_INTERVAL {
            self.last_usage = now;
            effects.push(TrafficEffect::UsageMeasured(self.admission.usage(now)));
        }
        self.tick_handover(now, effects);
    }

    /// Refuses requests whose deadline passes before they are sent. A running request's deadline
    /// is kept by the thread that reads its answer.
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

    pub(crate) fn request_arrived(
        &mut self,
        spec: RequestSpec,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let request = spec.id.clone();
        let refusal = self.check_arrival(&spec, now);
        let claim = spec.key.clone();
        self.admission.fresh();
        self.requests.insert(
            request.clone(),
            RequestEntry {
                spec,
                phase: RequestPhase::Claiming,
                verdict: Verdict::NotRun,
                attempt: 0,
                sent: 0,
                cleared: 0,
                resumes: 0,
                target: None,
                resume_at: None,
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
                let place = self.home_place(home.as_ref());
                let (outcome, asks) = self.ledger.claim(query, place, now);
                self.claim_resolved(&request, outcome, now, effects);
                self.apply_ledger_effects(asks, now, effects);
            }
            None => self.admit(&request, now, effects),
        }
    }

    /// Refusals that need no state of the request.
    pub(crate) fn check_arrival(
        &self,
        spec: &RequestSpec,
        now: Timestamp,
    ) -> Option<RequestRefusal> {
        if self.refusing {
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
        self.admission_resolved(request, outcome, now, effects);
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
            self.admission_resolved(&release.request, release.outcome, now, effects);
        }
    }

    pub(crate) fn admission_resolved(
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

    /// Ends a request with a refusal. The verdict sent is never weaker than what is known of the
    /// request.
    pub(crate) fn refuse(
        &mut self,
        request: &RequestId,
        mut refusal: RequestRefusal,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.remove(request) else {
            return;
        };
        refusal.verdict = refusal.verdict.combine(entry.verdict);
        if refusal.verdict == Verdict::NotRun && entry.sent != entry.cleared {
            effects.push(TrafficEffect::Violation(InvariantViolation {
                kind: InvariantKind::TruthfulRefusal,
                subject: format_compact!("{request}"),
                detail: format_compact!(
                    "a refusal as not run after {} sends, {} of them known not to have run",
                    entry.sent,
                    entry.cleared
                ),
            }));
            refusal.verdict = Verdict::MayHaveRun;
        }
        if refusal.verdict != Verdict::NotRun {
            refusal.retry_after_ms = None;
            refusal.reason = reason_after_send(refusal.reason);
        }
        if entry.claimed {
            let freed = self.ledger.record_failure(request, refusal.verdict, now);
            self.apply_ledger_effects(freed, now, effects);
        } else {
            self.ledger.cancel_waiter(request);
        }
        effects.push(TrafficEffect::Refuse {
            request: request.clone(),
            refusal,
        });
        self.end_admission(request, &entry, now, effects);
    }

    /// Gives back the slot of a request that has ended, or its place in the queue.
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

    pub(crate) fn caller_gone(
        &mut self,
        request: &RequestId,
        now: Timestamp,
        effects: &mut Vec<TrafficEffect>,
    ) {
        let Some(entry) = self.requests.remove(request) else {
            return;
        };
        if entry.claimed {
            let freed = self.ledger.record_failure(request, entry.verdict, now);
            self.apply_ledger_effects(freed, now, effects);
        } else {
            self.ledger.cancel_waiter(request);
        }
        self.end_admission(request, &entry, now, effects);
    }
}
