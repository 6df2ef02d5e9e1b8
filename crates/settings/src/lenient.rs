//! Values of settings that a platform fills in, and that must not keep a node from starting.
//!
//! A template turns numbers into text without knowing their type: a bound may be a fraction, be missing or be no number at all. Such
//! a value is used as far as it makes sense, and a fallback takes its place otherwise. Each deviation is recorded with its field.

use std::fmt;

use compact_str::CompactString;
use compact_str::ToCompactString;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::TimeSpan;
use serde::Deserialize;
use serde::Deserializer;
use serde::de;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Longest duration. A longer one counts as this long, so that sums of times do not overflow.
const MAX_TIME: TimeSpan = TimeSpan::from_secs(24 * 3600);

/// A value of a settings file, whatever its type.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum LenientValue {
    /// The field is not in the file.
    #[default]
    Absent,
    /// The field has no value.
    Missing,
    /// `true` or `false`.
    Flag(bool),
    /// A number without a unit.
    Number(f64),
    /// Text, such as a number with a unit.
    Text(CompactString),
    /// A list or a map.
    Other,
}

impl fmt::Display for LenientValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LenientValue::Absent | LenientValue::Missing => f.write_str("-"),
            LenientValue::Flag(flag) => flag.fmt(f),
            LenientValue::Number(number) => number.fmt(f),
            LenientValue::Text(text) => text.fmt(f),
            LenientValue::Other => f.write_str("a list or map"),
        }
    }
}

struct LenientVisitor;

impl<'de> Visitor<'de> for LenientVisitor {
    type Value = LenientValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E: de::Error>(self) -> Result<LenientValue, E> {
        Ok(LenientValue::Missing)
    }

    fn visit_none<E: de::Error>(self) -> Result<LenientValue, E> {
        Ok(LenientValue::Missing)
    }

    fn visit_bool<E: de::Error>(self, flag: bool) -> Result<LenientValue, E> {
        Ok(LenientValue::Flag(flag))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<LenientValue, E> {
        Ok(LenientValue::Number(number as f64))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<LenientValue, E> {
        Ok(LenientValue::Number(number as f64))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<LenientValue, E> {
        Ok(LenientValue::Number(number))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<LenientValue, E> {
        Ok(LenientValue::Text(text.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<LenientValue, A::Error> {
        while list.next_element::<IgnoredAny>()?.is_some() {}
        Ok(LenientValue::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<LenientValue, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(LenientValue::Other)
    }
}

impl<'de> Deserialize<'de> for LenientValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(LenientVisitor)
    }
}

/// A field whose value was not used as stated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsDeviation {
    /// Name of the field.
    pub field: &'static str,
    /// The value in the file; `-` if there is none.
    pub stated: CompactString,
    /// The value that is used.
    pub used: CompactString,
}

impl fmt::Display for SettingsDeviation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            stated,
            used,
        } = self;
        write!(f, "field={field} stated={stated:?} used={used}")
    }
}

/// Reads lenient values, and collects the fields that were not used as stated.
#[derive(Clone, Debug, Default)]
pub struct LenientReader {
    deviations: Vec<SettingsDeviation>,
}

/// A number as text, without a unit.
fn number_of(text: &str) -> Option<f64> {
    let number: f64 = text.trim().parse().ok()?;
    number.is_finite().then_some(number)
}

/// A number with a unit, in the smallest unit. The longest unit that fits is the unit, since `ms` ends in `s`.
fn quantity_of(text: &str, units: &[(&str, u64)]) -> Option<f64> {
    let text = text.trim();
    let fits = |(name, _): &&(&str, u64)| text.ends_with(name);
    let (name, factor) = units
        .iter()
        .filter(fits)
        .max_by_key(|(name, _)| name.len())?;
    let number = number_of(&text[..text.len() - name.len()])?;
    Some(number * *factor as f64)
}

impl LenientReader {
    /// Fields that were not used as stated.
    pub fn into_deviations(self) -> Vec<SettingsDeviation> {
        self.deviations
    }

    fn record(&mut self, field: &'static str, value: &LenientValue, used: impl ToCompactString) {
        self.deviations.push(SettingsDeviation {
            field,
            stated: value.to_compact_string(),
            used: used.to_compact_string(),
        });
    }

    /// The fallback of a field that states nothing usable. A field that is not in the file is no deviation.
    pub fn fall_back<T: Copy + ToCompactString>(
        &mut self,
        field: &'static str,
        value: &LenientValue,
        fallback: T,
    ) -> T {
        if *value != LenientValue::Absent {
            self.record(field, value, fallback);
        }
        fallback
    }

    /// A duration, rounded down to milliseconds.
    pub fn duration(
        &mut self,
        field: &'static str,
        value: &LenientValue,
        fallback: TimeSpan,
    ) -> TimeSpan {
        let millis = match value {
            LenientValue::Text(text) => quantity_of(text, TimeSpan::UNITS),
            _ => None,
        };
        let Some(millis) = millis.filter(|millis| *millis >= 0.0) else {
            return self.fall_back(field, value, fallback);
        };
        // The conversion saturates.
        let span = TimeSpan(millis as u64).min(MAX_TIME);
        if span.0 as f64 != millis {
            self.record(field, value, span);
        }
        span
    }

    /// A size above zero, rounded down to bytes.
    pub fn size(
        &mut self,
        field: &'static str,
        value: &LenientValue,
        fallback: ByteCount,
    ) -> ByteCount {
        let bytes = match value {
            LenientValue::Text(text) => quantity_of(text, ByteCount::UNITS),
            _ => None,
        };
        let Some(bytes) = bytes.filter(|bytes| *bytes >= 1.0) else {
            return self.fall_back(field, value, fallback);
        };
        let size = ByteCount(bytes as u64);
        if size.0 as f64 != bytes {
            self.record(field, value, size);
        }
        size
    }

    /// A number that is not negative. A negative one counts as zero.
    pub fn number(&mut self, field: &'static str, value: &LenientValue, fallback: f64) -> f64 {
        let number = match value {
            LenientValue::Number(number) => Some(*number).filter(|number| number.is_finite()),
            LenientValue::Text(text) => number_of(text),
            _ => None,
        };
        let Some(number) = number else {
            return self.fall_back(field, value, fallback);
        };
        if number < 0.0 {
            return self.fall_back(field, value, 0.0);
        }
        number
    }

    /// A whole number, rounded down.
    pub fn count(&mut self, field: &'static str, value: &LenientValue, fallback: u32) -> u32 {
        let before = self.deviations.len();
        let number = self.number(field, value, f64::from(fallback));
        // The conversion saturates.
        let count = number as u32;
        if f64::from(count) != number && self.deviations.len() == before {
            self.record(field, value, count);
        }
        count
    }

    /// `true` or `false`.
    pub fn flag(&mut self, field: &'static str, value: &LenientValue, fallback: bool) -> bool {
        match value {
            LenientValue::Flag(flag) => *flag,
            _ => self.fall_back(field, value, fallback),
        }
    }
}
