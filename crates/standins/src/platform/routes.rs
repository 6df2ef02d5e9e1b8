//! HTTP routes of the platform.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use jaysaddle_types::evidence::ListedVm;
use jaysaddle_types::ids::ObjectVersion;
use jaysaddle_types::ids::StoreRevision;
use jaysaddle_types::store::StoredObject;
use serde::Serialize;
use tiny_http::Method;
use tiny_http::Request;

use crate::http::RouteHandler;
use crate::http::close_without_response;
use crate::http::header;
use crate::http::query_number;
use crate::http::read_body;
use crate::http::read_json;
use crate::http::respond_json;
use crate::http::respond_text;
use crate::http::spawn_thread;
use crate::http::split_url;
use crate::platform::PlatformSettings;
use crate::platform::fault::FaultState;
use crate::platform::fault::OutageMode;
use crate::platform::fault::PlatformFault;
use crate::platform::store::LaggingList;
use crate::platform::store::ObjectTable;
use crate::platform::store::PlatformStats;
use crate::platform::store::TokenBucket;
use crate::platform::store::WriteOutcome;

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Interval at which waiting watches are checked for their deadline.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Upper limit of the wait time that a watch may request.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

#[derive(Serialize)]
struct VersionBody {
    version: ObjectVersion,
}

#[derive(Serialize)]
struct WatchBody {
    revision: StoreRevision,
    objects: Vec<StoredObject>,
}

/// A watch without changes so far. It holds its connection but no thread.
struct WaitingWatch {
    request: Request,
    kind: CompactString,
    after: StoreRevision,
    deadline: Instant,
}

struct PlatformState {
    objects: ObjectTable,
    waiting: Vec<WaitingWatch>,
    /// Requests kept open by a `silent` fault.
    held_requests: Vec<Request>,
    faults: FaultState,
    reads: TokenBucket,
    writes: TokenBucket,
    list: LaggingList,
    stats: PlatformStats,
}

/// Routes and state of the platform.
pub(crate) struct PlatformRoutes {
    state: Mutex<PlatformState>,
}

impl PlatformRoutes {
    pub(crate) fn start(settings: &PlatformSettings) -> eyre::Result<Arc<Self>> {
        let routes = Arc::new(Self {
            state: Mutex::new(PlatformState {
                objects: ObjectTable::default(),
                waiting: Vec::new(),
                held_requests: Vec::new(),
                faults: FaultState::default(),
                reads: TokenBucket::new(settings.read_budget),
                writes: TokenBucket::new(settings.write_budget),
                list: LaggingList::new(settings.list_lag.as_duration()),
                stats: PlatformStats::default(),
            }),
        });
        let weak_routes = Arc::downgrade(&routes);
        spawn_thread("platform-watches", move || expire_watches(&weak_routes))?;
        Ok(routes)
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, request: Request, path: &str) {
        match (request.method(), path) {
            (Method::Post, "fault") => {
                let Some((request, fault)) = read_json::<PlatformFault>(request) else {
                    return;
                };
                self.inject(&fault);
                respond_json(request, 200, &fault);
            }
            (Method::Post, "vms") => {
                let Some((request, vms)) = read_json::<Vec<ListedVm>>(request) else {
                    return;
                };
                self.lock().list.set(Instant::now(), vms);
                respond_text(request, 200, "");
            }
            (Method::Get, "stats") => {
                let stats = self.lock().stats;
                respond_json(request, 200, &stats);
            }
            _ => respond_text(request, 404, "no such control route"),
        }
    }

    fn inject(&self, fault: &PlatformFault) {
        let mut state = self.lock();
        state.faults.apply(fault);
        if let Some(lag_ms) = fault.list_lag_ms {
            state.list.set_lag(Duration::from_millis(lag_ms));
        }
        let mut ended = Vec::new();
        if !state.faults.silent {
            ended.append(&mut state.held_requests);
        }
        if state.faults.outage != OutageMode::Off {
            ended.extend(state.waiting.drain(..).map(|watch| watch.request));
        }
        drop(state);
        ended.into_iter().for_each(close_without_response);
    }

    /// Applies the faults that precede the processing of a call. Returns the request if it is
    /// to be processed.
    fn apply_faults(&self, request: Request) -> Option<Request> {
        let delay = self.lock().faults.delay_ms;
        if delay > 0 {
            thread::sleep(Duration::from_millis(delay));
        }
        let mut state = self.lock();
        if state.faults.silent {
            state.held_requests.push(request);
            return None;
        }
        let outage = state.faults.outage;
        drop(state);
        match outage {
            OutageMode::Off => Some(request),
            OutageMode::Closed => {
                close_without_response(request);
                None
            }
            OutageMode::Unavailable => {
                respond_text(request, 503, "outage");
                None
            }
        }
    }

    fn get(&self, request: Request, kind: &str, name: &str) {
        let mut state = self.lock();
        if !state.reads.try_take(Instant::now()) {
            state.stats.over_budget += 1;
            drop(state);
            return respond_text(request, 429, "read budget exhausted");
        }
        state.stats.reads += 1;
        let stored = state.objects.get(kind, name).cloned();
        drop(state);
        match stored {
            Some(object) => respond_json(request, 200, &object),
            None => respond_text(request, 404, "no such object"),
        }
    }

