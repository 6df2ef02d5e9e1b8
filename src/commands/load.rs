//! `jaysaddle load`: puts load on a node and on an engine directly, and compares them.
//!
//! Both paths run in the same command, one round of each in turn, so that the state of the machine
//! affects them alike. Every answer is read to its end; an answer without an end marker counts as an
//! error.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use serde_json::Value;
use serde_json::json;

use crate::client::OutputFormat;
use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;

/// Stack of a thread that reads one stream.
const STREAM_STACK_BYTES: usize = 256 * 1024;

/// Time for one answer.
const ANSWER_TIMEOUT_SECS: u64 = 120;

/// Options of `load`.
#[derive(Clone, Debug, Bpaf)]
pub struct LoadOptions {
    /// Callers' address of the node
    #[bpaf(long, argument("IP:PORT"))]
    node: SocketAddr,
    /// Leader to compare with; its group and generation are read from its status
    #[bpaf(long, argument("IP:PORT"))]
    direct: Option<SocketAddr>,
    /// Account key
    #[bpaf(long, argument("KEY"), env("JAYSADDLE_ACCOUNT_KEY"))]
    account_key: String,
    /// Model
    #[bpaf(long, argument("MODEL"))]
    model: String,
    /// Streams at once
    #[bpaf(long, argument("COUNT"), fallback(200))]
    streams: usize,
    /// Requests a second; 0 starts the next request when one ends
    #[bpaf(long, argument("RATE"), fallback(0))]
    rate: u64,
    /// Requests in one round
    #[bpaf(long, argument("COUNT"), fallback(1000))]
    requests: u64,
    /// Rounds of each path
    #[bpaf(long, argument("COUNT"), fallback(3))]
    rounds: u32,
    /// Tokens of an answer
    #[bpaf(long, argument("COUNT"), fallback(32))]
    max_tokens: u32,
    /// Form of the output: table or json
    #[bpaf(long, argument("FORMAT"), fallback(OutputFormat::Table))]
    output: OutputFormat,
}

/// A path that requests take.
#[derive(Clone, Debug)]
enum LoadPath {
    Node {
        address: SocketAddr,
        key: String,
    },
    Direct {
        address: SocketAddr,
        group: Value,
        generation: Value,
    },
}

/// What one answer showed.
#[derive(Clone, Debug, Default)]
struct AnswerSample {
    first_token: Duration,
    gaps: Vec<Duration>,
    whole: bool,
}

/// Figures of one round.
#[derive(Clone, Debug, Default)]
struct RoundFigures {
    first_tokens: Vec<Duration>,
    gaps: Vec<Duration>,
    errors: u64,
    seconds: f64,
}

impl LoadPath {
    fn request(&self, options: &LoadOptions, number: u64, round: u32) -> minreq::Request {
        let prompt = format!("load round {round} request {number}");
        match self {
            LoadPath::Node { address, key } => {
                let body = json!({
                    "model": options.model,
                    "prompt": prompt,
                    "max_tokens": options.max_tokens,
                    "stream": true,
                });
                minreq::post(format!("http://{address}/v1/completions"))
                    .with_header("Authorization", format!("Bearer {key}"))
                    .with_body(body.to_string())
            }
            LoadPath::Direct {
                address,
                group,
                generation,
            } => {
                let body = json!({
                    "request_id": format!("load.{}.{round}.{number}", std::process::id()),
                    "attempt": 1,
                    "group": group,
                    "generation": generation,
                    "model": options.model,
                    "prompt": prompt,
                    "max_tokens": options.max_tokens,
                    "priority": 5,
                    "offset": 0,
                    "resume": false,
                    "deadline_ms": ANSWER_TIMEOUT_SECS * 1000,
                });
                minreq::post(format!("http://{address}/engine/completions"))
                    .with_body(body.to_string())
            }
        }
    }

    /// Whether an event is the last of a whole answer.
    fn is_end(&self, data: &str) -> bool {
        match self {
            LoadPath::Node { .. } => data == "[DONE]",
            LoadPath::Direct { .. } => {
                serde_json::from_str::<Value>(data).is_ok_and(|chunk| chunk["finish"].is_string())
            }
        }
    }

    fn is_text(&self, data: &str) -> bool {
        match self {
            LoadPath::Node { .. } => data.contains("\"finish_reason\":null"),
            LoadPath::Direct { .. } => true,
        }
    }

    fn run(&self, options: &LoadOptions, number: u64, round: u32) -> AnswerSample {
        let started = Instant::now();
        let mut sample = AnswerSample::default();
        let answer = self
            .request(options, number, round)
            .with_timeout(ANSWER_TIMEOUT_SECS)
            .send_lazy();
        let Ok(response) = answer else {
            return sample;
        };
        if response.status_code != 200 {
            return sample;
        }
        let mut last: Option<Instant> = None;
        for line in BufReader::with_capacity(4096, response).lines() {
            let Ok(line) = line else {
                return sample;
            };
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            let now = Instant::now();
            if self.is_text(data) {
                match last {
                    None => sample.first_token = now - started,
                    Some(last) => sample.gaps.push(now - last),
                }
                last = Some(now);
            }
            if self.is_end(data) {
                sample.whole = last.is_some();
                return sample;
            }
        }
        sample
    }
}

