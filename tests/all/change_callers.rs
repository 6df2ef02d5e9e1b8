//! Callers of a node that changes under them, and what they got.

use std::fs;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use jaysaddle_platform_standin::StandinWork;
use serde_json::Value;
use serde_json::json;

use crate::platform_nodes::PlatformNodes;
use crate::raw_callers::CallerStyle;
use crate::raw_callers::RawCaller;
use crate::raw_callers::RawOutcome;
use crate::raw_callers::RawRequest;

/// Time for which callers use a node before it changes.
pub const TIME_BEFORE_CHANGE: Duration = Duration::from_millis(700);
/// Time between two changes in quick succession.
pub const CHANGE_INTERVAL: Duration = Duration::from_millis(120);
/// Time from the last byte of a request until which the end of its connection tells the caller that the request was
/// not passed on.
pub const UNREAD_LIMIT: Duration = Duration::from_millis(200);

/// A caller of a node: its style, and the path of its requests.
pub type CallerRole = (CallerStyle, &'static str);

/// Callers on the routes of streams, of idempotent requests and of at-most-once requests.
pub const ALL_CALLERS: [CallerRole; 12] = [
    (CallerStyle::Busy, "/drafts/x"),
    (CallerStyle::Idle, "/drafts/x"),
    (CallerStyle::Fresh, "/drafts/x"),
    (CallerStyle::Pipelined, "/drafts/x"),
    (CallerStyle::SlowBody, "/drafts/x"),
    (CallerStyle::SlowReader, "/lookups/x"),
    (CallerStyle::PipelinedSlowReader, "/lookups/x"),
    (CallerStyle::Idle, "/lookups/x"),
    (CallerStyle::SlowBody, "/lookups/x"),
    (CallerStyle::Busy, "/sends/x"),
    (CallerStyle::Pipelined, "/sends/x"),
    (CallerStyle::SlowBody, "/sends/x"),
];

/// Callers whose requests are all read when they arrive.
pub fn unpipelined_callers() -> Vec<CallerRole> {
    let roles = ALL_CALLERS.into_iter();
    let is_pipelined =
        |style| style == CallerStyle::Pipelined || style == CallerStyle::PipelinedSlowReader;
    roles.filter(|(style, _)| !is_pipelined(*style)).collect()
}

/// Streams of 400 ms, and answers of 1 MiB after 60 ms.
pub fn short_work() -> StandinWork {
    StandinWork {
        events: 10,
        event_interval: Duration::from_millis(40),
        answer_time: Duration::from_millis(60),
        answer_bytes: Some(1 << 20),
        is_plain_reliable: true,
    }
}

/// Streams of two seconds, and answers after one second.
pub fn long_work() -> StandinWork {
    StandinWork {
        events: 20,
        event_interval: Duration::from_millis(100),
        answer_time: Duration::from_secs(1),
        ..short_work()
    }
}

/// Starts nodes whose backend servers do `work`.
pub fn start_nodes(count: u8, work: StandinWork) -> PlatformNodes {
    let nodes = PlatformNodes::start(count, 8);
    nodes.wait_serving(4);
    nodes.standin.set_work(work);
    nodes
}

/// Ends the callers when it is dropped, also by a failed assertion.
pub struct CallersEnd<'a>(&'a AtomicBool);

impl Drop for CallersEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Lets callers use a node during `change`. They stop when it returns, or when a connection is refused.
pub fn call_during(
    nodes: &PlatformNodes,
    node: usize,
    roles: &[CallerRole],
    change: impl FnOnce(),
) -> Vec<RawRequest> {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let end = CallersEnd(&is_over);
        let callers: Vec<_> = roles
            .iter()
            .map(|(style, path)| {
                let caller = RawCaller {
                    address: nodes.addresses[node],
                    style: *style,
                    path,
                    stated_ms: 8000,
                };
                let is_over = &is_over;
                scope.spawn(move || caller.call_until(is_over))
            })
            .collect();
        thread::sleep(TIME_BEFORE_CHANGE);
        change();
        drop(end);
        let callers = callers.into_iter();
        callers
            .flat_map(|caller| caller.join().expect("no caller panics"))
            .collect()
    })
}

pub fn is_whole(request: &RawRequest, work: &StandinWork) -> bool {
    let RawOutcome::Complete { status: 200, body } = &request.outcome else {
        return false;
    };
    let stream: String = (1..=work.events)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect();
    *body == stream.as_bytes()
        || work
            .answer_bytes
            .is_some_and(|count| *body == vec![b'a'; count])
}

/// Whether the caller knows that the request was not run: the response says so, or the connection ended unread.
pub fn is_told(request: &RawRequest) -> bool {
    match &request.outcome {
        RawOutcome::Complete { body, .. } => String::from_utf8_lossy(body).contains("\"not_run\""),
        RawOutcome::NoAnswer => request.ended - request.sent <= UNREAD_LIMIT,
        RawOutcome::Cut { .. } => false,
    }
}

/// Outcomes of the requests of a test.
pub struct ChangeReport {
    pub requests: Vec<RawRequest>,
    /// Requests that a backend server has run and whose callers got no complete response.
    pub lost: Vec<RawRequest>,
    /// Requests that no backend server has run and whose callers were not told.
    pub unclear: Vec<RawRequest>,
}

impl ChangeReport {
    pub fn of(nodes: &PlatformNodes, work: &StandinWork, requests: Vec<RawRequest>) -> Self {
        let has_run = |request: &RawRequest| nodes.standin.run_count(&request.id) > 0;
        let failed = requests.iter().filter(|request| !is_whole(request, work));
        let (lost, unclear): (Vec<_>, Vec<_>) = failed.cloned().partition(has_run);
        let unclear = unclear.into_iter().filter(|request| !is_told(request));
        Self {
            lost,
            unclear: unclear.collect(),
            requests,
        }
    }

    /// Number of responses with a status.
    pub fn count(&self, wanted: u16) -> usize {
        let requests = self.requests.iter();
        requests
            .filter(|request| {
                matches!(request.outcome, RawOutcome::Complete { status, .. } if status == wanted)
            })
            .count()
    }

    pub fn assert_nothing_lost(&self, what: &str) {
        let (lost, unclear) = (self.lost.len(), self.unclear.len());
        let counts: Vec<String> = [200, 401, 404, 408, 413, 431, 503]
            .iter()
            .map(|status| format!("{status}: {}", self.count(*status)))
            .collect();
        println!(
            "{what}: {} requests, {}; {lost} lost, {unclear} unclear",
            self.requests.len(),
            counts.join(", ")
        );
        let tell = |request: &RawRequest| {
            let outcome = match &request.outcome {
                RawOutcome::Complete { status, body } => {
                    format!("status {status}, {} bytes", body.len())
                }
                other => format!("{other:?}"),
            };
            let took = request.ended - request.sent;
            format!("{} {:?} {took:?}: {outcome}", request.id, request.style)
        };
        let failed = self.lost.iter().chain(&self.unclear);
        let failed: Vec<String> = failed.map(tell).collect();
        assert!(failed.is_empty(), "{what}: {failed:#?}");
        assert!(self.count(200) > 0, "{what}: no request was served");
    }
}

/// Writes settings that differ from `text` in the platform's bounds and the log level.
pub fn write_settings(file: &Path, text: &str, bounds: &Value, level: &str) {
    let mut settings: Value = serde_json::from_str(text).expect("settings");
    settings["bounds"] = bounds.clone();
    settings["log_level"] = json!(level);
    fs::write(file, settings.to_string()).expect("the settings can be written");
}
