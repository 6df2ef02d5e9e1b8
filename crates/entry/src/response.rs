//! HTTP responses that this node sends to callers.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::Full;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::verdict::Verdict;

/// Body of a response to a caller. An error closes the connection before the end of the body, so that the caller
/// sees the response as truncated.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;
/// Response to a caller, either forwarded from a backend server or built by this node.
pub type CallerResponse = Response<ResponseBody>;

/// Reason code of requests that are refused or cut because the node stops.
pub const STOPPING_REASON: &str = "stopping";

/// Returns a body whose content is already in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Box::pin(Full::new(bytes.into()).map_err(|never: Infallible| match never {}))
}

/// Returns a response with an empty body.
pub fn empty_response(status: StatusCode) -> CallerResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns a response with status 200 and a JSON body.
pub fn json_response(body: Vec<u8>) -> CallerResponse {
    let mut response = Response::new(full_body(body));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Request failure that this node reports to the caller itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFailure {
    /// Status code of the error response.
    pub status: StatusCode,
    /// Whether a backend server may have run the request, which determines whether the caller can retry safely.
    pub verdict: Verdict,
    /// Machine-readable reason code, part of the response body.
    pub reason: CompactString,
    /// Delay after which the caller may retry, sent as `Retry-After`. Only set for status 503.
    pub retry_after: Option<TimeSpan>,
}

impl RequestFailure {
    /// Failure of a request that no backend server has run.
    pub fn not_run(status: StatusCode, reason: impl Into<CompactString>) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Failure of a request that was not run because there is no capacity for it now.
    pub fn unavailable(reason: impl Into<CompactString>, retry_after: TimeSpan) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// Failure of a request that a backend server may have run.
    pub fn may_have_run(status: StatusCode, reason: impl Into<CompactString>) -> Self {
        Self {
            status,
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// Builds the error response for the caller.
    pub fn into_response(self) -> CallerResponse {
        let body = format!(
            "{{\"verdict\":\"{}\",\"reason\":\"{}\"}}",
            self.verdict, self.reason
        );
        let mut response = json_response(body.into_bytes());
        *response.status_mut() = self.status;
        if let Some(retry_after) = self.retry_after {
            let seconds = format_compact!("{:.3}", retry_after.as_millis() as f64 / 1000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
