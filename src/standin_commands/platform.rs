//! `jaysaddle-standin platform`: runs the platform's object API and VM list.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use bpaf::Bpaf;
use jaysaddle_standins::PlatformSettings;
use jaysaddle_standins::PlatformStandin;
use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::TimeSpan;

use super::print_listening;
use super::run_forever;

/// Address, limits and delays of the platform
#[derive(Clone, Debug, Bpaf)]
pub struct PlatformCommand {
    /// Address to listen on; port 0 selects a free port
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))))]
    listen: SocketAddr,
    /// Delay until the VM list shows a change by `POST /control/vms`, such as 2s
    #[bpaf(argument("TIME"), fallback(PlatformSettings::default().list_lag))]
    list_lag: TimeSpan,
    /// Rate limit of reads, watches and lists, such as 2000/s; calls above it get status 429
    #[bpaf(argument("RATE"), fallback(PlatformSettings::default().read_budget))]
    read_budget: RequestRate,
    /// Rate limit of writes, such as 500/s; calls above it get status 429
    #[bpaf(argument("RATE"), fallback(PlatformSettings::default().write_budget))]
    write_budget: RequestRate,
    /// Number of threads that serve calls
    #[bpaf(argument("COUNT"), fallback(PlatformSettings::default().workers))]
    workers: usize,
}

impl PlatformCommand {
    /// Runs the platform until the process is killed.
    pub fn run(self) -> eyre::Result<()> {
        let settings = PlatformSettings {
            listen: self.listen,
            list_lag: self.list_lag,
            read_budget: self.read_budget,
            write_budget: self.write_budget,
            workers: self.workers,
        };
        let standin = PlatformStandin::start(&settings)?;
        print_listening(&"platform", standin.address())?;
        run_forever()
    }
}
