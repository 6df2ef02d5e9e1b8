//! Sends a request to one target after another until one responds.
//!
//! A target that sends nothing is not given up: the request is sent to another one beside it, and the first response counts. What
//! ends an attempt is a fact: its connection fails, its target refuses the request, or the time of the request is up.

use std::pin::Pin;
use std::rc::Rc;

use compact_str::format_compact;
use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt;
use http::StatusCode;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::TargetChoice;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::silence::DataWait;
use jaysaddle_gateway::silence::SilenceMeter;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use tokio::time::timeout;

use crate::attempt::ActiveAttempt;
use crate::attempt::SendOptions;
use crate::attempt::SendResult;
use crate::attempt::send_once;
use crate::caller_request::CallerRequest;
use crate::content_control::check_content;
use crate::content_control::is_blocked;
use crate::content_control::is_retry_withheld;
use crate::forward::stopping_refusal;
use crate::node::EntryNode;
use crate::response::RequestFailure;
use crate::send_history::SendHistory;
use crate::silence::AwaitedPart;
use crate::silence::REPLACEMENT_RETRY_DELAY;
use crate::silence::STALL_CHECK_INTERVAL;
use crate::silence::SilenceEnd;
use crate::silence::is_stalled;
use crate::silence::report_silence;
use crate::silence::report_silence_end;

/// Maximum number of sends per request, refused ones included. A retry after a refusal also counts against the
/// shared retry budget.
const MAX_SENDS: usize = 4;
/// Minimum remaining time for another send; with less, no response would arrive before the deadline.
pub const MIN_RETRY_TIME: TimeSpan = TimeSpan(60);
/// Percentage of the remaining time after which an idempotent request is sent to another backend server too. Normal work
/// takes a small part of the time budget, so a backend server that needs more may hang.
const FIRST_ATTEMPT_PERCENT: u64 = 55;

/// Remaining time at which a failure response of a backend server is forwarded although another send is under way.
const FAILURE_RESPONSE_TIME: TimeSpan = TimeSpan(250);

/// A send and its result.
struct FinishedSend {
    target: Rc<RequestTarget>,
    result: SendResult,
}

type PendingSend<'a> = Pin<Box<dyn Future<Output = FinishedSend> + 'a>>;

/// The newest send, while it is not known to be silent.
struct AwaitedSend {
    target: Rc<RequestTarget>,
    silence: SilenceMeter,
    /// Time without a response after which a plain service counts as silent.
    patience: TimeSpan,
}

/// Sends of one request that are under way.
///
/// # Invariants
///
/// - A further send begins only when all others are silent, or none is left.
/// - Sends that may have run never exceed the route's limit; [`SendHistory`] counts them.
struct SendRace<'a> {
    node: &'a Rc<EntryNode>,
    request: &'a CallerRequest,
    sends: &'a SendHistory,
    /// Number of the last event that the caller has received; a stream continues after it.
    last_event: Option<u64>,
    pending: FuturesUnordered<PendingSend<'a>>,
    /// `None` if all pending sends are silent, or there are none.
    awaited: Option<AwaitedSend>,
    /// Targets of the pending sends that are silent.
    silent: Vec<Rc<RequestTarget>>,
    /// A failure of a backend server itself, which the caller gets if no other one does better.
    failure_response: Option<Box<ActiveAttempt>>,
    /// Whether the request may be the reason for the end of a backend server.
    is_under_suspicion: bool,
    /// Whether the next send has been taken from the retry budget already.
    is_granted: bool,
    /// Time until which no replacement of a silent send is tried.
    next_replacement: Timestamp,
}

/// Sends a request to one target after another until one responds, within the limits on sends, attempts and retries.
///
/// # Errors
///
/// Fails when no target accepts the request, or when it may have run and a retry is not allowed or not possible.
pub async fn send_with_retries(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    sends: &SendHistory,
    last_event: Option<u64>,
) -> Result<ActiveAttempt, RequestFailure> {
    let mut race = SendRace {
        node,
        request,
        sends,
        last_event,
        pending: FuturesUnordered::new(),
        awaited: None,
        silent: Vec::new(),
        failure_response: None,
        is_under_suspicion: false,
        is_granted: false,
        next_replacement: Timestamp(0),
    };
    let end = race.run().await;
    race.finish(end)
}

