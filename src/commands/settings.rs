//! `jaysaddle settings`: checks settings files and prints the annotated defaults.

use std::fs;
use std::path::PathBuf;

use bpaf::Bpaf;
use jaysaddle_entry::settings_file::parse_settings;
use jaysaddle_settings::NodeSettings;
use jaysaddle_settings::check::check_settings;
use jaysaddle_settings::yaml::read_yaml;

use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;

/// Annotated default settings. They must equal the defaults of [`NodeSettings`].
pub const DEFAULT_SETTINGS: &str = include_str!("default-settings.yaml");

/// Action on settings
#[derive(Clone, Debug, Bpaf)]
pub enum SettingsAction {
    /// Checks a settings file of a node with an inventory
    #[bpaf(command("check"))]
    Check {
        /// YAML settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks a settings file of an entry VM on the platform
    #[bpaf(command("check-entry"))]
    CheckEntry {
        /// YAML settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints all settings with their defaults, units and effects
    #[bpaf(command("default"))]
    Default,
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the settings file cannot be read or is not valid.
pub fn run(action: &SettingsAction) -> CommandResult {
    match action {
        SettingsAction::Default => {
            print!("{DEFAULT_SETTINGS}");
            Ok(())
        }
        SettingsAction::CheckEntry { file } => {
            let invalid = |message: String| CommandFailure::new(FailureKind::Invalid, message);
            let text = fs::read_to_string(file)
                .map_err(|error| invalid(format!("{}: {error}", file.display())))?;
            let parsed = parse_settings(&file.display().to_string(), &text)
                .map_err(|error| invalid(error.to_string()))?;
            for deviation in &parsed.deviations {
                println!("{}: not used as stated: {deviation}", file.display());
            }
            println!("{}: ok", file.display());
            Ok(())
        }
        SettingsAction::Check { file } => {
            let settings: NodeSettings = read_yaml(file)
                .map_err(|error| CommandFailure::new(FailureKind::Invalid, error.to_string()))?;
            let problems = check_settings(&settings);
            if problems.is_empty() {
                println!("{}: ok", file.display());
                return Ok(());
            }
            let lines: Vec<_> = problems
                .iter()
                .map(|problem| format!("{}: {problem}", file.display()))
                .collect();
            Err(CommandFailure::new(FailureKind::Invalid, lines.join("\n")))
        }
    }
}
