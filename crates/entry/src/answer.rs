//! Answers to callers.

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

/// Body of an answer; an error ends the connection without the end mark of the body.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;
/// An answer.
pub type Answer = Response<AnswerBody>;

/// A body that is known as a whole.
pub fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Box::pin(Full::new(bytes.into()).map_err(|never: Infallible| match never {}))
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(whole_body(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// A JSON answer.
pub fn json(body: Vec<u8>) -> Answer {
    let mut answer = Response::new(whole_body(body));
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

/// A failure made by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeFailure {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Machine-readable reason.
    pub reason: CompactString,
    /// When the caller may come back.
    pub retry_after: Option<TimeSpan>,
}

impl NodeFailure {
    /// A request that was not run.
    pub fn not_run(status: StatusCode, reason: impl Into<CompactString>) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// A request that was not run for want of capacity.
    pub fn unavailable(reason: impl Into<CompactString>, retry_after: TimeSpan) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// A request that may have run.
    pub fn may_have_run(status: StatusCode, reason: impl Into<CompactString>) -> Self {
        Self {
            status,
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
            retry_after: None,
        }
    }

    /// The answer to the caller.
    pub fn into_answer(self) -> Answer {
        let body = format!(
            "{{\"verdict\":\"{}\",\"reason\":\"{}\"}}",
            self.verdict, self.reason
        );
        let mut answer = json(body.into_bytes());
        *answer.status_mut() = self.status;
        if let Some(retry_after) = self.retry_after {
            let seconds = format_compact!("{:.3}", retry_after.as_millis() as f64 / 1000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        answer
    }
}
