//! `jaysaddle plan`: shows which groups a controller would form from the backend servers registered on the platform.
//!
//! The command runs the controller on saved store listings and sends no orders.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bpaf::Bpaf;
use jaysaddle_adapter::backend::parse_entry;
use jaysaddle_adapter::config::parse_config;
use jaysaddle_adapter::store::ObjectKind;
use jaysaddle_adapter::store::StoreCall;
use jaysaddle_adapter::store::StoreObject;
use jaysaddle_adapter::store::StoreResponse;
use jaysaddle_adapter::store::parse_response;
use jaysaddle_fleet::controller::ControllerTiming;
use jaysaddle_fleet::controller::FleetController;
use jaysaddle_fleet::controller::FleetEffect;
use jaysaddle_fleet::controller::FleetEvent;
use jaysaddle_fleet::controller::FleetView;
use jaysaddle_fleet::table::BackendTable;
use jaysaddle_types::ids::LeaseEpoch;
use jaysaddle_types::serving::ServingConfig;
use jaysaddle_types::units::Timestamp;

use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;

/// Saved store listings to plan from
#[derive(Clone, Debug, Bpaf)]
pub struct PlanOptions {
    /// Store's list response for the objects that hold the configuration
    #[bpaf(long("config"), argument("FILE"))]
    config: PathBuf,
    /// Store's list response for the registered backend servers
    #[bpaf(long("backends"), argument("FILE"))]
    backends: PathBuf,
}

/// Simulated run time of the controller, in milliseconds. The controller waits for late entries before it plans, and
/// reports its statistics once a second.
const SIMULATED_MS: u64 = 6000;
/// Simulated interval between ticks of the controller, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;

fn invalid(message: String) -> CommandFailure {
    CommandFailure::new(FailureKind::Invalid, message)
}

fn read_list(path: &Path, kind: ObjectKind) -> Result<Vec<StoreObject>, CommandFailure> {
    let body = fs::read(path).map_err(|error| invalid(format!("{}: {error}", path.display())))?;
    let call = StoreCall::List {
        kind,
        after: None,
        may_be_stale: true,
    };
    let response = parse_response(&call, 200, &body)
        .map_err(|error| invalid(format!("{}: {error:#}", path.display())))?;
    match response {
        StoreResponse::Page { objects, .. } => Ok(objects),
        _ => Err(invalid(format!("{}: not a list response", path.display()))),
    }
}

/// Runs a controller that has just acquired the lease and returns the last decision line for each subject.
pub fn plan_lines(config: &ServingConfig, table: &BackendTable) -> Vec<String> {
    let mut controller = FleetController::new(ControllerTiming::default());
    let mut subjects: BTreeMap<String, usize> = BTreeMap::new();
    let mut lines: Vec<String> = Vec::new();
    let mut step = |event, now: u64| {
        let view = FleetView {
            table,
            config,
            is_table_current: true,
        };
        for effect in controller.step(event, view, Timestamp(now)) {
            let line = match effect {
                FleetEffect::LogDecision(text) => text.to_string(),
                FleetEffect::ReportStats(stats) => format!("decision=summary {stats}"),
                FleetEffect::Order { .. } | FleetEffect::Probe { .. } => continue,
            };
            let subject = line.split(' ').next().unwrap_or_default().to_owned();
            match subjects.get(&subject) {
                Some(index) => lines[*index] = line,
                None => {
                    subjects.insert(subject, lines.len());
                    lines.push(line);
                }
            }
        }
    };
    step(FleetEvent::Acquired(LeaseEpoch(1)), 0);
    step(FleetEvent::Traffic(Vec::new()), 0);
    for now in (TICK_INTERVAL_MS..=SIMULATED_MS).step_by(TICK_INTERVAL_MS as usize) {
        step(FleetEvent::Tick, now);
    }
    lines
}

/// Runs the command.
///
/// # Errors
///
/// Fails when a file cannot be read or is not a list response of the store.
pub fn run(options: &PlanOptions) -> CommandResult {
    let configs = read_list(&options.config, ObjectKind::Config)?;
    let Some(object) = configs.first() else {
        return Err(invalid(format!(
            "{}: the list has no configuration object",
            options.config.display()
        )));
    };
    let decoded = parse_config(&object.spec).map_err(|error| invalid(format!("{error:#}")))?;
    for problem in &decoded.problems {
        println!("ignored: {problem}");
    }
    let mut table = BackendTable::default();
    for object in read_list(&options.backends, ObjectKind::Backends)? {
        match parse_entry(&object.name, &object.spec) {
            Ok(entry) => {
                table.put(entry, Timestamp(0));
            }
            Err(error) => println!("ignored: {}: {error:#}", object.name),
        }
    }
    for line in plan_lines(&decoded.config, &table) {
        println!("{line}");
    }
    Ok(())
}
