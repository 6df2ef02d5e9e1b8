//! `jaysaddle explain`: why a VM is idle, a group does not serve, a request was refused.

use bpaf::Bpaf;
use serde_json::Value;

use crate::client::ServerOptions;
use crate::client::server_options;
use crate::exit::CommandResult;

/// Options of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainOptions {
    #[bpaf(external)]
    server_options: ServerOptions,
    /// What to explain: vm, group or request
    #[bpaf(positional("KIND"))]
    kind: String,
    /// Its id
    #[bpaf(positional("ID"))]
    id: String,
}

fn print_explanation(answer: &Value) {
    for line in answer["lines"].as_array().into_iter().flatten() {
        println!("{}", line.as_str().unwrap_or_default());
    }
    let decisions = answer["decisions"].as_array().into_iter().flatten();
    for decision in decisions {
        println!(
            "decision {}: {} {} ({}) {}",
            decision["sequence"],
            decision["kind"].as_str().unwrap_or_default(),
            decision["choice"].as_str().unwrap_or_default(),
            decision["reason"].as_str().unwrap_or_default(),
            decision["inputs"].as_str().unwrap_or_default(),
        );
    }
}

/// Carries out the command.
///
/// # Errors
///
/// Fails when the kind is unknown or the node does not answer.
pub fn run(options: &ExplainOptions) -> CommandResult {
    let path = format!("/v1/explain/{}/{}", options.kind, options.id);
    let answer = options.server_options.get(&path)?;
    options.server_options.print(&answer, print_explanation);
    Ok(())
}
