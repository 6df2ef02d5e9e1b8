//! Fake of a caller, which retries a request until it receives a response or a final refusal.

use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::IdempotencyKey;
use jaysaddle_types::ids::ModelId;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::request::BodyFingerprint;
use jaysaddle_types::request::HomeToken;
use jaysaddle_types::request::RequestPriority;
use jaysaddle_types::request::RequestSpec;
use jaysaddle_types::request::RequestTarget;
use jaysaddle_types::units::TimeSpan;
use jaysaddle_types::units::Timestamp;
use jaysaddle_types::units::TokenCount;

/// Deadline of one attempt, relative to its start.
pub const ATTEMPT_TIMEOUT_MS: u64 = 8_000;

/// Maximum number of attempts of a call.
pub const MAX_ATTEMPTS: u32 = 6;

/// Outcome of a call or of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller received a complete response.
    Answered,
    /// The attempt was refused as not run.
    NotRun,
    /// The attempt was refused as may have run.
    MayHaveRun,
    /// The attempt received no response.
    NoResponse,
}

/// A call with the state of its attempts.
#[derive(Clone, Debug)]
pub struct FakeCall {
    /// Number of the call, which determines its idempotency key and its body.
    pub number: u64,
    /// Whether the call is for the plain service instead of the model.
    pub service: bool,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Home token; absent until a node has provided one.
    pub home: Option<HomeToken>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Request id of the current attempt.
    pub request: Option<RequestId>,
    /// Final outcome; absent while the call is in progress.
    pub end: Option<CallEnd>,
    /// Request ids of the attempts that were refused as not run.
    pub refused_as_not_run: Vec<RequestId>,
}

impl FakeCall {
    /// Creates a call without attempts.
    pub fn new(number: u64) -> Self {
        Self {
            number,
            service: number % 4 == 3,
            idempotent: number.is_multiple_of(2),
            home: None,
            attempts: 0,
            request: None,
            end: None,
            refused_as_not_run: Vec::new(),
        }
    }

    /// Returns the request of an attempt that a node receives at `now`.
    pub fn spec(&self, id: RequestId, now: Timestamp) -> RequestSpec {
        let target = if self.service {
            RequestTarget::Service(ServiceId::new("promises"))
        } else {
            RequestTarget::Model(ModelId::new("reminder"))
        };
        let key = IdempotencyKey::new(compact_str::format_compact!("key-{}", self.number));
        RequestSpec {
            id,
            account: AccountId::new("lender-a"),
            target,
            idempotent: self.idempotent,
            key: self.home.clone().map(|home| (key, Some(home))),
            fingerprint: BodyFingerprint::from_body("test", &self.number.to_le_bytes()),
            priority: RequestPriority::default(),
            deadline: now + TimeSpan::from_millis(ATTEMPT_TIMEOUT_MS),
            prefix: [].into(),
            prompt_tokens: TokenCount(8),
            max_tokens: TokenCount(8),
        }
    }
}
