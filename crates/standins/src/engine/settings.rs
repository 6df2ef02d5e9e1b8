//! Settings of the engine stand-in.

use std::net::SocketAddr;
use std::str::FromStr;

use compact_str::CompactString;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;

/// Whether an engine checks the fencing token of orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FencingMode {
    /// An order with an outdated token is refused.
    #[default]
    Enforced,
    /// The token is ignored, so the last order to arrive takes effect.
    Ignored,
}

impl FromStr for FencingMode {
    type Err = CompactString;

    fn from_str(text: &str) -> Result<Self, CompactString> {
        match text {
            "enforced" => Ok(Self::Enforced),
            "ignored" => Ok(Self::Ignored),
            _ => Err("expected enforced or ignored".into()),
        }
    }
}

/// A VM and its address, written `NAME=IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmBinding {
    /// Name of the VM in the inventory.
    pub vm: VmId,
    /// Address of the VM's engine; port 0 selects a free port.
    pub address: SocketAddr,
}

impl FromStr for VmBinding {
    type Err = CompactString;

    fn from_str(text: &str) -> Result<Self, CompactString> {
        let error = || CompactString::from("expected NAME=IP:PORT");
        let (name, address) = text.rsplit_once('=').ok_or_else(error)?;
        Ok(Self {
            vm: name.parse().map_err(|_| error())?,
            address: address.parse().map_err(|_| error())?,
        })
    }
}

/// What determines the time for loading weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Each load takes this time.
    Fixed(TimeSpan),
    /// Loads are requested from the weight store at this address.
    Store(SocketAddr),
}

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Duration of a decoding step with a single running request. Default: 5 ms.
    pub token_time: TimeSpan,
    /// Growth of the step time with each further running request, in permille of the token time.
    /// Default: 20. With zero, a full batch decodes as fast as a single request.
    pub batch_growth_permille: u32,
    /// Prefill time of one prompt block that is not in the prefix cache. Default: 4 ms.
    pub prefill_block_time: TimeSpan,
    /// Maximum number of concurrently running requests. Default: 16.
    pub slots: u32,
    /// Maximum number of queued requests; further ones are refused. Default: 64.
    pub queue_limit: u32,
    /// Capacity of the prefix cache in blocks. Default: 4096.
    pub cache_blocks: usize,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            token_time: TimeSpan::from_millis(5),
            batch_growth_permille: 20,
            prefill_block_time: TimeSpan::from_millis(4),
            slots: 16,
            queue_limit: 64,
            cache_blocks: 4096,
        }
    }
}

/// Settings of one engine process, which hosts any number of VMs.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address of the control routes. They are also served at each VM's address, but only this one
    /// responds while a VM is killed. Default: none.
    pub control: Option<SocketAddr>,
    /// VMs hosted by this process. Default: none.
    pub vms: Vec<VmBinding>,
    /// VMs of other processes that may be members of the same groups. Default: none. A member that
    /// is in neither list counts as missing.
    pub peers: Vec<VmBinding>,
    /// Whether the fencing tokens of orders are checked. Default: enforced.
    pub fencing: FencingMode,
    /// VMs that ignore fencing tokens regardless of `fencing`. Default: none.
    pub ignore_fencing: Vec<VmId>,
    /// Speed and capacity of the engines, the same for all VMs of the process.
    pub speed: EngineSpeed,
    /// What determines the time for loading weights. Default: a fixed 200 ms.
    pub weights: WeightSource,
    /// Lag of the load statistics in reports behind the actual load. Default: 500 ms.
    pub report_lag: TimeSpan,
    /// Interval at which a leader checks its members. Default: 300 ms.
    pub member_check_interval: TimeSpan,
    /// Time for which a member may be missing before running requests are aborted. Default: 1 s.
    /// With zero, they are aborted at the first lost ping.
    pub stall_timeout: TimeSpan,
    /// Time for which the output of an ended request is retained. Default: 60 s.
    pub output_retention: TimeSpan,
    /// Time for which a request continues without a connection. Default: 2 s. With zero, a resume
    /// after a closed connection fails.
    pub orphan_grace: TimeSpan,
    /// Delay until a cache event becomes visible to readers. Default: 1 s.
    pub cache_event_lag: TimeSpan,
    /// One of this many cache events is lost; zero loses none. Default: 10.
    pub cache_event_loss_interval: u32,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            control: None,
            vms: Vec::new(),
            peers: Vec::new(),
            fencing: FencingMode::Enforced,
            ignore_fencing: Vec::new(),
            speed: EngineSpeed::default(),
            weights: WeightSource::Fixed(TimeSpan::from_millis(200)),
            report_lag: TimeSpan::from_millis(500),
            member_check_interval: TimeSpan::from_millis(300),
            stall_timeout: TimeSpan::from_secs(1),
            output_retention: TimeSpan::from_secs(60),
            orphan_grace: TimeSpan::from_secs(2),
            cache_event_lag: TimeSpan::from_secs(1),
            cache_event_loss_interval: 10,
        }
    }
}

impl EngineSettings {
    /// Whether `vm` checks the fencing tokens of orders.
    pub fn fencing_mode(&self, vm: &VmId) -> FencingMode {
        if self.ignore_fencing.contains(vm) {
            FencingMode::Ignored
        } else {
            self.fencing
        }
    }
}
