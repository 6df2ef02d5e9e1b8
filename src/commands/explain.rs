//! `jaysaddle explain`: why a VM is idle, a group does not serve, a request was refused.
//!
//! It asks a node that works with an inventory, or reads the saved log of nodes on the platform.

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

/// Options of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainOptions {
    #[bpaf(external(explain_source))]
    source: ExplainSource,
    /// What to explain: vm, group or request; with --log also node
    #[bpaf(positional("KIND"))]
    kind: String,
    /// Its id
    #[bpaf(positional("ID"))]
    id: String,
}

/// Where the explanation comes from.
#[derive(Clone, Debug, Bpaf)]
pub enum ExplainSource {
    /// A node that works with an inventory.
    Node(#[bpaf(external(server_options))] ServerOptions),
    /// Saved logs of nodes on the platform.
    Log {
        /// Saved log of a node on the platform; may be given several times
        #[bpaf(long("log"), argument("FILE"), some("name at least one file"))]
        files: Vec<PathBuf>,
    },
}

fn explain_from_log(files: &[PathBuf], kind: &str, id: &str) -> CommandResult {
    let invalid = |message: String| CommandFailure::new(FailureKind::Invalid, message);
    let kind: SubjectKind = kind.parse().map_err(invalid)?;
    let log = SavedLog::read(files).map_err(|error| invalid(format!("{error:#}")))?;
    let lines = log.explain(kind, id);
    if lines.is_empty() {
        let message = format!("no line of the given logs names {id}");
        return Err(CommandFailure::new(FailureKind::NotFound, message));
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
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
/// Fails when the kind is unknown, the node does not answer or no line names the subject.
pub fn run(options: &ExplainOptions) -> CommandResult {
    match &options.source {
        ExplainSource::Node(server_options) => {
            let path = format!("/v1/explain/{}/{}", options.kind, options.id);
            let answer = server_options.get(&path)?;
            server_options.print(&answer, print_explanation);
            Ok(())
        }
        ExplainSource::Log { files } => explain_from_log(files, &options.kind, &options.id),
    }
}
