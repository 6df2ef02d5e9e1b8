//! Callers that send requests continuously and check every response.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use jaysaddle_standins::expected_text;
use jaysaddle_types::ids::ModelId;
use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;
use crate::process::TestResponse;

/// Delay between two requests of one caller.
const CALLER_PAUSE: Duration = Duration::from_millis(10);

/// Counts of the outcomes that the callers observed.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Number of complete responses with the expected text.
    pub complete: u64,
    /// Number of refusals by reason, including those that ended a stream.
    pub refused: BTreeMap<String, u64>,
    /// Number of connections that broke before a response or in the middle of a stream.
    pub broken: u64,
    /// Responses that violate the API contract, with the prompt of their request.
    pub wrong: Vec<String>,
}

/// Outcome of one request as the caller observes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A complete response with the expected text.
    Complete,
    /// A refusal with its verdict and reason.
    Refused(String, String),
    /// No response, or a stream that ends without its end marker.
    Broken,
    /// A response that violates the API contract, with a description.
    Wrong(String),
}

/// Returns the text of a stream's events, whether the stream has its end marker, and the refusal
/// that ended it, if any.
fn parse_stream(text: &str) -> (String, bool, Option<Value>) {
    let events: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    let parsed: Vec<Value> = events
        .iter()
        .filter_map(|event| serde_json::from_str(event).ok())
        .collect();
    let pieces = parsed
        .iter()
        .filter_map(|event| event["choices"][0]["text"].as_str())
        .collect();
    let refusal = parsed.iter().find(|event| event["error"].is_object());
    (pieces, events.last() == Some(&"[DONE]"), refusal.cloned())
}

fn parse_refusal(body: &Value) -> CallerOutcome {
    let verdict = body["error"]["verdict"].as_str().unwrap_or_default();
    let reason = body["error"]["reason"].as_str().unwrap_or_default();
    if verdict.is_empty() || reason.is_empty() {
        return CallerOutcome::Wrong(format!("refusal without verdict or reason: {body}"));
    }
    CallerOutcome::Refused(verdict.to_owned(), reason.to_owned())
}

/// Classifies the response to a completion request.
pub fn classify_response(
    response: &Result<TestResponse, minreq::Error>,
    prompt: &str,
    max_tokens: u32,
    stream: bool,
) -> CallerOutcome {
    let expected = expected_text(&ModelId::new("reminder"), prompt, max_tokens);
    let Ok(response) = response else {
        return CallerOutcome::Broken;
    };
    // `minreq` returns this for a connection that closed before a status line; no node sends it.
    if response.status == 503 && response.text.is_empty() {
        return CallerOutcome::Broken;
    }
    if response.status != 200 {
        return parse_refusal(&response.json);
    }
    if !stream {
        if response.completion_text() == expected {
            return CallerOutcome::Complete;
        }
        return CallerOutcome::Wrong(format!("{prompt}: {}", response.text));
    }
    let (text, done, refusal) = parse_stream(&response.text);
    match (done, refusal) {
        (true, None) if text == expected => CallerOutcome::Complete,
        (false, refusal) if expected.starts_with(&text) => match refusal {
            Some(body) => parse_refusal(&body),
            None => CallerOutcome::Broken,
        },
        _ => CallerOutcome::Wrong(format!("{prompt}: {}", response.text)),
    }
}

/// Sends a completion request and classifies its response.
pub fn request_completion(
    deployment: &Deployment,
    node: usize,
    prompt: &str,
    max_tokens: u32,
    stream: bool,
    headers: &[(&str, &str)],
) -> CallerOutcome {
    let body = json!({
        "model": "reminder",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    });
    let mut all = vec![("Authorization", "Bearer lender-a-key")];
    all.extend(headers);
    let response = deployment.post(node, "/v1/completions", &all, &body.to_string());
    classify_response(&response, prompt, max_tokens, stream)
}

#[derive(Default)]
struct LoadState {
    stop: AtomicBool,
    nodes: Mutex<Vec<usize>>,
    report: Mutex<LoadReport>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Caller threads, which are stopped and joined on drop.
pub struct CallerLoad {
    state: Arc<LoadState>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerLoad {
    /// Starts callers that use all nodes in turn; each request generates up to `max_tokens` tokens.
    pub fn start(deployment: &Arc<Deployment>, callers: usize, max_tokens: u32) -> Self {
        let state = Arc::new(LoadState {
            nodes: Mutex::new((0..deployment.nodes.len()).collect()),
            ..LoadState::default()
        });
        let threads = (0..callers)
            .map(|caller| {
                let state = Arc::clone(&state);
                let deployment = Arc::clone(deployment);
                thread::spawn(move || run_caller(&state, &deployment, caller, max_tokens))
            })
            .collect();
        Self { state, threads }
    }

    /// Restricts the following requests to these nodes.
    pub fn use_nodes(&self, nodes: &[usize]) {
        *lock(&self.state.nodes) = nodes.to_vec();
    }

    /// A snapshot of the outcomes so far.
    pub fn report(&self) -> LoadReport {
        lock(&self.state.report).clone()
    }

    /// Waits until the callers have received `count` more complete responses.
    pub fn wait_complete(&self, deployment: &Deployment, count: u64) {
        let goal = self.report().complete + count;
        deployment.wait_until("callers get responses", |_| self.report().complete >= goal);
    }

    /// Stops the callers and asserts that no response violated the API contract.
    pub fn finish(mut self) -> LoadReport {
        self.state.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("no caller panics");
        }
        let report = self.report();
        assert!(report.wrong.is_empty(), "wrong responses: {report:?}");
        report
    }
}

impl Drop for CallerLoad {
    fn drop(&mut self) {
        self.state.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A caller's panic is reported by the test that waits for its responses.
            let _ = thread.join();
        }
    }
}

fn run_caller(state: &LoadState, deployment: &Deployment, caller: usize, max_tokens: u32) {
    let mut round = 0;
    while !state.stop.load(Ordering::Relaxed) {
        let nodes = lock(&state.nodes).clone();
        let node = nodes[(caller + round) % nodes.len()];
        let prompt = format!("caller {caller} round {round}");
        // Responses differ in length, so that concurrent runs overlap in every phase.
        let tokens = 1 + max_tokens * (1 + u32::try_from(round % 4).unwrap_or(0)) / 4;
        let stream = round % 2 == 0;
        let outcome = request_completion(deployment, node, &prompt, tokens, stream, &[]);
        let mut report = lock(&state.report);
        match outcome {
            CallerOutcome::Complete => report.complete += 1,
            CallerOutcome::Broken => report.broken += 1,
            CallerOutcome::Wrong(text) => report.wrong.push(format!("node {node}: {text}")),
            CallerOutcome::Refused(_, reason) => *report.refused.entry(reason).or_default() += 1,
        }
        drop(report);
        round += 1;
        thread::sleep(CALLER_PAUSE);
    }
}
