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
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that operators connect to.
    pub operators: SocketAddr,
    /// Address that peers connect to.
    pub peers: SocketAddr,
}

/// Limits on callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum number of concurrent requests; default 1000. Each holds a thread; requests beyond
    /// the limit are refused immediately.
    pub requests: usize,
    /// Maximum size of a body; default 1 MiB.
    pub body: ByteCount,
    /// Maximum total size of the headers; default 16 KiB.
    pub headers: ByteCount,
    /// Time without data from a caller after which its connection is closed; default 10 s.
    pub idle_time: TimeSpan,
    /// Deadline of a request that states none; default 60 s.
    pub deadline: TimeSpan,
    /// Longest deadline that a request may state; default 10 min.
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

/// Timeouts and lifetimes that affect callers and streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Time for which callers may cache a discovery response; default 10 s. A shutdown takes at
    /// least as long.
    pub discovery_ttl: TimeSpan,
    /// Time without a token, after the first one, after which a stream is resumed on a new
    /// connection; default 2 s.
    pub token_timeout: TimeSpan,
    /// Time without a first token after which a stream is resumed on a new connection; default 5 s.
    /// A shorter time repeatedly resumes streams whose prompts are still in the engine's queue.
    pub first_token_timeout: TimeSpan,
    /// Maximum duration of a stop, at whose end open requests are cut; default 15 min. Below the sum of `discovery_ttl`,
    /// `max_deadline` and the time to hand over the ledger, it can cut requests that are within their deadline.
    pub stop_limit: TimeSpan,
    /// Maximum duration of one watch call to the store; default 20 s.
    pub watch_wait: TimeSpan,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            discovery_ttl: TimeSpan::from_secs(10),
            token_timeout: TimeSpan::from_secs(2),
            first_token_timeout: TimeSpan::from_secs(5),
            stop_limit: TimeSpan::from_secs(900),
            watch_wait: TimeSpan::from_secs(20),
        }
    }
}

/// Output format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Lines of `key=value` pairs.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Format and verbosity of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Output format; default text.
    pub format: LogFormat,
    /// Minimum level, one of error, warn, info, debug, trace; default info.
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
    /// Addresses to listen on; they are also announced to callers and peers.
    pub listen: ListenSettings,
    /// Peer addresses of some other nodes; one reachable node is enough to join.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Key shared by all daemons; at least 16 characters.
    pub cluster_key: CompactString,
    /// Key for the operators' interface; at least 16 characters.
    pub operator_key: CompactString,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Timeouts and lifetimes that affect callers and streams.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Format and verbosity of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Minimum length of a key, in characters.
pub const MIN_KEY_CHARS: usize = 16;
