//! Subcommands of the command-line tool, one module each.

pub mod apply;
pub mod blocks;
pub mod check;
pub mod config;
pub mod drain;
pub mod explain;
pub mod get;
pub mod load;
pub mod plan;
pub mod replay;
pub mod settings;
pub mod watch;

use bpaf::Bpaf;

use crate::exit::CommandResult;

/// Operates a jaysaddle deployment.
///
/// Exit codes: 0 success, 1 failed, 2 invalid input, 3 the current version is not the expected one,
/// 4 a node or its store does not respond, 5 the response was lost and the change may take effect,
/// 6 not found.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage)]
pub enum ToolCommand {
    /// Checks a daemon's settings file or prints the annotated defaults
    #[bpaf(command)]
    Settings(#[bpaf(external(settings::settings_action))] settings::SettingsAction),
    /// Checks configuration files against one another, without a node
    #[bpaf(command)]
    Check(#[bpaf(external(check::check_options))] check::CheckOptions),
    /// Reviews a configuration of the platform before it is sent
    #[bpaf(command)]
    Config(#[bpaf(external(config::config_action))] config::ConfigAction),
    /// Applies a configuration file if the current version is the expected one
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::apply_options))] apply::ApplyOptions),
    /// Lists nodes, vms, groups or config, or shows one configuration document
    #[bpaf(command)]
    Get(#[bpaf(external(get::get_options))] get::GetOptions),
    /// Explains the state of a VM or group or the outcome of a request
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain_options))] explain::ExplainOptions),
    /// Drains a VM: it gets no new work
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::drain_options))] drain::DrainOptions),
    /// Ends the drain of a VM
    #[bpaf(command)]
    Undrain(#[bpaf(external(drain::drain_options))] drain::DrainOptions),
    /// Lists, adds or releases blocks of content that ends backend servers on the platform
    #[bpaf(command)]
    Blocks(#[bpaf(external(blocks::blocks_options))] blocks::BlocksOptions),
    /// Measures latency through a node and directly at an engine
    #[bpaf(command)]
    Load(#[bpaf(external(load::load_options))] load::LoadOptions),
    /// Shows which groups the controller on the platform would form and why VMs stay idle
    #[bpaf(command)]
    Plan(#[bpaf(external(plan::plan_options))] plan::PlanOptions),
    /// Replays a trace and checks the outcome of each request
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::replay_options))] replay::ReplayOptions),
    /// Prints decisions as they are made
    #[bpaf(command)]
    Watch(#[bpaf(external(watch::watch_options))] watch::WatchOptions),
}

/// Runs a parsed command.
///
/// # Errors
///
/// Fails with the message to print and the exit code.
pub fn run(command: &ToolCommand) -> CommandResult {
    match command {
        ToolCommand::Settings(action) => settings::run(action),
        ToolCommand::Check(options) => check::run(options),
        ToolCommand::Config(action) => config::run(action),
        ToolCommand::Apply(options) => apply::run(options),
        ToolCommand::Get(options) => get::run(options),
        ToolCommand::Explain(options) => explain::run(options),
        ToolCommand::Drain(options) => drain::run(options, true),
        ToolCommand::Undrain(options) => drain::run(options, false),
        ToolCommand::Blocks(options) => blocks::run(options),
        ToolCommand::Load(options) => load::run(options),
        ToolCommand::Plan(options) => plan::run(options),
        ToolCommand::Replay(options) => replay::run(options),
        ToolCommand::Watch(options) => watch::run(options),
    }
}
