//! `jaysaddle replay`: replays a recorded trace and checks its stated outcomes.
//!
//! The format is described in docs/traces.md and parsed in `trace`. Requests run on threads of
//! their own at their time; faults are switched at theirs; outcomes are checked at the end.

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

/// Time for one answer.
const ANSWER_TIMEOUT_SECS: u64 = 60;

/// A stand-in's name and the address of its control routes.
#[derive(Clone, Debug)]
pub struct NamedAddress {
    name: String,
    address: SocketAddr,
}

impl FromStr for NamedAddress {
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

/// Options of `replay`.
#[derive(Clone, Debug, Bpaf)]
pub struct ReplayOptions {
    /// Callers' address of a node, in the order of the trace's node numbers; repeated
    #[bpaf(long, argument("IP:PORT"), some("name at least one node"))]
    node: Vec<SocketAddr>,
    /// Stand-in that takes faults, as in the trace; repeated
    #[bpaf(long, argument("NAME=IP:PORT"), many)]
    standin: Vec<NamedAddress>,
    /// Account key as ACCOUNT=KEY; repeated
    #[bpaf(long, argument("ACCOUNT=KEY"), many)]
    account: Vec<String>,
    /// Trace file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// What a request brought.
#[derive(Clone, Debug, Default)]
struct ReplayOutcome {
    status: Option<u16>,
    verdict: String,
    reason: String,
    text: String,
}

struct Replayer<'a> {
    options: &'a ReplayOptions,
    keys: BTreeMap<String, String>,
    /// Home tokens by request key, so that repeats name the same home.
    homes: BTreeMap<String, String>,
    started: Instant,
}

fn home_of(node: SocketAddr) -> Option<String> {
    let response = minreq::get(format!("http://{node}/v1/discovery"))
        .with_timeout(5)
        .send()
        .ok()?;
    let body: Value = serde_json::from_slice(response.as_bytes()).ok()?;
    body["home"].as_str().map(str::to_owned)
}

fn send(
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
        .with_timeout(ANSWER_TIMEOUT_SECS);
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
    let answer = body["choices"][0]["text"].as_str().map(str::to_owned);
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
        text: answer.unwrap_or(text),
    }
}

fn failure(message: impl Into<String>) -> CommandFailure {
    CommandFailure::new(FailureKind::Failed, message)
}

impl Replayer<'_> {
    fn wait_for(&self, step: &TraceStep) {
        let due = Duration::from_millis(step.at.as_millis());
        thread::sleep(due.saturating_sub(self.started.elapsed()));
    }

    fn node(&self, number: usize) -> Result<SocketAddr, CommandFailure> {
        self.options.node.get(number).copied().ok_or_else(|| {
            let message = format!("the trace names node {number}, which is not given");
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
            let message = format!("the trace names stand-in {name}, which is not given");
            CommandFailure::new(FailureKind::Invalid, message)
        })
    }

    fn start_request(
        &mut self,
        request: &TraceRequest,
    ) -> Result<thread::JoinHandle<ReplayOutcome>, CommandFailure> {
        let node = self.node(request.node)?;
        let key =
            self.keys.get(&request.account).cloned().ok_or_else(|| {
                failure(format!("no key is given for account {}", request.account))
            })?;
        let mut home = None;
        if let Some(name) = &request.key {
            if !self.homes.contains_key(name) {
                let token = home_of(node).ok_or_else(|| {
                    failure(format!(
                        "request {}: node {node} gives no home token",
                        request.id
                    ))
                })?;
                self.homes.insert(name.clone(), token);
            }
            home = self.homes.get(name).cloned();
        }
        let request = request.clone();
        Ok(thread::spawn(move || {
            send(node, &key, home.as_ref(), &request)
        }))
    }

    fn switch_fault(&self, standin: &str, fault: &Value) -> CommandResult {
        let address = self.standin(standin)?;
        let response = minreq::post(format!("http://{address}/control/fault"))
            .with_body(fault.to_string())
            .with_timeout(5)
            .send()
            .map_err(|error| failure(format!("stand-in {standin} does not answer: {error}")))?;
        if response.status_code == 200 {
            return Ok(());
        }
        let text = response.as_str().unwrap_or_default();
        Err(failure(format!(
            "stand-in {standin} refused the fault: {text}"
        )))
    }
}

