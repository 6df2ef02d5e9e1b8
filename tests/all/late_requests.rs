//! Requests that may run at most once, sent to a stopping node at many moments until its process is gone.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use jaysaddle_platform_standin::StandinWork;
use jaysaddle_platform_standin::add_plain_routes;
use jaysaddle_platform_standin::set_route_timeouts;
use jaysaddle_platform_standin::stream_config;
use jaysaddle_platform_standin::target_with_work;
use serde_json::Value;
use serde_json::json;

use crate::platform_nodes::KEY;
use crate::platform_nodes::PlatformNodes;
use crate::raw_callers::CALLERS_PORT;
use crate::raw_callers::CallerStyle;
use crate::raw_callers::READ_TIMEOUT;
use crate::raw_callers::RawConnection;
use crate::raw_callers::RawOutcome;
use crate::raw_callers::RawRequest;
use crate::raw_callers::request_text;

/// Time between SIGTERM and SIGKILL on the platform.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time from the last byte of a request until which the end of its connection tells the caller that the request was
/// not passed on.
const UNREAD_LIMIT: Duration = Duration::from_millis(200);
/// Time within which a request that does not fit into the rest of a stop is refused.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);
/// Timeout of the routes, longer than a stop.
const ROUTE_TIMEOUT_MS: u64 = 15_000;
/// Step between the times at which requests are sent.
const STEP_MS: usize = 90;

/// A request of a late caller.
#[derive(Clone, Copy, Debug)]
pub struct LateCall {
    /// When it is sent, from SIGTERM on.
    pub at: Duration,
    /// Whether its connection was used before the stop.
    pub is_kept: bool,
    pub path: &'static str,
    pub work: Duration,
    pub stated_ms: u64,
}

/// A request with its caller's plan.
pub struct LateRequest {
    pub call: LateCall,
    pub raw: RawRequest,
    /// Number of backend servers that have run it.
    pub runs: usize,
}

static REQUESTS: AtomicU64 = AtomicU64::new(0);

fn work_of(path: &str, time: Duration) -> StandinWork {
    let mut work = StandinWork {
        is_plain_reliable: true,
        ..StandinWork::default()
    };
    if path.starts_with("/calls/") {
        work.events = 10;
        work.event_interval = time / 10;
    } else {
        work.answer_time = time;
    }
    work
}

/// Sends one request on a connection and reads its response.
fn exchange(
    address: IpAddr,
    connection: &mut RawConnection,
    call: &LateCall,
    work: Duration,
) -> RawRequest {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let id = format!("late-{}-{number}", std::process::id());
    let target = target_with_work(call.path, &work_of(call.path, work));
    let text = request_text(address, &target, &id, call.stated_ms);
    // A connection that the node has closed may fail here already; the response then does too.
    let _ = connection.send(&text, false);
    let sent = Instant::now();
    let (outcome, _) = connection.read_response(false);
    RawRequest {
        id,
        style: CallerStyle::Fresh,
        sent,
        ended: Instant::now(),
        outcome,
    }
}

fn connect(address: IpAddr) -> Option<RawConnection> {
    let address = SocketAddr::new(address, CALLERS_PORT);
    let stream = TcpStream::connect_timeout(&address, READ_TIMEOUT).ok()?;
    Some(RawConnection::new(stream))
}

/// Starts nodes with the routes `/sends/` and `/calls/`, whose requests may run at most once: the latter are streams that
/// cannot be resumed.
pub fn start_nodes(count: u8) -> PlatformNodes {
    let nodes = PlatformNodes::start(count, 8);
    nodes.wait_serving(4);
    let mut config = stream_config(2, &nodes.addresses, KEY);
    add_plain_routes(&mut config, &nodes.addresses);
    set_route_timeouts(&mut config, ROUTE_TIMEOUT_MS);
    let routes = config["routes"].as_array_mut().expect("routes");
    let streams = routes.iter().filter(|route| route["kind"] == "stream");
    let calls: Vec<Value> = streams
        .cloned()
        .map(|mut route| {
            route["name"] = json!("calls");
            route["pathPrefix"] = json!("/calls/");
            route["resumable"] = json!(false);
            route
        })
        .collect();
    routes.extend(calls);
    nodes.standin.set_work(StandinWork {
        is_plain_reliable: true,
        ..StandinWork::default()
    });
    nodes.standin.set_config(&config);
    nodes.wait("all nodes have the routes", |nodes| {
        (0..nodes.nodes.len())
            .all(|node| nodes.request(node, "probe", "/calls/x", KEY).status_code == 200)
    });
    nodes
}

/// Stops the first node while `calls` are sent to it, after a pause of its process that begins just before SIGTERM. The
/// process is killed at the end of the grace period. Returns the requests and the exit code.
pub fn call_while_stopping(
    nodes: &mut PlatformNodes,
    calls: &[LateCall],
    pause: Duration,
) -> (Vec<LateRequest>, Option<i32>) {
    let address = nodes.addresses[0];
    let kept: Vec<Option<RawConnection>> = calls
        .iter()
        .map(|call| {
            let mut connection = call.is_kept.then(|| connect(address)).flatten()?;
            let first = exchange(address, &mut connection, call, Duration::from_millis(20));
            assert!(first.is_served(), "{first:?}");
            Some(connection)
        })
        .collect();
    let (requests, code) = thread::scope(|scope| {
        if !pause.is_zero() {
            nodes.nodes[0].pause();
        }
        let stopped = Instant::now();
        nodes.nodes[0].terminate();
        let callers: Vec<_> = calls
            .iter()
            .zip(kept)
            .map(|(call, kept)| {
                scope.spawn(move || {
                    thread::sleep((stopped + call.at).saturating_duration_since(Instant::now()));
                    let mut connection = kept.or_else(|| connect(address))?;
                    Some((*call, exchange(address, &mut connection, call, call.work)))
                })
            })
            .collect();
        thread::sleep(pause);
        nodes.nodes[0].resume();
        while stopped.elapsed() < STOP_GRACE && !nodes.nodes[0].has_exited() {
            thread::sleep(Duration::from_millis(5));
        }
        nodes.nodes[0].send_kill();
        let code = nodes.nodes[0].wait_exit();
        let requests: Vec<(LateCall, RawRequest)> = callers
            .into_iter()
            .filter_map(|caller| caller.join().expect("no caller panics"))
            .collect();
        (requests, code)
    });
    let requests = requests.into_iter().map(|(call, raw)| LateRequest {
        call,
        runs: nodes.standin.run_count(&raw.id),
        raw,
    });
    (requests.collect(), code)
}

