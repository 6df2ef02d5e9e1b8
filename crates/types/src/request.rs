//! Requests as the data plane handles them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::AccountId;
use crate::ids::IdempotencyKey;
use crate::ids::Incarnation;
use crate::ids::ModelId;
use crate::ids::NodeId;
use crate::ids::RequestId;
use crate::ids::ServiceId;
use crate::node::NodeKey;
use crate::units::Timestamp;
use crate::units::TokenCount;

/// Model or service that a request is addressed to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestTarget {
    /// A completion by a model.
    Model(ModelId),
    /// A call of a plain service.
    Service(ServiceId),
}

/// Request priority from 0 to 9; 9 is the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestPriority(u8);

impl RequestPriority {
    /// The highest priority.
    pub const MAX: RequestPriority = RequestPriority(9);

    /// Creates a priority; levels above the maximum are clamped to it.
    pub fn new(level: u8) -> Self {
        Self(level.min(Self::MAX.0))
    }

    /// The priority as a number from 0 to 9.
    pub fn level(self) -> u8 {
        self.0
    }
}

impl Default for RequestPriority {
    fn default() -> Self {
        Self(5)
    }
}

impl fmt::Display for RequestPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestPriority {
    type Err = CompactString;

    fn from_str(text: &str) -> Result<Self, CompactString> {
        match text.parse::<u8>() {
            Ok(level) if level <= Self::MAX.0 => Ok(Self(level)),
            _ => Err("expected a priority from 0 to 9".into()),
        }
    }
}

/// Identifies the home of an idempotency key: the node run that records the key's claim, and the
/// time at which discovery issued the token.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeToken {
    /// The node run that owns the claim.
    pub node: NodeKey,
    /// Time of issue, on that node's clock.
    pub issued: Timestamp,
}

impl fmt::Display for HomeToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}/{}/{}",
            self.node.id, self.node.incarnation, self.issued.0
        )
    }
}

impl FromStr for HomeToken {
    type Err = CompactString;

    fn from_str(text: &str) -> Result<Self, CompactString> {
        let error = || CompactString::from("expected node/incarnation/issued_ms");
        let mut fields = text.rsplitn(3, '/');
        let issued = fields.next().ok_or_else(error)?;
        let incarnation = fields.next().ok_or_else(error)?;
        let id = fields.next().ok_or_else(error)?;
        Ok(Self {
            node: NodeKey {
                id: id.parse::<NodeId>().map_err(|_| error())?,
                incarnation: incarnation.parse::<Incarnation>().map_err(|_| error())?,
            },
            issued: Timestamp(issued.parse().map_err(|_| error())?),
        })
    }
}

/// SHA-256 of a request's target and body; detects a key that is reused for another request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyFingerprint(pub [u8; 32]);

impl BodyFingerprint {
    /// Computes the fingerprint of `body` sent to `path`.
    pub fn from_body(path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(path.as_bytes());
        hasher.update([0]);
        hasher.update(body);
        Self(hasher.finalize().into())
    }
}

/// A request as admitted to the data plane. The body stays with the thread of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Id, unique in the fleet.
    pub id: RequestId,
    /// The authenticated account.
    pub account: AccountId,
    /// Model or service that the request is addressed to.
    pub target: RequestTarget,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The caller's idempotency key with its home; the home is `None` when the caller stated none.
    pub key: Option<(IdempotencyKey, Option<HomeToken>)>,
    /// Fingerprint of target and body.
    pub fingerprint: BodyFingerprint,
    /// Priority in the admission queue.
    pub priority: RequestPriority,
    /// Time at which the caller stops waiting, on this node's clock.
    pub deadline: Timestamp,
    /// Hashes of the prompt's leading blocks, each covering all blocks before it.
    pub prefix: Arc<[u64]>,
    /// Estimated size of the prompt.
    pub prompt_tokens: TokenCount,
    /// Maximum length of the output.
    pub max_tokens: TokenCount,
}

/// Size of a prompt block, in bytes; prefix affinity compares prompts block by block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Maximum number of prompt blocks that are hashed, which bounds the work per request.
pub const MAX_PREFIX_BLOCKS: usize = 64;

/// Hashes the complete leading blocks of a prompt; each hash covers all blocks before it.
pub fn prefix_hashes(prompt: &str) -> Arc<[u64]> {
    // FNV-1a is used because the standard library's hasher does not give the same hashes in all
    // builds and on all nodes.
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = FNV_OFFSET_BASIS;
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
            hash
        })
        .collect()
}
