//! `jaysaddle-standin weights`.

use std::net::SocketAddr;

use bpaf::Bpaf;
use jaysaddle_standins::WeightSettings;
use jaysaddle_standins::WeightStandin;
use jaysaddle_types::units::RequestRate;
use jaysaddle_types::units::TimeSpan;

use super::print_listening;
use super::run_forever;

/// Options of the weight store.
#[derive(Clone, Debug, Bpaf)]
pub struct WeightsCommand {
    /// Address to listen on; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"), fallback(WeightSettings::default().listen))]
    listen: SocketAddr,
    /// Time of one load once it has started, such as 500ms.
    #[bpaf(argument("TIME"), fallback(WeightSettings::default().load_time))]
    load_time: TimeSpan,
    /// Loads that run at once.
    #[bpaf(argument("COUNT"), fallback(WeightSettings::default().concurrency))]
    concurrency: u32,
    /// Loads started a second, such as 10/s; 0/s means no limit.
    #[bpaf(argument("RATE"), fallback(WeightSettings::default().rate))]
    rate: RequestRate,
}

impl WeightsCommand {
    /// Runs the weight store until the process is killed.
    pub fn run(self) -> eyre::Result<()> {
        let settings = WeightSettings {
            listen: self.listen,
            load_time: self.load_time,
            concurrency: self.concurrency,
            rate: self.rate,
        };
        let standin = WeightStandin::start(&settings)?;
        print_listening(&"weights", standin.address())?;
        run_forever()
    }
}