/// Whether an outcome is the one stated; otherwise what was seen.
fn check(
    expected: &[ExpectedOutcome],
    outcome: &ReplayOutcome,
    outcomes: &BTreeMap<String, ReplayOutcome>,
) -> Result<(), String> {
    let met = expected.iter().any(|expected| match expected {
        ExpectedOutcome::Answered => outcome.status == Some(200) && !outcome.text.is_empty(),
        ExpectedOutcome::SameAs(other) => outcomes.get(other).is_some_and(|other| {
            other.status == Some(200) && outcome.status == Some(200) && other.text == outcome.text
        }),
        ExpectedOutcome::NotRun => outcome.verdict == "not_run",
        ExpectedOutcome::MayHaveRun => outcome.verdict == "may_have_run",
        ExpectedOutcome::NoAnswer => outcome.status.is_none(),
    });
    if met {
        return Ok(());
    }
    Err(format!(
        "expected {expected:?}, saw status {:?} verdict {:?} reason {:?}",
        outcome.status, outcome.verdict, outcome.reason
    ))
}

/// Starts of the request with `prompt`, summed over stand-ins.
///
/// A stand-in without a record of runs, such as the platform, counts as 0.
///
/// # Errors
///
/// Fails when a stand-in does not answer: a run that it made would go unnoticed.
fn count_runs(options: &ReplayOptions, prompt: &str) -> Result<u64, String> {
    let mut runs = 0;
    for standin in &options.standin {
        runs += count_runs_at(standin, prompt)
            .map_err(|error| format!("the runs at {} are not known: {error}", standin.name))?;
    }
    Ok(runs)
}

fn count_runs_at(standin: &NamedAddress, prompt: &str) -> eyre::Result<u64> {
    let response = minreq::get(format!("http://{}/control/runs", standin.address))
        .with_timeout(5)
        .send()?;
    if response.status_code == 404 {
        return Ok(0);
    }
    let list: Value = serde_json::from_slice(response.as_bytes())?;
    if list["dropped"].as_u64() != Some(0) {
        bail!("runs were not recorded");
    }
    let runs = list["runs"].as_array().into_iter().flatten();
    Ok(runs
        .filter(|run| run["prompt"] == prompt || run["body"] == prompt)
        .filter_map(|run| run["starts"].as_u64())
        .sum())
}

/// Carries out the command.
///
/// # Errors
///
/// Fails when the trace is not valid or a stated outcome is not met.
pub fn run(options: &ReplayOptions) -> CommandResult {
    let text = std::fs::read_to_string(&options.file).map_err(|error| {
        let message = format!("{}: {error}", options.file.display());
        CommandFailure::new(FailureKind::Invalid, message)
    })?;
    let steps = parse_trace(&text).map_err(|error| {
        let message = format!("{}:{error}", options.file.display());
        CommandFailure::new(FailureKind::Invalid, message)
    })?;
    let keys = options
        .account
        .iter()
        .filter_map(|pair| pair.split_once('='))
        .map(|(account, key)| (account.to_owned(), key.to_owned()))
        .collect();
    let mut replayer = Replayer {
        options,
        keys,
        homes: BTreeMap::new(),
        started: Instant::now(),
    };
    let mut running = Vec::new();
    for step in &steps {
        replayer.wait_for(step);
        match &step.action {
            TraceAction::Request(request) => {
                running.push((request.clone(), replayer.start_request(request)?));
            }
            TraceAction::Fault { standin, fault } => replayer.switch_fault(standin, fault)?,
        }
    }
    let mut outcomes = BTreeMap::new();
    let mut checks = Vec::new();
    for (request, thread) in running {
        let outcome = thread
            .join()
            .map_err(|_| failure(format!("the thread of request {} failed", request.id)))?;
        outcomes.insert(request.id.clone(), outcome.clone());
        checks.push((request, outcome));
    }
    report(options, &checks, &outcomes)
}

fn report(
    options: &ReplayOptions,
    checks: &[(TraceRequest, ReplayOutcome)],
    outcomes: &BTreeMap<String, ReplayOutcome>,
) -> CommandResult {
    let mut unmet = 0;
    for (request, outcome) in checks {
        let mut result = check(&request.expected, outcome, outcomes);
        if let (Ok(()), Some(most)) = (&result, request.runs_at_most) {
            result = match count_runs(options, &request.prompt) {
                Ok(runs) if runs > most => Err(format!("expected at most {most} runs, saw {runs}")),
                Ok(_) => Ok(()),
                Err(message) => Err(message),
            };
        }
        match result {
            Ok(()) => println!("{}: met ({})", request.id, describe(outcome)),
            Err(message) => {
                unmet += 1;
                println!("{}: NOT MET: {message}", request.id);
            }
        }
    }
    println!("{} outcomes stated, {unmet} not met", checks.len());
    if unmet == 0 {
        return Ok(());
    }
    Err(failure(format!("{unmet} stated outcomes are not met")))
}

fn describe(outcome: &ReplayOutcome) -> String {
    match outcome.status {
        None => "no answer".to_owned(),
        Some(200) => "answered".to_owned(),
        Some(status) => format!("{status} {} {}", outcome.verdict, outcome.reason),
    }
}
