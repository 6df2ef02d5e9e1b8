//! `jaysaddle check`: validates configuration files without a node.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use bpaf::Bpaf;
use jaysaddle_settings::check::check_document;
use jaysaddle_settings::documents::ConfigDocument;
use jaysaddle_settings::documents::DocumentKind;
use jaysaddle_settings::documents::DrainsDocument;
use jaysaddle_settings::yaml::SettingsError;
use jaysaddle_settings::yaml::read_yaml;
use jaysaddle_types::inventory::InventoryDocument;
use jaysaddle_types::rules::RulesDocument;

use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;

/// Configuration files to check together
#[derive(Clone, Debug, Bpaf)]
pub struct CheckOptions {
    /// Files named after their documents: rules.yaml, drains.yaml, inventory-<failure domain>.yaml
    #[bpaf(positional("FILE"), some("name at least one file"))]
    pub files: Vec<PathBuf>,
}

/// Derives the document kind from a file name.
///
/// # Errors
///
/// Fails when no document has this name.
pub fn document_kind(file: &Path) -> Result<DocumentKind, CommandFailure> {
    let stem = file
        .file_stem()
        .and_then(|stem| stem.to_str())
        .unwrap_or("");
    stem.parse().map_err(|message| {
        CommandFailure::new(
            FailureKind::Invalid,
            format!("{}: {message}", file.display()),
        )
    })
}

/// Reads and validates a configuration file.
///
/// # Errors
///
/// Fails with the file and field of each problem, and with the line when the file cannot be parsed.
pub fn read_document(kind: &DocumentKind, file: &Path) -> Result<ConfigDocument, CommandFailure> {
    let invalid =
        |error: SettingsError| CommandFailure::new(FailureKind::Invalid, error.to_string());
    let document = match kind {
        DocumentKind::Rules => {
            ConfigDocument::Rules(read_yaml::<RulesDocument>(file).map_err(invalid)?)
        }
        DocumentKind::Drains => {
            ConfigDocument::Drains(read_yaml::<DrainsDocument>(file).map_err(invalid)?)
        }
        DocumentKind::Inventory(_) => {
            ConfigDocument::Inventory(read_yaml::<InventoryDocument>(file).map_err(invalid)?)
        }
    };
    let problems = check_document(kind, &document);
    if problems.is_empty() {
        return Ok(document);
    }
    let lines: Vec<_> = problems
        .iter()
        .map(|problem| format!("{}: {problem}", file.display()))
        .collect();
    Err(CommandFailure::new(FailureKind::Invalid, lines.join("\n")))
}

/// Returns a problem for each VM that is listed in more than one inventory.
fn find_duplicate_vms(documents: &[(PathBuf, ConfigDocument)]) -> Vec<String> {
    let mut seen = BTreeMap::new();
    let mut problems = Vec::new();
    for (file, document) in documents {
        let ConfigDocument::Inventory(inventory) = document else {
            continue;
        };
        for vm in &inventory.vms {
            if let Some(earlier) = seen.insert(&vm.name, file)
                && earlier != file
            {
                problems.push(format!(
                    "{}: vms: {} is also listed in {}; a VM belongs to one fabric domain",
                    file.display(),
                    vm.name,
                    earlier.display()
                ));
            }
        }
    }
    problems
}

/// Runs the command.
///
/// # Errors
///
/// Fails when a file is not valid or a VM is listed in several inventories.
pub fn run(options: &CheckOptions) -> CommandResult {
    let mut documents = Vec::new();
    let mut problems = Vec::new();
    for file in &options.files {
        let document = document_kind(file).and_then(|kind| read_document(&kind, file));
        match document {
            Ok(document) => documents.push((file.clone(), document)),
            Err(failure) => problems.push(failure.message),
        }
    }
    problems.extend(find_duplicate_vms(&documents));
    if problems.is_empty() {
        println!("{} files: ok", options.files.len());
        return Ok(());
    }
    Err(CommandFailure::new(
        FailureKind::Invalid,
        problems.join("\n"),
    ))
}
