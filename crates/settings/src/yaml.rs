//! Reading of YAML with errors that name file, line and field.

use std::fmt;
use std::fs;
use std::path::Path;

use compact_str::CompactString;
use serde::de::DeserializeOwned;

/// An error in a settings or configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file, or the document's name.
    pub source_name: CompactString,
    /// The line, from 1; 0 when it is not known.
    pub line: usize,
    /// What is wrong, with the field and the accepted values.
    pub message: CompactString,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            write!(f, "{}: {}", self.source_name, self.message)
        } else {
            write!(f, "{}:{}: {}", self.source_name, self.line, self.message)
        }
    }
}

impl std::error::Error for SettingsError {}

/// Parses `text` as YAML; `source_name` appears in errors.
///
/// # Errors
///
/// Fails on malformed YAML, unknown or missing fields and values that a field does not accept.
pub fn parse_yaml<T: DeserializeOwned>(source_name: &str, text: &str) -> Result<T, SettingsError> {
    serde_saphyr::from_str(text).map_err(|error| SettingsError {
        source_name: source_name.into(),
        line: error
            .location()
            .map_or(0, |location| usize::try_from(location.line()).unwrap_or(0)),
        message: compact_str::format_compact!("{error}"),
    })
}

/// Reads and parses a YAML file.
///
/// # Errors
///
/// Fails when the file cannot be read, and as [`parse_yaml`] does.
pub fn read_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let source_name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| SettingsError {
        source_name: source_name.as_str().into(),
        line: 0,
        message: compact_str::format_compact!("cannot be read: {error}"),
    })?;
    parse_yaml(&source_name, &text)
}
