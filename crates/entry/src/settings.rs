//! Settings of an entry VM's daemon.

use std::net::IpAddr;
use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::TimeSpan;
use serde::Deserialize;
use serde::Serialize;

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// The platform's question whether the node takes callers.
    pub readiness: SocketAddr,
    /// Callers' question for addresses.
    pub directory: SocketAddr,
    /// Metrics; they are on the addresses of readiness and directory in any case.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformBounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: TimeSpan,
    /// Repeats that a service may get for each request, over all nodes.
    pub repeat_ratio: f64,
    /// Repeats beside that in a window, over all nodes.
    pub repeat_slack: u32,
    /// Longest time for which callers may keep an answer of the directory, in seconds.
    pub directory_lifetime_secs: u64,
}

impl Default for PlatformBounds {
    fn default() -> Self {
        Self {
            stop_grace: TimeSpan::from_secs(8),
            repeat_ratio: 0.2,
            repeat_slack: 100,
            directory_lifetime_secs: 2,
        }
    }
}

/// Settings of an entry VM's daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the node.
    pub node: NodeId,
    /// Failure domain of the node's VM.
    pub failure_domain: FailureDomainId,
    /// Address of the VM.
    pub address: IpAddr,
    /// Addresses to listen on.
    pub listen: EntryListen,
    /// First and last port for messages between nodes; the first is used.
    pub peer_ports: (u16, u16),
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bounds that the platform sets.
    #[serde(default)]
    pub bounds: PlatformBounds,
    /// Least level of log lines.
    #[serde(default = "default_log_level")]
    pub log_level: CompactString,
}

fn default_log_level() -> CompactString {
    "info".into()
}

impl EntrySettings {
    /// Address for messages of peers.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_ports.0)
    }
}