    fn put(&self, mut request: Request, kind: &str, name: &str) {
        let Some(expected) = header(&request, "If-Match").and_then(|text| text.parse().ok()) else {
            return respond_text(request, 400, "If-Match must name the expected version");
        };
        let value = match read_body(&mut request).map(String::from_utf8) {
            Ok(Ok(value)) => value,
            _ => return respond_text(request, 400, "the value must be text"),
        };
        if value.len() > MAX_VALUE_BYTES {
            return respond_text(request, 413, "the value exceeds 1 MB");
        }
        let mut state = self.lock();
        if !state.writes.try_take(Instant::now()) {
            state.stats.over_budget += 1;
            drop(state);
            return respond_text(request, 429, "write budget exhausted");
        }
        match state.objects.put(kind, name, expected, value) {
            WriteOutcome::Conflict(version) => {
                state.stats.conflicts += 1;
                drop(state);
                respond_json(request, 409, &VersionBody { version });
            }
            WriteOutcome::Written(version) => {
                state.stats.writes += 1;
                let lost = state.faults.take_lost_write();
                state.stats.lost_answers += u64::from(lost);
                let ready = take_ready_watches(&mut state);
                drop(state);
                if lost {
                    close_without_response(request);
                } else {
                    respond_json(request, 200, &VersionBody { version });
                }
                respond_to_watches(ready);
            }
        }
    }

    fn watch(&self, request: Request, kind: &str, query: &str) {
        let after = StoreRevision(query_number(query, "after").unwrap_or(0));
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let now = Instant::now();
        let mut state = self.lock();
        if !state.reads.try_take(now) {
            state.stats.over_budget += 1;
            drop(state);
            return respond_text(request, 429, "read budget exhausted");
        }
        state.stats.watches += 1;
        let objects = state.objects.written_after(kind, after);
        let revision = state.objects.revision();
        if objects.is_empty() && after.0 > 0 && !wait.is_zero() {
            state.waiting.push(WaitingWatch {
                request,
                kind: kind.into(),
                after,
                deadline: now + wait.min(MAX_WATCH_WAIT),
            });
            return;
        }
        drop(state);
        respond_json(request, 200, &WatchBody { revision, objects });
    }

    fn list(&self, request: Request) {
        let now = Instant::now();
        let mut state = self.lock();
        if !state.reads.try_take(now) {
            state.stats.over_budget += 1;
            drop(state);
            return respond_text(request, 429, "read budget exhausted");
        }
        state.stats.lists += 1;
        let vms = state.list.read(now).to_vec();
        drop(state);
        respond_json(request, 200, &vms);
    }
}

impl RouteHandler for PlatformRoutes {
    fn handle(&self, request: Request) {
        let url = CompactString::from(request.url());
        let (path, query) = split_url(&url);
        if let Some(path) = path.strip_prefix("/control/") {
            return self.control(request, path);
        }
        let Some(request) = self.apply_faults(request) else {
            return;
        };
        if path == "/vms" && *request.method() == Method::Get {
            return self.list(request);
        }
        let Some(object) = path.strip_prefix("/objects/") else {
            return respond_text(request, 404, "no such route");
        };
        // Names may contain slashes, as those of fabric domains do.
        match (request.method(), object.split_once('/')) {
            (Method::Get, None) => self.watch(request, object, query),
            (Method::Get, Some((kind, name))) => self.get(request, kind, name),
            (Method::Put, Some((kind, name))) => self.put(request, kind, name),
            _ => respond_text(request, 405, "method not allowed"),
        }
    }
}

/// Removes the watches that have changes to report and returns them with their responses.
fn take_ready_watches(state: &mut PlatformState) -> Vec<(Request, WatchBody)> {
    let revision = state.objects.revision();
    let waiting = std::mem::take(&mut state.waiting);
    let mut ready = Vec::new();
    for watch in waiting {
        let objects = state.objects.written_after(&watch.kind, watch.after);
        if objects.is_empty() {
            state.waiting.push(watch);
        } else {
            ready.push((watch.request, WatchBody { revision, objects }));
        }
    }
    ready
}

fn respond_to_watches(ready: Vec<(Request, WatchBody)>) {
    for (request, body) in ready {
        respond_json(request, 200, &body);
    }
}

/// Answers watches whose deadline has passed, until the platform is dropped.
fn expire_watches(routes: &Weak<PlatformRoutes>) {
    while let Some(routes) = routes.upgrade() {
        let now = Instant::now();
        let mut state = routes.lock();
        let revision = state.objects.revision();
        let ended: Vec<WaitingWatch> = state
            .waiting
            .extract_if(.., |watch| watch.deadline <= now)
            .collect();
        drop(state);
        drop(routes);
        let body = WatchBody {
            revision,
            objects: Vec::new(),
        };
        for watch in ended {
            respond_json(watch.request, 200, &body);
        }
        thread::sleep(WATCH_POLL_INTERVAL);
    }
}
