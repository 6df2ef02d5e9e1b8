//! `jaysaddle-standin service`.

use std::net::SocketAddr;

use bpaf::Bpaf;
use jaysaddle_standins::ServiceSettings;
use jaysaddle_standins::ServiceStandin;
use jaysaddle_standins::engine::VmBinding;
use jaysaddle_types::units::TimeSpan;

use super::print_listening;
use super::run_forever;

/// Options of the services.
#[derive(Clone, Debug, Bpaf)]
pub struct ServiceCommand {
    /// Address of the control routes, which answers while VMs are killed.
    #[bpaf(argument("IP:PORT"))]
    listen: Option<SocketAddr>,
    /// VM of this process; may be repeated.
    #[bpaf(argument("NAME=IP:PORT"), some("at least one --vm is required"))]
    vm: Vec<VmBinding>,
    /// Time between a run and its answer, such as 50ms.
    #[bpaf(argument("TIME"), fallback(ServiceSettings::default().delay))]
    delay: TimeSpan,
}

impl ServiceCommand {
    /// Runs the services until the process is killed.
    pub fn run(self) -> eyre::Result<()> {
        let settings = ServiceSettings {
            control: self.listen,
            vms: self.vm,
            delay: self.delay,
        };
        let standin = ServiceStandin::start(&settings)?;
        if let Some(address) = standin.control_address() {
            print_listening(&"control", address)?;
        }
        for (vm, address) in standin.addresses() {
            print_listening(&vm, address)?;
        }
        run_forever()
    }
}
