//! A fake of a caller: sends a request and repeats it until it has an answer or a final refusal.

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

/// Time for which a caller waits for one try.
pub const TRY_MS: u64 = 8_000;

/// Tries of one call.
pub const MAX_TRIES: u32 = 6;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer.
    Answered,
    /// A refusal that says that it was not run, on the last try.
    NotRun,
    /// A refusal that says that it may have run.
    MayHaveRun,
    /// No answer on the last try.
    Silent,
}

/// A call with all its tries.
#[derive(Clone, Debug)]
pub struct FakeCall {
    /// Number of the call; also its key and prompt.
    pub number: u64,
    /// Whether it goes to the plain service.
    pub service: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Home token, once a node gave one.
    pub home: Option<HomeToken>,
    /// Tries so far.
    pub tries: u32,
    /// The present try's id.
    pub request: Option<RequestId>,
    /// End.
    pub end: Option<CallEnd>,
    /// Ids of tries that were refused as not run.
    pub refused_as_not_run: Vec<RequestId>,
}

impl FakeCall {
    /// A call that has not been sent.
    pub fn new(number: u64) -> Self {
        Self {
            number,
            service: number % 4 == 3,
            idempotent: number.is_multiple_of(2),
            home: None,
            tries: 0,
            request: None,
            end: None,
            refused_as_not_run: Vec::new(),
        }
    }

    /// The request of a try that a node receives at `now`.
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
            deadline: now + TimeSpan::from_millis(TRY_MS),
            prefix: [].into(),
            prompt_tokens: TokenCount(8),
            max_tokens: TokenCount(8),
        }
    }
}
