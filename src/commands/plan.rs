//! `jaysaddle plan`: which groups a controller on the platform would form of the registered backend servers.
//!
//! It reads what the platform's store holds, from files, and gives no orders.

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

/// Options of `plan`.
#[derive(Clone, Debug, Bpaf)]
pub struct PlanOptions {
    /// The platform's list of the objects that hold the configuration, as its store answers it
    #[bpaf(long("config"), argument("FILE"))]
    config: PathBuf,
    /// The platform's list of registered backend servers, as its store answers it
    #[bpaf(long("backends"), argument("FILE"))]
    backends: PathBuf,
}

/// Time for which the controller runs: it waits for late entries first, and reports figures once a second.
const RUN_MS: u64 = 6000;
/// Interval of its steps.
const STEP_MS: u64 = 100;

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
    let answer = parse_response(&call, 200, &body)
        .map_err(|error| invalid(format!("{}: {error:#}", path.display())))?;
    match answer {
        StoreResponse::Page { objects, .. } => Ok(objects),
        _ => Err(invalid(format!("{}: not a list", path.display()))),
    }
}

/// What a controller that has just taken over decides, the last line of each subject.
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
                FleetEffect::ReportStats(figures) => format!("decision=summary {figures}"),
                FleetEffect::Order { .. } | FleetEffect::Probe { .. } => continue,
            };
            let subject = line.split(' ').next().unwrap_or_default().to_owned();
            match subjects.get(&subject) {
                Some(position) => lines[*position] = line,
                None => {
                    subjects.insert(subject, lines.len());
                    lines.push(line);
                }
            }
        }
    };
    step(FleetEvent::Acquired(LeaseEpoch(1)), 0);
    step(FleetEvent::Traffic(Vec::new()), 0);
    for now in (STEP_MS..=RUN_MS).step_by(STEP_MS as usize) {
        step(FleetEvent::Tick, now);
    }
    lines
}

/// Carries out the command.
///
/// # Errors
///
/// Fails when a file cannot be read or has another form.
pub fn run(options: &PlanOptions) -> CommandResult {
    let configs = read_list(&options.config, ObjectKind::Config)?;
    let Some(object) = configs.first() else {
        return Err(invalid(format!(
            "{}: no configuration",
            options.config.display()
        )));
    };
    let decoded = parse_config(&object.spec).map_err(|error| invalid(format!("{error:#}")))?;
    for problem in &decoded.problems {
        println!("passed over: {problem}");
    }
    let mut table = BackendTable::default();
    for object in read_list(&options.backends, ObjectKind::Backends)? {
        match parse_entry(&object.name, &object.spec) {
            Ok(entry) => {
                table.put(entry, Timestamp(0));
            }
            Err(error) => println!("passed over: {}: {error:#}", object.name),
        }
    }
    for line in plan_lines(&decoded.config, &table) {
        println!("{line}");
    }
    Ok(())
}
