//! `jaysaddle load`: measures latency and throughput through a node and directly at an engine.
//!
//! Rounds of the two targets alternate within one run, so that both see the same machine conditions.
//! Every stream is read to its end; a stream without an end marker counts as an error.

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

/// Stack size of a thread that reads one stream at a time.
const STREAM_STACK_BYTES: usize = 256 * 1024;

/// Timeout of one request.
const REQUEST_TIMEOUT_SECS: u64 = 120;

/// Load to generate and where to send it
#[derive(Clone, Debug, Bpaf)]
pub struct LoadOptions {
    /// Caller address of the node
    #[bpaf(long, argument("IP:PORT"))]
    node: SocketAddr,
    /// Engine of a group leader to compare with; the group and its generation are read from its status
    #[bpaf(long, argument("IP:PORT"))]
    direct: Option<SocketAddr>,
    /// Key of the client account
    #[bpaf(long, argument("KEY"), env("JAYSADDLE_ACCOUNT_KEY"))]
    account_key: String,
    /// Model to request
    #[bpaf(long, argument("MODEL"))]
    model: String,
    /// Maximum number of concurrent streams
    #[bpaf(long, argument("COUNT"), fallback(200))]
    streams: usize,
    /// Requests per second; with 0, each stream starts its next request when the last one ends
    #[bpaf(long, argument("RATE"), fallback(0))]
    rate: u64,
    /// Requests per round
    #[bpaf(long, argument("COUNT"), fallback(1000))]
    requests: u64,
    /// Rounds per target
    #[bpaf(long, argument("COUNT"), fallback(3))]
    rounds: u32,
    /// Maximum number of tokens per response
    #[bpaf(long, argument("COUNT"), fallback(32))]
    max_tokens: u32,
    /// Output format: table or json
    #[bpaf(long, argument("FORMAT"), fallback(OutputFormat::Table))]
    output: OutputFormat,
}

/// Destination of the requests of a round.
#[derive(Clone, Debug)]
enum LoadTarget {
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

/// Timing of one streamed response.
#[derive(Clone, Debug, Default)]
struct StreamSample {
    first_token: Duration,
    gaps: Vec<Duration>,
    is_complete: bool,
}

/// Samples and error count of one round.
#[derive(Clone, Debug, Default)]
struct RoundStats {
    first_tokens: Vec<Duration>,
    gaps: Vec<Duration>,
    errors: u64,
    seconds: f64,
}

impl LoadTarget {
    fn request(&self, options: &LoadOptions, number: u64, round: u32) -> minreq::Request {
        let prompt = format!("load round {round} request {number}");
        match self {
            LoadTarget::Node { address, key } => {
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
            LoadTarget::Direct {
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
                    "deadline_ms": REQUEST_TIMEOUT_SECS * 1000,
                });
                minreq::post(format!("http://{address}/engine/completions"))
                    .with_body(body.to_string())
            }
        }
    }

    /// Whether an event marks the end of a complete response.
    fn is_final_event(&self, data: &str) -> bool {
        match self {
            LoadTarget::Node { .. } => data == "[DONE]",
            LoadTarget::Direct { .. } => {
                serde_json::from_str::<Value>(data).is_ok_and(|chunk| chunk["finish"].is_string())
            }
        }
    }

    fn has_tokens(&self, data: &str) -> bool {
        match self {
            LoadTarget::Node { .. } => data.contains("\"finish_reason\":null"),
            LoadTarget::Direct { .. } => true,
        }
    }

    fn run(&self, options: &LoadOptions, number: u64, round: u32) -> StreamSample {
        let started = Instant::now();
        let mut sample = StreamSample::default();
        let result = self
            .request(options, number, round)
            .with_timeout(REQUEST_TIMEOUT_SECS)
            .send_lazy();
        let Ok(response) = result else {
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
            if self.has_tokens(data) {
                match last {
                    None => sample.first_token = now - started,
                    Some(last) => sample.gaps.push(now - last),
                }
                last = Some(now);
            }
            if self.is_final_event(data) {
                sample.is_complete = last.is_some();
                return sample;
            }
        }
        sample
    }
}

