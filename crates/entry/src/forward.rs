//! Handles a caller's request: route lookup, target selection, attempts and response.

use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use jaysaddle_adapter::headers;
use jaysaddle_daemon::clock;
use jaysaddle_fleet::peers::PeerPhase;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::routes::RouteMatch;
use jaysaddle_gateway::routes::RouteRefusal;
use jaysaddle_types::serving::ClientLimits;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::verdict::Verdict;
use tokio::time::timeout;

use crate::attempt::ActiveAttempt;
use crate::bounded_body::BodyBounds;
use crate::bounded_body::BodyError;
use crate::bounded_body::read_bounded;
use crate::caller_body::CallerBody;
use crate::caller_request::CallerRequest;
use crate::caller_request::head_bytes;
use crate::caller_request::header_text;
use crate::caller_request::read_body;
use crate::caller_request::strip_connection_headers;
use crate::caller_request::time_limit;
use crate::caller_request::within_time;
use crate::content_control::check_content;
use crate::content_control::is_retry_withheld;
use crate::node::EntryNode;
use crate::pass_on::may_pass_on;
use crate::pass_on::pass_on;
use crate::relay::StreamRelay;
use crate::request_report::RequestReport;
use crate::response::CallerResponse;
use crate::response::RequestFailure;
use crate::response::STOPPING_REASON;
use crate::response::full_body;
use crate::send_race::send_with_retries;
use crate::server_reach::is_isolated;

/// Maximum body size of a response that is not streamed.
const MAX_RESPONSE: ByteCount = ByteCount(16 << 20);
/// Interval at which a request whose body arrives slowly is checked for a planned stop that it does not fit into.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of the body of a refused request that is read, in bytes.
const MAX_REFUSED_BODY_BYTES: usize = 64 * 1024;
/// Maximum time for reading the body of a refused request.
const REFUSED_BODY_TIME: Duration = Duration::from_millis(100);
/// `Retry-After` of a stopping node while other nodes serve.
const OTHER_NODE_RETRY_AFTER: TimeSpan = TimeSpan(50);
/// `Retry-After` of a stopping node when no other node serves; a process restarts within seconds.
const RESTART_RETRY_AFTER: TimeSpan = TimeSpan(1000);

/// Counts a request as open until dropped.
pub struct OpenRequest(Rc<EntryNode>);

