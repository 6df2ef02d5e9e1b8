//! Sends a request to backend servers, with retries, until one responds, and records each attempt with the
//! gateway.

use std::rc::Rc;

use compact_str::format_compact;
use eyre::eyre;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use jaysaddle_adapter::headers;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetQuery;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::gateway::AttemptAccount;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;
use tokio::time::timeout;

use crate::answer::NodeFailure;
use crate::caller_request::CallerRequest;
use crate::caller_request::text;
use crate::exchange::ExchangeError;
use crate::exchange::send;
use crate::node::EntryNode;
use crate::pool::BackendKey;
use crate::pool::PooledConnection;
use crate::request_report::RequestReport;

/// Maximum number of sends per request, refused ones included. Refusals also use up the shared retry budget.
const MAX_SENDS: usize = 4;
/// Minimum remaining time for another send; with less, no response would arrive before the deadline.
pub const LEAST_TIME_LEFT: TimeSpan = TimeSpan(60);
/// Minimum number of connections that each node may open to a backend server, whatever its share.
const LEAST_CONNECTIONS: u32 = 2;
/// Percentage of the remaining time that an idempotent request waits for its first backend server. Normal work
/// takes a small part of the time budget, so a backend server that needs more is taken to hang.
const FIRST_WAIT_PERCENT: u64 = 55;
/// Multiple of the silence limit after which a started stream fails over even though its target still serves other
/// requests.
const STREAM_SILENCE_FACTOR: u64 = 3;
/// The same for a request that waits for its first event. Callers wait at least as long.
const FIRST_SILENCE_FACTOR: u64 = 5;
/// Interval at which a silent backend server is evaluated again.
pub const SILENCE_STEP: TimeSpan = TimeSpan(150);

/// Registers a request at a target with the gateway and deregisters it when dropped.
pub struct AttemptGuard {
    node: Rc<EntryNode>,
    pub target: Rc<RequestTarget>,
    /// `None` once the request has ended.
    account: Option<AttemptAccount>,
}

impl AttemptGuard {
    fn new(node: &Rc<EntryNode>, target: Rc<RequestTarget>, is_late: bool) -> Self {
        let now = clock::now();
        let account = node.gateway.borrow_mut().started(&target, is_late, now);
        Self {
            node: node.clone(),
            target,
            account: Some(account),
        }
    }

    /// Records data from the target. `pause` is the time since the previous data, `None` for the first.
    pub fn progressed(&mut self, pause: Option<TimeSpan>, now: Timestamp) {
        if let Some(account) = &mut self.account {
            self.node
                .gateway
                .borrow_mut()
                .progressed(account, pause, now);
        }
    }

    /// Records the end of the request at the target.
    pub fn finish(mut self, outcome: TargetOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: TargetOutcome) {
        if let Some(account) = self.account.take() {
            self.node
                .gateway
                .borrow_mut()
                .ended(&account, outcome, clock::now());
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(TargetOutcome::Abandoned);
    }
}

/// Attempt for which the response headers have arrived.
pub struct LiveAttempt {
    pub guard: AttemptGuard,
    pub connection: PooledConnection,
    pub response: Response<Incoming>,
}

impl LiveAttempt {
    /// Idle timeout that the backend server states in its `Keep-Alive` header.
    pub fn stated_idle(&self) -> Option<TimeSpan> {
        stated_idle(&self.response)
    }
}

fn stated_idle(response: &Response<Incoming>) -> Option<TimeSpan> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(TimeSpan::from_secs(seconds.parse().ok()?))
}

/// Outcome of a single send.
enum SendResult {
    Answered(Box<LiveAttempt>),
    /// The backend server did not run the request.
    NotRun(String),
    /// The backend server may have run the request.
    Lost(String),
}

/// Returns whether a silent attempt should be abandoned, given the silence of the whole target. A request that
/// waits for its first event tolerates a longer silence than a started stream, because a full queue delays the
/// first event.
pub fn is_stalled(
    node: &EntryNode,
    target: &RequestTarget,
    own_silence: TimeSpan,
    has_begun: bool,
    now: Timestamp,
) -> bool {
    let gateway = node.gateway.borrow();
    let limit = gateway.silence_limit();
    let target_silence = gateway.silence_of(target.number, now).unwrap_or_default();
    let own_factor = if has_begun {
        STREAM_SILENCE_FACTOR
    } else {
        FIRST_SILENCE_FACTOR
    };
    let is_target_silent = own_silence >= limit && target_silence >= limit;
    is_target_silent || own_silence.0 >= limit.0 * own_factor
}

