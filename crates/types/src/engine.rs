//! Messages exchanged with model engines.
//!
//! [`EngineReport`] is parsed for every probe and [`TokenChunk`] for every token. Their serde
//! visitors are written by hand and skip unknown fields without building a map.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::Visitor;

use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::ModelId;
use crate::ids::ModelVersion;
use crate::ids::RequestId;
use crate::ids::VmId;

/// Role of an engine in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// The engine belongs to no group.
    #[default]
    Idle,
    /// The engine loads the weights for its group.
    Loading,
    /// The engine leads its group and accepts requests.
    Leader,
    /// The engine computes for its group's leader and accepts no requests itself.
    Member,
}

/// Status report of an engine; a leader's report also covers its group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineReport {
    /// VM that the engine runs on.
    pub vm: VmId,
    /// Role of the engine in its group.
    pub role: EngineRole,
    /// Group of the engine; absent when idle.
    pub group: Option<GroupId>,
    /// Fencing token of the order that the engine currently follows.
    pub generation: Generation,
    /// Model of the group; absent when idle.
    pub model: Option<ModelId>,
    /// Version of the model; absent when idle.
    pub version: Option<ModelVersion>,
    /// Members of the group as ordered, in rank order.
    pub members: Vec<VmId>,
    /// Members that are unreachable or have not finished loading; filled by leaders only.
    pub missing: Vec<VmId>,
    /// Requests being executed. Reported load lags behind the actual load.
    pub running: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Requests that can be executed concurrently.
    pub slots: u32,
    /// Whether the VM is leaving and accepts no new work.
    pub leaving: bool,
}

impl EngineReport {
    /// Returns whether this is a leader's report that `group` is complete at `generation` with
    /// exactly these members, and the VM is not leaving.
    pub fn confirms(&self, group: &GroupId, generation: Generation, members: &[VmId]) -> bool {
        self.role == EngineRole::Leader
            && self.group.as_ref() == Some(group)
            && self.generation == generation
            && self.members == members
            && self.missing.is_empty()
            && !self.leaving
    }
}

impl<'de> Deserialize<'de> for EngineReport {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ReportVisitor)
    }
}

struct ReportVisitor;

impl<'de> Visitor<'de> for ReportVisitor {
    type Value = EngineReport;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an engine report")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<EngineReport, A::Error> {
        let mut report = EngineReport::default();
        let mut has_vm = false;
        while let Some(field) = map.next_key::<CompactString>()? {
            match field.as_str() {
                "vm" => {
                    report.vm = map.next_value()?;
                    has_vm = true;
                }
                "role" => report.role = map.next_value()?,
                "group" => report.group = map.next_value()?,
                "generation" => report.generation = map.next_value()?,
                "model" => report.model = map.next_value()?,
                "version" => report.version = map.next_value()?,
                "members" => report.members = map.next_value()?,
                "missing" => report.missing = map.next_value()?,
                "running" => report.running = map.next_value()?,
                "queued" => report.queued = map.next_value()?,
                "slots" => report.slots = map.next_value()?,
                "leaving" => report.leaving = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        if !has_vm {
            return Err(serde::de::Error::missing_field("vm"));
        }
        Ok(report)
    }
}

/// An order that changes an engine's group membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Group that the order applies to.
    pub group: GroupId,
    /// Fencing token of the order; an engine rejects tokens older than the one it follows.
    pub generation: Generation,
    /// Change that the engine is to make.
    pub action: OrderAction,
}

/// Action requested by an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderAction {
    /// Join the group and load its model.
    Join {
        /// Model to load.
        model: ModelId,
        /// Version to load.
        version: ModelVersion,
        /// Members in rank order; the first is the leader.
        members: Vec<VmId>,
    },
    /// Leave the group and become idle.
    Release,
}

/// Response of an engine to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine accepts the order.
    Accepted,
    /// The engine already follows a newer fencing token and rejects the order.
    Stale {
        /// The newer fencing token.
        generation: Generation,
    },
    /// The engine cannot carry out the order.
    Rejected {
        /// Explanation from the engine, for logs.
        reason: CompactString,
    },
}

/// A completion request as sent to a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCompletion {
    /// Unique id. The engine retains its output for a while, so that a stream can be resumed.
    pub request_id: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Group that the node expects to serve the request.
    pub group: GroupId,
    /// Generation that the node expects to be in force; the leader refuses any other one.
    pub generation: Generation,
    /// Model that the request names.
    pub model: ModelId,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum length of the output, in tokens.
    pub max_tokens: u32,
    /// Priority from 0 to 9; 9 is the highest.
    pub priority: u8,
    /// Number of output tokens already received; the engine sends from this offset.
    pub offset: u32,
    /// Whether to resume the existing run of the request. A resume never starts a new run.
    pub resume: bool,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Reason for which an engine refused a completion. It implies that the request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusal {
    /// The engine follows another generation or belongs to another group.
    StaleGeneration,
    /// The group is incomplete: a member is missing.
    NotWhole,
    /// Another model is loaded.
    WrongModel,
    /// The engine's queue is full.
    Overloaded,
    /// The VM is leaving.
    Leaving,
    /// A resume names a request that the engine does not know.
    UnknownRequest,
    /// The deadline has passed.
    DeadlineExceeded,
}

/// One chunk of a streamed response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TokenChunk {
    /// Request that the chunk belongs to.
    pub request_id: RequestId,
    /// Attempt that the chunk belongs to.
    pub attempt: u32,
    /// Position of the chunk's first token in the output, from 0.
    pub offset: u32,
    /// Number of tokens in the chunk; 0 only in the end marker.
    pub tokens: u32,
    /// Text of the tokens.
    pub text: CompactString,
    /// Set only in the last chunk; a response without it is truncated.
    pub finish: Option<FinishReason>,
    /// Prompt tokens found in the prefix cache; set in the first chunk.
    pub cached_tokens: u32,
}

/// Why the output ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the output.
    Stop,
    /// The token limit was reached.
    Length,
    /// The request was cancelled.
    Cancelled,
}

impl<'de> Deserialize<'de> for TokenChunk {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = TokenChunk;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a token chunk")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<TokenChunk, A::Error> {
        let mut chunk = TokenChunk::default();
        let mut has_id = false;
        while let Some(field) = map.next_key::<CompactString>()? {
            match field.as_str() {
                "request_id" => {
                    chunk.request_id = map.next_value()?;
                    has_id = true;
                }
                "attempt" => chunk.attempt = map.next_value()?,
                "offset" => chunk.offset = map.next_value()?,
                "tokens" => chunk.tokens = map.next_value()?,
                "text" => chunk.text = map.next_value()?,
                "finish" => chunk.finish = map.next_value()?,
                "cached_tokens" => chunk.cached_tokens = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        if !has_id {
            return Err(serde::de::Error::missing_field("request_id"));
        }
        Ok(chunk)
    }
}
