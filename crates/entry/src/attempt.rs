//! Sends a request to backend servers, with retries, until one responds, and records each attempt with the
//! gateway.

use std::rc::Rc;

use compact_str::format_compact;
use eyre::eyre;
use http::Request;
use http::StatusCode;
use http::header;
use jaysaddle_adapter::headers;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::leaving::LeavingServer;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetQuery;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::gateway::AttemptRecord;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;
use tokio::time::timeout;

use crate::caller_request::CallerRequest;
use crate::caller_request::header_text;
use crate::exchange::ExchangeError;
use crate::exchange::ReceivedResponse;
use crate::exchange::send;
use crate::node::EntryNode;
use crate::pool::BackendKey;
use crate::pool::PooledConnection;
use crate::request_report::RequestReport;
use crate::response::RequestFailure;
use crate::server_notices::ServerNotices;
use crate::server_notices::read_notices;
use crate::silence::SilenceFacts;
use crate::silence::report_given_up;
use crate::stated_limit::StatedLimit;

/// Maximum number of sends per request, refused ones included. A retry after a refusal also counts against the
/// shared retry budget.
const MAX_SENDS: usize = 4;
/// Minimum remaining time for another send; with less, no response would arrive before the deadline.
pub const MIN_RETRY_TIME: TimeSpan = TimeSpan(60);
/// Percentage of the remaining time that an idempotent request waits for its first backend server. Normal work
/// takes a small part of the time budget, so a backend server that needs more is assumed to hang.
const FIRST_ATTEMPT_PERCENT: u64 = 55;
/// Multiple of the stall limit after which a started stream fails over even though its target still
/// serves other requests.
const STREAM_STALL_FACTOR: u64 = 3;
/// The same for a request that waits for its first event. Callers wait at least as long.
const FIRST_EVENT_STALL_FACTOR: u64 = 5;
/// Interval at which an attempt without new data is checked for a stall.
pub const STALL_CHECK_INTERVAL: TimeSpan = TimeSpan(150);

/// Registers a request at a target with the gateway and deregisters it when dropped.
pub struct AttemptGuard {
    node: Rc<EntryNode>,
    pub target: Rc<RequestTarget>,
    /// `None` once the request has ended.
    record: Option<AttemptRecord>,
}

impl AttemptGuard {
    fn new(node: &Rc<EntryNode>, target: Rc<RequestTarget>, is_late: bool) -> Self {
        let now = clock::now();
        let record = node
            .gateway
            .borrow_mut()
            .record_start(&target, is_late, now);
        Self {
            node: node.clone(),
            target,
            record: Some(record),
        }
    }

    /// Records data from the target. `pause` is the time since the previous data, `None` for the first.
    pub fn record_progress(&mut self, pause: Option<TimeSpan>, now: Timestamp) {
        if let Some(record) = &mut self.record {
            self.node
                .gateway
                .borrow_mut()
                .record_progress(record, pause, now);
        }
    }

    /// Records what the response states about the backend server.
    fn record_notices(&self, notices: ServerNotices) {
        let Some(record) = &self.record else {
            return;
        };
        let backend = &self.target.backend;
        let server = record.server();
        let started = record.started();
        match notices.limit {
            StatedLimit::Limited(limit) => {
                self.node
                    .record_limit(backend, server, Some(limit), started);
            }
            StatedLimit::Unlimited => self.node.record_limit(backend, server, None, started),
            StatedLimit::Unknown => {}
        }
        if notices.is_leaving {
            let server = LeavingServer {
                id: backend.clone(),
                started: self.target.started,
            };
            self.node.record_leaving(&server, "response");
        }
        if let Some(pause) = notices.pause {
            self.node.record_pause(backend, server, pause);
        }
    }

    /// Records the end of the request at the target.
    pub fn finish(mut self, outcome: TargetOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: TargetOutcome) {
        if let Some(record) = self.record.take() {
            self.node
                .gateway
                .borrow_mut()
                .record_end(&record, outcome, clock::now());
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(TargetOutcome::Abandoned);
    }
}

/// Attempt for which the response headers have arrived.
pub struct ActiveAttempt {
    pub guard: AttemptGuard,
    pub connection: PooledConnection,
    pub response: ReceivedResponse,
}

impl ActiveAttempt {
    /// Idle timeout that the backend server states in its `Keep-Alive` header.
    pub fn keep_alive_timeout(&self) -> Option<TimeSpan> {
        keep_alive_timeout(&self.response)
    }
}

fn keep_alive_timeout(response: &ReceivedResponse) -> Option<TimeSpan> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(TimeSpan::from_secs(seconds.parse().ok()?))
}

/// Outcome of a single send.
enum SendResult {
    Answered(Box<ActiveAttempt>),
    /// The backend server did not run the request.
    NotRun(String),
    /// The backend server may have run the request.
    MayHaveRun(String),
}

