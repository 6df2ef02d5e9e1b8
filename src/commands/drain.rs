//! `jaysaddle drain` and `jaysaddle undrain`.

use bpaf::Bpaf;

use crate::client::ServerOptions;
use crate::client::server_options;
use crate::exit::CommandResult;

/// Options of `drain` and `undrain`.
#[derive(Clone, Debug, Bpaf)]
pub struct DrainOptions {
    #[bpaf(external)]
    server_options: ServerOptions,
    /// The VM
    #[bpaf(positional("VM"))]
    vm: String,
}

/// Carries out the command.
///
/// # Errors
///
/// Fails when the store does not answer.
pub fn run(options: &DrainOptions, drained: bool) -> CommandResult {
    let verb = if drained { "drain" } else { "undrain" };
    let answer = options
        .server_options
        .post(&format!("/v1/{verb}/{}", options.vm))?;
    options.server_options.print(&answer, |answer| {
        println!(
            "{verb} {}: drains version {}",
            options.vm, answer["version"]
        );
    });
    Ok(())
}
