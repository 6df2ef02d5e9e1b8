//! The subcommands, one file each.

pub mod apply;
pub mod check;
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
/// Exit codes: 0 done, 1 failed, 2 invalid input, 3 another version is in force, 4 a node or its
/// store does not answer, 5 the answer was lost and the change may come into force, 6 not found.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage)]
pub enum ToolCommand {
    /// Checks a daemon's settings, or prints annotated defaults
    #[bpaf(command)]
    Settings(#[bpaf(external(settings::settings_action))] settings::SettingsAction),
    /// Checks rules or inventory files together, without a node
    #[bpaf(command)]
    Check(#[bpaf(external(check::check_options))] check::CheckOptions),
    /// Puts a rules or inventory file into force, if the expected version still is
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::apply_options))] apply::ApplyOptions),
    /// Lists nodes, vms, groups or config, or shows one configuration document
    #[bpaf(command)]
    Get(#[bpaf(external(get::get_options))] get::GetOptions),
    /// Explains a VM, a group or a request
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain_options))] explain::ExplainOptions),
    /// Gives a VM no more work
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::drain_options))] drain::DrainOptions),
    /// Gives a drained VM work again
    #[bpaf(command)]
    Undrain(#[bpaf(external(drain::drain_options))] drain::DrainOptions),
    /// Puts load on a node and on an engine directly, and compares them
    #[bpaf(command)]
    Load(#[bpaf(external(load::load_options))] load::LoadOptions),
    /// Shows which groups a controller on the platform would form, and why VMs stay idle
    #[bpaf(command)]
    Plan(#[bpaf(external(plan::plan_options))] plan::PlanOptions),
    /// Replays a recorded trace and checks its stated outcomes
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::replay_options))] replay::ReplayOptions),
    /// Prints decisions as they are made
    #[bpaf(command)]
    Watch(#[bpaf(external(watch::watch_options))] watch::WatchOptions),
}

/// Carries out a command.
///
/// # Errors
///
/// Fails with the reason and the exit code.
pub fn run(command: &ToolCommand) -> CommandResult {
    match command {
        ToolCommand::Settings(action) => settings::run(action),
        ToolCommand::Check(options) => check::run(options),
        ToolCommand::Apply(options) => apply::run(options),
        ToolCommand::Get(options) => get::run(options),
        ToolCommand::Explain(options) => explain::run(options),
        ToolCommand::Drain(options) => drain::run(options, true),
        ToolCommand::Undrain(options) => drain::run(options, false),
        ToolCommand::Load(options) => load::run(options),
        ToolCommand::Plan(options) => plan::run(options),
        ToolCommand::Replay(options) => replay::run(options),
        ToolCommand::Watch(options) => watch::run(options),
    }
}