/// Returns whether an attempt has stalled: it has received no data for `stall_time`, and either the whole target has
/// stalled too, or `stall_time` exceeds a multiple of the stall limit. The multiple is higher before the first event,
/// which a full queue may delay. Then only streams that had begun, at this node or at a peer, show that the target has
/// stalled: where many nodes share it, each may have no other request there.
pub fn is_stalled(
    node: &EntryNode,
    target: &RequestTarget,
    stall_time: TimeSpan,
    has_started: bool,
    now: Timestamp,
) -> bool {
    let gateway = node.gateway.borrow();
    let limit = gateway.stall_limit(target.number);
    if has_started {
        let target_stall_time = gateway.stall_time(target.number, now).unwrap_or_default();
        let is_target_stalled = stall_time >= limit && target_stall_time >= limit;
        return is_target_stalled || stall_time.0 >= limit.0 * STREAM_STALL_FACTOR;
    }
    let is_target_stalled = gateway.has_stalled_streams(target.number, limit, now)
        || node.peers.borrow().is_stalled(target.number.0);
    let own_limit = TimeSpan(limit.0 * FIRST_EVENT_STALL_FACTOR);
    (stall_time >= limit && is_target_stalled)
        || stall_time >= own_limit.max(gateway.first_event_limit(target))
}

/// Parameters of a single send.
struct SendOptions {
    target: Rc<RequestTarget>,
    /// Whether the request is expected to miss its latency target, so that requests that can still
    /// meet theirs go first.
    is_late: bool,
    /// Number of the last event that the caller has received; the stream continues after it.
    last_event: Option<u64>,
    /// Whether the attempt may be abandoned for another target when it stalls.
    may_fail_over: bool,
}

/// Sends a request to one target and waits for the response headers.
async fn send_once(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    options: SendOptions,
) -> SendResult {
    let SendOptions {
        target,
        is_late,
        last_event,
        may_fail_over,
    } = options;
    let guard = AttemptGuard::new(node, target.clone(), is_late);
    let key = BackendKey {
        id: target.backend.clone(),
        started: target.started,
        address: target.address,
    };
    let needs_recent_use = !request.route.rule.kind.may_retry();
    let limit = node.gateway.borrow().connection_limit(&target);
    let mut connection = match node.pool.take(&key, needs_recent_use, limit).await {
        Ok(connection) => connection,
        Err(error) => {
            node.gateway.borrow_mut().avoid(target.number, clock::now());
            guard.finish(TargetOutcome::Failed);
            return SendResult::NotRun(format!("connect: {:#}", error.cause));
        }
    };
    let outgoing = match request.for_target(&target, last_event, is_late) {
        Ok(outgoing) => outgoing,
        Err(error) => return SendResult::NotRun(format!("{error:#}")),
    };
    let head = wait_for_response_head(
        node,
        request,
        &target,
        &mut connection,
        outgoing,
        may_fail_over,
    )
    .await;
    let response = match head {
        Ok(response) => response,
        Err(error) => {
            node.gateway.borrow_mut().avoid(target.number, clock::now());
            guard.finish(TargetOutcome::Failed);
            let cause = format!("{:#}", error.cause);
            return match error.verdict {
                Verdict::NotRun => SendResult::NotRun(cause),
                _ => SendResult::MayHaveRun(cause),
            };
        }
    };
    let mut guard = guard;
    if !request.is_stream() {
        guard.record_progress(None, clock::now());
    }
    check_response_head(request, guard, connection, response)
}

