//! Requests as the traffic lane sees them.

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

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestTarget {
    /// A completion by a model.
    Model(ModelId),
    /// A call of a plain service.
    Service(ServiceId),
}

/// Request priority, 0 to 9, 9 first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestPriority(u8);

impl RequestPriority {
    /// The highest priority.
    pub const MAX: RequestPriority = RequestPriority(9);

    /// The priority, limited to the valid range.
    pub fn new(level: u8) -> Self {
        Self(level.min(Self::MAX.0))
    }

    /// The priority as a number.
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

/// Home of an idempotency key: the node run that first takes it, and when discovery issued it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeToken {
    /// The node run that owns the claim.
    pub node: NodeKey,
    /// When the token was issued, on that node's clock.
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
        let mut parts = text.rsplitn(3, '/');
        let issued = parts.next().ok_or_else(error)?;
        let incarnation = parts.next().ok_or_else(error)?;
        let id = parts.next().ok_or_else(error)?;
        Ok(Self {
            node: NodeKey {
                id: id.parse::<NodeId>().map_err(|_| error())?,
                incarnation: incarnation.parse::<Incarnation>().map_err(|_| error())?,
            },
            issued: Timestamp(issued.parse().map_err(|_| error())?),
        })
    }
}

/// SHA-256 of a request's target and body; tells whether a key is reused for another request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyFingerprint(pub [u8; 32]);

impl BodyFingerprint {
    /// The fingerprint of `body` sent to `path`.
    pub fn from_body(path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(path.as_bytes());
        hasher.update([0]);
        hasher.update(body);
        Self(hasher.finalize().into())
    }
}

/// A request as admitted to the traffic lane; its body stays with the connection's thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Id, unique in the fleet.
    pub id: RequestId,
    /// The authenticated account.
    pub account: AccountId,
    /// What the request is for.
    pub target: RequestTarget,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The caller's key and its home; the home is absent when the caller named none.
    pub key: Option<(IdempotencyKey, Option<HomeToken>)>,
    /// Fingerprint of target and body.
    pub fingerprint: BodyFingerprint,
    /// Priority.
    pub priority: RequestPriority,
    /// When the caller stops waiting, on this node's clock.
    pub deadline: Timestamp,
    /// Hashes of the prompt's leading blocks, each covering all blocks before it.
    pub prefix: Arc<[u64]>,
    /// Estimated prompt size.
    pub prompt_tokens: TokenCount,
    /// Longest answer.
    pub max_tokens: TokenCount,
}

/// Characters of one prompt block; prefix affinity compares prompts block by block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Blocks of a prompt that are hashed at most, which bounds the work per request.
pub const MAX_PREFIX_BLOCKS: usize = 64;

/// Hashes the whole leading blocks of a prompt; each hash covers all blocks before it.
pub fn prefix_hashes(prompt: &str) -> Arc<[u64]> {
    // FNV-1a: stable over builds and nodes, which the hasher of the standard library is not.
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
            }
            hash
        })
        .collect()
}