/// This node's share of the connections that a backend server accepts.
fn connection_limit(node: &EntryNode, target: &RequestTarget) -> u32 {
    let all = node
        .config
        .borrow()
        .as_ref()
        .and_then(|config| Some(config.service(&target.service)?.max_connections))
        .unwrap_or(u32::MAX);
    (all / node.gateway.borrow().node_count()).max(LEAST_CONNECTIONS)
}

/// Parameters of a single send.
struct SendPlan {
    target: Rc<RequestTarget>,
    /// Whether the request is expected to miss its latency target, so that requests that can still meet theirs go
    /// first.
    is_late: bool,
    /// Number of the last event that the caller has received; the stream continues after it.
    last_event: Option<u64>,
    /// Whether a silent target may be abandoned in favor of another one.
    may_give_up: bool,
}

/// Sends a request to one target and waits for the response headers.
async fn send_once(node: &Rc<EntryNode>, request: &CallerRequest, plan: SendPlan) -> SendResult {
    let SendPlan {
        target,
        is_late,
        last_event,
        may_give_up,
    } = plan;
    let guard = AttemptGuard::new(node, target.clone(), is_late);
    let key = BackendKey {
        id: target.backend.clone(),
        started: target.started,
        address: target.address,
    };
    let must_be_fresh = !request.route.rule.kind.may_repeat();
    let limit = connection_limit(node, &target);
    let mut connection = match node.pool.take(&key, must_be_fresh, limit).await {
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
    let head = wait_for_head(
        node,
        request,
        &target,
        &mut connection,
        outgoing,
        may_give_up,
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
                _ => SendResult::Lost(cause),
            };
        }
    };
    let mut guard = guard;
    if !request.is_stream() {
        guard.progressed(None, clock::now());
    }
    judge_head(node, request, guard, connection, response)
}