impl LateRequest {
    /// What is wrong with the end of the request; `None` if it was answered, truthfully refused, or closed unread.
    pub fn fault(&self) -> Option<&'static str> {
        let took = self.raw.ended - self.raw.sent;
        match &self.raw.outcome {
            _ if self.runs > 1 => Some("has run twice"),
            RawOutcome::Complete { .. } if self.raw.is_refused() && self.runs > 0 => {
                Some("is refused and has run")
            }
            RawOutcome::Complete { status: 503, .. } if took > REFUSAL_LIMIT => {
                Some("is refused late")
            }
            RawOutcome::Complete { status: 503, .. } if self.runs > 0 => Some("503 and has run"),
            RawOutcome::Complete {
                status: 502 | 504, ..
            } if took + REFUSAL_LIMIT < Duration::from_millis(self.call.stated_ms) => {
                Some("is given up before its time")
            }
            RawOutcome::Complete { .. } => None,
            _ if self.runs > 0 => Some("has run without an answer"),
            RawOutcome::NoAnswer if took <= UNREAD_LIMIT => None,
            _ => Some("was read without an answer"),
        }
    }
}

fn describe(request: &LateRequest) -> String {
    let outcome = match &request.raw.outcome {
        RawOutcome::Complete { status, body } => format!("{status}, {} bytes", body.len()),
        other => format!("{other:?}"),
    };
    format!(
        "{} {:?}: took {:?}, {} runs, {outcome}",
        request.raw.id,
        request.call,
        request.raw.ended - request.raw.sent,
        request.runs
    )
}

/// Checks all requests, and that the process has ended by itself.
pub fn assert_all_told(requests: &[LateRequest], code: Option<i32>, log: &str) {
    let faults: Vec<String> = requests
        .iter()
        .filter_map(|request| Some(format!("{}: {}", request.fault()?, describe(request))))
        .collect();
    let served = requests.iter().filter(|request| request.raw.is_served());
    let refused = requests.iter().filter(|request| request.raw.is_refused());
    println!(
        "{} requests, {} served, {} refused, {} faults, exit code {code:?}",
        requests.len(),
        served.count(),
        refused.count(),
        faults.len()
    );
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("event=stop"))
        .collect();
    assert!(faults.is_empty(), "{faults:#?}\n{lines:#?}");
    assert_eq!(code, Some(0), "{lines:#?}");
}

/// Calls at regular times from `from` to the end of the grace period, on both routes, on kept and new connections.
fn calls_from(from: Duration, lengths: &[(u64, u64)]) -> Vec<LateCall> {
    let first = usize::try_from(from.as_millis()).expect("a short time");
    (first..7900)
        .step_by(STEP_MS)
        .enumerate()
        .map(|(number, at)| {
            let (work_ms, stated_ms) = lengths[(number / 4) % lengths.len()];
            LateCall {
                at: Duration::from_millis(at as u64),
                is_kept: number % 2 == 0,
                path: ["/sends/x", "/calls/x"][(number / 2) % 2],
                work: Duration::from_millis(work_ms),
                stated_ms,
            }
        })
        .collect()
}

/// Guards against requests that may run at most once, are passed on late in a stop because others of their route were
/// short, and are cut without an answer when the process ends.
#[test]
fn at_most_once_requests_of_a_stopping_node_are_answered_or_refused() {
    let mut nodes = start_nodes(2);
    let lengths = [(5200, 15_000), (200, 1500), (9000, 12_000), (800, 3000)];
    let mut calls = calls_from(Duration::ZERO, &lengths);
    // Keeps the process from ending early, because no request is open.
    calls.push(LateCall {
        at: Duration::from_millis(20),
        is_kept: true,
        path: "/lookups/x",
        work: Duration::from_millis(6500),
        stated_ms: ROUTE_TIMEOUT_MS,
    });
    let (requests, code) = call_while_stopping(&mut nodes, &calls, Duration::ZERO);
    assert_all_told(&requests, code, &nodes.log(0));
    // Those that are sure to end are served while callers may hold the address.
    let short = requests.iter().filter(|request| {
        request.call.stated_ms <= 3000 && request.call.at < Duration::from_millis(2900)
    });
    for request in short {
        assert!(request.raw.is_served(), "{}", describe(request));
    }
}

/// Guards against a stop whose times count from when the process handles SIGTERM: after a pause it then works on requests
/// when the platform kills it.
#[test]
fn requests_of_a_node_that_notices_sigterm_late_are_answered_or_refused() {
    let mut nodes = start_nodes(2);
    let pause = Duration::from_millis(2000);
    let from = pause + Duration::from_millis(50);
    let calls = calls_from(from, &[(2300, 3000), (200, 1000)]);
    let (requests, code) = call_while_stopping(&mut nodes, &calls, pause);
    assert_all_told(&requests, code, &nodes.log(0));
}
