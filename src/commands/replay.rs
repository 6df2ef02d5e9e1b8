//! `jaysaddle replay`: replays a trace and checks its expected outcomes.
//!
//! docs/traces.md describes the format, which the `trace` module parses. Each request is sent on its
//! own thread at its scheduled time, faults are set at theirs, and outcomes are checked at the end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use eyre::bail;
use serde_json::Value;
use serde_json::json;

use crate::client::NO_STATUS_LINE;
use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;
use crate::trace::ExpectedOutcome;
use crate::trace::TraceAction;
use crate::trace::TraceRequest;
use crate::trace::TraceStep;
use crate::trace::parse_trace;

/// Timeout of one request.
const REQUEST_TIMEOUT_SECS: u64 = 60;

/// Name of a stand-in in the trace and address of its control routes.
#[derive(Clone, Debug)]
pub struct StandinAddress {
    name: String,
    address: SocketAddr,
}

impl FromStr for StandinAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, address) = text
            .split_once('=')
            .ok_or_else(|| format!("{text:?}: expected NAME=IP:PORT"))?;
        Ok(Self {
            name: name.to_owned(),
            address: address
                .parse()
                .map_err(|error| format!("{address:?}: {error}"))?,
        })
    }
}

/// Trace to replay and the deployment that serves it
#[derive(Clone, Debug, Bpaf)]
pub struct ReplayOptions {
    /// Caller address of a node; repeated in the order of the trace's node numbers
    #[bpaf(long, argument("IP:PORT"), some("at least one --node is required"))]
    node: Vec<SocketAddr>,
    /// Stand-in that the trace injects faults into; may be repeated
    #[bpaf(long, argument("NAME=IP:PORT"), many)]
    standin: Vec<StandinAddress>,
    /// Key of a client account; may be repeated
    #[bpaf(long, argument("ACCOUNT=KEY"), many)]
    account: Vec<String>,
    /// Trace file; see docs/traces.md
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Response to a request; `status` is absent when the connection ended without one.
#[derive(Clone, Debug, Default)]
struct ReplayOutcome {
    status: Option<u16>,
    verdict: String,
    reason: String,
    text: String,
}

struct Replayer<'a> {
    options: &'a ReplayOptions,
    account_keys: BTreeMap<String, String>,
    /// Home token of each idempotency key, so that retries of a request use the same home.
    home_tokens: BTreeMap<String, String>,
    started: Instant,
}

fn fetch_home_token(node: SocketAddr) -> Option<String> {
    let response = minreq::get(format!("http://{node}/v1/discovery"))
        .with_timeout(5)
        .send()
        .ok()?;
    let body: Value = serde_json::from_slice(response.as_bytes()).ok()?;
    body["home"].as_str().map(str::to_owned)
}

