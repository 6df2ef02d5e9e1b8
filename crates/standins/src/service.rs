//! Service stand-in: deterministic responses, recorded runs, fault injection.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use jaysaddle_types::engine::EngineReport;
use jaysaddle_types::ids::RequestId;
use jaysaddle_types::ids::VmId;
use jaysaddle_types::units::TimeSpan;
use serde::Deserialize;
use serde::Serialize;
use tiny_http::Method;
use tiny_http::Request;

use crate::engine::fault::ActiveFaults;
use crate::engine::fault::FaultKind;
use crate::engine::fault::StreamFault;
use crate::engine::fault::VmFault;
use crate::http::RouteHandler;
use crate::http::StandinListener;
use crate::http::close_without_response;
use crate::http::header;
use crate::http::read_body;
use crate::http::read_json;
use crate::http::respond_json;
use crate::http::respond_text;
use crate::http::spawn_thread;
use crate::http::split_url;
use crate::text::service_confirmation;

/// Number of threads that accept requests. Each call is served on a thread of its own.
const WORKERS: usize = 2;

/// Interval at which a running call checks for injected faults.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Lower limit of the call time that a `slow` fault multiplies, so that the fault has an effect on
/// services without a delay.
const MIN_SLOW_CALL_TIME: Duration = Duration::from_millis(10);

/// Maximum number of recorded runs. Further ones are only counted, which bounds memory
/// in load tests.
const MAX_RECORDED_RUNS: usize = 200_000;

/// Settings of the service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// VM that the service runs on.
    pub vm: VmId,
    /// Address to listen on. Default: a free port on loopback.
    pub listen: SocketAddr,
    /// Address of the control routes. They are also served at the service's address, but only this
    /// one responds while the service is killed. Default: none.
    pub control: Option<SocketAddr>,
    /// Duration of a call. Default: zero.
    pub delay: TimeSpan,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            vm: VmId::new("vm-service-1"),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control: None,
            delay: TimeSpan::from_millis(0),
        }
    }
}

/// Record of the runs of one request with one body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRun {
    /// VM that executed the call.
    pub vm: VmId,
    /// Id of the executed request.
    pub request_id: RequestId,
    /// Body of the call.
    pub body: String,
    /// Number of runs started for this request id and body.
    pub starts: u32,
}

/// Body of a response of `GET /control/runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRunList {
    /// Recorded runs, sorted by request id and body.
    pub runs: Vec<ServiceRun>,
    /// Number of starts that were not recorded. Tests of at-most-once execution must check that
    /// it is 0.
    pub dropped: u64,
}

/// Body of the response to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub request: String,
    /// Hash of path and body; see [`service_confirmation`].
    pub confirmation: CompactString,
}

#[derive(Default)]
struct ServiceState {
    runs: BTreeMap<(RequestId, String), u32>,
    dropped: u64,
    leaving: bool,
    listener: Option<StandinListener>,
    /// Requests that arrived while the service was frozen.
    held_requests: Vec<Request>,
    /// Calls kept open by a `silent` fault.
    stalled_calls: Vec<Request>,
}

/// State of the service, shared by its listeners and calls.
struct ServiceRoutes {
    settings: ServiceSettings,
    /// Address that the service is bound to; a recovered service binds it again.
    address: SocketAddr,
    faults: ActiveFaults,
    state: Mutex<ServiceState>,
}

impl ServiceRoutes {
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            vm: self.settings.vm.clone(),
            leaving: self.lock().leaving,
            ..EngineReport::default()
        }
    }

    fn record(&self, request: RequestId, body: String) {
        let mut state = self.lock();
        if state.runs.len() >= MAX_RECORDED_RUNS {
            state.dropped += 1;
            return;
        }
        *state.runs.entry((request, body)).or_default() += 1;
    }

    fn runs(&self) -> ServiceRunList {
        let state = self.lock();
        let runs = state
            .runs
            .iter()
            .map(|((request, body), starts)| ServiceRun {
                vm: self.settings.vm.clone(),
                request_id: request.clone(),
                body: body.clone(),
                starts: *starts,
            });
        ServiceRunList {
            runs: runs.collect(),
            dropped: state.dropped,
        }
    }

    /// Executes a call; called on a thread of its own.
    fn call(&self, mut request: Request, path: &str) {
        if self.lock().leaving {
            return respond_text(request, 503, "the VM is leaving");
        }
        let id = header(&request, "X-Request-Id").and_then(|text| text.parse().ok());
        let Some(id) = id else {
            return respond_text(request, 400, "X-Request-Id must name a request id");
        };
        let Ok(body) = read_body(&mut request) else {
            return close_without_response(request);
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        let since = self.faults.epoch();
        self.record(id, text.clone());
        let started = Instant::now();
        loop {
            match self.faults.stream_fault(since) {
                StreamFault::None if started.elapsed() >= self.call_time() => break,
                StreamFault::None | StreamFault::Frozen => thread::sleep(FAULT_POLL_INTERVAL),
                StreamFault::Cut => return close_without_response(request),
                StreamFault::Silent => return self.lock().stalled_calls.push(request),
            }
        }
        if self.faults.empties_output() {
            return respond_text(request, 200, "");
        }
        let response = ServiceResponse {
            path: path.to_owned(),
            request: text,
            confirmation: service_confirmation(path, &body),
        };
        respond_json(request, 200, &response);
    }

    fn call_time(&self) -> Duration {
        let delay = self.settings.delay.as_duration();
        let slowdown = self.faults.slowdown();
        if slowdown > 1.0 {
            delay.max(MIN_SLOW_CALL_TIME).mul_f64(slowdown)
        } else {
            delay
        }
    }
}

