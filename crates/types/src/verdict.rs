//! Verdicts on requests: whether a request may have been executed, and why it was refused.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::units::TimeSpan;

/// Whether a request may have been executed on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of the request was sent to a backend server, or the backend server refused it before
    /// executing it. A retry is safe.
    NotRun,
    /// The request may have been executed. Retrying a non-idempotent request is not safe.
    MayHaveRun,
    /// The request was executed to completion.
    Ran,
}

impl Verdict {
    /// Combines the verdicts of several attempts of one request. `Ran` takes precedence over
    /// `MayHaveRun`, which takes precedence over `NotRun`.
    pub fn combine(self, other: Verdict) -> Verdict {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        })
    }
}

impl FromStr for Verdict {
    type Err = CompactString;

    fn from_str(text: &str) -> Result<Self, CompactString> {
        match text {
            "not_run" => Ok(Verdict::NotRun),
            "may_have_run" => Ok(Verdict::MayHaveRun),
            "ran" => Ok(Verdict::Ran),
            other => Err(other.into()),
        }
    }
}

/// Machine-readable reason of a refusal; stable text that callers may match on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReasonCode {
    /// The body or a header cannot be parsed.
    InvalidRequest,
    /// The body or the headers exceed their size limit.
    TooLarge,
    /// The credential is missing or unknown.
    Unauthorized,
    /// The model is unknown, or the account may not use it.
    UnknownModel,
    /// The service is unknown, or the account may not use it.
    UnknownService,
    /// The deadline has passed.
    DeadlineExceeded,
    /// No group of the model is complete and ready.
    NoWholeGroup,
    /// No backend server of the service is live.
    NoLiveServer,
    /// The account has used up its share.
    AccountLimit,
    /// The system is shedding load of this priority.
    Overloaded,
    /// The node has not received a configuration yet.
    NotConfigured,
    /// The node is shutting down.
    Stopping,
    /// A non-idempotent request with an idempotency key lacks the home token that discovery issues.
    HomeTokenRequired,
    /// The node that holds the key's claim has failed or cannot be reached.
    HomeUnreachable,
    /// The key was issued before the period that the ledger covers.
    KeyExpired,
    /// The key was already used with another body.
    KeyConflict,
    /// The request with this key is still being executed.
    StillRunning,
    /// The backend server refused the request before executing it.
    BackendRefused,
    /// The backend server failed, or its response was truncated or empty.
    BackendFailed,
    /// An invariant check blocked the request.
    Internal,
}

impl ReasonCode {
    /// Returns the stable text of the code.
    pub fn as_str(self) -> &'static str {
        match self {
            ReasonCode::InvalidRequest => "invalid_request",
            ReasonCode::TooLarge => "too_large",
            ReasonCode::Unauthorized => "unauthorized",
            ReasonCode::UnknownModel => "unknown_model",
            ReasonCode::UnknownService => "unknown_service",
            ReasonCode::DeadlineExceeded => "deadline_exceeded",
            ReasonCode::NoWholeGroup => "no_whole_group",
            ReasonCode::NoLiveServer => "no_live_server",
            ReasonCode::AccountLimit => "account_limit",
            ReasonCode::Overloaded => "overloaded",
            ReasonCode::NotConfigured => "not_configured",
            ReasonCode::Stopping => "stopping",
            ReasonCode::HomeTokenRequired => "home_token_required",
            ReasonCode::HomeUnreachable => "home_unreachable",
            ReasonCode::KeyExpired => "key_expired",
            ReasonCode::KeyConflict => "key_conflict",
            ReasonCode::StillRunning => "still_running",
            ReasonCode::BackendRefused => "backend_refused",
            ReasonCode::BackendFailed => "backend_failed",
            ReasonCode::Internal => "internal",
        }
    }

    /// Returns the HTTP status that the code is sent with.
    pub fn http_status(self) -> u16 {
        match self {
            ReasonCode::InvalidRequest | ReasonCode::HomeTokenRequired => 400,
            ReasonCode::Unauthorized => 401,
            ReasonCode::UnknownModel | ReasonCode::UnknownService => 404,
            ReasonCode::StillRunning | ReasonCode::KeyExpired => 409,
            ReasonCode::TooLarge => 413,
            ReasonCode::KeyConflict => 422,
            ReasonCode::AccountLimit => 429,
            ReasonCode::Internal => 500,
            ReasonCode::BackendFailed | ReasonCode::HomeUnreachable => 502,
            ReasonCode::DeadlineExceeded => 504,
            ReasonCode::NoWholeGroup
            | ReasonCode::NoLiveServer
            | ReasonCode::Overloaded
            | ReasonCode::NotConfigured
            | ReasonCode::Stopping
            | ReasonCode::BackendRefused => 503,
        }
    }
}

impl fmt::Display for ReasonCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A refusal as sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRefusal {
    /// Whether the request may have been executed.
    pub verdict: Verdict,
    /// Machine-readable reason of the refusal.
    pub reason: ReasonCode,
    /// Human-readable explanation, one sentence.
    pub message: CompactString,
    /// Time after which to retry; present only with [`Verdict::NotRun`], where a retry can succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<TimeSpanMillis>,
}

/// A span serialized as a plain number of milliseconds, for fields whose name states the unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeSpanMillis(pub u64);

impl From<TimeSpan> for TimeSpanMillis {
    fn from(span: TimeSpan) -> Self {
        Self(span.as_millis())
    }
}

impl RequestRefusal {
    /// Creates a refusal of a request that was not executed and that a retry cannot help.
    pub fn not_run(reason: ReasonCode, message: impl Into<CompactString>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of a request that was not executed and may be retried after `span`.
    pub fn retry_after(
        reason: ReasonCode,
        message: impl Into<CompactString>,
        span: TimeSpan,
    ) -> Self {
        Self {
            retry_after_ms: Some(span.into()),
            ..Self::not_run(reason, message)
        }
    }

    /// Creates a refusal of a request that may have been executed.
    pub fn may_have_run(reason: ReasonCode, message: impl Into<CompactString>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(reason, message)
        }
    }
}
