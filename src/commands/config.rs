//! `jaysaddle config check`: reviews a configuration of the platform before it is sent.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use compact_str::CompactString;
use jaysaddle_adapter::config::DecodedConfig;
use jaysaddle_adapter::config::parse_config;
use jaysaddle_adapter::store::CONFIG_NAME;
use jaysaddle_adapter::store::ObjectKind;
use jaysaddle_adapter::store::StoreCall;
use jaysaddle_adapter::store::StoreResponse;
use jaysaddle_adapter::store::encode_call;
use jaysaddle_adapter::store::parse_response;
use jaysaddle_gateway::config_review::ConfigDifference;
use jaysaddle_gateway::config_review::FindingKind;
use jaysaddle_gateway::config_review::ReviewFinding;
use jaysaddle_gateway::config_review::compare_configs;
use jaysaddle_gateway::config_review::review_config;
use jaysaddle_types::serving::ServingConfig;
use serde_json::Value;
use serde_json::json;

use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;

/// Timeout of the call to the store, in seconds.
const CALL_TIMEOUT_SECS: u64 = 10;

/// Reviews a configuration before it is sent
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigAction {
    /// Reports errors, entries that can never match, contradictions, and differences from the configuration in force
    #[bpaf(command)]
    Check {
        /// Address of the platform's store, whose configuration is compared
        #[bpaf(long, argument("IP:PORT"), optional)]
        against: Option<SocketAddr>,
        /// Output format: table or json
        #[bpaf(
            long,
            argument("FORMAT"),
            fallback(OutputFormat::Table),
            display_fallback
        )]
        output: OutputFormat,
        /// File with the configuration as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Format of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// A line for each finding and difference.
    Table,
    /// One JSON object.
    Json,
}

impl std::fmt::Display for OutputFormat {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            OutputFormat::Table => "table",
            OutputFormat::Json => "json",
        })
    }
}

impl std::str::FromStr for OutputFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(OutputFormat::Table),
            "json" => Ok(OutputFormat::Json),
            _ => Err("expected table or json"),
        }
    }
}

/// What is found in a configuration file.
struct ConfigReport {
    version: u64,
    findings: Vec<ReviewFinding>,
    /// Version in force and the differences from it; `None` without a comparison.
    comparison: Option<(u64, Vec<ConfigDifference>)>,
}

fn invalid(message: impl Into<String>) -> CommandFailure {
    CommandFailure::new(FailureKind::Invalid, message)
}

/// Reads a configuration. Parts that cannot be decoded become findings.
fn read_config(
    text: &str,
    file: &str,
) -> Result<(ServingConfig, Vec<ReviewFinding>), CommandFailure> {
    // The messages of the parser name line and column.
    let value: Value =
        serde_json::from_str(text).map_err(|error| invalid(format!("{file}: {error}")))?;
    let DecodedConfig { config, problems } =
        parse_config(&value).map_err(|error| invalid(format!("{file}: {error:#}")))?;
    let findings = problems.into_iter().map(|problem| ReviewFinding {
        kind: FindingKind::Error,
        field: CompactString::const_new("entry"),
        text: problem,
    });
    Ok((config, findings.collect()))
}

fn read_in_force(store: SocketAddr) -> Result<ServingConfig, CommandFailure> {
    let unavailable = |message: String| CommandFailure::new(FailureKind::Unavailable, message);
    let call = StoreCall::Read {
        kind: ObjectKind::Config,
        name: CONFIG_NAME.into(),
    };
    let url = format!("http://{store}{}", encode_call(&call).target);
    let response = minreq::get(url)
        .with_timeout(CALL_TIMEOUT_SECS)
        .send()
        .map_err(|error| unavailable(format!("store {store}: {error}")))?;
    let status = response.status_code;
    match parse_response(&call, status, response.as_bytes()) {
        Ok(StoreResponse::Object(object)) => parse_config(&object.spec)
            .map(|decoded| decoded.config)
            .map_err(|error| unavailable(format!("configuration in force: {error:#}"))),
        Ok(StoreResponse::NotFound) => Err(CommandFailure::new(
            FailureKind::NotFound,
            "the store holds no configuration",
        )),
        Ok(_) => Err(unavailable(format!("store {store}: status {status}"))),
        Err(error) => Err(unavailable(format!("store {store}: {error:#}"))),
    }
}

impl ConfigReport {
    fn print(&self, output: OutputFormat) {
        if output == OutputFormat::Json {
            let findings = self.findings.iter().map(|finding| {
                json!({"kind": finding.kind.to_string(), "field": finding.field, "text": finding.text})
            });
            let mut report = json!({
                "version": self.version, "findings": findings.collect::<Vec<_>>()
            });
            if let Some((version, differences)) = &self.comparison {
                let differences = differences.iter().map(|difference| {
                    json!({"kind": difference.kind.to_string(), "entry": difference.entry})
                });
                report["against"] = json!(version);
                report["differences"] = differences.collect();
            }
            println!("{report:#}");
            return;
        }
        for finding in &self.findings {
            println!("{finding}");
        }
        if let Some((version, differences)) = &self.comparison {
            for difference in differences {
                println!("{difference}");
            }
            println!(
                "version {} against {version}: {} differences",
                self.version,
                differences.len()
            );
        }
        println!("{} findings", self.findings.len());
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails with [`FailureKind::Invalid`] if the configuration has errors, and with [`FailureKind::Failed`] if it has other
/// findings.
pub fn run(action: &ConfigAction) -> CommandResult {
    let ConfigAction::Check {
        against,
        output,
        file,
    } = action;
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| invalid(format!("{name}: {error}")))?;
    let (config, mut findings) = read_config(&text, &name)?;
    findings.extend(review_config(&config));
    let comparison = match against {
        Some(store) => {
            let in_force = read_in_force(*store)?;
            if config.version <= in_force.version {
                findings.push(ReviewFinding {
                    kind: FindingKind::Error,
                    field: "version".into(),
                    text: format!(
                        "{} is not above {}, which is in force, so no node applies it",
                        config.version, in_force.version
                    )
                    .into(),
                });
            }
            Some((in_force.version, compare_configs(&in_force, &config)))
        }
        None => None,
    };
    let worst = findings.iter().map(|finding| finding.kind).min();
    let report = ConfigReport {
        version: config.version,
        findings,
        comparison,
    };
    report.print(*output);
    match worst {
        None => Ok(()),
        Some(FindingKind::Error) => Err(invalid(format!("{name}: the configuration has errors"))),
        Some(_) => Err(CommandFailure::new(
            FailureKind::Failed,
            format!("{name}: the configuration has findings"),
        )),
    }
}
