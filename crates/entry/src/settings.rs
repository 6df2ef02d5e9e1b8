//! Settings of the entry VM daemon.

use std::net::IpAddr;
use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_gateway::cold_servers::ColdBound;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::ProcessorShare;
use jaysaddle_types::units::TimeSpan;
use serde::Deserialize;
use serde::Serialize;

/// Addresses that the daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Address at which callers resolve the addresses of nodes.
    pub directory: SocketAddr,
    /// Additional address for metrics. The readiness and directory addresses always serve them.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Limits that the platform imposes on its nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PlatformBounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: TimeSpan,
    /// Time within which a backend server that leaves gets no new requests.
    pub drain: TimeSpan,
    /// Maximum ratio of retries to requests of a service, over all nodes.
    pub repeat_ratio: f64,
    /// Number of retries per window that are allowed in addition to the ratio, over all nodes.
    pub repeat_slack: u32,
    /// Maximum time for which callers may cache a directory response, in seconds.
    pub directory_lifetime_secs: u64,
    /// Time within which the backend servers of an evacuated failure domain get no new requests. Evacuations are read from
    /// the store only if it is set.
    pub evacuation: Option<TimeSpan>,
    /// Multiple of the rate that a service states for its cold backend servers, up to which one gets requests in a second,
    /// over all nodes. Cold backend servers are served like others if it is not set.
    pub cold_ratio: Option<f64>,
    /// Number of requests that a cold backend server may get in a second in addition to the multiple.
    pub cold_slack: u32,
}

impl Default for PlatformBounds {
    fn default() -> Self {
        Self {
            stop_grace: TimeSpan::from_secs(8),
            drain: TimeSpan::from_secs(2),
            repeat_ratio: 0.2,
            repeat_slack: 100,
            directory_lifetime_secs: 2,
            evacuation: None,
            cold_ratio: None,
            cold_slack: 0,
        }
    }
}

/// Which requests are admitted and where they go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AdmissionChoices {
    /// Whether requests for models are admitted by the predicted time to their first event, and turned away by rank when
    /// more arrive than can be begun in time. Otherwise the number of requests in flight decides.
    pub is_paced: bool,
    /// Whether targets in the node's failure domain go first while they have room. Takes effect together with `is_paced`.
    pub prefers_near: bool,
}

impl PlatformBounds {
    /// Bound on the requests to cold backend servers; `None` if it is not set.
    pub fn cold_bound(&self) -> Option<ColdBound> {
        self.cold_ratio.map(|ratio| ColdBound {
            ratio,
            slack: f64::from(self.cold_slack),
        })
    }
}

/// Settings of the entry VM daemon, as `settings_file` reads them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntrySettings {
    /// Unique name of the node among its peers.
    pub node: NodeId,
    /// Failure domain of the node's VM.
    pub failure_domain: FailureDomainId,
    /// IP address of the VM, at which peers reach it.
    pub address: IpAddr,
    /// Listening addresses for callers, readiness, directory and metrics.
    pub listen: EntryListen,
    /// First and last port for messages between nodes; only the first is used.
    pub peer_ports: (u16, u16),
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory of the VM, of which responses take a part at most.
    pub memory: ByteCount,
    /// Part of a core that the VM provides. Nodes with more of it do the work that one node does for all.
    pub processor: ProcessorShare,
    /// Whether all nodes start for the first time, so that no node can hold the lease yet.
    pub is_first_start: bool,
    /// Platform limits; each field has a default.
    pub bounds: PlatformBounds,
    /// Admission and selection; changes take effect after a restart.
    pub admission: AdmissionChoices,
    /// Minimum level of log lines: error, warn, info, debug or trace.
    pub log_level: CompactString,
}

impl EntrySettings {
    /// Address for messages between nodes, over both UDP and TCP.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_ports.0)
    }
}
