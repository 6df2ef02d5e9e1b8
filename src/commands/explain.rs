//! `jaysaddle explain`: explains why a VM is idle, a group is not serving or a request was refused.
//!
//! The explanation comes from a node that runs with an inventory, or from saved logs of nodes on the
//! platform.

use std::path::PathBuf;

use bpaf::Bpaf;
use serde_json::Value;

use crate::client::ServerOptions;
use crate::client::server_options;
use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;
use crate::saved_log::SavedLog;
use crate::saved_log::SubjectKind;

/// Subject of the explanation and its source
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainOptions {
    #[bpaf(external(explain_source))]
    source: ExplainSource,
    /// Kind of subject: vm, group or request; with --log also node
    #[bpaf(positional("KIND"))]
    kind: String,
    /// Id of the subject
    #[bpaf(positional("ID"))]
    id: String,
}

/// Source of the explanation.
#[derive(Clone, Debug, Bpaf)]
pub enum ExplainSource {
    /// A node that runs with an inventory.
    Node(#[bpaf(external(server_options))] ServerOptions),
    /// Saved logs of nodes on the platform.
    Log {
        /// Saved log of a node on the platform; may be repeated
        #[bpaf(
            long("log"),
            argument("FILE"),
            some("at least one --log file is required")
        )]
        files: Vec<PathBuf>,
    },
}

fn explain_from_log(files: &[PathBuf], kind: &str, id: &str) -> CommandResult {
    let invalid = |message: String| CommandFailure::new(FailureKind::Invalid, message);
    let kind: SubjectKind = kind.parse().map_err(invalid)?;
    let log = SavedLog::read(files).map_err(|error| invalid(format!("{error:#}")))?;
    let lines = log.explain(kind, id);
    if lines.is_empty() {
        let message = format!("no line of the given logs refers to {id}");
        return Err(CommandFailure::new(FailureKind::NotFound, message));
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

fn print_explanation(explanation: &Value) {
    for line in explanation["lines"].as_array().into_iter().flatten() {
        println!("{}", line.as_str().unwrap_or_default());
    }
    let decisions = explanation["decisions"].as_array().into_iter().flatten();
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

/// Runs the command.
///
/// # Errors
///
/// Fails when the kind is unknown, the node does not respond or no log line refers to the subject.
pub fn run(options: &ExplainOptions) -> CommandResult {
    match &options.source {
        ExplainSource::Node(server_options) => {
            let path = format!("/v1/explain/{}/{}", options.kind, options.id);
            let response = server_options.get(&path)?;
            server_options.print(&response, print_explanation);
            Ok(())
        }
        ExplainSource::Log { files } => explain_from_log(files, &options.kind, &options.id),
    }
}
