//! Messages exchanged with model engines.
//!
//! [`EngineReport`] and [`TokenChunk`] are parsed for every probe and every token. Their serde
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

/// What an engine does in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// In no group.
    #[default]
    Idle,
    /// Loads weights for its group.
    Loading,
    /// Leads its group and takes requests.
    Leader,
    /// Works for its group's leader.
    Member,
}

/// An engine's report about itself; a leader's report also covers its group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineReport {
    /// The VM of the engine.
    pub vm: VmId,
    /// Its role.
    pub role: EngineRole,
    /// Its group, absent when idle.
    pub group: Option<GroupId>,
    /// Fencing token of the order that it follows.
    pub generation: Generation,
    /// Model, absent when idle.
    pub model: Option<ModelId>,
    /// Version of the model.
    pub version: Option<ModelVersion>,
    /// Members as ordered, in rank order.
    pub members: Vec<VmId>,
    /// Members that the engine cannot reach or that have not loaded; only a leader fills it.
    pub missing: Vec<VmId>,
    /// Requests that run now. Load figures lag.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Whether the VM is leaving and takes no new work.
    pub leaving: bool,
}

impl EngineReport {
    /// Whether the report shows the group whole at `generation` under this leader.
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

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Group concerned.
    pub group: GroupId,
    /// Fencing token.
    pub generation: Generation,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks for.
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

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine follows the order.
    Accepted,
    /// The engine has followed a newer token and refuses this one.
    Stale {
        /// The newer token.
        generation: Generation,
    },
    /// The engine cannot follow the order.
    Rejected {
        /// Why.
        reason: CompactString,
    },
}

/// A completion request as sent to a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCompletion {
    /// Unique id; the engine keeps its output for a while, so that a stream can be resumed.
    pub request_id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Group that the node believes to serve it.
    pub group: GroupId,
    /// Generation that the node believes to be in force; the leader refuses another one.
    pub generation: Generation,
    /// Model.
    pub model: ModelId,
    /// Prompt.
    pub prompt: String,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Priority, 0 to 9, 9 first.
    pub priority: u8,
    /// Tokens already received; the engine sends from this offset.
    pub offset: u32,
    /// Whether the request must be known to the engine already; it never starts a new run.
    pub resume: bool,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Why an engine refused a completion before running it. Each means that it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusal {
    /// The engine follows another generation or group.
    StaleGeneration,
    /// A member is missing.
    NotWhole,
    /// Another model is loaded.
    WrongModel,
    /// Too many requests wait.
    Overloaded,
    /// The VM is leaving.
    Leaving,
    /// A resume names a request that the engine does not know.
    UnknownRequest,
    /// The deadline has passed.
    DeadlineExceeded,
}

/// One piece of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TokenChunk {
    /// Request that the piece belongs to.
    pub request_id: RequestId,
    /// Attempt that the piece belongs to.
    pub attempt: u32,
    /// Position of the piece's first token in the answer, from 0.
    pub offset: u32,
    /// Tokens in the piece; 0 only in the end marker.
    pub tokens: u32,
    /// Text of the tokens.
    pub text: CompactString,
    /// Set in the last piece only; an answer without it is cut.
    pub finish: Option<FinishReason>,
    /// Prompt tokens that the prefix cache held; set in the first piece.
    pub cached_tokens: u32,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
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
