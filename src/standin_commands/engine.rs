//! `jaysaddle-standin engine`: runs engines with simulated decoding.

use std::net::SocketAddr;

use bpaf::Bpaf;
use jaysaddle_standins::EngineSettings;
use jaysaddle_standins::EngineSpeed;
use jaysaddle_standins::EngineStandin;
use jaysaddle_standins::engine::FencingMode;
use jaysaddle_standins::engine::VmBinding;
use jaysaddle_standins::engine::WeightSource;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;

use super::print_listening;
use super::run_forever;

/// Simulated speed and capacity of the engines
#[derive(Clone, Debug, Bpaf)]
pub struct SpeedOptions {
    /// Duration of one decoding step with one running request, such as 5ms
    #[bpaf(argument("TIME"), fallback(EngineSpeed::default().token_time))]
    token_time: TimeSpan,
    /// Increase of the step duration per additional running request, in thousandths
    #[bpaf(argument("PERMILLE"), fallback(EngineSpeed::default().batch_growth_permille))]
    batch_growth: u32,
    /// Prefill time per uncached prompt block, such as 4ms
    #[bpaf(argument("TIME"), fallback(EngineSpeed::default().prefill_block_time))]
    prefill_time: TimeSpan,
    /// Maximum number of running requests
    #[bpaf(argument("COUNT"), fallback(EngineSpeed::default().slots))]
    slots: u32,
    /// Maximum number of queued requests; further ones are refused
    #[bpaf(argument("COUNT"), fallback(EngineSpeed::default().queue_limit))]
    queue_limit: u32,
    /// Capacity of the prefix cache in blocks
    #[bpaf(argument("COUNT"), fallback(EngineSpeed::default().cache_blocks))]
    cache_blocks: usize,
}

/// VMs of this process and behavior of their engines
#[derive(Clone, Debug, Bpaf)]
pub struct EngineCommand {
    /// Address of the control routes, which stay available while VMs are killed
    #[bpaf(argument("IP:PORT"))]
    listen: Option<SocketAddr>,
    /// VM of this process; may be repeated
    #[bpaf(argument("NAME=IP:PORT"), some("at least one --vm is required"))]
    vm: Vec<VmBinding>,
    /// VM of another process that can be in the same groups; may be repeated
    #[bpaf(argument("NAME=IP:PORT"), many)]
    peer: Vec<VmBinding>,
    /// Whether fencing tokens of orders are checked: enforced or ignored
    #[bpaf(argument("MODE"), fallback(FencingMode::Enforced))]
    fencing: FencingMode,
    /// VM that ignores fencing tokens regardless of --fencing; may be repeated
    #[bpaf(argument("NAME"), many)]
    ignore_fencing: Vec<VmId>,
    #[bpaf(external)]
    speed_options: SpeedOptions,
    /// Address of the weight store; without it, every load takes --load-ms
    #[bpaf(argument("IP:PORT"))]
    weights: Option<SocketAddr>,
    /// Duration of a load without a weight store, in milliseconds
    #[bpaf(argument("MS"), fallback(200))]
    load_ms: u64,
    /// Delay of the load counts in reports, such as 500ms
    #[bpaf(argument("TIME"), fallback(EngineSettings::default().report_lag))]
    report_lag: TimeSpan,
    /// Age at which a leader repeats the check of its members, such as 300ms
    #[bpaf(argument("TIME"), fallback(EngineSettings::default().member_check_interval))]
    member_check: TimeSpan,
    /// Retention of the output of an ended request, such as 60s
    #[bpaf(argument("TIME"), fallback(EngineSettings::default().output_retention))]
    output_kept: TimeSpan,
    /// Time for which a request continues without a connection, such as 2s
    #[bpaf(argument("TIME"), fallback(EngineSettings::default().orphan_grace))]
    orphan_grace: TimeSpan,
}

impl EngineCommand {
    fn settings(self) -> EngineSettings {
        let speed = self.speed_options;
        EngineSettings {
            control: self.listen,
            vms: self.vm,
            peers: self.peer,
            fencing: self.fencing,
            ignore_fencing: self.ignore_fencing,
            speed: EngineSpeed {
                token_time: speed.token_time,
                batch_growth_permille: speed.batch_growth,
                prefill_block_time: speed.prefill_time,
                slots: speed.slots,
                queue_limit: speed.queue_limit,
                cache_blocks: speed.cache_blocks,
            },
            weights: match self.weights {
                Some(address) => WeightSource::Store(address),
                None => WeightSource::Fixed(TimeSpan::from_millis(self.load_ms)),
            },
            report_lag: self.report_lag,
            member_check_interval: self.member_check,
            output_retention: self.output_kept,
            orphan_grace: self.orphan_grace,
            ..EngineSettings::default()
        }
    }

    /// Runs the engines until the process is killed.
    pub fn run(self) -> eyre::Result<()> {
        let standin = EngineStandin::start(self.settings())?;
        if let Some(address) = standin.control_address() {
            print_listening(&"control", address)?;
        }
        for (vm, address) in standin.addresses() {
            print_listening(&vm, address)?;
        }
        run_forever()
    }
}