/// The value at `permille` of sorted `values`, in milliseconds.
fn quantile(values: &[Duration], permille: usize) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    let index = (values.len() - 1) * permille / 1000;
    values[index].as_secs_f64() * 1000.0
}

/// Waits until request `number` is due.
fn pace(options: &LoadOptions, started: Instant, number: u64) {
    if options.rate == 0 {
        return;
    }
    let due = Duration::from_micros(number * 1_000_000 / options.rate);
    thread::sleep(due.saturating_sub(started.elapsed()));
}

fn run_round(options: &LoadOptions, path: &LoadPath, round: u32) -> RoundFigures {
    let next = Arc::new(AtomicU64::new(0));
    let (sender, samples) = flume::unbounded();
    let started = Instant::now();
    let mut threads = Vec::new();
    for _ in 0..options.streams {
        let next = next.clone();
        let sender = sender.clone();
        let path = path.clone();
        let options = options.clone();
        let worker = thread::Builder::new()
            .stack_size(STREAM_STACK_BYTES)
            .spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= options.requests {
                        return;
                    }
                    pace(&options, started, number);
                    let _ = sender.send(path.run(&options, number, round));
                }
            });
        threads.extend(worker);
    }
    drop(sender);
    let mut figures = RoundFigures::default();
    for sample in samples {
        if sample.whole {
            figures.first_tokens.push(sample.first_token);
            figures.gaps.extend(sample.gaps);
        } else {
            figures.errors += 1;
        }
    }
    for worker in threads {
        let _ = worker.join();
    }
    figures.seconds = started.elapsed().as_secs_f64();
    figures.first_tokens.sort();
    figures.gaps.sort();
    figures
}

fn summary(name: &str, round: u32, figures: &RoundFigures) -> Value {
    let answered = u32::try_from(figures.first_tokens.len()).unwrap_or(u32::MAX);
    json!({
        "path": name,
        "round": round,
        "answered": answered,
        "errors": figures.errors,
        "requests_per_second": (f64::from(answered) / figures.seconds * 10.0).round() / 10.0,
        "first_token_ms": {
            "p50": quantile(&figures.first_tokens, 500),
            "p95": quantile(&figures.first_tokens, 950),
            "p99": quantile(&figures.first_tokens, 990),
        },
        "between_tokens_ms": {
            "p50": quantile(&figures.gaps, 500),
            "p95": quantile(&figures.gaps, 950),
        },
    })
}

fn print_row(row: &Value) {
    let number = |value: &Value| value.as_f64().unwrap_or(f64::NAN);
    println!(
        "{:<7} {:>5} {:>9} {:>7} {:>9.1} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
        row["path"].as_str().unwrap_or_default(),
        row["round"],
        row["answered"],
        row["errors"],
        number(&row["requests_per_second"]),
        number(&row["first_token_ms"]["p50"]),
        number(&row["first_token_ms"]["p95"]),
        number(&row["first_token_ms"]["p99"]),
        number(&row["between_tokens_ms"]["p50"]),
        number(&row["between_tokens_ms"]["p95"]),
    );
}

fn direct_path(address: SocketAddr) -> Result<LoadPath, CommandFailure> {
    let failure = |message: String| CommandFailure::new(FailureKind::Unavailable, message);
    let response = minreq::get(format!("http://{address}/engine/status"))
        .with_timeout(5)
        .send()
        .map_err(|error| failure(format!("engine {address} does not answer: {error}")))?;
    let report: Value = serde_json::from_slice(response.as_bytes())
        .map_err(|error| failure(format!("engine {address} gave an invalid report: {error}")))?;
    Ok(LoadPath::Direct {
        address,
        group: report["group"].clone(),
        generation: report["generation"].clone(),
    })
}

/// Carries out the command.
///
/// # Errors
///
/// Fails when a request was not answered whole.
pub fn run(options: &LoadOptions) -> CommandResult {
    let mut paths = Vec::new();
    if let Some(address) = options.direct {
        paths.push(("direct", direct_path(address)?));
    }
    let node = LoadPath::Node {
        address: options.node,
        key: options.account_key.clone(),
    };
    paths.push(("node", node));
    if options.output == OutputFormat::Table {
        println!(
            "{:<7} {:>5} {:>9} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "PATH",
            "ROUND",
            "ANSWERED",
            "ERRORS",
            "REQ/S",
            "FIRST50",
            "FIRST95",
            "FIRST99",
            "GAP50",
            "GAP95"
        );
    }
    let mut errors = 0;
    let mut rows = Vec::new();
    for round in 1..=options.rounds {
        for (name, path) in &paths {
            let figures = run_round(options, path, round);
            errors += figures.errors;
            let row = summary(name, round, &figures);
            if options.output == OutputFormat::Table {
                print_row(&row);
            }
            rows.push(row);
        }
    }
    if options.output == OutputFormat::Json {
        println!("{:#}", json!({ "rounds": rows }));
    }
    if errors == 0 {
        return Ok(());
    }
    let message = format!("{errors} requests were not answered whole");
    Err(CommandFailure::new(FailureKind::Failed, message))
}