impl OpenRequest {
    fn new(node: &Rc<EntryNode>) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self(node.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Handles a caller's request, including its logging.
pub async fn handle(node: Rc<EntryNode>, incoming: Request<CallerBody>) -> CallerResponse {
    let open = OpenRequest::new(&node);
    let received = clock::now();
    let id = header_text(incoming.headers(), &headers::REQUEST_ID)
        .unwrap_or("-")
        .into();
    node.shutdown.record_request();
    let mut report = RequestReport::new(node.clone(), id, received);
    match try_handle(&node, incoming, &mut report, open).await {
        Ok(response) => response,
        Err(mut failure) => {
            if failure.verdict != Verdict::NotRun && node.shutdown.cuts_requests(clock::now()) {
                failure.reason = STOPPING_REASON.into();
                node.shutdown.record_cut();
            }
            report.finish_failed(&failure);
            failure.into_response()
        }
    }
}

/// Refuses a request that arrived together with an earlier one, after whose response the connection was to be closed.
pub async fn refuse(node: Rc<EntryNode>, incoming: Request<CallerBody>) -> CallerResponse {
    node.shutdown.record_request();
    let (parts, body) = incoming.into_parts();
    // The next request on the connection begins after the body. Without its end, the connection ends after this one.
    let body = Limited::new(body, MAX_REFUSED_BODY_BYTES);
    if timeout(REFUSED_BODY_TIME, body.collect()).await.is_err() {
        log::debug!("event=refused_body_incomplete");
    }
    let id = header_text(&parts.headers, &headers::REQUEST_ID)
        .unwrap_or("-")
        .into();
    let failure = stopping_refusal(&node);
    RequestReport::new(node, id, clock::now()).finish_failed(&failure);
    failure.into_response()
}

async fn try_handle(
    node: &Rc<EntryNode>,
    incoming: Request<CallerBody>,
    report: &mut RequestReport,
    open: OpenRequest,
) -> Result<CallerResponse, RequestFailure> {
    let (parts, body) = incoming.into_parts();
    let (route, limits) = find_route(node, &parts)?;
    if head_bytes(&parts) > limits.header_bytes {
        return Err(RequestFailure::not_run(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "headers_too_large",
        ));
    }
    let ends_by = report.received() + time_limit(&parts.headers, &route);
    check_shutdown(node, &route, ends_by)?;
    let body = read_body(node, body, &limits);
    tokio::pin!(body);
    let body = loop {
        let is_read = timeout(SHUTDOWN_CHECK_INTERVAL, &mut body).await;
        check_shutdown(node, &route, ends_by)?;
        if let Ok(body) = is_read {
            break body?;
        }
    };
    let mut request = CallerRequest::new(node.clone(), parts, body, route, report.received());
    request.is_caller_retry |= is_known_unserved(node, &request);
    report.record_route(&request);
    check_content(node, &request, false)?;
    // A caller's retry is for work that was already counted; counting it again would overestimate the demand.
    let size = request.size().filter(|_| !request.is_caller_retry);
    let work = node
        .gateway
        .borrow_mut()
        .record_request(&request.route.service, size.as_ref());
    report.record_work(work);
    if node.settings.admission.is_paced {
        let query = request.target_query(&[], false);
        node.gateway
            .borrow_mut()
            .record_arrival(&query, clock::now());
    }
    if is_isolated(node) && may_pass_on(node, &request) {
        return pass_on(node, &request, report, open).await;
    }
    let attempt = send_with_retries(node, &request, &report.sends, request.last_event).await;
    let attempt = match attempt {
        Ok(attempt) => attempt,
        // The node has found out meanwhile that it is cut off.
        Err(failure)
            if failure.verdict == Verdict::NotRun
                && is_isolated(node)
                && !request.may_outlast_stop()
                && may_pass_on(node, &request) =>
        {
            return pass_on(node, &request, report, open).await;
        }
        Err(failure) => return Err(failure),
    };
    if request.is_stream() && attempt.response.status().is_success() {
        let relay = StreamRelay::new(node.clone(), request, report.take(), attempt, open);
        return Ok(relay.into_response());
    }
    buffered_response(node, request, report, attempt).await
}

fn find_route(
    node: &EntryNode,
    parts: &http::request::Parts,
) -> Result<(RouteMatch, ClientLimits), RequestFailure> {
    let mut gateway = node.gateway.borrow_mut();
    let retry_after = gateway.retry_after(TargetRefusal::NoTarget);
    let Some(routes) = gateway.routes() else {
        return Err(RequestFailure::unavailable("no_configuration", retry_after));
    };
    let host = header_text(&parts.headers, &header::HOST)
        .or_else(|| parts.uri.host())
        .unwrap_or("");
    let key = header_text(&parts.headers, &headers::ACCOUNT_KEY);
    let id = header_text(&parts.headers, &headers::REQUEST_ID).unwrap_or("");
    let route = routes
        .find(host, parts.uri.path(), key, id)
        .map_err(|refusal| match refusal {
            RouteRefusal::UnknownRoute => {
                RequestFailure::not_run(StatusCode::NOT_FOUND, "unknown_route")
            }
            RouteRefusal::UnknownKey => {
                RequestFailure::not_run(StatusCode::UNAUTHORIZED, "unknown_key")
            }
        })?;
    Ok((route, routes.config().limits))
}

/// Refuses a request that would not end before the process of a stopping node. `ends_by` is the time by which the
/// request ends in any case.
fn check_shutdown(
    node: &EntryNode,
    route: &RouteMatch,
    ends_by: Timestamp,
) -> Result<(), RequestFailure> {
    let Some(plan) = node.shutdown.plan() else {
        return Ok(());
    };
    let now = clock::now();
    let usual = node.service_times.borrow().usual(&route.rule.name, now);
    if plan.admits(route.rule.kind, ends_by.since(now), usual, now) {
        Ok(())
    } else {
        Err(stopping_refusal(node))
    }
}

/// Refusal of a stopping node, with the time after which another node or the next process can serve the request.
pub fn stopping_refusal(node: &EntryNode) -> RequestFailure {
    let has_other_node = node
        .peers
        .borrow()
        .live(clock::now())
        .any(|record| record.heartbeat.phase == PeerPhase::Serving);
    let retry_after = if has_other_node {
        OTHER_NODE_RETRY_AFTER
    } else {
        RESTART_RETRY_AFTER
    };
    RequestFailure::unavailable(STOPPING_REASON, retry_after)
}

/// Whether an earlier attempt of the request is known that was not served, at this node or at a peer.
fn is_known_unserved(node: &EntryNode, request: &CallerRequest) -> bool {
    request.caller_deadline().is_some_and(|deadline| {
        node.unserved.borrow().is_retry(
            request.fingerprint,
            deadline,
            &node.peers.borrow(),
            clock::now(),
        )
    })
}

/// Reads the complete response before forwarding it, so that a truncated one is detected and can be retried.
async fn buffered_response(
    node: &Rc<EntryNode>,
    request: CallerRequest,
    report: &mut RequestReport,
    mut attempt: ActiveAttempt,
) -> Result<CallerResponse, RequestFailure> {
    let rule = request.route.rule.clone();
    loop {
        let keep_alive_timeout = attempt.keep_alive_timeout();
        let ActiveAttempt {
            mut guard,
            connection,
            response,
        } = attempt;
        let (mut parts, body) = response.into_parts();
        let bounds = BodyBounds {
            limit: MAX_RESPONSE,
            budget: &node.budgets.requests,
            sender: guard.target.backend.as_str(),
        };
        let (cause, lacks_memory) = match within_time(&request, read_bounded(body, bounds)).await {
            Some(Ok(body)) => {
                guard.record_response_end(&parts.headers);
                guard.finish(TargetOutcome::Answered);
                node.pool.put(connection, keep_alive_timeout);
                strip_connection_headers(&mut parts.headers);
                let body = full_body(body);
                report.finish_answered(parts.status.as_u16());
                return Ok(Response::from_parts(parts, body));
            }
            Some(Err(error)) => {
                if matches!(error, BodyError::Broken(_)) {
                    guard.record_break();
                }
                (error.to_string(), matches!(error, BodyError::NoMemory(_)))
            }
            None => ("time is up".to_owned(), false),
        };
        log::info!(
            "event=answer_cut request={} backend={} cause=\"{cause}\"",
            request.id,
            guard.target.backend
        );
        let target = guard.target.clone();
        // The node's lack of memory is no fault of the backend server.
        if lacks_memory {
            guard.finish(TargetOutcome::Abandoned);
        } else {
            let number = guard.target.number;
            node.gateway.borrow_mut().avoid(number, clock::now());
            guard.finish(TargetOutcome::Failed);
        }
        drop(connection);
        let may_retry = rule.kind.may_retry() && report.sends.runs() < rule.max_attempts;
        if may_retry && is_retry_withheld(node, &request, &target).await {
            return Err(RequestFailure::may_have_run(
                StatusCode::BAD_GATEWAY,
                "server_ended",
            ));
        }
        if !may_retry {
            let reason = if lacks_memory {
                "no_memory"
            } else {
                "answer_cut"
            };
            return Err(RequestFailure::may_have_run(
                StatusCode::BAD_GATEWAY,
                reason,
            ));
        }
        attempt = send_with_retries(node, &request, &report.sends, request.last_event).await?;
    }
}
