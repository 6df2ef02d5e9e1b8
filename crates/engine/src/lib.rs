//! Client of model engines and plain services.
//!
//! The interface is the trait [`EngineClient`]; [`HttpEngine`] implements it over HTTP. Each
//! streamed response is read on its own thread and delivered through a channel, because `minreq`'s
//! timeout covers the whole response and cannot detect a stall between two tokens.

pub mod http;

pub use http::HttpEngine;

use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_types::answer_status::AnswerStatus;
use jaysaddle_types::engine::EngineCompletion;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineRefusal;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::engine::TokenChunk;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::TimeSpan;

/// Reason why an engine's report could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportFailure {
    /// No response within the timeout.
    Timeout,
    /// The connection was refused or reset.
    Refused,
    /// The response has an unexpected status or could not be parsed.
    Invalid,
}

/// Item delivered by the stream of a completion.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// The engine refused the request before running it.
    Refused(EngineRefusal),
    /// The connection could not be opened; no byte was sent.
    NotSent,
    /// Next tokens of the completion, as sent by the engine.
    Chunk(TokenChunk),
    /// The connection ended, whether or not an end marker was received before.
    Ended,
}

/// Outcome of a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceOutcome {
    /// The connection could not be opened; no byte was sent.
    NotSent,
    /// A complete response was received.
    Responded {
        /// HTTP status of the response, including errors.
        status: AnswerStatus,
        /// Content type; `application/octet-stream` when the service states none.
        content_type: CompactString,
        /// Complete response body.
        body: Vec<u8>,
    },
    /// The call failed after the request was sent; the service may have executed it.
    Failed,
}

/// Request to a plain service, sent as HTTP POST.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Request id, sent as `X-Request-Id`.
    pub request_id: RequestId,
    /// Request path without the service's name and the leading slash.
    pub path: CompactString,
    /// Content type of the request body.
    pub content_type: CompactString,
    /// Request body as received from the caller.
    pub body: Vec<u8>,
    /// Time limit for the complete response.
    pub timeout: TimeSpan,
}

/// Operations on model engines and plain services.
pub trait EngineClient: Send + Sync {
    /// Fetches an engine's report on a new connection.
    ///
    /// # Errors
    ///
    /// Fails when no valid report is received within `timeout`.
    fn fetch_report(
        &self,
        address: SocketAddr,
        timeout: TimeSpan,
    ) -> Result<EngineReport, ReportFailure>;

    /// Sends an order to an engine. `None` means that no valid response was received; the order may
    /// still have taken effect.
    fn send_order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: TimeSpan,
    ) -> Option<OrderOutcome>;

    /// Starts or resumes a completion. The last item is [`StreamItem::Ended`],
    /// [`StreamItem::Refused`] or [`StreamItem::NotSent`]. After the receiver is dropped, the
    /// connection is closed when the next chunk arrives.
    fn start_completion(
        &self,
        address: SocketAddr,
        completion: EngineCompletion,
    ) -> flume::Receiver<StreamItem>;

    /// Cancels a completion. Failures are ignored, since the engine ends the completion
    /// at its deadline.
    fn cancel(&self, address: SocketAddr, request: &RequestId);

    /// Calls a plain service and waits for the complete response.
    fn call_service(&self, address: SocketAddr, call: &ServiceCall) -> ServiceOutcome;
}