/// Request handler of the service's and the control listener.
#[derive(Clone)]
struct ServiceHandler {
    routes: Arc<ServiceRoutes>,
    /// Whether only control routes are served.
    control_only: bool,
}

impl ServiceHandler {
    fn handle_request(&self, request: Request) {
        let url = CompactString::from(request.url());
        let (path, _) = split_url(&url);
        match (request.method(), path) {
            (Method::Get, "/engine/status") => respond_json(request, 200, &self.routes.report()),
            (Method::Post, path) => {
                let path = path.to_owned();
                let routes = Arc::clone(&self.routes);
                // If the thread cannot be started, the request is dropped, which responds
                // with status 500.
                let spawned = spawn_thread("service-call", move || routes.call(request, &path));
                if let Err(error) = spawned {
                    log::error!("cannot serve a call to the service: {error:#}");
                }
            }
            _ => respond_text(request, 404, "no such route"),
        }
    }

    fn control(&self, request: Request, path: &str) {
        match (request.method(), path) {
            (Method::Post, "fault") => {
                let Some((request, fault)) = read_json::<VmFault>(request) else {
                    return;
                };
                if fault
                    .vm
                    .as_ref()
                    .is_some_and(|vm| *vm != self.routes.settings.vm)
                {
                    return respond_text(request, 404, "no such VM in this process");
                }
                match self.inject(&fault) {
                    Ok(()) => respond_json(request, 200, &fault),
                    Err(error) => respond_text(request, 500, &format!("{error:#}")),
                }
            }
            (Method::Get, "runs") => respond_json(request, 200, &self.routes.runs()),
            _ => respond_text(request, 404, "no such control route"),
        }
    }

    fn inject(&self, fault: &VmFault) -> eyre::Result<()> {
        self.routes.faults.apply(fault);
        match fault.fault {
            FaultKind::Kill => self.kill(),
            FaultKind::Leave => self.routes.lock().leaving = true,
            FaultKind::Recover => self.recover()?,
            _ => {}
        }
        Ok(())
    }

    fn kill(&self) {
        let mut state = self.routes.lock();
        if let Some(listener) = state.listener.take() {
            listener.close();
        }
        let mut ended = std::mem::take(&mut state.held_requests);
        ended.append(&mut state.stalled_calls);
        drop(state);
        ended.into_iter().for_each(close_without_response);
    }

    fn recover(&self) -> eyre::Result<()> {
        let mut state = self.routes.lock();
        state.leaving = false;
        let held_requests = std::mem::take(&mut state.held_requests);
        let stalled_calls = std::mem::take(&mut state.stalled_calls);
        let listening = state.listener.is_some();
        drop(state);
        stalled_calls.into_iter().for_each(close_without_response);
        // A process that resumes still answers the requests that arrived while it was frozen.
        held_requests
            .into_iter()
            .for_each(|request| self.handle_request(request));
        if listening {
            return Ok(());
        }
        let listener = StandinListener::rebind(self.routes.address)?;
        self.listen(listener)
    }

    fn listen(&self, listener: StandinListener) -> eyre::Result<()> {
        let handler: Arc<dyn RouteHandler> = Arc::new(Self {
            control_only: false,
            ..self.clone()
        });
        listener.serve(WORKERS, &handler)?;
        self.routes.lock().listener = Some(listener);
        Ok(())
    }
}

impl RouteHandler for ServiceHandler {
    fn handle(&self, request: Request) {
        let url = CompactString::from(request.url());
        if let Some(path) = split_url(&url).0.strip_prefix("/control/") {
            return self.control(request, path);
        }
        if self.control_only {
            return respond_text(request, 404, "no such control route");
        }
        if self.routes.faults.is_killed() {
            return close_without_response(request);
        }
        if self.routes.faults.is_frozen() {
            self.routes.lock().held_requests.push(request);
            return;
        }
        self.handle_request(request);
    }
}

/// A running service stand-in; dropping it closes its listeners.
pub struct ServiceStandin {
    handler: ServiceHandler,
    control: Option<StandinListener>,
}

impl ServiceStandin {
    /// Binds the listeners and starts the worker threads.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a thread cannot be started.
    pub fn start(settings: ServiceSettings) -> eyre::Result<Self> {
        let listener = StandinListener::bind(settings.listen)?;
        let control = settings.control.map(StandinListener::bind).transpose()?;
        let handler = ServiceHandler {
            routes: Arc::new(ServiceRoutes {
                settings,
                address: listener.address(),
                faults: ActiveFaults::default(),
                state: Mutex::new(ServiceState::default()),
            }),
            control_only: true,
        };
        handler.listen(listener)?;
        if let Some(control) = &control {
            let routes: Arc<dyn RouteHandler> = Arc::new(handler.clone());
            control.serve(1, &routes)?;
        }
        Ok(Self { handler, control })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.handler.routes.address
    }

    /// Address of the control routes; `None` if not configured.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(StandinListener::address)
    }

    /// Injects a fault.
    ///
    /// # Errors
    ///
    /// Fails if a killed service cannot listen again.
    pub fn inject(&self, fault: &VmFault) -> eyre::Result<()> {
        self.handler.inject(fault)
    }

    /// Returns the recorded runs.
    pub fn runs(&self) -> ServiceRunList {
        self.handler.routes.runs()
    }
}

impl Drop for ServiceStandin {
    fn drop(&mut self) {
        if let Some(listener) = self.handler.routes.lock().listener.take() {
            listener.close();
        }
        if let Some(listener) = &self.control {
            listener.close();
        }
    }
}
