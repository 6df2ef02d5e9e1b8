//! A single send of a request to a backend server, recorded with the gateway.

use std::rc::Rc;

use eyre::eyre;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use jaysaddle_adapter::headers;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::leaving::LeavingServer;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::gateway::AttemptRecord;
use jaysaddle_gateway::server_runs::RunEnd;
use jaysaddle_gateway::server_runs::RunNumber;
use jaysaddle_gateway::target::RequestTarget;
use jaysaddle_gateway::target::ServerProcess;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;

use crate::caller_request::CallerRequest;
use crate::caller_request::header_text;
use crate::caller_request::within_time;
use crate::crash_watch::check_server;
use crate::crash_watch::watch_process;
use crate::exchange::ExchangeError;
use crate::exchange::ReceivedResponse;
use crate::exchange::send;
use crate::node::EntryNode;
use crate::pool::PooledConnection;
use crate::send_history::SendHistory;
use crate::server_notices::ServerNotices;
use crate::server_notices::read_notices;
use crate::server_reach::is_isolated;
use crate::server_reach::suspect;
use crate::stated_limit::StatedLimit;

/// Registers a request at a target with the gateway and deregisters it when dropped.
pub struct AttemptGuard {
    node: Rc<EntryNode>,
    pub target: Rc<RequestTarget>,
    /// `None` once the request has ended.
    record: Option<AttemptRecord>,
    process: Rc<ServerProcess>,
    /// `None` once the end of the request at the backend server has been recorded.
    run: Option<RunNumber>,
    /// Whether the backend server may have received any of the request.
    was_sent: bool,
}

impl AttemptGuard {
    fn new(
        node: &Rc<EntryNode>,
        request: &CallerRequest,
        target: Rc<RequestTarget>,
        is_late: bool,
        predicted_ms: Option<u32>,
    ) -> Self {
        let now = clock::now();
        let content = request.content.clone();
        let process = Rc::new(target.process());
        let mut crashes = node.crashes.borrow_mut();
        let run = crashes.begin_run(target.server, content, now);
        crashes.identify(target.server, &process, now);
        drop(crashes);
        let mut gateway = node.gateway.borrow_mut();
        let mut record = gateway.record_start(&target, is_late, now);
        if let (Some(predicted_ms), Some(size)) = (predicted_ms, request.size()) {
            gateway.record_prompt(&mut record, size.prompt_tokens, predicted_ms);
        }
        drop(gateway);
        Self {
            node: node.clone(),
            target,
            record: Some(record),
            process,
            run: Some(run),
            was_sent: false,
        }
    }

    /// Records data from the target. `pause` is the time since the previous data, `None` for the first.
    pub fn record_progress(&mut self, pause: Option<TimeSpan>, now: Timestamp) {
        self.node.reach.record_data();
        if let Some(record) = &mut self.record {
            self.node
                .gateway
                .borrow_mut()
                .record_progress(record, pause, now);
        }
        if let Some(run) = self.run {
            let mut crashes = self.node.crashes.borrow_mut();
            crashes.record_data(self.target.server, run, now);
        }
    }

    /// Records that the connection has ended in the middle of the request, or of its response.
    pub fn record_break(&mut self) {
        self.end_run(RunEnd::Broken);
        check_server(&self.node, &self.process);
    }

    /// Records the end of the response. One that ends with its connection may also have ended with its backend server.
    pub fn record_response_end(&self, headers: &HeaderMap) {
        let is_framed = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        if !is_framed {
            check_server(&self.node, &self.process);
        }
    }

