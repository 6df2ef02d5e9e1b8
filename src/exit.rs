//! Exit codes of the command-line tool.

use std::fmt;
use std::process::ExitCode;

/// Why a command failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The command was carried out and its result is a failure, such as an unmet outcome.
    Failed,
    /// The input is not valid. `bpaf` exits with 1 for unknown options.
    Invalid,
    /// Another version is in force than was expected.
    Conflict,
    /// The node or its store does not answer; nothing was changed.
    Unavailable,
    /// The answer was lost; the change may come into force.
    Unknown,
    /// There is no such object.
    NotFound,
}

impl FailureKind {
    /// The exit code.
    pub fn code(self) -> u8 {
        match self {
            FailureKind::Failed => 1,
            FailureKind::Invalid => 2,
            FailureKind::Conflict => 3,
            FailureKind::Unavailable => 4,
            FailureKind::Unknown => 5,
            FailureKind::NotFound => 6,
        }
    }
}

/// A failure with its message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandFailure {
    /// The kind, which decides the exit code.
    pub kind: FailureKind,
    /// What went wrong.
    pub message: String,
}

impl CommandFailure {
    /// A failure of `kind`.
    pub fn new(kind: FailureKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// The exit code as the process returns it.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.kind.code())
    }
}

impl fmt::Display for CommandFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CommandFailure {}

/// Result of a command.
pub type CommandResult = Result<(), CommandFailure>;
