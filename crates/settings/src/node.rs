//! Settings of a daemon.

use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::ids::RegionId;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;
use serde::Deserialize;
use serde::Serialize;

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

/// Limits on callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Requests served at once; default 1000. More are refused at once; each holds a thread.
    pub requests: usize,
    /// Largest body; default 1 MiB.
    pub body: ByteCount,
    /// Largest sum of all headers; default 16 KiB.
    pub headers: ByteCount,
    /// Time without a byte from a caller after which its connection is closed; default 10 s.
    pub idle_time: TimeSpan,
    /// Deadline of a request that names none; default 60 s.
    pub deadline: TimeSpan,
    /// Longest deadline that a request may name; default 10 min.
    pub max_deadline: TimeSpan,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            requests: 1000,
            body: ByteCount(1 << 20),
            headers: ByteCount(16 << 10),
            idle_time: TimeSpan::from_secs(10),
            deadline: TimeSpan::from_secs(60),
            max_deadline: TimeSpan::from_secs(600),
        }
    }
}

/// Times that callers and streams depend on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Time for which callers may keep a discovery answer; default 10 s. A stop takes at least as
    /// long.
    pub discovery_ttl: TimeSpan,
    /// Silence after the first token after which a stream is resumed on a new connection; default
    /// 2 s.
    pub token_timeout: TimeSpan,
    /// Silence before the first token after which a stream is resumed on a new connection; default
    /// 5 s. Shorter repeats resumes while prompts wait in the engine's queue.
    pub first_token_timeout: TimeSpan,
    /// Longest wait of one watch of the store; default 20 s.
    pub watch_wait: TimeSpan,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            discovery_ttl: TimeSpan::from_secs(10),
            token_timeout: TimeSpan::from_secs(2),
            first_token_timeout: TimeSpan::from_secs(5),
            watch_wait: TimeSpan::from_secs(20),
        }
    }
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form; default text.
    pub format: LogFormat,
    /// Least level out of error, warn, info, debug, trace; default info.
    pub level: CompactString,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".into(),
        }
    }
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node; unique among the nodes.
    pub node: NodeId,
    /// Failure domain of the node's VM.
    pub failure_domain: FailureDomainId,
    /// Region of the node's VM.
    pub region: RegionId,
    /// Addresses to listen on; they are also the addresses that others are told.
    pub listen: ListenSettings,
    /// Peer addresses of some other nodes; one that is up is enough to join.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Key that all daemons share; at least 16 characters.
    pub cluster_key: CompactString,
    /// Key of the operators' interface; at least 16 characters.
    pub operator_key: CompactString,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Times that callers and streams depend on.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Least length of a key, in characters.
pub const MIN_KEY_CHARS: usize = 16;
