//! Reading of the settings file of the entry VM daemon.
//!
//! The platform fills the file in at every start, so a value that this program does not expect would end all nodes one after the
//! other. Only what a node cannot run without has to be valid: its name, its place, its addresses and ports, and the store's
//! address. Of other fields, a senseless value is replaced, and a limit on the node is rounded to its strict side.

use std::net::IpAddr;
use std::net::SocketAddr;

use compact_str::CompactString;
use jaysaddle_settings::lenient::LenientReader;
use jaysaddle_settings::lenient::LenientValue;
use jaysaddle_settings::lenient::SettingsDeviation;
use jaysaddle_settings::yaml::SettingsError;
use jaysaddle_settings::yaml::parse_filled_in;
use jaysaddle_types::ids::FailureDomainId;
use jaysaddle_types::ids::NodeId;
use jaysaddle_types::units::ByteCount;
use jaysaddle_types::units::ProcessorShare;
use jaysaddle_types::units::TimeSpan;
use log::LevelFilter;
use serde::Deserialize;

use crate::settings::AdmissionChoices;
use crate::settings::EntryListen;
use crate::settings::EntrySettings;
use crate::settings::PlatformBounds;

const DEFAULT_MEMORY: ByteCount = ByteCount(512 << 20);
const DEFAULT_PROCESSOR: ProcessorShare = ProcessorShare(1000);
const DEFAULT_LOG_LEVEL: &str = "info";

/// Bounds that hold if the file states them without a usable value, because they are in force then.
const STATED_EVACUATION: TimeSpan = TimeSpan::from_secs(2);
const STATED_COLD_RATIO: f64 = 1.0;

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileBounds {
    stop_grace: LenientValue,
    drain: LenientValue,
    repeat_ratio: LenientValue,
    repeat_slack: LenientValue,
    directory_lifetime_secs: LenientValue,
    evacuation: LenientValue,
    cold_ratio: LenientValue,
    cold_slack: LenientValue,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileAdmission {
    is_paced: LenientValue,
    prefers_near: LenientValue,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    node: NodeId,
    failure_domain: FailureDomainId,
    address: IpAddr,
    listen: EntryListen,
    peer_ports: Vec<LenientValue>,
    store: SocketAddr,
    #[serde(default)]
    memory: LenientValue,
    #[serde(default)]
    processor: LenientValue,
    #[serde(default)]
    is_first_start: LenientValue,
    #[serde(default)]
    bounds: Option<FileBounds>,
    #[serde(default)]
    admission: Option<FileAdmission>,
    #[serde(default)]
    log_level: Option<CompactString>,
}

/// Settings, and the fields of the file that were not used as stated.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    /// The settings.
    pub settings: EntrySettings,
    /// Fields that were not used as stated.
    pub deviations: Vec<SettingsDeviation>,
}

impl ParsedSettings {
    /// Logs the fields that were not used as stated.
    pub fn report(&self) {
        for deviation in &self.deviations {
            log::warn!("event=setting_adjusted {deviation}");
        }
    }
}

/// A value that is only in force if the file states it.
fn optional<T>(value: &LenientValue, read: impl FnOnce(&LenientValue) -> T) -> Option<T> {
    let is_stated = !matches!(value, LenientValue::Absent | LenientValue::Missing);
    is_stated.then(|| read(value))
}

impl FileBounds {
    fn read(&self, reader: &mut LenientReader) -> PlatformBounds {
        let default = PlatformBounds::default();
        PlatformBounds {
            stop_grace: reader.duration("bounds.stop_grace", &self.stop_grace, default.stop_grace),
            drain: reader.duration("bounds.drain", &self.drain, default.drain),
            repeat_ratio: reader.number(
                "bounds.repeat_ratio",
                &self.repeat_ratio,
                default.repeat_ratio,
            ),
            repeat_slack: reader.count(
                "bounds.repeat_slack",
                &self.repeat_slack,
                default.repeat_slack,
            ),
            directory_lifetime_secs: u64::from(reader.count(
                "bounds.directory_lifetime_secs",
                &self.directory_lifetime_secs,
                default.directory_lifetime_secs as u32,
            )),
            evacuation: optional(&self.evacuation, |value| {
                reader.duration("bounds.evacuation", value, STATED_EVACUATION)
            }),
            cold_ratio: optional(&self.cold_ratio, |value| {
                reader.number("bounds.cold_ratio", value, STATED_COLD_RATIO)
            }),
            cold_slack: reader.count("bounds.cold_slack", &self.cold_slack, default.cold_slack),
        }
    }
}

impl FileAdmission {
    fn read(&self, reader: &mut LenientReader) -> AdmissionChoices {
        let default = AdmissionChoices::default();
        AdmissionChoices {
            is_paced: reader.flag("admission.is_paced", &self.is_paced, default.is_paced),
            prefers_near: reader.flag(
                "admission.prefers_near",
                &self.prefers_near,
                default.prefers_near,
            ),
        }
    }
}

/// A port, which may be written as a fraction without a fractional part.
fn port_of(value: &LenientValue) -> Option<u16> {
    match value {
        LenientValue::Number(number) if (1.0..=65535.0).contains(number) => {
            (number.fract() == 0.0).then_some(*number as u16)
        }
        _ => None,
    }
}

/// Parses settings and checks the constraints that the types do not express.
///
/// # Errors
///
/// Fails on malformed YAML, on an unknown field, if the name, the place, an address or the first port of the node is missing or not
/// valid, and on an unknown log level.
pub fn parse_settings(source_name: &str, text: &str) -> Result<ParsedSettings, SettingsError> {
    let file: SettingsFile = parse_filled_in(source_name, text)?;
    let invalid = |message: &str| SettingsError {
        source_name: source_name.into(),
        line: 0,
        message: message.into(),
    };
    let first_port = file.peer_ports.first().and_then(port_of);
    let first_port = first_port.ok_or_else(|| {
        invalid("peer_ports: must be the first and the last port, from 1 to 65535")
    })?;
    let log_level = file.log_level.unwrap_or(DEFAULT_LOG_LEVEL.into());
    if log_level.parse::<LevelFilter>().is_err() {
        return Err(invalid(
            "log_level: must be one of error, warn, info, debug, trace",
        ));
    }
    let mut reader = LenientReader::default();
    let processor = match &file.processor {
        LenientValue::Number(cores) => ProcessorShare::from_cores(*cores),
        _ => None,
    };
    let processor = processor
        .unwrap_or_else(|| reader.fall_back("processor", &file.processor, DEFAULT_PROCESSOR));
    let settings = EntrySettings {
        node: file.node,
        failure_domain: file.failure_domain,
        address: file.address,
        listen: file.listen,
        // Only the first port is used.
        peer_ports: (
            first_port,
            file.peer_ports
                .get(1)
                .and_then(port_of)
                .unwrap_or(first_port),
        ),
        store: file.store,
        memory: reader.size("memory", &file.memory, DEFAULT_MEMORY),
        processor,
        is_first_start: reader.flag("is_first_start", &file.is_first_start, false),
        bounds: file.bounds.unwrap_or_default().read(&mut reader),
        admission: file.admission.unwrap_or_default().read(&mut reader),
        log_level,
    };
    Ok(ParsedSettings {
        settings,
        deviations: reader.into_deviations(),
    })
}
