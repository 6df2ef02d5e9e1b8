//! Keys of the content of requests: a part of a prompt, or a whole request.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifies a piece of the content that requests may have in common. Nodes compute the same key for the same content.
///
/// The text form has 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentKey(pub u64);

impl fmt::Display for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ContentKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
