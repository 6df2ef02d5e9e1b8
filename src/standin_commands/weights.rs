//! `jaysaddle-standin weights`: runs the weight store.

use std::net::SocketAddr;

use bpaf::Bpaf;
use jaysaddle_standins::WeightSettings;
use jaysaddle_standins::WeightStandin;
use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::TimeSpan;

use super::print_listening;
use super::run_forever;

/// Address and limits of the weight store
#[derive(Clone, Debug, Bpaf)]
pub struct WeightCommand {
    /// Address to listen on; port 0 selects a free port
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Duration of one load, such as 200ms
    #[bpaf(argument("TIME"), fallback(WeightSettings::default().load_time))]
    load_time: TimeSpan,
    /// Maximum number of concurrent loads
    #[bpaf(argument("COUNT"), fallback(WeightSettings::default().concurrent_loads))]
    concurrent_loads: u32,
    /// Maximum rate at which loads start, such as 20/s
    #[bpaf(argument("RATE"), fallback(WeightSettings::default().load_rate))]
    load_rate: RequestRate,
    /// Maximum number of queued loads; further ones get status 429
    #[bpaf(argument("COUNT"), fallback(WeightSettings::default().queue_limit))]
    queue_limit: u32,
}

impl WeightCommand {
    /// Runs the weight store until the process is killed.
    pub fn run(self) -> eyre::Result<()> {
        let standin = WeightStandin::start(WeightSettings {
            listen: self.listen,
            load_time: self.load_time,
            concurrent_loads: self.concurrent_loads,
            load_rate: self.load_rate,
            queue_limit: self.queue_limit,
        })?;
        print_listening(&"weights", standin.address())?;
        run_forever()
    }
}
