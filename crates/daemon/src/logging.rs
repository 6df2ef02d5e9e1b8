//! Logging to standard error as `key=value` text or JSON.

use std::io;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use eyre::WrapErr;
use jaysaddle_settings::node::LogFormat;
use jaysaddle_settings::node::LogSettings;
use jaysaddle_types::ids::NodeId;
use log::LevelFilter;

/// Log target of decisions, which allows log filters to select them.
pub const DECISION_TARGET: &str = "decision";

fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}

/// Installs a logger that writes all log lines of the process to standard error.
///
/// # Errors
///
/// Fails when the level is unknown or a logger is already installed.
pub fn init(settings: &LogSettings, node: &NodeId) -> eyre::Result<()> {
    let level: LevelFilter = settings
        .level
        .parse()
        .wrap_err_with(|| format!("log level {:?} is unknown", settings.level))?;
    let node = node.clone();
    let format = settings.format;
    fern::Dispatch::new()
        .level(level)
        // `tiny_http` logs the end of each accept loop as an error; `listener` handles that case.
        .level_for("tiny_http", LevelFilter::Off)
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!(
                "ts={} level={} node={node} target={} {message}",
                unix_millis(),
                record.level(),
                record.target(),
            )),
            LogFormat::Json => {
                let line = serde_json::json!({
                    "ts": u64::try_from(unix_millis()).unwrap_or(u64::MAX),
                    "level": record.level().as_str(),
                    "node": node.as_str(),
                    "target": record.target(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            }
        })
        .chain(io::stderr())
        .apply()
        .wrap_err("a logger is already installed")
}
