//! Calls of plain services.

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
use crate::hub::Hub;
use crate::reply;
use crate::request::AttemptOrder;
use crate::request::RequestRunner;

/// Status of an answer that has no body by its nature.
const NO_CONTENT: u16 = 204;

/// Serves one call.
pub struct ServiceRunner<'a> {
    /// Shared state.
    pub hub: &'a Hub,
    /// Id of the request.
    pub id: RequestId,
    /// Path at the backend server.
    pub path: CompactString,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Body.
    pub body: Vec<u8>,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// The caller.
    pub request: Option<Request>,
}

impl RequestRunner for ServiceRunner<'_> {
    fn run(&mut self, order: &AttemptOrder) -> AttemptOutcome {
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
        match self.hub.engine.call_service(order.address, &call) {
            ServiceOutcome::NotSent => AttemptOutcome::NotSent,
            ServiceOutcome::Failed if clock::now() >= self.deadline => {
                AttemptOutcome::DeadlineExceeded
            }
            ServiceOutcome::Failed => broken,
            ServiceOutcome::Answered { status, body, .. }
                if body.is_empty() && status != NO_CONTENT =>
            {
                log::warn!("request={} the service gave an empty answer", self.id);
                broken
            }
            ServiceOutcome::Answered {
                status,
                content_type,
                body,
            } => AttemptOutcome::Completed {
                answer: StoredResponse {
                    status,
                    content_type,
                    body: body.into(),
                },
                first_token: clock::now().since(started),
                cached_tokens: TokenCount(0),
            },
        }
    }

    fn complete(mut self: Box<Self>, answer: &StoredResponse) {
        if let Some(request) = self.request.take() {
            reply::respond(request, answer.status, &answer.content_type, &answer.body);
        }
    }

    fn replay(self: Box<Self>, answer: &StoredResponse) {
        self.complete(answer);
    }

    fn refuse(mut self: Box<Self>, refusal: &RequestRefusal) {
        if let Some(request) = self.request.take() {
            reply::respond_refusal(request, refusal);
        }
    }
}
