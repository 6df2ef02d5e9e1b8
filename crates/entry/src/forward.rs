//! Handles a caller's request: route lookup, target selection, attempts and response.

use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use jaysaddle_adapter::headers;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::routes::RouteRefusal;
use jaysaddle_types::units::ByteCount;
use tokio::time::timeout;

use crate::attempt::ActiveAttempt;
use crate::attempt::send_with_retries;
use crate::bounded_body::BodyBounds;
use crate::bounded_body::read_bounded;
use crate::caller_request::CallerRequest;
use crate::caller_request::header_text;
use crate::caller_request::read_body;
use crate::caller_request::strip_connection_headers;
use crate::node::EntryNode;
use crate::relay::StreamRelay;
use crate::request_report::RequestReport;
use crate::response::CallerResponse;
use crate::response::RequestFailure;
use crate::response::full_body;

/// Maximum body size of a response that is not streamed.
const MAX_RESPONSE: ByteCount = ByteCount(16 << 20);

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
pub async fn handle(node: Rc<EntryNode>, incoming: Request<Incoming>) -> CallerResponse {
    let open = OpenRequest::new(&node);
    let received = clock::now();
    let id = header_text(incoming.headers(), &headers::REQUEST_ID)
        .unwrap_or("-")
        .into();
    let mut report = RequestReport::new(id, received);
    match try_handle(&node, incoming, &mut report, open).await {
        Ok(response) => response,
        Err(failure) => {
            report.finish_failed(&failure);
            failure.into_response()
        }
    }
}

async fn try_handle(
    node: &Rc<EntryNode>,
    incoming: Request<Incoming>,
    report: &mut RequestReport,
    open: OpenRequest,
) -> Result<CallerResponse, RequestFailure> {
    let (parts, body) = incoming.into_parts();
    let (route, limits) = find_route(node, &parts)?;
    let body = read_body(body, &limits).await?;
    let mut request = CallerRequest::new(parts, body, route, report.received());
    request.is_caller_retry |= is_known_unserved(node, &request);
    report.record_route(node, &request);
    // A caller's retry is for work that was already counted; counting it again would overestimate the demand.
    let size = request.size().filter(|_| !request.is_caller_retry);
    let work = node
        .gateway
        .borrow_mut()
        .record_request(&request.route.service, size.as_ref());
    report.record_work(work);
    let attempt = send_with_retries(node, &request, report, request.last_event).await?;
    if request.is_stream() && attempt.response.status().is_success() {
        let relay = StreamRelay::new(node.clone(), request, report.take(), attempt, open);
        return Ok(relay.into_response());
    }
    buffered_response(node, request, report, attempt).await
}

fn find_route(
    node: &EntryNode,
    parts: &http::request::Parts,
) -> Result<
    (
        jaysaddle_gateway::routes::RouteMatch,
        jaysaddle_types::serving::ClientLimits,
    ),
    RequestFailure,
> {
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
            guard,
            connection,
            response,
        } = attempt;
        let (mut parts, body) = response.into_parts();
        let remaining = Duration::from_millis(request.time_left().as_millis());
        let bounds = BodyBounds {
            limit: MAX_RESPONSE,
            budget: &node.budgets.requests,
            sender: guard.target.backend.as_str(),
        };
        let cause = match timeout(remaining, read_bounded(body, bounds)).await {
            Ok(Ok(body)) => {
                guard.finish(TargetOutcome::Answered);
                node.pool.put(connection, keep_alive_timeout);
                strip_connection_headers(&mut parts.headers);
                let body = full_body(body);
                report.finish_answered(parts.status.as_u16());
                return Ok(Response::from_parts(parts, body));
            }
            Ok(Err(error)) => format!("{error}"),
            Err(_) => "time is up".to_owned(),
        };
        log::info!(
            "event=answer_cut request={} backend={} cause=\"{cause}\"",
            request.id,
            guard.target.backend
        );
        let number = guard.target.number;
        node.gateway.borrow_mut().avoid(number, clock::now());
        guard.finish(TargetOutcome::Failed);
        drop(connection);
        let may_retry = rule.kind.may_retry() && report.runs < rule.max_attempts;
        if !may_retry {
            return Err(RequestFailure::may_have_run(
                StatusCode::BAD_GATEWAY,
                "answer_cut",
            ));
        }
        attempt = send_with_retries(node, &request, report, request.last_event).await?;
    }
}
