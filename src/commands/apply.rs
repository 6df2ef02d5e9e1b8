//! `jaysaddle apply`: stores a configuration document.

use std::path::PathBuf;

use bpaf::Bpaf;
use jaysaddle_settings::documents::ConfigDocument;
use serde_json::Value;

use crate::client::ServerOptions;
use crate::client::server_options;
use crate::commands::check::document_kind;
use crate::commands::check::read_document;
use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;

/// Document to apply and the version that it replaces
#[derive(Clone, Debug, Bpaf)]
pub struct ApplyOptions {
    #[bpaf(external)]
    server_options: ServerOptions,
    /// Expected current version of the document; 0 creates it
    #[bpaf(long, argument("VERSION"))]
    expect: u64,
    /// File named after its document: rules.yaml or inventory-<failure domain>.yaml
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the file is not valid, the current version is not the expected one, or the node or its
/// store does not respond.
pub fn run(options: &ApplyOptions) -> CommandResult {
    let kind = document_kind(&options.file)?;
    let document = read_document(&kind, &options.file)?;
    let json = match &document {
        ConfigDocument::Rules(rules) => serde_json::to_string(rules),
        ConfigDocument::Drains(drains) => serde_json::to_string(drains),
        ConfigDocument::Inventory(inventory) => serde_json::to_string(inventory),
    };
    let json =
        json.map_err(|error| CommandFailure::new(FailureKind::Invalid, error.to_string()))?;
    let path = format!("/v1/config/{kind}?expect={}", options.expect);
    let response = options.server_options.put(&path, json)?;
    options.server_options.print(&response, |response: &Value| {
        println!("{kind}: version {} is stored", response["version"]);
    });
    Ok(())
}
