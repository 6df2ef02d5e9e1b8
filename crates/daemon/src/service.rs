//! Calls of plain services on behalf of callers.

use compact_str::CompactString;
use jaysaddle_engine::ServiceCall;
use jaysaddle_engine::ServiceOutcome;
use jaysaddle_ledger::StoredResponse;
use jaysaddle_reducer::traffic_event::AttemptOutcome;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::units::TokenCount;
use jaysaddle_types::verdict::RequestRefusal;
use tiny_http::Request;

use crate::clock;
use crate::reply;
use crate::request::AttemptEnd;
use crate::request::AttemptSpec;
use crate::request::RequestRunner;
use crate::shared_state::SharedState;

/// Status code of a response that has no body by definition.
const NO_CONTENT: u16 = 204;

/// Runs one call of a plain service over all its attempts.
pub struct ServiceRunner<'a> {
    /// The daemon's shared state.
    pub shared: &'a SharedState,
    /// Id assigned by this node, sent as `X-Request-Id`.
    pub id: RequestId,
    /// Request path at the backend server, without the leading slash.
    pub path: CompactString,
    /// Content type of the request body.
    pub content_type: CompactString,
    /// Request body, sent unchanged with each attempt.
    pub body: Vec<u8>,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Timestamp,
    /// HTTP request of the caller; `None` once the response has been sent.
    pub request: Option<Request>,
}

impl ServiceRunner<'_> {
    fn call(&self, spec: &AttemptSpec) -> AttemptOutcome {
        let started = clock::now();
        let call = ServiceCall {
            request_id: self.id.clone(),
            path: self.path.clone(),
            content_type: self.content_type.clone(),
            body: self.body.clone(),
            timeout: self.deadline.since(started),
        };
        let broken = AttemptOutcome::Broken {
            received: 0,
            delivered: false,
            resumable: false,
        };
        match self.shared.engine.call_service(spec.address, &call) {
            ServiceOutcome::NotSent => AttemptOutcome::NotSent,
            ServiceOutcome::Failed if clock::now() >= self.deadline => {
                AttemptOutcome::DeadlineExceeded
            }
            ServiceOutcome::Failed => broken,
            ServiceOutcome::Responded { status, body, .. }
                if body.is_empty() && status.code() != NO_CONTENT =>
            {
                log::warn!("request={} the service returned an empty response", self.id);
                broken
            }
            ServiceOutcome::Responded {
                status,
                content_type,
                body,
            } => AttemptOutcome::Completed {
                response: StoredResponse {
                    status: status.code(),
                    content_type,
                    body: body.into(),
                },
                first_token: clock::now().since(started),
                cached_tokens: TokenCount(0),
            },
        }
    }
}

impl RequestRunner for ServiceRunner<'_> {
    fn run(&mut self, spec: &AttemptSpec) -> AttemptEnd {
        AttemptEnd {
            attempt: spec.attempt,
            outcome: self.call(spec),
        }
    }

    fn await_attempt(&mut self, attempt: u32) -> AttemptEnd {
        let outcome = AttemptOutcome::Broken {
            received: 0,
            delivered: false,
            resumable: false,
        };
        AttemptEnd { attempt, outcome }
    }

    fn complete(mut self: Box<Self>, response: &StoredResponse) {
        if let Some(request) = self.request.take() {
            reply::respond(
                request,
                response.status,
                &response.content_type,
                &response.body,
            );
        }
    }

    fn replay(self: Box<Self>, response: &StoredResponse) {
        self.complete(response);
    }

    fn refuse(mut self: Box<Self>, refusal: &RequestRefusal) {
        if let Some(request) = self.request.take() {
            reply::respond_refusal(request, refusal, self.shared.after_refusal());
        }
    }
}
