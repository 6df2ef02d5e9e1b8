//! Handles a caller's request: route lookup, target selection, attempts and response.

use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use jaysaddle_adapter::headers;
use jaysaddle_daemon::clock;
use jaysaddle_gateway::choice::TargetOutcome;
use jaysaddle_gateway::choice::TargetRefusal;
use jaysaddle_gateway::routes::RouteRefusal;
use tokio::time::timeout;

use crate::answer::Answer;
use crate::answer::NodeFailure;
use crate::answer::whole_body;
use crate::attempt::LiveAttempt;
use crate::attempt::attempt;
use crate::caller_request::CallerRequest;
use crate::caller_request::read_body;
use crate::caller_request::strip_connection_headers;
use crate::caller_request::text;
use crate::node::EntryNode;
use crate::relay::StreamRelay;
use crate::request_report::RequestReport;

/// Maximum body size of a response that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 << 20;

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
pub async fn handle(node: Rc<EntryNode>, incoming: Request<Incoming>) -> Answer {
    let open = OpenRequest::new(&node);
    let received = clock::now();
    let id = text(incoming.headers(), &headers::REQUEST_ID)
        .unwrap_or("-")
        .into();
    let mut report = RequestReport::new(id, received);
    match handle_inner(&node, incoming, &mut report, open).await {
        Ok(answer) => answer,
        Err(failure) => {
            report.failed(&failure);
            failure.into_answer()
        }
    }
}

async fn handle_inner(
    node: &Rc<EntryNode>,
    incoming: Request<Incoming>,
    report: &mut RequestReport,
    open: OpenRequest,
) -> Result<Answer, NodeFailure> {
    let (parts, body) = incoming.into_parts();
    let (route, limits) = find_route(node, &parts)?;
    let body = read_body(body, &limits).await?;
    let request = CallerRequest::new(parts, body, route, report.received());
    report.routed(node, &request);
    // A caller's retry asks for the same work again; counting it twice would double the demand.
    let size = request.size().filter(|_| !request.is_returning);
    node.gateway
        .borrow_mut()
        .fresh(&request.route.service, size.as_ref());
    let live = attempt(node, &request, report, request.last_event).await?;
    if request.is_stream() && live.response.status().is_success() {
        let relay = StreamRelay::new(node.clone(), request, report.take(), live, open);
        return Ok(relay.into_answer());
    }
    whole_answer(node, request, report, live).await
}

fn find_route(
    node: &EntryNode,
    parts: &http::request::Parts,
) -> Result<
    (
        jaysaddle_gateway::routes::RouteMatch,
        jaysaddle_types::serving::ClientLimits,
    ),
    NodeFailure,
> {
    let mut gateway = node.gateway.borrow_mut();
    let retry_after = gateway.retry_after(TargetRefusal::NoTarget);
    let Some(routes) = gateway.routes() else {
        return Err(NodeFailure::unavailable("no_configuration", retry_after));
    };
    let host = text(&parts.headers, &header::HOST)
        .or_else(|| parts.uri.host())
        .unwrap_or("");
    let key = text(&parts.headers, &headers::ACCOUNT_KEY);
    let id = text(&parts.headers, &headers::REQUEST_ID).unwrap_or("");
    let route = routes
        .find(host, parts.uri.path(), key, id)
        .map_err(|refusal| match refusal {
            RouteRefusal::UnknownRoute => {
                NodeFailure::not_run(StatusCode::NOT_FOUND, "unknown_route")
            }
            RouteRefusal::UnknownKey => {
                NodeFailure::not_run(StatusCode::UNAUTHORIZED, "unknown_key")
            }
        })?;
    Ok((route, routes.config().limits))
}

/// Reads the whole response before passing it on, so that a truncated one is detected and can be retried.
async fn whole_answer(
    node: &Rc<EntryNode>,
    request: CallerRequest,
    report: &mut RequestReport,
    mut live: LiveAttempt,
) -> Result<Answer, NodeFailure> {
    let rule = request.route.rule.clone();
    loop {
        let stated_idle = live.stated_idle();
        let LiveAttempt {
            guard,
            connection,
            response,
        } = live;
        let (mut parts, body) = response.into_parts();
        let left = Duration::from_millis(request.time_left().as_millis());
        let limited = Limited::new(body, MAX_ANSWER_BYTES);
        let cause = match timeout(left, limited.collect()).await {
            Ok(Ok(collected)) => {
                guard.finish(TargetOutcome::Answered);
                node.pool.put(connection, stated_idle);
                strip_connection_headers(&mut parts.headers);
                let body = whole_body(collected.to_bytes());
                report.answered(parts.status.as_u16());
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
        guard.finish(TargetOutcome::Failed);
        let may_repeat = rule.kind.may_repeat() && report.runs < rule.max_attempts;
        if !may_repeat {
            return Err(NodeFailure::may_have_run(
                StatusCode::BAD_GATEWAY,
                "answer_cut",
            ));
        }
        live = attempt(node, &request, report, request.last_event).await?;
    }
}
