//! `jaysaddle-standin service`: runs a plain service.

use std::net::SocketAddr;

use bpaf::Bpaf;
use jaysaddle_standins::ServiceSettings;
use jaysaddle_standins::ServiceStandin;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;

use super::print_listening;
use super::run_forever;

/// Address and delay of a plain service
#[derive(Clone, Debug, Bpaf)]
pub struct ServiceCommand {
    /// Name of the VM that the service runs on
    #[bpaf(argument("NAME"))]
    vm: VmId,
    /// Address to listen on; port 0 selects a free port
    #[bpaf(argument("IP:PORT"))]
    listen: SocketAddr,
    /// Address of the control routes, which stay available while the service is killed
    #[bpaf(argument("IP:PORT"))]
    control: Option<SocketAddr>,
    /// Duration of a call, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    delay_ms: u64,
}

impl ServiceCommand {
    /// Runs the service until the process is killed.
    pub fn run(self) -> eyre::Result<()> {
        let standin = ServiceStandin::start(ServiceSettings {
            vm: self.vm.clone(),
            listen: self.listen,
            control: self.control,
            delay: TimeSpan::from_millis(self.delay_ms),
        })?;
        if let Some(address) = standin.control_address() {
            print_listening(&"control", address)?;
        }
        print_listening(&self.vm, standin.address())?;
        run_forever()
    }
}