    fn end_run(&mut self, end: RunEnd) {
        let Some(run) = self.run.take() else {
            return;
        };
        let end = if self.was_sent { end } else { RunEnd::NotRun };
        let mut crashes = self.node.crashes.borrow_mut();
        crashes.end_run(self.target.server, run, end, clock::now());
        drop(crashes);
        if end == RunEnd::Closed {
            watch_process(&self.node, &self.process);
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
        if let Some(cold) = notices.cold {
            self.node.record_cold(backend, server, cold);
        }
    }

    /// Records the end of the request at the target.
    pub fn finish(mut self, outcome: TargetOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: TargetOutcome) {
        self.end_run(match outcome {
            TargetOutcome::Refused => RunEnd::NotRun,
            TargetOutcome::Answered => RunEnd::Answered,
            TargetOutcome::Failed | TargetOutcome::Abandoned => RunEnd::Closed,
        });
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
    headers::parse_keep_alive(value)
}

/// Outcome of a single send.
pub enum SendResult {
    Answered(Box<ActiveAttempt>),
    /// The backend server did not run the request.
    NotRun(String),
    /// The backend server may have run the request.
    MayHaveRun(String),
}

/// Parameters of a single send.
pub struct SendOptions {
    pub target: Rc<RequestTarget>,
    /// Whether the request is expected to miss its latency target, so that requests that can still
    /// meet theirs go first.
    pub is_late: bool,
    /// Predicted time to the first event, in milliseconds; `None` without a prediction.
    pub predicted_ms: Option<u32>,
    /// Number of the last event that the caller has received; the stream continues after it.
    pub last_event: Option<u64>,
}

/// Sends a request to one target and waits for the response headers, until the time of the request is up.
pub async fn send_once(
    node: &Rc<EntryNode>,
    request: &CallerRequest,
    sends: &SendHistory,
    options: SendOptions,
) -> SendResult {
    let SendOptions {
        target,
        is_late,
        predicted_ms,
        last_event,
    } = options;
    sends.begin_run();
    let mut guard = AttemptGuard::new(node, request, target.clone(), is_late, predicted_ms);
    let process = guard.process.clone();
    let needs_recent_use = !request.route.rule.kind.may_retry();
    let limit = node.gateway.borrow().connection_limit(&target);
    if is_isolated(node) {
        guard.finish(TargetOutcome::Abandoned);
        sends.cancel_run();
        return SendResult::NotRun("cut off from all backend servers".to_owned());
    }
    let mut connection = match node.pool.take(&process, needs_recent_use, limit).await {
        Ok(connection) => connection,
        Err(error) => {
            suspect(node);
            node.gateway.borrow_mut().avoid(target.number, clock::now());
            guard.finish(TargetOutcome::Failed);
            sends.cancel_run();
            return SendResult::NotRun(format!("connect: {:#}", error.cause));
        }
    };
    let outgoing = match request.for_target(&target, last_event, is_late) {
        Ok(outgoing) => outgoing,
        Err(error) => {
            sends.cancel_run();
            return SendResult::NotRun(format!("{error:#}"));
        }
    };
    guard.was_sent = true;
    let head = within_time(request, send(&mut connection.connection, outgoing)).await;
    let is_in_time = head.is_some();
    let head = head.unwrap_or_else(|| Err(ExchangeError::may_have_run(eyre!("time is up"))));
    let response = match head {
        Ok(response) => response,
        Err(error) => {
            if is_in_time {
                suspect(node);
            }
            guard.was_sent = error.verdict != Verdict::NotRun;
            if is_in_time && guard.was_sent {
                guard.record_break();
            }
            // The end of a planned stop is no failure of the backend server.
            if request.is_cut_by_shutdown() {
                guard.finish(TargetOutcome::Abandoned);
            } else {
                node.gateway.borrow_mut().avoid(target.number, clock::now());
                guard.finish(TargetOutcome::Failed);
            }
            let cause = format!("{:#}", error.cause);
            if error.verdict == Verdict::NotRun {
                sends.cancel_run();
                return SendResult::NotRun(cause);
            }
            return SendResult::MayHaveRun(cause);
        }
    };
    if !request.is_stream() {
        guard.record_progress(None, clock::now());
    }
    let result = check_response_head(request, guard, connection, response);
    if matches!(result, SendResult::NotRun(_)) {
        sends.cancel_run();
    }
    result
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
