//! Statuses of HTTP answers.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use compact_str::format_compact;

/// Status of an answer to a request.
///
/// # Invariants
///
/// It is from 200 to 599 (RFC 9110, section 15). A server in trouble may state any number; an informational status is followed by
/// another one, and 101 only answers a request for an upgrade, which no node sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnswerStatus(u16);

/// Error for a number that is the status of no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerStatusError {
    /// The rejected number or text.
    pub text: CompactString,
}

impl fmt::Display for AnswerStatusError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "status {} is that of no answer: expected 200 to 599",
            self.text
        )
    }
}

impl std::error::Error for AnswerStatusError {}

impl AnswerStatus {
    const FIRST: i64 = 200;
    const LAST: i64 = 599;
    const FIRST_REDIRECT: u16 = 300;

    /// Checks a number.
    ///
    /// # Errors
    ///
    /// Fails if the number is the status of no answer.
    pub fn new(number: impl Into<i64>) -> Result<Self, AnswerStatusError> {
        let number = number.into();
        let status = u16::try_from(number).ok();
        let status = status.filter(|_| (Self::FIRST..=Self::LAST).contains(&number));
        status.map(Self).ok_or_else(|| AnswerStatusError {
            text: format_compact!("{number}"),
        })
    }

    /// The status as a number.
    pub const fn code(self) -> u16 {
        self.0
    }

    /// Whether the request was successful.
    pub const fn is_success(self) -> bool {
        self.0 < Self::FIRST_REDIRECT
    }
}

impl fmt::Display for AnswerStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for AnswerStatus {
    type Err = AnswerStatusError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = |_| AnswerStatusError { text: text.into() };
        Self::new(text.parse::<i64>().map_err(error)?)
    }
}
