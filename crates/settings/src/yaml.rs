//! Reading of YAML documents, with errors that name the file, the line and the field.

use std::fmt;
use std::fs;
use std::path::Path;

use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde_saphyr::options::NonFiniteFloatPolicy;

/// An error in a settings or configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the file, or name of the document.
    pub source_name: CompactString,
    /// Line number, from 1; 0 when unknown.
    pub line: usize,
    /// Description of the error, with the field and the accepted values.
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
/// Fails on malformed YAML, unknown or missing fields, and values that a field does not accept.
pub fn parse_yaml<T: DeserializeOwned>(source_name: &str, text: &str) -> Result<T, SettingsError> {
    serde_saphyr::from_str(text).map_err(|error| located(source_name, &error))
}

/// The same for documents that a platform fills in, in which a number may be out of range.
///
/// # Errors
///
/// As [`parse_yaml`].
pub fn parse_filled_in<T: DeserializeOwned>(
    source_name: &str,
    text: &str,
) -> Result<T, SettingsError> {
    let options = serde_saphyr::options! {
        non_finite_float_policy: NonFiniteFloatPolicy::PassThrough,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| located(source_name, &error))
}

fn located(source_name: &str, error: &serde_saphyr::Error) -> SettingsError {
    SettingsError {
        source_name: source_name.into(),
        line: error
            .location()
            .map_or(0, |location| usize::try_from(location.line()).unwrap_or(0)),
        message: compact_str::format_compact!("{error}"),
    }
}

/// Reads and parses a YAML file.
///
/// # Errors
///
/// Fails when the file cannot be read, and in the same cases as [`parse_yaml`].
pub fn read_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let source_name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| SettingsError {
        source_name: source_name.as_str().into(),
        line: 0,
        message: compact_str::format_compact!("cannot be read: {error}"),
    })?;
    parse_yaml(&source_name, &text)
}