fn judge_head(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    guard: AttemptGuard,
    connection: PooledConnection,
    response: Response<Incoming>,
) -> SendResult {
    let status = response.status();
    let map = response.headers();
    let echoed = text(map, &headers::REQUEST_ID);
    let is_refusal =
        map.contains_key(headers::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST;
    if is_refusal && echoed.is_none_or(|id| id == request.id) {
        let blamed = text(map, &headers::FAULTY_BACKEND)
            .unwrap_or("-")
            .to_owned();
        let number = guard.target.number;
        guard.finish(TargetOutcome::Refused);
        node.gateway.borrow_mut().avoid(number, clock::now());
        return SendResult::NotRun(format!("status {} blamed={blamed}", status.as_u16()));
    }
    if echoed != Some(request.id.as_str()) {
        guard.finish(TargetOutcome::Failed);
        return SendResult::Lost("the answer belongs to another request".to_owned());
    }
    if map.contains_key(header::CONTENT_ENCODING) || !map.contains_key(headers::RECEIPT) {
        let is_success = status.is_success();
        if is_success {
            guard.finish(TargetOutcome::Failed);
            return SendResult::Lost("the answer is not the backend server's own".to_owned());
        }
    }
    SendResult::Answered(Box::new(LiveAttempt {
        guard,
        connection,
        response,
    }))
}

async fn wait_for_head(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    target: &RequestTarget,
    connection: &mut PooledConnection,
    outgoing: Request<crate::exchange::RequestBody>,
    may_give_up: bool,
) -> Result<Response<Incoming>, ExchangeError> {
    let sent = clock::now();
    let first_wait = TimeSpan(request.time_left().0 * FIRST_WAIT_PERCENT / 100);
    let exchange = send(&mut connection.connection, outgoing);
    tokio::pin!(exchange);
    loop {
        let left = request.time_left();
        if left.0 == 0 {
            return Err(ExchangeError::may_have_run(eyre!("time is up")));
        }
        let wait = SILENCE_STEP.min(left).as_duration();
        if let Ok(result) = timeout(wait, &mut exchange).await {
            return result;
        }
        let now = clock::now();
        let waited = now.since(sent);
        let is_hanging = if target.model.is_some() {
            is_stalled(node, target, waited, false, now)
        } else {
            waited >= first_wait
        };
        if may_give_up && is_hanging {
            return Err(ExchangeError::may_have_run(eyre!("no data for {waited}")));
        }
    }
}

/// Sends a request to one target after another until one responds.
///
/// # Errors
///
/// Fails when no target accepts the request, or when it may have run and a retry is not allowed or not possible.
pub async fn attempt(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    report: &mut RequestReport,
    last_event: Option<u64>,
) -> Result<LiveAttempt, NodeFailure> {
    let rule = &request.route.rule;
    let may_repeat = rule.kind.may_repeat();
    loop {
        let has_run = report.runs > 0;
        if request.time_left() < LEAST_TIME_LEFT {
            return Err(ended(
                has_run,
                StatusCode::GATEWAY_TIMEOUT,
                "time_is_up",
                node,
            ));
        }
        if report.tried.len() >= MAX_SENDS {
            return Err(ended(
                has_run,
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
            is_repeat: has_run,
            is_returning: request.is_returning,
        };
        let chosen = node
            .gateway
            .borrow_mut()
            .choose(&query, &node.peers.borrow(), clock::now());
        let choice = match chosen {
            Ok(choice) => choice,
            Err(refusal) => return Err(refused(has_run, refusal, node)),
        };
        let is_repeat = !report.tried.is_empty();
        if is_repeat && !take_repeat(node, request) {
            return Err(ended(
                has_run,
                StatusCode::BAD_GATEWAY,
                "no_repeat_budget",
                node,
            ));
        }
        report.chosen(node, &choice);
        let target = choice.target;
        let may_give_up = may_repeat && report.runs + 1 < rule.max_attempts;
        log::debug!(
            "event=send request={} backend={} repeat={is_repeat}",
            request.id,
            target.backend
        );
        let plan = SendPlan {
            target: target.clone(),
            is_late: choice.is_late,
            last_event,
            may_give_up,
        };
        match send_once(node, request, plan).await {
            SendResult::Answered(live) => {
                report.runs += 1;
                let failed = live.response.status().is_server_error();
                let again = failed
                    && may_repeat
                    && report.runs < rule.max_attempts
                    && request.time_left() > LEAST_TIME_LEFT;
                if !again {
                    return Ok(*live);
                }
                if !take_repeat(node, request) {
                    return Ok(*live);
                }
                live.guard.finish(TargetOutcome::Failed);
            }
            SendResult::NotRun(reason) => {
                log::info!(
                    "event=not_run request={} backend={} reason=\"{reason}\"",
                    request.id,
                    target.backend
                );
            }
            SendResult::Lost(reason) => {
                report.runs += 1;
                log::info!(
                    "event=may_have_run request={} backend={} reason=\"{reason}\"",
                    request.id,
                    target.backend
                );
                if !may_repeat || report.runs >= rule.max_attempts {
                    let status = if request.time_left().0 == 0 {
                        StatusCode::GATEWAY_TIMEOUT
                    } else {
                        StatusCode::BAD_GATEWAY
                    };
                    return Err(NodeFailure::may_have_run(status, "backend_failed"));
                }
            }
        }
    }
}

/// Takes a retry from the service's shared budget. Returns false when the budget is used up.
fn take_repeat(node: &EntryNode, request: &CallerRequest) -> bool {
    let service = &request.route.service;
    let is_taken = node.gateway.borrow_mut().try_repeat(service);
    let name = if is_taken {
        "jaysaddle_repeats_total"
    } else {
        "jaysaddle_repeats_withheld_total"
    };
    metrics::counter!(name).increment(1);
    is_taken
}

fn ended(has_run: bool, status: StatusCode, reason: &str, node: &EntryNode) -> NodeFailure {
    if has_run {
        NodeFailure::may_have_run(status, reason)
    } else {
        let retry_after = node.gateway.borrow_mut().retry_after(TargetRefusal::Full);
        NodeFailure::unavailable(reason, retry_after)
    }
}

fn refused(has_run: bool, refusal: TargetRefusal, node: &EntryNode) -> NodeFailure {
    ended(
        has_run,
        StatusCode::BAD_GATEWAY,
        &format_compact!("{refusal}"),
        node,
    )
}
