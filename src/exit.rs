//! Exit codes of the command-line tool.

use std::fmt;
use std::process::ExitCode;

/// Reason for the failure of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The command ran and its result is negative, such as an outcome that does not match.
    Failed,
    /// The input is not valid. Unknown options are reported by `bpaf`, which exits with 1.
    Invalid,
    /// The current version of a document is not the expected one.
    Conflict,
    /// The node or its store does not respond, and nothing was changed.
    Unavailable,
    /// The response was lost, so the change may or may not take effect.
    Unknown,
    /// The requested object does not exist.
    NotFound,
}

impl FailureKind {
    /// Exit code of the process. Scripts rely on these numbers.
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

/// Failure of a command, with the message that is printed to standard error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandFailure {
    /// Kind of failure; determines the exit code.
    pub kind: FailureKind,
    /// Description of the failure for the operator.
    pub message: String,
}

impl CommandFailure {
    /// Creates a failure of the given kind.
    pub fn new(kind: FailureKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// Exit code in the form that `main` returns.
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

/// Result of a command that prints its own output.
pub type CommandResult = Result<(), CommandFailure>;
