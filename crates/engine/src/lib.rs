//! Client of model engines and plain services.
//!
//! The border is the trait [`EngineClient`]; [`HttpEngine`] speaks HTTP. A streamed answer is read
//! on a thread of its own and handed over by a channel, because `minreq`'s timeout bounds the whole
//! answer and cannot show silence between two tokens.

pub mod http;

pub use http::HttpEngine;

use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_types::engine::EngineCompletion;
use jaysaddle_types::engine::EngineOrder;
use jaysaddle_types::engine::EngineRefusal;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::engine::OrderOutcome;
use jaysaddle_types::engine::TokenChunk;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::units::TimeSpan;

/// Why a report could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportFailure {
    /// No answer in time.
    Timeout,
    /// The connection was refused or reset.
    Refused,
    /// The answer could not be parsed.
    Invalid,
}

/// What a completion's stream delivers.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// The engine refused the request before running it.
    Refused(EngineRefusal),
    /// The connection could not be opened; no byte was sent.
    NotSent,
    /// A piece of the answer.
    Chunk(TokenChunk),
    /// The connection ended, with or without an end marker before.
    Ended,
}

/// What came of a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceOutcome {
    /// The connection could not be opened; no byte was sent.
    NotSent,
    /// The whole answer.
    Responded {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: CompactString,
        /// Body.
        body: Vec<u8>,
    },
    /// The call failed after the request was sent.
    Failed,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Request id, sent as `X-Request-Id`.
    pub request_id: RequestId,
    /// Path after the service's name.
    pub path: CompactString,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Body.
    pub body: Vec<u8>,
    /// Time allowed.
    pub timeout: TimeSpan,
}

/// Engines and services as jaysaddle uses them.
pub trait EngineClient: Send + Sync {
    /// Reads an engine's report on a new connection.
    ///
    /// # Errors
    ///
    /// Fails when there is no valid report within `timeout`.
    fn fetch_report(
        &self,
        address: SocketAddr,
        timeout: TimeSpan,
    ) -> Result<EngineReport, ReportFailure>;

    /// Sends an order; `None` means that no answer came and the order may have taken effect.
    fn send_order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: TimeSpan,
    ) -> Option<OrderOutcome>;

    /// Starts or resumes a completion. The receiver ends after [`StreamItem::Ended`],
    /// [`StreamItem::Refused`] or [`StreamItem::NotSent`]. Dropping it closes the connection when
    /// the next piece arrives.
    fn start_completion(
        &self,
        address: SocketAddr,
        completion: EngineCompletion,
    ) -> flume::Receiver<StreamItem>;

    /// Cancels a completion; a failure is ignored, since the engine ends it at its deadline.
    fn cancel(&self, address: SocketAddr, request: &RequestId);

    /// Calls a plain service.
    fn call_service(&self, address: SocketAddr, call: &ServiceCall) -> ServiceOutcome;
}