/// Returns the quantile of sorted `values` at `permille`, in milliseconds, or NaN without values.
fn quantile(values: &[Duration], permille: usize) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    let index = (values.len() - 1) * permille / 1000;
    values[index].as_secs_f64() * 1000.0
}

/// Sleeps until request `number` is due at the configured rate.
fn wait_until_due(options: &LoadOptions, started: Instant, number: u64) {
    if options.rate == 0 {
        return;
    }
    let due = Duration::from_micros(number * 1_000_000 / options.rate);
    thread::sleep(due.saturating_sub(started.elapsed()));
}

fn run_round(options: &LoadOptions, target: &LoadTarget, round: u32) -> RoundStats {
    let next = Arc::new(AtomicU64::new(0));
    let (sender, samples) = flume::unbounded();
    let started = Instant::now();
    let mut threads = Vec::new();
    for _ in 0..options.streams {
        let next = next.clone();
        let sender = sender.clone();
        let target = target.clone();
        let options = options.clone();
        let worker = thread::Builder::new()
            .stack_size(STREAM_STACK_BYTES)
            .spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= options.requests {
                        return;
                    }
                    wait_until_due(&options, started, number);
                    let _ = sender.send(target.run(&options, number, round));
                }
            });
        threads.extend(worker);
    }
    drop(sender);
    let mut stats = RoundStats::default();
    for sample in samples {
        if sample.is_complete {
            stats.first_tokens.push(sample.first_token);
            stats.gaps.extend(sample.gaps);
        } else {
            stats.errors += 1;
        }
    }
    for worker in threads {
        let _ = worker.join();
    }
    stats.seconds = started.elapsed().as_secs_f64();
    stats.first_tokens.sort();
    stats.gaps.sort();
    stats
}

fn round_summary(name: &str, round: u32, stats: &RoundStats) -> Value {
    let answered = u32::try_from(stats.first_tokens.len()).unwrap_or(u32::MAX);
    json!({
        "path": name,
        "round": round,
        "answered": answered,
        "errors": stats.errors,
        "requests_per_second": (f64::from(answered) / stats.seconds * 10.0).round() / 10.0,
        "first_token_ms": {
            "p50": quantile(&stats.first_tokens, 500),
            "p95": quantile(&stats.first_tokens, 950),
            "p99": quantile(&stats.first_tokens, 990),
        },
        "between_tokens_ms": {
            "p50": quantile(&stats.gaps, 500),
            "p95": quantile(&stats.gaps, 950),
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

fn direct_target(address: SocketAddr) -> Result<LoadTarget, CommandFailure> {
    let failure = |message: String| CommandFailure::new(FailureKind::Unavailable, message);
    let response = minreq::get(format!("http://{address}/engine/status"))
        .with_timeout(5)
        .send()
        .map_err(|error| failure(format!("engine {address} does not respond: {error}")))?;
    let report: Value = serde_json::from_slice(response.as_bytes())
        .map_err(|error| failure(format!("engine {address} sent an invalid report: {error}")))?;
    Ok(LoadTarget::Direct {
        address,
        group: report["group"].clone(),
        generation: report["generation"].clone(),
    })
}

/// Runs the command.
///
/// # Errors
///
/// Fails when a request did not receive a complete response, or the engine's status cannot be read.
pub fn run(options: &LoadOptions) -> CommandResult {
    let mut targets = Vec::new();
    if let Some(address) = options.direct {
        targets.push(("direct", direct_target(address)?));
    }
    let node = LoadTarget::Node {
        address: options.node,
        key: options.account_key.clone(),
    };
    targets.push(("node", node));
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
        for (name, target) in &targets {
            let stats = run_round(options, target, round);
            errors += stats.errors;
            let row = round_summary(name, round, &stats);
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
    let message = format!("{errors} requests did not receive a complete response");
    Err(CommandFailure::new(FailureKind::Failed, message))
}