fn check_response_head(
    request: &CallerRequest,
    guard: AttemptGuard,
    connection: PooledConnection,
    response: ReceivedResponse,
) -> SendResult {
    let status = response.status();
    let map = response.headers();
    let echoed = header_text(map, &headers::REQUEST_ID);
    let is_refusal =
        map.contains_key(headers::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST;
    guard.record_notices(read_notices(&response, &request.id, &guard.target.backend));
    if is_refusal && echoed.is_none_or(|id| id == request.id) {
        let faulty_backend = header_text(map, &headers::FAULTY_BACKEND)
            .unwrap_or("-")
            .to_owned();
        guard.finish(TargetOutcome::Refused);
        return SendResult::NotRun(format!(
            "status {} blamed={faulty_backend}",
            status.as_u16()
        ));
    }
    if echoed != Some(request.id.as_str()) {
        guard.finish(TargetOutcome::Failed);
        return SendResult::MayHaveRun("the answer belongs to another request".to_owned());
    }
    if map.contains_key(header::CONTENT_ENCODING) || !map.contains_key(headers::RESPONSE_SEAL) {
        let is_success = status.is_success();
        if is_success {
            guard.finish(TargetOutcome::Failed);
            return SendResult::MayHaveRun("the answer is not the backend server's own".to_owned());
        }
    }
    SendResult::Answered(Box::new(ActiveAttempt {
        guard,
        connection,
        response,
    }))
}

async fn wait_for_response_head(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    target: &RequestTarget,
    connection: &mut PooledConnection,
    outgoing: Request<crate::exchange::RequestBody>,
    may_fail_over: bool,
) -> Result<ReceivedResponse, ExchangeError> {
    let sent = clock::now();
    // The end of a planned stop makes no backend server slower.
    let first_wait = TimeSpan(request.own_time_left().0 * FIRST_ATTEMPT_PERCENT / 100);
    let exchange = send(&mut connection.connection, outgoing);
    tokio::pin!(exchange);
    loop {
        let remaining = request.time_left();
        if remaining.0 == 0 {
            return Err(ExchangeError::may_have_run(eyre!("time is up")));
        }
        let wait = STALL_CHECK_INTERVAL.min(remaining).as_duration();
        if let Ok(result) = timeout(wait, &mut exchange).await {
            return result;
        }
        let now = clock::now();
        let waited = now.since(sent);
        let is_unresponsive = if target.model.is_some() {
            is_stalled(node, target, waited, false, now)
        } else {
            waited >= first_wait
        };
        if may_fail_over && is_unresponsive {
            let facts = SilenceFacts::collect(node, target, waited, now);
            report_given_up(&request.id, target.backend.as_str(), "head", facts);
            return Err(ExchangeError::may_have_run(eyre!("no data for {waited}")));
        }
    }
}

/// Sends a request to one target after another until one responds, within the limits on sends, attempts and retries.
///
/// # Errors
///
/// Fails when no target accepts the request, or when it may have run and a retry is not allowed or not possible.
pub async fn send_with_retries(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    report: &mut RequestReport,
    last_event: Option<u64>,
) -> Result<ActiveAttempt, RequestFailure> {
    let rule = &request.route.rule;
    let may_retry = rule.kind.may_retry();
    // Whether the next send has been taken from the retry budget already.
    let mut is_granted = false;
    loop {
        let may_have_run = report.runs > 0;
        if request.time_left() < MIN_RETRY_TIME {
            return Err(terminal_failure(
                may_have_run,
                StatusCode::GATEWAY_TIMEOUT,
                "time_is_up",
                node,
            ));
        }
        if report.tried.len() >= MAX_SENDS {
            return Err(terminal_failure(
                may_have_run,
                StatusCode::BAD_GATEWAY,
                "no_more_sends",
                node,
            ));
        }
        let query = TargetQuery {
            service: &request.route.service,
            model: request.model.as_ref(),
            latency_target: rule.latency_target,
            tried: &report.tried,
            has_started: may_have_run,
            is_caller_retry: request.is_caller_retry,
        };
        let chosen = node
            .gateway
            .borrow_mut()
            .choose(&query, &node.peers.borrow(), clock::now());
        let choice = match chosen {
            Ok(choice) => choice,
            Err(refusal) => return Err(refusal_failure(may_have_run, refusal, node)),
        };
        let is_retry = !report.tried.is_empty();
        if is_retry && !std::mem::take(&mut is_granted) && !try_take_retry(node, request) {
            return Err(terminal_failure(
                may_have_run,
                StatusCode::BAD_GATEWAY,
                "no_repeat_budget",
                node,
            ));
        }
        report.record_choice(node, &choice);
        if choice.inputs.limit.is_some() {
            metrics::counter!("jaysaddle_limited_sends_total").increment(1);
        }
        if choice.inputs.held > 0 {
            metrics::counter!("jaysaddle_limit_diversions_total").increment(1);
        }
        let target = choice.target;
        let may_fail_over = may_retry && report.runs + 1 < rule.max_attempts;
        log::debug!(
            "event=send request={} backend={} repeat={is_retry}",
            request.id,
            target.backend
        );
        let options = SendOptions {
            target: target.clone(),
            is_late: choice.is_late,
            last_event,
            may_fail_over,
        };
        match send_once(node, request, options).await {
            SendResult::Answered(attempt) => {
                report.runs += 1;
                let failed = attempt.response.status().is_server_error();
                let should_retry = failed
                    && may_retry
                    && report.runs < rule.max_attempts
                    && request.time_left() > MIN_RETRY_TIME;
                if !should_retry {
                    return Ok(*attempt);
                }
                is_granted = try_take_retry(node, request);
                if !is_granted {
                    return Ok(*attempt);
                }
                attempt.guard.finish(TargetOutcome::Failed);
            }
            SendResult::NotRun(reason) => {
                log::info!(
                    "event=not_run request={} backend={} reason=\"{reason}\"",
                    request.id,
                    target.backend
                );
            }
            SendResult::MayHaveRun(reason) => {
                report.runs += 1;
                log::info!(
                    "event=may_have_run request={} backend={} reason=\"{reason}\"",
                    request.id,
                    target.backend
                );
                if !may_retry || report.runs >= rule.max_attempts {
                    let status = if request.time_left().0 == 0 {
                        StatusCode::GATEWAY_TIMEOUT
                    } else {
                        StatusCode::BAD_GATEWAY
                    };
                    return Err(RequestFailure::may_have_run(status, "backend_failed"));
                }
            }
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
    if may_have_run || !matches!(refusal, TargetRefusal::Limited { .. }) {
        return terminal_failure(may_have_run, status, &reason, node);
    }
    let retry_after = node.gateway.borrow_mut().retry_after(refusal);
    RequestFailure::unavailable(reason, retry_after)
}