fn send_request(
    node: SocketAddr,
    key: &str,
    home: Option<&String>,
    request: &TraceRequest,
) -> ReplayOutcome {
    let body = match &request.model {
        Some(model) => json!({
            "model": model,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
        })
        .to_string(),
        None => request.prompt.clone(),
    };
    let path = match &request.service {
        Some(service) => format!("/v1/services/{service}"),
        None => "/v1/completions".to_owned(),
    };
    let mut call = minreq::post(format!("http://{node}{path}"))
        .with_header("Authorization", format!("Bearer {key}"))
        .with_header("Jaysaddle-Idempotent", request.idempotent.to_string())
        .with_body(body)
        .with_timeout(REQUEST_TIMEOUT_SECS);
    if let Some(deadline) = request.deadline_ms {
        call = call.with_header("Jaysaddle-Deadline-Ms", deadline.to_string());
    }
    if let (Some(key), Some(home)) = (&request.key, home) {
        call = call
            .with_header("Idempotency-Key", key)
            .with_header("Jaysaddle-Home", home);
    }
    let Ok(response) = call.send() else {
        return ReplayOutcome::default();
    };
    if response.reason_phrase == NO_STATUS_LINE {
        return ReplayOutcome::default();
    }
    let text = String::from_utf8_lossy(response.as_bytes()).into_owned();
    let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let completion = body["choices"][0]["text"].as_str().map(str::to_owned);
    ReplayOutcome {
        status: Some(response.status_code),
        verdict: body["error"]["verdict"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        reason: body["error"]["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        text: completion.unwrap_or(text),
    }
}

fn failure(message: impl Into<String>) -> CommandFailure {
    CommandFailure::new(FailureKind::Failed, message)
}

impl Replayer<'_> {
    fn wait_until_due(&self, step: &TraceStep) {
        let due = Duration::from_millis(step.at.as_millis());
        thread::sleep(due.saturating_sub(self.started.elapsed()));
    }

    fn node(&self, number: usize) -> Result<SocketAddr, CommandFailure> {
        self.options.node.get(number).copied().ok_or_else(|| {
            let message = format!("the trace uses node {number}, for which no --node is given");
            CommandFailure::new(FailureKind::Invalid, message)
        })
    }

    fn standin(&self, name: &str) -> Result<SocketAddr, CommandFailure> {
        let found = self
            .options
            .standin
            .iter()
            .find(|standin| standin.name == name);
        found.map(|standin| standin.address).ok_or_else(|| {
            let message =
                format!("the trace uses stand-in {name}, for which no --standin is given");
            CommandFailure::new(FailureKind::Invalid, message)
        })
    }

    fn start_request(
        &mut self,
        request: &TraceRequest,
    ) -> Result<thread::JoinHandle<ReplayOutcome>, CommandFailure> {
        let node = self.node(request.node)?;
        let key = self
            .account_keys
            .get(&request.account)
            .cloned()
            .ok_or_else(|| {
                failure(format!(
                    "no --account key is given for account {}",
                    request.account
                ))
            })?;
        let mut home = None;
        if let Some(name) = &request.key {
            if !self.home_tokens.contains_key(name) {
                let token = fetch_home_token(node).ok_or_else(|| {
                    failure(format!(
                        "request {}: node {node} returned no home token",
                        request.id
                    ))
                })?;
                self.home_tokens.insert(name.clone(), token);
            }
            home = self.home_tokens.get(name).cloned();
        }
        let request = request.clone();
        Ok(thread::spawn(move || {
            send_request(node, &key, home.as_ref(), &request)
        }))
    }

    fn set_fault(&self, standin: &str, fault: &Value) -> CommandResult {
        let address = self.standin(standin)?;
        let response = minreq::post(format!("http://{address}/control/fault"))
            .with_body(fault.to_string())
            .with_timeout(5)
            .send()
            .map_err(|error| failure(format!("stand-in {standin} does not respond: {error}")))?;
        if response.status_code == 200 {
            return Ok(());
        }
        let text = response.as_str().unwrap_or_default();
        Err(failure(format!(
            "stand-in {standin} rejected the fault: {text}"
        )))
    }
}

/// Checks that an outcome is one of the expected ones; otherwise returns a message that shows both.
fn check_outcome(
    expected: &[ExpectedOutcome],
    outcome: &ReplayOutcome,
    outcomes: &BTreeMap<String, ReplayOutcome>,
) -> Result<(), String> {
    let is_met = expected.iter().any(|expected| match expected {
        ExpectedOutcome::Answered => outcome.status == Some(200) && !outcome.text.is_empty(),
        ExpectedOutcome::SameAs(id) => outcomes.get(id).is_some_and(|other| {
            other.status == Some(200) && outcome.status == Some(200) && other.text == outcome.text
        }),
        ExpectedOutcome::NotRun => outcome.verdict == "not_run",
        ExpectedOutcome::MayHaveRun => outcome.verdict == "may_have_run",
        ExpectedOutcome::NoAnswer => outcome.status.is_none(),
    });
    if is_met {
        return Ok(());
    }
    Err(format!(
        "expected {expected:?}, got status {:?} verdict {:?} reason {:?}",
        outcome.status, outcome.verdict, outcome.reason
    ))
}

/// Counts how often the request with `prompt` was started, over all stand-ins.
///
/// A stand-in that does not record runs, such as the platform, counts as 0.
///
/// # Errors
///
/// Fails when a stand-in does not respond or has dropped records, because runs would be missing from
/// the count of the request.
fn count_runs(options: &ReplayOptions, prompt: &str) -> Result<u64, String> {
    let mut runs = 0;
    for standin in &options.standin {
        runs += count_runs_at(standin, prompt)
            .map_err(|error| format!("cannot read the run record of {}: {error}", standin.name))?;
    }
    Ok(runs)
}

fn count_runs_at(standin: &StandinAddress, prompt: &str) -> eyre::Result<u64> {
    let response = minreq::get(format!("http://{}/control/runs", standin.address))
        .with_timeout(5)
        .send()?;
    if response.status_code == 404 {
        return Ok(0);
    }
    let list: Value = serde_json::from_slice(response.as_bytes())?;
    if list["dropped"].as_u64() != Some(0) {
        bail!("the run record is incomplete");
    }
    let runs = list["runs"].as_array().into_iter().flatten();
    Ok(runs
        .filter(|run| run["prompt"] == prompt || run["body"] == prompt)
        .filter_map(|run| run["starts"].as_u64())
        .sum())
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the trace is not valid or a request does not have an expected outcome.
pub fn run(options: &ReplayOptions) -> CommandResult {
    let text = std::fs::read_to_string(&options.file).map_err(|error| {
        let message = format!("{}: {error}", options.file.display());
        CommandFailure::new(FailureKind::Invalid, message)
    })?;
    let steps = parse_trace(&text).map_err(|error| {
        let message = format!("{}:{error}", options.file.display());
        CommandFailure::new(FailureKind::Invalid, message)
    })?;
    let account_keys = options
        .account
        .iter()
        .filter_map(|pair| pair.split_once('='))
        .map(|(account, key)| (account.to_owned(), key.to_owned()))
        .collect();
    let mut replayer = Replayer {
        options,
        account_keys,
        home_tokens: BTreeMap::new(),
        started: Instant::now(),
    };
    let mut running = Vec::new();
    for step in &steps {
        replayer.wait_until_due(step);
        match &step.action {
            TraceAction::Request(request) => {
                running.push((request.clone(), replayer.start_request(request)?));
            }
            TraceAction::Fault { standin, fault } => replayer.set_fault(standin, fault)?,
        }
    }
    let mut outcomes = BTreeMap::new();
    let mut checks = Vec::new();
    for (request, thread) in running {
        let outcome = thread
            .join()
            .map_err(|_| failure(format!("the thread of request {} panicked", request.id)))?;
        outcomes.insert(request.id.clone(), outcome.clone());
        checks.push((request, outcome));
    }
    report_results(options, &checks, &outcomes)
}

fn report_results(
    options: &ReplayOptions,
    checks: &[(TraceRequest, ReplayOutcome)],
    outcomes: &BTreeMap<String, ReplayOutcome>,
) -> CommandResult {
    let mut failed_count = 0;
    for (request, outcome) in checks {
        let mut result = check_outcome(&request.expected, outcome, outcomes);
        if let (Ok(()), Some(max)) = (&result, request.runs_at_most) {
            result = match count_runs(options, &request.prompt) {
                Ok(runs) if runs > max => Err(format!("expected at most {max} runs, got {runs}")),
                Ok(_) => Ok(()),
                Err(message) => Err(message),
            };
        }
        match result {
            Ok(()) => println!("{}: ok ({})", request.id, describe_outcome(outcome)),
            Err(message) => {
                failed_count += 1;
                println!("{}: FAILED: {message}", request.id);
            }
        }
    }
    println!("{} requests checked, {failed_count} failed", checks.len());
    if failed_count == 0 {
        return Ok(());
    }
    Err(failure(format!(
        "{failed_count} requests did not have an expected outcome"
    )))
}

fn describe_outcome(outcome: &ReplayOutcome) -> String {
    match outcome.status {
        None => "no response".to_owned(),
        Some(200) => "answered".to_owned(),
        Some(status) => format!("{status} {} {}", outcome.verdict, outcome.reason),
    }
}
