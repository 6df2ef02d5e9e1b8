//! Sizes, rates and durations as newtypes whose text form includes the unit.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Error for a quantity with an invalid number or with a missing or unknown unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnitError {
    /// The rejected text.
    pub text: CompactString,
    /// Description of the accepted forms.
    pub expected: &'static str,
}

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not valid: expected {}",
            self.text, self.expected
        )
    }
}

impl std::error::Error for UnitError {}

fn parse_quantity(
    text: &str,
    units: &[(&str, u64)],
    expected: &'static str,
) -> Result<u64, UnitError> {
    let error = || UnitError {
        text: text.into(),
        expected,
    };
    let unit_start = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
    let (digits, unit) = text.split_at(unit_start);
    let number: u64 = digits.parse().map_err(|_| error())?;
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(error)?;
    number.checked_mul(*factor).ok_or_else(error)
}

/// Writes `value` in the largest unit that divides it; `units` must be in ascending order.
fn format_quantity(value: u64, units: &[(&str, u64)], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let largest = units
        .iter()
        .rev()
        .find(|(_, factor)| value != 0 && value.is_multiple_of(*factor))
        .unwrap_or(&units[0]);
    write!(f, "{}{}", value / largest.1, largest.0)
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident, $units:expr, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl $name {
            /// Units of the text form, and how many of the smallest each holds.
            pub const UNITS: &'static [(&'static str, u64)] = $units;
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                format_quantity(self.0, Self::UNITS, f)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                parse_quantity(text, Self::UNITS, $expected).map(Self)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = CompactString::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

quantity!(
    /// A duration in milliseconds; written with a unit, such as `250ms` or `10s`.
    TimeSpan,
    &[("ms", 1), ("s", 1000), ("min", 60_000), ("h", 3_600_000)],
    "a whole number with a unit out of ms, s, min, h"
);
quantity!(
    /// A size in bytes; written with a unit, such as `64KiB`.
    ByteCount,
    &[("B", 1), ("KB", 1000), ("KiB", 1024), ("MB", 1_000_000), ("MiB", 1 << 20), ("GiB", 1 << 30)],
    "a whole number with a unit out of B, KB, KiB, MB, MiB, GiB"
);
quantity!(
    /// A rate in requests per second; written as `500/s`.
    RequestRate,
    &[("/s", 1)],
    "a whole number followed by /s"
);

/// A limit on the number of requests a second, with a resolution of a thousandth; written as `1.4/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestLimit {
    /// Requests in a thousand seconds.
    per_kilosecond: u64,
}

impl RequestLimit {
    /// Creates a limit from requests a second. `None` if the number is negative or not finite.
    pub fn from_per_second(number: f64) -> Option<Self> {
        // The conversion saturates, so that a number beyond the range stays a very high limit.
        (number.is_finite() && number >= 0.0)
            .then(|| Self::from_per_kilosecond((number * 1000.0) as u64))
    }

    /// Creates a limit from requests in a thousand seconds.
    pub const fn from_per_kilosecond(number: u64) -> Self {
        Self {
            per_kilosecond: number,
        }
    }

    /// The limit in requests a second.
    pub fn per_second(self) -> f64 {
        self.per_kilosecond as f64 / 1000.0
    }

    /// The limit in requests in a thousand seconds.
    pub const fn per_kilosecond(self) -> u64 {
        self.per_kilosecond
    }
}

impl fmt::Display for RequestLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for RequestLimit {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.strip_suffix("/s")
            .and_then(|number| number.parse().ok())
            .and_then(Self::from_per_second)
            .ok_or_else(|| UnitError {
                text: text.into(),
                expected: "a number that is not negative, followed by /s",
            })
    }
}

impl TimeSpan {
    /// Creates a span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Creates a span of milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// The span in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The span as a standard library duration, for sockets and channels.
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

/// A point in time, in milliseconds of this machine's `CLOCK_BOOTTIME`.
///
/// # Invariants
///
/// Timestamps of different machines are never compared with each other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time from `earlier` to `self`; zero when `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeSpan> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: TimeSpan) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A number of tokens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TokenCount(pub u32);

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TokenCount {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Part of a processor core, in thousandths. Its text form is a decimal number of cores, such as `0.25`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessorShare(pub u32);

impl ProcessorShare {
    /// Largest share, in thousandths of a core.
    const MAX: f64 = 1e6;

    /// The share of a number of cores; `None` unless the number is above zero and at most a thousand.
    pub fn from_cores(cores: f64) -> Option<Self> {
        let thousandths = (cores * 1000.0).round();
        (1.0..=Self::MAX)
            .contains(&thousandths)
            .then_some(Self(thousandths as u32))
    }

    /// Number of cores.
    pub fn cores(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl fmt::Display for ProcessorShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.cores().fmt(f)
    }
}

impl FromStr for ProcessorShare {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let cores = text.parse().ok().and_then(Self::from_cores);
        cores.ok_or_else(|| UnitError {
            text: text.into(),
            expected: "a number of cores above 0 and at most 1000",
        })
    }
}

impl Serialize for ProcessorShare {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.cores())
    }
}

impl<'de> Deserialize<'de> for ProcessorShare {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let cores = f64::deserialize(deserializer)?;
        Self::from_cores(cores).ok_or_else(|| {
            serde::de::Error::custom(format_args!(
                "{cores} is not valid: expected a number of cores above 0 and at most 1000"
            ))
        })
    }
}

/// A number of concurrent requests that a group or an account may hold.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SlotCount(pub u32);

impl fmt::Display for SlotCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for SlotCount {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
