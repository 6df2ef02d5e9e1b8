//! `jaysaddle drain` and `jaysaddle undrain`: add a VM to the drains document or remove it.

use bpaf::Bpaf;

use crate::client::ServerOptions;
use crate::client::server_options;
use crate::exit::CommandResult;

/// VM to drain or undrain
#[derive(Clone, Debug, Bpaf)]
pub struct DrainOptions {
    #[bpaf(external)]
    server_options: ServerOptions,
    /// Name of the VM
    #[bpaf(positional("VM"))]
    vm: String,
}

/// Drains the VM if `drained` is set, and otherwise ends its drain.
///
/// # Errors
///
/// Fails when the node or its store does not respond.
pub fn run(options: &DrainOptions, drained: bool) -> CommandResult {
    let action = if drained { "drain" } else { "undrain" };
    let response = options
        .server_options
        .post(&format!("/v1/{action}/{}", options.vm))?;
    options.server_options.print(&response, |response| {
        println!(
            "{action} {}: drains version {}",
            options.vm, response["version"]
        );
    });
    Ok(())
}
