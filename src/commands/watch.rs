//! `jaysaddle watch`: prints decisions as they are made.

use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::Value;

use crate::client::OutputFormat;
use crate::client::ServerOptions;
use crate::client::server_options;
use crate::exit::CommandResult;

/// Interval between polls of the node.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Node to poll and number of decisions to print
#[derive(Clone, Debug, Bpaf)]
pub struct WatchOptions {
    #[bpaf(external)]
    server_options: ServerOptions,
    /// Number of decisions to print before exiting; 0 runs until interrupted
    #[bpaf(long, argument("COUNT"), fallback(0))]
    count: u64,
}

fn print_decision(output: OutputFormat, decision: &Value) {
    let text = |field: &str| decision[field].as_str().unwrap_or_default().to_owned();
    match output {
        OutputFormat::Json => println!("{decision}"),
        OutputFormat::Table => println!(
            "{} {} {}: {} ({}) {}",
            decision["sequence"],
            text("kind"),
            text("subject"),
            text("choice"),
            text("reason"),
            text("inputs")
        ),
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the node does not respond.
pub fn run(options: &WatchOptions) -> CommandResult {
    let server = &options.server_options;
    let mut after = 0;
    let mut printed = 0;
    loop {
        let response = server.get(&format!("/v1/decisions?after={after}"))?;
        for decision in response["decisions"].as_array().into_iter().flatten() {
            after = decision["sequence"].as_u64().unwrap_or(after);
            print_decision(server.output, decision);
            printed += 1;
            if printed == options.count {
                return Ok(());
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}