impl SendRace<'_> {
    /// Sends and waits until a response has arrived that is forwarded, or nothing more can be done.
    async fn run(&mut self) -> Result<ActiveAttempt, RequestFailure> {
        loop {
            if self.needs_send() {
                match self.choose() {
                    Ok(choice) => self.start(choice),
                    Err(failure) if self.pending.is_empty() => return Err(failure),
                    Err(failure) => self.postpone(&failure),
                }
            }
            let has_failure_response = self.failure_response.is_some();
            if has_failure_response && self.request.time_left() <= FAILURE_RESPONSE_TIME {
                let status = StatusCode::GATEWAY_TIMEOUT;
                return Err(RequestFailure::may_have_run(status, "time_is_up"));
            }
            let finished = self.wait().await;
            if let Some(finished) = &finished {
                self.await_check(finished).await;
            }
            let Some(finished) = finished else {
                // The sends under way have not begun to be answered, so their backend servers can still be spared.
                if is_blocked(self.node, self.request) {
                    check_content(self.node, self.request, true)?;
                }
                continue;
            };
            if let Some(end) = self.handle(finished) {
                return end;
            }
        }
    }

    /// Whether another send is wanted: none is under way, or all are silent and the route allows another one.
    fn needs_send(&self) -> bool {
        if self.pending.is_empty() {
            return true;
        }
        self.awaited.is_none() && self.may_send_beside() && clock::now() >= self.next_replacement
    }

    /// Whether the request may be sent to another target while one may still run it.
    fn may_send_beside(&self) -> bool {
        let rule = &self.request.route.rule;
        rule.kind.may_retry() && self.sends.runs() < rule.max_attempts
    }

    /// Selects the next target and takes a retry from the budget.
    fn choose(&mut self) -> Result<TargetChoice, RequestFailure> {
        let (node, request) = (self.node, self.request);
        let may_have_run = self.sends.runs() > 0;
        let fail = |status, reason| Err(terminal_failure(may_have_run, status, reason, node));
        // A backend server may refuse a request seconds after it has received it.
        if request.may_outlast_stop() && !may_have_run {
            return Err(stopping_refusal(node));
        }
        if request.time_left() < MIN_RETRY_TIME {
            return fail(StatusCode::GATEWAY_TIMEOUT, "time_is_up");
        }
        check_content(node, request, may_have_run)?;
        if may_have_run && self.is_under_suspicion {
            return fail(StatusCode::BAD_GATEWAY, "server_ended");
        }
        if may_have_run && !self.may_send_beside() {
            return fail(StatusCode::BAD_GATEWAY, "backend_failed");
        }
        if self.sends.sends() >= MAX_SENDS {
            return fail(StatusCode::BAD_GATEWAY, "no_more_sends");
        }
        let tried = self.sends.tried();
        let query = request.target_query(&tried, may_have_run);
        let chosen = node
            .gateway
            .borrow_mut()
            .choose(&query, &node.peers.borrow(), clock::now());
        let choice = chosen.map_err(|refusal| {
            report_shed(request, refusal);
            refusal_failure(may_have_run, refusal, node)
        })?;
        let is_retry = !tried.is_empty();
        if is_retry && !std::mem::take(&mut self.is_granted) && !try_take_retry(node, request) {
            return fail(StatusCode::BAD_GATEWAY, "no_repeat_budget");
        }
        Ok(choice)
    }

    fn start(&mut self, choice: TargetChoice) {
        let (node, request, sends) = (self.node, self.request, self.sends);
        sends.record_choice(node, &choice);
        if choice.inputs.limit.is_some() {
            metrics::counter!("jaysaddle_limited_sends_total").increment(1);
        }
        if choice.inputs.held > 0 {
            metrics::counter!("jaysaddle_limit_diversions_total").increment(1);
        }
        let target = choice.target;
        log::debug!(
            "event=send request={} backend={} number={} beside={}",
            request.id,
            target.backend,
            sends.sends(),
            self.pending.len()
        );
        let own_time = request.own_time_left();
        self.awaited = Some(AwaitedSend {
            target: target.clone(),
            silence: SilenceMeter::default(),
            // The end of a planned stop makes no backend server slower.
            patience: TimeSpan(own_time.0 * FIRST_ATTEMPT_PERCENT / 100),
        });
        let options = SendOptions {
            target: target.clone(),
            is_late: choice.is_late,
            predicted_ms: choice.inputs.paced.map(|inputs| inputs.predicted_ms),
            last_event: self.last_event,
        };
        self.pending.push(Box::pin(async move {
            let result = send_once(node, request, sends, options).await;
            FinishedSend { target, result }
        }));
    }

    /// Keeps the silent sends, because there is no replacement for them now.
    fn postpone(&mut self, failure: &RequestFailure) {
        log::info!(
            "event=no_replacement request={} reason={}",
            self.request.id,
            failure.reason
        );
        self.next_replacement = clock::now() + REPLACEMENT_RETRY_DELAY;
    }

    /// Waits until a send ends, or until the next check for silence.
    async fn wait(&mut self) -> Option<FinishedSend> {
        let planned = STALL_CHECK_INTERVAL;
        let began = clock::now();
        let finished = timeout(planned.as_duration(), self.pending.next()).await;
        let wait = DataWait {
            planned,
            actual: clock::now().since(began),
        };
        if let Ok(finished) = finished {
            return finished;
        }
        self.check_silence(wait);
        None
    }

    fn check_silence(&mut self, wait: DataWait) {
        let Some(awaited) = &mut self.awaited else {
            return;
        };
        awaited.silence.record(wait);
        let rule = &self.request.route.rule;
        // Sends under way count as runs.
        let is_only_run = !rule.kind.may_retry() || self.sends.runs() >= rule.max_attempts;
        if is_only_run {
            return;
        }
        let now = clock::now();
        let silent = awaited.silence.silent();
        let is_silent = if awaited.target.model.is_some() {
            is_stalled(self.node, &awaited.target, silent, false, now)
        } else {
            silent >= awaited.patience
        };
        if is_silent {
            let (id, target) = (&self.request.id, &awaited.target);
            report_silence(self.node, id, target, AwaitedPart::Head, silent, now);
            self.silent.push(target.clone());
            self.awaited = None;
        }
    }

    /// Waits until it is known whether the backend server of a broken attempt has ended, and whether the request may be the
    /// reason. A stream is resumed in any case: it has usually begun, and its caller cannot repeat it as cheaply.
    async fn await_check(&mut self, finished: &FinishedSend) {
        let is_broken = matches!(finished.result, SendResult::MayHaveRun(_));
        if !is_broken || self.request.is_stream() || !self.may_send_beside() {
            return;
        }
        self.is_under_suspicion |=
            is_retry_withheld(self.node, self.request, &finished.target).await;
    }

    /// Handles the end of a send. Returns the result of the request if it is known.
    fn handle(&mut self, finished: FinishedSend) -> Option<Result<ActiveAttempt, RequestFailure>> {
        let FinishedSend { target, result } = finished;
        let was_silent = self.remove_send(&target);
        let end = match result {
            SendResult::Answered(_) => SilenceEnd::WentOn,
            _ if self.request.time_left().0 == 0 => SilenceEnd::TimeUp,
            _ => SilenceEnd::Failed,
        };
        if was_silent {
            report_silence_end(&self.request.id, &target, end);
        }
        match result {
            SendResult::Answered(attempt) => self.handle_response(attempt).map(Ok),
            SendResult::NotRun(reason) => {
                log::info!(
                    "event=not_run request={} backend={} reason=\"{reason}\"",
                    self.request.id,
                    target.backend
                );
                None
            }
            SendResult::MayHaveRun(reason) => {
                log::info!(
                    "event=may_have_run request={} backend={} reason=\"{reason}\"",
                    self.request.id,
                    target.backend
                );
                let is_over = self.pending.is_empty() && !self.may_send_beside();
                is_over.then(|| {
                    let status = if self.request.time_left().0 == 0 {
                        StatusCode::GATEWAY_TIMEOUT
                    } else {
                        StatusCode::BAD_GATEWAY
                    };
                    Err(RequestFailure::may_have_run(status, "backend_failed"))
                })
            }
        }
    }

    /// Forgets a send that has ended. Returns whether it was silent.
    fn remove_send(&mut self, target: &RequestTarget) -> bool {
        self.awaited
            .take_if(|awaited| awaited.target.number == target.number);
        let silent = self.silent.len();
        self.silent.retain(|other| other.number != target.number);
        self.silent.len() < silent
    }

    /// Returns the response if it is forwarded. A failure of the backend server is kept if another target may do better.
    fn handle_response(&mut self, attempt: Box<ActiveAttempt>) -> Option<ActiveAttempt> {
        let has_failed = attempt.response.status().is_server_error();
        let has_time = self.request.time_left() > MIN_RETRY_TIME;
        let may_do_better = has_failed
            && has_time
            && (!self.pending.is_empty() || self.may_send_beside() && self.try_grant());
        if !may_do_better {
            return Some(*attempt);
        }
        self.drop_failure_response();
        self.failure_response = Some(attempt);
        None
    }

    /// Takes the next send from the retry budget.
    fn try_grant(&mut self) -> bool {
        self.is_granted = self.is_granted || try_take_retry(self.node, self.request);
        self.is_granted
    }

    fn drop_failure_response(&mut self) {
        if let Some(attempt) = self.failure_response.take() {
            attempt.guard.finish(TargetOutcome::Failed);
        }
    }

    /// Returns the response to forward: the failure of a backend server rather than one of this node.
    fn finish(
        mut self,
        end: Result<ActiveAttempt, RequestFailure>,
    ) -> Result<ActiveAttempt, RequestFailure> {
        for target in std::mem::take(&mut self.silent) {
            report_silence_end(&self.request.id, &target, SilenceEnd::Replaced);
        }
        let end = end.or_else(|failure| match self.failure_response.take() {
            Some(attempt) => Ok(*attempt),
            None => Err(failure),
        });
        self.drop_failure_response();
        if let Ok(attempt) = &end {
            self.sends.record_forwarded(attempt.guard.target.number);
        }
        end
    }
}

