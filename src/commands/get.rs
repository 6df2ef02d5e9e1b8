//! `jaysaddle get`: lists nodes, VMs, groups and configuration documents as one node sees them.

use bpaf::Bpaf;
use serde_json::Value;

use crate::client::ServerOptions;
use crate::client::server_options;
use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;
use crate::table::TableColumn;
use crate::table::print_table;

/// Objects to list
#[derive(Clone, Debug, Bpaf)]
pub struct GetOptions {
    #[bpaf(external)]
    server_options: ServerOptions,
    /// Kind of object: nodes, vms, groups or config
    #[bpaf(positional("KIND"))]
    kind: String,
    /// Configuration document to print; only with config
    #[bpaf(positional("NAME"))]
    name: Option<String>,
}

const NODE_COLUMNS: [TableColumn; 6] = [
    ("NODE", "key.id"),
    ("STATE", "state"),
    ("FAILURE DOMAIN", "failure_domain"),
    ("CALLERS", "callers"),
    ("PEERS", "peers"),
    ("INCARNATION", "key.incarnation"),
];

const VM_COLUMNS: [TableColumn; 5] = [
    ("VM", "vm"),
    ("STATE", "state"),
    ("FABRIC DOMAIN", "fabric_domain"),
    ("FAILURE DOMAIN", "failure_domain"),
    ("GROUP", "group"),
];

const GROUP_COLUMNS: [TableColumn; 7] = [
    ("GROUP", "id"),
    ("STATE", "state"),
    ("MODEL", "model"),
    ("VERSION", "version"),
    ("GENERATION", "generation"),
    ("MEMBERS", "members"),
    ("REASON", "reason"),
];

const DOCUMENT_COLUMNS: [TableColumn; 2] = [("DOCUMENT", "name"), ("VERSION", "version")];

fn rows<'a>(response: &'a Value, field: &str) -> &'a [Value] {
    response[field].as_array().map_or(&[], Vec::as_slice)
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the kind is unknown or the node does not respond.
pub fn run(options: &GetOptions) -> CommandResult {
    let server = &options.server_options;
    match (options.kind.as_str(), &options.name) {
        ("nodes", _) => {
            let response = server.get("/v1/nodes")?;
            server.print(&response, |response| {
                print_table(&NODE_COLUMNS, rows(response, "nodes"))
            });
        }
        ("vms", _) => {
            let response = server.get("/v1/vms")?;
            server.print(&response, |response| {
                print_table(&VM_COLUMNS, rows(response, "vms"))
            });
        }
        ("groups", _) => {
            let response = server.get("/v1/groups")?;
            server.print(&response, |response| {
                print_table(&GROUP_COLUMNS, rows(response, "groups"))
            });
        }
        ("config", None) => {
            let response = server.get("/v1/config")?;
            server.print(&response, |response| {
                print_table(&DOCUMENT_COLUMNS, rows(response, "documents"));
            });
        }
        ("config", Some(name)) => {
            let response = server.get(&format!("/v1/config/{name}"))?;
            println!("{response:#}");
        }
        (other, _) => {
            let message =
                format!("{other:?} cannot be listed: expected nodes, vms, groups, config");
            return Err(CommandFailure::new(FailureKind::Invalid, message));
        }
    }
    Ok(())
}
