//! `jaysaddle apply`: puts a configuration file into force.

use std::path::PathBuf;

use bpaf::Bpaf;
use jaysaddle_settings::documents::ConfigDocument;
use serde_json::Value;

use crate::client::ServerOptions;
use crate::client::server_options;
use crate::commands::check::kind_of_file;
use crate::commands::check::read_document;
use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;

/// Options of `apply`.
#[derive(Clone, Debug, Bpaf)]
pub struct ApplyOptions {
    #[bpaf(external)]
    server_options: ServerOptions,
    /// Version that must be in force; 0 creates the document
    #[bpaf(long, argument("VERSION"))]
    expect: u64,
    /// File named after its document: rules.yaml or inventory-<failure domain>.yaml
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Carries out the command.
///
/// # Errors
///
/// Fails when the file is not valid, another version is in force, or the store does not answer.
pub fn run(options: &ApplyOptions) -> CommandResult {
    let kind = kind_of_file(&options.file)?;
    let document = read_document(&kind, &options.file)?;
    let json = match &document {
        ConfigDocument::Rules(rules) => serde_json::to_string(rules),
        ConfigDocument::Drains(drains) => serde_json::to_string(drains),
        ConfigDocument::Inventory(inventory) => serde_json::to_string(inventory),
    };
    let json =
        json.map_err(|error| CommandFailure::new(FailureKind::Invalid, error.to_string()))?;
    let path = format!("/v1/config/{kind}?expect={}", options.expect);
    let answer = options.server_options.put(&path, json)?;
    options.server_options.print(&answer, |answer: &Value| {
        println!("{kind}: version {} is stored", answer["version"]);
    });
    Ok(())
}
