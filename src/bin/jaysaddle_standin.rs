//! Runs stand-ins for the external systems as processes, for tests and benchmarks.

#[path = "../standin_commands/mod.rs"]
mod standin_commands;

use bpaf::Bpaf;

use crate::standin_commands::engine::EngineCommand;
use crate::standin_commands::engine::engine_command;
use crate::standin_commands::platform::PlatformCommand;
use crate::standin_commands::platform::platform_command;
use crate::standin_commands::service::ServiceCommand;
use crate::standin_commands::service::service_command;
use crate::standin_commands::weights::WeightCommand;
use crate::standin_commands::weights::weight_command;

/// Runs stand-ins for the platform, engines, services and the weight store.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum StandinCommand {
    /// Runs the platform: the object API and the VM list
    #[bpaf(command("platform"))]
    Platform(#[bpaf(external(platform_command))] PlatformCommand),
    /// Runs the engines of one or more VMs
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_command))] EngineCommand),
    /// Runs a plain service
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_command))] ServiceCommand),
    /// Runs the weight store
    #[bpaf(command("weights"))]
    Weights(#[bpaf(external(weight_command))] WeightCommand),
}

fn main() -> eyre::Result<()> {
    match standin_command().run() {
        StandinCommand::Platform(command) => command.run(),
        StandinCommand::Engine(command) => command.run(),
        StandinCommand::Service(command) => command.run(),
        StandinCommand::Weights(command) => command.run(),
    }
}