impl Drop for SendRace<'_> {
    fn drop(&mut self) {
        for target in &self.silent {
            report_silence_end(&self.request.id, target, SilenceEnd::RequestEnded);
        }
    }
}

/// Takes a retry from the service's shared budget. Returns false when the budget is used up.
fn try_take_retry(node: &EntryNode, request: &CallerRequest) -> bool {
    let service = &request.route.service;
    let is_granted = node.gateway.borrow_mut().try_take_retry(service);
    let name = if is_granted {
        "jaysaddle_repeats_total"
    } else {
        "jaysaddle_repeats_withheld_total"
    };
    metrics::counter!(name).increment(1);
    is_granted
}

/// Logs and counts a request that is turned away because too many arrive.
fn report_shed(request: &CallerRequest, refusal: TargetRefusal) {
    let TargetRefusal::Crowded { share_permille } = refusal else {
        return;
    };
    let rank = request.route.rank;
    log::info!(
        "event=request_shed request={} rank={rank} share_permille={share_permille} caller_retry={}",
        request.id,
        request.is_caller_retry
    );
    metrics::counter!("jaysaddle_requests_shed_total", "rank" => rank.to_string()).increment(1);
}

fn terminal_failure(
    may_have_run: bool,
    status: StatusCode,
    reason: &str,
    node: &EntryNode,
) -> RequestFailure {
    if may_have_run {
        RequestFailure::may_have_run(status, reason)
    } else {
        let retry_after = node.gateway.borrow_mut().retry_after(TargetRefusal::Full);
        RequestFailure::unavailable(reason, retry_after)
    }
}

fn refusal_failure(may_have_run: bool, refusal: TargetRefusal, node: &EntryNode) -> RequestFailure {
    let reason = format_compact!("{refusal}");
    let status = StatusCode::BAD_GATEWAY;
    let states_wait = matches!(
        refusal,
        TargetRefusal::Limited { .. } | TargetRefusal::Crowded { .. }
    );
    if may_have_run || !states_wait {
        return terminal_failure(may_have_run, status, &reason, node);
    }
    let retry_after = node.gateway.borrow_mut().retry_after(refusal);
    RequestFailure::unavailable(reason, retry_after)
}
